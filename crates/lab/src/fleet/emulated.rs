//! Event-driven emulation of a fleet's membership in virtual time: the program's own protocol, with the plan's
//! faults on every path. The same plan and seed give the same run. Clocks, processor time and sockets are
//! emulated too: a paused replica receives the datagrams of the meantime, up to its socket's capacity, when it
//! resumes.

use super::plan::{Fault, FaultKind, FleetPlan};
use super::views::{ProcessState, ReplicaSet, ViewChecker, ViewDeadlines, ViewResults, ViewSnapshot};
use super::weather::{NetworkFaults, Node};
use landingspread_membership::{Address, Budget, FleetSize, Host, Member, MemberConfig, Membership};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// Minimum latency between replicas; up to as much again is added at random.
const MIN_LATENCY: Duration = Duration::from_micros(250);
/// Datagrams that a socket buffers for a replica that does not read.
const SOCKET_CAPACITY: u32 = 400;
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time in each period in which a starved replica runs.
const STARVED_RUN_TIME: Duration = Duration::from_millis(10);
const STARVED_PERIOD: Duration = Duration::from_millis(100);
/// Unix time at the start of a run, in milliseconds.
const START_UNIX_MS: u64 = 1_800_000_000_000;
const PORT: u16 = 7000;

/// Records what a replica's membership sends and reports.
#[derive(Default)]
struct RecordingHost {
    outgoing: Vec<(Address, Vec<u8>)>,
    died: u64,
    suspected: u64,
}

impl Host for RecordingHost {
    fn send(&mut self, to: Address, bytes: &[u8]) {
        self.outgoing.push((to, bytes.to_vec()));
    }

    fn died(&mut self, _: &Member, _: bool) {
        self.died += 1;
    }

    fn suspected(&mut self, _: &Member) {
        self.suspected += 1;
    }
}

enum Event {
    /// Timer of a replica's process, by replica and process number.
    Tick(usize, u32),
    /// Arrival of a datagram at a replica.
    Datagram(usize, Rc<[u8]>),
    FaultBegin(usize),
    FaultEnd(usize),
    ProcessStart(usize),
    Snapshot,
}

/// An event in the queue; events at the same time are handled in the order of their insertion.
struct ScheduledEvent {
    at: Duration,
    number: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.number == other.number
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// State of an emulated replica.
struct Replica {
    membership: Option<Membership<RecordingHost>>,
    /// Number of the replica's current process; ticks for an earlier one are dropped.
    process_number: u32,
    paused_until: Duration,
    starved: bool,
    /// Datagrams in the socket's buffer.
    queued_datagrams: u32,
}

/// Outcome of an emulated run.
#[derive(Clone, Debug, Default)]
pub struct EmulationResults {
    pub views: ViewResults,
    /// Datagrams that a replica sends per second, as the mean over the run.
    pub datagrams_per_s: f64,
    /// Bytes that a replica sends per second, as the mean over the run.
    pub bytes_per_s: f64,
    /// Datagrams that a replica sends in the busiest second, as the mean over the replicas.
    pub max_datagrams_per_s: f64,
    /// Bytes that a replica sends in the busiest second, as the mean over the replicas.
    pub max_bytes_per_s: f64,
    /// Suspicions raised by all replicas.
    pub suspicions: u64,
    /// Fleet size that each replica reports to its decisions at the end; `None` if its process is down.
    pub fleet_sizes: Vec<Option<FleetSize>>,
    /// Events that were handled.
    pub steps: u64,
}

/// Parameters of a run that are not part of the plan.
#[derive(Clone, Copy, Debug)]
pub struct EmulationOptions {
    /// Seed of latencies, losses and the group of each fault.
    pub seed: u64,
    /// Time within which the replicas start, in seconds.
    pub start_within: f64,
    /// Interval between snapshots, in seconds.
    pub snapshot_interval: f64,
    /// Whether a restarted process finds its clock set back to before its first start.
    pub clock_set_back: bool,
}

impl Default for EmulationOptions {
    fn default() -> EmulationOptions {
        EmulationOptions { seed: 1, start_within: 1.0, snapshot_interval: 0.1, clock_set_back: false }
    }
}

struct Emulated<'a> {
    plan: &'a FleetPlan,
    options: EmulationOptions,
    network: NetworkFaults,
    replicas: Vec<Replica>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    number: u64,
    now: Duration,
    rng: ChaCha8Rng,
    checker: ViewChecker,
    partitions: Vec<usize>,
    by_address: BTreeMap<Address, usize>,
    results: EmulationResults,
    /// Datagrams and bytes sent by all replicas up to the last rate sample, and its time in seconds.
    last_sample: (u64, u64, f64),
    total_sent: (u64, u64),
}

