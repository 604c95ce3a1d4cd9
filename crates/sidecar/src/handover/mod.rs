//! Lets two processes be one sidecar during an upgrade: the predecessor, which serves, and its successor.
//!
//! It owns the inherited listening socket (`inherited_listener`, `hold`), the locks that show which processes are alive
//! (`presence`) and the record of servers in maintenance (`maintenance_record`). No other part knows that there are two
//! processes but by what it reads here, and nothing here touches a request or a server.

pub mod hold;
mod inherited_listener;
pub mod maintenance_record;
mod presence;

pub use inherited_listener::inherited_listener;
pub use presence::{CHECK_INTERVAL, Presence};
