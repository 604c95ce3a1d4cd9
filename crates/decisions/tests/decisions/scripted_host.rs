//! A host whose network is scripted by the test, and which checks three rules at every call:
//!
//! 1. Each request has exactly one final response, at most `RESPONSE_SLACK` after its deadline.
//! 2. Attempts of a request overlap only with hedging, and a request that may have run is sent again or rejected only where
//!    its class allows it, within `DEDUPLICATION_WINDOW`.
//! 3. No attempt starts more than `REMOVAL_GRACE` after its server was removed, set to draining or excluded.

use landingspread_decisions::host::{
    AttemptEnd, Event, Host, Id, Lifecycle, ListedServer, LoadReport, Outcome, RequestArrival,
};
use landingspread_decisions::policy::Policy;
use landingspread_decisions::settings::Settings;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long after its deadline a request may have its final response: one sweep.
pub const RESPONSE_SLACK: Duration = Duration::from_millis(20);
/// How long after a server became unavailable an attempt may still start there.
pub const REMOVAL_GRACE: Duration = Duration::from_millis(500);
/// How long servers remember idempotency keys; the `MemorySpan` of each class.
pub const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(700);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Settings of four classes: 0 is idempotent, 1 is deduplicated within `scope`, 2 runs at most once, and 3 is deduplicated
/// by all servers. `extra` has further settings, which override these.
pub fn test_settings(scope: &str, extra: &str) -> Settings {
    let mut text = String::from(
        "Discovery=automatic Balancers=1 Rules.ColdShare=0.3 Rules.Cold=8000000 Rules.TipMultiple=3 \
         Rules.Fall=2000000 Rules.AskEvery=10000000 PolicyLimits.MayCancel=true PolicyLimits.MostRelays=4 \
         PolicyLimits.Probes=true PolicyLimits.RetryAfter=true PolicyLimits.MaxRetryAfter=2000000 Verbs.count=4",
    );
    let effects = ["idempotent", "deduplicated", "at_most_once", "deduplicated"];
    for (index, effect) in effects.iter().enumerate() {
        let scope = if index == 3 { "all" } else { scope };
        text += &format!(
            " Verbs.{index}.Effect={effect} Verbs.{index}.KeyScope={scope} Verbs.{index}.MemorySpan=700000"
        );
        text += &format!(
            " Verbs.{index}.ResponseGoal=1000000 Verbs.{index}.TimeLimit=3000000 Verbs.{index}.Utility=2"
        );
    }
    // Of two values of one setting the last counts, so that `extra` may override.
    Settings::decode(&format!("{text} {extra}")).expect("the test's settings are valid")
}

/// How a request ended for its client.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FinalResponse {
    Answered,
    Rejected,
    Failed,
    ClientDisconnected,
}

/// An attempt that the policy started, with its outcome once it has ended.
pub struct TrackedAttempt {
    pub server: Id,
    pub sent_at: Duration,
    pub deadline: Duration,
    pub outcome: Option<Outcome>,
    pub cancelled: bool,
}

/// A submitted request with its attempts and final response.
pub struct TrackedRequest {
    pub class: usize,
    pub deadline: Duration,
    pub attempts: Vec<TrackedAttempt>,
    pub final_response: Option<FinalResponse>,
    /// The last byte of the request's body has not arrived.
    pub body_incomplete: bool,
    /// The body was incomplete on arrival, so that it is passed on in parts, each of which can be sent once.
    pub body_streamed: bool,
    /// The part of the body that was sent can't be sent again.
    pub body_consumed: bool,
}

/// What the host knows: the time, the endpoint list, the requests, and the policy's calls that tests inspect.
#[derive(Default)]
pub struct HostState {
    pub now: Duration,
    pub listed: BTreeMap<Id, ListedServer>,
    /// Servers that the endpoint list shows as draining or removed, and since when.
    pub unavailable_since: BTreeMap<Id, Duration>,
    /// Servers that operators have excluded, and since when.
    pub excluded_since: BTreeMap<Id, Duration>,
    pub requests: BTreeMap<Id, TrackedRequest>,
    pub health_checks: Vec<Id>,
    pub logged_events: Vec<String>,
    pub connections_closed: Vec<Id>,
    pub peer_messages: Vec<Vec<u8>>,
    pub retry_after: Option<Duration>,
    pub discovery_polls: usize,
    pub scope: String,
    pub hedging: bool,
}

