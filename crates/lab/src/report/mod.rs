//! A run as a page: one HTML file that needs nothing beside it, with its plots as SVG. It owns how a run looks; it
//! reckons nothing that the tally has not.

mod page;
mod plots;
mod story;

pub use page::page;
pub use story::{FaultSpan, ReportData, RunReport};
