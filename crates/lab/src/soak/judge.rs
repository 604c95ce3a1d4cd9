//! Checks the observations of a run against the rules that sidecars must keep under any fault, as the operators' pages
//! state them, with some additional time for delays of the test's own threads.

use super::plan::Plan;
use super::processes::rule_settings;
use super::record::{Attempt, Effect, ListChange, Observations, ProcessEvent, RequestOutcome, RequestRecord};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Allowance for delays of the test's own threads.
const TEST_DELAY: Duration = Duration::from_millis(150);
/// A response may arrive this long past the time limit of the request.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// An attempt may begin this long after its client has left.
const LEFT_GRACE: Duration = Duration::from_millis(100);
/// The remaining time that a sidecar passes on may exceed the real one by this much.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// A client that stops in the middle of a request must get a response or a close within this time.
const STALLED_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Sidecars must know of a change at discovery within this time.
const DISCOVERY_DELAY: Duration = Duration::from_secs(6);
/// Longest exit of a process. A request on a reused connection that ends during the exit may remain unread, as clients
/// send it again.
const MAX_EXIT_TIME: Duration = Duration::from_secs(5);
/// Requests on connections opened within this time after SIGTERM must get a response.
const CONNECTS_AFTER_TERM: Duration = Duration::from_millis(400);

/// A rule of the soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request that was read gets a response in time.
    Answer,
    /// A response belongs to its request.
    OwnAnswer,
    /// No effect happens twice, nor for a request that was rejected.
    Effect,
    /// Attempts of a request do not overlap unless the sidecar allows it.
    OneAtATime,
    /// A keyed request is repeated only within its deduplication group and window.
    Repeat,
    /// No attempt begins after its client has left.
    Gone,
    /// The remaining time passed on is not longer than the real one.
    Deadline,
    /// A draining server gets no new requests.
    Drain,
    /// A cold server is not overloaded by all sidecars together.
    SlowStart,
    /// Clients that stop in the middle of a request get a response or a close.
    Stalled,
    /// No process crashes, hangs while it starts or exits, or logs a violated invariant.
    Process,
}

/// A violation of a rule, with its time in the run.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time since the start of the run.
    pub at: Duration,
    /// Description of the violation with the objects concerned.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: {}", self.rule, self.at.as_secs_f64(), self.description)
    }
}

/// The violations and request counts of a run.
#[derive(Clone, Debug)]
pub struct SoakResult {
    /// All violations that were found.
    pub violations: Vec<Violation>,
    /// Number of requests.
    pub requests: usize,
    /// Number of attempts that reached servers.
    pub attempts: usize,
    /// Number of requests answered with status 200.
    pub answered: usize,
    /// Number of requests rejected with status 429 or 503.
    pub rejected: usize,
    /// Number of requests that ended with any other status.
    pub failed: usize,
    /// Number of requests whose client disconnected first.
    pub abandoned: usize,
    /// Requests whose connection ended before the response.
    pub interrupted: usize,
    /// Number of injected faults.
    pub faults: usize,
}

/// Checks a run; `crashes` are the crashes and invariant violations of the processes.
pub fn check(plan: &Plan, observations: &Observations, crashes: Vec<String>) -> SoakResult {
    let warm_rate = observations.attempts.len() as f64 / plan.servers as f64 / plan.duration.as_secs_f64();
    let capacity = rule_settings::CAPACITY_FACTOR * warm_rate;
    let mut checker =
        SoakChecker { observations, capacity, attempts: BTreeMap::new(), violations: Vec::new() };
    for attempt in &observations.attempts {
        checker.attempts.entry(&attempt.request_id).or_default().push(attempt);
    }
    for description in crashes {
        checker.add_violation(Rule::Process, plan.duration, description);
    }
    observations.requests.iter().for_each(|request| checker.check_request(request));
    checker.check_stalled_clients();
    checker.check_drains();
    checker.check_slow_starts();
    let count = |has_outcome: &dyn Fn(&RequestRecord) -> bool| {
        observations.requests.iter().filter(|request| has_outcome(request)).count()
    };
    let status = |request: &RequestRecord| match request.outcome {
        RequestOutcome::Answered { status, .. } => Some(status),
        _ => None,
    };
    SoakResult {
        requests: observations.requests.len(),
        attempts: observations.attempts.len(),
        answered: count(&|request| status(request) == Some(200)),
        rejected: count(&|request| matches!(status(request), Some(429 | 503))),
        failed: count(&|request| status(request).is_some_and(|status| !matches!(status, 200 | 429 | 503))),
        abandoned: count(&|request| request.outcome == RequestOutcome::ClientLeft),
        interrupted: count(&|request| matches!(request.outcome, RequestOutcome::ConnectionEnded { .. })),
        faults: observations.faults.len(),
        violations: checker.violations,
    }
}

