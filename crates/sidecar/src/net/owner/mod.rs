//! The task that owns the decisions. Everything that happens reaches it as an event on its queue, in order, and becomes one
//! call of the decisions; what the decisions ask for becomes a final response, an attempt, a health check or a poll of
//! discovery.
//!
//! - `event`: what reaches the queue, and the final responses that leave.
//! - `request_table`: the open requests, their attempts, and the known servers.
//! - `decision_host`: what the decisions may do.
//! - `event_loop`: the task itself.

mod decision_host;
mod event;
mod event_loop;
mod request_table;

pub use event::{Event, EventQueue, FinalResponse, IncomingRequest, queue};
pub use event_loop::{OperatorChannels, run};
pub use request_table::Services;
