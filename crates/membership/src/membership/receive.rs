//! Processing of received messages: the header and the sender's announcement, then the entries.

use super::*;
use crate::member::MemberState;
use crate::member_table::StateChange;
use crate::probes::Requester;
use crate::wire::{EntryVisitor, Header, MessageError};

impl<H: Host> Membership<H> {
    /// Processes a received datagram. Datagrams that cannot be decoded are counted and dropped.
    pub fn receive(&mut self, now: Duration, bytes: &[u8]) {
        self.now = now;
        let (header, entries) = match wire::decode_header(bytes, &self.fleet) {
            Ok(decoded) => decoded,
            Err(MessageError::Unrecognized) => return self.counters.unrecognized += 1,
            Err(MessageError::NewerVersion) => return self.counters.newer_version += 1,
        };
        let Some((announcement, entries)) = wire::decode_sender(entries) else {
            return self.counters.unrecognized += 1;
        };
        if announcement.address == self.own.address {
            // The message was sent by this member and came back, or was sent by another process at the same address.
            return self.receive_own_announcement(&announcement);
        }
        if !self.accepts_epoch(header.epoch) || !self.accepts_epoch(announcement.affirmed_epoch) {
            return self.counters.unrecognized += 1;
        }
        self.receive_message(&header, announcement, entries);
    }

    fn receive_message(&mut self, header: &Header, announcement: Announcement, entries: &[u8]) {
        let from = announcement.address;
        self.epoch = self.epoch.max(header.epoch);
        if header.digest != self.digest() {
            self.views_differ_until = self.now + ANTI_ENTROPY_DURATION;
        }
        let was_live = self.members.slot(from).is_some_and(|slot| self.members.get(slot).state.is_live());
        self.receive_announcement(announcement, true);
        let mut handler = EntryHandler { membership: self, subject: None, partition_digests: Vec::new() };
        if wire::decode_entries(entries, &mut handler).is_none() {
            handler.membership.counters.unrecognized += 1;
        }
        let EntryHandler { subject, partition_digests, .. } = handler;
        if !partition_digests.is_empty() && self.send_budget.can_spare_datagram(self.now) {
            self.send_differing_partitions(from, &partition_digests);
        }
        let number = header.probe_number;
        match (header.kind, subject) {
            (MessageKind::Ping, _) if was_live => self.send_message(from, MessageKind::Ack, number),
            (MessageKind::Ping, _) => self.send_with_names(from, MessageKind::Ack, number),
            (MessageKind::Ack, subject) => self.handle_ack(number, subject.unwrap_or(from)),
            (MessageKind::PingReq, Some(subject)) => {
                self.handle_ping_req(Requester { address: from, probe_number: number }, subject);
            }
            // The nack shows that this member reaches the helper, so its own network is not the cause of the failed probe.
            (MessageKind::Nack, _) => self.health_penalty = self.health_penalty.saturating_sub(1),
            (MessageKind::PingReq, None) | (MessageKind::Gossip, _) => {}
        }
    }

    /// Whether an epoch is plausible: at most `MAX_EPOCH_ADVANCE` ahead of the local epoch.
    fn accepts_epoch(&self, epoch: u64) -> bool {
        epoch <= self.epoch + MAX_EPOCH_ADVANCE
    }

    fn receive_own_announcement(&mut self, announcement: &Announcement) {
        if (announcement.incarnation, announcement.sequence) <= (self.own.incarnation, self.own.sequence) {
            return;
        }
        // A previous process at this address had a clock ahead of this one's, so its incarnation is greater.
        self.own.incarnation = (announcement.incarnation + 1).min(MAX_INCARNATION);
        self.own.sequence = 0;
        self.host.presumed_dead();
    }

    fn receive_announcement(&mut self, announcement: Announcement, direct: bool) {
        let (address, now) = (announcement.address, self.now);
        if address == self.own.address {
            return self.receive_own_announcement(&announcement);
        }
        if !self.accepts_epoch(announcement.affirmed_epoch) {
            return;
        }
        self.epoch = self.epoch.max(announcement.affirmed_epoch);
        self.other_member_seen = true;
        let Some(slot) = self.members.slot(address) else {
            return self.add_member(announcement, direct);
        };
        let incarnation = self.members.get(slot).incarnation();
        if direct {
            self.members.get_mut(slot).last_direct = Some(now);
        }
        let merge = |member: &mut Member| member.merge_announcement(announcement, now);
        let Some(change) = self.members.update(slot, now, REFUTATION_GRACE, merge) else { return };
        self.state_changed(slot, change);
        if self.members.get(slot).incarnation() != incarnation && change.after.is_live() {
            self.members.enqueue_gossip(slot);
            if change.before == change.after {
                self.host.returned(self.members.get(slot));
            }
        }
    }

