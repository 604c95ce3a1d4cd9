//! The four rules, checked at every step of a run. It hears plain facts from the world, decides nothing and
//! changes nothing; a breach names the command, the server, the copy and the moment.

use crate::plan::{Repeats, Rules, span};
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
    pub cmd: Option<u64>,
    pub server: Option<String>,
    pub copy: Option<usize>,
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {} at {:.3} s: {}", self.rule, self.at, self.what)?;
        if let Some(cmd) = self.cmd {
            write!(f, "; command c{cmd}")?;
        }
        if let Some(server) = &self.server {
            write!(f, "; server {server}")?;
        }
        match self.copy {
            Some(copy) => write!(f, "; copy {copy}"),
            None => Ok(()),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Final {
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
pub struct Place {
    pub server: usize,
    pub zone: u32,
    pub cell: u32,
}

/// An earlier relay of the same command, as its copy knows it by now.
#[derive(Clone, Copy, Debug)]
pub struct Earlier {
    pub place: Place,
    pub sent: Duration,
    pub outcome: Option<Outcome>,
}

impl Earlier {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// A command as the rules see it.
pub struct Facts<'a> {
    pub cmd: u64,
    pub copy: usize,
    pub repeats: Repeats,
    pub memory: Duration,
    pub due: Duration,
    pub finished: Option<Final>,
    pub earlier: &'a [Earlier],
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
        let (grace, slack) = (span(rules.grace), span(rules.slack));
        Referee { grace, slack, parallel: rules.parallel, breaches: Vec::new(), counts: [0; 4] }
    }

    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    fn breach(&mut self, rule: u8, now: Duration, facts: Option<&Facts>, server: Option<&str>, what: &str) {
        self.counts[usize::from(rule) - 1] += 1;
        if self.breaches.len() < TOLD_MOST {
            self.breaches.push(Breach {
                rule,
                at: now.as_secs_f64(),
                cmd: facts.map(|facts| facts.cmd),
                server: server.map(str::to_string),
                copy: facts.map(|facts| facts.copy),
                what: what.to_string(),
            });
        }
    }

    /// A copy asks for a relay. `off` is since when it knows that the server drains or is gone.
    pub fn relay(&mut self, now: Duration, facts: &Facts, to: Place, name: &str, off: Option<Duration>) {
        if facts.finished.is_some() {
            self.breach(1, now, Some(facts), Some(name), "a relay after the final answer");
        }
        if let Some(since) = off.filter(|since| now > *since + self.grace) {
            let what = format!("a relay {:.3} s after the copy was told", (now - since).as_secs_f64());
            self.breach(3, now, Some(facts), Some(name), &what);
        }
        for earlier in facts.earlier.iter().filter(|earlier| earlier.may_have_run()) {
            if earlier.outcome.is_none() && !self.parallel {
                self.breach(2, now, Some(facts), Some(name), "a relay beside one that is still out");
            } else if !repeat_is_dropped(facts, earlier, to, now) {
                self.breach(2, now, Some(facts), Some(name), "a relay of what may have run");
            }
        }
    }

    pub fn final_word(&mut self, now: Duration, facts: &Facts, word: Final) {
        if let Some(first) = facts.finished {
            let what = format!("a second final answer, {word:?} after {first:?}");
            self.breach(1, now, Some(facts), None, &what);
        }
        if matches!(word, Final::Answered | Final::Declined | Final::Terminated)
            && now > facts.due + self.slack
        {
            self.breach(1, now, Some(facts), None, "a final answer past the time limit");
        }
        let harmless = matches!(facts.repeats, Repeats::Pure | Repeats::ReceiptedAll);
        if word == Final::Declined && !harmless && facts.earlier.iter().any(Earlier::may_have_run) {
            self.breach(2, now, Some(facts), None, "a decline of what may have run");
        }
    }

    /// The time limit and the slack are over.
    pub fn due(&mut self, now: Duration, facts: &Facts) {
        if facts.finished.is_none() {
            self.breach(1, now, Some(facts), None, "no final answer in time");
        }
    }

    /// A server begins to work on a command that something has run before, and drops no repeat of it.
    pub fn second_effect(&mut self, now: Duration, facts: &Facts, name: &str) {
        self.breach(2, now, Some(facts), Some(name), "a second effect");
    }

    pub fn pushed_over(&mut self, now: Duration, name: &str, offered: f64, able: f64) {
        let what = format!("a cold server is brought {offered:.2} s of work where it can do {able:.2} s");
        self.breach(4, now, None, Some(name), &what);
    }
}

fn repeat_is_dropped(facts: &Facts, earlier: &Earlier, to: Place, now: Duration) -> bool {
    let within = match facts.repeats {
        Repeats::Pure => return true,
        Repeats::Effectful => return false,
        Repeats::ReceiptedAll => true,
        Repeats::ReceiptedZone => earlier.place.zone == to.zone,
        Repeats::ReceiptedCell => earlier.place.zone == to.zone && earlier.place.cell == to.cell,
    };
    within && now <= earlier.sent + facts.memory
}