struct SoakChecker<'a> {
    observations: &'a Observations,
    /// Requests per second that a warm server can process.
    capacity: f64,
    /// By request id, in the order in which they began.
    attempts: BTreeMap<&'a str, Vec<&'a Attempt>>,
    violations: Vec<Violation>,
}

impl<'a> SoakChecker<'a> {
    fn add_violation(&mut self, rule: Rule, at: Duration, description: String) {
        self.violations.push(Violation { rule, at, description });
    }

    /// The time of the last event of this kind at this sidecar, up to `before`.
    fn last_event(&self, sidecar: usize, event: ProcessEvent, before: Duration) -> Option<Duration> {
        let events = self.observations.process_events.iter();
        let matching = events.filter(|(at, to, kind)| *to == sidecar && *kind == event && *at <= before);
        matching.map(|(at, ..)| *at).next_back()
    }

    /// Whether the sidecar was killed by SIGKILL between these times.
    fn killed(&self, sidecar: usize, from: Duration, to: Duration) -> bool {
        self.last_event(sidecar, ProcessEvent::Kill, to + TEST_DELAY)
            .is_some_and(|at| at + TEST_DELAY >= from)
    }

    /// The time of a SIGTERM that the sidecar got within its longest exit time before `at`.
    fn exit_start(&self, sidecar: usize, at: Duration) -> Option<Duration> {
        self.last_event(sidecar, ProcessEvent::Term, at + TEST_DELAY)
            .filter(|term| *term + MAX_EXIT_TIME >= at)
    }

    /// Whether idle clients occupied the sidecar's connections at this time or shortly before.
    fn crowded(&self, sidecar: usize, at: Duration) -> bool {
        let connected = self.last_event(sidecar, ProcessEvent::IdleClientsConnected, at + TEST_DELAY);
        let left = self.last_event(sidecar, ProcessEvent::IdleClientsLeft, at);
        connected
            .is_some_and(|connected| left.is_none_or(|left| left < connected || at < left + MAX_EXIT_TIME))
    }

    /// How long the sidecar was stopped by SIGSTOP between these times, at most.
    fn paused(&self, sidecar: usize, from: Duration, to: Duration) -> Duration {
        let stopped =
            self.last_event(sidecar, ProcessEvent::Stop, to).filter(|at| *at + MAX_EXIT_TIME >= from);
        let Some(stopped) = stopped else { return Duration::ZERO };
        let resumed = self
            .observations
            .process_events
            .iter()
            .find(|(at, to, kind)| *to == sidecar && *kind == ProcessEvent::Cont && *at >= stopped);
        resumed.map_or(to, |(at, ..)| *at).saturating_sub(stopped)
    }

    fn check_request(&mut self, request: &'a RequestRecord) {
        let attempts: Vec<&Attempt> =
            self.attempts.get(request.request_id.as_str()).cloned().unwrap_or_default();
        self.check_outcome(request, &attempts);
        self.check_effects(request, &attempts);
        self.check_times(request, &attempts);
    }

