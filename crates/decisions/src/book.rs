//! What is open, and what was seen of each verb: plain records. Nothing is decided here.

use crate::fleet::{Server, Slot};
use crate::host::Id;
use crate::peer_messages::{IgnoredMessages, Words};
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
    /// A part of it is still to come.
    pub coming: bool,
    /// What was sent of it cannot be sent again.
    pub spent: bool,
    pub beyond: bool,
}

impl Cmd {
    pub fn out(&self) -> usize {
        self.relays.iter().filter(|relay| relay.fate == Fate::Out).count()
    }

    /// It has been relayed there already.
    pub fn met(&self, server: &Id) -> bool {
        self.relays.iter().any(|relay| relay.server == *server)
    }

    /// Its last byte has come: its verb, and where its relay is out and the number of that.
    pub fn body_came(
        &mut self,
        now: Duration,
        good_until: impl Fn(usize) -> Duration,
    ) -> Option<(usize, Slot, u32)> {
        if !std::mem::take(&mut self.coming) {
            return None;
        }
        self.good_until = good_until(self.verb);
        let (number, relay) = (0..).zip(&mut self.relays).find(|(_, relay)| relay.fate == Fate::Out)?;
        relay.sent = now;
        Some((self.verb, relay.slot, number))
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
    /// How many in a row discovery itself refused.
    pub refusals: u32,
    /// When the last call began: where a list came it is followed by another at once.
    pub began: Duration,
}

impl Asking {
    pub fn anew(began: Duration) -> Asking {
        Asking { began, ..Asking::default() }
    }
}

/// What ends within this span is a jump when it is so many times the usual.
pub const LATELY: f64 = 0.25;
const JUMP: f64 = 2.0;
const JUMP_SEEN: f64 = 8.0;

/// What a copy has seen and heard that belongs to no one server or verb.
#[derive(Debug, Default)]
pub struct Seen {
    /// Answers' times as multiples of the calm mean of their verb.
    pub strain: Histogram,
    /// Seconds to an answer for each command that the server held, this one with them.
    pub turn: Histogram,
    pub tenants: Vec<Rate>,
    pub sent: Rate,
    pub ended: Rate,
    pub lately: Rate,
    pub words: Words,
    pub unheard: IgnoredMessages,
    /// What may still be told, in whole messages delivered.
    pub spare_words: f64,
    /// Idle connections that broke of late, and the shortest time that one had been idle.
    pub breaks: Rate,
    pub break_after: Duration,
    /// What the usual copy is asked in a second, by its peers' words.
    pub usual_traffic: Option<f64>,
}

impl Seen {
    /// Places that come free in a second. After a lull what has ended is too little; before anything has, `at_first`
    /// stands for all places coming free within what a newcomer would wait.
    pub fn turnover(&self, now: Duration, at_first: Option<f64>) -> f64 {
        let (usual, lately) = (self.ended.per_s(now), self.lately.per_s(now));
        if let Some(at_first) = at_first.filter(|_| usual == 0.0) {
            return at_first;
        }
        let jumps = lately > JUMP * usual && self.lately.count(now) >= JUMP_SEEN;
        if jumps { lately } else { usual }.max(1.0)
    }
}

impl Relay {
    pub fn new(to: &Server, slot: Slot, sent: Duration, idle: Duration, ahead: Option<f64>) -> Relay {
        let (server, zone, cell, fate) = (to.id.clone(), to.zone, to.cell, Fate::Out);
        Relay { server, slot, zone, cell, sent, fate, overdue: false, idle, ahead }
    }
}

impl VerbRecord {
    /// Of the commands asked lately, those answered in time.
    pub fn answered_share(&self, now: Duration) -> f64 {
        self.answered.count(now) / self.asked.count(now).max(1.0)
    }

    /// A command's work against the usual of its verb; one where nothing is said of it.
    pub fn size_of(&mut self, cost: Option<Duration>) -> f64 {
        let Some(cost) = cost.map(|cost| cost.as_secs_f64()) else { return 1.0 };
        let usual = self.cost.map_or(cost, |usual| usual + 0.05 * (cost - usual));
        self.cost = Some(usual);
        (cost / usual.max(1e-6)).clamp(0.1, 20.0)
    }

    /// Takes in an answer's time: how it stands against the mean of calm times, once that is known.
    pub fn strain_of(&mut self, took: f64) -> Option<f64> {
        self.latency.add(took, Histogram::FULL);
        let mean = self.latency.mean().filter(|_| self.latency.total >= 100)?;
        let calm = self.calm.map_or(mean, |calm| (calm * 1.0005).min(mean));
        self.calm = Some(calm);
        Some((took / calm).min(4.0))
    }
}
