//! Reports of runs: one self-contained HTML file with plots as SVG. The statistics are computed in `tally`.

mod page;
mod plots;
mod story;

pub use page::page;
pub use story::{FaultSpan, ReportData, RunReport};
