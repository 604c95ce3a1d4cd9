//! Baselines: one rule for the pick, and the least that the four rules ask beside it. They relay at once, go on to
//! another server after a failure while that is harmless, mark nothing, hold nothing and know no cold start.

use super::rules::{Sent, may_decline, may_go};
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Random,
    RoundRobin,
    /// Fewest of this copy's own relays out.
    LeastOutstanding,
    /// The better by that of two drawn evenly (Mitzenmacher 2001).
    TwoChoices,
    /// The shortest wait by the servers' true state, which no copy can know, and a decline where no server would
    /// answer within the goal: a bound.
    TrueState,
}

struct Known {
    id: Id,
    zone: u32,
    cell: u32,
    ready: bool,
    out: u32,
}

struct Open {
    verb: usize,
    due: Duration,
    good_until: Duration,
    /// It can't be sent again.
    spent: bool,
    sent: Vec<Sent>,
}

/// How often a baseline sends one command at most, and how long it waits each time.
#[derive(Clone, Copy, Debug)]
pub struct Tries {
    pub most: u32,
    /// As a share of the verb's time limit; what is overdue by then is called off and sent to another server.
    pub patience: f64,
}

impl Tries {
    /// As often as the plan allows, each until the command's own time is over.
    pub const ALL: Tries = Tries { most: u32::MAX, patience: 1.0 };
    pub const ONE: Tries = Tries { most: 1, patience: 1.0 };
    /// Two further tries after any failure, or when a third of the limit is over without an answer.
    pub const THREE: Tries = Tries { most: 3, patience: 1.0 / 3.0 };
}

pub struct Plain {
    hand: HostHandle,
    terms: Settings,
    way: Way,
    tries: Tries,
    rng: ChaCha8Rng,
    servers: Vec<Known>,
    places: BTreeMap<Id, usize>,
    open: BTreeMap<Id, Open>,
    turn: usize,
    failures: u32,
}

impl Plain {
    pub fn new(hand: HostHandle, terms: Settings, seed: u64, way: Way, tries: Tries) -> Plain {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Plain {
            hand,
            terms,
            way,
            tries,
            rng,
            servers: Vec::new(),
            places: BTreeMap::new(),
            open: BTreeMap::new(),
            turn: 0,
            failures: 0,
        }
    }

    fn take(&mut self, entries: &[ListedServer]) {
        for entry in entries {
            let count = self.servers.len();
            let place = *self.places.entry(entry.server.clone()).or_insert(count);
            if place == count {
                let (id, zone, cell) = (entry.server.clone(), entry.zone, entry.cell);
                self.servers.push(Known { id, zone, cell, ready: false, out: 0 });
            }
            self.servers[place].ready = entry.lifecycle == Lifecycle::Ready;
        }
    }

    fn pick(&mut self, open: &Open, now: Duration) -> Option<usize> {
        let fits = |place: &usize| {
            let server = &self.servers[*place];
            server.ready
                && !open.sent.iter().any(|sent| sent.server == *place)
                && may_go(&self.terms, open.verb, &open.sent, server.zone, server.cell, now)
        };
        let fitting: Vec<usize> = (0..self.servers.len()).filter(fits).collect();
        if fitting.is_empty() {
            return None;
        }
        // Seconds in which an answer still earns something.
        let left = open.good_until.saturating_sub(now).as_secs_f64();
        let one = fitting[self.rng.random_range(0..fitting.len())];
        let other = fitting[self.rng.random_range(0..fitting.len())];
        let fewest = |place: &usize| self.servers[*place].out;
        match self.way {
            Way::Random => Some(one),
            Way::RoundRobin => {
                self.turn += 1;
                Some(fitting[self.turn % fitting.len()])
            }
            Way::TwoChoices => [one, other].into_iter().min_by_key(fewest),
            // From a place of its own: the first of equals would be the same one at every copy.
            Way::LeastOutstanding => {
                let start = fitting.iter().position(|place| *place == one).unwrap_or(0);
                fitting[start..].iter().chain(&fitting[..start]).copied().min_by_key(fewest)
            }
            Way::TrueState => {
                let wait = |place: &usize| {
                    let wait = self.hand.true_wait(&self.servers[*place].id, open.verb)?;
                    (wait <= left).then_some((wait, *place))
                };
                let best = fitting.iter().filter_map(wait).min_by(|a, b| a.0.total_cmp(&b.0));
                best.map(|(_, place)| place)
            }
        }
    }

