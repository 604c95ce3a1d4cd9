//! The task that owns the decision engine. Events reach it through one queue, in order, and each becomes one call of
//! the decision engine, whose actions become final responses, attempts, health checks and polls of discovery.
//!
//! - `event`: the events of the queue, and the final responses to requests.
//! - `request_table`: the open requests, their attempts, and the known servers.
//! - `decision_host`: the actions of the decision engine.
//! - `event_loop`: the task itself.

mod decision_host;
mod event;
mod event_loop;
mod request_table;

pub use event::{Event, EventQueue, FinalResponse, IncomingRequest, queue};
pub use event_loop::{OperatorChannels, run};
pub use request_table::Services;
