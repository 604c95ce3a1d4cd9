//! The work that all replicas together send to a cold server within a sliding window, compared with its overload bound.
//! The simulation or the socket rig reports each arrival with its work and the present bound.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// The overload bound of a cold server at one time.
#[derive(Clone, Copy, Debug)]
pub struct OverloadBound {
    /// Length of the window in which requests are counted.
    pub window: Duration,
    /// Requests of mean work allowed within the window: overload multiple x present capacity x window / mean work.
    pub budget: f64,
    /// From this count of requests in the window on, the budget itself is the bound, without an allowance for chance.
    pub min_requests: usize,
}

/// The budget plus an allowance for chance, in requests of mean work: N + 2 sqrt(N) + 2.
pub fn allowance(budget: f64) -> f64 {
    budget + 2.0 * budget.max(0.0).sqrt() + 2.0
}

/// The window of one process of a cold server that was fullest relative to its allowance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdPeak {
    /// Name of the server.
    pub server: String,
    /// End of the window in seconds since the start.
    pub at: f64,
    /// Requests of mean work that all replicas sent within the window.
    #[serde(rename = "sent")]
    pub offered: f64,
    /// The budget by the capacity of the server at that time.
    pub budget: f64,
}

impl ColdPeak {
    /// Requests left until the allowance; the server is overloaded below 0.
    pub fn margin(&self) -> f64 {
        allowance(self.budget) - self.offered
    }

    /// Offered requests as a fraction of the allowance; the server is overloaded above 1.
    pub fn ratio(&self) -> f64 {
        self.offered / allowance(self.budget)
    }
}

/// Extremes over the windows of all cold servers of one or more runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ColdPeaks {
    /// Count of processes of cold servers that received any request.
    #[serde(rename = "lives")]
    pub process_lives: u64,
    /// Count of these processes with a window beyond its allowance.
    #[serde(rename = "beyond")]
    pub over_allowance: u64,
    /// The processes whose fullest window has the highest and the lowest ratio to its allowance.
    #[serde(rename = "highest")]
    pub highest_ratio: Option<ColdPeak>,
    /// The process whose fullest window has the lowest ratio to its allowance; `None` if no process received a request.
    #[serde(rename = "lowest")]
    pub lowest_ratio: Option<ColdPeak>,
    /// The processes whose fullest window has the smallest and the largest margin to its allowance.
    #[serde(rename = "closest")]
    pub smallest_margin: Option<ColdPeak>,
    /// The process whose fullest window has the largest margin to its allowance.
    #[serde(rename = "widest")]
    pub largest_margin: Option<ColdPeak>,
}

impl ColdPeaks {
    fn add_process(&mut self, highest_ratio: &ColdPeak, smallest_margin: &ColdPeak) {
        self.process_lives += 1;
        self.over_allowance += u64::from(highest_ratio.ratio() > 1.0);
        let keep =
            |kept: &mut Option<ColdPeak>, new: &ColdPeak, better: &dyn Fn(&ColdPeak, &ColdPeak) -> bool| {
                if kept.as_ref().is_none_or(|kept| better(new, kept)) {
                    *kept = Some(new.clone());
                }
            };
        keep(&mut self.highest_ratio, highest_ratio, &|new, kept| new.ratio() > kept.ratio());
        keep(&mut self.lowest_ratio, highest_ratio, &|new, kept| new.ratio() < kept.ratio());
        keep(&mut self.smallest_margin, smallest_margin, &|new, kept| new.margin() < kept.margin());
        keep(&mut self.largest_margin, smallest_margin, &|new, kept| new.margin() > kept.margin());
    }

    /// Adds the peaks of other runs.
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

    /// A summary in one line; `None` if no cold server received a request.
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

/// The work offered to one cold server within the window, and the peaks of its present process.
#[derive(Clone, Debug, Default)]
pub struct OfferedWork {
    window_requests: VecDeque<(Duration, f64)>,
    highest_ratio: Option<ColdPeak>,
    smallest_margin: Option<ColdPeak>,
}

impl OfferedWork {
    /// Records the arrival of `offered` requests of mean work and returns whether they overload the server: beyond the
    /// allowance or, with `min_requests` or more in the window, beyond the budget itself. The second bound is the
    /// stricter one for large budgets.
    pub fn record(&mut self, server: &str, now: Duration, offered: f64, bound: OverloadBound) -> bool {
        let OverloadBound { window, budget, min_requests: least } = bound;
        self.window_requests.push_back((now, offered));
        while self.window_requests.front().is_some_and(|(at, _)| *at + window < now) {
            self.window_requests.pop_front();
        }
        let offered = self.total();
        let peak = ColdPeak { server: server.to_string(), at: now.as_secs_f64(), offered, budget };
        if self.highest_ratio.as_ref().is_none_or(|known| peak.ratio() > known.ratio()) {
            self.highest_ratio = Some(peak.clone());
        }
        if self.smallest_margin.as_ref().is_none_or(|known| peak.margin() < known.margin()) {
            self.smallest_margin = Some(peak.clone());
        }
        peak.ratio() > 1.0 || (self.window_requests.len() >= least && offered > budget)
    }

    /// Requests of mean work in the window that ends with the last arrival.
    pub fn total(&self) -> f64 {
        self.window_requests.iter().map(|(_, offered)| offered).sum()
    }

    /// Clears the window; the peaks of the process are kept.
    pub fn clear(&mut self) {
        self.window_requests.clear();
    }

    /// Adds the peaks of the process to `into`, when the process ends or is warm.
    pub fn finish_process(&mut self, into: &mut ColdPeaks) {
        self.window_requests.clear();
        if let (Some(highest_ratio), Some(smallest_margin)) =
            (self.highest_ratio.take(), self.smallest_margin.take())
        {
            into.add_process(&highest_ratio, &smallest_margin);
        }
    }
}
