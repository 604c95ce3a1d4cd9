//! The course of time: what this copy says of zones, the verdicts that it goes by, whose turn a trial is, and the share of
//! each zone that comes of it.
//!
//! A verdict is for the copies of one zone on another (or on their own): a path may be cut for some and not for others.
//! Whoever's words come to one passes it, with the next number; everybody else takes it over from the word of any copy of
//! the zone. Nobody has to be alive for that. What operators say is a verdict for all, and goes before.

use crate::evidence::{self, EVIDENCE_WINDOW, Evidence, Observer, collect_evidence};
use crate::report::{self, ZoneHealth, ZoneObservation, ZoneReport, zone_id};
use crate::verdict::{Verdict, ZoneStage, supersedes};
use std::collections::BTreeMap;
use std::time::Duration;

/// Copies take turns at trials: all zones' together make one in this span.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);
/// A copy looks again at a zone that its neighbours find silent so often, unless it has a sign as young of its own: one that
/// sends nothing there would hold up a verdict for as long.
const VERIFICATION_INTERVAL: Duration = Duration::from_millis(500);
/// Tells the numbers of such looks from those of trials.
const VERIFICATION_FLAG: u64 = 1 << 63;
/// Answers to what was sent so soon after a zone was left may be to what was sent before: clocks and words are that rough.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// A step that nothing speaks against, nor for, is taken after this many times its length.
const MAX_RAMP_STEP_FACTOR: u32 = 10;
const UNTRIED_RAMP_STEP_FACTOR: u32 = 3;
/// Departures this long ago count no more.
const EVACUATION_MEMORY: Duration = Duration::from_secs(60);
/// After a further departure a zone waits this many times as long, and no longer than this.
const BACKOFF_FACTOR: u32 = 8;
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// No fleet passes so many verdicts between two words, nor before a copy's first; a number beyond it is none.
const MAX_NUMBER_ADVANCE: u32 = 1 << 24;
/// A copy's word is made anew this often at least, as ages go on.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryTimings {
    /// How long a zone that was left is not taken back, whatever trials find.
    pub min_evacuation: Duration,
    /// How long each step of the return is held at least.
    pub min_ramp_step: Duration,
}

impl Default for RecoveryTimings {
    fn default() -> RecoveryTimings {
        RecoveryTimings { min_evacuation: Duration::from_secs(3), min_ramp_step: Duration::from_millis(500) }
    }
}

/// What is told to operators.
pub trait Host {
    /// A verdict that this copy passed by what was said, or that operators gave it.
    fn verdict_issued(&mut self, _zone: &str, _verdict: &Verdict, _evidence: &Evidence) {}
    /// One that another passed.
    fn verdict_adopted(&mut self, _zone: &str, _verdict: &Verdict, _by: &str) {}
}

/// Who this copy is.
#[derive(Clone, Debug)]
pub struct FailoverConfig {
    /// Its number in the turns: one of its own among all copies.
    pub id: u64,
    /// The zone that it stands in.
    pub zone: String,
    /// All zones by name, as configured.
    pub zones: Vec<String>,
    pub timings: RecoveryTimings,
}

/// How a zone looks to the decisions of this copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnObservation {
    /// Its number among the configured zones.
    pub zone: usize,
    /// Servers there that the list tells as ready.
    pub ready: usize,
    pub health: ZoneHealth,
}

/// Another copy that counts as alive.
pub struct PeerReport<'a> {
    pub id: u64,
    pub name: &'a str,
    /// Empty while it is not known.
    pub zone: &'a str,
    pub report: Option<&'a [u8]>,
    /// How long ago that was heard.
    pub age: Duration,
}

/// What the decisions get for a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneTraffic {
    pub zone: usize,
    /// From 0 to 1, of what the zone would get.
    pub traffic_fraction: f64,
    /// A number that changes with each turn at a trial that this copy has, or at a second look where the zone is not left;
    /// none while it has none.
    pub trial: Option<u64>,
}

/// How a zone stands, for operators.
#[derive(Clone, Debug)]
pub struct ZoneStatus<'a> {
    pub zone: &'a str,
    pub stage: ZoneStage,
    pub number: u32,
    pub by_operator: bool,
    pub evacuations: u8,
    pub since: Option<Duration>,
    pub traffic_fraction: f64,
    pub trial: bool,
    pub ready: usize,
    pub health: ZoneHealth,
    pub evidence: Evidence,
}

