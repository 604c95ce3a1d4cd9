//! The decision engine of landingspread: selects the server of each request, and decides on retries and rejections. It
//! performs no I/O: a host passes in events with their time, and carries out what `policy::Policy` requests through
//! `host::Host`.

#![warn(missing_docs)]

pub mod host;
pub mod peer_messages;
pub mod policy;
pub mod settings;
mod state;
pub mod statistics;
pub mod zones;
