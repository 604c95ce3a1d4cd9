//! Capacity model: the state, messages, processor time and memory that each role needs at a given size, computed from
//! measured slopes and shown next to the operators' bounds. Every figure is measured or derived from the protocol. The
//! crate opens no file or socket and reads no clock.

mod fit;
mod page;
mod sheet;
mod size;
mod slope;
mod sums;

pub use fit::{Fit, Point};
pub use page::{Section, format_figure, marked_text, replace_sections, sections};
pub use sheet::{BUDGET_BYTES_PER_S, Cell, Row, VARIABLES, figure_names, sheet, unused_slopes};
pub use size::{Assumption, BUILT_IN, Case, Operators, Pairing, Size};
pub use slope::{AFTER as BUILT_IN_AFTER, BUILT_IN as BUILT_IN_SLOPES, Role, Slope, Slopes, Source};
pub use sums::{CaseStats, Class, Moment};
