//! Where a command goes, whether it goes again, and when it is given up.

mod book;
mod fleet;
pub mod host;
mod overrides;
pub mod peer_messages;
pub mod policy;
mod replicas;
pub mod settings;
mod settings_change;
mod shutdown;
pub mod statistics;
mod stats;
pub mod zones;
