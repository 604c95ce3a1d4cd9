//! What one replica knows of one server.

use crate::host::{Id, ListedServer};
use crate::settings::SlowStart;
use crate::state::estimators::Histogram;
use crate::state::random::hash;
use std::time::Duration;

/// Values that the histogram of relative latencies holds before it forgets.
const RELATIVE_LATENCY_FULL: u32 = 32;
/// Answers before a server's slowness is believed.
const SLOWNESS_MIN_ANSWERS: u32 = 4;
/// The least and the most that a slowness can be.
const SLOWNESS_RANGE: (f64, f64) = (0.2, 10.0);
/// The least length of a slow start that is divided by, in seconds.
const MIN_SLOW_START_SECONDS: f64 = 1e-3;
/// Replicas name servers to each other by the first 24 bits of their ring positions.
const SHORT_NAME_SHIFT: u32 = 40;

/// An ejection: until it ends the server gets no requests but for half-open trials.
#[derive(Debug)]
pub struct Ejection {
    /// Health checks or trials that were answered since it began.
    pub successes: u32,
    /// When the next health check or trial is due.
    pub next_trial: Duration,
    /// A half-open trial request is in flight.
    pub trial_in_flight: bool,
}

impl Ejection {
    /// An ejection whose first check or trial is due then.
    pub fn new(next_trial: Duration) -> Self {
        Ejection { successes: 0, next_trial, trial_in_flight: false }
    }
}

/// How a server does with the requests of one class.
#[derive(Debug, Default)]
pub struct ClassHealth {
    /// Failures since the last answer; where replicas share what they see, two for each failure and one less for
    /// each answer.
    pub consecutive_failures: u32,
    /// The server is ejected for this class alone.
    pub ejection: Option<Ejection>,
}

/// A load report: a figure of the server's load, and when it came.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLoad {
    /// Requests that the server holds or that wait there, by what it reports.
    pub load: f64,
    /// When the report came.
    pub at: Duration,
}

/// How busy a server's cores are, and when it said so.
#[derive(Clone, Copy, Debug)]
pub struct Utilization {
    /// From 0 to 1.
    pub fraction: f64,
    /// When the report came.
    pub at: Duration,
}

/// One server. `ServerSet` alone changes the fields that its sums and indexes go by.
#[derive(Debug, Default)]
pub struct Server {
    /// Its id on the endpoint list.
    pub id: Id,
    /// Its position on the ring, by a hash of its id.
    pub(super) ring_position: u64,
    /// The number of the complete list that named it last.
    pub(super) last_listing: u64,
    /// When this replica first heard of it.
    pub(super) added_at: Duration,
    /// Its zone.
    pub zone: u32,
    /// Its cell within the zone.
    pub cell: u32,
    /// The list says that it takes requests.
    pub(super) ready: bool,
    /// This replica works with it.
    pub(super) in_window: bool,
    /// Its size by the list, relative to nothing but the others' sizes.
    pub(super) nominal_size: f64,
    /// When its process started, where the list says so.
    pub started_at: Option<Duration>,
    /// By request class, what is held against the server.
    pub classes: Vec<ClassHealth>,
    /// Health checks in a row that could not reach it.
    pub unreachable_checks: u32,
    pub(super) ejection: Option<Ejection>,
    pub(super) slow_start_from: Option<Duration>,
    /// The slow-start credit that it begins with. It is random, so that replicas that learn of a start at the same
    /// moment do not all send to the server at that moment.
    pub initial_credit: f64,
    /// Attempts that may be sent to it while it is in slow start.
    pub slow_start_credit: f64,
    /// When the credit was last raised.
    pub credited_at: Duration,
    /// Credits per second at the least, while operators have reinstated it and nothing was sent there since; else 0.
    pub min_credits_per_second: f64,
    pub(super) load_report: Option<ReportedLoad>,
    /// Attempts sent there that its load report cannot hold yet.
    pub sent_since_report: f64,
    /// How busy it last said it was.
    pub utilization: Option<Utilization>,
    /// A health check is in flight.
    pub checking: bool,
    /// When a health check last could not reach it.
    pub unreachable_at: Option<Duration>,
    pub(super) in_flight: u32,
    /// Attempts in flight there that are overdue.
    pub overdue: u32,
    /// When this replica last sent to it or heard from it.
    pub last_used: Option<Duration>,
    /// How many attempts all replicas together may have in flight there.
    pub concurrency_limit: f64,
    /// Latencies as multiples of their class's mean.
    pub relative_latency: Histogram,
    /// How slow its answers are: a multiple of the mean.
    pub slowness: f64,
    /// Its listed size relative to the mean, raised to the power that weights go by.
    pub size_weight: f64,
    /// Its listed size relative to the mean.
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

