//! Failure detection: the choice of members to probe, and the handling of probe results (SWIM 3.1, 4.3).

use super::*;
use crate::probes::{Probe, ProbeSender, Requester};

impl<H: Host> Membership<H> {
    /// Probes the next member on the ring and one of the shuffled round. While this member suspects others, it probes more
    /// of the round, as several members may have failed together.
    pub(super) fn probe_members(&mut self) {
        let next_on_ring =
            self.members.next_alive_after(self.own.address).map(|slot| self.members.get(slot).address());
        if self.probe_round.is_empty() {
            self.probe_round = self.members.live_members().map(Member::address).collect();
        }
        let suspicions = self.own_suspicions.len();
        let extra = suspicions.min(MAX_EXTRA_PROBES) + suspicions / SUSPICIONS_PER_EXTRA_PROBE;
        let probe_count = (1 + extra).min(self.probe_round.len());
        let from_round: Vec<Address> = (0..probe_count)
            .map(|_| {
                let index = self.rng.random_range(0..self.probe_round.len());
                self.probe_round.swap_remove(index)
            })
            .collect();
        let others = from_round.into_iter().filter(|target| Some(*target) != next_on_ring);
        for target in next_on_ring.into_iter().chain(others) {
            let slot = self.members.slot(target);
            let is_live = slot.is_some_and(|slot| self.members.get(slot).state.is_live());
            if is_live && !self.is_suspecting(target) {
                self.probe(target, None);
            }
        }
    }

    pub(super) fn probe(&mut self, target: Address, requester: Option<Requester>) {
        if let Some(number) = self.probes.start(target, self.now, requester) {
            self.send_message(target, MessageKind::Ping, number);
        }
    }

    pub(super) fn handle_ping_req(&mut self, requester: Requester, subject: Address) {
        if subject == self.own.address {
            return self.send_message(requester.address, MessageKind::Ack, requester.probe_number);
        }
        if self.members.slot(subject).is_some() {
            self.probe(subject, Some(requester));
        }
    }

    pub(super) fn handle_ack(&mut self, number: u32, target: Address) {
        let Some(probe) = self.probes.acknowledge(number, target, self.now) else { return };
        self.health_penalty = self.health_penalty.saturating_sub(1);
        if let Some(Requester { address, probe_number }) = probe.requester {
            self.send_with_subject(address, MessageKind::Ack, probe_number, target);
        }
    }

    /// Handles failed probes, and sends the due messages of the other probes.
    pub(super) fn advance_probes(&mut self) {
        let timeout_factor = 1 + self.health_penalty + self.probes.latency_factor();
        for probe in self.probes.take_expired(self.now, timeout_factor) {
            self.probe_failed(&probe);
        }
        let mut probes = std::mem::take(&mut self.probes);
        probes.send_due(self.now, timeout_factor, self);
        self.probes = probes;
    }

    fn probe_failed(&mut self, probe: &Probe) {
        if let Some(Requester { address, probe_number }) = probe.requester {
            self.send_with_subject(address, MessageKind::Nack, probe_number, probe.target);
        }
        let Some(slot) = self.members.slot(probe.target) else { return };
        let member = self.members.get(slot);
        let enough_suspectors = member.suspector_count() >= DEATH_QUORUM
            && member.state_since + SUSPICION_ORPHANED_AFTER > self.now;
        if member.state.is_live() && !enough_suspectors && !self.is_suspecting(probe.target) {
            self.suspect(slot);
        }
    }
}

impl<H: Host> ProbeSender for Membership<H> {
    fn send_ping(&mut self, target: Address, number: u32) {
        self.send_message(target, MessageKind::Ping, number);
    }

    fn send_indirect(&mut self, target: Address, number: u32) {
        // Enough members suspect the target already, so other members hardly reach it either.
        let member = self.members.slot(target).map(|slot| self.members.get(slot));
        if member.is_some_and(|member| member.suspector_count() >= DEATH_QUORUM) {
            return;
        }
        for helper in self.random_live(INDIRECT_PROBES, Some(target)) {
            self.send_with_subject(helper, MessageKind::PingReq, number, target);
        }
    }
}
