//! The host of a load balancer in the simulation. Its calls change only the state and the event queue: their effects
//! reach the load balancer later, as events.

use super::ground::{Attempt, IdleConnections, ServerStatus, SimulationState};
use super::happening::{AttemptKey, ReplicaProcess, SimEvent};
use crate::plan::to_duration;
use crate::referee::FinalOutcome;
use landingspread_decisions::host::{Event, Host, Id, LoadReport, Outcome};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The host of one process of a replica.
#[derive(Clone)]
pub struct HostHandle {
    pub(super) state: Rc<RefCell<SimulationState>>,
    pub(super) process: ReplicaProcess,
}

impl HostHandle {
    /// The number of this process's request with the given id.
    fn own_request(&self, state: &SimulationState, id: &Id) -> Option<u64> {
        let number = SimulationState::id_number(id)?;
        state.requests.get(number).filter(|request| request.process == self.process && request.id == *id)?;
        Some(number)
    }

    /// Seconds until a server would answer a request of this class, by the true state of the server, which no replica can
    /// know; `None` if no answer would come or the server would become congested. Only for the true-state baseline.
    pub fn true_wait(&self, server: &Id, class: usize) -> Option<f64> {
        let state = self.state.borrow();
        let number = state.server_index(server)?;
        let target = &state.servers[number];
        let tier = &state.plan.tiers[target.tier];
        let zone = state.replicas[self.process.replica].zone;
        let unavailable = target.status != ServerStatus::Up
            || target.draining
            || target.removed
            || state.zones_are_cut(zone, target.zone);
        let cores = tier.cores as f64;
        let would_congest = tier
            .congestion
            .as_ref()
            .is_some_and(|congestion| (target.jobs + 1) as f64 / cores >= congestion.onset);
        if unavailable || would_congest || state.is_paused(target) {
            return None;
        }
        let speed = state.speed(number).max(1e-9);
        let queueing_work =
            (target.jobs as f64 + 1.0 - cores).max(0.0) * state.mean_work(target.tier) / cores;
        Some((queueing_work + state.plan.request_classes.get(class)?.mean_work(target.tier)) / speed)
    }
}

impl HostHandle {
    /// Sends a datagram of fleet membership to another replica, by its number.
    pub fn send_datagram(&mut self, to: usize, bytes: &[u8]) {
        let state = &mut *self.state.borrow_mut();
        if to < state.replicas.len() {
            let (process, bytes): (ReplicaProcess, Rc<[u8]>) = (state.current_process(to), bytes.into());
            state.send_between_replicas(self.process.replica, to, &|| {
                SimEvent::DatagramReceived(process, bytes.clone())
            });
        }
    }

    /// The names of all zones, in the order of the plan.
    pub fn zones(&self) -> Vec<String> {
        self.state.borrow().plan.zones.clone()
    }

    /// The number of this replica, the name of its zone, the count of replicas of its tier, and the number of the first
    /// of them.
    pub fn membership_identity(&self) -> (usize, String, usize, usize) {
        let state = self.state.borrow();
        let own = &state.replicas[self.process.replica];
        let mut of_tier =
            (0..state.replicas.len()).filter(|replica| state.replicas[*replica].tier == own.tier);
        let first = of_tier.next().unwrap_or(0);
        (self.process.replica, state.plan.zones[own.zone as usize].clone(), of_tier.count() + 1, first)
    }
}

