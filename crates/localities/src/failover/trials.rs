//! Trials of evacuated zones, which the replicas of a zone send in turn, and verifications of zones that peers report as
//! silent.

use super::*;
use crate::evidence::EVIDENCE_WINDOW;
use crate::report::ZoneObservation;

/// The replicas of all zones together send one trial to an evacuated zone per interval.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);
/// How often a replica verifies a zone that others of its own zone find silent, unless its own observation is no older
/// than this. A replica without an observation would delay the verdict.
const VERIFICATION_INTERVAL: Duration = Duration::from_millis(500);
/// Set in the numbers of verifications, which distinguishes them from the numbers of trials.
const VERIFICATION_FLAG: u64 = 1 << 63;

impl<H: Host> ZoneFailover<H> {
    /// The number of the trial or verification that this replica is to send now, if any.
    pub(super) fn trial_turn(&self, now: Duration, zone: usize, peers: &[PeerState]) -> Option<u64> {
        if self.needs_verification(zone, peers) {
            let turn = now.as_micros() / VERIFICATION_INTERVAL.as_micros();
            return Some(VERIFICATION_FLAG | turn as u64);
        }
        let id = self.zone_ids[zone];
        let known = self.verdicts.get(&id)?;
        if self.stage(zone) != ZoneStage::Evacuated || known.verdict.stage != ZoneStage::Evacuated {
            return None;
        }
        let number = u64::from(known.verdict.number);
        let turn_length = TRIAL_INTERVAL * self.zone_ids.len().max(1) as u32;
        let turn = (now.saturating_sub(known.issued_at).as_micros() / turn_length.as_micros()) as u64;
        let order = |replica: u64| (mix_bits(&[replica, u64::from(id), number]), replica);
        let own = order(self.config.id);
        let (mut replicas, mut rank) = (1, 0);
        for peer in peers.iter().filter(|peer| peer.zone == self.own_zone) {
            replicas += 1;
            rank += u64::from(order(peer.id) < own);
        }
        // No trial is sent in the first turn: requests sent before the verdict are still ending.
        (turn > 0 && turn % replicas == rank).then_some(number << 32 | turn)
    }

    /// Whether another replica of the own zone finds this zone silent, which is not evacuated, while this replica has no
    /// recent observation of it.
    fn needs_verification(&self, zone: usize, peers: &[PeerState]) -> bool {
        if self.isolated || self.stage(zone) == ZoneStage::Evacuated {
            return false;
        }
        let has_recent_observation = match self.own_observations[zone].health {
            ZoneHealth::Silent { .. } => true,
            ZoneHealth::Answering { sent_ago, .. } => sent_ago <= VERIFICATION_INTERVAL,
            ZoneHealth::Unknown => false,
        };
        let id = self.zone_ids[zone];
        let is_silent = |observation: &ZoneObservation, age: Duration| match observation.health {
            ZoneHealth::Silent { since } => observation.zone == id && since + age <= EVIDENCE_WINDOW,
            _ => false,
        };
        let mut zone_peers = peers.iter().filter(|peer| peer.zone == self.own_zone && !peer.report.isolated);
        !has_recent_observation
            && zone_peers.any(|peer| {
                peer.report.observations.iter().any(|observation| is_silent(observation, peer.age))
            })
    }
}
