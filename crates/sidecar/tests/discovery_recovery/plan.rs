//! How discovery fails in a run, when it recovers, and when its list changes, all drawn from one seed.

use crate::helpers::ms;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureMode {
    RefusesConnections,
    /// The accept queue is full: connections are neither accepted nor refused.
    BacklogFull,
    /// Polls during the outage are accepted, and answered once discovery has recovered.
    StallsUntilBack,
    /// Polls accepted during the outage are never answered.
    Silent,
    SilentMidAnswer,
    Trickles,
    Answers503,
    Resets,
    CutsShort,
    Closes,
    /// Each poll fails in one of the other modes, drawn at random.
    Mixed,
}

impl FailureMode {
    pub const ALL: [FailureMode; 11] = [
        FailureMode::RefusesConnections,
        FailureMode::BacklogFull,
        FailureMode::StallsUntilBack,
        FailureMode::Silent,
        FailureMode::SilentMidAnswer,
        FailureMode::Trickles,
        FailureMode::Answers503,
        FailureMode::Resets,
        FailureMode::CutsShort,
        FailureMode::Closes,
        FailureMode::Mixed,
    ];

    /// The mode for one accepted poll.
    pub fn for_a_poll(self, rng: &mut ChaCha8Rng) -> FailureMode {
        match self {
            FailureMode::Mixed => FailureMode::ALL[rng.random_range(3..10)],
            FailureMode::RefusesConnections => FailureMode::Resets,
            FailureMode::BacklogFull => FailureMode::Silent,
            mode => mode,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub enum Recovery {
    /// This long after the failure.
    After(Duration),
    /// This long after the given number of polls failed.
    AfterFailedPolls(usize, Duration),
}

#[derive(Clone, Copy, Debug)]
pub enum ChangeTime {
    AfterDown(Duration),
    AfterReturn(Duration),
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub mode: FailureMode,
    pub replicas: u64,
    /// How long the watch is open before the failure.
    pub watch_before: Duration,
    pub recovery: Recovery,
    pub change_time: ChangeTime,
    /// Delay of discovery's answers after its recovery.
    pub answer_delay: Duration,
    /// Whether each answer is a complete list instead of the changes.
    pub complete_lists: bool,
    /// Whether the test's own client may be rejected because the sidecar is full.
    pub crowded: bool,
    pub seed: u64,
}

impl Plan {
    pub fn drawn(mode: FailureMode, replicas: u64, seed: u64) -> Plan {
        let rng = &mut ChaCha8Rng::seed_from_u64(seed);
        let polls_fail = !matches!(
            mode,
            FailureMode::RefusesConnections | FailureMode::BacklogFull | FailureMode::StallsUntilBack
        );
        // A recovery right after a poll failed leaves the longest time until the next poll.
        let offset = if rng.random() { 1 } else { rng.random_range(0..5000) };
        let recovery = match polls_fail && rng.random_range(0..4) > 0 {
            true => Recovery::AfterFailedPolls(rng.random_range(1..=4), ms(offset)),
            false => Recovery::After(ms(rng.random_range(0..14_000))),
        };
        let change_time = match rng.random_range(0..3) {
            0 => ChangeTime::AfterDown(ms(0)),
            1 => ChangeTime::AfterDown(ms(rng.random_range(0..4000))),
            _ => ChangeTime::AfterReturn(ms(rng.random_range(0..3000))),
        };
        let answer_delay = ms(if rng.random_range(0..3) == 0 { 300 } else { 0 });
        let watch_before = ms(rng.random_range(0..2500));
        Plan {
            mode,
            replicas,
            watch_before,
            recovery,
            change_time,
            answer_delay,
            complete_lists: rng.random(),
            crowded: false,
            seed,
        }
    }
}
