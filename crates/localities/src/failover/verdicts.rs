//! Verdicts: issued on the evidence, adopted from others, or commanded by operators.

use super::*;
use crate::evidence::{EVIDENCE_WINDOW, Tally, collect_evidence, trials_succeeded};
use crate::verdict::supersedes;

/// Answers to what was sent so soon after a verdict may belong to what was sent before: clocks and reports are that coarse.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// A step of the recovery ramp that nothing speaks against ends after this many times its least length,
const MAX_RAMP_STEP_FACTOR: u32 = 10;
/// and after this many times where nothing was sent there either.
const UNTRIED_RAMP_STEP_FACTOR: u32 = 3;
/// Evacuations longer ago than this do not lengthen the next one.
const EVACUATION_MEMORY: Duration = Duration::from_secs(60);
/// Each further evacuation lasts this many times as long, up to `MAX_BACKOFF`.
const BACKOFF_FACTOR: u32 = 8;
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// A verdict whose number is further ahead than this is not genuine.
const MAX_NUMBER_ADVANCE: u32 = 1 << 24;

impl<H: Host> ZoneFailover<H> {
    /// Operators command a zone out of service or back, for the whole fleet. `false`: there is no such zone.
    pub fn operator_command(&mut self, now: Duration, zone: &str, command: OperatorCommand) -> bool {
        let Some(index) = self.config.zones.iter().position(|known| known == zone) else { return false };
        let id = self.zone_ids[index];
        let number = self.operator_verdicts.get(&id).map_or(0, |known| known.verdict.number);
        let stage = match command {
            OperatorCommand::Evacuate => ZoneStage::Evacuated,
            OperatorCommand::Return => ZoneStage::InService,
        };
        let number = number.saturating_add(1);
        let verdict = Verdict { zone: id, number, stage, by_operator: true, evacuations: 0 };
        self.host.verdict_issued(zone, &verdict, &self.evidence[index]);
        self.adopt_operator_verdict(now, verdict, Duration::ZERO);
        // The next tick makes a new report.
        self.reported_at = Duration::ZERO;
        true
    }

    pub(super) fn adopt_verdicts(&mut self, now: Duration, peer: &PeerReport, report: &ZoneReport) {
        let same_zone = zone_id(peer.zone) == self.own_zone;
        for (verdict, age) in &report.verdicts {
            let Some(zone) = self.zone_ids.iter().position(|id| *id == verdict.zone) else { continue };
            if !(verdict.by_operator || same_zone) || !self.is_acceptable(verdict) {
                continue;
            }
            self.host.verdict_adopted(&self.config.zones[zone], verdict, peer.name);
            let age = *age + peer.age;
            if verdict.by_operator {
                self.adopt_operator_verdict(now, *verdict, age);
            } else {
                let issued_at = now.saturating_sub(age);
                self.verdicts.insert(verdict.zone, KnownVerdict { verdict: *verdict, issued_at });
            }
        }
    }

    /// Whether a verdict prevails over the known one, and its number is plausible.
    fn is_acceptable(&self, verdict: &Verdict) -> bool {
        let verdicts = if verdict.by_operator { &self.operator_verdicts } else { &self.verdicts };
        let known = verdicts.get(&verdict.zone).map(|known| known.verdict);
        let last = known.map_or(0, |known| known.number);
        let plausible = verdict.number <= last.saturating_add(MAX_NUMBER_ADVANCE);
        plausible && known.is_none_or(|known| supersedes(verdict, &known))
    }

    /// A zone that operators return comes back over the recovery ramp, as after a loss; several copies that adopt the
    /// command at once come to the same verdict.
    fn adopt_operator_verdict(&mut self, now: Duration, verdict: Verdict, age: Duration) {
        let was_evacuated = self.stage_by_id(verdict.zone) == ZoneStage::Evacuated;
        let issued_at = now.saturating_sub(age);
        self.operator_verdicts.insert(verdict.zone, KnownVerdict { verdict, issued_at });
        if !was_evacuated || verdict.stage == ZoneStage::Evacuated {
            return;
        }
        let known = self.verdicts.get(&verdict.zone).map(|known| known.verdict);
        let first_step = Verdict {
            zone: verdict.zone,
            number: known.map_or(0, |known| known.number).saturating_add(1),
            stage: ZoneStage::Recovering(1),
            by_operator: false,
            evacuations: known.map_or(0, |known| known.evacuations),
        };
        self.verdicts.insert(verdict.zone, KnownVerdict { verdict: first_step, issued_at });
    }