    fn check_outcome(&mut self, request: &RequestRecord, attempts: &[&Attempt]) {
        let RequestRecord { request_id, sidecar, written, time_limit, ended, .. } = request;
        let killed = self.killed(*sidecar, *written, *ended);
        let context = format!("{request_id} at n{sidecar}, written at {:.3} s", written.as_secs_f64());
        match &request.outcome {
            RequestOutcome::Answered { body_matches: false, .. } => {
                self.add_violation(
                    Rule::OwnAnswer,
                    *ended,
                    format!("{context}: response to another request"),
                );
            }
            RequestOutcome::Answered { status, .. } => {
                let paused = self.paused(*sidecar, *written, *ended);
                if *ended > *written + *time_limit + RESPONSE_GRACE + TEST_DELAY + paused {
                    let late = (*ended - *written - *time_limit).as_secs_f64();
                    self.add_violation(
                        Rule::Answer,
                        *ended,
                        format!("{context}: {status}, {late:.3} s past its time limit"),
                    );
                }
            }
            RequestOutcome::NoResponse if !killed => {
                self.add_violation(Rule::Answer, *ended, format!("{context}: no response"));
            }
            RequestOutcome::ConnectionEnded { response_begun: false } if !killed => {
                let exit_start = self.exit_start(*sidecar, *ended);
                // The request was not read, which is allowed, or was read and lost. An attempt shows that it was read.
                let may_be_unread = match exit_start {
                    Some(term) => request.reused || request.connected > term + CONNECTS_AFTER_TERM,
                    None => self.crowded(*sidecar, *ended),
                };
                if !may_be_unread || !attempts.is_empty() {
                    let attempt_count = attempts.len();
                    let description = format!(
                        "{context}, reused connection: {}: closed without a response, {attempt_count} attempts",
                        request.reused
                    );
                    self.add_violation(Rule::Answer, *ended, description);
                }
            }
            _ => {}
        }
    }

    fn check_effects(&mut self, request: &RequestRecord, attempts: &[&Attempt]) {
        let ran: Vec<&&Attempt> = attempts.iter().filter(|attempt| attempt.ran).collect();
        let context = format!("{} at n{}", request.request_id, request.sidecar);
        if request.effect == Effect::AtMostOnce && ran.len() > 1 {
            self.add_violation(Rule::Effect, ran[1].began, format!("{context}: it ran {} times", ran.len()));
        }
        let rejected = matches!(request.outcome, RequestOutcome::Answered { status: 429 | 503, .. });
        let limited_scope = rule_settings::dedup_scope(request.sidecar) != "all";
        let harmful =
            request.effect == Effect::AtMostOnce || (request.effect == Effect::Deduplicated && limited_scope);
        if rejected && harmful && !ran.is_empty() {
            self.add_violation(Rule::Effect, ran[0].began, format!("{context}: it ran and was rejected"));
        }
        if request.effect == Effect::Deduplicated
            && let Some((first, further)) = ran.split_first()
        {
            for attempt in further {
                let same_group = match rule_settings::dedup_scope(request.sidecar) {
                    "all" => true,
                    "zone" => attempt.zone == first.zone,
                    _ => attempt.cell == first.cell,
                };
                let late = attempt.began > first.began + rule_settings::DEDUP_WINDOW + TEST_DELAY;
                if !same_group || late {
                    let description = format!(
                        "{context}: repeated at {}, same group: {same_group}, late: {late}",
                        attempt.server
                    );
                    self.add_violation(Rule::Repeat, attempt.began, description);
                }
            }
        }
        if !rule_settings::allows_parallel_attempts(request.sidecar) {
            for pair in attempts.windows(2) {
                if pair[0].ended.is_some_and(|ended| pair[1].began + TEST_DELAY < ended) {
                    let description = format!(
                        "{context}: attempt at {} overlaps the one at {}",
                        pair[1].server, pair[0].server
                    );
                    self.add_violation(Rule::OneAtATime, pair[1].began, description);
                }
            }
        }
    }

    fn check_times(&mut self, request: &RequestRecord, attempts: &[&Attempt]) {
        let client_left = (request.outcome == RequestOutcome::ClientLeft).then_some(request.ended);
        for attempt in attempts {
            let context = format!("{} at n{} to {}", request.request_id, request.sidecar, attempt.server);
            let paused = self.paused(request.sidecar, request.written, attempt.began);
            if let Some(client_left) = client_left
                .filter(|client_left| attempt.began > *client_left + LEFT_GRACE + TEST_DELAY + paused)
            {
                let late = (attempt.began - client_left).as_secs_f64();
                self.add_violation(
                    Rule::Gone,
                    attempt.began,
                    format!("{context}: {late:.3} s after its client left"),
                );
            }
            let remaining = (request.written + request.time_limit).saturating_sub(attempt.began);
            let passed_on = Duration::from_millis(attempt.remaining_ms.unwrap_or(u64::from(u32::MAX)));
            if passed_on > remaining + DEADLINE_SLACK + TEST_DELAY / 3 + paused {
                let description = format!("{context}: passed on {passed_on:?}, {remaining:?} remained");
                self.add_violation(Rule::Deadline, attempt.began, description);
            }
        }
    }

