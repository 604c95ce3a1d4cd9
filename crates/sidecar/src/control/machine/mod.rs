//! A control machine: answers sidecars' polls with their service's configuration and accepts publications of operators.
//!
//! Owns the sockets, the waiting polls and the folder of stored versions; the [`VersionStore`] owns versions and their
//! order. All machines are equal: operators publish at any of them, and each one polls all others every second.

mod connections;
mod peers;
mod polls;
mod reply;
mod report;
mod routes;
mod settings;
mod versions;

use crate::clock::Clock;
use crate::net::buffers::ResourcePool;
use crate::net::executor::Executor;
use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::or;
use landingspread_control::VersionStore;
use landingspread_files::FileError;
use peers::Peer;
use polls::WaitingPolls;
use settings::Settings;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc;

/// The number of buffers for messages in transfer. Most connections wait with a poll and hold none.
const BUFFERS: usize = 768;
/// The length of the accept queue. The sidecars of failed machines connect all at once, and one whose connection
/// attempt overflows the queue is delayed by a second, until TCP retransmits it.
const LISTEN_BACKLOG: i32 = 4096;

/// Why a control machine can't run.
#[derive(Debug)]
pub enum MachineError {
    /// The file with its settings is invalid.
    Settings(FileError),
    /// The listening socket or the signal handler can't be set up.
    Io {
        /// The configured listening address.
        listen: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
}

impl fmt::Display for MachineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MachineError::Settings(error) => error.fmt(f),
            MachineError::Io { listen, error } => write!(f, "{listen}: {error}"),
        }
    }
}

impl std::error::Error for MachineError {}

impl From<FileError> for MachineError {
    fn from(error: FileError) -> MachineError {
        MachineError::Settings(error)
    }
}

/// The state of a running control machine, shared by all of its tasks on one thread.
struct Server {
    listen: SocketAddr,
    clock: Clock,
    store: RefCell<VersionStore>,
    /// The cached digest of the store; `None` if the store has changed since.
    digest: Cell<Option<u128>>,
    waiting: RefCell<WaitingPolls>,
    resources: Rc<ResourcePool>,
    connections: Cell<usize>,
    max_connections: usize,
    peers: Vec<Peer>,
    /// The queue of the writer thread; `None` if no versions are stored.
    writes: Option<mpsc::SyncSender<versions::Write>>,
    state_folder: Option<PathBuf>,
}

/// Runs the control machine that the file configures until SIGTERM.
pub fn run(path: &Path) -> Result<(), MachineError> {
    let Settings { listen, peers, state_folder, max_connections } = Settings::read(path)?;
    let (peers, pushes): (Vec<_>, Vec<_>) = peers.into_iter().map(Peer::new).unzip();
    let server = Rc::new(Server {
        listen,
        clock: Clock::start(),
        store: RefCell::default(),
        digest: Cell::new(None),
        waiting: RefCell::default(),
        resources: ResourcePool::buffers_only(BUFFERS),
        connections: Cell::new(0),
        max_connections,
        peers,
        writes: state_folder.is_some().then(versions::spawn_writer),
        state_folder,
    });
    server.restore();
    let executor = Rc::new(Executor::new());
    for (number, pushes) in pushes.into_iter().enumerate() {
        executor.spawn(server.clone().synchronize(number, pushes)).detach();
    }
    executor.spawn(server.clone().expire()).detach();
    let result = executor.block_on(server.run(executor.clone()));
    result.map_err(|error| MachineError::Io { listen, error })
}

impl Server {
    /// Serves connections until SIGTERM.
    async fn run(self: Rc<Self>, executor: Rc<Executor>) -> io::Result<()> {
        let mut signals = Signals::new([Signal::Term])?;
        let listener = Async::<TcpListener>::bind(self.listen)?;
        rustix::net::listen(&listener, LISTEN_BACKLOG)?;
        tracing::info!(
            listen = %self.listen, machines = self.peers.len() + 1, "control machine: listening"
        );
        let terminated = async {
            signals.next().await;
        };
        or(self.accept(listener, executor), terminated).await;
        tracing::info!("SIGTERM: the control machine stops, followers poll the next one");
        Ok(())
    }
}
