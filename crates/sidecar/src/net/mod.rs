//! Starts the parts of the sidecar and joins them, and ends them in order after SIGTERM. It owns the one
//! thread's executor and the listener's address; it must never touch a command or an endpoint itself.

mod attempts;
pub mod buffers;
pub mod callers;
pub mod discovery;
pub mod endpoints;
pub mod http;

mod leaving;
mod legacy_fingerprint;
mod local_failure;
pub mod owner;
mod peers;
mod pool;
mod read_ahead;
mod request;
mod settings_fingerprint;
mod statistics_file;
pub mod timeout;

use crate::configuration::{self, Configuration};
use crate::console::Console;
use crate::control;
use crate::counters;
use crate::fleet;
use crate::handover::maintenance_record::MaintenanceRecord;
use crate::handover::{self, CHECK_INTERVAL, Presence};
use crate::start::Start;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use buffers::Stock;
use callers::Callers;
use discovery::Discovery;
use endpoints::Endpoints;
use futures_lite::StreamExt;
use futures_lite::future::or;
use local_failure::{Cause, Repeated, cause};
use owner::{Operators, Outside};
use peers::Peers;
use pool::Pool;
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long after SIGTERM the platform lets commands finish, but for their longest time limit, and how much of
/// that limit it goes by at most.
const KILLED_AFTER: Duration = Duration::from_millis(700);
const LIMIT_MOST: Duration = Duration::from_secs(3);
/// What is taken has its final word this long before that.
const IN_HAND: Duration = Duration::from_millis(150);
/// The last part of it is for what is open, the first for taking: callers who keep their connections are
/// answered here while another sidecar, stopped before this one, is not back yet.
const FINISHING: Duration = Duration::from_millis(1500);
/// How long it takes at most to take those who have connected by then.
const LAST_TAKEN: Duration = Duration::from_millis(200);
/// New connections go on coming for up to 0.4 s.
const GO_ON_TAKING: Duration = Duration::from_millis(600);

/// The callers' address is tried for so long, as an earlier process may have it still, and so often.
const BIND_WITHIN: Duration = Duration::from_secs(5);
const BIND_AGAIN: Duration = Duration::from_millis(50);

/// A process that takes over waits so long for a list before it goes by the one it was given.
const LIST_WITHIN: Duration = Duration::from_millis(1500);

/// Serves until SIGTERM; `file` is what SIGHUP reads again.
pub fn serve(launch: Configuration, file: Option<&Path>, start: Start) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(launch, file, Rc::new(start), executor.clone())))
}

/// The task that follows a discovery, where there is one.
fn follow(
    discovery: Option<&Discovery>,
    executor: &LocalExecutor<'static>,
    asked: &Receiver<()>,
) -> Option<Task<()>> {
    let discovery = discovery?.clone();
    Some(executor.spawn(discovery.follow(asked.clone())))
}

/// The files of the state folder, where there is one that can be used: without it nothing is handed over.
fn presence(launch: &Configuration) -> Option<Presence> {
    let folder = launch.state_folder.as_deref().filter(|_| launch.inherited_listener.is_some())?;
    let entered = Presence::enter(folder, &launch.name);
    entered.inspect_err(|wrong| tracing::warn!("{}: {wrong}; nothing is handed over", folder.display())).ok()
}

/// Takes part in the fleet that the configuration names, by a socket of its own or by the peers'.
fn join_fleet(
    launch: &mut Configuration,
    peers: Option<&Peers>,
    datagrams: Receiver<Vec<u8>>,
    on: Option<&LocalExecutor<'static>>,
) -> io::Result<Option<(fleet::Door, fleet::Link)>> {
    let Some(told) = launch.fleet.take() else { return Ok(None) };
    let passed = match peers.filter(|_| told.uses_peer_socket) {
        Some(peers) => Some(fleet::Passed { socket: peers.sending()?, datagrams }),
        None => None,
    };
    let localities = launch.localities.map(|paces| (paces, launch.zones.clone()));
    fleet::open(told, &launch.name, launch.seed, launch.clock.clone(), passed, localities, on).map(Some)
}

