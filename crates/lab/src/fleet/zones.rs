//! Checks the replicas' zone verdicts and the requests that they send to each zone. A replica that can't reach
//! a zone soon sends only trials there, at a bounded rate; a zone that is reachable again gets its normal
//! traffic in time; no replica evacuates a zone that none has lost.

use super::plan::FleetPlan;
use serde::Serialize;
use std::collections::BTreeMap;

/// Bound on the violations that are described.
const MAX_VIOLATIONS: usize = 20;
/// Tolerance in seconds: the interval between snapshots and the time that taking one needs.
const TOLERANCE_S: f64 = 0.25;
/// Losses shorter than this, in seconds, need not be detected.
const MIN_LOSS_S: f64 = 2.0;
/// Seconds within which an operator command must take effect.
const OPERATOR_COMMAND_WITHIN_S: f64 = 2.0;
/// Seconds from the limit for leaving a zone until its trials are counted.
const SETTLE_TIME_S: f64 = 0.5;

/// A request or health check that a replica sent to a server.
#[derive(Clone, Copy, Debug)]
pub struct SentMessage {
    /// Seconds since the start of the run.
    pub at: f64,
    pub replica: usize,
    pub server: usize,
    /// Whether this is a health check.
    pub is_check: bool,
}

/// A replica's view of one zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneView {
    /// Fraction of its normal traffic that the zone gets; 0 if evacuated.
    pub share: f64,
    /// Whether an operator command is in force.
    pub by_operator: bool,
}

/// Whether a replica may use a zone, and the reason if it may not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ZoneLoss {
    /// The replica may use the zone.
    #[default]
    Usable,
    /// No message reaches the zone's servers.
    Unreachable,
    /// An operator evacuated the zone, and the command can have reached the replica.
    Evacuated,
}

/// The state of all replicas at one moment.
pub struct ZoneSnapshot {
    /// Seconds since the start of the run.
    pub at: f64,
    /// Whether each replica's process runs.
    pub runs: Vec<bool>,
    /// Expected state, by replica and zone.
    pub losses: Vec<Vec<ZoneLoss>>,
    /// Reported state, by replica and zone; `None` if the replica could not be queried.
    pub views: Vec<Option<Vec<ZoneView>>>,
}

/// A period in which one replica must not use one zone, for one reason.
#[derive(Clone, Debug)]
struct Episode {
    replica: usize,
    zone: usize,
    loss: ZoneLoss,
    from: f64,
    to: f64,
    /// Whether the replica ran throughout.
    ran: bool,
}

/// Outcome of a run. Durations are in seconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ZoneResults {
    /// Time from a loss until a replica sent its last request there other than trials: median and maximum over
    /// replicas and losses.
    #[serde(rename = "left_median")]
    pub median_leave_s: f64,
    #[serde(rename = "left_most")]
    pub max_leave_s: f64,
    /// Requests sent to a zone by replicas that had lost it.
    #[serde(rename = "relays_in_vain")]
    pub unreachable_requests: usize,
    /// Highest rate of trials and checks of a lost zone, per second over all replicas.
    #[serde(rename = "trials_most")]
    pub max_trials_per_s: f64,
    /// Longest time from the end of a loss until every replica sent the zone its normal traffic.
    #[serde(rename = "back_most")]
    pub max_return_s: f64,
    /// Highest number of times that one replica evacuated one zone.
    #[serde(rename = "departures_most")]
    pub max_departures: usize,
    /// Evacuations of a zone that no replica had lost.
    pub false_verdicts: usize,
    /// Descriptions of the first violations.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// Checks snapshots during a run and the messages sent after it.
