//! A discrete-event simulation in virtual time of clients, replicas of the sidecar and servers. This module owns the
//! event loop and is the only one that calls load balancers. It uses no clock, socket or thread: the same plan, seed
//! and load balancer give the same result, byte for byte.

mod agenda;
mod clients;
mod dice;
mod faults;
mod ground;
mod hand;
mod happening;
mod serving;
mod source;
mod window;

pub use dice::{exponential, weighted_index, work_multiple};
pub use hand::HostHandle;

use crate::cold::ColdPeaks;
use crate::picker::LoadBalancer;
use crate::plan::{RetrySafety, Scenario, to_duration};
use crate::referee::Breach;
use crate::tally::{EjectionNote, Second, Totals};
use ground::SimulationState;
use happening::{AttemptKey, ReplicaProcess, SimEvent};
use landingspread_decisions::host::{AttemptEnd, LoadReport, Outcome, RequestArrival};
use landingspread_decisions::settings::{
    self, Capabilities, Costs, DedupScope, ObjectiveWeights, Settings, SlowStart,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Creates the load balancer of a replica from its host, its settings, a seed and the time.
pub type MakeLoadBalancer<'a> = dyn Fn(HostHandle, Settings, u64, Duration) -> Box<dyn LoadBalancer> + 'a;

/// The result of one simulated run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Totals without the settling time.
    pub totals: Totals,
    /// One entry for each ended second.
    pub seconds: Vec<Second>,
    /// Notes of replicas on ejections, returns and zones.
    pub ejections: Vec<EjectionNote>,
    /// The first breaches, up to a bound; `breach_counts` counts all of them.
    pub breaches: Vec<Breach>,
    /// Breaches by rule, with rule 1 at index 0.
    pub breach_counts: [u64; 4],
    /// The highest load that all replicas together put on cold servers.
    pub cold_peaks: ColdPeaks,
    /// Number of events processed.
    pub events: u64,
    /// The largest number of events that were queued at once.
    pub max_queued_events: usize,
}

/// Simulates a plan with one seed. After clients stop sending, open requests have until their deadlines to end.
pub fn simulate(plan: &Rc<Scenario>, seed: u64, create_balancer: &MakeLoadBalancer) -> Run {
    let mut simulation = Simulation::new(plan.clone(), seed, create_balancer);
    let end = to_duration(plan.seconds) + simulation.max_time_limit() + Duration::from_secs(1);
    let mut max_queued = 0;
    loop {
        let next_event = simulation.state.borrow_mut().event_queue.next();
        let Some((time, event)) = next_event.filter(|(time, _)| *time <= end) else { break };
        {
            let state = &mut *simulation.state.borrow_mut();
            debug_assert!(time >= state.now, "time goes forward");
            (state.now, state.events) = (time, state.events + 1);
            max_queued = max_queued.max(state.event_queue.len());
        }
        simulation.handle_event(time, event);
    }
    simulation.into_run(max_queued)
}

/// The event loop of one run, with its state and the load balancers of all replicas.
struct Simulation<'a> {
    state: Rc<RefCell<SimulationState>>,
    load_balancers: Vec<Option<Box<dyn LoadBalancer>>>,
    create_balancer: &'a MakeLoadBalancer<'a>,
    seed: u64,
}

