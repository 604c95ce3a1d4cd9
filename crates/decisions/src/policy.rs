//! The decisions of one replica: which server gets a request, whether a further attempt is made, how long a request is
//! queued, and when it is rejected. The reasons stand in `docs/design.md`.
//!
//! A host calls `Policy::start` and then one method for each event, in the order of the events; each method acts by
//! calling the `Host`. No method reads a clock: the time is handed in.
//!
//! The way of a request through the files beside this one:
//!
//! 1. `request_arrived`: `admission` records it and puts it in the queue; `preselection` may check servers first.
//! 2. `dispatch_queued` (`admission`) tries the queued requests by rank: `selection` draws a server by weight within
//!    the `capacity`, and `attempts` sends the request there.
//! 3. `shed_queued` (`admission`) rejects what would not be answered in time.
//! 4. `attempt_ended`: `load_reports`, `concurrency_limits`, `outlier_ejection` and `idle_connections` learn from the
//!    outcome, and `retry` decides on a further attempt.
//!
//! A regular sweep (`timer_fired`) looks for overdue attempts, makes due health checks, updates the window, and tries the
//! queue again.

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

/// The decisions of one replica, for the servers of one tier.
pub struct Policy<H: Host> {
    host: H,
    settings: Settings,
    now: Duration,
    random: RandomSource,
    servers: ServerSet,
    overrides: Overrides,
    zones: Zones,
    requests: BTreeMap<Id, Request>,
    /// The requests that wait for an attempt, the highest rank first.
    queue: Vec<Id>,
    /// By class, what was observed.
    classes: Vec<ClassStatistics>,
    /// By tenant, the requests that arrived.
    tenants: Vec<Rate>,
    throughput: Throughput,
    /// Latencies as multiples of the baseline of their class.
    latency_inflation: Histogram,
    /// Seconds to an answer for each request that the server held, this one included.
    service_time: Histogram,
    check_budget: CheckBudget,
    retry_budget: RetryBudget,
    polling: PollState,
    peers: PeerExchange,
    idle_connections: IdleConnections,
    sweeps: SweepClock,
    /// How many replicas send to one server of this replica's window.
    replicas_per_server: f64,
    /// When the window is chosen anew.
    window_due: Duration,
    /// What is in flight at available servers, on average.
    mean_in_flight: TimeWeightedMean,
    /// The weights of the last draw; kept so that a draw allocates nothing.
    weights: Vec<(Slot, f64)>,
}

impl<H: Host> Policy<H> {
    /// Decisions that begin at `now`, before any list has come. The same seed and calls give the same decisions.
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

    /// A request arrived. It is sent, queued or rejected at once.
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

    /// The last byte of a request's body has come, and its deadline is known. Until then its server had nothing to do.
    pub fn body_completed(&mut self, now: Duration, id: &Id, due: Duration) {
        self.now = now;
        let classes = &self.settings.classes;
        let useful_until =
            |class: usize| classes.get(class).map_or(due, |class| class.useful_until(now, due));
        let request = self.requests.get_mut(id);
        let started = request.and_then(|request| request.body_completed(now, useful_until));
        if let Some(StartedAttempt { class, slot, number }) = started {
            self.begin_attempt(id, class, slot, number);
        }
    }

    /// The first bytes of a request's answer are being passed on: there is no further attempt.
    pub fn response_started(&mut self, now: Duration, id: &Id) {
        self.now = now;
        if let Some(request) = self.requests.get_mut(id) {
            request.streaming = true;
        }
    }

    /// An answer broke off after it had begun, and its request is over.
    pub fn response_interrupted(&mut self, now: Duration, server: &Id, class: usize) {
        self.now = now;
        if let Some(slot) = self.servers.slot(server) {
            self.report_class_outcome(slot, class, false);
        }
    }

    /// The client no longer waits for this request.
    pub fn client_disconnected(&mut self, now: Duration, id: &Id) {
        self.now = now;
        self.queue.retain(|queued| queued != id);
        self.close_request(id);
    }

    /// An attempt is over.
    pub fn attempt_ended(&mut self, now: Duration, ended: AttemptEnd) {
        self.now = now;
        let Some(attempt) = self.take_ended_attempt(&ended) else { return };
        self.zones.attempt_ended(attempt.zone, attempt.sent_at, now, ended.outcome);
        self.throughput.count_ended(now);
        self.update_mean_in_flight();
        self.take_load_report(attempt.slot, ended.load);
        let usual = self.usual_latency(attempt.class);
        if !attempt.body_pending {
            self.servers.change_in_flight(attempt.slot, -1);
        }
        self.record_slowness(&attempt, &ended, usual);
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

    /// A sweep, at the time that `Host::wake_after` was told.
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

    /// Asked after a sweep: when the next one is due that may decide anything, if nothing happens before.
    pub fn next_sweep(&self) -> Duration {
        if !self.requests.is_empty() || self.zones.silence_may_change(self.now) {
            return self.sweeps.next();
        }
        let check = self.next_health_check().unwrap_or(Duration::MAX);
        let poll = self.polling.next_poll.unwrap_or(Duration::MAX);
        self.sweeps.next_for(self.window_due.min(check).min(poll))
    }

    /// Sweeps that were due before `until` were left out: they would have decided nothing. Returns when the next is
    /// due.
    pub fn skip_sweeps(&mut self, until: Duration) -> Duration {
        self.sweeps.skip(until)
    }

    /// No request may be answered later than `at`, as this process ends then; its host ends what is still in flight
    /// by then. A request whose last byte is still to come gets its deadline with that.
    pub fn shut_down_by(&mut self, now: Duration, at: Duration) {
        self.now = now;
        for request in self.requests.values_mut().filter(|request| !request.body_pending) {
            request.useful_until = request.useful_until.min(at);
        }
    }

    /// Marks the attempt as over, and its request as finished where the client has its answer. None where the
    /// request is not open or the attempt is not in flight.
    fn take_ended_attempt(&mut self, ended: &AttemptEnd) -> Option<EndedAttempt> {
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
        let explained = IdleConnections::explains_reset(attempt.connection_idle, ended.latency);
        Some(EndedAttempt {
            class: request.class,
            slot: attempt.slot,
            zone: attempt.zone,
            sent_at: attempt.sent_at,
            overdue: attempt.overdue,
            connection_idle: attempt.connection_idle,
            idle_connection_broke: reset && explained,
            queued_ahead: attempt.queued_ahead,
            relative_cost: request.relative_cost,
            body_pending: request.body_pending,
            in_time: self.now <= request.useful_until,
        })
    }
}

/// What the records of an attempt that is over say.
struct EndedAttempt {
    class: usize,
    slot: Slot,
    zone: u32,
    sent_at: Duration,
    overdue: bool,
    connection_idle: Duration,
    /// The connection had been idle and broke: no fault of the server.
    idle_connection_broke: bool,
    queued_ahead: Option<f64>,
    relative_cost: f64,
    body_pending: bool,
    /// An answer now still earns something.
    in_time: bool,
}
