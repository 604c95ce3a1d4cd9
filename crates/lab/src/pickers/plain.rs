//! Baseline load balancers: each has one selection rule and keeps the rules on final answers and safe retries. They send
//! at once, retry a failure at another server where that is safe, and have no ejection, no queue and no slow start.

use super::rules::{SentAttempt, may_reject, may_send};
use crate::picker::LoadBalancer;
use crate::world::HostHandle;
use landingspread_decisions::host::{
    AttemptEnd, Host, Id, Lifecycle, ListedServer, LoadReport, Outcome, RequestArrival,
};
use landingspread_decisions::settings::Settings;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// How a baseline selects a server among the eligible ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    Random,
    RoundRobin,
    /// The server with the fewest outstanding attempts of this replica.
    LeastOutstanding,
    /// The one of two random servers with fewer outstanding attempts (Mitzenmacher 2001).
    TwoChoices,
    /// The server with the shortest wait by the true state of the servers, which no replica can know. A request is
    /// rejected if no server would answer within the objective. An upper bound for comparison.
    TrueState,
}

struct KnownServer {
    id: Id,
    zone: u32,
    cell: u32,
    ready: bool,
    outstanding: u32,
}

struct OpenRequest {
    class: usize,
    deadline: Duration,
    objective_deadline: Duration,
    /// Set when no further attempt is allowed.
    no_more_attempts: bool,
    attempts: Vec<SentAttempt>,
}

/// The most attempts of a baseline for one request, and the timeout of each.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    pub max_attempts: u32,
    /// Timeout of an attempt as a fraction of the class's time limit; after it the request goes to another server.
    pub timeout_fraction: f64,
}

impl AttemptLimits {
    /// As many attempts as the plan allows, each until the deadline of the request.
    pub const PLAN: AttemptLimits = AttemptLimits { max_attempts: u32::MAX, timeout_fraction: 1.0 };
    /// One attempt, until the deadline of the request.
    pub const SINGLE: AttemptLimits = AttemptLimits { max_attempts: 1, timeout_fraction: 1.0 };
    /// Up to two retries, after a failure or when a third of the time limit has passed without an answer.
    pub const THREE_TIMED: AttemptLimits = AttemptLimits { max_attempts: 3, timeout_fraction: 1.0 / 3.0 };
}

/// A baseline load balancer with one selection rule.
pub struct BaselineBalancer {
    host: HostHandle,
    settings: Settings,
    selection: Selection,
    limits: AttemptLimits,
    rng: ChaCha8Rng,
    servers: Vec<KnownServer>,
    positions: BTreeMap<Id, usize>,
    open: BTreeMap<Id, OpenRequest>,
    next_server: usize,
    poll_failures: u32,
}

impl BaselineBalancer {
    /// Creates a baseline with its selection rule and attempt limits; `seed` is for random draws.
    pub fn new(
        host: HostHandle,
        settings: Settings,
        seed: u64,
        selection: Selection,
        limits: AttemptLimits,
    ) -> BaselineBalancer {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        BaselineBalancer {
            host,
            settings,
            selection,
            limits,
            rng,
            servers: Vec::new(),
            positions: BTreeMap::new(),
            open: BTreeMap::new(),
            next_server: 0,
            poll_failures: 0,
        }
    }

    fn update_servers(&mut self, entries: &[ListedServer]) {
        for entry in entries {
            let count = self.servers.len();
            let position = *self.positions.entry(entry.server.clone()).or_insert(count);
            if position == count {
                let (id, zone, cell) = (entry.server.clone(), entry.zone, entry.cell);
                self.servers.push(KnownServer { id, zone, cell, ready: false, outstanding: 0 });
            }
            self.servers[position].ready = entry.lifecycle == Lifecycle::Ready;
        }
    }

    fn choose_server(&mut self, open: &OpenRequest, now: Duration) -> Option<usize> {
        let is_eligible = |position: &usize| {
            let server = &self.servers[*position];
            server.ready
                && !open.attempts.iter().any(|attempt| attempt.server == *position)
                && may_send(&self.settings, open.class, &open.attempts, server.zone, server.cell, now)
        };
        let eligible: Vec<usize> = (0..self.servers.len()).filter(is_eligible).collect();
        if eligible.is_empty() {
            return None;
        }
        // Seconds until the latency objective.
        let remaining = open.objective_deadline.saturating_sub(now).as_secs_f64();
        let first_draw = eligible[self.rng.random_range(0..eligible.len())];
        let second_draw = eligible[self.rng.random_range(0..eligible.len())];
        let outstanding_attempts = |position: &usize| self.servers[*position].outstanding;
        match self.selection {
            Selection::Random => Some(first_draw),
            Selection::RoundRobin => {
                self.next_server += 1;
                Some(eligible[self.next_server % eligible.len()])
            }
            Selection::TwoChoices => [first_draw, second_draw].into_iter().min_by_key(outstanding_attempts),
            // Starts at a random position: otherwise all replicas would choose the same one of equal servers.
            Selection::LeastOutstanding => {
                let start = eligible.iter().position(|position| *position == first_draw).unwrap_or(0);
                eligible[start..].iter().chain(&eligible[..start]).copied().min_by_key(outstanding_attempts)
            }
            Selection::TrueState => {
                let wait = |position: &usize| {
                    let wait = self.host.true_wait(&self.servers[*position].id, open.class)?;
                    (wait <= remaining).then_some((wait, *position))
                };
                let best = eligible.iter().filter_map(wait).min_by(|a, b| a.0.total_cmp(&b.0));
                best.map(|(_, position)| position)
            }
        }
    }

