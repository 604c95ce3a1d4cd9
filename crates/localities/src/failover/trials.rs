//! Trials of evacuated zones, which the copies of a zone send in turn, and verifications of what others report.

use super::*;
use crate::evidence::EVIDENCE_WINDOW;
use crate::report::ZoneObservation;

/// The copies of all zones together send one trial in this time.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);
/// A copy whose neighbours find a zone silent sends something there this often, unless it has as recent a sign of its own:
/// a copy that sends nothing there would hold up the verdict.
const VERIFICATION_INTERVAL: Duration = Duration::from_millis(500);
/// Set in the numbers of verifications, to tell them from those of trials.
const VERIFICATION_FLAG: u64 = 1 << 63;

impl<H: Host> ZoneFailover<H> {
    /// The number of the trial or verification that is this copy's to send now, if one is.
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
        let order = |copy: u64| (mix_bits(&[copy, u64::from(id), number]), copy);
        let own = order(self.config.id);
        let (mut copies, mut rank) = (1, 0);
        for peer in peers.iter().filter(|peer| peer.zone == self.own_zone) {
            copies += 1;
            rank += u64::from(order(peer.id) < own);
        }
        // In the first turn what was sent before the verdict still comes to its end.
        (turn > 0 && turn % copies == rank).then_some(number << 32 | turn)
    }

    /// A neighbour finds a zone silent that is in service, and this copy has no recent observation of its own.
    fn needs_verification(&self, zone: usize, peers: &[PeerState]) -> bool {
        if self.isolated || self.stage(zone) == ZoneStage::Evacuated {
            return false;
        }
        let has_recent_sign = match self.own_observations[zone].health {
            ZoneHealth::Silent { .. } => true,
            ZoneHealth::Answering { sent_ago, .. } => sent_ago <= VERIFICATION_INTERVAL,
            ZoneHealth::Unknown => false,
        };
        let id = self.zone_ids[zone];
        let is_silent = |observation: &ZoneObservation, age: Duration| match observation.health {
            ZoneHealth::Silent { since } => observation.zone == id && since + age <= EVIDENCE_WINDOW,
            _ => false,
        };
        let mut neighbours = peers.iter().filter(|peer| peer.zone == self.own_zone && !peer.report.isolated);
        !has_recent_sign
            && neighbours.any(|peer| {
                peer.report.observations.iter().any(|observation| is_silent(observation, peer.age))
            })
    }
}
