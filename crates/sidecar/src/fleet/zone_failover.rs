//! Zone failover on the fleet's thread. The decision engine's observations of the zones become the report that this member
//! publishes in its membership messages, and the traffic fractions that follow from all members' reports are sent back to
//! the decision engine. `landingspread_localities` makes the decisions; this module logs its verdicts.

use super::decision_link::SharedObservations;
use super::socket_host::SocketHost;
use super::zones_page;
use async_channel::Sender;
use landingspread_decisions::zones::{ZoneObservation as EngineObservation, ZoneTraffic as EngineTraffic};
use landingspread_localities::{
    Evidence, FailoverConfig, Host, OperatorCommand, OwnObservation, PeerReport, RecoveryTimings, Verdict,
    ZoneFailover, ZoneHealth, ZoneStatus, ZoneTraffic,
};
use landingspread_membership::{Address, Member, MemberConfig, Membership};
use std::mem::{Discriminant, discriminant};
use std::time::Duration;

/// The interval at which unchanged traffic fractions are sent to the decision engine.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which the decision engine sets its observations while requests arrive.
pub const OBSERVATION_INTERVAL: Duration = Duration::from_millis(50);

/// The zones that the fleet may evacuate, and the timings of their recovery.
pub struct FailoverSettings {
    /// The timings with which evacuated zones get their traffic back.
    pub timings: RecoveryTimings,
    /// The names of all zones.
    pub zones: Vec<String>,
}

/// Logs the verdicts of the zone failover.
struct VerdictLog;

impl Host for VerdictLog {
    fn verdict_issued(&mut self, zone: &str, verdict: &Verdict, evidence: &Evidence) {
        let Verdict { stage, number, by_operator, evacuations, .. } = verdict;
        let (same_zone, all) = (evidence.same_zone, evidence.all);
        tracing::warn!(
            zone,
            stage = stage.name(),
            traffic_fraction = stage.traffic_fraction(),
            number,
            by_operator,
            evacuations,
            same_zone_silent = same_zone.silent,
            same_zone_answered = same_zone.answered,
            all_silent = all.silent,
            all_answered = all.answered,
            "zones: verdict issued"
        );
    }

    fn verdict_adopted(&mut self, zone: &str, verdict: &Verdict, by: &str) {
        let Verdict { stage, number, by_operator, .. } = verdict;
        tracing::warn!(
            zone,
            stage = stage.name(),
            traffic_fraction = stage.traffic_fraction(),
            number,
            by_operator,
            from = by,
            "zones: verdict adopted"
        );
    }
}

/// The parts of a zone's status whose changes are logged: the variant of its health, and the numbers of members in the
/// local zone that observe it as silent and as answering.
type LoggedStatus = (Discriminant<ZoneHealth>, u32, u32);

/// The zone failover of this member, and its connection to the decision engine.
pub struct FleetZones {
    failover: ZoneFailover<VerdictLog>,
    observations: SharedObservations,
    /// Updates of the traffic fractions for the decision engine.
    updates: Sender<Vec<EngineTraffic>>,
    last_update: Vec<EngineTraffic>,
    last_update_at: Option<Duration>,
    logged: Vec<LoggedStatus>,
}

fn member_id(address: Address) -> u64 {
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}

/// Converts an observation of the decision engine; `elapsed`, the time since the observation, is added to its ages.
fn own_observation(observation: &EngineObservation, elapsed: Duration) -> OwnObservation {
    let health = match (observation.unanswered_ago, observation.answered_ago) {
        (Some(since), _) => ZoneHealth::Silent { since: since + elapsed },
        (None, Some(sent)) => ZoneHealth::Answering { sent_ago: sent + elapsed, slow: observation.slow },
        (None, None) => ZoneHealth::Unknown,
    };
    OwnObservation { zone: observation.zone as usize, ready: observation.ready, health }
}

fn peer_report(member: &Member, now: Duration) -> PeerReport<'_> {
    let payload = member.payload();
    PeerReport {
        id: member_id(member.address()),
        name: member.name(),
        zone: member.zone(),
        report: payload.map(|(bytes, _)| bytes),
        age: payload.map_or(Duration::ZERO, |(_, published_at)| now.saturating_sub(published_at)),
    }
}

impl FleetZones {
    /// Starts the zone failover with all zones in service.
    pub fn start(
        settings: FailoverSettings,
        member: &MemberConfig,
        observations: SharedObservations,
        updates: Sender<Vec<EngineTraffic>>,
    ) -> FleetZones {
        let config = FailoverConfig {
            id: member_id(member.address),
            zone: member.zone.clone(),
            zones: settings.zones,
            timings: settings.timings,
        };
        FleetZones {
            failover: ZoneFailover::start(VerdictLog, config),
            observations,
            updates,
            last_update: Vec::new(),
            last_update_at: None,
            logged: Vec::new(),
        }
    }

    /// Evaluates the zones, publishes the report, and updates the decision engine.
    pub fn tick(&mut self, now: Duration, membership: &mut Membership<SocketHost>) {
        let own: Vec<OwnObservation> = self.observations.read(|at, observations| {
            // While requests arrive, observations are renewed at this interval; they age only after it has passed.
            let elapsed = now.saturating_sub(at + OBSERVATION_INTERVAL);
            observations.iter().map(|observation| own_observation(observation, elapsed)).collect()
        });
        let live = membership.members().filter(|member| member.state().is_live());
        let urgent = self.failover.tick(now, &own, live.map(|member| peer_report(member, now)));
        self.log_changes();
        membership.set_payload(self.failover.report_bytes(), urgent);
        self.update_decisions(now);
    }

    fn log_changes(&mut self) {
        let logged = |status: ZoneStatus<'_>| {
            let same_zone = status.evidence.same_zone;
            (discriminant(&status.health), same_zone.silent, same_zone.answered)
        };
        let current: Vec<LoggedStatus> = self.failover.statuses().map(logged).collect();
        if current == self.logged {
            return;
        }
        self.logged = current;
        for status in self.failover.statuses() {
            let same_zone = status.evidence.same_zone;
            tracing::debug!(
                zone = status.zone,
                health = ?status.health,
                same_zone_silent = same_zone.silent,
                same_zone_answered = same_zone.answered,
                isolated = self.failover.isolated(),
                "zones: observed"
            );
        }
    }

    fn update_decisions(&mut self, now: Duration) {
        let engine_traffic = |traffic: ZoneTraffic| EngineTraffic {
            zone: traffic.zone as u32,
            fraction: traffic.traffic_fraction,
            trial: traffic.trial,
        };
        let update: Vec<EngineTraffic> = self.failover.traffic().into_iter().map(engine_traffic).collect();
        let due = self.last_update_at.is_none_or(|at| at + UPDATE_INTERVAL <= now);
        // If the channel still holds an older update, the next tick sends the newer one.
        if (due || update != self.last_update) && self.updates.try_send(update.clone()).is_ok() {
            self.last_update = update;
            self.last_update_at = Some(now);
        }
    }

    /// Executes an operator's command for a zone. Returns `false` if no zone has this name.
    pub fn operator_command(&mut self, now: Duration, zone: &str, command: OperatorCommand) -> bool {
        self.failover.operator_command(now, zone, command)
    }

    /// The page `/zones` as JSON or as text.
    pub fn page(&self, json: bool, now: Duration) -> String {
        zones_page::page(self.failover.statuses(), self.failover.isolated(), json, now)
    }
}

#[cfg(test)]
#[path = "zone_failover_tests.rs"]
mod tests;
