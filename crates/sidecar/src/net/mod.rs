//! The request path: client connections, server connections, discovery, peer messages and the owner of the decision
//! engine, all on one thread.
//!
//! `clients` reads a request, `owner` passes it to the decision engine and starts its attempts, `upstream` sends them,
//! and the response returns through the same modules. `service` builds the parts and connects them; `serve` runs them
//! until SIGTERM and shuts them down in order.

mod attempts;
pub mod buffers;
pub mod clients;
pub mod discovery;
mod discovery_watch;
pub mod executor;
pub mod http;
mod leaving;
mod legacy_fingerprint;
pub mod linger;
mod listener;
mod local_failure;
pub mod owner;
mod peers;
mod read_ahead;
mod request;
mod serve;
mod service;
mod settings_fingerprint;
pub mod socket;
mod statistics_file;
pub mod timeout;
pub mod upstream;

pub use serve::{serve, serve_without_clients};
