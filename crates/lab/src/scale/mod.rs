//! Measures the cost of the control side by fleet size: sidecars without clients, many per process, and a few
//! full sidecar processes among them that are measured, all with a stand-in list source. The capacity crate
//! extrapolates to other sizes.

mod process;
mod results;
mod rig;

pub use process::{ProcessUsage, memory_mb, process_usage};
pub use results::{Figure, RecordedRun, fit_slopes, read_runs, slope_table};
pub use rig::{Bounds, Requirements, RunResult, RunSize, requirements, run};
