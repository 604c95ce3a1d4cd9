//! The lab: an emulated world that hosts the real decisions, its load and faults, a referee of the four rules,
//! baselines, experiments over seeds and axes, and reports. Nothing depends on it but tests.

pub mod cold;
pub mod experiment;
pub mod fleet;
mod picker;
pub mod pickers;
pub mod plan;
pub mod referee;
pub mod report;
pub mod scale;
pub mod soak;
pub mod sockets;
pub mod tally;
pub mod world;
