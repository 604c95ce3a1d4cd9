//! The client side: accepts connections, reads requests, passes them to the owner and writes the final responses. It
//! owns the clients' sockets and the responses to invalid input. An idle connection holds no buffer; requests passed to
//! the owner are answered only as the owner decides; and the decision engine is reached only through the owner's queue.
//!
//! A connection passes through these phases, each in a file of its own:
//!
//! - `accept`: the connection is accepted, and others are closed if no socket is free.
//! - `wait`: the connection is idle until a request arrives.
//! - `read`: a request is read, as far as it is buffered.
//! - `exchange`: the request is passed to the owner, and its final response awaited.
//! - `write`: the response is written.
//! - `close`: the connection is closed; also the shutdown of the client side.
//!
//! `connection` runs these phases for one connection, and `state` holds what all connections share.

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