impl HostState {
    /// Whether a retry at the later server may follow an attempt at the earlier one that may have run.
    fn deduplicates_retry(&self, class: usize, earlier: &Id, later: &Id) -> bool {
        let (earlier, later) = (&self.listed[earlier], &self.listed[later]);
        match (class, self.scope.as_str()) {
            (0 | 3, _) | (1, "all") => true,
            (1, "zone") => earlier.zone == later.zone,
            (1, _) => earlier.cell == later.cell && earlier.zone == later.zone,
            _ => false,
        }
    }

    fn record_final_response(&mut self, id: &Id, response: FinalResponse) {
        let request = self.requests.get_mut(id).expect("the request was submitted");
        assert_eq!(request.final_response, None, "rule 1: {id} has a second final response");
        assert!(
            self.now <= request.deadline + RESPONSE_SLACK,
            "rule 1: the final response of {id} is past its deadline"
        );
        request.final_response = Some(response);
    }

    pub fn attempts_to(&self, server: &str) -> usize {
        self.requests
            .values()
            .flat_map(|request| &request.attempts)
            .filter(|attempt| &*attempt.server == server)
            .count()
    }

    pub fn overdue_requests(&self) -> usize {
        self.requests
            .values()
            .filter(|request| {
                request.final_response.is_none() && self.now > request.deadline + RESPONSE_SLACK
            })
            .count()
    }
}

/// The host of a policy under test; shares its state with the `Harness`.
#[derive(Clone, Default)]
pub struct ScriptedHost(pub Rc<RefCell<HostState>>);

impl Host for ScriptedHost {
    fn start_attempt(&mut self, id: &Id, server: &Id, deadline: Duration) {
        let mut state = self.0.borrow_mut();
        let request = &state.requests[id];
        assert_eq!(request.final_response, None, "rule 1: an attempt of {id} after its final response");
        assert!(!request.body_consumed, "an attempt of {id}, whose body was consumed");
        let unavailable = state.unavailable_since.get(server);
        assert!(
            unavailable.is_none_or(|since| state.now <= *since + REMOVAL_GRACE),
            "rule 3: an attempt to the unavailable server {server}"
        );
        let excluded = state.excluded_since.get(server);
        assert!(
            excluded.is_none_or(|since| state.now <= *since + REMOVAL_GRACE),
            "rule 3: an attempt to the excluded server {server}"
        );
        for earlier in &request.attempts {
            assert!(earlier.outcome.is_some() || state.hedging, "rule 2: two attempts of {id} at once");
            assert!(
                earlier.outcome.is_some() || !request.body_streamed,
                "two attempts of {id} would share one streamed body"
            );
            if earlier.outcome.is_none_or(|outcome| !outcome.never_ran()) {
                assert!(
                    state.deduplicates_retry(request.class, &earlier.server, server),
                    "rule 2: a retry of {id} that {server} does not deduplicate"
                );
                assert!(
                    request.class == 0 || state.now <= earlier.sent_at + DEDUPLICATION_WINDOW,
                    "rule 2: a retry of {id} past the deduplication window"
                );
            }
        }
        let deadline = deadline.min(request.deadline);
        let attempt = TrackedAttempt {
            server: server.clone(),
            sent_at: state.now,
            deadline,
            outcome: None,
            cancelled: false,
        };
        state.requests.get_mut(id).expect("the request was submitted").attempts.push(attempt);
    }

    fn reject(&mut self, id: &Id, retry_after: Option<Duration>) {
        let mut state = self.0.borrow_mut();
        let request = &state.requests[id];
        let may_have_run =
            request.attempts.iter().any(|attempt| attempt.outcome.is_none_or(|outcome| !outcome.never_ran()));
        let safe_to_run_twice =
            matches!(request.class, 0 | 3) || (request.class == 1 && state.scope == "all");
        assert!(safe_to_run_twice || !may_have_run, "rule 2: {id} is rejected, but may have run");
        state.retry_after = retry_after;
        state.record_final_response(id, FinalResponse::Rejected);
    }

    fn fail(&mut self, id: &Id) {
        self.0.borrow_mut().record_final_response(id, FinalResponse::Failed);
    }

    fn cancel_attempt(&mut self, id: &Id, attempt: u32) {
        let mut state = self.0.borrow_mut();
        let request = state.requests.get_mut(id).expect("the request was submitted");
        request.attempts[attempt as usize].cancelled = true;
    }

    fn check_health(&mut self, server: &Id) {
        let excluded = self.0.borrow().excluded_since.contains_key(server);
        assert!(!excluded, "a health check of the excluded server {server}");
        self.0.borrow_mut().health_checks.push(server.clone());
    }

    fn wake_after(&mut self, _: Duration) {}

    fn poll_discovery(&mut self) {
        self.0.borrow_mut().discovery_polls += 1;
    }

