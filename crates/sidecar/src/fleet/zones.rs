//! The fleet's verdicts on zones beside its membership: what the decisions see goes to the others, and the shares that come
//! of all words go back to them. It owns the log lines and the page for operators; it must never decide anything.

use super::Wire;
use async_channel::Sender;
use landingspread_decisions::zones::{ZoneObservation, ZoneTraffic};
use landingspread_localities::{
    Evidence, FailoverConfig, Host, OperatorCommand, OwnObservation, PeerReport, RecoveryTimings, Verdict,
    ZoneFailover, ZoneHealth, ZoneStatus,
};
use landingspread_membership::{Address, MemberConfig, Membership};
use serde::Serialize;
use std::fmt::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The decisions hear of unchanged shares this often.
const TELL_EVERY: Duration = Duration::from_millis(500);
/// How often the decisions tell how zones look, while commands come.
pub const SEEN_EVERY: Duration = Duration::from_millis(50);

struct Log;

impl Host for Log {
    fn verdict_issued(&mut self, zone: &str, verdict: &Verdict, evidence: &Evidence) {
        let Verdict { stage, number, by_operator: operators, evacuations: departures, .. } = verdict;
        let (near, all) = (evidence.same_zone, evidence.all);
        tracing::warn!(
            zone,
            stage = stage.name(),
            share = stage.traffic_fraction(),
            number,
            operators,
            departures,
            near_silent = near.silent,
            near_answered = near.answered,
            all_silent = all.silent,
            all_answered = all.answered,
            "zones: passed"
        );
    }

    fn verdict_adopted(&mut self, zone: &str, verdict: &Verdict, by: &str) {
        let Verdict { stage, number, by_operator: operators, .. } = verdict;
        tracing::warn!(
            zone,
            stage = stage.name(),
            share = stage.traffic_fraction(),
            number,
            operators,
            by,
            "zones: heard"
        );
    }
}

/// How zones looked to the decisions, and when.
pub type Seen = Arc<Mutex<(Duration, Vec<ZoneObservation>)>>;

pub struct Zones {
    localities: ZoneFailover<Log>,
    seen: Seen,
    tell: Sender<Vec<ZoneTraffic>>,
    told: Vec<ZoneTraffic>,
    told_at: Option<Duration>,
    /// How zones looked when that was last logged: what was heard from each, and how many neighbours find it silent and
    /// answering.
    logged: Vec<(std::mem::Discriminant<ZoneHealth>, u32, u32)>,
}

fn id_of(address: Address) -> u64 {
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}

/// `more` is what has gone by since, past the time within which it is told anew while commands come.
fn looks(seen: &ZoneObservation, more: Duration) -> ZoneHealth {
    match (seen.silent, seen.answered) {
        (Some(since), _) => ZoneHealth::Silent { since: since + more },
        (None, Some(sent)) => ZoneHealth::Answering { sent_ago: sent + more, slow: seen.slow },
        (None, None) => ZoneHealth::Unknown,
    }
}

impl Zones {
    pub fn start(
        timings: RecoveryTimings,
        zones: Vec<String>,
        of: &MemberConfig,
        seen: Seen,
        tell: Sender<Vec<ZoneTraffic>>,
    ) -> Zones {
        let config = FailoverConfig { id: id_of(of.address), zone: of.zone.clone(), zones, timings };
        Zones {
            localities: ZoneFailover::start(Log, config),
            seen,
            tell,
            told: Vec::new(),
            told_at: None,
            logged: Vec::new(),
        }
    }

    pub fn tick(&mut self, now: Duration, membership: &mut Membership<Wire>) {
        let own: Vec<OwnObservation> = {
            let (at, seen) = &*self.seen.lock().unwrap_or_else(PoisonError::into_inner);
            let more = now.saturating_sub(*at + SEEN_EVERY);
            let own = |seen: &ZoneObservation| OwnObservation {
                zone: seen.zone as usize,
                ready: seen.ready,
                health: looks(seen, more),
            };
            seen.iter().map(own).collect()
        };
        let peers = membership.members().filter(|member| member.state().is_live()).map(|member| PeerReport {
            id: id_of(member.address()),
            name: member.name(),
            zone: member.zone(),
            report: member.payload().map(|(report, _)| report),
            age: member.payload().map_or(Duration::ZERO, |(_, at)| now.saturating_sub(at)),
        });
        let urgent = self.localities.tick(now, &own, peers);
        self.log_looks();
        membership.set_payload(self.localities.report_bytes(), urgent);
        self.tell(now);
    }

