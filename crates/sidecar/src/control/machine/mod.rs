//! A control machine: hands each sidecar the configuration of its service, and takes operators' words. It owns the sockets,
//! the calls that wait for a change, and the state folder; versions are the board's. All machines are alike: a change is
//! said to any of them, and each looks at all others every second.

mod calls;
mod file;
mod peers;

use super::kept::write;
use crate::clock::Clock;
use crate::net::buffers::Stock;
use crate::net::http::{self, Coming};
use crate::net::timeout::timeout;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::or;
use landingspread_control::{Delta, DeltaError, MAX_SCOPES, MergeOutcome, Poll, Version, VersionStore};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// A call has so long to come whole once it has begun, and an answer to be taken.
const CALL_WITHIN: Duration = Duration::from_secs(5);
/// A connection without a call goes after this.
const IDLE: Duration = Duration::from_secs(60);
/// Buffers for messages under way: most connections wait, and hold none.
const BUFFERS: usize = 768;
/// So long an operator waits at most until other machines have what was published.
const PUSHED_WITHIN: Duration = Duration::from_millis(800);
/// Those whose machines were lost all come at once; who finds no room in the queue tries again only after a second.
const BACKLOG: i32 = 4096;
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
const TIDY_EVERY: Duration = Duration::from_secs(60);
/// Versions that wait to be written; past that the next start has to hear them from the others.
const WRITES_MOST: usize = 4096;

/// Calls that wait for the next version of a scope.
#[derive(Default)]
struct Waiting {
    calls: Vec<Sender<()>>,
    /// Those that went without a word are dropped at this size.
    prune_at: usize,
}

struct Machine {
    listen: SocketAddr,
    clock: Clock,
    board: RefCell<VersionStore>,
    digest: Cell<Option<u128>>,
    waiting: RefCell<BTreeMap<String, Waiting>>,
    stock: Rc<Stock>,
    connections: Cell<usize>,
    connections_most: usize,
    peers: Vec<peers::Peer>,
    writes: Option<mpsc::SyncSender<(PathBuf, String)>>,
    state: Option<PathBuf>,
}

/// Runs until SIGTERM.
pub fn run(path: &Path) -> Result<(), String> {
    let file::Checked { listen, others, state, connections } = file::read(path)?;
    let told = |wrong: io::Error| format!("{listen}: {wrong}");
    let (peers, pushes): (Vec<_>, Vec<_>) = others.into_iter().map(peers::Peer::new).unzip();
    let machine = Rc::new(Machine {
        listen,
        clock: Clock::start(),
        board: RefCell::default(),
        digest: Cell::new(None),
        waiting: RefCell::default(),
        stock: Stock::small(BUFFERS),
        connections: Cell::new(0),
        connections_most: connections,
        peers,
        writes: state.is_some().then(writer),
        state,
    });
    machine.recall();
    let executor = Rc::new(LocalExecutor::new());
    for (number, pushes) in pushes.into_iter().enumerate() {
        executor.spawn(machine.clone().follow_peer(number, pushes)).detach();
    }
    executor.spawn(machine.clone().tidy()).detach();
    async_io::block_on(executor.run(async {
        let mut signals = Signals::new([Signal::Term]).map_err(told)?;
        let listener = Async::<TcpListener>::bind(listen).map_err(told)?;
        rustix::net::listen(&listener, BACKLOG).map_err(|wrong| told(wrong.into()))?;
        tracing::info!(%listen, machines = machine.peers.len() + 1, "control machine: open");
        let ends = async {
            signals.next().await;
        };
        or(machine.clone().accept(listener, executor.clone()), ends).await;
        tracing::info!("SIGTERM: sidecars go to the next machine");
        Ok(())
    }))
}

/// Files are written by a thread: a slow disk must not keep a change from those who wait for it.
fn writer() -> mpsc::SyncSender<(PathBuf, String)> {
    let (send, receive) = mpsc::sync_channel::<(PathBuf, String)>(WRITES_MOST);
    std::thread::spawn(move || receive.iter().for_each(|(path, text)| write(&path, text.as_bytes())));
    send
}

