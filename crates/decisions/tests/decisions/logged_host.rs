//! A host that logs each call of the decisions as a line, and simulates servers and clients from a seed. The lines are part
//! of the fixture of `pinned_calls`.

use crate::scripted_host::ms;
use landingspread_decisions::host::{Event, Host, Id, LoadReport, Outcome};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

/// Pseudorandom numbers (SplitMix64) that depend on nothing but the seed.
pub struct RandomSequence(pub u64);

impl RandomSequence {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    pub fn chance_percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// An event that the simulated network has scheduled for the decisions.
pub enum PendingEvent {
    AttemptEnded { request: Id, number: u32, server: Id, sent_at: Duration, outcome: Outcome },
    ResponseStarted(Id),
    ResponseInterrupted(Id, usize),
    HealthCheckEnded(Id),
    BodyCompleted(Id),
    ClientDisconnected(Id),
    DiscoveryPollEnded,
}

/// The simulated servers and clients, and the log of the policy's calls.
pub struct SimulatedNetwork {
    pub now: Duration,
    pub log: String,
    pub random: RandomSequence,
    pub pending: BTreeMap<(Duration, u64), PendingEvent>,
    pub event_count: u64,
    pub classes: BTreeMap<Id, usize>,
    pub finished: BTreeSet<Id>,
    pub attempts: BTreeMap<Id, u32>,
    pub last_sent: BTreeMap<Id, Duration>,
}

impl SimulatedNetwork {
    pub fn log_line(&mut self, line: std::fmt::Arguments) {
        writeln!(self.log, "{} {line}", self.now.as_nanos()).expect("writing to a String does not fail");
    }

    pub fn schedule(&mut self, delay: Duration, event: PendingEvent) {
        self.event_count += 1;
        self.pending.insert((self.now + delay, self.event_count), event);
    }

    /// The second within a cycle of 30 s, by which servers and clients change their behaviour.
    pub fn second_in_cycle(&self) -> u64 {
        self.now.as_secs() % 30
    }

    /// The outcome and the latency of an attempt of this class at the server.
    fn attempt_result(&mut self, class: usize, server: &Id, deadline: Duration) -> (Outcome, Duration) {
        let (number, second_in_cycle) = (server_number(server), self.second_in_cycle());
        let idle_time = self.last_sent.get(server).map_or(Duration::ZERO, |at| self.now - *at);
        let time_left = deadline.saturating_sub(self.now).max(ms(1));
        let slowdown = if number == 3 || (6..10).contains(&second_in_cycle) { 4 } else { 1 };
        let latency =
            Duration::from_micros((3000 + self.random.below(30_000)) * slowdown * (1 + class as u64 % 2));
        let is_failing = (number == 1 && (2..12).contains(&second_in_cycle)) || (number == 2 && class == 1);
        let outcome = match self.random.below(200) {
            _ if idle_time > ms(300) && idle_time < ms(60_000) && second_in_cycle > 20 => Outcome::Reset,
            _ if number == 5 && (10..16).contains(&second_in_cycle) => Outcome::Timeout,
            _ if number == 6 && (11..14).contains(&second_in_cycle) => Outcome::ConnectFailed,
            roll if is_failing && roll < 160 => Outcome::Error,
            0..=2 => Outcome::Error,
            3..=4 => Outcome::Overloaded,
            5 => Outcome::Timeout,
            6 => Outcome::ConnectFailed,
            7 => Outcome::Reset,
            8 => Outcome::NotSent,
            _ => Outcome::Ok,
        };
        match outcome {
            Outcome::Timeout => (outcome, time_left),
            Outcome::Ok | Outcome::Error if latency > time_left => (Outcome::Timeout, time_left),
            Outcome::Ok | Outcome::Error => (outcome, latency),
            _ => (outcome, ms(1 + self.random.below(4))),
        }
    }

