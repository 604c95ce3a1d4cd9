//! The decisions of one replica: which server gets a request, whether a further attempt is made, how long a request is
//! queued, and when it is rejected. `docs/design.md` gives the reasons.
//!
//! A host calls `Policy::start` and then one method for each event, in the order of the events; each method acts by
//! calling the `Host`. No method reads a clock: the host passes the time in.
//!
//! The path of a request through the submodules:
//!
//! 1. `request_arrived`: `admission` records it and adds it to the queue; `preselection` may check servers first.
//! 2. `dispatch_queued` (`admission`) tries the queued requests by rank: `selection` draws a server by weight within
//!    the `capacity`, and `attempts` sends the request there.
//! 3. `shed_queued` (`admission`) rejects requests that would hardly be answered in time.
//! 4. `attempt_ended`: `load_reports`, `concurrency_limits`, `outlier_ejection` and `idle_connections` record the
//!    outcome, and `retry` decides on a further attempt.
//!
//! A periodic sweep (`timer_fired`) detects overdue attempts, starts due health checks, updates the window, and tries
//! the queue again.

mod admission;
mod attempts;
mod capacity;
mod concurrency_limits;
mod discovery;
mod health_checks;
mod idle_connections;
mod load_reports;
mod outlier_ejection;
mod peer_exchange;
mod preselection;
mod reconfiguration;
mod retry;
mod selection;
mod server_statistics;
mod slow_start;
mod window;
mod zones;

use crate::host::{AttemptEnd, Host, Id, Outcome, RequestArrival};
use crate::settings::Settings;
use crate::state::check_budget::CheckBudget;
use crate::state::class_statistics::ClassStatistics;
use crate::state::estimators::{Histogram, Rate, TimeWeightedMean};
use crate::state::idle_connections::IdleConnections;
use crate::state::overrides::Overrides;
use crate::state::peer_exchange::PeerExchange;
use crate::state::polling::PollState;
use crate::state::random::RandomSource;
use crate::state::request::{AttemptState, Request, StartedAttempt};
use crate::state::retry_budget::RetryBudget;
use crate::state::server_set::{ServerSet, Slot};
use crate::state::sweep_clock::SweepClock;
use crate::state::throughput::Throughput;
use crate::state::zones::Zones;
use std::collections::BTreeMap;
use std::time::Duration;

/// The decision engine of one replica, for the servers of one tier.
pub struct Policy<H: Host> {
    host: H,
    settings: Settings,
    now: Duration,
    random: RandomSource,
    servers: ServerSet,
    overrides: Overrides,
    zones: Zones,
    requests: BTreeMap<Id, Request>,
    /// The requests that wait for an attempt, highest rank first.
    queue: Vec<Id>,
    /// Statistics by class number.
    classes: Vec<ClassStatistics>,
    /// Arrival rates by tenant number.
    tenants: Vec<Rate>,
    throughput: Throughput,
    /// Latencies as multiples of the baseline of their class.
    latency_inflation: Histogram,
    /// Service times, in seconds: the time to an answer divided by the number of requests at the server, this one
    /// included.
    service_time: Histogram,
    check_budget: CheckBudget,
    retry_budget: RetryBudget,
    polling: PollState,
    peers: PeerExchange,
    idle_connections: IdleConnections,
    sweeps: SweepClock,
    /// Number of replicas that share one server of the window, in units of this replica's traffic; at least 1.
    replicas_per_server: f64,
    /// When the window is next chosen.
    window_due: Duration,
    /// Time-weighted mean number of attempts in flight at available servers.
    mean_in_flight: TimeWeightedMean,
    /// The weights of the last selection; the buffer is reused so that a selection allocates nothing.
    weights: Vec<(Slot, f64)>,
}

impl<H: Host> Policy<H> {
    /// Starts the engine at `now`, without any list. The same seed and calls lead to the same decisions.
    pub fn start(host: H, settings: Settings, seed: u64, now: Duration) -> Self {
        let mut policy = Policy {
            host,
            now,
            random: RandomSource::new(seed),
            servers: ServerSet::default(),
            overrides: Overrides::default(),
            zones: Zones::default(),
            requests: BTreeMap::new(),
            queue: Vec::new(),
            classes: vec![ClassStatistics::default(); settings.classes.len()],
            tenants: vec![Rate::default(); settings.quotas.len()],
            throughput: Throughput::default(),
            latency_inflation: Histogram::default(),
            service_time: Histogram::default(),
            check_budget: CheckBudget::new(&settings),
            retry_budget: RetryBudget::default(),
            polling: PollState::restarted(now),
            peers: PeerExchange::default(),
            idle_connections: IdleConnections::default(),
            sweeps: SweepClock::new(now, settings.timer_resolution),
            replicas_per_server: 1.0,
            window_due: now,
            mean_in_flight: TimeWeightedMean::new(now),
            weights: Vec::new(),
            settings,
        };
        policy.schedule_first_poll();
        policy.host.wake_after(policy.sweeps.interval());
        policy
    }

    /// Handles the arrival of a request, which is sent, queued or rejected at once.
    pub fn request_arrived(&mut self, now: Duration, arrival: RequestArrival) {
        self.now = now;
        if !self.admit(&arrival) {
            return self.host.fail(&arrival.id);
        }
        self.check_budget.add_request();
        self.check_before_selection(&arrival.id);
        self.dispatch_queued();
        self.shed_queued(Some(&arrival.id));
    }

