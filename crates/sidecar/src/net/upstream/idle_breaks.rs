//! How often idle connections break when they are reused, by idle time. Servers may drop idle connections sooner than
//! they announce, and some do so without closing the socket.

use std::time::Duration;

/// Counts of reused and broken connections, in bins of idle time that double from bin to bin.
#[derive(Default)]
pub(super) struct IdleBreakStats {
    bins: [Bin; IdleBreakStats::BINS],
}

#[derive(Clone, Copy, Default)]
struct Bin {
    reused: u32,
    broken: u32,
}

impl IdleBreakStats {
    const BINS: usize = 12;
    /// The upper bound of the first bin, in milliseconds of idle time.
    const FIRST_BIN_MS: u64 = 25;
    /// The counts of a bin are halved at this many uses, so that old uses lose weight.
    const MAX_BIN_USES: u32 = 128;
    /// More than one break in this many uses is too often.
    const MIN_USES_PER_BREAK: u32 = 24;

    fn bin(idle: Duration) -> usize {
        let steps = idle.as_millis() as u64 / Self::FIRST_BIN_MS;
        ((u64::BITS - steps.leading_zeros()) as usize).min(Self::BINS - 1)
    }

    /// Records a reuse after this idle time, and whether the connection broke.
    pub(super) fn record(&mut self, idle: Duration, broke: bool) {
        let bin = &mut self.bins[Self::bin(idle)];
        (bin.reused, bin.broken) = (bin.reused + 1, bin.broken + u32::from(broke));
        if bin.reused >= Self::MAX_BIN_USES {
            (bin.reused, bin.broken) = (bin.reused / 2, bin.broken / 2);
        }
    }

    /// Whether connections break too often after this idle time or a shorter one: connections that break after a
    /// shorter time also break after this one.
    pub(super) fn breaks_often_after(&self, idle: Duration) -> bool {
        let too_often = |bin: &Bin| bin.broken >= 2 && bin.broken * Self::MIN_USES_PER_BREAK > bin.reused;
        self.bins[..=Self::bin(idle)].iter().any(too_often)
    }
}
