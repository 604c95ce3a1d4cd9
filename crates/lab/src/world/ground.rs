//! The state of the simulation: servers, replicas, requests, the network and the event queue. It never calls a load
//! balancer: only the loop in `world/mod.rs` does, while the state is not borrowed, so that a load balancer may call its
//! host during the call.

use super::agenda::EventQueue;
use super::dice::{RandomStreams, exponential};
use super::happening::{AttemptKey, JobKey, ReplicaProcess, SimEvent};
use super::source::ListSource;
use super::window::SequenceMap;
use crate::cold::{ColdPeaks, OfferedWork};
use crate::plan::{Fault, RetrySafety, Scenario, to_duration};
use crate::referee::{FinalOutcome, Location, PriorAttempt, Referee, RequestFacts};
use crate::tally::Statistics;
use landingspread_decisions::host::{Id, ListedServer, Outcome};
use rand::Rng;
use slab::Slab;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Bound on open requests; beyond it clients are refused before a replica sees them.
pub const MAX_OPEN_REQUESTS: usize = 400_000;

/// The status of a server's process and of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStatus {
    Up,
    /// The process has ended: connections are refused.
    Down,
    /// The machine neither answers nor refuses connections.
    Unreachable,
}

/// A server, over all its processes.
pub struct Server {
    pub id: Id,
    pub tier: usize,
    /// Index within the tier.
    pub index_in_tier: usize,
    pub zone: u32,
    pub cell: u32,
    pub speed: f64,
    pub status: ServerStatus,
    pub generation: u32,
    /// Start of the warm-up of the current process; `None` for a server that was warm from the start of the run.
    pub warming_since: Option<Duration>,
    pub started_at: Option<Duration>,
    pub draining: bool,
    pub removed: bool,
    pub queue: VecDeque<JobKey>,
    pub running: usize,
    pub jobs: usize,
    pub congested: bool,
    /// Work that arrived while the server was cold.
    pub offered_work: OfferedWork,
    /// Time and figures (queued, in flight) of the last load report that was computed.
    pub last_report: (Duration, f64, f64),
    /// The replica through which the server calls the next tier; `None` in the last tier.
    pub replica: Option<usize>,
}

impl Server {
    /// The location of the server, whose number is `number`.
    pub fn location(&self, number: usize) -> Location {
        Location { server: number, zone: self.zone, cell: self.cell }
    }
}

/// The work of one attempt at a server.
pub struct Job {
    pub serial: u64,
    pub server: usize,
    pub attempt_key: AttemptKey,
    pub class: usize,
    pub tenant: usize,
    pub operation: u64,
    /// Deadline of the attempt, if deadlines are propagated; otherwise the maximum.
    pub attempt_deadline: Duration,
    pub work: f64,
    pub calls_left: u32,
    pub cancelled: bool,
    pub started: bool,
    /// Whether the job fails instead of being answered.
    pub fails: bool,
    pub return_delay: Duration,
}

/// One attempt of a request, as its replica knows it.
pub struct Attempt {
    pub server: usize,
    pub sent_at: Duration,
    pub attempt_deadline: Duration,
    pub delay: Duration,
    pub new_connection: bool,
    /// Whether the server failed because its own call to the next tier failed.
    pub failed_downstream: bool,
    pub outcome: Option<Outcome>,
    pub job: Option<JobKey>,
}

/// A request at a replica, from a client or from a job of the tier above.
pub struct Request {
    pub id: Id,
    pub process: ReplicaProcess,
    pub class: usize,
    pub tenant: usize,
    pub arrived_at: Duration,
    /// Arrival at the first tier of the request that this one belongs to.
    pub entered_at: Duration,
    pub deadline: Duration,
    pub operation: u64,
    pub final_outcome: Option<FinalOutcome>,
    pub attempts: Vec<Attempt>,
    /// Count of the jobs of this request that servers have not removed yet.
    pub jobs: u32,
    /// The job of the tier above that waits for this request.
    pub parent: Option<JobKey>,
}

