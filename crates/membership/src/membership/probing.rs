//! Who is asked whether he is there, and what becomes of those who do not answer.

use super::*;

const MAX_EXTRA_PROBES: usize = 3;
const SUSPICIONS_PER_EXTRA_PROBE: usize = 8;
/// An accuser goes on asking this often, and declares nobody dead before the second time is over.
const SUSPECT_PING_INTERVAL: Duration = Duration::from_millis(100);
/// So many of those that it accuses at a time.
const MAX_SUSPECT_PINGS: usize = 3;
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(500);
/// Those whose accusers have declared nothing for so long may be cut off from them: others look for themselves.
const SUSPICION_ORPHANED_AFTER: Duration = Duration::from_secs(1);
/// A copy that hears nobody takes those it doesn't reach for dead after this time, for itself alone.
const ISOLATED_SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);

impl<H: Host> Membership<H> {
    pub(super) fn probe_members(&mut self) {
        let next =
            self.members.next_alive_after(self.own.address).map(|slot| self.members.get(slot).address());
        if self.probe_round.is_empty() {
            self.probe_round = self.members.live_members().map(Member::address).collect();
        }
        // Where several are gone at once, more of the others are looked at.
        let more = self.own_suspicions.len().min(MAX_EXTRA_PROBES)
            + self.own_suspicions.len() / SUSPICIONS_PER_EXTRA_PROBE;
        let probe_count = (1 + more).min(self.probe_round.len());
        let random_targets: Vec<Address> = (0..probe_count)
            .map(|_| {
                let at = self.rng.random_range(0..self.probe_round.len());
                self.probe_round.swap_remove(at)
            })
            .collect();
        for target in
            next.into_iter().chain(random_targets.into_iter().filter(|target| Some(*target) != next))
        {
            let slot = self.members.slot(target);
            let is_live = slot.is_some_and(|slot| self.members.get(slot).state.is_live());
            if is_live && !self.is_suspecting(target) {
                self.probe(target, None);
            }
        }
    }

    pub(super) fn is_suspecting(&self, target: Address) -> bool {
        self.own_suspicions.iter().any(|(suspected, _)| *suspected == target)
    }

    pub(super) fn probe(&mut self, target: Address, requester: Option<(Address, u32)>) {
        if let Some(number) = self.probes.start(target, self.now, requester) {
            self.send(target, MessageKind::Ping, number, None, false);
        }
    }

    pub(super) fn handle_ping_req(&mut self, asker: Address, number: u32, subject: Address) {
        if subject == self.own.address {
            return self.send(asker, MessageKind::Ack, number, None, false);
        }
        if self.members.slot(subject).is_some() {
            self.probe(subject, Some((asker, number)));
        }
    }

    pub(super) fn handle_ack(&mut self, number: u32, target: Address) {
        let Some(probe) = self.probes.acknowledge(number, target, self.now) else { return };
        self.health_penalty = self.health_penalty.saturating_sub(1);
        if let Some((asker, number)) = probe.requester {
            self.send(asker, MessageKind::Ack, number, Some(target), false);
        }
    }

    pub(super) fn probe_failed(&mut self, probe: &Probe) {
        if let Some((asker, number)) = probe.requester {
            self.send(asker, MessageKind::Nack, number, Some(probe.target), false);
        }
        let Some(slot) = self.members.slot(probe.target) else { return };
        let member = self.members.get(slot);
        let enough = member.suspector_count() >= DEATH_QUORUM
            && member.state_since + SUSPICION_ORPHANED_AFTER > self.now;
        if !member.state.is_live() || enough || self.is_suspecting(probe.target) {
            return;
        }
        // The accusation is later than all that its word was said in, as far as is known here.
        self.epoch += 1;
        let (epoch, own, now) = (self.epoch, self.own.address, self.now);
        self.own_suspicions.push((probe.target, now));
        self.record_suspicion(slot, epoch, own);
    }

    pub(super) fn record_suspicion(&mut self, slot: usize, epoch: u64, suspector: Address) {
        let incarnation = self.members.get(slot).incarnation();
        let update = |member: &mut Member| member.merge_suspicion(incarnation, epoch, suspector);
        let Some((before, after)) = self.members.update(slot, self.now, REFUTATION_GRACE, update) else {
            return;
        };
        self.state_changed(slot, before, after);
        self.members.enqueue_gossip(slot);
    }