impl Host for HostHandle {
    fn start_attempt(&mut self, request: &Id, server: &Id, requested_deadline: Duration) {
        let state = &mut *self.state.borrow_mut();
        let (Some(number), Some(to)) = (self.own_request(state, request), state.server_index(server)) else {
            return;
        };
        let now = state.now;
        let location = state.servers[to].location(to);
        let unavailable_since = state.replicas[self.process.replica].unavailable_since.get(&to).copied();
        state.check_rules(number, |referee, facts| {
            referee.attempt_started(now, facts, location, server, unavailable_since);
        });
        let (zone, server_zone) = (state.replicas[self.process.replica].zone, state.servers[to].zone);
        let server_unreachable =
            state.servers[to].status != ServerStatus::Up || state.zones_are_cut(zone, server_zone);
        state.statistics.record_attempt(now, server_unreachable);
        let tier = state.servers[to].tier;
        if let Some(request) = state.requests.get(number) {
            state.statistics.record_tier_attempt(
                tier,
                request.entered_at,
                request.attempts.last().map(|attempt| attempt.outcome),
            );
        }
        let delay = state.sample_delay(zone, server_zone);
        let new_connection = state.needs_new_connection(self.process.replica, to);
        let Some(request) = state.requests.get_mut(number) else { return };
        let attempt_deadline = if requested_deadline.is_zero() {
            request.deadline
        } else {
            requested_deadline.min(request.deadline)
        };
        let attempt_key = AttemptKey { request: number, attempt: request.attempts.len() as u32 };
        let expired = request.final_outcome.is_some() || attempt_deadline <= now;
        let failed_downstream = false;
        request.attempts.push(Attempt {
            server: to,
            sent_at: now,
            attempt_deadline,
            delay,
            new_connection,
            failed_downstream,
            outcome: None,
            job: None,
        });
        if expired {
            state.schedule_in(
                Duration::ZERO,
                SimEvent::AttemptEnded(attempt_key, Outcome::NotSent, LoadReport::default()),
            );
            return;
        }
        let one_way_trips = if new_connection { 3 } else { 1 };
        state.schedule_in(delay * one_way_trips, SimEvent::AttemptArrived(attempt_key));
        state.schedule(attempt_deadline, SimEvent::AttemptTimedOut(attempt_key));
    }

    fn reject(&mut self, request: &Id, retry_after: Option<Duration>) {
        let state = &mut *self.state.borrow_mut();
        if let Some(number) = self.own_request(state, request) {
            state.finish(number, FinalOutcome::Declined, retry_after);
        }
    }

    fn fail(&mut self, request: &Id) {
        let state = &mut *self.state.borrow_mut();
        if let Some(number) = self.own_request(state, request) {
            state.finish(number, FinalOutcome::Terminated, None);
        }
    }

    fn cancel_attempt(&mut self, request: &Id, attempt: u32) {
        let state = &mut *self.state.borrow_mut();
        let Some(number) = self.own_request(state, request) else { return };
        if state.plan.rules.cancellation {
            let attempt_key = AttemptKey { request: number, attempt };
            state.schedule_in(
                Duration::ZERO,
                SimEvent::AttemptEnded(attempt_key, Outcome::Cancelled, LoadReport::default()),
            );
        }
    }

    fn check_health(&mut self, server: &Id) {
        let state = &mut *self.state.borrow_mut();
        let Some(number) = state.server_index(server) else { return };
        let zone = state.replicas[self.process.replica].zone;
        let (after, outcome) = state.health_check_result(zone, number);
        state.schedule_in(after, SimEvent::HealthCheckEnded(self.process, number, outcome));
    }

    fn wake_after(&mut self, after: Duration) {
        // A timer without delay could fire forever without virtual time advancing.
        let after = after.max(Duration::from_micros(100));
        self.state.borrow_mut().schedule_in(after, SimEvent::TimerFired(self.process));
    }

    fn poll_discovery(&mut self) {
        let state = &mut *self.state.borrow_mut();
        let zone = state.replicas[self.process.replica].zone;
        let delay = state.sample_delay(zone, zone);
        state.schedule_in(delay, SimEvent::DiscoveryPolled(self.process));
    }

    fn close_idle_connections(&mut self, server: &Id) {
        let state = &mut *self.state.borrow_mut();
        if let Some(number) = state.server_index(server)
            && let Some(idle_connections) =
                state.replicas[self.process.replica].idle_connections.get_mut(&number)
        {
            idle_connections.count = 0;
        }
    }

