//! What a cold server is brought by all copies together, in each sliding window, against what it bears. It owns that
//! sum and its judgement; whoever hosts the server says when something comes, how much, and what it can do by then.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// What a cold server bears at a moment.
#[derive(Clone, Copy, Debug)]
pub struct OverloadBound {
    pub window: Duration,
    /// Commands of mean work that the rule allows within it: multiple x present capacity x window / mean work.
    pub budget: f64,
    /// With so many commands the budget itself is the bound, with nothing put down to chance.
    pub min_requests: usize,
}

/// What is put down to chance beyond a budget of `budget` commands of mean work, and with it.
pub fn allowance(budget: f64) -> f64 {
    budget + 2.0 * budget.max(0.0).sqrt() + 2.0
}

/// The fullest window in one life of a cold server, measured against its allowance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdPeak {
    pub server: String,
    /// Seconds since the start, at the window's end.
    pub at: f64,
    /// Commands of mean work that all copies sent within it.
    #[serde(rename = "sent")]
    pub offered: f64,
    /// What the rule allows by the server's capacity at that moment.
    pub budget: f64,
}

impl ColdPeak {
    /// Commands that it would still have borne; below 0 it falls.
    pub fn margin(&self) -> f64 {
        allowance(self.budget) - self.offered
    }

    /// What was sent as a share of what it bears: from 1 on it falls.
    pub fn ratio(&self) -> f64 {
        self.offered / allowance(self.budget)
    }
}

/// All windows of all cold servers of some runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ColdPeaks {
    /// Lives of cold servers that anything was sent to.
    #[serde(rename = "lives")]
    pub process_lives: u64,
    /// Of these, lives with a window beyond its allowance.
    #[serde(rename = "beyond")]
    pub over_allowance: u64,
    /// The life that came nearest to its allowance, as a share, and the one that stayed farthest from it.
    #[serde(rename = "highest")]
    pub highest_ratio: Option<ColdPeak>,
    #[serde(rename = "lowest")]
    pub lowest_ratio: Option<ColdPeak>,
    /// The window with the fewest commands left, and the life whose fullest window had the most left.
    #[serde(rename = "closest")]
    pub smallest_margin: Option<ColdPeak>,
    #[serde(rename = "widest")]
    pub largest_margin: Option<ColdPeak>,
}

impl ColdPeaks {
    fn add_process(&mut self, highest: &ColdPeak, closest: &ColdPeak) {
        self.process_lives += 1;
        self.over_allowance += u64::from(highest.ratio() > 1.0);
        let keep =
            |kept: &mut Option<ColdPeak>, new: &ColdPeak, better: &dyn Fn(&ColdPeak, &ColdPeak) -> bool| {
                if kept.as_ref().is_none_or(|kept| better(new, kept)) {
                    *kept = Some(new.clone());
                }
            };
        keep(&mut self.highest_ratio, highest, &|new, kept| new.ratio() > kept.ratio());
        keep(&mut self.lowest_ratio, highest, &|new, kept| new.ratio() < kept.ratio());
        keep(&mut self.smallest_margin, closest, &|new, kept| new.margin() < kept.margin());
        keep(&mut self.largest_margin, closest, &|new, kept| new.margin() > kept.margin());
    }

    pub fn merge(&mut self, other: &ColdPeaks) {
        let (lives, beyond) =
            (self.process_lives + other.process_lives, self.over_allowance + other.over_allowance);
        for (high, close) in
            [(&other.highest_ratio, &other.smallest_margin), (&other.lowest_ratio, &other.largest_margin)]
        {
            if let (Some(high), Some(close)) = (high, close) {
                self.add_process(high, close);
            }
        }
        (self.process_lives, self.over_allowance) = (lives, beyond);
    }

    /// One line for people; none where no cold server was sent anything.
    pub fn summary(&self) -> Option<String> {
        let peak = |peak: &Option<ColdPeak>| {
            peak.as_ref().map(|peak| {
                let (of, margin) = (allowance(peak.budget), peak.margin());
                format!("{:.1} of {of:.1} (N {:.1}), {margin:.1} left", peak.offered, peak.budget)
            })
        };
        Some(format!(
            "{} lives of cold servers, {} beyond N + 2 root N + 2; worst ratio {:.3}: {}; closest margin: {}; widest: {}",
            self.process_lives,
            self.over_allowance,
            self.highest_ratio.as_ref()?.ratio(),
            peak(&self.highest_ratio)?,
            peak(&self.smallest_margin)?,
            peak(&self.largest_margin)?
        ))
    }
}

/// The sum for one server, life by life.
#[derive(Clone, Debug, Default)]
pub struct OfferedWork {
    within: VecDeque<(Duration, f64)>,
    highest: Option<ColdPeak>,
    closest: Option<ColdPeak>,
}

impl OfferedWork {
    /// `sent` commands of mean work come at `now`. Whether it falls: beyond what is put down to chance, or, with `least`
    /// commands or more, beyond the budget itself, which is the lab's own bound and the stricter one for large budgets.
    pub fn record(&mut self, server: &str, now: Duration, sent: f64, bound: OverloadBound) -> bool {
        let OverloadBound { window, budget, min_requests: least } = bound;
        self.within.push_back((now, sent));
        while self.within.front().is_some_and(|(at, _)| *at + window < now) {
            self.within.pop_front();
        }
        let sent = self.total();
        let peak = ColdPeak { server: server.to_string(), at: now.as_secs_f64(), offered: sent, budget };
        if self.highest.as_ref().is_none_or(|known| peak.ratio() > known.ratio()) {
            self.highest = Some(peak.clone());
        }
        if self.closest.as_ref().is_none_or(|known| peak.margin() < known.margin()) {
            self.closest = Some(peak.clone());
        }
        peak.ratio() > 1.0 || (self.within.len() >= least && sent > budget)
    }

    /// Commands of mean work in the window that ended with the last one.
    pub fn total(&self) -> f64 {
        self.within.iter().map(|(_, sent)| sent).sum()
    }

    /// What was sent before no longer counts, and the life goes on.
    pub fn clear(&mut self) {
        self.within.clear();
    }

    /// Its life is over, or it is warm.
    pub fn finish_process(&mut self, into: &mut ColdPeaks) {
        self.within.clear();
        if let (Some(highest), Some(closest)) = (self.highest.take(), self.closest.take()) {
            into.add_process(&highest, &closest);
        }
    }
}
