//! The lab: a discrete-event simulation around the real decision module and test rigs on real sockets, with load,
//! faults, checks of the four rules, baseline load balancers, experiments and reports. Only tests depend on it.

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
