//! Plans: scenarios as files tell them, checked.

mod check;
mod faults;
mod read;
mod scenario;

pub use check::fault_of as check_fault;
pub use faults::{Fault, Kind, Lie};
pub use read::{parse, read};
pub use scenario::*;
