//! The lab on real sockets: stand-in servers, list source and callers on loopback, round real `landingspread`
//! processes. It owns what runs on which address; the program under test is reached through its protocol alone.
//!
//! Threads and blocking calls throughout: what is measured must not share its run-time with what measures.

pub mod bench;
mod callers;
mod child;
mod discovery;
mod fleet;
mod ledger;
mod load;
mod message;
mod scene;
mod scripted;
mod settings;

pub use child::{Sidecar, program};
pub use discovery::{Discovery, Entry, Trouble};
pub use fleet::{Behind, Doing, Fleet, Make, Server, Serving, Verbs};
pub use ledger::Ledger;
pub use load::{Figures, LoadPlan, load};
pub use message::{Heard, Peer, read};
pub use scene::{Scene, Seen, play, run_dir};
pub use scripted::{Does, Scripted};
pub use settings::{Told, config_of};

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// A free port on a loopback address of its own: a port that one part lets go must not turn up in another.
pub fn free() -> io::Result<TcpListener> {
    static GIVEN: AtomicU32 = AtomicU32::new(1);
    let (pid, number) = (std::process::id(), GIVEN.fetch_add(1, Ordering::Relaxed));
    let address = Ipv4Addr::new(127, 1 + (pid >> 8) as u8 % 250, pid as u8, number as u8);
    TcpListener::bind((address, 0))
}

/// An address where nobody listens now.
pub fn nobody() -> io::Result<SocketAddr> {
    free()?.local_addr()
}
