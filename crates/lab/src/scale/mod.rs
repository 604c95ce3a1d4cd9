//! How the control side costs by size: hollow sidecars, many to a process, with a few real ones among them that are
//! measured, before a stand-in list source. It owns the run and its bounds; what a figure means for a size that was not
//! run is the capacity crate's.

mod process;
mod results;
mod rig;

pub use process::{Spent, memory_mb, spent};
pub use results::{Figure, Kept, fitted, kept, table};
pub use rig::{Bounds, Need, Ran, Wanted, need, run};
