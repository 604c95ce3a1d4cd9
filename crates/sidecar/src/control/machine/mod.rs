//! A control machine: answers each sidecar's polls with the configuration of its service, and takes what operators publish.
//!
//! It owns the sockets, the polls that wait and the folder of stored versions; what a version is, and which one is newer,
//! is the [`VersionStore`]'s. All machines are alike: an operator publishes at any of them, and each machine polls all
//! others every second.

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
use async_executor::LocalExecutor;
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

/// Buffers for messages in progress: most connections wait, and hold none.
const BUFFERS: usize = 768;
/// The sidecars of lost machines all connect at once; one that finds no room in the queue tries again only after a second.
const LISTEN_BACKLOG: i32 = 4096;

/// Why a control machine doesn't run.
#[derive(Debug)]
pub enum MachineError {
    /// Its file can't be used.
    Settings(FileError),
    /// The system refuses a socket or the signal's handler.
    Io {
        /// Where it would listen.
        listen: SocketAddr,
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

/// A running control machine. All of its tasks share it, on one thread.
struct Server {
    listen: SocketAddr,
    clock: Clock,
    store: RefCell<VersionStore>,
    /// The store's digest; none where it has changed since it was computed.
    digest: Cell<Option<u128>>,
    waiting: RefCell<WaitingPolls>,
    resources: Rc<ResourcePool>,
    connections: Cell<usize>,
    max_connections: usize,
    peers: Vec<Peer>,
    /// The writer's queue; none where nothing is stored.
    writes: Option<mpsc::SyncSender<versions::Write>>,
    state: Option<PathBuf>,
}

/// Runs the machine of this file until SIGTERM.
pub fn run(path: &Path) -> Result<(), MachineError> {
    let Settings { listen, peers, state, max_connections } = Settings::read(path)?;
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
        writes: state.is_some().then(versions::spawn_writer),
        state,
    });
    server.restore();
    let executor = Rc::new(LocalExecutor::new());
    for (number, pushes) in pushes.into_iter().enumerate() {
        executor.spawn(server.clone().synchronize(number, pushes)).detach();
    }
    executor.spawn(server.clone().expire()).detach();
    let served = async_io::block_on(executor.run(server.run(executor.clone())));
    served.map_err(|error| MachineError::Io { listen, error })
}

impl Server {
    /// Serves connections until SIGTERM.
    async fn run(self: Rc<Self>, executor: Rc<LocalExecutor<'static>>) -> io::Result<()> {
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
        tracing::info!("SIGTERM: followers go to the next control machine");
        Ok(())
    }
}
