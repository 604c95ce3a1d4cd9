//! Plans: scenarios as TOML files describe them, and their validation.

mod check;
mod faults;
mod read;
mod scenario;

pub use check::first_error;
pub use faults::{FalseLoad, Fault, FaultKind};
pub use read::{parse, read};
pub use scenario::*;
