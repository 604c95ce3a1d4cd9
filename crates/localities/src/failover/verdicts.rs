//! Verdicts: issued on the evidence, adopted from peers, or commanded by operators.

use super::*;
use crate::evidence::{EVIDENCE_WINDOW, ObserverCounts, collect_evidence, trials_succeeded};
use crate::verdict::supersedes;

/// Requests sent within this time after a verdict are no evidence for the next one: clocks and the ages in reports are
/// too coarse to tell them from requests sent before the verdict.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// A ramp step ends after this many times its minimum length if no replica of the own zone finds the zone silent.
const MAX_RAMP_STEP_FACTOR: u32 = 10;
/// A ramp step ends after this many times its minimum length if no replica of the own zone has an observation.
const UNTRIED_RAMP_STEP_FACTOR: u32 = 3;
/// The count of evacuations, which lengthens the next one, is reset if the last verdict is older than this.
const EVACUATION_MEMORY: Duration = Duration::from_secs(60);
/// Each repeated evacuation lasts this many times as long as the previous one, up to `MAX_BACKOFF`.
const BACKOFF_FACTOR: u32 = 8;
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// A verdict whose number is more than this ahead of the known one is rejected as implausible.
const MAX_NUMBER_ADVANCE: u32 = 1 << 24;
/// Of two commands of operators that are further apart than this, the order is known from their ages: the ages in reports
/// are too low by the time that the reports take.
const COMMAND_ORDER_MARGIN: Duration = Duration::from_millis(100);

