//! Experiments: files into runs, runs into results, results into comparisons.

mod builtin;
mod compare;
mod ready;
mod results;
mod sweep;

pub use builtin::{builtin, builtins};
pub use compare::{Difference, cold_lines, compare, depth_table, table};
pub use ready::*;
pub use results::{Header, Results, Row, build};
pub use sweep::{Progress, sweep};