/// Address of the replica with this index.
pub fn address_of(replica: usize) -> Address {
    Address::new(Ipv4Addr::from(0x0a00_0001 + replica as u32), PORT)
}

/// Index of the replica with this address.
pub fn replica_of(address: Address) -> Option<usize> {
    let number = address.ip().to_bits().checked_sub(0x0a00_0001)?;
    (address.port() == PORT).then_some(number as usize)
}

fn seconds_to_duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

/// Runs a plan in virtual time.
pub fn run(plan: &FleetPlan, options: EmulationOptions) -> EmulationResults {
    let deadlines = ViewDeadlines {
        death: seconds_to_duration(plan.death_within),
        other_change: seconds_to_duration(plan.agree_within),
        partition: seconds_to_duration(plan.cut_within),
    };
    let replica = || Replica {
        membership: None,
        process_number: 0,
        paused_until: Duration::ZERO,
        starved: false,
        queued_datagrams: 0,
    };
    let mut emulated = Emulated {
        plan,
        options,
        network: NetworkFaults::new(plan, options.seed),
        replicas: (0..plan.processes).map(|_| replica()).collect(),
        events: BinaryHeap::new(),
        number: 0,
        now: Duration::ZERO,
        rng: ChaCha8Rng::seed_from_u64(options.seed),
        checker: ViewChecker::new(deadlines),
        partitions: vec![0; plan.processes],
        by_address: (0..plan.processes).map(|replica| (address_of(replica), replica)).collect(),
        results: EmulationResults::default(),
        last_sample: (0, 0, 0.0),
        total_sent: (0, 0),
    };
    emulated.schedule_initial_events();
    emulated.run()
}

