//! The decisions of landingspread: which server gets a request, whether it is sent again, and when it is rejected. There
//! is no I/O here: a host hands in events and the time, and acts on what `policy::Policy` asks for by `host::Host`.

#![warn(missing_docs)]

pub mod host;
pub mod peer_messages;
pub mod policy;
pub mod settings;
mod state;
pub mod statistics;
pub mod zones;