impl<H: Host> ZoneFailover<H> {
    /// Applies an operator's command on a zone, for the whole fleet. Returns `false` if there is no zone of this name.
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
        self.operator_verdicts.entry(id).and_modify(|known| known.commanded_here = true);
        // Makes the report due, so that the next tick encodes it.
        self.reported_at = Duration::ZERO;
        true
    }

    /// Whether this replica received a command on the zone from an operator after the one that is `age` old. A replica that
    /// has just started, or was cut off, numbers a command without knowing the earlier ones.
    fn has_newer_command(&self, now: Duration, verdict: &Verdict, age: Duration) -> bool {
        self.operator_verdicts.get(&verdict.zone).is_some_and(|known| {
            let own_age = now.saturating_sub(known.issued_at);
            known.commanded_here
                && known.verdict.stage != verdict.stage
                && own_age + COMMAND_ORDER_MARGIN <= age
        })
    }

    /// Gives this replica's command on a zone the number after `number`, so that it prevails over an earlier command.
    fn renumber_command(&mut self, zone: usize, number: u32) {
        let Some(known) = self.operator_verdicts.get_mut(&self.zone_ids[zone]) else { return };
        known.verdict.number = number.saturating_add(1);
        self.host.verdict_issued(&self.config.zones[zone], &known.verdict, &self.evidence[zone]);
    }

    pub(super) fn adopt_verdicts(&mut self, now: Duration, peer: &PeerReport, report: &ZoneReport) {
        let same_zone = zone_id(peer.zone) == self.own_zone;
        for (verdict, age) in &report.verdicts {
            let Some(zone) = self.zone_ids.iter().position(|id| *id == verdict.zone) else { continue };
            if !(verdict.by_operator || same_zone) || !self.is_acceptable(verdict) {
                continue;
            }
            let age = *age + peer.age;
            if verdict.by_operator && self.has_newer_command(now, verdict, age) {
                self.renumber_command(zone, verdict.number);
                continue;
            }
            self.host.verdict_adopted(&self.config.zones[zone], verdict, peer.name);
            if verdict.by_operator {
                self.adopt_operator_verdict(now, *verdict, age);
            } else {
                let issued_at = now.saturating_sub(age);
                self.verdicts.insert(verdict.zone, KnownVerdict::new(*verdict, issued_at));
            }
        }
    }

    /// Whether a received verdict prevails over the known one and has a plausible number.
    fn is_acceptable(&self, verdict: &Verdict) -> bool {
        let verdicts = if verdict.by_operator { &self.operator_verdicts } else { &self.verdicts };
        let known = verdicts.get(&verdict.zone).map(|known| known.verdict);
        let known_number = known.map_or(0, |known| known.number);
        let plausible = verdict.number <= known_number.saturating_add(MAX_NUMBER_ADVANCE);
        plausible && known.is_none_or(|known| supersedes(verdict, &known))
    }

    /// Adopts an operator's verdict. A zone that an operator returns comes back over the recovery ramp, as after a loss.
    /// Replicas that adopt the same command concurrently create the same verdict for the first step.
    fn adopt_operator_verdict(&mut self, now: Duration, verdict: Verdict, age: Duration) {
        let was_evacuated = self.stage_by_id(verdict.zone) == ZoneStage::Evacuated;
        let issued_at = now.saturating_sub(age);
        self.operator_verdicts.insert(verdict.zone, KnownVerdict::new(verdict, issued_at));
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
        self.verdicts.insert(verdict.zone, KnownVerdict::new(first_step, issued_at));
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
        self.verdicts.insert(id, KnownVerdict::new(verdict, now));
    }

    /// Collects the evidence on a zone, and issues a verdict if the evidence calls for one.
    pub(super) fn evaluate(&mut self, now: Duration, zone: usize, peers: &[PeerState]) {
        let id = self.zone_ids[zone];
        let known = self.verdicts.get(&id).copied();
        let stage = known.map_or(ZoneStage::InService, |known| known.verdict.stage);
        let verdict_age = known.map_or(Duration::MAX, |known| now.saturating_sub(known.issued_at));
        // Only requests sent since the last verdict count as evidence.
        let sent_since = verdict_age.saturating_sub(SETTLE_TIME);
        let window = EVIDENCE_WINDOW.min(sent_since);
        let evidence = collect_evidence(self.observers(peers), self.own_zone, id, window);
        self.evidence[zone] = evidence;
        // An isolated replica cannot judge zones, and an operator's evacuation takes precedence.
        if self.isolated || self.stage(zone) != stage {
            return;
        }
        let zone_replicas = 1 + peers.iter().filter(|peer| peer.zone == self.own_zone).count() as u32;
        let all_replicas = 1 + peers.len() as u32;
        match stage {
            ZoneStage::Evacuated if evidence.contradicts(zone_replicas) => {
                self.issue_verdict(now, zone, ZoneStage::InService);
            }
            ZoneStage::Evacuated => {
                let zones = (self.own_zone, id);
                let succeeded = trials_succeeded(self.observers(peers), zones, sent_since, zone_replicas);
                if succeeded && verdict_age >= self.evacuation_period(known.as_ref()) {
                    self.issue_verdict(now, zone, ZoneStage::Recovering(1));
                }
            }
            _ if evidence.is_lost(zone_replicas, all_replicas) && self.may_evacuate(now, zone) => {
                self.issue_verdict(now, zone, ZoneStage::Evacuated);
            }
            ZoneStage::Recovering(_) if self.step_is_over(&evidence, verdict_age) => {
                self.issue_verdict(now, zone, stage.next());
            }
            ZoneStage::Recovering(_) | ZoneStage::InService => {}
        }
    }

    /// Whether this replica may evacuate the zone. A replica that has just started knows too few peers and reports to
    /// decide; and the last zone in service with ready servers is never evacuated.
    fn may_evacuate(&self, now: Duration, zone: usize) -> bool {
        let settled = self.started_at.is_some_and(|started_at| started_at + EVIDENCE_WINDOW <= now);
        let in_service = |other: usize| {
            let ready = self.own_observations[other].ready > 0;
            other != zone && ready && self.stage(other) != ZoneStage::Evacuated
        };
        settled && (0..self.zone_ids.len()).any(in_service)
    }

    fn step_is_over(&self, evidence: &Evidence, verdict_age: Duration) -> bool {
        let minimum = self.config.timings.min_ramp_step;
        let untried = evidence.same_zone == ObserverCounts::default()
            && verdict_age >= minimum * UNTRIED_RAMP_STEP_FACTOR;
        let past_maximum = evidence.same_zone.silent == 0 && verdict_age >= minimum * MAX_RAMP_STEP_FACTOR;
        untried || past_maximum || (verdict_age >= minimum && evidence.supports_next_step())
    }

    /// The minimum time for which a zone stays evacuated. It grows with each recent evacuation, and has a jitter of 10% either
    /// way that is the same on all replicas.
    fn evacuation_period(&self, known: Option<&KnownVerdict>) -> Duration {
        let Some(KnownVerdict { verdict, .. }) = known else { return Duration::ZERO };
        let minimum = self.config.timings.min_evacuation;
        let repeats = u32::from(verdict.evacuations.max(1)) - 1;
        let backoff = minimum * BACKOFF_FACTOR.saturating_pow(repeats).min(1000);
        let jitter = mix_bits(&[u64::from(verdict.zone), u64::from(verdict.number)]) % 1000;
        backoff.min(MAX_BACKOFF.max(minimum)).mul_f64(0.9 + 0.2 * jitter as f64 / 1000.0)
    }
}
