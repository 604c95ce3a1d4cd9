//! Suspicions, from a failed probe to a declared death or a refutation (SWIM 4.2, Lifeguard).

use super::*;
use crate::member::MemberState;

impl<H: Host> Membership<H> {
    pub(super) fn is_suspecting(&self, target: Address) -> bool {
        self.own_suspicions.iter().any(|suspicion| suspicion.target == target)
    }

    /// Raises a suspicion under a new epoch, which is later than any epoch that the member has affirmed.
    pub(super) fn suspect(&mut self, slot: usize) {
        self.epoch += 1;
        let target = self.members.get(slot).address();
        self.own_suspicions.push(OwnSuspicion { target, since: self.now });
        self.record_suspicion(slot, self.epoch, self.own.address);
    }

    pub(super) fn record_suspicion(&mut self, slot: usize, epoch: u64, suspector: Address) {
        let incarnation = self.members.get(slot).incarnation();
        if self.update_member(slot, |member| member.merge_suspicion(incarnation, epoch, suspector)) {
            self.members.enqueue_gossip(slot);
        }
    }

    /// Probes a member that another member suspects, with `verification_chance`. Members are chosen at random, as fixed
    /// ones may have failed too.
    pub(super) fn verify_suspicion(&mut self, slot: usize, target: Address) {
        let chance = self.verification_chance();
        let confirmed = self.members.get(slot).suspector_count() >= DEATH_QUORUM;
        if !confirmed && self.rng.random::<f64>() < chance {
            self.probe(target, None);
        }
    }

    /// Advances all suspicions: removes ended ones, declares members dead, pings suspects again, and ends grace periods.
    pub(super) fn advance_suspicions(&mut self) {
        let ping_due = self.next_suspect_ping_at <= self.now;
        if ping_due {
            self.next_suspect_ping_at = self.now + SUSPECT_PING_INTERVAL;
        }
        let mut own_suspicions = std::mem::take(&mut self.own_suspicions);
        self.drop_ended_suspicions(&mut own_suspicions);
        self.advance_own_suspicions(&mut own_suspicions, ping_due);
        self.own_suspicions = own_suspicions;
        self.advance_suspects(ping_due);
    }

    fn drop_ended_suspicions(&mut self, own_suspicions: &mut Vec<OwnSuspicion>) {
        let still_suspected = |suspicion: &OwnSuspicion| {
            let member = self.members.slot(suspicion.target).map(|slot| self.members.get(slot));
            member.is_some_and(|member| member.suspectors.contains_key(&self.own.address))
        };
        let before = own_suspicions.len();
        own_suspicions.retain(still_suspected);
        if own_suspicions.len() < before {
            // A refuted suspicion indicates that this member's own failure detection is unreliable.
            self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
        }
        own_suspicions.retain(|suspicion| {
            let slot = self.members.slot(suspicion.target);
            slot.is_some_and(|slot| self.members.get(slot).state == MemberState::Suspect)
        });
    }

    fn advance_own_suspicions(&mut self, own_suspicions: &mut [OwnSuspicion], ping_due: bool) {
        let now = self.now;
        let reachable = self.reachable_count();
        let quorum = DEATH_QUORUM.min(1 + reachable);
        let mut pings = 0;
        if ping_due && own_suspicions.len() > MAX_SUSPECT_PINGS {
            // The rotation ensures that every suspect is pinged.
            own_suspicions.rotate_left(MAX_SUSPECT_PINGS);
        }
        for suspicion in own_suspicions.iter() {
            let Some(slot) = self.members.slot(suspicion.target) else { continue };
            let agreed = self.members.get(slot).suspector_count() >= quorum;
            let timeout_factor = 1 + self.health_penalty.min(1) + self.probes.latency_factor();
            if reachable > 0 && agreed && suspicion.since + SUSPICION_TIMEOUT * timeout_factor <= now {
                self.declare_dead(slot, false);
            } else if reachable == 0 && suspicion.since + ISOLATED_SUSPICION_TIMEOUT <= now {
                self.declare_dead(slot, true);
            } else if ping_due && pings < MAX_SUSPECT_PINGS {
                pings += 1;
                self.send_message(suspicion.target, MessageKind::Ping, 0);
            }
        }
    }

    fn advance_suspects(&mut self, ping_due: bool) {
        let chance = self.verification_chance();
        for slot in self.members.suspects().to_vec() {
            let member = self.members.get(slot);
            let target = member.address();
            let orphaned = member.state_since + SUSPICION_ORPHANED_AFTER <= self.now;
            let may_probe = orphaned && ping_due && !self.is_suspecting(target);
            if may_probe && self.rng.random::<f64>() < chance {
                self.probe(target, None);
            }
            self.update_member(slot, |_| true);
        }
    }

    fn declare_dead(&mut self, slot: usize, local_only: bool) {
        let member = self.members.get(slot);
        let incarnation_low = member.incarnation() as u16;
        let Some(epoch) = member.suspectors.get(&self.own.address).copied() else { return };
        self.last_death_epoch = self.last_death_epoch.max(epoch);
        self.update_member(slot, |member| member.merge_death(incarnation_low, epoch, local_only));
    }

    /// Whether a member is alive, and a message from it has arrived directly within `CONTACT_TIMEOUT`.
    pub(super) fn is_reachable(&self, member: &Member) -> bool {
        let recently_heard = member.last_direct.is_some_and(|at| at + CONTACT_TIMEOUT > self.now);
        recently_heard && member.state == MemberState::Alive
    }

    /// The number of reachable members, counted up to `DEATH_QUORUM`.
    fn reachable_count(&self) -> usize {
        self.members.live_members().filter(|member| self.is_reachable(member)).take(DEATH_QUORUM).count()
    }

    /// The probability with which a member that receives a suspicion probes the suspect itself; 1 if fewer members than
    /// the quorum are reachable, as all of them are needed then.
    fn verification_chance(&self) -> f64 {
        if self.reachable_count() < DEATH_QUORUM {
            1.0
        } else {
            EXPECTED_VERIFIERS / self.members.live().len() as f64
        }
    }
}
