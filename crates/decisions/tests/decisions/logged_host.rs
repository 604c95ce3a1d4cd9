//! A host that writes each call of the module as a line, and plays a network and callers by a seed.

use crate::scripted_host::ms;
use landingspread_decisions::host::{Event, Host, Id, LoadReport, Outcome};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

/// SplitMix64.
pub struct Draws(pub u64);

impl Draws {
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

    pub fn of_100(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// What the network still owes the module.
pub enum Due {
    Answer { cmd: Id, number: u32, server: Id, sent: Duration, outcome: Outcome },
    Began(Id),
    Broke(Id, usize),
    Checked(Id),
    Body(Id),
    Left(Id),
    ListAnswer,
}

pub struct World {
    pub now: Duration,
    pub text: String,
    pub draws: Draws,
    pub due: BTreeMap<(Duration, u64), Due>,
    pub count: u64,
    pub verbs: BTreeMap<Id, usize>,
    pub finished: BTreeSet<Id>,
    pub relays: BTreeMap<Id, u32>,
    pub last_sent: BTreeMap<Id, Duration>,
}

impl World {
    pub fn say(&mut self, text: std::fmt::Arguments) {
        writeln!(self.text, "{} {text}", self.now.as_nanos()).expect("a string takes all");
    }

    pub fn later(&mut self, span: Duration, due: Due) {
        self.count += 1;
        self.due.insert((self.now + span, self.count), due);
    }

    pub fn second(&self) -> u64 {
        self.now.as_secs() % 30
    }

    /// How a server ends a command of this verb, and after how long.
    fn answer(&mut self, verb: usize, server: &Id, not_past: Duration) -> (Outcome, Duration) {
        let (number, second) = (number_of(server), self.second());
        let idle = self.last_sent.get(server).map_or(Duration::ZERO, |at| self.now - *at);
        let lasts = not_past.saturating_sub(self.now).max(ms(1));
        let slow = if number == 3 || (6..10).contains(&second) { 4 } else { 1 };
        let took = Duration::from_micros((3000 + self.draws.below(30_000)) * slow * (1 + verb as u64 % 2));
        let failing = (number == 1 && (2..12).contains(&second)) || (number == 2 && verb == 1);
        let outcome = match self.draws.below(200) {
            _ if idle > ms(300) && idle < ms(60_000) && second > 20 => Outcome::Reset,
            _ if number == 5 && (10..16).contains(&second) => Outcome::Timeout,
            _ if number == 6 && (11..14).contains(&second) => Outcome::ConnectFailed,
            draw if failing && draw < 160 => Outcome::Error,
            0..=2 => Outcome::Error,
            3..=4 => Outcome::Overloaded,
            5 => Outcome::Timeout,
            6 => Outcome::ConnectFailed,
            7 => Outcome::Reset,
            8 => Outcome::NotSent,
            _ => Outcome::Ok,
        };
        match outcome {
            Outcome::Timeout => (outcome, lasts),
            Outcome::Ok | Outcome::Error if took > lasts => (Outcome::Timeout, lasts),
            Outcome::Ok | Outcome::Error => (outcome, took),
            _ => (outcome, ms(1 + self.draws.below(4))),
        }
    }

    pub fn load(&mut self) -> LoadReport {
        let draw = self.draws.next();
        let busy = if self.second() >= 16 { 0.9 } else { 0.2 };
        LoadReport {
            queued: (!draw.is_multiple_of(3)).then_some((draw >> 8) as f64 % 5.0),
            in_flight: (!draw.is_multiple_of(5)).then_some((draw >> 20) as f64 % 4.0),
            utilization: (!draw.is_multiple_of(2)).then_some(busy + (draw >> 40) as f64 % 100.0 / 1000.0),
        }
    }
}

pub fn number_of(server: &str) -> u32 {
    server.trim_start_matches('s').parse().unwrap_or(0)
}

#[derive(Clone)]
pub struct Played(pub Rc<RefCell<World>>);

impl Host for Played {
    fn start_attempt(&mut self, cmd: &Id, server: &Id, not_past: Duration) {
        let mut world = self.0.borrow_mut();
        world.say(format_args!("relay {cmd} {server} {}", not_past.as_nanos()));
        let next = world.relays.entry(cmd.clone()).or_default();
        let number = *next;
        *next += 1;
        let verb = world.verbs[cmd];
        let (outcome, took) = world.answer(verb, server, not_past);
        let sent = world.now;
        world.last_sent.insert(server.clone(), sent);
        if world.draws.of_100(3) {
            world.later(took / 2, Due::Began(cmd.clone()));
        }
        let answer = Due::Answer { cmd: cmd.clone(), number, server: server.clone(), sent, outcome };
        world.later(took, answer);
    }

    fn reject(&mut self, cmd: &Id, come_back: Option<Duration>) {
        let mut world = self.0.borrow_mut();
        let come_back = come_back.map_or("-".into(), |span| span.as_nanos().to_string());
        world.say(format_args!("decline {cmd} {come_back}"));
        world.finished.insert(cmd.clone());
    }

    fn fail(&mut self, cmd: &Id) {
        let mut world = self.0.borrow_mut();
        world.say(format_args!("terminate {cmd}"));
        world.finished.insert(cmd.clone());
    }

    fn cancel_attempt(&mut self, cmd: &Id, relay: u32) {
        let mut world = self.0.borrow_mut();
        world.say(format_args!("cancel {cmd} {relay}"));
        let outcome = if world.draws.of_100(20) { Outcome::NotSent } else { Outcome::Cancelled };
        let found = world.due.iter().find_map(|(at, due)| match due {
            Due::Answer { cmd: of, number, .. } if of == cmd && *number == relay => Some(*at),
            _ => None,
        });
        let Some(Due::Answer { cmd, number, server, sent, .. }) = found.and_then(|at| world.due.remove(&at))
        else {
            return;
        };
        world.later(ms(1), Due::Answer { cmd, number, server, sent, outcome });
    }

    fn check_health(&mut self, server: &Id) {
        let mut world = self.0.borrow_mut();
        world.say(format_args!("check {server}"));
        let span = Duration::from_micros(500 + world.draws.below(14_000));
        world.later(span, Due::Checked(server.clone()));
    }

    fn wake_after(&mut self, span: Duration) {
        self.0.borrow_mut().say(format_args!("wake {}", span.as_nanos()));
    }

    fn poll_discovery(&mut self) {
        let mut world = self.0.borrow_mut();
        world.say(format_args!("subscribe"));
        let span = ms(world.draws.below(900));
        world.later(span, Due::ListAnswer);
    }

    fn close_idle_connections(&mut self, server: &Id) {
        self.0.borrow_mut().say(format_args!("let go {server}"));
    }

    fn send_to_peers(&mut self, peer: Option<u32>, words: &[u8]) {
        let peer = peer.map_or("all".into(), |peer| peer.to_string());
        let words: Vec<String> = words.iter().map(|byte| format!("{byte:02x}")).collect();
        self.0.borrow_mut().say(format_args!("tell {peer} {}", words.concat()));
    }

    fn log(&mut self, event: &Event) {
        match event {
            Event::SlowStartViolated(server) => self.0.borrow_mut().say(format_args!("uncredited {server}")),
            Event::Ejected(_) | Event::Returned(_) => {
                self.0.borrow_mut().say(format_args!("note {event}"));
            }
        }
    }
}
