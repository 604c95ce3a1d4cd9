//! What a page tells.

use crate::experiment::build;
use crate::plan::Scenario;
use crate::tally::{Marked, Second, Totals};
use crate::world::Run;

/// A span of the run that is marked in every plot.
#[derive(Clone, Debug)]
pub struct Span {
    pub label: String,
    /// Seconds since the start.
    pub from: f64,
    pub to: f64,
}

/// One picker's run under its name.
#[derive(Clone, Debug)]
pub struct Line {
    pub name: String,
    pub totals: Totals,
    pub seconds: Vec<Second>,
    pub marks: Vec<Marked>,
    pub broken: [u64; 4],
    pub breaches: Vec<String>,
}

/// What a page tells: the first line in full, the others beside it.
#[derive(Clone, Debug)]
pub struct Story {
    pub title: String,
    pub about: String,
    pub build: String,
    /// How to make it again.
    pub command: String,
    pub lines: Vec<Line>,
    pub spans: Vec<Span>,
}

impl Line {
    pub fn of(name: &str, run: Run) -> Line {
        Line {
            name: name.into(),
            breaches: run.breaches.iter().map(ToString::to_string).collect(),
            totals: run.totals,
            seconds: run.seconds,
            marks: run.marks,
            broken: run.breach_counts,
        }
    }
}

impl Story {
    pub fn new(scenario: &Scenario, title: &str, about: &str, command: String, lines: Vec<Line>) -> Story {
        let span = |fault: &crate::plan::Fault| Span {
            label: fault.label(),
            from: fault.at,
            to: fault.at + fault.lasts,
        };
        Story {
            title: title.into(),
            about: about.into(),
            build: build(),
            command,
            lines,
            spans: scenario.faults.iter().map(span).collect(),
        }
    }
}