    fn close_idle_connections(&mut self, server: &Id) {
        self.0.borrow_mut().connections_closed.push(server.clone());
    }

    fn send_to_peers(&mut self, _: Option<u32>, message: &[u8]) {
        assert!(message.len() <= 256, "a peer message exceeds 256 bytes");
        self.0.borrow_mut().peer_messages.push(message.to_vec());
    }

    fn log(&mut self, event: &Event) {
        self.0.borrow_mut().logged_events.push(event.to_string());
    }
}

/// A policy under test and its host. Its methods are the events of a test.
pub struct Harness {
    pub host: ScriptedHost,
    pub policy: Policy<ScriptedHost>,
    request_count: u64,
}

pub fn entry(server: &str, state: Lifecycle) -> ListedServer {
    let number: u32 = server.trim_start_matches('s').parse().unwrap_or(0);
    ListedServer {
        server: server.into(),
        zone: number % 2,
        cell: number % 4,
        lifecycle: state,
        nominal_capacity: 1.0,
        started_at: None,
    }
}

impl Harness {
    pub fn new(settings: Settings, scope: &str, seed: u64, servers: u32) -> Self {
        let host = ScriptedHost::default();
        let state = HostState {
            scope: scope.into(),
            hedging: settings.capabilities.hedging,
            now: ms(1000),
            ..HostState::default()
        };
        host.0.replace(state);
        let policy = Policy::start(host.clone(), settings, seed, ms(1000));
        let mut harness = Harness { host, policy, request_count: 0 };
        let entries: Vec<_> =
            (0..servers).map(|index| entry(&format!("s{index}"), Lifecycle::Ready)).collect();
        harness.record_list(&entries);
        harness.policy.endpoint_list_cached(ms(1000), &entries);
        harness
    }

    pub fn now(&self) -> Duration {
        self.host.0.borrow().now
    }

    pub fn record_list(&mut self, entries: &[ListedServer]) {
        let mut state = self.host.0.borrow_mut();
        let now = state.now;
        for entry in entries {
            if entry.lifecycle == Lifecycle::Ready {
                state.unavailable_since.remove(&entry.server);
            } else {
                state.unavailable_since.entry(entry.server.clone()).or_insert(now);
            }
            state.listed.insert(entry.server.clone(), entry.clone());
        }
    }

    pub fn change_list(&mut self, entries: &[ListedServer]) {
        self.record_list(entries);
        self.policy.endpoint_list_changed(self.now(), entries);
    }

    /// Excludes the server or includes it again, as operators do. Returns whether any list has named the server.
    pub fn set_excluded(&mut self, server: &str, excluded: bool) -> bool {
        let (now, id) = (self.now(), Id::from(server));
        if !excluded {
            self.host.0.borrow_mut().excluded_since.remove(&id);
            return self.policy.include_server(now, &id, now);
        }
        let known = self.policy.exclude_server(now, &id);
        if known {
            self.host.0.borrow_mut().excluded_since.entry(id).or_insert(now);
        }
        known
    }

    pub fn submit(&mut self, class: usize, timeout: Duration) -> Id {
        self.submit_request(class, timeout, false)
    }

    /// Submits a request whose body is still incomplete.
    pub fn submit_incomplete(&mut self, class: usize) -> Id {
        self.submit_request(class, ms(900_000), true)
    }

    fn submit_request(&mut self, class: usize, timeout: Duration, incomplete: bool) -> Id {
        self.request_count += 1;
        let id: Id = format!("c{:05}", self.request_count).into();
        let now = self.now();
        let deadline = now + timeout;
        let tracked = TrackedRequest {
            class,
            deadline,
            attempts: Vec::new(),
            final_response: None,
            body_incomplete: incomplete,
            body_streamed: incomplete,
            body_consumed: false,
        };
        self.host.0.borrow_mut().requests.insert(id.clone(), tracked);
        self.policy.request_arrived(
            now,
            RequestArrival {
                id: id.clone(),
                class,
                deadline,
                body_incomplete: incomplete,
                tenant: 0,
                declared_work: None,
            },
        );
        id
    }

    /// Open requests whose bodies are incomplete.
    pub fn incomplete_requests(&self) -> Vec<Id> {
        let state = self.host.0.borrow();
        let incomplete = state
            .requests
            .iter()
            .filter(|(_, request)| request.body_incomplete && request.final_response.is_none());
        incomplete.map(|(id, _)| id.clone()).collect()
    }