    /// How each zone looks, here and to its neighbours, whenever that has changed.
    fn log_looks(&mut self) {
        let of = |standing: ZoneStatus<'_>| {
            let (near, looks) = (standing.evidence.same_zone, std::mem::discriminant(&standing.health));
            (looks, near.silent, near.answered)
        };
        let looks: Vec<_> = self.localities.statuses().map(of).collect();
        if looks == self.logged {
            return;
        }
        self.logged = looks;
        for standing in self.localities.statuses() {
            let near = standing.evidence.same_zone;
            tracing::debug!(
                zone = standing.zone,
                looks = ?standing.health,
                near_silent = near.silent,
                near_answered = near.answered,
                cut_off = self.localities.isolated(),
                "zones: looks"
            );
        }
    }

    fn tell(&mut self, now: Duration) {
        let share = |share: landingspread_localities::ZoneTraffic| ZoneTraffic {
            zone: share.zone as u32,
            fraction: share.traffic_fraction,
            trial: share.trial,
        };
        let shares: Vec<ZoneTraffic> = self.localities.traffic().into_iter().map(share).collect();
        let due = self.told_at.is_none_or(|at| at + TELL_EVERY <= now);
        // One that still waits is older: the next tick tells it anew.
        if (due || shares != self.told) && self.tell.try_send(shares.clone()).is_ok() {
            (self.told, self.told_at) = (shares, Some(now));
        }
    }

    /// Whether there is such a zone.
    pub fn operator_command(&mut self, now: Duration, zone: &str, leave: bool) -> bool {
        let command = if leave { OperatorCommand::Evacuate } else { OperatorCommand::Return };
        self.localities.operator_command(now, zone, command)
    }

    pub fn told(&self, json: bool, now: Duration) -> String {
        let rows: Vec<Row> = self.localities.statuses().map(|standing| Row::of(&standing, now)).collect();
        let cut_off = self.localities.isolated();
        if json {
            return serde_json::to_string(&Page { cut_off, zones: rows }).unwrap_or_default() + "\n";
        }
        let mut text = String::new();
        if cut_off {
            text += "this copy reaches no zone: it says nothing of any\n";
        }
        for row in &rows {
            // Writing to a String cannot fail.
            let _ = writeln!(text, "{row}");
        }
        text
    }
}

#[derive(Serialize)]
struct Page<'a> {
    cut_off: bool,
    zones: Vec<Row<'a>>,
}

/// Spans are seconds.
#[derive(Serialize)]
struct Row<'a> {
    zone: &'a str,
    verdict: &'static str,
    share: f64,
    number: u32,
    operators: bool,
    departures: u8,
    since_s: Option<f64>,
    trial: bool,
    ready: usize,
    looks: &'static str,
    near_silent: u32,
    near_answered: u32,
    all_silent: u32,
    all_answered: u32,
}

impl<'a> Row<'a> {
    fn of(standing: &ZoneStatus<'a>, now: Duration) -> Row<'a> {
        let Evidence { same_zone: near, all, .. } = standing.evidence;
        Row {
            zone: standing.zone,
            verdict: standing.stage.name(),
            share: standing.traffic_fraction,
            number: standing.number,
            operators: standing.by_operator,
            departures: standing.evacuations,
            since_s: standing.since.map(|at| (now.saturating_sub(at).as_secs_f64() * 100.0).round() / 100.0),
            trial: standing.trial,
            ready: standing.ready,
            looks: match standing.health {
                ZoneHealth::Unknown => "unknown",
                ZoneHealth::Answering { slow: false, .. } => "answers",
                ZoneHealth::Answering { slow: true, .. } => "slow",
                ZoneHealth::Silent { .. } => "silent",
            },
            near_silent: near.silent,
            near_answered: near.answered,
            all_silent: all.silent,
            all_answered: all.answered,
        }
    }
}

impl std::fmt::Display for Row<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Row { zone, verdict, share, number, departures, ready, looks, .. } = self;
        write!(f, "{verdict:9} {zone:12} share {share:.2}, verdict {number}, {departures} departures")?;
        match self.since_s {
            Some(since) => write!(f, ", for {since:.1} s")?,
            None => write!(f, ", as ever")?,
        }
        if self.operators {
            write!(f, ", by operators")?;
        }
        if self.trial {
            write!(f, ", this copy's turn to try")?;
        }
        let (near, all) = ((self.near_silent, self.near_answered), (self.all_silent, self.all_answered));
        write!(
            f,
            "; {ready} servers listed, {looks} from here; silent to {} and answering {} of this zone, {} and {} of all",
            near.0, near.1, all.0, all.1
        )
    }
}

#[cfg(test)]
#[path = "zones_tests.rs"]
mod tests;
