//! The schedule of the polls of the endpoint list.

use std::time::Duration;

/// Maximum delay after the first failed poll, in seconds; it doubles with each further failure.
const FIRST_DELAY_SECONDS: f64 = 0.5;
/// Maximum time from the start of a failed poll to the next poll, in seconds.
const MAX_INTERVAL_SECONDS: f64 = 4.0;
/// Maximum time from the start of a poll to the next poll, in seconds, from the second consecutive rejection on. It is
/// longer because discovery wastes work on polls that wait too long in its queue.
const MAX_REJECTED_INTERVAL_SECONDS: f64 = 8.0;
/// Target rate at which all rejected replicas together poll again. The maximum interval takes precedence.
const REJECTED_POLLS_PER_SECOND: f64 = 10.0;
/// Maximum number of failures that double the delay.
const MAX_DOUBLINGS: u32 = 3;
/// Maximum number of failures that double the delay, where discovery rejected the poll.
const MAX_REJECTED_DOUBLINGS: u32 = 4;
/// Number of consecutive rejections from which the longer interval applies.
const REJECTIONS_TO_SLOW_DOWN: u32 = 2;

/// The state of the polls of the endpoint list.
#[derive(Debug, Default)]
pub struct PollState {
    /// Time of the next poll; `None` while a poll is in flight or the subscription is active.
    pub next_poll: Option<Duration>,
    /// Consecutive polls that failed or were rejected.
    failures: u32,
    /// Consecutive polls that discovery rejected.
    rejections: u32,
    /// Start of the last poll. A poll that returned a list is followed by the next one at once.
    started_at: Duration,
}

impl PollState {
    /// The state at the start of a poll after a success: earlier failures no longer count.
    pub fn restarted(now: Duration) -> Self {
        PollState { started_at: now, ..PollState::default() }
    }

    /// Records the start of a poll if one is due. Returns whether one is due.
    pub fn take_due(&mut self, now: Duration) -> bool {
        let due = self.next_poll.take_if(|at| *at <= now).is_some();
        if due {
            self.started_at = now;
        }
        due
    }

    /// Schedules the next poll after a failure: discovery was down, did not answer, or its answer broke off. `random`
    /// spreads the polls of the replicas.
    pub fn record_failure(&mut self, now: Duration, random: impl FnOnce() -> f64) {
        self.rejections = 0;
        let max_delay = FIRST_DELAY_SECONDS * f64::from(1u32 << self.failures.min(MAX_DOUBLINGS));
        self.schedule(now, max_delay, MAX_INTERVAL_SECONDS, random);
    }

    /// Schedules the next poll after discovery held a poll and then rejected it because too many were open.
    pub fn record_rejection(&mut self, now: Duration, replicas: f64, random: impl FnOnce() -> f64) {
        self.rejections += 1;
        let max_delay = FIRST_DELAY_SECONDS * f64::from(1u32 << self.failures.min(MAX_REJECTED_DOUBLINGS));
        let is_first = self.rejections < REJECTIONS_TO_SLOW_DOWN;
        let max_interval = if is_first { MAX_INTERVAL_SECONDS } else { MAX_REJECTED_INTERVAL_SECONDS };
        self.schedule(now, max_delay.max(replicas / REJECTED_POLLS_PER_SECOND), max_interval, random);
    }

    /// Schedules the next poll after a random delay: replicas that all poll at the same time would fail together again.
    fn schedule(
        &mut self,
        now: Duration,
        max_delay_seconds: f64,
        max_interval_seconds: f64,
        random: impl FnOnce() -> f64,
    ) {
        // The time that the poll took to fail has spread the replicas already, and must not add to the time for which a
        // change of the list goes unnoticed.
        let poll_seconds = now.saturating_sub(self.started_at).as_secs_f64();
        let max_delay = max_delay_seconds.min(max_interval_seconds - poll_seconds).max(FIRST_DELAY_SECONDS);
        self.failures += 1;
        self.next_poll = Some(now + Duration::from_secs_f64(max_delay * (0.5 + 0.5 * random())));
    }
}
