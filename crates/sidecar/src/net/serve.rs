//! Runs a sidecar: serves clients until SIGTERM, reloads the configuration on SIGHUP, and shuts down gracefully.

use super::clients::ClientSide;
use super::discovery_watch::DiscoveryWatch;
use super::executor::Executor;
use super::listener;
use super::service::{self, Service};
use super::timeout::timeout;
use crate::configuration::{self, Configuration};
use crate::counters;
use crate::start::StartupTimes;
use async_channel::Receiver;
use async_executor::Task;
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

/// The platform kills the process at the longest time limit of a request plus this delay, counted from SIGTERM.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// All requests have their final response this long before the platform kills the process.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// The last part of the time from SIGTERM to the kill is reserved for finishing open requests. Until then new requests
/// are accepted: clients that keep their connections are served here while another sidecar, which was stopped before
/// this one, has not come back yet.
const FINISH_TIME: Duration = Duration::from_millis(1500);
/// New requests are accepted for at least this long after SIGTERM, as new connections arrive for up to 0.4 s after it.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(600);
/// The time limit for accepting the connections that are queued at the listener before it is closed.
const LAST_ACCEPT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a process that takes over waits for an endpoint list before it uses the servers of its configuration.
const LIST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Serves clients until SIGTERM. SIGHUP reads `file` again.
///
/// # Errors
/// The listen address, the peers' address or the console's address is not available.
pub fn serve(configuration: Configuration, file: Option<&Path>, start: StartupTimes) -> io::Result<()> {
    let executor = Rc::new(Executor::new());
    executor.block_on(run(configuration, file, Rc::new(start), executor.clone()))
}

async fn run(
    configuration: Configuration,
    file: Option<&Path>,
    start: Rc<StartupTimes>,
    executor: Rc<Executor>,
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

/// Accepts clients. A process that takes over first waits for an endpoint list: without one it would reject clients
/// that the other process can still serve.
fn start_accepting(
    service: &Service,
    listener: Async<TcpListener>,
    takes_over: bool,
    executor: &Executor,
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

/// Reports the sidecar as serving once an endpoint list has arrived; never returns.
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

/// An event that the main task handles.
enum Change {
    Reload,
    /// The control machines give another address of discovery, or none.
    ControlAddress(Option<SocketAddr>),
    Terminate,
}

/// Handles SIGHUP and the addresses that the control machines give, until SIGTERM.
async fn follow_changes(
    signals: &mut Signals,
    mut reload_due: bool,
    file: Option<&Path>,
    watch: &mut DiscoveryWatch,
    executor: &Executor,
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
        let next_address = async { Change::ControlAddress(watch.next_control_address().await) };
        let address_changed = match or(next_signal, next_address).await {
            Change::Reload => reload(file, watch),
            Change::ControlAddress(address) => watch.set_control_address(address),
            Change::Terminate => return,
        };
        if address_changed {
            watch.apply_address(executor).await;
        }
    }
}

/// Reads the configuration file again and takes over its discovery address, the only setting that a reload changes.
/// Returns false if the file cannot be read, or if there is no discovery before or after the reload.
fn reload(file: Option<&Path>, watch: &mut DiscoveryWatch) -> bool {
    let discovery = match configuration::read_again(file) {
        Ok(configuration) => configuration.discovery,
        Err(error) => {
            tracing::error!("SIGHUP: configuration not reloaded, the old one stays in force: {error}");
            return false;
        }
    };
    let (Some(address), true) = (discovery, watch.is_configured()) else {
        tracing::info!("SIGHUP: the old or the new configuration has no discovery, nothing to reload");
        return false;
    };
    tracing::info!(discovery = %address, "SIGHUP: the configuration is read again");
    watch.set_file_address(address);
    true
}

/// Shuts down in order: leaves the fleet, accepts requests for a limited time, and lets open requests finish.
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
        // The other process shares the listener and accepts new clients.
        stop_accepting(&clients, accepting).await;
        clients.close_after_responses();
        Timer::after(accept_time).await;
    } else {
        Timer::after(accept_time).await;
        stop_accepting(&clients, accepting).await;
    }
    clients.finish_shutdown().await;
    tracing::info!("graceful shutdown: all requests have their final response");
    counters::log_nonzero();
}

/// Closes the listener once the connections queued at it are accepted, but no later than `LAST_ACCEPT_TIMEOUT`, since
/// their number has no bound.
async fn stop_accepting(clients: &ClientSide, accepting: Task<()>) {
    clients.stop_accepting();
    if timeout(LAST_ACCEPT_TIMEOUT, accepting).await.is_none() {
        tracing::warn!(
            "graceful shutdown: more clients are connecting than were accepted within {LAST_ACCEPT_TIMEOUT:?}"
        );
    }
}

/// Runs the control side of several sidecars on this thread until SIGTERM, without clients: no sidecar opens a listener
/// or starts a thread. For scale tests.
///
/// # Errors
/// A socket of one of the sidecars cannot be opened.
pub fn serve_without_clients(configurations: Vec<Configuration>) -> io::Result<()> {
    let executor = Rc::new(Executor::new());
    let run_all = async {
        let mut signals = Signals::new([Signal::Term])?;
        let start = |configuration| {
            service::start(configuration, Rc::new(StartupTimes::begin()), &executor, Some(&executor))
        };
        let replicas = configurations.into_iter().map(start).collect::<io::Result<Vec<Service>>>()?;
        tracing::info!(copies = replicas.len(), "sidecars without clients are running");
        let _ = signals.next().await;
        for fleet in replicas.iter().filter_map(|replica| replica.fleet.as_ref()) {
            fleet.leave().await;
        }
        Ok(())
    };
    executor.block_on(run_all)
}
