//! Experiments: their files, the runs they expand to, the results of the runs, and comparisons of results.

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
