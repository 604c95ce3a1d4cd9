//! Coordinates the two processes of one sidecar during an upgrade: the predecessor, which serves, and its successor.
//!
//! This module owns the inherited listening socket (`inherited_listener`, `hold`), the locks that show which processes
//! are alive (`presence`) and the record of servers in maintenance (`maintenance_record`). Other modules learn of the
//! second process only through this one, which handles neither requests nor servers.

pub mod hold;
mod inherited_listener;
pub mod maintenance_record;
mod presence;

pub use inherited_listener::inherited_listener;
pub use presence::{CHECK_INTERVAL, Presence};