/// Takes this process's part of what the sidecar has, as long as it runs.
async fn share(presence: Rc<RefCell<Presence>>, stock: Rc<Stock>, callers: Rc<Callers>, pool: Rc<Pool>) {
    let mut shared = None;
    loop {
        let another = presence.borrow_mut().another_process();
        if shared.replace(another) != Some(another) {
            tracing::info!("{}", if another { "sharing with another process" } else { "the only process" });
            stock.take_part(if another { 2 } else { 1 });
        }
        callers.make_room();
        pool.make_room();
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// Lets go of the listener once those who wait at it are taken. Those in no time are not: their number has no bound.
async fn stop_taking(callers: &Callers, accepting: Task<()>) {
    callers.take_no_more();
    if timeout::timeout(LAST_TAKEN, accepting).await.is_none() {
        tracing::warn!("SIGTERM: more callers wait than could be taken within {LAST_TAKEN:?}");
    }
}

/// The listener for callers: inherited from whoever holds it for all processes, or this one's own.
async fn listener(launch: &Configuration) -> io::Result<Async<TcpListener>> {
    match handover::inherited_listener(launch.inherited_listener, launch.listen) {
        Some(listener) => Async::new(listener),
        None => bind(launch.listen).await,
    }
}

/// An earlier process may not have ended yet, and what this machine lacks may be there in a moment: an address that
/// cannot be had for longer ends the start.
async fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let begun = Instant::now();
    let failures = Repeated::default();
    loop {
        let wrong = match Async::<TcpListener>::bind(address) {
            Ok(listener) => return Ok(listener),
            Err(wrong) => wrong,
        };
        let may_pass = wrong.kind() == io::ErrorKind::AddrInUse || cause(&wrong) != Cause::Elsewhere;
        if !may_pass || begun.elapsed() >= BIND_WITHIN {
            return Err(io::Error::new(wrong.kind(), format!("{address}: {wrong}")));
        }
        failures.add("listen", &wrong);
        Timer::after(BIND_AGAIN).await;
    }
}

/// All of a sidecar but its callers' listener and its signals.
struct Inside {
    callers: Rc<Callers>,
    discovery: Option<Discovery>,
    following: Option<Task<()>>,
    /// Where discovery is by the file, and by the control machines; where they move it.
    in_file: Option<SocketAddr>,
    told_by_control: Option<SocketAddr>,
    moves: Receiver<Option<SocketAddr>>,
    ask: Sender<()>,
    asked: Receiver<()>,
    presence: Option<Rc<RefCell<Presence>>>,
    door: Option<fleet::Door>,
    serving: Arc<AtomicBool>,
    /// Told once a list has come.
    list: Receiver<()>,
    some_known: bool,
    /// How long commands may take to their end.
    longest: Duration,
}

/// Starts all that a sidecar does but for its callers. The fleet's part has a thread of its own, or is a task where the
/// executor is given.
fn open(
    mut launch: Configuration,
    start: Rc<Start>,
    executor: &Rc<LocalExecutor<'static>>,
    fleet_on: Option<&LocalExecutor<'static>>,
) -> io::Result<Inside> {
    let takes_over = launch.inherited_listener.is_some();
    let stock = Stock::new(&launch);
    let pool = Rc::new(Pool::new(&launch, stock.clone()));
    let endpoints = Rc::new(Endpoints::new(&launch, pool.clone(), stock.clone()));
    let (queue, words) = owner::queue();
    let longest = launch.classes.iter().map(|verb| verb.time_limit).max().unwrap_or_default().min(LIMIT_MOST);
    let (ask, asked) = async_channel::bounded(1);
    let mut discovery = Discovery::new(&launch, stock.clone(), queue.clone(), start.clone());
    let callers = Rc::new(Callers::new(
        &launch,
        stock.clone(),
        queue.clone(),
        start.clone(),
        pool.clone(),
        executor.clone(),
    ));
    let presence = presence(&launch).map(|presence| Rc::new(RefCell::new(presence)));
    if let Some(presence) = presence.clone() {
        executor.spawn(share(presence, stock, callers.clone(), pool.clone())).detach();
    }
    if let Some(folder) =
        launch.state_folder.as_ref().filter(|_| takes_over && launch.statistics_file.is_none())
    {
        launch.statistics_file =
            Some(folder.join(format!("{}.learnt", crate::storage::file_name_of(&launch.name))));
    }
    if !launch.policy.polls_discovery {
        // Where changes come unprompted, the watch is there from the start.
        let _ = ask.try_send(());
    }
    let (move_discovery, moves) = async_channel::unbounded();
    let followed = control::Followed::of(&launch, queue.clone(), callers.clone(), move_discovery);
    let controlled = followed.as_ref().map(|followed| followed.shared.clone());
    // What was in force before the restart is so before the first command and the first watch.
    let (in_file, told_by_control) = (launch.discovery, moves.try_recv().ok().flatten());
    if let (Some(address), Some(moved)) = (told_by_control, &mut discovery) {
        moved.move_to(address);
    }
    if let Some(followed) = followed {
        executor.spawn(followed.follow()).detach();
    }
    let following = follow(discovery.as_ref(), executor, &asked);
    executor.spawn(pool.clone().reap()).detach();
    let (pass, passed) = fleet::passing();
    let pass = launch.fleet.as_ref().filter(|fleet| fleet.uses_peer_socket).map(|_| pass);
    let peers = match Peers::bind(&launch.peers, launch.policy.ordinal, pass) {
        // The process that this one takes over from has the address still; nothing that peers say is needed.
        Err(wrong) if takes_over => {
            tracing::warn!("peers are neither told nor heard: {wrong}");
            None
        }
        bound => bound?,
    };
    if let Some(peers) = &peers {
        executor.spawn(peers.clone().hear(queue.clone())).detach();
    }
    let (door, link) = join_fleet(&mut launch, peers.as_deref(), passed, fleet_on)?.unzip();
    let serving = Arc::new(AtomicBool::new(false));
    let (orders, ordered) = async_channel::bounded(64);
    let (listed, list) = async_channel::bounded(1);
    let record = launch.state_folder.as_ref().filter(|_| launch.console.is_some());
    let record = record.map(|folder| MaintenanceRecord::open(folder, &launch.name));
    let recorded = record.as_ref().map(|record| record.entries.clone()).unwrap_or_default();
    if let Some(at) = launch.console {
        let (serving, fleet) = (serving.clone(), door.clone());
        Console { serving, orders, record, fleet, control: controlled }.open(at)?;
    }
    let some_known = !launch.initial_catalog.entries.is_empty();
    let outside = Outside { endpoints, pool, peers, fleet: link, ask: ask.clone(), start };
    let operators = Operators { orders: ordered, recorded, listed };
    executor.spawn(owner::own(launch, outside, operators, executor.clone(), queue, words)).detach();
    Ok(Inside {
        callers,
        discovery,
        following,
        in_file,
        told_by_control,
        moves,
        ask,
        asked,
        presence,
        door,
        serving,
        list,
        some_known,
        longest,
    })
}

async fn run(
    launch: Configuration,
    file: Option<&Path>,
    start: Rc<Start>,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Hup])?;
    let mut reload_due = false;
    let bound = async { Some(listener(&launch).await) };
    let ends = async {
        while let Some(Ok(Signal::Hup)) = signals.next().await {
            reload_due = true;
        }
        None
    };
    let Some(listener) = or(bound, ends).await else {
        tracing::info!("SIGTERM before the callers' address could be had");
        return Ok(());
    };
    let listener = listener?;
    start.listener_bound();
    let takes_over = launch.inherited_listener.is_some();
    let inside = open(launch, start, &executor, None)?;
    let Inside { callers, mut discovery, mut following, ask, asked, presence, .. } = inside;
    let Inside { door, serving, list, some_known, longest, moves, mut in_file, mut told_by_control, .. } =
        inside;
    let accepting = executor.spawn({
        let (callers, serving) = (callers.clone(), serving.clone());
        async move {
            // Before it has a list it would only turn callers away, whom the other process can serve.
            let told =
                if takes_over { timeout::timeout(LIST_WITHIN, list.recv()).await.is_some() } else { true };
            serving.store(told || some_known, Ordering::Release);
            let once_listed = async {
                if !told && !some_known && list.recv().await.is_ok() {
                    serving.store(true, Ordering::Release);
                }
                futures_lite::future::pending::<()>().await;
            };
            futures_lite::future::or(callers.accept(listener), once_listed).await;
        }
    });
    loop {
        let signalled = async {
            match std::mem::take(&mut reload_due) {
                true => Ok(Some(Ok(Signal::Hup))),
                false => Ok(signals.next().await),
            }
        };
        let moved = async {
            match moves.recv().await {
                Ok(address) => Err(address),
                // Configuration comes from the file alone.
                Err(_) => futures_lite::future::pending().await,
            }
        };
        match or(signalled, moved).await {
            Ok(Some(Ok(Signal::Hup))) => match configuration::read_again(file) {
                Ok(new) => {
                    let (Some(address), true) = (new.discovery, discovery.is_some()) else {
                        tracing::info!("SIGHUP: without a discovery before and now there is nothing to move");
                        continue;
                    };
                    tracing::info!(discovery = %address, "SIGHUP: the configuration is read again");
                    in_file = Some(address);
                }
                Err(fault) => {
                    tracing::error!("SIGHUP: the old configuration holds: {fault}");
                    continue;
                }
            },
            Err(address) if address == told_by_control => continue,
            Err(address) => told_by_control = address,
            Ok(_) => break,
        }
        let (Some(address), Some(moved)) = (told_by_control.or(in_file), &mut discovery) else { continue };
        if told_by_control.is_some() {
            tracing::info!(discovery = %address, "control: the list is watched there");
        }
        // Cancelled, the watch that waits lets go of its connection.
        if let Some(following) = following {
            following.cancel().await;
        }
        moved.move_to(address);
        let _ = ask.try_send(());
        following = follow(discovery.as_ref(), &executor, &asked);
    }
    tracing::info!("SIGTERM: finishing what is taken");
    serving.store(false, Ordering::Release);
    if let Some(door) = &door {
        door.leave().await;
    }
    let until_killed = longest + KILLED_AFTER;
    callers.begin_to_end(until_killed - IN_HAND);
    let taking = until_killed.saturating_sub(FINISHING).max(GO_ON_TAKING);
    if presence.is_some_and(|presence| presence.borrow_mut().another_process()) {
        // The other process has the listener too, and takes those who come.
        stop_taking(&callers, accepting).await;
        callers.part();
        Timer::after(taking).await;
    } else {
        Timer::after(taking).await;
        stop_taking(&callers, accepting).await;
    }
    callers.ended().await;
    tracing::info!("all taken requests have their answers");
    counters::log_all();
    Ok(())
}

/// Runs all of these sidecars but their callers, on this thread, until SIGTERM. For tests of size: they open no listener and
/// no thread of their own.
pub fn hollow(launches: Vec<Configuration>) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let all = async {
        let mut signals = Signals::new([Signal::Term])?;
        let open = |launch| open(launch, Rc::new(Start::begin()), &executor, Some(&executor));
        let copies = launches.into_iter().map(open).collect::<io::Result<Vec<Inside>>>()?;
        tracing::info!(copies = copies.len(), "hollow");
        let _ = signals.next().await;
        for door in copies.iter().filter_map(|copy| copy.door.as_ref()) {
            door.leave().await;
        }
        Ok(())
    };
    async_io::block_on(executor.run(all))
}
