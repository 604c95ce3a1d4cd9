//! The four rules, checked at every step of a run. It hears plain facts from the world, decides nothing and
//! changes nothing; a breach names the command, the server, the copy and the moment.

use crate::plan::{RetrySafety, Rules, to_duration};
use landingspread_decisions::host::Outcome;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// Breaches told one by one; past that they are only counted.
const TOLD_MOST: usize = 100;

#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Breach {
    pub rule: u8,
    /// Seconds since the start.
    pub at: f64,
    #[serde(rename = "cmd")]
    pub request: Option<u64>,
    pub server: Option<String>,
    #[serde(rename = "copy")]
    pub replica: Option<usize>,
    #[serde(rename = "what")]
    pub description: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {} at {:.3} s: {}", self.rule, self.at, self.description)?;
        if let Some(cmd) = self.request {
            write!(f, "; command c{cmd}")?;
        }
        if let Some(server) = &self.server {
            write!(f, "; server {server}")?;
        }
        match self.replica {
            Some(copy) => write!(f, "; copy {copy}"),
            None => Ok(()),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalOutcome {
    Answered,
    Declined,
    Terminated,
    /// The client went away.
    Left,
    /// Its copy died: no decision of the copy's.
    Lost,
}

/// Where a relay went, as the rules see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    pub server: usize,
    pub zone: u32,
    pub cell: u32,
}

/// An earlier relay of the same command, as its copy knows it by now.
#[derive(Clone, Copy, Debug)]
pub struct PriorAttempt {
    pub location: Location,
    pub sent: Duration,
    pub outcome: Option<Outcome>,
}

impl PriorAttempt {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// A command as the rules see it.
pub struct RequestFacts<'a> {
    pub request: u64,
    pub replica: usize,
    pub retry_safety: RetrySafety,
    pub dedup_window: Duration,
    pub deadline: Duration,
    pub final_outcome: Option<FinalOutcome>,
    pub prior_attempts: &'a [PriorAttempt],
}

pub struct Referee {
    grace: Duration,
    slack: Duration,
    parallel: bool,
    pub breaches: Vec<Breach>,
    /// By rule, the first at place 0.
    pub counts: [u64; 4],
}

impl Referee {
    pub fn new(rules: &Rules) -> Referee {
        let (grace, slack) = (to_duration(rules.removal_grace), to_duration(rules.deadline_slack));
        Referee { grace, slack, parallel: rules.hedging, breaches: Vec::new(), counts: [0; 4] }
    }

    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    fn breach(
        &mut self,
        rule: u8,
        now: Duration,
        facts: Option<&RequestFacts>,
        server: Option<&str>,
        what: &str,
    ) {
        self.counts[usize::from(rule) - 1] += 1;
        if self.breaches.len() < TOLD_MOST {
            self.breaches.push(Breach {
                rule,
                at: now.as_secs_f64(),
                request: facts.map(|facts| facts.request),
                server: server.map(str::to_string),
                replica: facts.map(|facts| facts.replica),
                description: what.to_string(),
            });
        }
    }

    /// A copy asks for a relay. `off` is since when it knows that the server drains or is gone.
    pub fn attempt_started(
        &mut self,
        now: Duration,
        facts: &RequestFacts,
        to: Location,
        name: &str,
        off: Option<Duration>,
    ) {
        if facts.final_outcome.is_some() {
            self.breach(1, now, Some(facts), Some(name), "a relay after the final answer");
        }
        if let Some(since) = off.filter(|since| now > *since + self.grace) {
            let what = format!("a relay {:.3} s after the copy was told", (now - since).as_secs_f64());
            self.breach(3, now, Some(facts), Some(name), &what);
        }
        for earlier in facts.prior_attempts.iter().filter(|earlier| earlier.may_have_run()) {
            if earlier.outcome.is_none() && !self.parallel {
                self.breach(2, now, Some(facts), Some(name), "a relay beside one that is still out");
            } else if !repeat_is_dropped(facts, earlier, to, now) {
                self.breach(2, now, Some(facts), Some(name), "a relay of what may have run");
            }
        }
    }

    pub fn request_finished(&mut self, now: Duration, facts: &RequestFacts, word: FinalOutcome) {
        if let Some(first) = facts.final_outcome {
            let what = format!("a second final answer, {word:?} after {first:?}");
            self.breach(1, now, Some(facts), None, &what);
        }
        if matches!(word, FinalOutcome::Answered | FinalOutcome::Declined | FinalOutcome::Terminated)
            && now > facts.deadline + self.slack
        {
            self.breach(1, now, Some(facts), None, "a final answer past the time limit");
        }
        let harmless = matches!(facts.retry_safety, RetrySafety::Idempotent | RetrySafety::KeyedEverywhere);
        if word == FinalOutcome::Declined
            && !harmless
            && facts.prior_attempts.iter().any(PriorAttempt::may_have_run)
        {
            self.breach(2, now, Some(facts), None, "a decline of what may have run");
        }
    }

    /// The time limit and the slack are over.
    pub fn deadline_passed(&mut self, now: Duration, facts: &RequestFacts) {
        if facts.final_outcome.is_none() {
            self.breach(1, now, Some(facts), None, "no final answer in time");
        }
    }

    /// A server begins to work on a command that something has run before, and drops no repeat of it.
    pub fn duplicate_effect(&mut self, now: Duration, facts: &RequestFacts, name: &str) {
        self.breach(2, now, Some(facts), Some(name), "a second effect");
    }

    pub fn cold_server_overloaded(&mut self, now: Duration, name: &str, offered: f64, able: f64) {
        let what = format!("a cold server is brought {offered:.2} s of work where it can do {able:.2} s");
        self.breach(4, now, None, Some(name), &what);
    }
}

fn repeat_is_dropped(facts: &RequestFacts, earlier: &PriorAttempt, to: Location, now: Duration) -> bool {
    let within = match facts.retry_safety {
        RetrySafety::Idempotent => return true,
        RetrySafety::NonIdempotent => return false,
        RetrySafety::KeyedEverywhere => true,
        RetrySafety::KeyedInZone => earlier.location.zone == to.zone,
        RetrySafety::KeyedInCell => earlier.location.zone == to.zone && earlier.location.cell == to.cell,
    };
    within && now <= earlier.sent + facts.dedup_window
}
