//! Builds the parts of a sidecar and connects them. No request passes through this module.

use super::buffers::ResourcePool;
use super::clients::ClientSide;
use super::discovery::Discovery;
use super::discovery_watch::{DiscoveryWatch, WatchChannels};
use super::executor::Executor;
use super::owner::{self, OperatorChannels, Services};
use super::peers::Peers;
use super::upstream::{ConnectionPool, UpstreamClient};
use crate::configuration::Configuration;
use crate::console::Console;
use crate::control;
use crate::fleet;
use crate::handover::maintenance_record::MaintenanceRecord;
use crate::handover::{CHECK_INTERVAL, Presence};
use crate::start::StartupTimes;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// The upper bound on the time limit of a request that a shutdown allows for.
const MAX_SHUTDOWN_LIMIT: Duration = Duration::from_secs(3);
/// The most operators' orders that may wait for the owner.
const MAX_PENDING_ORDERS: usize = 64;

/// The running parts of a sidecar, without the client listener and the signal handling.
pub(super) struct Service {
    pub(super) clients: Rc<ClientSide>,
    pub(super) watch: DiscoveryWatch,
    /// Detects another process of this sidecar; None unless its processes share a listener.
    pub(super) presence: Option<Rc<RefCell<Presence>>>,
    pub(super) fleet: Option<fleet::FleetHandle>,
    /// Whether clients are served; reported by the console.
    pub(super) serving: Arc<AtomicBool>,
    /// Receives a message once an endpoint list has arrived.
    pub(super) list_received: Receiver<()>,
    /// Whether the configuration lists servers, so that some are known before an endpoint list arrives.
    pub(super) servers_known: bool,
    /// The longest time limit of a request class, at most `MAX_SHUTDOWN_LIMIT`.
    pub(super) longest_request: Duration,
}

/// The flag and the channels between the console and the other parts.
struct ConsoleLink {
    serving: Arc<AtomicBool>,
    operators: OperatorChannels,
    list_received: Receiver<()>,
}

/// The links of this replica to others: the peers' socket and the fleet.
struct ReplicaLinks {
    peers: Option<Rc<Peers>>,
    fleet: Option<fleet::FleetHandle>,
    fleet_link: Option<fleet::DecisionLink>,
}

/// Opens this process's files in the state folder. Returns None without an inherited listener or a usable state folder;
/// then nothing is handed over between processes.
fn open_presence(configuration: &Configuration) -> Option<Presence> {
    let folder = configuration.state_folder.as_deref();
    let folder = folder.filter(|_| configuration.inherited_listener.is_some())?;
    let presence = Presence::register(folder, &configuration.name);
    presence
        .inspect_err(|error| tracing::warn!("{}: {error}; no handover between processes", folder.display()))
        .ok()
}

