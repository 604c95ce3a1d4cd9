//! Where a command goes, whether it goes again, and when it is given up.

pub mod host;
pub mod policy;
pub mod terms;
