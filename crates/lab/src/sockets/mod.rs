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

pub use child::{Helper, Sidecar, program};
pub use discovery::{Discovery, Entry, Trouble};
pub use fleet::{Behind, ColdMost, Doing, Fleet, Make, Server, Serving, Verbs};
pub use ledger::Ledger;
pub use load::{Figures, LoadPlan, load};
pub use message::{Heard, Peer, read};
pub use ports::{free, free_datagrams, nobody, unused};
pub use scene::{Scene, Seen, play, run_dir};
pub use scripted::{Does, Scripted};
pub use settings::{Told, config_of};
pub use watches::{Counts, Watches};
