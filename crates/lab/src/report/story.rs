//! What a page tells.

use crate::experiment::build;
use crate::plan::Scenario;
use crate::tally::{EjectionNote, Second, Totals};
use crate::world::Run;

/// A span of the run that is marked in every plot.
#[derive(Clone, Debug)]
pub struct FaultSpan {
    pub label: String,
    /// Seconds since the start.
    pub from: f64,
    pub to: f64,
}

/// One picker's run under its name.
#[derive(Clone, Debug)]
pub struct RunReport {
    pub name: String,
    pub totals: Totals,
    pub seconds: Vec<Second>,
    pub ejections: Vec<EjectionNote>,
    pub breach_counts: [u64; 4],
    pub breaches: Vec<String>,
}

/// What a page tells: the first line in full, the others beside it.
#[derive(Clone, Debug)]
pub struct ReportData {
    pub title: String,
    pub about: String,
    pub build: String,
    /// How to make it again.
    pub command: String,
    pub runs: Vec<RunReport>,
    pub faults: Vec<FaultSpan>,
}

impl RunReport {
    pub fn new(name: &str, run: Run) -> RunReport {
        RunReport {
            name: name.into(),
            breaches: run.breaches.iter().map(ToString::to_string).collect(),
            totals: run.totals,
            seconds: run.seconds,
            ejections: run.ejections,
            breach_counts: run.breach_counts,
        }
    }
}

impl ReportData {
    pub fn new(
        scenario: &Scenario,
        title: &str,
        about: &str,
        command: String,
        lines: Vec<RunReport>,
    ) -> ReportData {
        let span = |fault: &crate::plan::Fault| FaultSpan {
            label: fault.label(),
            from: fault.at,
            to: fault.at + fault.duration,
        };
        ReportData {
            title: title.into(),
            about: about.into(),
            build: build(),
            command,
            runs: lines,
            faults: scenario.faults.iter().map(span).collect(),
        }
    }
}