impl<'a> Simulation<'a> {
    fn new(plan: Rc<Scenario>, seed: u64, create_balancer: &'a MakeLoadBalancer<'a>) -> Simulation<'a> {
        let state = Rc::new(RefCell::new(SimulationState::new(plan, seed)));
        let mut simulation = Simulation { state, load_balancers: Vec::new(), create_balancer, seed };
        let replicas = simulation.state.borrow().replicas.len();
        for replica in 0..replicas {
            simulation.start_replica(replica);
        }
        let mut state = simulation.state.borrow_mut();
        state.schedule_faults();
        state.schedule(Duration::ZERO, SimEvent::ClientArrival);
        state.schedule(Duration::from_secs(1), SimEvent::SecondEnded);
        drop(state);
        simulation
    }

    fn max_time_limit(&self) -> Duration {
        let plan = &self.state.borrow().plan;
        to_duration(plan.request_classes.iter().map(|class| class.time_limit).fold(0.0, f64::max))
    }

    /// Starts a new process of a replica, with no statistics and the list as the source has it. The state is no longer
    /// borrowed when the load balancer is created, because its constructor calls the host.
    fn start_replica(&mut self, replica: usize) {
        let (process, settings, list, now) = {
            let state = &mut *self.state.borrow_mut();
            let record = &mut state.replicas[replica];
            (record.up, record.watching) = (true, true);
            let process = state.current_process(replica);
            let list = state.listed_servers(state.replicas[replica].tier);
            state.record_list(process, true, &list);
            (process, settings_for(state, replica), list, state.now)
        };
        let process_number = (replica as u64) << 20 | u64::from(process.generation);
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ process_number;
        let host = HostHandle { state: self.state.clone(), process };
        let mut load_balancer = (self.create_balancer)(host, settings, seed, now);
        load_balancer.endpoint_list_cached(now, &list);
        if self.load_balancers.len() <= replica {
            self.load_balancers.resize_with(replica + 1, || None);
        }
        self.load_balancers[replica] = Some(load_balancer);
        if process.generation > 0 {
            // The cached list may be stale, so the replica polls for a new one.
            self.state.borrow_mut().schedule(now, SimEvent::DiscoveryPolled(process));
        }
    }

    fn load_balancer_of(&mut self, replica: usize) -> Option<&mut Box<dyn LoadBalancer>> {
        self.load_balancers.get_mut(replica)?.as_mut()
    }

    /// The load balancer of a replica if this process of it still runs.
    fn running_balancer(&mut self, process: ReplicaProcess) -> Option<&mut Box<dyn LoadBalancer>> {
        if self.state.borrow().is_running(process) { self.load_balancer_of(process.replica) } else { None }
    }

    fn handle_event(&mut self, now: Duration, event: SimEvent) {
        let state = self.state.clone();
        let state_mut = || state.borrow_mut();
        match event {
            SimEvent::ClientArrival => state_mut().client_arrival(),
            SimEvent::ClientRetry(operation) => state_mut().send(operation),
            SimEvent::RequestArrived(request) => self.deliver_request(now, request),
            SimEvent::ClientDisconnected(request) => self.disconnect_client(now, request),
            SimEvent::DeadlinePassed(request) => state_mut().request_deadline_passed(request),
            SimEvent::AttemptArrived(attempt_key) => state_mut().attempt_arrives(attempt_key),
            SimEvent::CoreFinished(job) => state_mut().core_finished(job),
            SimEvent::DownstreamCallEnded(job, succeeded) => {
                state_mut().downstream_call_ended(job, succeeded);
            }
            SimEvent::AttemptEnded(attempt_key, outcome, load) => {
                self.end_attempt(now, attempt_key, outcome, load);
            }
            SimEvent::AttemptTimedOut(attempt_key) => {
                self.end_attempt(now, attempt_key, Outcome::Timeout, LoadReport::default());
            }
            SimEvent::AttemptCancelled(attempt_key) => state_mut().attempt_cancelled(attempt_key),
            SimEvent::HealthCheckEnded(process, server, outcome) => {
                let id = state_mut().servers[server].id.clone();
                if let Some(load_balancer) = self.running_balancer(process) {
                    load_balancer.health_check_ended(now, outcome, &id, LoadReport::default());
                }
            }
            SimEvent::TimerFired(process) => {
                if let Some(load_balancer) = self.running_balancer(process) {
                    load_balancer.timer_fired(now);
                }
            }
            SimEvent::ListDelivered(process, full, entries) => {
                self.list_delivered(now, process, full, &entries);
            }
            SimEvent::DiscoveryPollFailed(process) => {
                if let Some(load_balancer) = self.running_balancer(process) {
                    load_balancer.discovery_poll_failed(now);
                }
            }
            SimEvent::DiscoveryPolled(process) => state_mut().discovery_polled(process),
            SimEvent::ListSourceUpdated(server) => state_mut().update_list_source(server),
            SimEvent::FaultBegins(fault) => state_mut().fault_begins(fault),
            SimEvent::FaultStep(fault, step) => state_mut().fault_step(fault, step),
            SimEvent::FaultEnds(fault) => state_mut().fault_ends(fault),
            SimEvent::ServerStarts(server, generation) => state_mut().server_starts(server, generation),
            SimEvent::ServerRemoved(server) => state_mut().remove_server(server),
            SimEvent::PauseEnded(server) => state_mut().start_jobs(server),
            SimEvent::ReplicaStarts(replica) => {
                let is_down = !state_mut().replicas[replica].up;
                if is_down {
                    self.start_replica(replica);
                }
            }
            SimEvent::PeerMessageReceived(process, peer, message) => {
                if let Some(load_balancer) = self.running_balancer(process) {
                    load_balancer.peer_message_received(now, peer, &message);
                }
            }
            SimEvent::DatagramReceived(process, bytes) => {
                if let Some(load_balancer) = self.running_balancer(process) {
                    load_balancer.datagram_received(now, &bytes);
                }
            }
            SimEvent::SecondEnded => self.end_second(now),
        }
    }

    fn deliver_request(&mut self, now: Duration, index: u64) {
        let arrival = {
            let state = &mut *self.state.borrow_mut();
            if !state.admit_request(index) {
                return;
            }
            let Some(request) = state.requests.get(index) else { return };
            let (id, class, deadline, tenant) =
                (request.id.clone(), request.class, request.deadline, request.tenant);
            let arrival =
                RequestArrival { id, class, deadline, body_incomplete: false, tenant, declared_work: None };
            (request.process.replica, arrival)
        };
        if let Some(load_balancer) = self.load_balancer_of(arrival.0) {
            load_balancer.request_arrived(now, arrival.1);
        }
    }

    fn disconnect_client(&mut self, now: Duration, index: u64) {
        let disconnected = {
            let state = &mut *self.state.borrow_mut();
            let Some(request) = state.requests.get(index).filter(|request| request.final_outcome.is_none())
            else {
                return;
            };
            let disconnected = (request.process, request.id.clone());
            state.finish(index, crate::referee::FinalOutcome::Left, None);
            disconnected
        };
        if let Some(load_balancer) = self.running_balancer(disconnected.0) {
            load_balancer.client_disconnected(now, &disconnected.1);
        }
    }

    fn end_attempt(&mut self, now: Duration, attempt_key: AttemptKey, outcome: Outcome, load: LoadReport) {
        let ended_attempt = {
            let state = &mut *self.state.borrow_mut();
            if !state.record_attempt_end(attempt_key, outcome) {
                return;
            }
            let Some(request) = state.requests.get(attempt_key.request) else { return };
            let attempt = &request.attempts[attempt_key.attempt as usize];
            let ended = AttemptEnd {
                request: request.id.clone(),
                request_closed: request.final_outcome.is_some(),
                body_consumed: state.plan.rules.nearest_tier_retries && attempt.failed_downstream,
                outcome,
                attempt: attempt_key.attempt,
                latency: now.saturating_sub(attempt.sent_at),
                server: state.servers[attempt.server].id.clone(),
                load,
            };
            (request.process, ended)
        };
        if let Some(load_balancer) = self.running_balancer(ended_attempt.0) {
            load_balancer.attempt_ended(now, ended_attempt.1);
        }
    }

    fn list_delivered(
        &mut self,
        now: Duration,
        process: ReplicaProcess,
        full: bool,
        entries: &[landingspread_decisions::host::ListedServer],
    ) {
        if !self.state.borrow().is_running(process) {
            return;
        }
        self.state.borrow_mut().record_list(process, full, entries);
        let Some(load_balancer) = self.running_balancer(process) else { return };
        if full {
            load_balancer.endpoint_list_received(now, entries);
        } else {
            load_balancer.endpoint_list_changed(now, entries);
        }
    }

    fn end_second(&mut self, now: Duration) {
        let state = &mut *self.state.borrow_mut();
        let loads = state.server_loads();
        state.statistics.end_second(now.saturating_sub(Duration::from_nanos(1)), &loads);
        if now < to_duration(state.plan.seconds) {
            state.schedule_in(Duration::from_secs(1), SimEvent::SecondEnded);
        }
    }

    fn into_run(self, max_queued_events: usize) -> Run {
        drop(self.load_balancers);
        let Ok(state) = Rc::try_unwrap(self.state) else {
            unreachable!("only the load balancers share the state with the event loop")
        };
        let mut state = state.into_inner();
        for server in &mut state.servers {
            server.offered_work.finish_process(&mut state.cold_peaks);
        }
        let (events, referee) = (state.events, state.referee);
        let (totals, seconds, ejections) = state.statistics.finish();
        Run {
            totals,
            seconds,
            ejections,
            breaches: referee.breaches,
            breach_counts: referee.counts,
            cold_peaks: state.cold_peaks,
            events,
            max_queued_events,
        }
    }
}

