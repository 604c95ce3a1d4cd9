//! Service configuration by HTTP: the sidecar's task that follows it (`task.rs`) and the control machine (`machine/`).
//!
//! Owns the calls, the cached snapshot and the console's report; `landingspread_control` owns versions and deltas.
//! Nothing here may delay a request: while no machine can be reached, the version in force stays.

mod client;
pub mod followers;
mod host;
pub mod machine;
mod snapshot_cache;
pub mod status;
mod task;

pub use task::FollowTask;
