//! The data of a report.

use crate::experiment::build;
use crate::plan::Scenario;
use crate::tally::{EjectionNote, Second, Totals};
use crate::world::Run;

/// The time of a fault, marked in every plot.
#[derive(Clone, Debug)]
pub struct FaultSpan {
    /// Label of the fault in the plots.
    pub label: String,
    /// Seconds since the start.
    pub from: f64,
    /// End of the fault, in seconds since the start.
    pub to: f64,
}

/// One run with the name of its load balancer.
#[derive(Clone, Debug)]
pub struct RunReport {
    pub name: String,
    pub totals: Totals,
    pub seconds: Vec<Second>,
    pub ejections: Vec<EjectionNote>,
    pub breach_counts: [u64; 4],
    pub breaches: Vec<String>,
}

/// The data of a report: the first run in full, the others for comparison.
#[derive(Clone, Debug)]
pub struct ReportData {
    pub title: String,
    pub about: String,
    pub build: String,
    /// The command line that makes the report again.
    pub command: String,
    pub runs: Vec<RunReport>,
    pub faults: Vec<FaultSpan>,
}

impl RunReport {
    /// Takes the data of a run from its simulation.
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
    /// Collects the data of a report; `command` is the command line that makes it again.
    pub fn new(
        scenario: &Scenario,
        title: &str,
        about: &str,
        command: String,
        runs: Vec<RunReport>,
    ) -> ReportData {
        let fault_span = |fault: &crate::plan::Fault| FaultSpan {
            label: fault.label(),
            from: fault.at,
            to: fault.at + fault.duration,
        };
        ReportData {
            title: title.into(),
            about: about.into(),
            build: build(),
            command,
            runs,
            faults: scenario.faults.iter().map(fault_span).collect(),
        }
    }
}