/// The settings with which a replica starts.
fn settings_for(state: &SimulationState, index: usize) -> Settings {
    let (plan, replica) = (&state.plan, &state.replicas[index]);
    let (tier, rules) = (&plan.tiers[replica.tier], &plan.rules);
    let balancers = state.replicas.iter().filter(|other| other.tier == replica.tier).count();
    let quota = |tenant: &crate::plan::Tenant| tenant.quota.unwrap_or(f64::MAX);
    Settings {
        replicas: balancers as f64,
        max_live_replicas: balancers as f64,
        ordinal: replica.ordinal,
        tier: replica.tier as u32,
        idle_connection_timeout: to_duration(tier.connections.idle_timeout),
        zone: replica.zone,
        polls_discovery: false,
        poll_interval: Duration::MAX,
        timer_resolution: Duration::ZERO,
        value_by_work: false,
        over_quota_value: rules.over_quota_value,
        quotas: plan.tenants.iter().map(quota).collect(),
        classes: plan.request_classes.iter().map(class_settings).collect(),
        capabilities: Capabilities {
            health_checks: tier.health_checks,
            cancellation: rules.cancellation,
            hedging: rules.hedging,
            peer_messages: rules.peer_messages,
            max_attempts: rules.max_attempts,
            max_retry_after: Some(to_duration(rules.max_retry_after)).filter(|limit| !limit.is_zero()),
        },
        slow_start: SlowStart {
            initial_fraction: tier.cold_start.initial_fraction,
            duration: to_duration(tier.cold_start.warmup),
            overload_multiple: tier.cold_start.overload_multiple,
            overload_window: to_duration(tier.cold_start.overload_window),
        },
        costs: Costs {
            cross_zone: rules.cross_zone_cost,
            health_check: 0.0,
            peer_message: 0.0,
            connection: 0.0,
        },
        health_checks_report_load: false,
        objective: ObjectiveWeights { worst_class: 0.0 },
    }
}

fn class_settings(class: &crate::plan::RequestClass) -> settings::RequestClass {
    settings::RequestClass {
        retry_safety: match class.retry_safety {
            RetrySafety::Idempotent => settings::RetrySafety::Idempotent,
            RetrySafety::KeyedEverywhere => settings::RetrySafety::IdempotencyKeyed(DedupScope::All),
            RetrySafety::KeyedInZone => settings::RetrySafety::IdempotencyKeyed(DedupScope::Zone),
            RetrySafety::KeyedInCell => settings::RetrySafety::IdempotencyKeyed(DedupScope::Cell),
            RetrySafety::NonIdempotent => settings::RetrySafety::NonIdempotent,
        },
        dedup_window: to_duration(class.dedup_window),
        latency_objective: to_duration(class.latency_objective),
        time_limit: to_duration(class.time_limit),
        value: class.utility,
        late_value: class.late_utility,
    }
}