    /// What becomes of those that are suspected.
    pub(super) fn advance_suspicions(&mut self) {
        let now = self.now;
        let ping_due = self.next_suspect_ping_at <= now;
        if ping_due {
            self.next_suspect_ping_at = now + SUSPECT_PING_INTERVAL;
        }
        let still_suspected = |(target, _): &(Address, Duration)| {
            let member = self.members.slot(*target).map(|slot| self.members.get(slot));
            member.is_some_and(|member| member.suspectors.contains_key(&self.own.address))
        };
        let mut own_suspicions = std::mem::take(&mut self.own_suspicions);
        let before = own_suspicions.len();
        own_suspicions.retain(still_suspected);
        if own_suspicions.len() < before {
            // Whom it did not reach was there.
            self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
        }
        own_suspicions.retain(|(target, _)| {
            let slot = self.members.slot(*target);
            slot.is_some_and(|slot| self.members.get(slot).state == MemberState::Suspect)
        });
        let reachable = self.reachable_count();
        let needed = DEATH_QUORUM.min(1 + reachable);
        let mut pings_sent = 0;
        if ping_due && own_suspicions.len() > MAX_SUSPECT_PINGS {
            // Each has its turn.
            own_suspicions.rotate_left(MAX_SUSPECT_PINGS);
        }
        for (target, since) in &own_suspicions {
            let Some(slot) = self.members.slot(*target) else { continue };
            let agreed = self.members.get(slot).suspector_count() >= needed;
            let minimum = SUSPICION_TIMEOUT * (1 + self.health_penalty.min(1) + self.probes.latency_factor());
            if reachable > 0 && agreed && *since + minimum <= now {
                self.declare_dead(slot, false);
            } else if reachable == 0 && *since + ISOLATED_SUSPICION_TIMEOUT <= now {
                self.declare_dead(slot, true);
            } else if ping_due && pings_sent < MAX_SUSPECT_PINGS {
                pings_sent += 1;
                self.send(*target, MessageKind::Ping, 0, None, false);
            }
        }
        self.own_suspicions = own_suspicions;
        let chance = self.verification_chance();
        for slot in self.members.suspects().to_vec() {
            let member = self.members.get(slot);
            let (target, orphaned) = (member.address(), member.state_since + SUSPICION_ORPHANED_AFTER <= now);
            if orphaned && ping_due && !self.is_suspecting(target) && self.rng.random::<f64>() < chance {
                self.probe(target, None);
            }
            let changed = self.members.update(slot, now, REFUTATION_GRACE, |_| true);
            changed.into_iter().for_each(|(before, after)| self.state_changed(slot, before, after));
        }
    }

    pub(super) fn declare_dead(&mut self, slot: usize, local_only: bool) {
        let member = self.members.get(slot);
        let (incarnation, own) = (member.incarnation(), self.own.address);
        let Some(epoch) = member.suspectors.get(&own).copied() else { return };
        let update = |member: &mut Member| member.merge_death(incarnation as u16, epoch, local_only);
        self.last_death_epoch = self.last_death_epoch.max(epoch);
        let changed = self.members.update(slot, self.now, REFUTATION_GRACE, update);
        changed.into_iter().for_each(|(before, after)| self.state_changed(slot, before, after));
    }
}

impl<H: Host> ProbeSender for Membership<H> {
    fn send_ping(&mut self, target: Address, number: u32) {
        self.send(target, MessageKind::Ping, number, None, false);
    }

    fn send_indirect(&mut self, target: Address, number: u32) {
        // Whom others accuse already they do not reach either.
        let member = self.members.slot(target).map(|slot| self.members.get(slot));
        if member.is_some_and(|member| member.suspector_count() >= DEATH_QUORUM) {
            return;
        }
        for helper in self.random_live(INDIRECT_PROBES, Some(target)) {
            self.send(helper, MessageKind::PingReq, number, Some(target), false);
        }
    }
}
