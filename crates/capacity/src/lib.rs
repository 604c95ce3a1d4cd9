//! What the product needs at a stated size. It owns the arithmetic from measured slopes to state, messages, time and
//! memory of each role, beside the operators' bounds; it must never open a file or a socket, read a clock, or hold a
//! figure that was neither measured nor derived from the protocol.

mod fit;
mod slope;

pub use fit::{Fit, Point};
pub use slope::{Role, Slope, Slopes, Source};