    pub fn load_report(&mut self) -> LoadReport {
        let random_bits = self.random.next();
        let base_utilization = if self.second_in_cycle() >= 16 { 0.9 } else { 0.2 };
        LoadReport {
            queued: (!random_bits.is_multiple_of(3)).then_some((random_bits >> 8) as f64 % 5.0),
            in_flight: (!random_bits.is_multiple_of(5)).then_some((random_bits >> 20) as f64 % 4.0),
            utilization: (!random_bits.is_multiple_of(2))
                .then_some(base_utilization + (random_bits >> 40) as f64 % 100.0 / 1000.0),
        }
    }
}

pub fn server_number(server: &str) -> u32 {
    server.trim_start_matches('s').parse().unwrap_or(0)
}

/// The host of a policy; shares the simulated network with the run.
#[derive(Clone)]
pub struct LoggingHost(pub Rc<RefCell<SimulatedNetwork>>);

impl Host for LoggingHost {
    fn start_attempt(&mut self, request: &Id, server: &Id, deadline: Duration) {
        let mut network = self.0.borrow_mut();
        network.log_line(format_args!("relay {request} {server} {}", deadline.as_nanos()));
        let next = network.attempts.entry(request.clone()).or_default();
        let number = *next;
        *next += 1;
        let class = network.classes[request];
        let (outcome, latency) = network.attempt_result(class, server, deadline);
        let sent_at = network.now;
        network.last_sent.insert(server.clone(), sent_at);
        if network.random.chance_percent(3) {
            network.schedule(latency / 2, PendingEvent::ResponseStarted(request.clone()));
        }
        let end = PendingEvent::AttemptEnded {
            request: request.clone(),
            number,
            server: server.clone(),
            sent_at,
            outcome,
        };
        network.schedule(latency, end);
    }

    fn reject(&mut self, request: &Id, retry_after: Option<Duration>) {
        let mut network = self.0.borrow_mut();
        let retry_after = retry_after.map_or("-".into(), |duration| duration.as_nanos().to_string());
        network.log_line(format_args!("decline {request} {retry_after}"));
        network.finished.insert(request.clone());
    }

    fn fail(&mut self, request: &Id) {
        let mut network = self.0.borrow_mut();
        network.log_line(format_args!("terminate {request}"));
        network.finished.insert(request.clone());
    }

    fn cancel_attempt(&mut self, request: &Id, attempt: u32) {
        let mut network = self.0.borrow_mut();
        network.log_line(format_args!("cancel {request} {attempt}"));
        let outcome = if network.random.chance_percent(20) { Outcome::NotSent } else { Outcome::Cancelled };
        let ends_at = network.pending.iter().find_map(|(at, event)| match event {
            PendingEvent::AttemptEnded { request: other, number, .. }
                if other == request && *number == attempt =>
            {
                Some(*at)
            }
            _ => None,
        });
        let Some(PendingEvent::AttemptEnded { request, number, server, sent_at, .. }) =
            ends_at.and_then(|at| network.pending.remove(&at))
        else {
            return;
        };
        network.schedule(ms(1), PendingEvent::AttemptEnded { request, number, server, sent_at, outcome });
    }

    fn check_health(&mut self, server: &Id) {
        let mut network = self.0.borrow_mut();
        network.log_line(format_args!("check {server}"));
        let delay = Duration::from_micros(500 + network.random.below(14_000));
        network.schedule(delay, PendingEvent::HealthCheckEnded(server.clone()));
    }

    fn wake_after(&mut self, duration: Duration) {
        self.0.borrow_mut().log_line(format_args!("wake {}", duration.as_nanos()));
    }

    fn poll_discovery(&mut self) {
        let mut network = self.0.borrow_mut();
        network.log_line(format_args!("subscribe"));
        let delay = ms(network.random.below(900));
        network.schedule(delay, PendingEvent::DiscoveryPollEnded);
    }

    fn close_idle_connections(&mut self, server: &Id) {
        self.0.borrow_mut().log_line(format_args!("let go {server}"));
    }

    fn send_to_peers(&mut self, peer: Option<u32>, message: &[u8]) {
        let peer = peer.map_or("all".into(), |peer| peer.to_string());
        let message: Vec<String> = message.iter().map(|byte| format!("{byte:02x}")).collect();
        self.0.borrow_mut().log_line(format_args!("tell {peer} {}", message.concat()));
    }

    fn log(&mut self, event: &Event) {
        match event {
            Event::SlowStartViolated(server) => {
                self.0.borrow_mut().log_line(format_args!("uncredited {server}"));
            }
            Event::Ejected(_) | Event::Returned(_) => {
                self.0.borrow_mut().log_line(format_args!("note {event}"));
            }
        }
    }
}
