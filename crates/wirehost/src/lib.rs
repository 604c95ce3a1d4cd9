//! The simulator's wire for landingspread: many instances in one process, nothing decided.

pub mod wire;
