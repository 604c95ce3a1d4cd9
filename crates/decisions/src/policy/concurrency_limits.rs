//! The limit on what all replicas together may have in flight at one server. It rises slowly while answers come as
//! quickly as in calm times, and falls when they come late.

use super::{EndedAttempt, Policy};
use crate::host::{AttemptEnd, Host, Outcome};
use crate::state::estimators::Histogram;
use crate::state::server_set::Slot;
use std::time::Duration;

/// The limit of a server of which nothing is known yet, in attempts.
pub(super) const INITIAL_LIMIT: f64 = 5.0;
/// The limit of a server that has just started, and the least to which slow answers bring one. It is below the initial
/// one, as older replicas may know too small a number of replicas.
pub(super) const MIN_STRAINED_LIMIT: f64 = 2.5;
/// The least to which late answers and failures bring a limit.
const MIN_LIMIT: f64 = 1.0;
/// The most that a limit rises to.
const MAX_LIMIT: f64 = 64.0;
/// The logarithm of the decrease by one slow answer.
const STRAIN_DECREASE: f64 = 0.002;
/// The logarithm of the decrease by one answer past its goal, one time-out, or one answer that the server is full.
const OVERLOAD_DECREASE: f64 = 0.02;
/// An error counts as this fraction of an overload: behind a crowded next tier errors are all that is seen of it.
const ERROR_WEIGHT: f64 = 0.4;
/// The increase by one answer, divided by the limit.
const INCREASE: f64 = 0.08;
/// Answers less than this many times as slow as the baseline are calm: limits rise.
const CALM_INFLATION: f64 = 1.1;
/// Answers more than this many times as slow as the baseline are a sign of crowding: limits fall.
const STRAINED_INFLATION: f64 = 1.4;
/// What counts as the inflation while servers report that they are busy: just strained.
const BUSY_INFLATION: f64 = STRAINED_INFLATION + 0.1;
/// The capacity is in use when so much of it is in flight.
const CAPACITY_IN_USE: f64 = 0.8;
/// A limit is in use when its part here is reached, which counts as this many attempts at the least.
const MIN_LIMIT_IN_USE: f64 = 2.0;
/// Values that the histogram of latency inflations holds before it forgets.
const LATENCY_INFLATION_FULL: u32 = 64;

impl<H: Host> Policy<H> {
    /// What is too slow to answer in time would be known by its quickest answers only, so time-outs and overdue
    /// attempts count as well.
    pub(super) fn record_slowness(&mut self, attempt: &EndedAttempt, ended: &AttemptEnd, usual_latency: f64) {
        let server = &mut self.servers[attempt.slot];
        server.attempt_ended(self.now, attempt.sent_at, attempt.overdue);
        let answered = ended.outcome == Outcome::Ok;
        let counts = answered || attempt.overdue || ended.outcome == Outcome::Timeout;
        if usual_latency > 0.0 && counts {
            let relative = ended.latency.as_secs_f64() / (usual_latency * attempt.relative_cost);
            server.record_latency(if answered { relative } else { relative.max(1.0) });
        }
    }

    /// A server answered: its latency is recorded and the server's limit adjusted.
    pub(super) fn record_answer(&mut self, attempt: &EndedAttempt, latency: Duration) {
        let seconds = latency.as_secs_f64();
        if let Some(ahead) = attempt.queued_ahead {
            let service_time = seconds / (attempt.relative_cost * (1.0 + ahead));
            self.service_time.add(service_time, Histogram::FULL);
        }
        let (slot, class) = (attempt.slot, attempt.class);
        let Some(goal) = self.settings.classes.get(class).map(|class| class.latency_objective.as_secs_f64())
        else {
            return;
        };
        let Some(statistics) = self.classes.get_mut(class) else { return };
        if let Some(inflation) = statistics.latency_inflation(seconds / attempt.relative_cost) {
            self.latency_inflation.add(inflation, LATENCY_INFLATION_FULL);
        }
        if attempt.in_time {
            statistics.answered_in_time.add(self.now, 1.0);
        }
        self.adjust_limit(slot, seconds > goal || !attempt.in_time);
        if self.is_failing_class(slot, class) {
            self.report_class_outcome(slot, class, true);
        }
        self.count_success(slot);
    }

    fn adjust_limit(&mut self, slot: Slot, is_late: bool) {
        let spare = self.reports_spare_capacity();
        let is_in_use = self.limit_is_in_use(slot);
        let server = &mut self.servers[slot];
        // Where one zone is crowded and another not, only this server's answers tell which it is. Of heavy requests
        // one in twenty is late on an idle server: there the servers' own reports tell.
        let inflation = match spare {
            Some(true) => 1.0,
            Some(false) => BUSY_INFLATION,
            None => self.latency_inflation.mean().unwrap_or(1.0) * server.slowness,
        };
        let limit = server.concurrency_limit;
        if is_late && spare != Some(true) {
            self.decrease_limit(slot, 1.0);
        } else if inflation > STRAINED_INFLATION && limit > MIN_STRAINED_LIMIT {
            let factor = (-STRAIN_DECREASE * self.replicas_per_server).exp();
            server.concurrency_limit = (limit * factor).max(MIN_STRAINED_LIMIT);
        } else if is_in_use && inflation < CALM_INFLATION && spare.is_none() {
            server.concurrency_limit = (limit + INCREASE * self.replicas_per_server / limit).min(MAX_LIMIT);
        }
    }

    /// A limit that rises while it is not reached would let a later jam in.
    fn limit_is_in_use(&self, slot: Slot) -> bool {
        let server = &self.servers[slot];
        let own_part = (server.concurrency_limit / self.replicas_per_server).max(MIN_LIMIT_IN_USE);
        f64::from(server.in_flight() + 1) >= own_part
            || self.mean_in_flight.mean + 1.0 >= CAPACITY_IN_USE * self.capacity()
    }

    fn decrease_limit(&mut self, slot: Slot, weight: f64) {
        let server = &mut self.servers[slot];
        let factor = (-weight * OVERLOAD_DECREASE * self.replicas_per_server).exp();
        server.concurrency_limit = (server.concurrency_limit * factor).max(MIN_LIMIT);
    }

    /// A failure decreases the server's limit by its kind.
    pub(super) fn decrease_limit_by(&mut self, slot: Slot, outcome: Outcome) {
        // What never comes while all others come as in calm times is lost, not late.
        let calm = self.latency_inflation.mean().is_some_and(|inflation| inflation < CALM_INFLATION);
        match outcome {
            Outcome::Timeout if calm => self.decrease_limit(slot, ERROR_WEIGHT),
            Outcome::Timeout | Outcome::Overloaded => self.decrease_limit(slot, 1.0),
            Outcome::Error | Outcome::Reset => self.decrease_limit(slot, ERROR_WEIGHT),
            Outcome::Ok | Outcome::ConnectFailed | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }
}
