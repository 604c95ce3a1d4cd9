//! Runs a sidecar: it serves clients until SIGTERM, follows SIGHUP, and shuts down in order.

use super::clients::ClientSide;
use super::discovery_watch::DiscoveryWatch;
use super::listener;
use super::service::{self, Service};
use super::timeout::timeout;
use crate::configuration::{self, Configuration};
use crate::counters;
use crate::start::Start;
use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::{or, pending};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How long after SIGTERM the platform kills the process, beyond the longest time limit of a request.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// All requests have their final response this long before that.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// The last part of that time is for open requests, the first for taking new ones: clients that keep their connections are
/// answered here while another sidecar, which was stopped before this one, is not back yet.
const FINISH_TIME: Duration = Duration::from_millis(1500);
/// New connections arrive for up to 0.4 s after SIGTERM.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(600);
/// How long it may take to accept those that have connected by then.
const LAST_ACCEPT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a process that takes over waits for a list before it uses the one that it was started with.
const LIST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Serves until SIGTERM; `file` is what SIGHUP reads again.
///
/// # Errors
/// The clients' address, the peers' or the console's cannot be had.
pub fn serve(configuration: Configuration, file: Option<&Path>, start: Start) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(configuration, file, Rc::new(start), executor.clone())))
}

async fn run(
    configuration: Configuration,
    file: Option<&Path>,
    start: Rc<Start>,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Hup])?;
    let mut reload_due = false;
    let bind = async { Some(listener::open(&configuration).await) };
    let terminated = async {
        while let Some(Ok(Signal::Hup)) = signals.next().await {
            reload_due = true;
        }
        None
    };
    let Some(listener) = or(bind, terminated).await else {
        tracing::info!("SIGTERM before the listen address was free: nothing was served");
        return Ok(());
    };
    let listener = listener?;
    start.listener_bound();
    let takes_over = configuration.inherited_listener.is_some();
    let mut service = service::start(configuration, start, &executor, None)?;
    let accepting = start_accepting(&service, listener, takes_over, &executor);
    follow_changes(&mut signals, reload_due, file, &mut service.watch, &executor).await;
    shut_down(service, accepting).await;
    Ok(())
}

/// Accepts clients. A process that takes over waits for a list before: without one it would only reject clients that the other
/// process can serve.
fn start_accepting(
    service: &Service,
    listener: Async<TcpListener>,
    takes_over: bool,
    executor: &LocalExecutor<'static>,
) -> Task<()> {
    let (clients, serving) = (service.clients.clone(), service.serving.clone());
    let (list_received, servers_known) = (service.list_received.clone(), service.servers_known);
    executor.spawn(async move {
        let has_list =
            if takes_over { timeout(LIST_TIMEOUT, list_received.recv()).await.is_some() } else { true };
        serving.store(has_list || servers_known, Ordering::Release);
        let mark_serving = mark_serving_once_listed(has_list || servers_known, &list_received, &serving);
        or(clients.accept(listener), mark_serving).await;
    })
}

/// Reports the sidecar as serving once a list has arrived, and never returns.
async fn mark_serving_once_listed(
    already_serving: bool,
    list_received: &Receiver<()>,
    serving: &Arc<AtomicBool>,
) {
    if !already_serving && list_received.recv().await.is_ok() {
        serving.store(true, Ordering::Release);
    }
    pending::<()>().await;
}

/// What the main task waits for.
enum Change {
    Reload,
    /// The control machines move the watch of the endpoint list.
    ControlMove(Option<SocketAddr>),
    Terminate,
}

