//! Zone failover over time: the verdicts that a replica issues, adopts and follows, the trials that it sends, and its own
//! report.
//!
//! A verdict on a zone applies to the replicas of one zone, because a network partition may cut off some zones only. Any
//! replica whose evidence calls for a change issues the verdict with the next number, and the other replicas of its zone
//! adopt it from any report: there is no leader. A verdict of an operator applies to all replicas and takes precedence.

mod own_report;
mod trials;
mod types;
mod verdicts;

pub use types::{
    FailoverConfig, Host, OperatorCommand, OwnObservation, PeerReport, RecoveryTimings, ZoneStatus,
    ZoneTraffic,
};

use crate::evidence::{Evidence, Observer};
use crate::report::{self, ZoneHealth, ZoneReport, zone_id};
use crate::verdict::{Verdict, ZoneStage};
use std::collections::BTreeMap;
use std::time::Duration;

/// A verdict that this replica follows.
#[derive(Clone, Copy, Debug)]
struct KnownVerdict {
    verdict: Verdict,
    /// When the verdict was issued, by the local clock.
    issued_at: Duration,
    /// Whether it is an operator's command that this replica received from the operator.
    commanded_here: bool,
}

impl KnownVerdict {
    fn new(verdict: Verdict, issued_at: Duration) -> KnownVerdict {
        KnownVerdict { verdict, issued_at, commanded_here: false }
    }
}

/// The decoded report of another live replica.
struct PeerState {
    id: u64,
    /// The id of the peer's zone.
    zone: u32,
    report: ZoneReport,
    age: Duration,
}

/// The zone failover of one replica.
#[derive(Clone, Debug)]
pub struct ZoneFailover<H> {
    host: H,
    config: FailoverConfig,
    /// The ids of the zones, in the configured order.
    zone_ids: Vec<u32>,
    own_zone: u32,
    /// Verdicts that apply to the replicas of `own_zone`, by the id of the zone that they are about.
    verdicts: BTreeMap<u32, KnownVerdict>,
    /// Verdicts of operators, by the id of the zone that they are about.
    operator_verdicts: BTreeMap<u32, KnownVerdict>,
    /// Indexed by zone in the configured order, as are `evidence` and `trials`.
    own_observations: Vec<OwnObservation>,
    evidence: Vec<Evidence>,
    trials: Vec<Option<u64>>,
    report: ZoneReport,
    report_bytes: Vec<u8>,
    reported_at: Duration,
    started_at: Option<Duration>,
    isolated: bool,
}

impl<H: Host> ZoneFailover<H> {
    /// Creates the zone failover with all zones in service.
    pub fn start(host: H, config: FailoverConfig) -> ZoneFailover<H> {
        let zone_ids: Vec<u32> = config.zones.iter().map(|zone| zone_id(zone)).collect();
        let unknown = |zone| OwnObservation { zone, ready: 0, health: ZoneHealth::Unknown };
        ZoneFailover {
            host,
            own_zone: zone_id(&config.zone),
            verdicts: BTreeMap::new(),
            operator_verdicts: BTreeMap::new(),
            own_observations: (0..zone_ids.len()).map(unknown).collect(),
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

    /// The host that is notified of verdicts.
    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    /// Records this replica's observations and the peers' reports, and evaluates all zones. Returns `true` if the own report
    /// changed in a way that should be sent to the peers soon.
    pub fn tick<'a>(
        &mut self,
        now: Duration,
        own: &[OwnObservation],
        peers: impl Iterator<Item = PeerReport<'a>>,
    ) -> bool {
        self.started_at.get_or_insert(now);
        self.observe(own);
        let peers = self.receive_reports(now, peers);
        let previous = self.report.clone();
        self.report.isolated = self.isolated;
        self.report.observations = self.reported_observations();
        for zone in 0..self.zone_ids.len() {
            self.evaluate(now, zone, &peers);
            self.trials[zone] = self.trial_turn(now, zone, &peers);
        }
        self.update_report(now, &previous)
    }

    fn observe(&mut self, own: &[OwnObservation]) {
        for observation in own {
            if let Some(known) = self.own_observations.get_mut(observation.zone) {
                *known = *observation;
            }
        }
        let mut tried = self.own_observations.iter().filter(|own| own.health != ZoneHealth::Unknown);
        let silent = |own: &OwnObservation| matches!(own.health, ZoneHealth::Silent { .. });
        self.isolated = tried.clone().count() >= 2 && tried.all(silent);
    }

    fn receive_reports<'a>(
        &mut self,
        now: Duration,
        peers: impl Iterator<Item = PeerReport<'a>>,
    ) -> Vec<PeerState> {
        let mut states = Vec::new();
        for peer in peers {
            let report = peer.report.and_then(report::decode);
            if let Some(report) = &report {
                self.adopt_verdicts(now, &peer, report);
            }
            let report = report.unwrap_or_default();
            states.push(PeerState { id: peer.id, zone: zone_id(peer.zone), report, age: peer.age });
        }
        states
    }

    /// This replica's encoded report, to be sent to the peers.
    pub fn report_bytes(&self) -> &[u8] {
        &self.report_bytes
    }

    /// The traffic fraction and the trial of each zone, for the decision engine.
    pub fn traffic(&self) -> Vec<ZoneTraffic> {
        let traffic = |zone: usize| ZoneTraffic {
            zone,
            traffic_fraction: self.traffic_fraction(zone),
            trial: self.trials[zone],
        };
        (0..self.zone_ids.len()).map(traffic).collect()
    }

    /// Whether this replica reaches no zone at all: it has tried at least two, and all are silent.
    pub fn isolated(&self) -> bool {
        self.isolated
    }

    /// The status of each zone, for operators, in the configured order.
    pub fn statuses(&self) -> impl Iterator<Item = ZoneStatus<'_>> {
        (0..self.zone_ids.len()).map(|zone| self.status(zone))
    }

    fn status(&self, zone: usize) -> ZoneStatus<'_> {
        let id = &self.zone_ids[zone];
        let operator_verdict =
            self.operator_verdicts.get(id).filter(|known| known.verdict.stage == ZoneStage::Evacuated);
        let known = operator_verdict.or(self.verdicts.get(id));
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

    fn stage_by_id(&self, id: u32) -> ZoneStage {
        let zone = self.zone_ids.iter().position(|known| *known == id);
        zone.map_or(ZoneStage::InService, |zone| self.stage(zone))
    }

    fn traffic_fraction(&self, zone: usize) -> f64 {
        self.stage(zone).traffic_fraction()
    }

    /// All replicas with their newest reports, this replica first.
    fn observers<'a>(&'a self, peers: &'a [PeerState]) -> impl Iterator<Item = Observer<'a>> {
        let own = Observer { zone: self.own_zone, report: &self.report, age: Duration::ZERO };
        let others =
            peers.iter().map(|peer| Observer { zone: peer.zone, report: &peer.report, age: peer.age });
        std::iter::once(own).chain(others)
    }
}

/// A hash of the numbers that is the same on all replicas and in all builds (rounds of SplitMix64).
fn mix_bits(numbers: &[u64]) -> u64 {
    numbers.iter().fold(0x9e37_79b9_7f4a_7c15, |mix, number| {
        let mut mix = (mix ^ number).wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix = (mix ^ mix >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mix = (mix ^ mix >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        mix ^ mix >> 31
    })
}