/// A client's operation, sent as one request or, with retries, as several.
pub struct Operation {
    pub class: usize,
    pub tenant: usize,
    pub zone: u32,
    pub work_multiple: f64,
    pub retries: u32,
    pub over_quota: bool,
    /// Executions that were not deduplicated: location, time and number of the request.
    pub executions: Vec<(Location, Duration, u64)>,
    /// Count of requests that still refer to the operation, plus one for a scheduled retry.
    pub references: u32,
}

/// Idle connections of a replica to one process of a server.
#[derive(Clone, Copy, Default)]
pub struct IdleConnections {
    pub count: u32,
    pub last_used: Duration,
    pub generation: u32,
}

/// One replica of the sidecar, over all its processes.
pub struct Replica {
    pub tier: usize,
    pub zone: u32,
    pub ordinal: u32,
    pub generation: u32,
    pub up: bool,
    /// The server that calls through this replica; `None` in the first tier.
    pub attached_server: Option<usize>,
    /// Whether the last list showed a server as ready, by the number of the server.
    pub listed_ready: Vec<bool>,
    /// Since when the replica knows that a server drains or is removed.
    pub unavailable_since: BTreeMap<usize, Duration>,
    pub watching: bool,
    /// Delivery time of the latest list; later lists are not delivered before it.
    pub last_list_at: Duration,
    pub last_list: Rc<[ListedServer]>,
    pub idle_connections: BTreeMap<usize, IdleConnections>,
}

/// The whole state of one run.
pub struct SimulationState {
    pub plan: Rc<Scenario>,
    pub now: Duration,
    pub event_queue: EventQueue,
    pub rng: RandomStreams,
    pub servers: Vec<Server>,
    pub servers_by_tier: Vec<Vec<usize>>,
    pub replicas: Vec<Replica>,
    pub requests: SequenceMap<Request>,
    pub operations: SequenceMap<Operation>,
    pub jobs: Slab<Job>,
    pub last_job_serial: u64,
    pub list_source: ListSource,
    /// Indices in the plan of the faults that act now.
    pub active_faults: Vec<usize>,
    pub referee: Referee,
    pub statistics: Statistics,
    /// The highest load on cold servers, over all their processes.
    pub cold_peaks: ColdPeaks,
    /// By tenant: the current second and the operations counted in it.
    pub quota_usage: Vec<(u64, f64)>,
    pub events: u64,
}

impl SimulationState {
    /// Creates the servers and replicas of a plan at time zero.
    pub fn new(plan: Rc<Scenario>, seed: u64) -> SimulationState {
        let settle = to_duration(plan.settle);
        let mut state = SimulationState {
            now: Duration::ZERO,
            event_queue: EventQueue::default(),
            rng: RandomStreams::new(seed),
            servers: Vec::new(),
            servers_by_tier: vec![Vec::new(); plan.tiers.len()],
            replicas: Vec::new(),
            requests: SequenceMap::default(),
            operations: SequenceMap::default(),
            jobs: Slab::new(),
            last_job_serial: 0,
            list_source: ListSource::default(),
            active_faults: Vec::new(),
            referee: Referee::new(&plan.rules),
            statistics: Statistics::new(settle, plan.tenants.len(), plan.tiers.len()),
            cold_peaks: ColdPeaks::default(),
            quota_usage: vec![(0, 0.0); plan.tenants.len()],
            events: 0,
            plan,
        };
        state.populate();
        state
    }

    fn populate(&mut self) {
        let plan = self.plan.clone();
        for tier in 0..plan.tiers.len() {
            for _ in 0..plan.tiers[tier].servers {
                self.add_server(tier);
            }
        }
        for ordinal in 0..plan.front.replicas {
            let zone = (ordinal % plan.zones.len()) as u32;
            self.add_replica(0, zone, ordinal as u32, None);
        }
        for server in 0..self.servers.len() {
            self.add_attached_replica(server);
        }
        for server in 0..self.servers.len() {
            self.list_source.update(&self.servers[server], server);
        }
    }

