//! What the stand-ins saw, put together: which command began where and when, and how it ended. On sockets it is
//! the referee of the rules that can be seen from outside.

use crate::plan::RetrySafety;
use crate::referee::Breach;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const TOLD_MOST: usize = 100;
/// Commands remembered; the oldest give way.
const REMEMBERED_MOST: usize = 500_000;

#[derive(Default)]
struct Books {
    /// By command: the servers that began it.
    ran: BTreeMap<String, Vec<String>>,
    declined: BTreeMap<String, RetrySafety>,
    breaches: Vec<Breach>,
    counts: [u64; 4],
}

pub struct RuleChecker {
    began: Instant,
    books: Mutex<Books>,
}

impl RuleChecker {
    pub fn new(began: Instant) -> RuleChecker {
        RuleChecker { began, books: Mutex::default() }
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn with<T>(&self, what: impl FnOnce(&mut Books, f64) -> T) -> T {
        let at = self.began.elapsed().as_secs_f64();
        // A thread that panicked has left whole entries behind.
        let mut books = self.books.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        what(&mut books, at)
    }

    /// A server begins a command: a second effect is a breach of rule 2, and so is one after a decline.
    pub fn attempt_started(&self, cmd: &str, server: &str, repeats: RetrySafety) {
        if cmd.is_empty() || repeats == RetrySafety::Idempotent {
            return;
        }
        self.with(|books, at| {
            if books.ran.len() >= REMEMBERED_MOST {
                books.ran.pop_first();
            }
            let ran = books.ran.entry(cmd.to_string()).or_default();
            ran.push(server.to_string());
            let twice = repeats == RetrySafety::NonIdempotent && ran.len() > 1;
            let declined = repeats == RetrySafety::NonIdempotent && books.declined.contains_key(cmd);
            if twice || declined {
                let what = if twice { "a second effect" } else { "an effect of what was declined" };
                books.breach(2, at, cmd, Some(server), what);
            }
        });
    }

    pub fn request_declined(&self, cmd: &str, repeats: RetrySafety) {
        self.with(|books, at| {
            if repeats == RetrySafety::NonIdempotent && books.ran.contains_key(cmd) {
                books.breach(2, at, cmd, None, "a decline of what has run");
            }
            if repeats == RetrySafety::NonIdempotent {
                if books.declined.len() >= REMEMBERED_MOST {
                    books.declined.pop_first();
                }
                books.declined.insert(cmd.to_string(), repeats);
            }
        });
    }

    /// No final answer within the time limit and its slack.
    pub fn missing_response(&self, cmd: &str, what: &str) {
        self.with(|books, at| books.breach(1, at, cmd, None, what));
    }

    /// A server that drains got a new command after the grace.
    pub fn attempt_after_grace(&self, cmd: &str, server: &str, late: Duration) {
        let what = format!("a relay {:.3} s after the list was told", late.as_secs_f64());
        self.with(|books, at| books.breach(3, at, cmd, Some(server), &what));
    }

    /// A cold server was brought more than it can stand.
    pub fn cold_server_overloaded(&self, server: &str, offered: f64, able: f64) {
        let what = format!("{offered:.2} s of work brought to a cold server that can do {able:.2} s of it");
        self.with(|books, at| books.breach(4, at, "", Some(server), &what));
    }

    pub fn results(&self) -> (Vec<Breach>, [u64; 4]) {
        self.with(|books, _| (books.breaches.clone(), books.counts))
    }
}

impl Books {
    fn breach(&mut self, rule: u8, at: f64, cmd: &str, server: Option<&str>, what: &str) {
        self.counts[usize::from(rule) - 1] += 1;
        if self.breaches.len() < TOLD_MOST {
            let server = server.map(str::to_string);
            let what = format!("{what} ({cmd})");
            self.breaches.push(Breach { rule, at, request: None, server, replica: None, description: what });
        }
    }
}
