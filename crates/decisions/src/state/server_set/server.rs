//! The state of one server.

use crate::host::{Id, ListedServer};
use crate::settings::SlowStart;
use crate::state::estimators::Histogram;
use crate::state::random::hash;
use std::time::Duration;

/// Number of values at which the histogram of relative latencies halves its counts.
const RELATIVE_LATENCY_CAPACITY: u32 = 32;
/// Number of answers before a server's slowness is used.
const SLOWNESS_MIN_ANSWERS: u32 = 4;
/// Minimum and maximum slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.2, 10.0);
/// Lower bound of the duration of a slow start by which its progress is divided, in seconds.
const MIN_SLOW_START_SECONDS: f64 = 1e-3;
/// Replicas identify servers in their messages by the first 24 bits of the ring positions.
const SHORT_NAME_SHIFT: u32 = 40;

/// An ejection: until it ends, the server gets no requests except half-open trials.
#[derive(Debug)]
pub struct Ejection {
    /// Successful health checks or trials since the ejection began.
    pub successes: u32,
    /// Time of the next health check or trial.
    pub next_trial: Duration,
    /// Whether a half-open trial is in flight.
    pub trial_in_flight: bool,
}

impl Ejection {
    /// An ejection whose first health check or trial is due at `next_trial`.
    pub fn new(next_trial: Duration) -> Self {
        Ejection { successes: 0, next_trial, trial_in_flight: false }
    }
}

/// State of a server for the requests of one class.
#[derive(Debug, Default)]
pub struct ClassHealth {
    /// Consecutive failures. Where replicas share outcomes, a score to which each failure adds two, and from which each
    /// answer takes one.
    pub consecutive_failures: u32,
    /// Ejection of the server for this class alone.
    pub ejection: Option<Ejection>,
}

/// The load in a server's report.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLoad {
    /// Requests at the server, or requests queued there, depending on what the server reports.
    pub load: f64,
    /// Time at which the report arrived.
    pub at: Duration,
}

/// The utilization in a server's report.
#[derive(Clone, Copy, Debug)]
pub struct Utilization {
    /// Utilization of the server's cores, from 0 to 1.
    pub fraction: f64,
    /// Time at which the report arrived.
    pub at: Duration,
}

/// One server. Only `ServerSet` changes the fields on which its sums and indexes depend.
#[derive(Debug, Default)]
pub struct Server {
    /// Id of the server in the endpoint list.
    pub id: Id,
    /// Position on the ring, a hash of the id.
    pub(super) ring_position: u64,
    /// Number of the last complete list that named the server.
    pub(super) last_list_number: u64,
    /// Time at which this replica first received the server in a list.
    pub(super) added_at: Duration,
    /// Number of the server's zone.
    pub zone: u32,
    /// Number of the server's cell within the zone.
    pub cell: u32,
    /// Whether the server is ready in the list.
    pub(super) ready: bool,
    /// Whether the server is in this replica's window.
    pub(super) in_window: bool,
    /// Size in the list, relative to the sizes of the other servers.
    pub(super) nominal_size: f64,
    /// Start time of the server's process, if the list reports it.
    pub started_at: Option<Duration>,
    /// State by request class.
    pub classes: Vec<ClassHealth>,
    /// Health checks or attempts that could not reach the server, since it last answered a check before selection or
    /// its statistics were reset. Other answers do not reset the count.
    pub unreachable_checks: u32,
    pub(super) ejection: Option<Ejection>,
    pub(super) slow_start_from: Option<Duration>,
    /// Slow-start credit at the beginning. It is random, so that replicas that learn of a start at the same moment do
    /// not all send to the server at once.
    pub initial_credit: f64,
    /// Number of attempts that may be sent while the server is in slow start.
    pub slow_start_credit: f64,
    /// Time of the last update of the credit.
    pub credited_at: Duration,
    /// Minimum credits per second of a server that operators have reinstated, until something is sent to it; otherwise
    /// 0.
    pub min_credits_per_second: f64,
    pub(super) load_report: Option<ReportedLoad>,
    /// Attempts sent to the server that its load report cannot include yet.
    pub sent_since_report: f64,
    /// The utilization that the server last reported.
    pub utilization: Option<Utilization>,
    /// Whether a health check is in flight.
    pub check_in_flight: bool,
    /// Time at which a health check or an attempt last could not reach the server.
    pub unreachable_at: Option<Duration>,
    pub(super) in_flight: u32,
    /// Overdue attempts in flight at the server.
    pub overdue: u32,
    /// Time at which this replica last sent to the server or received from it.
    pub last_used: Option<Duration>,
    /// Number of attempts that all replicas together may have in flight at the server.
    pub concurrency_limit: f64,
    /// Latencies as multiples of the mean of their class.
    pub relative_latency: Histogram,
    /// Latency of the server's answers as a multiple of the mean over all servers.
    pub slowness: f64,
    /// Relative size, raised to the exponent of sizes in weights.
    pub size_weight: f64,
    /// Size in the list relative to the mean.
    pub relative_size: f64,
}