    fn issue_verdict(&mut self, now: Duration, zone: usize, stage: ZoneStage) {
        let id = self.zone_ids[zone];
        let known = self.verdicts.get(&id);
        let number = known.map_or(0, |known| known.verdict.number).saturating_add(1);
        let recent = known.filter(|known| known.issued_at + EVACUATION_MEMORY > now);
        let evacuations = recent.map_or(0, |known| known.verdict.evacuations);
        let evacuations = evacuations.saturating_add(u8::from(stage == ZoneStage::Evacuated));
        let verdict = Verdict { zone: id, number, stage, by_operator: false, evacuations };
        self.host.verdict_issued(&self.config.zones[zone], &verdict, &self.evidence[zone]);
        self.verdicts.insert(id, KnownVerdict { verdict, issued_at: now });
    }

    /// Collects the evidence on a zone, and issues a verdict where it calls for one.
    pub(super) fn evaluate(&mut self, now: Duration, zone: usize, peers: &[PeerState]) {
        let id = self.zone_ids[zone];
        let known = self.verdicts.get(&id).copied();
        let stage = known.map_or(ZoneStage::InService, |known| known.verdict.stage);
        let verdict_age = known.map_or(Duration::MAX, |known| now.saturating_sub(known.issued_at));
        // After a verdict only what was sent since then says anything of the zone.
        let sent_since = verdict_age.saturating_sub(SETTLE_TIME);
        let window = EVIDENCE_WINDOW.min(sent_since);
        let evidence = collect_evidence(self.observers(peers), self.own_zone, id, window);
        self.evidence[zone] = evidence;
        if self.isolated || self.stage(zone) != stage {
            return;
        }
        let zone_copies = 1 + peers.iter().filter(|peer| peer.zone == self.own_zone).count() as u32;
        let all_copies = 1 + peers.len() as u32;
        match stage {
            ZoneStage::Evacuated if evidence.contradicts(zone_copies) => {
                self.issue_verdict(now, zone, ZoneStage::InService);
            }
            ZoneStage::Evacuated => {
                let zones = (self.own_zone, id);
                let succeeded = trials_succeeded(self.observers(peers), zones, sent_since, zone_copies);
                if succeeded && verdict_age >= self.evacuation_period(known.as_ref()) {
                    self.issue_verdict(now, zone, ZoneStage::Recovering(1));
                }
            }
            _ if evidence.is_lost(zone_copies, all_copies) && self.may_evacuate(now, zone) => {
                self.issue_verdict(now, zone, ZoneStage::Evacuated);
            }
            ZoneStage::Recovering(_) if self.step_is_over(&evidence, verdict_age) => {
                self.issue_verdict(now, zone, stage.next());
            }
            ZoneStage::Recovering(_) | ZoneStage::InService => {}
        }
    }

    /// A copy that has just started knows few others and little of what they report; and the last zone in service is never
    /// evacuated.
    fn may_evacuate(&self, now: Duration, zone: usize) -> bool {
        let settled = self.started_at.is_some_and(|started_at| started_at + EVIDENCE_WINDOW <= now);
        let in_service = |other: usize| {
            let ready = self.own_observations[other].ready > 0;
            other != zone && ready && self.stage(other) != ZoneStage::Evacuated
        };
        settled && (0..self.zone_ids.len()).any(in_service)
    }

    fn step_is_over(&self, evidence: &Evidence, verdict_age: Duration) -> bool {
        let least = self.config.timings.min_ramp_step;
        let untried =
            evidence.same_zone == Tally::default() && verdict_age >= least * UNTRIED_RAMP_STEP_FACTOR;
        let slow = evidence.same_zone.silent == 0 && verdict_age >= least * MAX_RAMP_STEP_FACTOR;
        untried || slow || (verdict_age >= least && evidence.supports_next_step())
    }

    /// How long a zone stays evacuated at least: longer after each evacuation, with a jitter that all copies compute alike.
    fn evacuation_period(&self, known: Option<&KnownVerdict>) -> Duration {
        let Some(KnownVerdict { verdict, .. }) = known else { return Duration::ZERO };
        let least = self.config.timings.min_evacuation;
        let repeats = u32::from(verdict.evacuations.max(1)) - 1;
        let backoff = least * BACKOFF_FACTOR.saturating_pow(repeats).min(1000);
        let jitter = mix_bits(&[u64::from(verdict.zone), u64::from(verdict.number)]) % 1000;
        backoff.min(MAX_BACKOFF.max(least)).mul_f64(0.9 + 0.2 * jitter as f64 / 1000.0)
    }
}
