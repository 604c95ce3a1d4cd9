//! The sidecar on its sockets: clients, servers, discovery, peers, and the owner of the decisions between them, all on one
//! thread.
//!
//! A request's way: `clients` reads it, `owner` asks the decisions and starts its attempts, `upstream` sends them, and the
//! response goes back the same way. `service` starts the parts and joins them; `serve` runs them until SIGTERM and ends
//! them in order.

mod attempts;
pub mod buffers;
pub mod clients;
pub mod discovery;
mod discovery_watch;
pub mod http;
mod leaving;
mod legacy_fingerprint;
mod listener;
mod local_failure;
pub mod owner;
mod peers;
mod read_ahead;
mod request;
mod serve;
mod service;
mod settings_fingerprint;
mod statistics_file;
pub mod timeout;
pub mod upstream;

pub use serve::{serve, serve_without_clients};
