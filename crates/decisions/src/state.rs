//! The state of one replica's decisions: records and sums, each with its own file. Nothing is decided here but what
//! concerns one record alone.

pub mod check_budget;
pub mod class_statistics;
pub mod estimators;
pub mod idle_connections;
pub mod overrides;
pub mod peer_exchange;
pub mod polling;
pub mod random;
pub mod request;
pub mod retry_budget;
pub mod server_set;
pub mod sweep_clock;
pub mod throughput;
pub mod zones;
