//! What is open, and what was seen of each verb: plain records. Nothing is decided here.

use crate::fleet::Slot;
use crate::host::Id;
use crate::stats::{Histogram, Rate};
use std::collections::VecDeque;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Out,
    MayHaveRun,
    NeverRan,
}

#[derive(Debug)]
pub struct Relay {
    pub server: Id,
    pub slot: Slot,
    pub zone: u32,
    pub cell: u32,
    pub sent: Duration,
    pub fate: Fate,
    pub overdue: bool,
    /// For how long this copy had been silent towards the server.
    pub idle: Duration,
    /// What the server was said to hold when it was sent.
    pub ahead: Option<f64>,
}

#[derive(Debug, Default)]
pub struct Cmd {
    pub verb: usize,
    /// Past this an answer earns nothing.
    pub good_until: Duration,
    /// The work it is said to take, against the usual of its verb.
    pub size: f64,
    /// The servers that it chooses among, those of them whose checks are out, and how long it waits for them.
    pub among: Vec<Slot>,
    pub looks: Vec<Slot>,
    pub look_until: Duration,
    pub rounds: u32,
    pub relays: Vec<Relay>,
    pub finished: bool,
    pub streaming: bool,
    pub beyond: bool,
}

impl Cmd {
    pub fn out(&self) -> usize {
        self.relays.iter().filter(|relay| relay.fate == Fate::Out).count()
    }

    pub fn may_have_run(&self) -> bool {
        self.relays.iter().any(|relay| relay.fate != Fate::NeverRan)
    }
}

#[derive(Clone, Debug, Default)]
pub struct VerbRecord {
    pub latency: Histogram,
    /// The mean time to an answer when things went best, forgotten slowly.
    pub calm: Option<f64>,
    /// The work that its commands are usually said to take.
    pub cost: Option<f64>,
    pub asked: Rate,
    pub answered: Rate,
    /// Relays by the time they were sent, with their command and number, until they are over or overdue.
    pub watched: VecDeque<(Duration, Id, u32)>,
}

#[derive(Debug, Default)]
pub struct Asking {
    /// When to call next; `None` while a call is out or the subscription stands.
    pub next: Option<Duration>,
    pub failures: u32,
}
