//! Checks the four rules at each step of a run, without influence on it: (1) each request has one final answer, in
//! time, and no attempt after it; (2) no unsafe retry, duplicate effect or rejection of what may have run; (3) no
//! attempt at a server that is known to drain or to be removed; (4) no overload of a cold server. A breach names the
//! request, server, replica and time.

use crate::plan::{RetrySafety, Rules, to_duration};
use landingspread_decisions::host::Outcome;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// Bound on recorded breaches; further ones are only counted.
const MAX_RECORDED_BREACHES: usize = 100;

/// One breach of a rule.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Breach {
    /// Number of the rule, from 1 to 4.
    pub rule: u8,
    /// Seconds since the start.
    pub at: f64,
    /// Number of the request, if the breach concerns one.
    #[serde(rename = "cmd")]
    pub request: Option<u64>,
    /// Name of the server, if the breach concerns one.
    pub server: Option<String>,
    /// Number of the replica, if the breach concerns one.
    #[serde(rename = "copy")]
    pub replica: Option<usize>,
    /// Description of the breach for logs and reports.
    #[serde(rename = "what")]
    pub description: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {} at {:.3} s: {}", self.rule, self.at, self.description)?;
        if let Some(request) = self.request {
            write!(f, "; command c{request}")?;
        }
        if let Some(server) = &self.server {
            write!(f, "; server {server}")?;
        }
        match self.replica {
            Some(replica) => write!(f, "; copy {replica}"),
            None => Ok(()),
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalOutcome {
    /// A server answered the request.
    Answered,
    /// The replica rejected the request, which tells the client that a retry is safe.
    Declined,
    /// The replica gave the request up with an error that does not say whether a retry is safe.
    Terminated,
    /// The client disconnected before a final answer.
    Left,
    /// The process of the request's replica ended, or the request had no final answer by its deadline.
    Lost,
}

/// The server of an attempt with its zone and cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Number of the server.
    pub server: usize,
    /// Index of its zone.
    pub zone: u32,
    /// Index of its cell.
    pub cell: u32,
}

/// An earlier attempt of the same request, as its replica knows it.
#[derive(Clone, Copy, Debug)]
pub struct PriorAttempt {
    /// Server of the attempt with its zone and cell.
    pub location: Location,
    /// Time of the send, since the start.
    pub sent_at: Duration,
    /// Outcome of the attempt; `None` while it is open.
    pub outcome: Option<Outcome>,
}

impl PriorAttempt {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// The facts of a request that the rules refer to.
pub struct RequestFacts<'a> {
    /// Number of the request.
    pub request: u64,
    /// Number of the replica that handles it.
    pub replica: usize,
    /// Whether the request may run more than once.
    pub retry_safety: RetrySafety,
    /// Time during which servers of the deduplication scope drop repeats.
    pub dedup_window: Duration,
    /// Time by which a final answer is due, since the start.
    pub deadline: Duration,
    /// The final outcome; `None` while the request is open.
    pub final_outcome: Option<FinalOutcome>,
    /// Earlier attempts, in the order of their sends.
    pub prior_attempts: &'a [PriorAttempt],
}

/// The checker of one run and the breaches that it found.
pub struct Referee {
    removal_grace: Duration,
    deadline_slack: Duration,
    hedging: bool,
    /// The first breaches, at most `MAX_RECORDED_BREACHES`.
    pub breaches: Vec<Breach>,
    /// Count of breaches by rule, with rule 1 at index 0.
    pub counts: [u64; 4],
}

impl Referee {
    /// Creates a checker with the tolerances of the rules.
    pub fn new(rules: &Rules) -> Referee {
        let (removal_grace, deadline_slack) =
            (to_duration(rules.removal_grace), to_duration(rules.deadline_slack));
        Referee {
            removal_grace,
            deadline_slack,
            hedging: rules.hedging,
            breaches: Vec::new(),
            counts: [0; 4],
        }
    }

