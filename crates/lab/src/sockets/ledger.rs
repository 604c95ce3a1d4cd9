//! Checks the rules that are visible from outside the sidecars, by what the test servers and clients see: which server
//! started which request, and how the request ended.

use crate::plan::RetrySafety;
use crate::referee::Breach;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const MAX_REPORTED_BREACHES: usize = 100;
/// Limit of remembered requests; past it, the one with the first id in string order is dropped for each new one.
const MAX_REMEMBERED_REQUESTS: usize = 500_000;

#[derive(Default)]
struct Observations {
    /// By request id: the servers that started the request.
    servers_by_request: BTreeMap<String, Vec<String>>,
    declined: BTreeMap<String, RetrySafety>,
    breaches: Vec<Breach>,
    /// Number of breaches of rules 1 to 4.
    counts: [u64; 4],
}

/// Shared by all test servers and clients of a run; any thread reports to it.
pub struct RuleChecker {
    start: Instant,
    observations: Mutex<Observations>,
}

impl RuleChecker {
    /// Creates a checker whose times count from `start`.
    pub fn new(start: Instant) -> RuleChecker {
        RuleChecker { start, observations: Mutex::default() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn with_observations<T>(&self, update: impl FnOnce(&mut Observations, f64) -> T) -> T {
        let at = self.start.elapsed().as_secs_f64();
        // A thread that panics leaves no entry incomplete.
        let mut observations = self.observations.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        update(&mut observations, at)
    }

    /// A server starts a request. It breaks rule 2 if a non-idempotent request has run before or has been declined.
    pub fn attempt_started(&self, request_id: &str, server: &str, retry_safety: RetrySafety) {
        if request_id.is_empty() || retry_safety == RetrySafety::Idempotent {
            return;
        }
        self.with_observations(|observations, at| {
            if observations.servers_by_request.len() >= MAX_REMEMBERED_REQUESTS {
                observations.servers_by_request.pop_first();
            }
            let servers = observations.servers_by_request.entry(request_id.to_string()).or_default();
            servers.push(server.to_string());
            let second_effect = retry_safety == RetrySafety::NonIdempotent && servers.len() > 1;
            let declined =
                retry_safety == RetrySafety::NonIdempotent && observations.declined.contains_key(request_id);
            if second_effect || declined {
                let what = if second_effect { "a second effect" } else { "an effect after it was declined" };
                observations.breach(2, at, request_id, Some(server), what);
            }
        });
    }

    /// A client's request was declined. It breaks rule 2 if the request is non-idempotent and has run.
    pub fn request_declined(&self, request_id: &str, retry_safety: RetrySafety) {
        self.with_observations(|observations, at| {
            if retry_safety == RetrySafety::NonIdempotent
                && observations.servers_by_request.contains_key(request_id)
            {
                observations.breach(2, at, request_id, None, "declined after it has run");
            }
            if retry_safety == RetrySafety::NonIdempotent {
                if observations.declined.len() >= MAX_REMEMBERED_REQUESTS {
                    observations.declined.pop_first();
                }
                observations.declined.insert(request_id.to_string(), retry_safety);
            }
        });
    }

    /// A client got no final response within the time limit and its grace, which breaks rule 1.
    pub fn missing_response(&self, request_id: &str, what: &str) {
        self.with_observations(|observations, at| observations.breach(1, at, request_id, None, what));
    }

    /// A draining server got a new request `late` after the list said so, past the grace, which breaks rule 3.
    pub fn attempt_after_grace(&self, request_id: &str, server: &str, late: Duration) {
        let what = format!("an attempt {:.3} s after the server was listed as draining", late.as_secs_f64());
        self.with_observations(|observations, at| {
            observations.breach(3, at, request_id, Some(server), &what);
        });
    }

    /// A cold server was overloaded, which breaks rule 4. `offered` is the work that it was sent and `able` the work
    /// that it can do, both in seconds of a core.
    pub fn cold_server_overloaded(&self, server: &str, offered: f64, able: f64) {
        let what = format!("{offered:.2} s of work sent to a cold server that can do {able:.2} s of it");
        self.with_observations(|observations, at| observations.breach(4, at, "", Some(server), &what));
    }

    /// The first breaches, up to the limit, and the number of breaches of rules 1 to 4.
    pub fn results(&self) -> (Vec<Breach>, [u64; 4]) {
        self.with_observations(|observations, _| (observations.breaches.clone(), observations.counts))
    }
}

impl Observations {
    fn breach(&mut self, rule: u8, at: f64, request_id: &str, server: Option<&str>, what: &str) {
        self.counts[usize::from(rule) - 1] += 1;
        if self.breaches.len() < MAX_REPORTED_BREACHES {
            let server = server.map(str::to_string);
            let what = format!("{what} ({request_id})");
            self.breaches.push(Breach { rule, at, request: None, server, replica: None, description: what });
        }
    }
}
