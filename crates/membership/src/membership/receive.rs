//! One message's entries, as they are heard.

use super::*;

pub(super) struct EntryHandler<'a, H: Host> {
    pub membership: &'a mut Membership<H>,
    pub subject: Option<Address>,
    pub partitions: Vec<u16>,
}

impl<H: Host> EntryVisitor for EntryHandler<'_, H> {
    fn announcement(&mut self, announcement: Announcement) {
        self.membership.receive_announcement(announcement, false);
    }

    fn suspicion(&mut self, target: Address, incarnation: u64, epoch: u64, suspector: Address) {
        let membership = &mut *self.membership;
        if !membership.accepts_epoch(epoch) {
            return;
        }
        membership.epoch = membership.epoch.max(epoch);
        if target == membership.own.address {
            // Every word from now on clears it; this one goes to the accuser first.
            if incarnation == membership.own.incarnation && epoch > membership.own.affirmed_epoch {
                membership.send(suspector, MessageKind::Gossip, 0, None, false);
            }
            return;
        }
        let Some(slot) = membership.members.slot(target) else { return };
        if membership.members.get(slot).affirmed_epoch() >= epoch {
            // The accuser has not heard what this copy has.
            membership.members.enqueue_gossip(slot);
        } else if membership.members.get(slot).incarnation() == incarnation {
            membership.record_suspicion(slot, epoch, suspector);
            let chance = membership.verification_chance();
            if membership.members.get(slot).suspector_count() < DEATH_QUORUM
                && membership.rng.random::<f64>() < chance
            {
                // Some of those who might have helped are perhaps gone too.
                membership.probe(target, None);
            }
        }
    }

    fn death(&mut self, target: Address, incarnation_low: u16, epoch: u64) {
        let membership = &mut *self.membership;
        if !membership.accepts_epoch(epoch) {
            return;
        }
        (membership.epoch, membership.last_death_epoch) =
            (membership.epoch.max(epoch), membership.last_death_epoch.max(epoch));
        if target == membership.own.address {
            if incarnation_low == membership.own.incarnation as u16 && epoch > membership.own.affirmed_epoch {
                membership.host.presumed_dead();
                membership.own.affirmed_epoch = membership.epoch;
                membership.views_differ_until = membership.now + ANTI_ENTROPY_DURATION;
            }
            return;
        }
        let Some(slot) = membership.members.slot(target) else { return };
        let update = |member: &mut Member| member.merge_death(incarnation_low, epoch, false);
        let changed = membership.members.update(slot, membership.now, REFUTATION_GRACE, update);
        changed.into_iter().for_each(|(before, after)| membership.state_changed(slot, before, after));
    }

    fn subject(&mut self, subject: Address) {
        self.subject = Some(subject);
    }

    fn partitions(&mut self, partitions: Vec<u16>) {
        self.partitions = partitions;
    }

    fn affirmation(&mut self, target: Address, incarnation_low: u16, epoch: u64) {
        let membership = &mut *self.membership;
        if !membership.accepts_epoch(epoch) {
            return;
        }
        membership.epoch = membership.epoch.max(epoch);
        let Some(slot) = membership.members.slot(target) else { return };
        let now = membership.now;
        let changed = membership.members.update(slot, now, REFUTATION_GRACE, |member| {
            member.merge_affirmation(incarnation_low, epoch, now)
        });
        changed.into_iter().for_each(|(before, after)| membership.state_changed(slot, before, after));
    }
    fn payload(&mut self, target: Address, incarnation_low: u16, payload: Payload, age: Duration) {
        let membership = &mut *self.membership;
        let Some(slot) =
            membership.members.slot(target).filter(|_| payload.bytes.len() <= wire::MAX_PAYLOAD_BYTES)
        else {
            return;
        };
        let (urgent, at) = (payload.urgent, membership.now.saturating_sub(age));
        if membership.members.get_mut(slot).merge_payload(incarnation_low, payload, at) && urgent {
            membership.members.enqueue_payload(slot);
        }
    }
}