/// Adjusts this process's share of the sidecar's resources whenever another process starts or ends; never returns.
async fn share_resources(
    presence: Rc<RefCell<Presence>>,
    resources: Rc<ResourcePool>,
    clients: Rc<ClientSide>,
    pool: Rc<ConnectionPool>,
) {
    let mut was_sharing = None;
    loop {
        let another = presence.borrow_mut().another_process();
        if was_sharing.replace(another) != Some(another) {
            let (processes, message) = if another {
                (2, "another process of this sidecar is running: resources are shared with it")
            } else {
                (1, "no other process of this sidecar is running: all resources are its own")
            };
            tracing::info!("{message}");
            resources.share_among(processes);
        }
        clients.shrink_to_share();
        pool.shrink_to_share();
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// Joins the configured fleet, over a socket of its own or over the peers' socket.
fn join_fleet(
    configuration: &mut Configuration,
    peers: Option<&Peers>,
    datagrams: Receiver<Vec<u8>>,
    executor: Option<&Executor>,
) -> io::Result<Option<(fleet::FleetHandle, fleet::DecisionLink)>> {
    let Some(settings) = configuration.fleet.take() else { return Ok(None) };
    let shared_socket = match peers.filter(|_| settings.uses_peer_socket) {
        Some(peers) => Some(fleet::SharedSocket { socket: peers.try_clone_socket()?, datagrams }),
        None => None,
    };
    let zones = configuration.zones.clone();
    let failover = configuration.localities.map(|timings| fleet::FailoverSettings { timings, zones });
    let (name, clock) = (&configuration.name, configuration.clock.clone());
    fleet::start(settings, name, configuration.seed, clock, shared_socket, failover, executor).map(Some)
}

/// Opens the peers' socket and joins the fleet.
fn open_peers_and_fleet(
    configuration: &mut Configuration,
    queue: &owner::EventQueue,
    executor: &Executor,
    fleet_executor: Option<&Executor>,
) -> io::Result<ReplicaLinks> {
    let (datagram_sender, datagrams) = fleet::datagram_channel();
    let datagram_sender =
        configuration.fleet.as_ref().filter(|fleet| fleet.uses_peer_socket).map(|_| datagram_sender);
    let peers = match Peers::bind(&configuration.peers, configuration.policy.ordinal, datagram_sender) {
        // The process that this one takes over from still holds the address. The sidecar works without peer messages.
        Err(error) if configuration.inherited_listener.is_some() => {
            tracing::warn!("no messages are exchanged with peers: {error}");
            None
        }
        bound => bound?,
    };
    if let Some(peers) = &peers {
        executor.spawn(peers.clone().receive(queue.clone())).detach();
    }
    let (fleet, fleet_link) = join_fleet(configuration, peers.as_deref(), datagrams, fleet_executor)?.unzip();
    Ok(ReplicaLinks { peers, fleet, fleet_link })
}

/// Starts to follow the control machines, where any are configured, and starts the watch of the endpoint list.
fn start_control(
    configuration: &Configuration,
    discovery: Option<Discovery>,
    (poll, poll_requests): (Sender<()>, Receiver<()>),
    queue: &owner::EventQueue,
    clients: &Rc<ClientSide>,
    executor: &Executor,
) -> (DiscoveryWatch, Option<control::status::ControlStatus>) {
    let (address_sender, control_addresses) = async_channel::unbounded();
    let follower =
        control::FollowTask::for_sidecar(configuration, queue.clone(), clients.clone(), address_sender);
    let status = follower.as_ref().map(|follower| follower.status.clone());
    let channels = WatchChannels { poll, poll_requests, control_addresses };
    // The version in force before the restart is restored before the first request and the first poll.
    let mut watch = DiscoveryWatch::new(discovery, configuration.discovery, channels);
    if let Some(follower) = follower {
        executor.spawn(follower.run()).detach();
    }
    watch.start(executor);
    (watch, status)
}

/// Opens the console, where its address is configured.
fn open_console(
    configuration: &Configuration,
    fleet: Option<fleet::FleetHandle>,
    control: Option<control::status::ControlStatus>,
) -> io::Result<ConsoleLink> {
    let serving = Arc::new(AtomicBool::new(false));
    let (order_sender, orders) = async_channel::bounded(MAX_PENDING_ORDERS);
    let (notify_list, list_received) = async_channel::bounded(1);
    let record = configuration.state_folder.as_ref().filter(|_| configuration.console.is_some());
    let record = record.map(|folder| MaintenanceRecord::open(folder, &configuration.name));
    let recorded = record.as_ref().map(|record| record.entries.clone()).unwrap_or_default();
    if let Some(address) = configuration.console {
        let serving = serving.clone();
        Console { serving, orders: order_sender, record, fleet, control }.open(address)?;
    }
    let operators = OperatorChannels { orders, recorded, list_received: notify_list };
    Ok(ConsoleLink { serving, operators, list_received })
}

/// Sets a statistics file in the state folder for a process that takes over, if the configuration names none.
fn choose_statistics_file(configuration: &mut Configuration) {
    let takes_over = configuration.inherited_listener.is_some();
    let needs_default = takes_over && configuration.statistics_file.is_none();
    if let Some(folder) = configuration.state_folder.as_ref().filter(|_| needs_default) {
        let file = format!("{}.learnt", crate::storage::file_name_of(&configuration.name));
        configuration.statistics_file = Some(folder.join(file));
    }
}

/// Starts all parts except accepting clients. The fleet runs on a thread of its own, or on `fleet_executor` where one
/// is given.
pub(super) fn start(
    mut configuration: Configuration,
    start: Rc<StartupTimes>,
    executor: &Rc<Executor>,
    fleet_executor: Option<&Executor>,
) -> io::Result<Service> {
    let resources = ResourcePool::new(&configuration);
    let pool = Rc::new(ConnectionPool::new(&configuration, resources.clone()));
    let upstream = Rc::new(UpstreamClient::new(&configuration, pool.clone(), resources.clone()));
    let (queue, events) = owner::queue();
    let limits = configuration.classes.iter().map(|class| class.time_limit);
    let longest_request = limits.max().unwrap_or_default().min(MAX_SHUTDOWN_LIMIT);
    let (poll, poll_requests) = async_channel::bounded(1);
    let discovery = Discovery::new(&configuration, resources.clone(), queue.clone(), start.clone());
    let clients = Rc::new(ClientSide::new(
        &configuration,
        resources.clone(),
        queue.clone(),
        start.clone(),
        pool.clone(),
        executor.clone(),
    ));
    let presence = open_presence(&configuration).map(|presence| Rc::new(RefCell::new(presence)));
    if let Some(presence) = presence.clone() {
        executor.spawn(share_resources(presence, resources, clients.clone(), pool.clone())).detach();
    }
    choose_statistics_file(&mut configuration);
    if !configuration.policy.polls_discovery {
        // The decision engine asks for no polls under this setting, so the watch starts at once.
        let _ = poll.try_send(());
    }
    let channels = (poll.clone(), poll_requests);
    let (watch, control) = start_control(&configuration, discovery, channels, &queue, &clients, executor);
    executor.spawn(pool.clone().reap()).detach();
    let ReplicaLinks { peers, fleet, fleet_link } =
        open_peers_and_fleet(&mut configuration, &queue, executor, fleet_executor)?;
    let ConsoleLink { serving, operators, list_received } =
        open_console(&configuration, fleet.clone(), control)?;
    let servers_known = !configuration.initial_catalog.entries.is_empty();
    let services = Services { upstream, pool, peers, fleet: fleet_link, poll_discovery: poll, start };
    let owner = owner::run(configuration, services, operators, executor.clone(), queue, events);
    executor.spawn(owner).detach();
    Ok(Service { clients, watch, presence, fleet, serving, list_received, servers_known, longest_request })
}