#[derive(Clone, Copy, Debug)]
struct KnownVerdict {
    verdict: Verdict,
    /// When it was passed, by this copy's time.
    issued_at: Duration,
}

#[derive(Clone, Debug)]
pub struct ZoneFailover<H> {
    host: H,
    config: FailoverConfig,
    /// Ids of the zones, in the configured order, and of this copy's own.
    zone_ids: Vec<u32>,
    own_zone: u32,
    /// For copies of this zone; and what operators said, for all. By the zone that they are about.
    verdicts: BTreeMap<u32, KnownVerdict>,
    operator_verdicts: BTreeMap<u32, KnownVerdict>,
    own_observations: Vec<OwnObservation>,
    evidence: Vec<Evidence>,
    trials: Vec<Option<u64>>,
    report: ZoneReport,
    report_bytes: Vec<u8>,
    reported_at: Duration,
    started_at: Option<Duration>,
    isolated: bool,
}

struct PeerState {
    id: u64,
    zone: u32,
    report: ZoneReport,
    age: Duration,
}

impl<H: Host> ZoneFailover<H> {
    pub fn start(host: H, config: FailoverConfig) -> ZoneFailover<H> {
        let zone_ids: Vec<u32> = config.zones.iter().map(|zone| zone_id(zone)).collect();
        let own_observations = (0..zone_ids.len())
            .map(|zone| OwnObservation { zone, ready: 0, health: ZoneHealth::Unknown })
            .collect();
        ZoneFailover {
            host,
            own_zone: zone_id(&config.zone),
            verdicts: BTreeMap::new(),
            operator_verdicts: BTreeMap::new(),
            own_observations,
            evidence: vec![Evidence::default(); zone_ids.len()],
            trials: vec![None; zone_ids.len()],
            zone_ids,
            config,
            report: ZoneReport::default(),
            report_bytes: Vec::new(),
            reported_at: Duration::ZERO,
            started_at: None,
            isolated: false,
        }
    }

    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    // What happens

