//! What the product needs at a stated size. It owns the arithmetic from measured slopes to state, messages, time and
//! memory of each role, beside the operators' bounds; it must never open a file or a socket, read a clock, or hold a
//! figure that was neither measured nor derived from the protocol.

mod fit;
mod page;
mod sheet;
mod size;
mod slope;
mod sums;

pub use fit::{Fit, Point};
pub use page::{Section, figure, put, sections, text};
pub use sheet::{BUDGET_BYTES_PER_S, BY, Cell, Line, figures, sheet, unread};
pub use size::{Assumption, BUILT_IN, Case, Operators, Pairing, Size};
pub use slope::{AFTER as BUILT_IN_AFTER, BUILT_IN as BUILT_IN_SLOPES, Role, Slope, Slopes, Source};
pub use sums::{Class, Moment, Sums};
