//! When the endpoint list is asked for again after a call that failed.

use std::time::Duration;

/// The longest pause after the first failed call, in seconds; it doubles with each further one.
const FIRST_PAUSE_SECONDS: f64 = 0.5;
/// Seconds from the beginning of a call that fails to the next call, at the most.
const MAX_INTERVAL_SECONDS: f64 = 4.0;
/// The same after calls that discovery refused more than once: it works in vain through what queues too long, so all
/// replicas together make few.
const MAX_REFUSED_INTERVAL_SECONDS: f64 = 8.0;
/// So many refused replicas call again per second at the most.
const REFUSED_CALLS_PER_SECOND: f64 = 10.0;
/// Pauses double up to so many failures, and up to so many where discovery refused.
const MAX_DOUBLINGS: u32 = 3;
const MAX_REFUSED_DOUBLINGS: u32 = 4;
/// Refusals in a row from which on the longer interval holds.
const REFUSALS_TO_SLOW_DOWN: u32 = 2;

/// The calls for the endpoint list.
#[derive(Debug, Default)]
pub struct PollState {
    /// When to call next; none while a call is in flight or the subscription stands.
    pub next_poll: Option<Duration>,
    /// Calls in a row that failed.
    failures: u32,
    /// Calls in a row that discovery itself refused.
    refusals: u32,
    /// When the last call began: where a list came it is followed by another at once.
    began_at: Duration,
}

impl PollState {
    /// A call begins; those that failed before do not count any more.
    pub fn restarted(now: Duration) -> Self {
        PollState { began_at: now, ..PollState::default() }
    }

    /// Whether a call is due. It begins with that.
    pub fn take_due(&mut self, now: Duration) -> bool {
        let due = self.next_poll.take_if(|at| *at <= now).is_some();
        if due {
            self.began_at = now;
        }
        due
    }

    /// The call failed: discovery was down, silent, or its answer broke off. `random` spreads the next calls.
    pub fn failed(&mut self, now: Duration, random: impl FnOnce() -> f64) {
        self.refusals = 0;
        let longest = FIRST_PAUSE_SECONDS * f64::from(1u32 << self.failures.min(MAX_DOUBLINGS));
        self.schedule(now, longest, MAX_INTERVAL_SECONDS, random);
    }

    /// Discovery let the call wait and then refused it, as one of too many.
    pub fn refused(&mut self, now: Duration, replicas: f64, random: impl FnOnce() -> f64) {
        self.refusals += 1;
        let longest = FIRST_PAUSE_SECONDS * f64::from(1u32 << self.failures.min(MAX_REFUSED_DOUBLINGS));
        let few = self.refusals < REFUSALS_TO_SLOW_DOWN;
        let max_interval = if few { MAX_INTERVAL_SECONDS } else { MAX_REFUSED_INTERVAL_SECONDS };
        self.schedule(now, longest.max(replicas / REFUSED_CALLS_PER_SECOND), max_interval, random);
    }

    /// Calls that all come again at once would fail again together.
    fn schedule(
        &mut self,
        now: Duration,
        longest_seconds: f64,
        max_interval_seconds: f64,
        random: impl FnOnce() -> f64,
    ) {
        // The time that the call took to fail has spread the replicas already, and must not add to the time in
        // which a change goes unnoticed.
        let lasted = now.saturating_sub(self.began_at).as_secs_f64();
        let longest = longest_seconds.min(max_interval_seconds - lasted).max(FIRST_PAUSE_SECONDS);
        self.failures += 1;
        self.next_poll = Some(now + Duration::from_secs_f64(longest * (0.5 + 0.5 * random())));
    }
}
