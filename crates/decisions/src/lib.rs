//! Where a command goes, whether it goes again, and when it is given up.

mod aside;
mod book;
pub mod carried;
mod changed;
mod copies;
mod ending;
mod fleet;
pub mod host;
pub mod policy;
mod stats;
pub mod terms;
pub mod words;
pub mod zones;