    /// Count of breaches of all rules.
    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    fn record_breach(
        &mut self,
        rule: u8,
        now: Duration,
        request: Option<&RequestFacts>,
        server: Option<&str>,
        description: &str,
    ) {
        self.counts[usize::from(rule) - 1] += 1;
        if self.breaches.len() < MAX_RECORDED_BREACHES {
            self.breaches.push(Breach {
                rule,
                at: now.as_secs_f64(),
                request: request.map(|request| request.request),
                server: server.map(str::to_string),
                replica: request.map(|request| request.replica),
                description: description.to_string(),
            });
        }
    }

    /// Checks rules 1 to 3 for a new attempt. `unavailable_since` is the time since which the replica knows that the
    /// server drains or is removed.
    pub fn attempt_started(
        &mut self,
        now: Duration,
        request: &RequestFacts,
        to: Location,
        name: &str,
        unavailable_since: Option<Duration>,
    ) {
        if request.final_outcome.is_some() {
            self.record_breach(1, now, Some(request), Some(name), "a relay after the final answer");
        }
        if let Some(since) = unavailable_since.filter(|since| now > *since + self.removal_grace) {
            let description = format!("a relay {:.3} s after the copy was told", (now - since).as_secs_f64());
            self.record_breach(3, now, Some(request), Some(name), &description);
        }
        for prior in request.prior_attempts.iter().filter(|prior| prior.may_have_run()) {
            if prior.outcome.is_none() && !self.hedging {
                self.record_breach(2, now, Some(request), Some(name), "a relay beside one that is still out");
            } else if !repeat_is_deduplicated(request, prior, to, now) {
                self.record_breach(2, now, Some(request), Some(name), "a relay of what may have run");
            }
        }
    }

    /// Checks rules 1 and 2 for a final outcome.
    pub fn request_finished(&mut self, now: Duration, request: &RequestFacts, final_outcome: FinalOutcome) {
        if let Some(earlier_outcome) = request.final_outcome {
            let description = format!("a second final answer, {final_outcome:?} after {earlier_outcome:?}");
            self.record_breach(1, now, Some(request), None, &description);
        }
        if matches!(final_outcome, FinalOutcome::Answered | FinalOutcome::Declined | FinalOutcome::Terminated)
            && now > request.deadline + self.deadline_slack
        {
            self.record_breach(1, now, Some(request), None, "a final answer past the time limit");
        }
        let safe_to_repeat =
            matches!(request.retry_safety, RetrySafety::Idempotent | RetrySafety::KeyedEverywhere);
        if final_outcome == FinalOutcome::Declined
            && !safe_to_repeat
            && request.prior_attempts.iter().any(PriorAttempt::may_have_run)
        {
            self.record_breach(2, now, Some(request), None, "a decline of what may have run");
        }
    }

    /// Checks rule 1 after the time limit and the slack have passed.
    pub fn deadline_passed(&mut self, now: Duration, request: &RequestFacts) {
        if request.final_outcome.is_none() {
            self.record_breach(1, now, Some(request), None, "no final answer in time");
        }
    }

    /// Records a breach of rule 2: a server executes a request that was executed before and is not deduplicated there.
    pub fn duplicate_effect(&mut self, now: Duration, request: &RequestFacts, name: &str) {
        self.record_breach(2, now, Some(request), Some(name), "a second effect");
    }

    /// Records a breach of rule 4. `offered` and `capacity` are seconds of work within the overload window.
    pub fn cold_server_overloaded(&mut self, now: Duration, name: &str, offered: f64, capacity: f64) {
        let description =
            format!("a cold server is brought {offered:.2} s of work where it can do {capacity:.2} s");
        self.record_breach(4, now, None, Some(name), &description);
    }
}

fn repeat_is_deduplicated(request: &RequestFacts, prior: &PriorAttempt, to: Location, now: Duration) -> bool {
    let in_scope = match request.retry_safety {
        RetrySafety::Idempotent => return true,
        RetrySafety::NonIdempotent => return false,
        RetrySafety::KeyedEverywhere => true,
        RetrySafety::KeyedInZone => prior.location.zone == to.zone,
        RetrySafety::KeyedInCell => prior.location.zone == to.zone && prior.location.cell == to.cell,
    };
    in_scope && now <= prior.sent_at + request.dedup_window
}