    /// Handles the last byte of a request's body, with which its deadline is known. The time of an attempt starts here,
    /// because its server could not begin to work earlier.
    pub fn body_completed(&mut self, now: Duration, id: &Id, deadline: Duration) {
        self.now = now;
        let classes = &self.settings.classes;
        let useful_until =
            |class: usize| classes.get(class).map_or(deadline, |class| class.useful_until(now, deadline));
        let request = self.requests.get_mut(id);
        let started = request.and_then(|request| request.body_completed(now, useful_until));
        if let Some(StartedAttempt { class, slot, number }) = started {
            self.begin_attempt(id, class, slot, number);
        }
    }

    /// Handles the first bytes of a request's answer: they are passed on, so no further attempt is made.
    pub fn response_started(&mut self, now: Duration, id: &Id) {
        self.now = now;
        if let Some(request) = self.requests.get_mut(id) {
            request.streaming = true;
        }
    }

    /// Handles an answer that broke off after it had begun; its request is closed.
    pub fn response_interrupted(&mut self, now: Duration, server: &Id, class: usize) {
        self.now = now;
        if let Some(slot) = self.servers.slot(server) {
            self.report_class_outcome(slot, class, false);
        }
    }

    /// Handles a request whose client no longer waits.
    pub fn client_disconnected(&mut self, now: Duration, id: &Id) {
        self.now = now;
        self.queue.retain(|queued| queued != id);
        self.close_request(id);
    }

    /// Handles the end of an attempt.
    pub fn attempt_ended(&mut self, now: Duration, ended: AttemptEnd) {
        self.now = now;
        let Some(attempt) = self.record_attempt_end(&ended) else { return };
        self.zones.attempt_ended(attempt.zone, attempt.sent_at, now, ended.outcome);
        self.throughput.count_ended(now);
        self.update_mean_in_flight();
        self.record_load_report(attempt.slot, ended.load);
        let mean_latency = self.mean_latency(attempt.class);
        if !attempt.body_pending {
            self.servers.change_in_flight(attempt.slot, -1);
        }
        self.record_slowness(&attempt, &ended, mean_latency);
        if ended.outcome == Outcome::Ok {
            self.record_answer(&attempt, ended.latency);
        } else if attempt.idle_connection_broke {
            self.record_idle_break(attempt.connection_idle);
        } else {
            self.record_failure(attempt.slot, attempt.class, ended.outcome, attempt.overdue);
        }
        self.continue_request(&ended.request);
        self.dispatch_queued();
    }

    /// Runs a sweep, at the time that was set by `Host::wake_after`.
    pub fn timer_fired(&mut self, now: Duration) {
        self.now = now;
        self.sweeps.begin(now);
        self.host.wake_after(self.sweeps.interval());
        if self.polling.take_due(now) {
            self.host.poll_discovery();
        }
        self.detect_overdue_attempts();
        self.make_due_health_checks();
        if self.window_due <= now {
            self.update_window();
        }
        self.dispatch_queued();
        self.shed_queued(None);
        self.send_peer_messages();
    }

    /// After a sweep: the time of the next sweep that may decide anything, provided that no event comes before.
    pub fn next_sweep(&self) -> Duration {
        if !self.requests.is_empty() || self.zones.silence_may_change(self.now) {
            return self.sweeps.next();
        }
        let check = self.next_health_check().unwrap_or(Duration::MAX);
        let poll = self.polling.next_poll.unwrap_or(Duration::MAX);
        self.sweeps.next_at_or_after(self.window_due.min(check).min(poll))
    }

    /// Records that the host skipped the sweeps due before `until`, none of which would have decided anything. Returns
    /// when the next sweep is due.
    pub fn skip_sweeps(&mut self, until: Duration) -> Duration {
        self.sweeps.skip(until)
    }

    /// Limits the time in which answers are useful to `at`, when this process ends; the host ends the attempts that are
    /// still in flight then. A request with an incomplete body gets its deadline with its last byte.
    pub fn shut_down_by(&mut self, now: Duration, at: Duration) {
        self.now = now;
        for request in self.requests.values_mut().filter(|request| !request.body_pending) {
            request.useful_until = request.useful_until.min(at);
        }
    }

    /// Marks the attempt as ended, and its request as finished if the client has its answer. `None` if the request is
    /// not open or the attempt is not in flight.
    fn record_attempt_end(&mut self, ended: &AttemptEnd) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&ended.request)?;
        let attempt = request.attempts.get_mut(ended.attempt as usize)?;
        if attempt.state != AttemptState::InFlight {
            return None;
        }
        let never_ran = ended.outcome.never_ran();
        attempt.state = if never_ran { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        request.finished |= ended.request_closed;
        request.not_replayable |= ended.body_consumed;
        let reset = ended.outcome == Outcome::Reset;
        let caused_by_idle = IdleConnections::explains_reset(attempt.connection_idle, ended.latency);
        Some(EndedAttempt {
            class: request.class,
            slot: attempt.slot,
            zone: attempt.zone,
            sent_at: attempt.sent_at,
            overdue: attempt.overdue,
            connection_idle: attempt.connection_idle,
            idle_connection_broke: reset && caused_by_idle,
            queued_ahead: attempt.queued_ahead,
            relative_cost: request.relative_cost,
            body_pending: request.body_pending,
            in_time: self.now <= request.useful_until,
        })
    }
}

/// The records of an ended attempt.
struct EndedAttempt {
    class: usize,
    slot: Slot,
    zone: u32,
    sent_at: Duration,
    overdue: bool,
    connection_idle: Duration,
    /// The connection broke because it had been idle, which is no failure of the server.
    idle_connection_broke: bool,
    queued_ahead: Option<f64>,
    relative_cost: f64,
    body_pending: bool,
    /// Whether an answer at this time still earns something.
    in_time: bool,
}