    pub fn complete_body(&mut self, id: &Id, timeout: Duration) {
        let (now, deadline) = (self.now(), self.now() + timeout);
        {
            let mut state = self.host.0.borrow_mut();
            let request = state.requests.get_mut(id).expect("the request was submitted");
            (request.body_incomplete, request.deadline) = (false, deadline);
            // An attempt counts as sent when the last byte of the body has arrived.
            for attempt in request.attempts.iter_mut().filter(|attempt| attempt.outcome.is_none()) {
                (attempt.sent_at, attempt.deadline) = (now, attempt.deadline.min(deadline));
            }
        }
        self.policy.body_completed(self.now(), id, deadline);
    }

    /// The attempts in flight as request id and attempt number, oldest request first.
    pub fn open_attempts(&self) -> Vec<(Id, u32)> {
        let state = self.host.0.borrow();
        let mut open = Vec::new();
        for (id, request) in &state.requests {
            for (number, attempt) in (0u32..).zip(&request.attempts) {
                if attempt.outcome.is_none() {
                    open.push((id.clone(), number));
                }
            }
        }
        open
    }

    pub fn end_attempt(&mut self, id: &Id, number: u32, outcome: Outcome, load: LoadReport) {
        self.end_attempt_with_body(id, number, outcome, load, false);
    }

    pub fn end_attempt_with_body(
        &mut self,
        id: &Id,
        number: u32,
        outcome: Outcome,
        load: LoadReport,
        consumed: bool,
    ) {
        let attempt_end = {
            let mut state = self.host.0.borrow_mut();
            let now = state.now;
            let request = state.requests.get_mut(id).expect("the request was submitted");
            let attempt = &mut request.attempts[number as usize];
            attempt.outcome = Some(outcome);
            let (server, latency) = (attempt.server.clone(), now - attempt.sent_at);
            if outcome == Outcome::Ok && request.final_response.is_none() {
                request.final_response = Some(FinalResponse::Answered);
            }
            request.body_consumed |= consumed;
            let closed = request.final_response.is_some();
            AttemptEnd {
                request: id.clone(),
                request_closed: closed,
                body_consumed: consumed,
                outcome,
                attempt: number,
                latency,
                server,
                load,
            }
        };
        self.policy.attempt_ended(self.now(), attempt_end);
    }

    pub fn disconnect_client(&mut self, id: &Id) {
        let open = self.host.0.borrow().requests[id].final_response.is_none();
        if open {
            self.host.0.borrow_mut().record_final_response(id, FinalResponse::ClientDisconnected);
            self.policy.client_disconnected(self.now(), id);
        }
    }

    /// Advances the time sweep by sweep. Attempts that were cancelled or are past their deadlines end.
    pub fn advance(&mut self, duration: Duration) {
        let until = self.now() + duration;
        while self.now() < until {
            let now = (self.now() + ms(20)).min(until);
            self.host.0.borrow_mut().now = now;
            for (id, number) in self.open_attempts() {
                let (cancelled, past_deadline) = {
                    let state = self.host.0.borrow();
                    let attempt = &state.requests[&id].attempts[number as usize];
                    (attempt.cancelled, attempt.deadline <= now)
                };
                if cancelled || past_deadline {
                    let outcome = if cancelled { Outcome::Cancelled } else { Outcome::Timeout };
                    self.end_attempt(&id, number, outcome, LoadReport::default());
                }
            }
            self.policy.timer_fired(now);
            assert_eq!(
                self.host.0.borrow().overdue_requests(),
                0,
                "rule 1: a request has no final response in time"
            );
        }
    }

    /// Submits a request and ends all attempts in flight after one sweep, each with the outcome for its server.
    pub fn run_request(&mut self, class: usize, outcome_of: impl Fn(&str) -> Outcome) -> Id {
        let id = self.submit(class, ms(3000));
        self.advance(ms(20));
        for (id, number) in self.open_attempts() {
            let server = self.host.0.borrow().requests[&id].attempts[number as usize].server.clone();
            self.end_attempt(&id, number, outcome_of(&server), LoadReport::default());
        }
        id
    }

    pub fn end_health_checks(&mut self, outcome: Outcome) {
        let health_checks = std::mem::take(&mut self.host.0.borrow_mut().health_checks);
        for server in health_checks {
            self.policy.health_check_ended(self.now(), outcome, &server, LoadReport::default());
        }
    }

    pub fn final_response(&self, id: &Id) -> Option<FinalResponse> {
        self.host.0.borrow().requests[id].final_response
    }

    pub fn has_logged(&self, text: &str) -> bool {
        self.host.0.borrow().logged_events.iter().any(|event| event.starts_with(text))
    }
}