    fn add_member(&mut self, announcement: Announcement, direct: bool) {
        let (now, is_live) = (self.now, !announcement.left && !announcement.considered_dead);
        let Some(slot) = self.members.add(announcement, now) else {
            self.rejected_members += 1;
            if self.rejected_members.is_power_of_two() {
                self.host.table_full(self.rejected_members as usize);
            }
            return;
        };
        if direct {
            self.members.get_mut(slot).last_direct = Some(now);
        }
        if !is_live {
            return;
        }
        self.members.enqueue_gossip(slot);
        let member = self.members.get(slot);
        self.host.joined(member);
        let same_name = |other: &&Member| {
            other.name() == member.name() && !other.name().is_empty() && other.address() != member.address()
        };
        if let Some(other) = self.members.live_members().find(same_name) {
            self.host.duplicate_name(other, member);
        }
    }

    /// Applies a change to a member, and gossips and reports a changed state. Returns `false` if nothing changed.
    pub(super) fn update_member(&mut self, slot: usize, apply: impl FnOnce(&mut Member) -> bool) -> bool {
        let Some(change) = self.members.update(slot, self.now, REFUTATION_GRACE, apply) else {
            return false;
        };
        self.state_changed(slot, change);
        true
    }

    fn state_changed(&mut self, slot: usize, change: StateChange) {
        if change.before == change.after {
            return;
        }
        self.members.enqueue_gossip(slot);
        let member = self.members.get(slot);
        match (change.before, change.after) {
            (_, MemberState::Suspect) => self.host.suspected(member),
            (MemberState::Suspect, MemberState::Alive) => self.host.refuted(member),
            (_, MemberState::Alive) => self.host.returned(member),
            (_, MemberState::Dead) => self.host.died(member, !member.local_only),
            (_, MemberState::Left) => {
                self.host.left(member);
                self.size_estimator.member_left();
            }
        }
    }
}

/// Merges the entries of one message.
struct EntryHandler<'a, H: Host> {
    membership: &'a mut Membership<H>,
    subject: Option<Address>,
    partition_digests: Vec<u16>,
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
        let own = &membership.own;
        if target == own.address {
            // Every announcement from now on refutes the suspicion; the first one goes to the suspector.
            if incarnation == own.incarnation && epoch > own.affirmed_epoch {
                membership.send_message(suspector, MessageKind::Gossip, 0);
            }
            return;
        }
        let Some(slot) = membership.members.slot(target) else { return };
        let member = membership.members.get(slot);
        if member.affirmed_epoch() >= epoch {
            // The suspector has not received the refutation yet.
            membership.members.enqueue_gossip(slot);
        } else if member.incarnation() == incarnation {
            membership.record_suspicion(slot, epoch, suspector);
            membership.verify_suspicion(slot, target);
        }
    }

    fn death(&mut self, target: Address, incarnation_low: u16, epoch: u64) {
        let membership = &mut *self.membership;
        if !membership.accepts_epoch(epoch) {
            return;
        }
        membership.epoch = membership.epoch.max(epoch);
        membership.last_death_epoch = membership.last_death_epoch.max(epoch);
        if target == membership.own.address {
            let own = &mut membership.own;
            if incarnation_low == own.incarnation as u16 && epoch > own.affirmed_epoch {
                membership.host.presumed_dead();
                own.affirmed_epoch = membership.epoch;
                membership.views_differ_until = membership.now + ANTI_ENTROPY_DURATION;
            }
            return;
        }
        let Some(slot) = membership.members.slot(target) else { return };
        membership.update_member(slot, |member| member.merge_death(incarnation_low, epoch, false));
    }

    fn subject(&mut self, subject: Address) {
        self.subject = Some(subject);
    }

    fn partition_digests(&mut self, digests: Vec<u16>) {
        self.partition_digests = digests;
    }

    fn affirmation(&mut self, target: Address, incarnation_low: u16, epoch: u64) {
        let membership = &mut *self.membership;
        if !membership.accepts_epoch(epoch) {
            return;
        }
        membership.epoch = membership.epoch.max(epoch);
        let Some(slot) = membership.members.slot(target) else { return };
        let now = membership.now;
        membership.update_member(slot, |member| member.merge_affirmation(incarnation_low, epoch, now));
    }

    fn payload(&mut self, target: Address, incarnation_low: u16, payload: Payload, age: Duration) {
        let membership = &mut *self.membership;
        let acceptable = payload.bytes.len() <= wire::MAX_PAYLOAD_BYTES;
        let Some(slot) = membership.members.slot(target).filter(|_| acceptable) else { return };
        let (urgent, published_at) = (payload.urgent, membership.now.saturating_sub(age));
        let member = membership.members.get_mut(slot);
        if member.merge_payload(incarnation_low, payload, published_at) && urgent {
            membership.members.enqueue_payload(slot);
        }
    }
}
