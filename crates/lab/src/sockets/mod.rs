//! The lab on real sockets: stand-in servers, list source and callers on loopback, round real `landingspread`
//! processes. It owns what runs on which address; the program under test is reached through its protocol alone.
//!
//! Threads and blocking calls throughout: what is measured must not share its run-time with what measures.

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