    /// Adds a warm server to a tier and returns its number.
    pub fn add_server(&mut self, tier: usize) -> usize {
        let (number, location) = (self.servers.len(), self.servers_by_tier[tier].len());
        let plan = &self.plan.tiers[tier];
        self.servers.push(Server {
            id: format!("s{number}").into(),
            tier,
            index_in_tier: location,
            zone: (location % self.plan.zones.len()) as u32,
            cell: (location / self.plan.zones.len()) as u32 % plan.cells,
            speed: plan.speeds[location % plan.speeds.len()],
            status: ServerStatus::Up,
            generation: 0,
            warming_since: None,
            started_at: None,
            draining: false,
            removed: false,
            queue: VecDeque::new(),
            running: 0,
            jobs: 0,
            congested: false,
            offered_work: OfferedWork::default(),
            last_report: (Duration::ZERO, 0.0, 0.0),
            replica: None,
        });
        self.servers_by_tier[tier].push(number);
        number
    }

    fn add_replica(&mut self, tier: usize, zone: u32, ordinal: u32, attached_server: Option<usize>) -> usize {
        self.replicas.push(Replica {
            tier,
            zone,
            ordinal,
            generation: 0,
            up: true,
            attached_server,
            listed_ready: Vec::new(),
            unavailable_since: BTreeMap::new(),
            watching: true,
            last_list_at: Duration::ZERO,
            last_list: Rc::new([]),
            idle_connections: BTreeMap::new(),
        });
        self.replicas.len() - 1
    }

    /// Adds the replica through which a server calls the next tier, if there is one.
    pub fn add_attached_replica(&mut self, server: usize) -> Option<usize> {
        let Server { tier, zone, index_in_tier: location, .. } = self.servers[server];
        if tier + 1 >= self.plan.tiers.len() {
            return None;
        }
        let replica = self.add_replica(tier + 1, zone, location as u32, Some(server));
        self.servers[server].replica = Some(replica);
        Some(replica)
    }

    /// Schedules an event at a point of virtual time.
    pub fn schedule(&mut self, at: Duration, event: SimEvent) {
        self.event_queue.schedule(at, event);
    }

    /// Schedules an event after a delay.
    pub fn schedule_in(&mut self, delay: Duration, event: SimEvent) {
        self.event_queue.schedule(self.now + delay, event);
    }

    /// The number in the id of a server or request.
    pub fn id_number(id: &Id) -> Option<u64> {
        id.get(1..)?.parse().ok()
    }

    /// The number of the server with this id, if it exists.
    pub fn server_index(&self, id: &Id) -> Option<usize> {
        SimulationState::id_number(id)
            .map(|number| number as usize)
            .filter(|number| *number < self.servers.len())
    }

    /// Whether this process of a replica still runs.
    pub fn is_running(&self, process: ReplicaProcess) -> bool {
        let origin_zone = &self.replicas[process.replica];
        origin_zone.up && origin_zone.generation == process.generation
    }

    /// The current process of a replica, or the next one while it is down.
    pub fn current_process(&self, replica: usize) -> ReplicaProcess {
        ReplicaProcess { replica, generation: self.replicas[replica].generation }
    }

    /// The faults that act now.
    pub fn faults(&self) -> impl Iterator<Item = &Fault> {
        self.active_faults.iter().map(|number| &self.plan.faults[*number])
    }

    /// Whether a fault names this server.
    pub fn affects(&self, fault: &Fault, server: &Server) -> bool {
        fault.tier == server.tier && fault.servers.contains(&server.index_in_tier)
    }

    /// The index of a zone by its name.
    pub fn zone_index(&self, name: Option<&String>) -> Option<u32> {
        self.plan.zones.iter().position(|zone| Some(zone) == name).map(|at| at as u32)
    }

