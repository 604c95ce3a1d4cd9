//! Starts the parts of a sidecar and joins them. It touches no request itself.

use super::buffers::ResourcePool;
use super::clients::ClientSide;
use super::discovery::Discovery;
use super::discovery_watch::{DiscoveryWatch, WatchChannels};
use super::owner::{self, OperatorChannels, Services};
use super::peers::Peers;
use super::upstream::{ConnectionPool, UpstreamClient};
use crate::configuration::Configuration;
use crate::console::Console;
use crate::control;
use crate::fleet;
use crate::handover::maintenance_record::MaintenanceRecord;
use crate::handover::{CHECK_INTERVAL, Presence};
use crate::start::Start;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// At most this much of the longest time limit is waited for at a shutdown.
const MAX_SHUTDOWN_LIMIT: Duration = Duration::from_secs(3);
/// How many orders of operators wait at most.
const MAX_PENDING_ORDERS: usize = 64;

/// The parts of a sidecar, but for the clients' listener and the signals.
pub(super) struct Service {
    pub(super) clients: Rc<ClientSide>,
    pub(super) watch: DiscoveryWatch,
    /// This process among those of the sidecar, where they share a listener.
    pub(super) presence: Option<Rc<RefCell<Presence>>>,
    pub(super) fleet: Option<fleet::FleetHandle>,
    /// Whether clients are served, as the console reports it.
    pub(super) serving: Arc<AtomicBool>,
    /// Notified once an endpoint list has arrived.
    pub(super) list_received: Receiver<()>,
    /// Servers are known before any list has arrived.
    pub(super) servers_known: bool,
    /// The longest time that a request may take.
    pub(super) longest_request: Duration,
}

/// What the console and the owner are joined by.
struct ConsoleLink {
    serving: Arc<AtomicBool>,
    operators: OperatorChannels,
    list_received: Receiver<()>,
}

/// This copy's links to others.
struct ReplicaLinks {
    peers: Option<Rc<Peers>>,
    fleet: Option<fleet::FleetHandle>,
    fleet_link: Option<fleet::DecisionLink>,
}

/// The files of the state folder, where there is one that can be used: without it nothing is handed over.
fn open_presence(configuration: &Configuration) -> Option<Presence> {
    let folder = configuration.state_folder.as_deref();
    let folder = folder.filter(|_| configuration.inherited_listener.is_some())?;
    let entered = Presence::enter(folder, &configuration.name);
    entered
        .inspect_err(|error| tracing::warn!("{}: {error}; no handover between processes", folder.display()))
        .ok()
}

/// Takes this process's share of the sidecar's resources, for as long as it runs.
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

/// Joins the fleet that the configuration names, by a socket of its own or by the peers'.
fn join_fleet(
    configuration: &mut Configuration,
    peers: Option<&Peers>,
    datagrams: Receiver<Vec<u8>>,
    executor: Option<&LocalExecutor<'static>>,
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

/// Opens the peers' socket and the fleet's part.
fn open_peers_and_fleet(
    configuration: &mut Configuration,
    queue: &owner::EventQueue,
    executor: &LocalExecutor<'static>,
    fleet_executor: Option<&LocalExecutor<'static>>,
) -> io::Result<ReplicaLinks> {
    let (datagram_sender, datagrams) = fleet::datagram_channel();
    let datagram_sender =
        configuration.fleet.as_ref().filter(|fleet| fleet.uses_peer_socket).map(|_| datagram_sender);
    let peers = match Peers::bind(&configuration.peers, configuration.policy.ordinal, datagram_sender) {
        // The process that this one takes over from still has the address; nothing that peers send is needed.
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

/// Starts to follow the control machines, where the configuration names any, and prepares the watch of the endpoint list.
fn start_control(
    configuration: &Configuration,
    discovery: Option<Discovery>,
    (poll, poll_requests): (Sender<()>, Receiver<()>),
    queue: &owner::EventQueue,
    clients: &Rc<ClientSide>,
    executor: &LocalExecutor<'static>,
) -> (DiscoveryWatch, Option<control::status::ControlStatus>) {
    let (move_discovery, control_moves) = async_channel::unbounded();
    let follower =
        control::FollowTask::for_sidecar(configuration, queue.clone(), clients.clone(), move_discovery);
    let status = follower.as_ref().map(|follower| follower.status.clone());
    let channels = WatchChannels { poll, poll_requests, control_moves };
    // What was in force before the restart is so before the first request and the first poll.
    let mut watch = DiscoveryWatch::new(discovery, configuration.discovery, channels);
    if let Some(follower) = follower {
        executor.spawn(follower.run()).detach();
    }
    watch.start(executor);
    (watch, status)
}

/// Opens the console, where the configuration names its address.
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

/// The statistics file of a process that takes over, where the configuration names none.
fn choose_statistics_file(configuration: &mut Configuration) {
    let takes_over = configuration.inherited_listener.is_some();
    let needs_default = takes_over && configuration.statistics_file.is_none();
    if let Some(folder) = configuration.state_folder.as_ref().filter(|_| needs_default) {
        let file = format!("{}.learnt", crate::storage::file_name_of(&configuration.name));
        configuration.statistics_file = Some(folder.join(file));
    }
}

/// Starts everything but the serving of clients. The fleet's part has a thread of its own, or is a task where an executor is
/// given for it.
pub(super) fn start(
    mut configuration: Configuration,
    start: Rc<Start>,
    executor: &Rc<LocalExecutor<'static>>,
    fleet_executor: Option<&LocalExecutor<'static>>,
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
        // Where changes come unprompted, the watch stands from the start.
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