impl Server {
    /// A server that a list names for the first time.
    pub fn new(
        entry: &ListedServer,
        classes: usize,
        initial_credit: f64,
        concurrency_limit: f64,
        now: Duration,
    ) -> Self {
        Server {
            id: entry.server.clone(),
            ring_position: hash(&entry.server),
            zone: entry.zone,
            cell: entry.cell,
            initial_credit,
            classes: (0..classes).map(|_| ClassHealth::default()).collect(),
            concurrency_limit,
            slowness: 1.0,
            size_weight: 1.0,
            relative_size: 1.0,
            added_at: now,
            ..Server::default()
        }
    }

    /// Whether the server is ready in the list. Only ready servers count in the sums by size and availability.
    pub fn ready(&self) -> bool {
        self.ready
    }

    /// Whether the server is in this replica's window.
    pub fn in_window(&self) -> bool {
        self.in_window
    }

    /// The server's ejection, if it is ejected.
    pub fn ejection(&self) -> Option<&Ejection> {
        self.ejection.as_ref()
    }

    /// The state of the server's ejection; only `ServerSet` starts and ends ejections.
    pub fn ejection_mut(&mut self) -> Option<&mut Ejection> {
        self.ejection.as_mut()
    }

    /// The server's ejection for one class alone.
    pub fn class_ejection(&self, class: usize) -> Option<&Ejection> {
        self.classes.get(class).and_then(|health| health.ejection.as_ref())
    }

    /// The server's last load report.
    pub fn load_report(&self) -> Option<ReportedLoad> {
        self.load_report
    }

    /// Number of this replica's attempts in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Start of the slow start, if the server is in slow start.
    pub fn slow_start_from(&self) -> Option<Duration> {
        self.slow_start_from
    }

    /// The server's identifier in messages between replicas.
    pub fn short_name(&self) -> u32 {
        short_name(self.ring_position)
    }

    /// Adds a latency, as a multiple of the mean of its class, to the server's slowness.
    pub fn record_latency(&mut self, relative_latency: f64) {
        self.relative_latency.add(relative_latency, RELATIVE_LATENCY_CAPACITY);
        let (min, max) = SLOWNESS_RANGE;
        let is_known = self.relative_latency.total >= SLOWNESS_MIN_ANSWERS;
        self.slowness =
            if is_known { self.relative_latency.mean().unwrap_or(1.0).clamp(min, max) } else { 1.0 };
    }

    /// Fraction of its full share of requests that the server gets: 1 unless it is in slow start.
    pub fn slow_start_fraction(&self, settings: &SlowStart, now: Duration) -> f64 {
        let Some(from) = self.slow_start_from else { return 1.0 };
        let duration_seconds = settings.duration.as_secs_f64().max(MIN_SLOW_START_SECONDS);
        let progress = now.saturating_sub(from).as_secs_f64() / duration_seconds;
        (settings.initial_fraction + (1.0 - settings.initial_fraction) * progress).min(1.0)
    }

    /// Requests at the server by a report no older than `max_age`, plus the attempts that were sent since.
    pub fn recent_load(&self, now: Duration, max_age: Duration) -> Option<f64> {
        let recent = self.load_report.filter(|report| now <= report.at + max_age)?;
        Some(recent.load + self.sent_since_report)
    }

    /// Whether this replica presumably has an open connection to the server, if idle connections are kept for
    /// `idle_timeout`.
    pub fn has_connection(&self, now: Duration, idle_timeout: Duration) -> bool {
        self.last_used.is_some_and(|used| now.saturating_sub(used) < idle_timeout)
    }

    /// Records the end of an attempt. If it was sent after the last report, it no longer counts in addition to that
    /// report.
    pub fn attempt_ended(&mut self, now: Duration, sent_at: Duration, overdue: bool) {
        self.overdue = self.overdue.saturating_sub(u32::from(overdue));
        self.last_used = Some(now);
        if self.load_report.is_some_and(|report| report.at <= sent_at) {
            self.sent_since_report = (self.sent_since_report - 1.0).max(0.0);
        }
    }

    /// Updates the start time of the server's process. Returns it if the list reports a new one.
    pub fn update_start_time(&mut self, entry: &ListedServer, is_new: bool) -> Option<Duration> {
        let started_at = entry.started_at.filter(|at| is_new || self.started_at != Some(*at))?;
        self.started_at = Some(started_at);
        Some(started_at)
    }

    /// Resets what was learned of an earlier process.
    pub fn reset_statistics(&mut self) {
        self.classes.iter_mut().for_each(|health| *health = ClassHealth::default());
        self.unreachable_checks = 0;
        self.unreachable_at = None;
        self.utilization = None;
        self.sent_since_report = 0.0;
        self.relative_latency = Histogram::default();
        self.slowness = 1.0;
    }
}

/// Short name of the server at a ring position.
pub(super) fn short_name(ring_position: u64) -> u32 {
    (ring_position >> SHORT_NAME_SHIFT) as u32
}