/// Bytes, an end or an error: a wake-up alone may be for nothing.
async fn something_to_read(stream: &Async<TcpStream>) {
    let nothing = |wrong: &io::Error| matches!(wrong.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted);
    while stream.get_ref().peek(&mut [0]).is_err_and(|wrong| nothing(&wrong)) {
        if stream.readable().await.is_err() {
            return;
        }
    }
}

impl Machine {
    /// What this machine knew before it ended; what the others have by now is heard from them.
    fn recall(&self) {
        let Some(folder) = &self.state else { return };
        let _ = std::fs::create_dir_all(folder);
        let entries = std::fs::read_dir(folder).into_iter().flatten().flatten().map(|entry| entry.path());
        let mut paths: Vec<PathBuf> =
            entries.filter(|path| path.extension().is_some_and(|ending| ending == "json")).collect();
        paths.sort();
        for path in paths.into_iter().take(MAX_SCOPES) {
            let read = std::fs::read(&path).map_err(|wrong| wrong.to_string());
            let change = read.and_then(|bytes| Delta::from_json(&bytes).map_err(|unfit| unfit.to_string()));
            let merged = change
                .and_then(|change| self.board.borrow_mut().merge(change).map_err(|unfit| unfit.to_string()));
            if let Err(wrong) = merged {
                tracing::warn!("control machine: {}: {wrong}; it is passed over", path.display());
            }
        }
        tracing::info!(scopes = self.board.borrow().summary().len(), "control machine: as it was kept");
    }

    /// A scope has another version: those who wait for it are told, and it is kept.
    fn changed(&self, scope: &str) {
        self.digest.set(None);
        self.waiting.borrow_mut().remove(scope);
        let board = self.board.borrow();
        if let (Some(writes), Some(folder), Some(holds)) = (&self.writes, &self.state, board.current(scope)) {
            let path = folder.join(format!("{scope}.json"));
            if writes.try_send((path, holds.full_delta().to_json())).is_err() {
                tracing::warn!(scope, "control machine: the disk is too slow: this version is not kept");
            }
        }
    }

    /// An operator's version, made here. How many machines have it, this one too, when as many as answer do, or after a
    /// while: a version that only one machine has is lost with it.
    async fn published(&self, scope: &str, version: Version) -> usize {
        self.changed(scope);
        let (done, has) = async_channel::bounded(self.peers.len().max(1));
        // Those that do not answer now find it by looking.
        self.peers.iter().filter(|peer| peer.answers()).for_each(|peer| peer.push(scope, done.clone()));
        drop(done);
        let (until, mut count) = (Instant::now() + PUSHED_WITHIN, 1);
        while count <= self.peers.len() {
            match timeout(until.saturating_duration_since(Instant::now()), has.recv()).await {
                Some(Ok(())) => count += 1,
                // No other is left that could say so, or none says it.
                Some(Err(_)) | None => break,
            }
        }
        tracing::info!(scope, %version, machines = count, "control machine: published");
        count
    }

    /// Another machine's.
    fn merge(&self, change: Delta, from: SocketAddr) -> Result<(), DeltaError> {
        let (scope, version) = (change.scope.clone(), change.version);
        let merged = self.board.borrow_mut().merge(change)?;
        match merged {
            MergeOutcome::Unchanged => return Ok(()),
            MergeOutcome::Updated => tracing::info!(scope, %version, %from, "control machine: heard"),
            MergeOutcome::Replaced(lost) => tracing::error!(
                scope, %version, %lost, %from,
                "control machine: two versions were published at once, and one is lost: publish again"
            ),
        }
        self.changed(&scope);
        Ok(())
    }

    fn digest(&self) -> u128 {
        let digest = self.digest.get().unwrap_or_else(|| self.board.borrow().digest());
        self.digest.set(Some(digest));
        digest
    }

    async fn tidy(self: Rc<Self>) {
        loop {
            Timer::after(TIDY_EVERY).await;
            self.board.borrow_mut().expire(self.clock.now());
            for waiting in self.waiting.borrow_mut().values_mut() {
                waiting.calls.retain(|call| !call.is_closed());
            }
            self.waiting.borrow_mut().retain(|_, waiting| !waiting.calls.is_empty());
        }
    }