    fn send_to_peers(&mut self, peer: Option<u32>, message: &[u8]) {
        let state = &mut *self.state.borrow_mut();
        let own = &state.replicas[self.process.replica];
        let (tier, ordinal) = (own.tier, own.ordinal);
        let is_recipient = |replica: &usize| {
            let candidate = &state.replicas[*replica];
            candidate.tier == tier
                && candidate.ordinal != ordinal
                && peer.is_none_or(|peer| peer == candidate.ordinal)
        };
        let to: Vec<usize> = (0..state.replicas.len()).filter(is_recipient).collect();
        let message: Rc<[u8]> = message.into();
        for replica in to {
            let process = state.current_process(replica);
            state.send_between_replicas(self.process.replica, replica, &|| {
                SimEvent::PeerMessageReceived(process, ordinal, message.clone())
            });
        }
    }

    fn log(&mut self, event: &Event) {
        self.note(&event.to_string());
    }
}

impl HostHandle {
    /// Records a log line of the replica; only lines about ejections, returns and zone verdicts are kept.
    pub fn note(&self, text: &str) {
        let state = &mut *self.state.borrow_mut();
        let now = state.now;
        state.statistics.record_note(now, self.process.replica, text);
    }
}

impl SimulationState {
    /// Takes an idle connection from the pool, or returns true if a new connection is needed.
    fn needs_new_connection(&mut self, replica: usize, server: usize) -> bool {
        let target = &self.servers[server];
        let idle = to_duration(self.plan.tiers[target.tier].connections.idle_timeout);
        let (generation, server_unreachable, now) =
            (target.generation, target.status == ServerStatus::Unreachable, self.now);
        let Some(idle_connections) = self.replicas[replica].idle_connections.get_mut(&server) else {
            return true;
        };
        // Connections to an earlier process are known to be broken, unless the machine is unreachable: then the replica has
        // seen no reset and still uses them.
        if idle_connections.count == 0
            || (idle_connections.generation != generation && !server_unreachable)
            || now > idle_connections.last_used + idle
        {
            idle_connections.count = 0;
            return true;
        }
        idle_connections.count -= 1;
        false
    }

    fn return_connection(&mut self, replica: usize, server: usize) {
        const MAX_IDLE: u32 = 64;
        let (generation, now) = (self.servers[server].generation, self.now);
        let idle_connections = self.replicas[replica]
            .idle_connections
            .entry(server)
            .or_insert(IdleConnections { count: 0, last_used: now, generation });
        if idle_connections.generation != generation {
            *idle_connections = IdleConnections { count: 0, last_used: now, generation };
        }
        (idle_connections.count, idle_connections.last_used) =
            ((idle_connections.count + 1).min(MAX_IDLE), now);
    }

    /// Records the outcome of an attempt. Returns true if it is the first outcome and the process still runs.
    pub fn record_attempt_end(&mut self, attempt_key: AttemptKey, outcome: Outcome) -> bool {
        let Some(request) = self.requests.get_mut(attempt_key.request) else { return false };
        let (process, closed) = (request.process, request.final_outcome.is_some());
        let Some(attempt) = request.attempts.get_mut(attempt_key.attempt as usize) else { return false };
        if attempt.outcome.is_some() {
            return false;
        }
        attempt.outcome = Some(outcome);
        let (server, delay) = (attempt.server, attempt.delay);
        if !self.is_running(process) {
            return false;
        }
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Overloaded => {
                self.return_connection(process.replica, server);
            }
            Outcome::Timeout | Outcome::Cancelled => {
                self.schedule_in(delay, SimEvent::AttemptCancelled(attempt_key));
            }
            _ => {}
        }
        if outcome == Outcome::Ok && !closed {
            self.finish(attempt_key.request, FinalOutcome::Answered, None);
        }
        true
    }
}