    fn check_stalled_clients(&mut self) {
        for stalled in &self.observations.stalled_clients {
            let until = stalled.since + STALLED_CLIENT_TIMEOUT + TEST_DELAY;
            let ended = stalled.notified.unwrap_or(until + TEST_DELAY);
            let paused = self.paused(stalled.sidecar, stalled.since, until);
            if ended > until + paused && !self.killed(stalled.sidecar, stalled.since, ended) {
                let description =
                    format!("n{}: response or close at {:?}", stalled.sidecar, stalled.notified);
                self.add_violation(Rule::Stalled, stalled.since, description);
            }
        }
    }

    /// The end of the last discovery outage that may delay news between these times; `from` if there is none.
    fn reachable_again(&self, from: Duration, to: Duration) -> Duration {
        use super::plan::FaultKind::{DiscoveryDown, DiscoverySilent, DiscoveryStale, Reload};
        let outages = self.observations.faults.iter().filter(|(at, fault)| {
            let is_outage = matches!(fault.kind, DiscoveryDown | DiscoveryStale | DiscoverySilent | Reload);
            is_outage && *at <= to && *at + fault.duration + DISCOVERY_DELAY >= from
        });
        outages.map(|(at, fault)| *at + fault.duration).max().unwrap_or(from).max(from)
    }

    fn check_drains(&mut self) {
        let observations = self.observations;
        for (at, server, change) in &observations.list_changes {
            if *change != ListChange::Draining {
                continue;
            }
            let known = self.reachable_again(*at, *at + DISCOVERY_DELAY) + DISCOVERY_DELAY;
            let until = known + rule_settings::DRAIN_GRACE + TEST_DELAY;
            let late = observations
                .attempts
                .iter()
                .find(|attempt| attempt.server == *server && attempt.began > until);
            if let Some(late) = late {
                let description = format!(
                    "{} to {server}, which has been draining since {:.3} s",
                    late.request_id,
                    at.as_secs_f64()
                );
                self.add_violation(Rule::Drain, late.began, description);
            }
        }
    }

    /// In no overload window does a cold server get more attempts than allowed.
    fn check_slow_starts(&mut self) {
        let observations = self.observations;
        for (at, server, change) in &observations.list_changes {
            if *change != ListChange::Started {
                continue;
            }
            let cold = observations.attempts.iter().filter(|attempt| attempt.server == *server);
            let began: Vec<Duration> =
                cold.map(|attempt| attempt.began).filter(|began| began >= at).collect();
            for (number, end) in began.iter().enumerate() {
                let age = end.saturating_sub(*at);
                if age >= rule_settings::WARMUP {
                    break;
                }
                let from = end.saturating_sub(rule_settings::OVERLOAD_WINDOW);
                let count = began[..=number].iter().filter(|began| **began > from).count() as f64;
                let warmed = age.as_secs_f64() / rule_settings::WARMUP.as_secs_f64();
                let share =
                    rule_settings::INITIAL_FRACTION + (1.0 - rule_settings::INITIAL_FRACTION) * warmed;
                let allowed = rule_settings::OVERLOAD_MULTIPLE
                    * self.capacity
                    * share
                    * rule_settings::OVERLOAD_WINDOW.as_secs_f64();
                if count > overload_limit(allowed) {
                    let description = format!(
                        "{server}: {count} attempts within {:?}, {allowed:.1} allowed",
                        rule_settings::OVERLOAD_WINDOW
                    );
                    self.add_violation(Rule::SlowStart, *end, description);
                    break;
                }
            }
        }
    }
}