/// Follows SIGHUP and the control machines until SIGTERM.
async fn follow_changes(
    signals: &mut Signals,
    mut reload_due: bool,
    file: Option<&Path>,
    watch: &mut DiscoveryWatch,
    executor: &LocalExecutor<'static>,
) {
    loop {
        let next_signal = async {
            if std::mem::take(&mut reload_due) {
                return Change::Reload;
            }
            match signals.next().await {
                Some(Ok(Signal::Hup)) => Change::Reload,
                _ => Change::Terminate,
            }
        };
        let next_move = async { Change::ControlMove(watch.next_control_move().await) };
        let moves_watch = match or(next_signal, next_move).await {
            Change::Reload => reload(file, watch),
            Change::ControlMove(address) => watch.set_control_address(address),
            Change::Terminate => return,
        };
        if moves_watch {
            watch.apply_move(executor).await;
        }
    }
}

/// Reads the configuration file again, of which the address of discovery is taken over. `false`: nothing changes.
fn reload(file: Option<&Path>, watch: &mut DiscoveryWatch) -> bool {
    let discovery = match configuration::read_again(file) {
        Ok(configuration) => configuration.discovery,
        Err(error) => {
            tracing::error!("SIGHUP: configuration not reloaded, the old one stays in force: {error}");
            return false;
        }
    };
    let (Some(address), true) = (discovery, watch.is_configured()) else {
        tracing::info!(
            "SIGHUP: neither the old nor the new configuration has a discovery, nothing to reload"
        );
        return false;
    };
    tracing::info!(discovery = %address, "SIGHUP: the configuration is read again");
    watch.set_file_address(address);
    true
}

/// Ends the parts in order: the fleet is left, requests are taken for a while, and open ones finish.
async fn shut_down(service: Service, accepting: Task<()>) {
    let Service { clients, presence, fleet, serving, longest_request, .. } = service;
    tracing::info!("SIGTERM: graceful shutdown, open requests finish");
    serving.store(false, Ordering::Release);
    if let Some(fleet) = &fleet {
        fleet.leave().await;
    }
    let time_to_kill = longest_request + KILL_DELAY;
    clients.begin_shutdown(time_to_kill - FINAL_RESPONSE_MARGIN);
    let accept_time = time_to_kill.saturating_sub(FINISH_TIME).max(MIN_ACCEPT_TIME);
    if presence.is_some_and(|presence| presence.borrow_mut().another_process()) {
        // The other process has the listener too, and accepts those who come.
        stop_accepting(&clients, accepting).await;
        clients.close_after_responses();
        Timer::after(accept_time).await;
    } else {
        Timer::after(accept_time).await;
        stop_accepting(&clients, accepting).await;
    }
    clients.finish_shutdown().await;
    tracing::info!("graceful shutdown: all requests have their final response");
    counters::log_all();
}

/// Closes the listener once those who wait at it are accepted, but no later than `LAST_ACCEPT_TIMEOUT`: their number has no
/// bound.
async fn stop_accepting(clients: &ClientSide, accepting: Task<()>) {
    clients.stop_accepting();
    if timeout(LAST_ACCEPT_TIMEOUT, accepting).await.is_none() {
        tracing::warn!(
            "graceful shutdown: more clients are connecting than were accepted within {LAST_ACCEPT_TIMEOUT:?}"
        );
    }
}

/// Runs the control side of all these sidecars on this thread until SIGTERM, without clients. For tests of size: they open no
/// listener and no thread of their own.
///
/// # Errors
/// A socket of one of them cannot be had.
pub fn serve_without_clients(configurations: Vec<Configuration>) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let run_all = async {
        let mut signals = Signals::new([Signal::Term])?;
        let start = |configuration| {
            service::start(configuration, Rc::new(Start::begin()), &executor, Some(&executor))
        };
        let replicas = configurations.into_iter().map(start).collect::<io::Result<Vec<Service>>>()?;
        tracing::info!(copies = replicas.len(), "hollow sidecars are running");
        let _ = signals.next().await;
        for fleet in replicas.iter().filter_map(|replica| replica.fleet.as_ref()) {
            fleet.leave().await;
        }
        Ok(())
    };
    async_io::block_on(executor.run(run_all))
}
