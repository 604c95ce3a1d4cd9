//! Tests on real sockets: test servers, discovery and clients on loopback, around real `landingspread` processes.
//! Owns the processes and their addresses; the program under test is reached only through its protocols.
//!
//! Uses threads and blocking calls throughout, so that the measuring code shares no runtime with the measured code.

pub mod added;
pub mod bench;
pub mod callers;
mod child;
mod discovery;
mod ejection_log;
mod fleet;
mod ledger;
mod load;
mod message;
mod ports;
mod scene;
mod scripted;
mod settings;
mod watches;

pub use child::{HelperProcess, Sidecar, sidecar_program};
pub use discovery::{Discovery, DiscoveryFault, Entry};
pub use fleet::{
    NextTier, OverloadLimit, ServedRequestClass, ServedRequestClasses, Server, ServerConfig, ServerGroup,
    ServerState,
};
pub use ledger::RuleChecker;
pub use load::{LoadPlan, LoadResults, load};
pub use message::{HttpMessage, Peer, read};
pub use ports::{bind_loopback, bind_loopback_udp, unused_address, unused_address_v4};
pub use scene::{SecondSummary, TestEnvironment, run_dir, run_scenario};
pub use scripted::{ScriptedBehavior, ScriptedServer};
pub use settings::{SidecarParameters, sidecar_config};
pub use watches::{WatchCounts, WatchServer};