    fn send_attempt(&mut self, id: &Id, now: Duration) {
        let Some(mut open) = self.open.remove(id) else { return };
        let max_attempts = self.settings.capabilities.max_attempts.min(self.limits.max_attempts);
        let allowed =
            !open.no_more_attempts && open.deadline > now && (open.attempts.len() as u32) < max_attempts;
        let position = if allowed { self.choose_server(&open, now) } else { None };
        let Some(position) = position else {
            if may_reject(&self.settings, open.class, &open.attempts) {
                self.host.reject(id, self.settings.capabilities.max_retry_after);
            } else {
                self.host.fail(id);
            }
            return;
        };
        let server = &mut self.servers[position];
        server.outstanding += 1;
        let limit = self.settings.classes.get(open.class).map_or(Duration::MAX, |class| class.time_limit);
        let attempt_deadline =
            open.deadline.min(now.saturating_add(limit.mul_f64(self.limits.timeout_fraction)));
        let (zone, cell) = (server.zone, server.cell);
        open.attempts.push(SentAttempt { server: position, zone, cell, sent_at: now, outcome: None });
        let server_id = server.id.clone();
        self.open.insert(id.clone(), open);
        self.host.start_attempt(id, &server_id, attempt_deadline);
    }
}

impl LoadBalancer for BaselineBalancer {
    fn endpoint_list_cached(&mut self, _now: Duration, entries: &[ListedServer]) {
        self.servers.iter_mut().for_each(|server| server.ready = false);
        self.update_servers(entries);
    }

    fn endpoint_list_received(&mut self, now: Duration, entries: &[ListedServer]) {
        self.poll_failures = 0;
        self.endpoint_list_cached(now, entries);
    }

    fn endpoint_list_changed(&mut self, _now: Duration, entries: &[ListedServer]) {
        self.poll_failures = 0;
        self.update_servers(entries);
    }

    fn discovery_poll_failed(&mut self, _now: Duration) {
        self.poll_failures += 1;
        self.host.wake_after(Duration::from_secs(1));
    }

    fn request_arrived(&mut self, now: Duration, arrival: RequestArrival) {
        let RequestArrival { class, deadline, .. } = arrival;
        let objective =
            self.settings.classes.get(class).map_or(deadline, |class| now + class.latency_objective);
        let open = OpenRequest {
            class,
            deadline,
            objective_deadline: objective.min(deadline),
            no_more_attempts: false,
            attempts: Vec::new(),
        };
        self.open.insert(arrival.id.clone(), open);
        self.send_attempt(&arrival.id, now);
    }

    fn client_disconnected(&mut self, _now: Duration, request: &Id) {
        let Some(open) = self.open.remove(request) else { return };
        for (number, attempt) in (0u32..).zip(&open.attempts) {
            if attempt.outcome.is_none() {
                self.servers[attempt.server].outstanding -= 1;
                self.host.cancel_attempt(request, number);
            }
        }
    }

    fn attempt_ended(&mut self, now: Duration, attempt_end: AttemptEnd) {
        let Some(open) = self.open.get_mut(&attempt_end.request) else { return };
        let Some(attempt) = open.attempts.get_mut(attempt_end.attempt as usize) else { return };
        attempt.outcome = Some(attempt_end.outcome);
        self.servers[attempt.server].outstanding -= 1;
        if attempt_end.body_consumed {
            open.no_more_attempts = true;
        }
        if attempt_end.request_closed {
            self.open.remove(&attempt_end.request);
        } else {
            self.send_attempt(&attempt_end.request, now);
        }
    }

    fn health_check_ended(&mut self, _now: Duration, _outcome: Outcome, _server: &Id, _load: LoadReport) {}

    fn timer_fired(&mut self, _now: Duration) {
        if self.poll_failures > 0 {
            self.host.poll_discovery();
        }
    }
}
