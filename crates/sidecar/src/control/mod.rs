//! A service's configuration by control machines: the task by which a sidecar follows it (`task.rs`), and the control
//! machine itself (`machine/`).
//!
//! This module owns the exchange over HTTP, the cached snapshot and what the console reports. Versions, deltas and which
//! version is newer are `landingspread_control`'s. It must never make a request wait: without any machine the version in
//! force stays so.

mod client;
pub mod followers;
mod host;
pub mod machine;
mod snapshot_cache;
pub mod status;
mod task;

pub use task::FollowTask;