impl Emulated<'_> {
    fn schedule(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.events.push(Reverse(ScheduledEvent { at, number: self.number, event }));
    }

    fn schedule_initial_events(&mut self) {
        for replica in 0..self.replicas.len() {
            let at = seconds_to_duration(self.rng.random::<f64>() * self.options.start_within);
            // The first replica is a seed of the others and starts before them.
            self.schedule(if replica == 0 { Duration::ZERO } else { at }, Event::ProcessStart(replica));
        }
        for (number, fault) in self.plan.faults.iter().enumerate() {
            self.schedule(seconds_to_duration(fault.at), Event::FaultBegin(number));
            self.schedule(seconds_to_duration(fault.at + fault.duration), Event::FaultEnd(number));
        }
        self.schedule(
            seconds_to_duration(self.options.start_within.max(self.options.snapshot_interval)),
            Event::Snapshot,
        );
    }

    fn run(mut self) -> EmulationResults {
        let end = seconds_to_duration(self.plan.seconds);
        while let Some(Reverse(ScheduledEvent { at, event, .. })) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.results.steps += 1;
            self.handle(event);
        }
        let seconds = self.plan.seconds.max(1e-3) * self.replicas.len() as f64;
        self.results.datagrams_per_s = self.total_sent.0 as f64 / seconds;
        self.results.bytes_per_s = self.total_sent.1 as f64 / seconds;
        let fleet_sizes = |replica: &Replica| replica.membership.as_ref().map(Membership::fleet_size);
        self.results.fleet_sizes = self.replicas.iter().map(fleet_sizes).collect();
        self.results.views = self.checker.finish();
        self.results
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ProcessStart(replica) => self.start_process(replica),
            Event::Tick(replica, process_number) => {
                let next_run = self.next_run_time(replica);
                if self.replicas[replica].process_number != process_number
                    || self.replicas[replica].membership.is_none()
                {
                    return;
                }
                if next_run > self.now {
                    return self.schedule(next_run, Event::Tick(replica, process_number));
                }
                self.with_membership(replica, |membership, now| membership.tick(now));
                let next = self.now + TICK_INTERVAL;
                self.schedule(next, Event::Tick(replica, process_number));
            }
            Event::Datagram(replica, bytes) => {
                let next_run = self.next_run_time(replica);
                if next_run > self.now {
                    let has_room = self.replicas[replica].queued_datagrams < SOCKET_CAPACITY;
                    self.replicas[replica].queued_datagrams += u32::from(has_room);
                    return if has_room {
                        self.schedule(next_run, Event::Datagram(replica, bytes));
                    };
                }
                self.replicas[replica].queued_datagrams =
                    self.replicas[replica].queued_datagrams.saturating_sub(1);
                self.with_membership(replica, |membership, now| membership.receive(now, &bytes));
            }
            Event::FaultBegin(fault) => self.begin_fault(fault),
            Event::FaultEnd(fault) => self.end_fault(fault),
            Event::Snapshot => self.take_snapshot(),
        }
    }

    /// Time from which the replica has processor time.
    fn next_run_time(&self, replica: usize) -> Duration {
        let Replica { paused_until, starved, .. } = &self.replicas[replica];
        if *paused_until > self.now {
            return *paused_until;
        }
        let period_position = self.now.as_micros() as u64 % STARVED_PERIOD.as_micros() as u64;
        if *starved && period_position >= STARVED_RUN_TIME.as_micros() as u64 {
            return self.now + STARVED_PERIOD - Duration::from_micros(period_position);
        }
        self.now
    }

    fn start_process(&mut self, replica: usize) {
        let target = &mut self.replicas[replica];
        if target.membership.is_some() {
            return;
        }
        target.process_number += 1;
        let process_number = target.process_number;
        let started = self.now.as_millis() as u64;
        let zones = &self.plan.zones;
        let config = MemberConfig {
            address: address_of(replica),
            name: format!("c{replica}"),
            zone: zones[replica % zones.len()].clone(),
            fleet: self.plan.name.clone(),
            incarnation: if self.options.clock_set_back && process_number > 1 {
                START_UNIX_MS - started
            } else {
                START_UNIX_MS + started
            },
            seeds: (0..3).map(|seed| address_of(seed % self.replicas.len())).collect(),
            budget: Budget::default(),
            configured_members: self.replicas.len() as f64,
        };
        let seed = self.options.seed ^ (replica as u64) << 24 ^ u64::from(process_number) << 56;
        self.replicas[replica].membership =
            Some(Membership::start(RecordingHost::default(), config, seed, self.now));
        self.schedule(self.now, Event::Tick(replica, process_number));
    }

    /// Calls a replica's membership and delivers the datagrams that it sends.
    fn with_membership(
        &mut self,
        replica: usize,
        call: impl FnOnce(&mut Membership<RecordingHost>, Duration),
    ) {
        let now = self.now;
        let Some(membership) = &mut self.replicas[replica].membership else { return };
        call(membership, now);
        let outgoing = std::mem::take(&mut membership.host().outgoing);
        for (to, bytes) in outgoing {
            self.total_sent = (self.total_sent.0 + 1, self.total_sent.1 + bytes.len() as u64);
            if let Some(to) = self.by_address.get(&to).copied() {
                self.transmit(replica, to, bytes);
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, mut bytes: Vec<u8>) {
        let effects = self.network.path_effects(Node::Replica(from), Node::Replica(to));
        if effects.cut || self.rng.random::<f64>() < effects.loss {
            return;
        }
        if self.rng.random::<f64>() < effects.corruption {
            let at = self.rng.random_range(0..bytes.len());
            match self.rng.random_range(0..3) {
                0 => bytes.truncate(at),
                1 => bytes[at] ^= 1 << self.rng.random_range(0..8),
                _ => bytes.extend_from_within(at..),
            }
        }
        let deliveries = if self.rng.random::<f64>() < effects.duplication { 2 } else { 1 };
        let bytes: Rc<[u8]> = bytes.into();
        for _ in 0..deliveries {
            let latency = (MIN_LATENCY + effects.delay).mul_f64(1.0 + self.rng.random::<f64>());
            self.schedule(self.now + latency, Event::Datagram(to, bytes.clone()));
        }
    }

    fn stop_process(&mut self, replica: usize) {
        self.replicas[replica].membership = None;
        self.replicas[replica].process_number += 1;
    }

    fn begin_fault(&mut self, number: usize) {
        self.network.begin(number);
        let fault: &Fault = &self.plan.faults[number];
        let until = seconds_to_duration(fault.at + fault.duration);
        for replica in self.network.affected_replicas(number) {
            match fault.kind {
                FaultKind::Kill => self.stop_process(replica),
                FaultKind::Term => {
                    self.with_membership(replica, |membership, now| membership.leave(now));
                    self.stop_process(replica);
                }
                FaultKind::Stop => {
                    let target = &mut self.replicas[replica];
                    target.paused_until = target.paused_until.max(until);
                }
                FaultKind::Starve => self.replicas[replica].starved = true,
                _ => break,
            }
        }
        self.partitions = self.network.partitions();
    }

    fn end_fault(&mut self, number: usize) {
        self.network.end(number);
        let fault = &self.plan.faults[number];
        for replica in self.network.affected_replicas(number) {
            match fault.kind {
                FaultKind::Kill | FaultKind::Term => self.start_process(replica),
                FaultKind::Starve => self.replicas[replica].starved = false,
                _ => break,
            }
        }
        self.partitions = self.network.partitions();
    }

    fn take_snapshot(&mut self) {
        let state = |replica: &Replica| match &replica.membership {
            None => ProcessState::Down,
            Some(_) if replica.paused_until > self.now => ProcessState::Still,
            Some(_) => ProcessState::Runs,
        };
        let view = |(number, replica): (usize, &Replica)| {
            let membership = replica.membership.as_ref()?;
            let live = membership.members().filter(|member| member.state().is_live());
            let others = live.filter_map(|member| self.by_address.get(&member.address()).copied());
            Some(ReplicaSet::new(others.chain([number])))
        };
        let snapshot = ViewSnapshot {
            at: self.now.as_secs_f64(),
            states: self.replicas.iter().map(state).collect(),
            partitions: self.partitions.clone(),
            views: self.replicas.iter().enumerate().map(view).collect(),
            is_too_lossy: self.network.is_too_lossy(),
            is_degraded: self.network.is_degraded(),
            has_one_way_cut: self.network.has_one_way_cut(),
        };
        self.checker.observe(&snapshot);
        self.sample_send_rate(snapshot.at);
        let next = self.now + seconds_to_duration(self.options.snapshot_interval);
        self.schedule(next, Event::Snapshot);
    }

    fn sample_send_rate(&mut self, at: f64) {
        let (datagrams, bytes, since) = self.last_sample;
        if at - since < 1.0 {
            return;
        }
        let replica_seconds = (at - since) * self.replicas.len() as f64;
        let (more, more_bytes) = (self.total_sent.0 - datagrams, self.total_sent.1 - bytes);
        self.results.max_datagrams_per_s =
            self.results.max_datagrams_per_s.max(more as f64 / replica_seconds);
        self.results.max_bytes_per_s = self.results.max_bytes_per_s.max(more_bytes as f64 / replica_seconds);
        self.last_sample = (self.total_sent.0, self.total_sent.1, at);
        let suspected = |replica: &mut Replica| {
            replica
                .membership
                .as_mut()
                .map_or(0, |membership| std::mem::take(&mut membership.host().suspected))
        };
        self.results.suspicions += self.replicas.iter_mut().map(suspected).sum::<u64>();
    }
}
