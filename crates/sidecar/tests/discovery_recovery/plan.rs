//! How discovery fails in a run, when it comes back, and when the list changes: all drawn from one seed.

use crate::helpers::ms;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureMode {
    RefusesConnections,
    /// Its backlog is full: a connection is neither accepted nor refused.
    BacklogFull,
    /// It accepts polls and is silent, and answers them once it is back.
    StallsUntilBack,
    /// Polls that it accepted before it is back are never answered.
    Silent,
    SilentMidAnswer,
    Trickles,
    Answers503,
    Resets,
    CutsShort,
    Closes,
    /// Another one for each poll.
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

    /// What a poll that was accepted meets.
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
    /// So long after it failed.
    After(Duration),
    /// So long after that many polls failed.
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
    /// How late its answers are once it is back.
    pub answer_delay: Duration,
    pub complete_lists: bool,
    /// Clients may be rejected with a status.
    pub crowded: bool,
    pub seed: u64,
}

impl Plan {
    pub fn drawn(mode: FailureMode, replicas: u64, seed: u64) -> Plan {
        let rng = &mut ChaCha8Rng::seed_from_u64(seed);
        let seen = !matches!(
            mode,
            FailureMode::RefusesConnections | FailureMode::BacklogFull | FailureMode::StallsUntilBack
        );
        // Right behind a call that has just come is when its end is farthest.
        let offset = if rng.random() { 1 } else { rng.random_range(0..5000) };
        let recovery = match seen && rng.random_range(0..4) > 0 {
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
