//! The client side: takes connections, reads requests, hands them to the owner and writes the final responses back. It owns
//! the clients' sockets and the answers to invalid input. It holds no buffer for a connection that waits, answers no
//! accepted request by its own choice, and reaches the decisions by the owner's queue alone.
//!
//! A connection goes through these phases, each in a file of its own:
//!
//! - `accept`: a connection is taken, and others are closed where there is no room.
//! - `wait`: it is idle until a request comes.
//! - `read`: a request is read, as far as it is buffered.
//! - `exchange`: the request is handed to the owner, and its final response awaited.
//! - `write`: the response is written.
//! - `close`: the connection is closed, with its reason, and the process's shutdown.
//!
//! `state` is what all connections share.

mod accept;
mod close;
mod connection;
mod exchange;
mod latch;
mod read;
mod state;
mod wait;
mod write;

pub use state::ClientSide;
