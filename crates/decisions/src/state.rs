//! State of one replica's decisions: records and aggregates, one in each file. Rules here concern one record alone; all
//! other decisions belong to `policy`.

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