/// The number of attempts above which a cold server counts as overloaded: the allowed number and the operators' margin
/// for random variation.
fn overload_limit(allowed: f64) -> f64 {
    let margin = if allowed < 30.0 { 3.0 * allowed.sqrt() + 3.0 } else { 2.0 * allowed.sqrt() + 2.0 };
    allowed + margin
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn request(effect: Effect, outcome: RequestOutcome, ended: u64) -> RequestRecord {
        RequestRecord {
            request_id: "r".into(),
            effect,
            sidecar: 1,
            connected: at(0),
            reused: true,
            written: at(1000),
            time_limit: at(500),
            outcome,
            ended: at(ended),
        }
    }

    fn attempt(server: &str, began: u64, ended: u64, remaining_ms: u64) -> Attempt {
        Attempt {
            request_id: "r".into(),
            server: server.into(),
            zone: 0,
            cell: 0,
            began: at(began),
            remaining_ms: Some(remaining_ms),
            ended: Some(at(ended)),
            ran: true,
        }
    }

    fn broken_rules(request: RequestRecord, attempts: Vec<Attempt>) -> Vec<Rule> {
        let plan = Plan::sized(1, at(5000), 2, 2);
        let observations = Observations { requests: vec![request], attempts, ..Observations::default() };
        check(&plan, &observations, Vec::new()).violations.iter().map(|violation| violation.rule).collect()
    }

    #[test]
    fn each_rule_reports_its_violation_and_a_normal_request_none() {
        let ok = || RequestOutcome::Answered { status: 200, body_matches: true };
        let once = || vec![attempt("s1", 1002, 1020, 497)];
        assert_eq!(broken_rules(request(Effect::AtMostOnce, ok(), 1025), once()), []);
        let other = RequestOutcome::Answered { status: 200, body_matches: false };
        assert_eq!(broken_rules(request(Effect::Idempotent, other, 1025), once()), [Rule::OwnAnswer]);
        assert_eq!(broken_rules(request(Effect::Idempotent, ok(), 2300), once()), [Rule::Answer]);
        assert_eq!(
            broken_rules(request(Effect::Idempotent, RequestOutcome::NoResponse, 3000), once()),
            [Rule::Answer]
        );
        let closed = RequestOutcome::ConnectionEnded { response_begun: false };
        assert_eq!(broken_rules(request(Effect::Idempotent, closed, 1100), Vec::new()), [Rule::Answer]);
        let rejected = RequestOutcome::Answered { status: 503, body_matches: true };
        assert_eq!(broken_rules(request(Effect::AtMostOnce, rejected, 1100), once()), [Rule::Effect]);
        let again = vec![attempt("s1", 1002, 1020, 497), attempt("s2", 1030, 1040, 470)];
        assert_eq!(broken_rules(request(Effect::AtMostOnce, ok(), 1100), again), [Rule::Effect]);
        let overlapping = vec![attempt("s1", 1002, 1400, 497), attempt("s2", 1030, 1040, 470)];
        assert_eq!(broken_rules(request(Effect::Idempotent, ok(), 1100), overlapping), [Rule::OneAtATime]);
        let late = vec![attempt("s1", 1500, 1510, 10)];
        assert_eq!(
            broken_rules(request(Effect::Idempotent, RequestOutcome::ClientLeft, 1050), late),
            [Rule::Gone]
        );
        let late_deadline = vec![attempt("s1", 1400, 1410, 499)];
        assert_eq!(broken_rules(request(Effect::Idempotent, ok(), 1450), late_deadline), [Rule::Deadline]);
    }

    #[test]
    fn excess_attempts_at_a_cold_server_are_reported() {
        let plan = Plan::sized(1, at(5000), 2, 2);
        let violation_count = |every_ms: u64| {
            // The warm server gets as many over the run as gives each server a capacity of 60 per second.
            let warm = (0..420).map(|number| attempt("s0", number * 11, 1001, 1));
            let cold = (0..60).map(|number| attempt("s1", 1000 + number * every_ms, 1001, 1));
            let attempts = warm.chain(cold).collect();
            let list_changes = vec![(at(1000), "s1".to_string(), ListChange::Started)];
            let observations = Observations { attempts, list_changes, ..Observations::default() };
            check(&plan, &observations, Vec::new()).violations.len()
        };
        assert_eq!((violation_count(15), violation_count(60)), (1, 0));
    }
}