    /// Whether a fault cuts the network between two zones.
    pub fn zones_are_cut(&self, first: u32, second: u32) -> bool {
        use crate::plan::FaultKind;
        first != second
            && self.faults().any(|fault| {
                let zone = self.zone_index(fault.zone.as_ref());
                fault.kind == FaultKind::ZoneCut && (zone == Some(first) || zone == Some(second))
            })
    }

    /// Draws the one-way delay of a message between two zones.
    pub fn sample_delay(&mut self, first: u32, second: u32) -> Duration {
        let network = &self.plan.network;
        let base_delay = if first == second { network.same_zone_delay } else { network.cross_zone_delay };
        to_duration(base_delay * (1.0 + 0.2 * exponential(&mut self.rng.network)))
    }

    /// Sends a message between replicas over the network, which may lose or duplicate it.
    pub fn send_between_replicas(&mut self, from: usize, to: usize, delivery: &dyn Fn() -> SimEvent) {
        use crate::plan::FaultKind;
        let (origin_zone, target_zone) = (self.replicas[from].zone, self.replicas[to].zone);
        let isolated = |fault: &Fault, replica: usize| {
            self.replicas[replica].attached_server.is_none()
                && (self.replicas[replica].ordinal as usize) < self.plan.affected_replicas(fault)
        };
        let partitioned = self.faults().any(|fault| {
            fault.kind == FaultKind::ReplicasPartitioned && isolated(fault, from) != isolated(fault, to)
        });
        if partitioned || self.zones_are_cut(origin_zone, target_zone) {
            return;
        }
        let delivery_probability: f64 = self
            .faults()
            .filter(|fault| fault.kind == FaultKind::PeerMessagesLost)
            .map(|fault| 1.0 - fault.share.unwrap_or(0.0))
            .product();
        let network = &self.plan.network;
        let (base_delay, duplication_probability) = (
            if origin_zone == target_zone { network.same_zone_delay } else { network.cross_zone_delay },
            network.peer_message_duplication,
        );
        let rng = &mut self.rng.peer_messages;
        if rng.random::<f64>() >= delivery_probability * (1.0 - network.peer_message_loss) {
            return;
        }
        for _ in 0..if rng.random::<f64>() < duplication_probability { 2 } else { 1 } {
            let delay = to_duration(base_delay * (1.0 + 0.2 * exponential(rng)));
            self.event_queue.schedule(self.now + delay, delivery());
        }
    }

    /// The retry safety of a request class.
    pub fn retry_safety(&self, class: usize) -> RetrySafety {
        self.plan.request_classes[class].retry_safety
    }

    /// Calls the referee with the facts of a request.
    pub fn check_rules(&mut self, number: u64, check: impl FnOnce(&mut Referee, &RequestFacts)) {
        let Some(request) = self.requests.get(number) else { return };
        let location = |attempt: &Attempt| self.servers[attempt.server].location(attempt.server);
        let prior_attempt = |attempt: &Attempt| PriorAttempt {
            location: location(attempt),
            sent_at: attempt.sent_at,
            outcome: attempt.outcome,
        };
        let prior_attempts: Vec<PriorAttempt> = request.attempts.iter().map(prior_attempt).collect();
        let class = &self.plan.request_classes[request.class];
        let facts = RequestFacts {
            request: number,
            replica: request.process.replica,
            retry_safety: class.retry_safety,
            dedup_window: to_duration(class.dedup_window),
            deadline: request.deadline,
            final_outcome: request.final_outcome,
            prior_attempts: &prior_attempts,
        };
        check(&mut self.referee, &facts);
    }

    /// The current entries of the servers of a tier, without faults of the list source.
    pub fn listed_servers(&self, tier: usize) -> Rc<[ListedServer]> {
        self.servers_by_tier[tier].iter().filter_map(|server| self.list_source.entry(*server)).collect()
    }

    /// Requests at each server divided by its cores.
    pub fn server_loads(&self) -> Vec<f64> {
        let load = |server: &Server| server.jobs as f64 / self.plan.tiers[server.tier].cores as f64;
        self.servers.iter().map(load).collect()
    }
}
