//! Fault tests of a fleet of sidecars. One fault plan runs in virtual time against the membership protocol
//! alone (`emulated`) or against real processes whose network paths all lead through proxies of the lab
//! (`rig`). Both check membership views with the same code.

mod builtin;
pub mod check;
pub mod emulated;
pub mod nemesis;
pub mod page;
pub mod plan;
pub mod rig;
pub mod views;
pub mod weather;
pub mod zones;

pub use builtin::{builtin, builtins};