pub struct ZoneChecker<'a> {
    plan: &'a FleetPlan,
    open_episodes: BTreeMap<(usize, usize), Episode>,
    episodes: Vec<Episode>,
    /// Per zone, at each snapshot: whether all replicas gave the zone its full share.
    full_share: Vec<Vec<(f64, bool)>>,
    /// Last reported share, by replica and zone.
    last_shares: BTreeMap<(usize, usize), f64>,
    departures: BTreeMap<(usize, usize), usize>,
    reported_false: Vec<(usize, usize)>,
    results: ZoneResults,
    last_snapshot_at: f64,
}

impl<'a> ZoneChecker<'a> {
    /// Creates a checker with the plan's limits, before the first snapshot.
    pub fn new(plan: &'a FleetPlan) -> ZoneChecker<'a> {
        ZoneChecker {
            plan,
            open_episodes: BTreeMap::new(),
            episodes: Vec::new(),
            full_share: vec![Vec::new(); plan.zones.len()],
            last_shares: BTreeMap::new(),
            departures: BTreeMap::new(),
            reported_false: Vec::new(),
            results: ZoneResults::default(),
            last_snapshot_at: 0.0,
        }
    }

    /// Checks a snapshot, which must come in order of time.
    pub fn observe(&mut self, snapshot: &ZoneSnapshot) {
        self.last_snapshot_at = snapshot.at;
        for zone in 0..self.plan.zones.len() {
            let mut all_full_share = true;
            for replica in 0..snapshot.runs.len() {
                self.track_loss(snapshot, replica, zone);
                if let Some(view) = snapshot.views[replica].as_ref().and_then(|views| views.get(zone)) {
                    all_full_share &= view.share >= 1.0;
                    self.check_verdict(snapshot, replica, zone, view);
                }
            }
            self.full_share[zone].push((snapshot.at, all_full_share));
        }
    }

    fn track_loss(&mut self, snapshot: &ZoneSnapshot, replica: usize, zone: usize) {
        let (key, loss) = ((replica, zone), snapshot.losses[replica][zone]);
        if let Some(episode) = self.open_episodes.get_mut(&key) {
            episode.to = snapshot.at;
            episode.ran &= snapshot.runs[replica];
            if episode.loss != loss {
                let ended = self.open_episodes.remove(&key);
                self.episodes.extend(ended);
            }
        }
        if loss != ZoneLoss::Usable && !self.open_episodes.contains_key(&key) {
            let ran = snapshot.runs[replica];
            self.open_episodes
                .insert(key, Episode { replica, zone, loss, from: snapshot.at, to: snapshot.at, ran });
        }
    }

    fn check_verdict(&mut self, snapshot: &ZoneSnapshot, replica: usize, zone: usize, view: &ZoneView) {
        let key = (replica, zone);
        let before = self.last_shares.insert(key, view.share).unwrap_or(1.0);
        if before > 0.0 && view.share <= 0.0 {
            *self.departures.entry(key).or_default() += 1;
        }
        let is_recent = |episode: &Episode| {
            episode.zone == zone && episode.to + self.plan.back_within + TOLERANCE_S >= snapshot.at
        };
        // A replica may evacuate a zone that only others have lost, since replicas share their verdicts.
        let lost_recently = self.open_episodes.values().chain(&self.episodes).any(is_recent);
        if view.share <= 0.0 && !view.by_operator && !lost_recently {
            if !self.reported_false.contains(&key) {
                self.reported_false.push(key);
                self.results.false_verdicts += 1;
                let zone = &self.plan.zones[zone];
                self.record_violation(format!(
                    "{:.1} s: c{replica} evacuated zone {zone}, which no replica had lost",
                    snapshot.at
                ));
            }
        } else {
            self.reported_false.retain(|reported| *reported != key);
        }
    }

    fn record_violation(&mut self, text: String) {
        if self.results.violations.len() < MAX_VIOLATIONS {
            self.results.violations.push(text);
        }
    }

    /// Ends the checks. `sent` are all messages that were sent, in any order.
    pub fn finish(mut self, sent: &[SentMessage]) -> ZoneResults {
        let still_open = std::mem::take(&mut self.open_episodes);
        self.episodes.extend(still_open.into_values());
        let zones = self.plan.zones.len();
        let mut left: Vec<f64> = Vec::new();
        for episode in self.episodes.clone() {
            let Episode { replica, zone, loss, from, to, ran } = episode;
            let is_request = |message: &&SentMessage| {
                message.replica == replica
                    && message.server % zones == zone
                    && !message.is_check
                    && (from..to).contains(&message.at)
            };
            let sent_at: Vec<f64> = sent.iter().filter(is_request).map(|message| message.at).collect();
            if loss == ZoneLoss::Unreachable {
                self.results.unreachable_requests += sent_at.len();
            }
            if !ran || to - from < MIN_LOSS_S {
                continue;
            }
            let last_sent_after = sent_at.iter().copied().fold(0.0_f64, |latest, at| latest.max(at - from));
            let limit =
                if loss == ZoneLoss::Evacuated { OPERATOR_COMMAND_WITHIN_S } else { self.plan.left_within };
            if loss == ZoneLoss::Unreachable {
                left.push(last_sent_after);
            }
            if last_sent_after > limit + TOLERANCE_S {
                let zone = &self.plan.zones[zone];
                self.record_violation(format!(
                    "{from:.1} s: c{replica} sent requests to zone {zone} up to {last_sent_after:.2} s after it lost the zone"
                ));
            }
        }
        left.sort_by(f64::total_cmp);
        self.results.median_leave_s = left.get(left.len() / 2).copied().unwrap_or(0.0);
        self.results.max_leave_s = left.last().copied().unwrap_or(0.0);
        self.check_trials(sent);
        self.check_returns();
        self.results.max_departures = self.departures.values().copied().max().unwrap_or(0);
        if let Some(most) = self.plan.max_departures
            && self.results.max_departures > most as usize
        {
            let departures = self.results.max_departures;
            self.record_violation(format!(
                "one replica evacuated one zone {departures} times; at most {most} are allowed"
            ));
        }
        self.results
    }

    /// Periods in which a zone was lost to at least one replica, with overlapping ones merged.
    fn loss_periods(&self, zone: usize) -> Vec<(f64, f64)> {
        let mut losses: Vec<(f64, f64)> =
            self.episodes.iter().filter(|e| e.zone == zone).map(|e| (e.from, e.to)).collect();
        losses.sort_by(|one, other| one.0.total_cmp(&other.0));
        let mut periods: Vec<(f64, f64)> = Vec::new();
        for (from, to) in losses {
            match periods.last_mut() {
                Some(last) if from <= last.1 + TOLERANCE_S => last.1 = last.1.max(to),
                _ => periods.push((from, to)),
            }
        }
        periods
    }

    fn check_trials(&mut self, sent: &[SentMessage]) {
        let zones = self.plan.zones.len();
        for zone in 0..zones {
            for (from, to) in self.loss_periods(zone) {
                let settled = from + self.plan.left_within + SETTLE_TIME_S;
                if to - settled < 1.0 {
                    continue;
                }
                let lost_to = |replica: usize| {
                    self.episodes.iter().any(|e| {
                        e.replica == replica
                            && e.zone == zone
                            && e.from <= settled
                            && e.to >= to - TOLERANCE_S
                    })
                };
                let checks = sent.iter().filter(|message| message.server % zones == zone && message.is_check);
                let count = checks
                    .filter(|message| (settled..to).contains(&message.at) && lost_to(message.replica))
                    .count();
                let per_s = count as f64 / (to - settled);
                self.results.max_trials_per_s = self.results.max_trials_per_s.max(per_s);
                if per_s > self.plan.max_trials_per_s {
                    let zone = &self.plan.zones[zone];
                    self.record_violation(format!("{from:.1} s: {per_s:.1} trials a second of zone {zone}"));
                }
            }
        }
    }

    fn check_returns(&mut self) {
        for zone in 0..self.plan.zones.len() {
            let periods = self.loss_periods(zone);
            for (number, (from, to)) in periods.iter().enumerate() {
                let next = periods.get(number + 1).map_or(self.last_snapshot_at, |(from, _)| *from);
                let evacuated = self.full_share[zone]
                    .iter()
                    .any(|(at, full_share)| (*from..=to + TOLERANCE_S).contains(at) && !full_share);
                if !evacuated {
                    continue;
                }
                // The first snapshot after the loss in which all replicas give the zone its full share.
                let until_next = |(at, _): &&(f64, bool)| *at > *to && *at <= next;
                let recovery = self.full_share[zone]
                    .iter()
                    .filter(until_next)
                    .find(|(_, full_share)| *full_share)
                    .map(|(at, _)| at - to);
                match recovery {
                    Some(recovery) => self.results.max_return_s = self.results.max_return_s.max(recovery),
                    None if next - to <= self.plan.back_within => continue,
                    None => {}
                }
                if recovery.is_none_or(|recovery| recovery > self.plan.back_within + TOLERANCE_S) {
                    let (zone, elapsed) = (&self.plan.zones[zone], recovery.unwrap_or(next - to));
                    self.record_violation(format!(
                        "{to:.1} s: zone {zone} was not used as ever by all after {elapsed:.1} s"
                    ));
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::plan::read;

    /// Results of two replicas that both lose zone b from 5 to 10 s, and report it evacuated during `evacuated`.
    fn results_for(evacuated: (f64, f64), sent: &[SentMessage]) -> ZoneResults {
        let text = "name = \"t\"\nback_within = 4.0\n";
        let plan = read("t", text, Some(2)).expect("the plan is valid");
        let mut checker = ZoneChecker::new(&plan);
        for at in 0..200 {
            let at = f64::from(at) * 0.1;
            let loss = if (5.0..10.0).contains(&at) { ZoneLoss::Unreachable } else { ZoneLoss::Usable };
            let share = if (evacuated.0..evacuated.1).contains(&at) { 0.0 } else { 1.0 };
            let view = |share| ZoneView { share, by_operator: false };
            checker.observe(&ZoneSnapshot {
                at,
                runs: vec![true; 2],
                losses: vec![vec![ZoneLoss::Usable, loss, ZoneLoss::Usable]; 2],
                views: vec![Some(vec![view(1.0), view(share), view(1.0)]); 2],
            });
        }
        checker.finish(sent)
    }

    fn message(at: f64, is_check: bool) -> SentMessage {
        SentMessage { at, replica: 1, server: 4, is_check }
    }

    #[test]
    fn lost_zones_are_checked_for_requests_trials_and_return() {
        let in_time = results_for(
            (5.6, 12.0),
            &[message(4.0, false), message(5.5, false), message(7.0, true), message(11.0, false)],
        );
        assert!(in_time.violations.is_empty(), "{:?}", in_time.violations);
        assert!(
            (in_time.max_leave_s - 0.5).abs() < 0.01
                && in_time.unreachable_requests == 1
                && in_time.max_departures == 1
        );
        assert!((in_time.max_return_s - 2.0).abs() < 0.2, "{}", in_time.max_return_s);
        assert_eq!(
            results_for((5.6, 12.0), &[message(7.5, false)]).violations.len(),
            1,
            "a request long after the loss"
        );
        let late = results_for((5.6, 15.0), &[]).violations;
        assert!(late.iter().any(|text| text.contains("was not used as ever")), "returned too late: {late:?}");
        assert_eq!(results_for((1.0, 3.0), &[]).false_verdicts, 2, "no replica had lost the zone");
        let many: Vec<SentMessage> = (0..40).map(|at| message(6.6 + f64::from(at) * 0.08, true)).collect();
        assert_eq!(results_for((5.6, 12.0), &many).violations.len(), 1, "too many trials");
    }
}