    async fn accept(self: Rc<Self>, listener: Async<TcpListener>, executor: Rc<LocalExecutor<'static>>) {
        loop {
            match listener.accept().await {
                // Whoever finds no room goes to the next machine.
                Ok(_) if self.connections.get() >= self.connections_most => {}
                Ok((stream, _)) => {
                    self.connections.set(self.connections.get() + 1);
                    let machine = self.clone();
                    let talk = async move {
                        machine.talk(stream).await;
                        machine.connections.set(machine.connections.get() - 1);
                    };
                    executor.spawn(talk).detach();
                }
                Err(wrong) => {
                    tracing::warn!("accept: {wrong}");
                    Timer::after(ACCEPT_AGAIN).await;
                }
            }
        }
    }

    async fn talk(&self, stream: Async<TcpStream>) {
        let _ = stream.get_ref().set_nodelay(true);
        // A connection that waits holds no buffer.
        while timeout(IDLE, something_to_read(&stream)).await.is_some() {
            let read = async {
                let buffer = self.stock.buffer_in_turn().await;
                let mut coming = Coming::command(&stream, buffer, &|| ()).await?;
                coming.hold(&stream, &self.stock, landingspread_control::MAX_DELTA_BYTES).await?;
                Ok(coming)
            };
            let (said, keep) = match timeout(CALL_WITHIN, read).await {
                Some(Ok(coming)) => {
                    let (keep, head, body) = (coming.keep, coming.head.clone(), coming.text());
                    drop(coming);
                    match self.answer(&stream, &head, &body).await {
                        Some(said) => (said, keep),
                        None => return,
                    }
                }
                None | Some(Err(http::Bad::Late | http::Bad::Ended | http::Bad::Broken)) => return,
                Some(Err(http::Bad::TooLarge)) => (calls::turned(413, "the call is too large"), false),
                Some(Err(http::Bad::Malformed)) => (calls::turned(400, "this is no HTTP/1.1 message"), false),
            };
            let head = said.head(keep);
            let written = http::write(&stream, &head, said.body.as_bytes());
            if timeout(CALL_WITHIN, written).await.is_none_or(|done| done.is_err()) || !keep {
                return;
            }
        }
    }

    /// None where the other side has left meanwhile.
    async fn changes(&self, stream: &Async<TcpStream>, query: &str) -> Option<calls::Said> {
        let poll = match Poll::from_query(query) {
            Ok(poll) => poll,
            Err(odd) => return Some(calls::turned(400, &format!("{} is missing or odd", odd.0))),
        };
        self.note(&poll);
        let until = Instant::now() + poll.wait;
        loop {
            if let Some(change) = self.board.borrow().delta_for(&poll) {
                return Some(calls::Said::json(200, change.to_json()));
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Some(calls::Said::nothing());
            }
            let (tell, told) = async_channel::bounded::<()>(1);
            self.wait_for(&poll.scope, tell);
            let news = async { timeout(left, told.recv()).await.map_or(Some(false), |_| Some(true)) };
            // It sends nothing while it waits: what is there to be read is its end.
            let leaves = async {
                something_to_read(stream).await;
                None
            };
            or(news, leaves).await?;
        }
    }

    fn wait_for(&self, scope: &str, tell: Sender<()>) {
        let mut waiting = self.waiting.borrow_mut();
        let waiting = waiting.entry(scope.into()).or_default();
        if waiting.calls.len() >= waiting.prune_at {
            waiting.calls.retain(|call| !call.is_closed());
            waiting.prune_at = (2 * waiting.calls.len()).max(16);
        }
        waiting.calls.push(tell);
    }

    /// A sidecar's word on what it has; a refusal is told once.
    fn note(&self, poll: &Poll) {
        let (now, mut board) = (self.clock.now(), self.board.borrow_mut());
        let news =
            poll.refused.as_ref().filter(|refused| !board.has_refused(&poll.scope, &poll.name, refused.0));
        if let Some((version, why)) = news {
            let (scope, name) = (&poll.scope, &poll.name);
            tracing::warn!(scope, name, %version, "control machine: refused: {why}");
        }
        board.record_poll(now, poll);
    }
}