    /// Takes in how zones look to this copy and what the others say. `true`: its own word has news that others should hear
    /// soon.
    pub fn tick<'a>(
        &mut self,
        now: Duration,
        own: &[OwnObservation],
        peers: impl Iterator<Item = PeerReport<'a>>,
    ) -> bool {
        self.started_at.get_or_insert(now);
        for observation in own {
            if let Some(known) = self.own_observations.get_mut(observation.zone) {
                *known = *observation;
            }
        }
        let tried = |own: &&OwnObservation| own.health != ZoneHealth::Unknown;
        let silent = |own: &OwnObservation| matches!(own.health, ZoneHealth::Silent { .. });
        self.isolated = self.own_observations.iter().filter(tried).count() >= 2
            && self.own_observations.iter().filter(tried).all(silent);
        let mut peer_states = Vec::new();
        for peer in peers {
            let Some(report) = peer.report.and_then(report::decode) else {
                peer_states.push(PeerState {
                    id: peer.id,
                    zone: zone_id(peer.zone),
                    report: ZoneReport::default(),
                    age: peer.age,
                });
                continue;
            };
            self.adopt_verdicts(now, &peer, &report);
            peer_states.push(PeerState { id: peer.id, zone: zone_id(peer.zone), report, age: peer.age });
        }
        let before = self.report.clone();
        self.report.isolated = self.isolated;
        self.report.observations = self.reported_observations();
        for zone in 0..self.zone_ids.len() {
            self.evaluate(now, zone, &peer_states);
            self.trials[zone] = self.trial_turn(now, zone, &peer_states);
        }
        self.update_report(now, &before)
    }

    /// Operators take a zone out of use, or put it back, for the whole fleet. `false`: there is no such zone.
    pub fn operator_command(&mut self, now: Duration, zone: &str, leave: bool) -> bool {
        let Some(at) = self.config.zones.iter().position(|known| known == zone) else { return false };
        let id = self.zone_ids[at];
        let number =
            self.operator_verdicts.get(&id).map_or(0, |known| known.verdict.number).saturating_add(1);
        let stage = if leave { ZoneStage::Evacuated } else { ZoneStage::InService };
        let verdict = Verdict { zone: id, number, stage, by_operator: true, evacuations: 0 };
        self.host.verdict_issued(zone, &verdict, &self.evidence[at]);
        self.adopt_operator_verdict(now, verdict, Duration::ZERO);
        self.reported_at = Duration::ZERO;
        true
    }

    // What others may ask

    /// This copy's word, for the others.
    pub fn report_bytes(&self) -> &[u8] {
        &self.report_bytes
    }

    pub fn traffic(&self) -> Vec<ZoneTraffic> {
        let traffic = |zone: usize| ZoneTraffic {
            zone,
            traffic_fraction: self.traffic_fraction(zone),
            trial: self.trials[zone],
        };
        (0..self.zone_ids.len()).map(traffic).collect()
    }

    pub fn isolated(&self) -> bool {
        self.isolated
    }

    pub fn statuses(&self) -> impl Iterator<Item = ZoneStatus<'_>> {
        (0..self.zone_ids.len()).map(|zone| {
            let operator_verdict = self
                .operator_verdicts
                .get(&self.zone_ids[zone])
                .filter(|o| o.verdict.stage == ZoneStage::Evacuated);
            let known = operator_verdict.or(self.verdicts.get(&self.zone_ids[zone]));
            ZoneStatus {
                zone: &self.config.zones[zone],
                stage: known.map_or(ZoneStage::InService, |known| known.verdict.stage),
                number: known.map_or(0, |known| known.verdict.number),
                by_operator: operator_verdict.is_some(),
                evacuations: known.map_or(0, |known| known.verdict.evacuations),
                since: known.map(|known| known.issued_at),
                traffic_fraction: self.traffic_fraction(zone),
                trial: self.trials[zone].is_some(),
                ready: self.own_observations[zone].ready,
                health: self.own_observations[zone].health,
                evidence: self.evidence[zone],
            }
        })
    }

    fn stage(&self, zone: usize) -> ZoneStage {
        let stage =
            |known: Option<&KnownVerdict>| known.map_or(ZoneStage::InService, |known| known.verdict.stage);
        let id = &self.zone_ids[zone];
        match stage(self.operator_verdicts.get(id)) {
            ZoneStage::Evacuated => ZoneStage::Evacuated,
            _ => stage(self.verdicts.get(id)),
        }
    }

    fn traffic_fraction(&self, zone: usize) -> f64 {
        self.stage(zone).traffic_fraction()
    }

    // Verdicts

    fn adopt_verdicts(&mut self, now: Duration, peer: &PeerReport, report: &ZoneReport) {
        let same = zone_id(peer.zone) == self.own_zone;
        for (verdict, age) in &report.verdicts {
            let Some(zone) = self.zone_ids.iter().position(|id| *id == verdict.zone) else { continue };
            let known_verdicts = if verdict.by_operator { &self.operator_verdicts } else { &self.verdicts };
            let known = known_verdicts.get(&verdict.zone).map(|known| known.verdict);
            let last = known.map_or(0, |known| known.number);
            let far = verdict.number > last.saturating_add(MAX_NUMBER_ADVANCE);
            let new = known.is_none_or(|known| supersedes(verdict, &known));
            if far || !new || !(verdict.by_operator || same) {
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

    /// What they put back comes in steps, as after a loss; of several copies that say so at once all say the same.
    fn adopt_operator_verdict(&mut self, now: Duration, verdict: Verdict, age: Duration) {
        let was_evacuated = self.stage_by_id(verdict.zone) == ZoneStage::Evacuated;
        let issued_at = now.saturating_sub(age);
        self.operator_verdicts.insert(verdict.zone, KnownVerdict { verdict, issued_at });
        if was_evacuated && verdict.stage != ZoneStage::Evacuated {
            let known = self.verdicts.get(&verdict.zone).map(|known| known.verdict);
            let number = known.map_or(0, |known| known.number).saturating_add(1);
            let evacuations = known.map_or(0, |known| known.evacuations);
            let step = Verdict {
                zone: verdict.zone,
                number,
                stage: ZoneStage::Recovering(1),
                by_operator: false,
                evacuations,
            };
            self.verdicts.insert(verdict.zone, KnownVerdict { verdict: step, issued_at });
        }
    }

    fn stage_by_id(&self, id: u32) -> ZoneStage {
        self.zone_ids
            .iter()
            .position(|known| *known == id)
            .map_or(ZoneStage::InService, |zone| self.stage(zone))
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

    fn evaluate(&mut self, now: Duration, zone: usize, peer_states: &[PeerState]) {
        let (id, own) = (self.zone_ids[zone], self.own_zone);
        let same_zone = 1 + peer_states.iter().filter(|peer| peer.zone == own).count() as u32;
        let all = 1 + peer_states.len() as u32;
        // Who has just started knows few of the others, and has heard less of what they say.
        let settled = self.started_at.is_some_and(|started_at| started_at + EVIDENCE_WINDOW <= now);
        let known = self.verdicts.get(&id).copied();
        let stage = known.map_or(ZoneStage::InService, |known| known.verdict.stage);
        let verdict_age = known.map_or(Duration::MAX, |known| now.saturating_sub(known.issued_at));
        // After a change only what was sent since says anything of it.
        let since = verdict_age.saturating_sub(SETTLE_TIME);
        let span = EVIDENCE_WINDOW.min(since);
        let evidence = collect_evidence(observers(&self.report, own, peer_states), own, id, span);
        self.evidence[zone] = evidence;
        if self.isolated || self.stage(zone) != stage {
            return;
        }
        match stage {
            ZoneStage::Evacuated => {
                if evidence.contradicts(same_zone) {
                    return self.issue_verdict(now, zone, ZoneStage::InService);
                }
                let tried = evidence::trials_succeeded(
                    observers(&self.report, own, peer_states),
                    (own, id),
                    since,
                    same_zone,
                );
                if verdict_age >= self.evacuation_period(known.as_ref()) && tried {
                    self.issue_verdict(now, zone, ZoneStage::Recovering(1));
                }
            }
            _ if evidence.is_lost(same_zone, all) && settled && self.another_zone_in_use(zone) => {
                self.issue_verdict(now, zone, ZoneStage::Evacuated);
            }
            ZoneStage::Recovering(_) => {
                let step = self.config.timings.min_ramp_step;
                let untried = evidence.same_zone == evidence::Tally::default()
                    && verdict_age >= step * UNTRIED_RAMP_STEP_FACTOR;
                let slow = evidence.same_zone.silent == 0 && verdict_age >= step * MAX_RAMP_STEP_FACTOR;
                if untried || slow || (verdict_age >= step && evidence.supports_next_step()) {
                    self.issue_verdict(now, zone, stage.next());
                }
            }
            ZoneStage::InService => {}
        }
    }

    /// The last zone is never left: what there is to be tried is tried there.
    fn another_zone_in_use(&self, zone: usize) -> bool {
        let used = |other: &usize| {
            *other != zone
                && self.own_observations[*other].ready > 0
                && self.stage(*other) != ZoneStage::Evacuated
        };
        (0..self.zone_ids.len()).any(|other| used(&other))
    }

    /// How long a zone stays left at least: longer after each departure, and moved by a tenth that all copies know.
    fn evacuation_period(&self, known: Option<&KnownVerdict>) -> Duration {
        let Some(KnownVerdict { verdict, .. }) = known else { return Duration::ZERO };
        let backoff = self.config.timings.min_evacuation
            * BACKOFF_FACTOR.saturating_pow(u32::from(verdict.evacuations.max(1)) - 1).min(1000);
        let jitter = mix_bits(&[u64::from(verdict.zone), u64::from(verdict.number)]) % 1000;
        backoff
            .min(MAX_BACKOFF.max(self.config.timings.min_evacuation))
            .mul_f64(0.9 + 0.2 * jitter as f64 / 1000.0)
    }

    // Turns

    /// Whether a trial there is this copy's, by the copies of its zone that count.
    fn trial_turn(&self, now: Duration, zone: usize, peer_states: &[PeerState]) -> Option<u64> {
        if self.needs_verification(zone, peer_states) {
            return Some(VERIFICATION_FLAG | (now.as_micros() / VERIFICATION_INTERVAL.as_micros()) as u64);
        }
        let known = self.verdicts.get(&self.zone_ids[zone])?;
        if self.stage(zone) != ZoneStage::Evacuated || known.verdict.stage != ZoneStage::Evacuated {
            return None;
        }
        let length = TRIAL_INTERVAL * self.zone_ids.len().max(1) as u32;
        let turn = (now.saturating_sub(known.issued_at).as_micros() / length.as_micros()) as u64;
        let order =
            |id: u64| (mix_bits(&[id, u64::from(self.zone_ids[zone]), u64::from(known.verdict.number)]), id);
        let own = order(self.config.id);
        let same_zone = peer_states.iter().filter(|peer| peer.zone == self.own_zone);
        let (count, before) = same_zone
            .fold((1, 0), |(count, before), peer| (count + 1, before + u64::from(order(peer.id) < own)));
        // At first what was sent before still comes to its end.
        (turn > 0 && turn % count == before).then_some(u64::from(known.verdict.number) << 32 | turn)
    }

    /// A neighbour finds a zone silent that is in use, and this copy has no young sign of its own.
    fn needs_verification(&self, zone: usize, peer_states: &[PeerState]) -> bool {
        if self.isolated || self.stage(zone) == ZoneStage::Evacuated {
            return false;
        }
        let has_recent_sign = match self.own_observations[zone].health {
            ZoneHealth::Silent { .. } => true,
            ZoneHealth::Answering { sent_ago, .. } => sent_ago <= VERIFICATION_INTERVAL,
            ZoneHealth::Unknown => false,
        };
        let silent = |observation: &ZoneObservation, age: Duration| {
            observation.zone == self.zone_ids[zone]
                && matches!(observation.health, ZoneHealth::Silent { since } if since + age <= EVIDENCE_WINDOW)
        };
        let same_zone = peer_states.iter().filter(|peer| peer.zone == self.own_zone && !peer.report.isolated);
        !has_recent_sign
            && same_zone
                .into_iter()
                .any(|peer| peer.report.observations.iter().any(|observation| silent(observation, peer.age)))
    }

    // Its own word

    fn reported_observations(&self) -> Vec<ZoneObservation> {
        self.own_observations
            .iter()
            .map(|own| ZoneObservation { zone: self.zone_ids[own.zone], health: own.health })
            .collect()
    }

    fn update_report(&mut self, now: Duration, before: &ZoneReport) -> bool {
        let with_age = |known: &KnownVerdict| (known.verdict, now.saturating_sub(known.issued_at));
        self.report.verdicts =
            self.operator_verdicts.values().chain(self.verdicts.values()).map(with_age).collect();
        // What is not whole matters most, where not all can be told.
        self.report.verdicts.sort_by_key(|(verdict, age)| (verdict.stage == ZoneStage::InService, *age));
        let same = |one: &ZoneReport, other: &ZoneReport| {
            let kinds = |report: &ZoneReport| -> Vec<_> {
                report
                    .observations
                    .iter()
                    .map(|observation| std::mem::discriminant(&observation.health))
                    .collect()
            };
            let numbers =
                |report: &ZoneReport| -> Vec<Verdict> { report.verdicts.iter().map(|(v, _)| *v).collect() };
            (one.isolated, kinds(one), numbers(one)) == (other.isolated, kinds(other), numbers(other))
        };
        let silent = |report: &ZoneReport| {
            report
                .observations
                .iter()
                .any(|observation| matches!(observation.health, ZoneHealth::Silent { .. }))
        };
        let verdicts =
            |report: &ZoneReport| -> Vec<Verdict> { report.verdicts.iter().map(|(v, _)| *v).collect() };
        let changed = !same(&self.report, before);
        let urgent =
            changed && (silent(&self.report) || silent(before) || verdicts(&self.report) != verdicts(before));
        if changed || self.reported_at + REPORT_INTERVAL <= now {
            self.report_bytes = report::encode(&self.report);
            self.reported_at = now;
        }
        urgent
    }
}

/// All who say something, this copy among them.
fn observers<'a>(
    own_report: &'a ZoneReport,
    own: u32,
    peer_states: &'a [PeerState],
) -> impl Iterator<Item = Observer<'a>> {
    let others =
        peer_states.iter().map(|peer| Observer { zone: peer.zone, report: &peer.report, age: peer.age });
    std::iter::once(Observer { zone: own, report: own_report, age: Duration::ZERO }).chain(others)
}

/// A mix of figures that all copies come to alike (the finish of splitmix64).
fn mix_bits(figures: &[u64]) -> u64 {
    figures.iter().fold(0x9e37_79b9_7f4a_7c15, |mix, figure| {
        let mut mix = (mix ^ figure).wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix = (mix ^ mix >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mix = (mix ^ mix >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        mix ^ mix >> 31
    })
}