    /// Whether the list says that it is ready; other servers are no part of any sum.
    pub fn ready(&self) -> bool {
        self.ready
    }

    /// Whether it is among the servers that this replica works with.
    pub fn in_window(&self) -> bool {
        self.in_window
    }

    /// Its ejection, if it is ejected.
    pub fn ejection(&self) -> Option<&Ejection> {
        self.ejection.as_ref()
    }

    /// The course of its ejection; `ServerSet` begins and ends ejections.
    pub fn ejection_mut(&mut self) -> Option<&mut Ejection> {
        self.ejection.as_mut()
    }

    /// Its ejection for one class alone.
    pub fn class_ejection(&self, class: usize) -> Option<&Ejection> {
        self.classes.get(class).and_then(|health| health.ejection.as_ref())
    }

    /// Its last load report.
    pub fn load_report(&self) -> Option<ReportedLoad> {
        self.load_report
    }

    /// How many attempts of this replica are in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Since when it is in slow start, if it is.
    pub fn slow_start_from(&self) -> Option<Duration> {
        self.slow_start_from
    }

    /// What replicas call it among themselves.
    pub fn short_name(&self) -> u32 {
        short_name(self.ring_position)
    }

    /// Takes an answer's latency, as a multiple of its class's mean, into its slowness.
    pub fn record_latency(&mut self, relative_latency: f64) {
        self.relative_latency.add(relative_latency, RELATIVE_LATENCY_FULL);
        let (least, most) = SLOWNESS_RANGE;
        let known = self.relative_latency.total >= SLOWNESS_MIN_ANSWERS;
        self.slowness =
            if known { self.relative_latency.mean().unwrap_or(1.0).clamp(least, most) } else { 1.0 };
    }

    /// The fraction of its full share that it gets: 1 unless it started or returned recently.
    pub fn slow_start_fraction(&self, rule: &SlowStart, now: Duration) -> f64 {
        let Some(from) = self.slow_start_from else { return 1.0 };
        let length = rule.duration.as_secs_f64().max(MIN_SLOW_START_SECONDS);
        let done = now.saturating_sub(from).as_secs_f64() / length;
        (rule.initial_fraction + (1.0 - rule.initial_fraction) * done).min(1.0)
    }

    /// The requests that it holds by a report no older than `max_age`, with those that were sent there since.
    pub fn recent_load(&self, now: Duration, max_age: Duration) -> Option<f64> {
        let recent = self.load_report.filter(|report| now <= report.at + max_age)?;
        Some(recent.load + self.sent_since_report)
    }

    /// Whether this replica has an open connection there, for all it knows, where idle ones are kept for so long.
    pub fn has_connection(&self, now: Duration, kept_for: Duration) -> bool {
        self.last_used.is_some_and(|used| now.saturating_sub(used) < kept_for)
    }

    /// An attempt sent at this moment is over. One that the last report does not hold is no longer counted on top.
    pub fn attempt_ended(&mut self, now: Duration, sent_at: Duration, overdue: bool) {
        self.overdue = self.overdue.saturating_sub(u32::from(overdue));
        self.last_used = Some(now);
        if self.load_report.is_some_and(|report| report.at <= sent_at) {
            self.sent_since_report = (self.sent_since_report - 1.0).max(0.0);
        }
    }

    /// When its process started, where a list has news of that.
    pub fn take_start_time(&mut self, entry: &ListedServer, new: bool) -> Option<Duration> {
        let started_at = entry.started_at.filter(|at| new || self.started_at != Some(*at))?;
        self.started_at = Some(started_at);
        Some(started_at)
    }

    /// Forgets what was learned of an earlier process.
    pub fn forget_process(&mut self) {
        self.classes.iter_mut().for_each(|health| *health = ClassHealth::default());
        self.unreachable_checks = 0;
        self.unreachable_at = None;
        self.utilization = None;
        self.sent_since_report = 0.0;
        self.relative_latency = Histogram::default();
        self.slowness = 1.0;
    }
}

/// The short name of the server at a ring position.
pub(super) fn short_name(ring_position: u64) -> u32 {
    (ring_position >> SHORT_NAME_SHIFT) as u32
}