    fn go(&mut self, id: &Id, now: Duration) {
        let Some(mut open) = self.open.remove(id) else { return };
        let most = self.terms.capabilities.max_attempts.min(self.tries.most);
        let may = !open.spent && open.due > now && (open.sent.len() as u32) < most;
        let place = if may { self.pick(&open, now) } else { None };
        let Some(place) = place else {
            if may_decline(&self.terms, open.verb, &open.sent) {
                self.hand.reject(id, self.terms.capabilities.max_retry_after);
            } else {
                self.hand.fail(id);
            }
            return;
        };
        let server = &mut self.servers[place];
        server.out += 1;
        let limit = self.terms.classes.get(open.verb).map_or(Duration::MAX, |verb| verb.time_limit);
        let until = open.due.min(now.saturating_add(limit.mul_f64(self.tries.patience)));
        let (zone, cell) = (server.zone, server.cell);
        open.sent.push(Sent { server: place, zone, cell, at: now, outcome: None });
        let to = server.id.clone();
        self.open.insert(id.clone(), open);
        self.hand.start_attempt(id, &to, until);
    }
}

impl LoadBalancer for Plain {
    fn endpoint_list_cached(&mut self, _now: Duration, entries: &[ListedServer]) {
        self.servers.iter_mut().for_each(|server| server.ready = false);
        self.take(entries);
    }

    fn endpoint_list_received(&mut self, now: Duration, entries: &[ListedServer]) {
        self.failures = 0;
        self.endpoint_list_cached(now, entries);
    }

    fn endpoint_list_changed(&mut self, _now: Duration, entries: &[ListedServer]) {
        self.failures = 0;
        self.take(entries);
    }

    fn discovery_poll_failed(&mut self, _now: Duration) {
        self.failures += 1;
        self.hand.wake_after(Duration::from_secs(1));
    }

    fn request_arrived(&mut self, now: Duration, arrival: RequestArrival) {
        let RequestArrival { class: verb, deadline: due, .. } = arrival;
        let goal = self.terms.classes.get(verb).map_or(due, |verb| now + verb.latency_objective);
        let open = Open { verb, due, good_until: goal.min(due), spent: false, sent: Vec::new() };
        self.open.insert(arrival.id.clone(), open);
        self.go(&arrival.id, now);
    }

    fn client_disconnected(&mut self, _now: Duration, cmd: &Id) {
        let Some(open) = self.open.remove(cmd) else { return };
        for (number, sent) in (0u32..).zip(&open.sent) {
            if sent.outcome.is_none() {
                self.servers[sent.server].out -= 1;
                self.hand.cancel_attempt(cmd, number);
            }
        }
    }

    fn attempt_ended(&mut self, now: Duration, ended: AttemptEnd) {
        let Some(open) = self.open.get_mut(&ended.request) else { return };
        let Some(sent) = open.sent.get_mut(ended.attempt as usize) else { return };
        sent.outcome = Some(ended.outcome);
        self.servers[sent.server].out -= 1;
        if ended.body_consumed {
            open.spent = true;
        }
        if ended.request_closed {
            self.open.remove(&ended.request);
        } else {
            self.go(&ended.request, now);
        }
    }

    fn health_check_ended(&mut self, _now: Duration, _outcome: Outcome, _server: &Id, _load: LoadReport) {}

    fn timer_fired(&mut self, _now: Duration) {
        if self.failures > 0 {
            self.hand.poll_discovery();
        }
    }
}
