//! A fleet's membership in virtual time: the program's own protocol, with the plan's faults on every path. It owns the
//! order of what happens; the same plan and seed give the same run. What stands on a copy's clock, its processor time and
//! its sockets is reckoned here: a copy that stands still hears what came meanwhile, up to a socket's room, when it wakes.

use super::plan::{Fault, FleetPlan, Kind};
use super::views::{Allowed, Figures, Judge, Look, Set, Truth};
use super::weather::{Party, Weather};
use landingspread_membership::{Address, Budget, FleetSize, Host, Member, MemberConfig, Membership};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// The way from copy to copy: the least, and as much again by chance.
const WAY: Duration = Duration::from_micros(250);
/// What a socket holds for a copy that does not read.
const SOCKET_MOST: u32 = 400;
const TICK: Duration = Duration::from_millis(50);
/// A starved copy runs for the first part of each turn.
const STARVED_RUNS: Duration = Duration::from_millis(10);
const STARVED_TURN: Duration = Duration::from_millis(100);
/// The time of day at the start, in milliseconds.
const BEGAN: u64 = 1_800_000_000_000;
const PORT: u16 = 7000;

/// What a copy's membership sends, and what it told.
#[derive(Default)]
struct Post {
    out: Vec<(Address, Vec<u8>)>,
    died: u64,
    suspected: u64,
}

impl Host for Post {
    fn send(&mut self, to: Address, bytes: &[u8]) {
        self.out.push((to, bytes.to_vec()));
    }

    fn died(&mut self, _: &Member, _: bool) {
        self.died += 1;
    }

    fn suspected(&mut self, _: &Member) {
        self.suspected += 1;
    }
}

enum What {
    Tick(usize, u32),
    Came(usize, Rc<[u8]>),
    Begin(usize),
    End(usize),
    Start(usize),
    Look,
}

struct Entry {
    at: Duration,
    number: u64,
    what: What,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.number == other.number
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

struct Copy {
    membership: Option<Membership<Post>>,
    /// Which of its processes runs: what was meant for one before is lost.
    life: u32,
    still_until: Duration,
    starved: bool,
    waiting: u32,
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Played {
    pub figures: Figures,
    /// Datagrams and bytes that a copy sent, a second, on average over the run and over its busiest second.
    pub datagrams: f64,
    pub bytes: f64,
    pub datagrams_most: f64,
    pub bytes_most: f64,
    pub suspicions: u64,
    /// What each copy hands to its decisions at the end.
    pub counted: Vec<Option<FleetSize>>,
    pub steps: u64,
}

/// How a run departs from the plan.
#[derive(Clone, Copy, Debug)]
pub struct Ways {
    pub seed: u64,
    /// Copies start within so many seconds.
    pub start_within: f64,
    /// How often views are looked at, in seconds.
    pub look_every: f64,
    /// Processes that start again have a clock that stands before their first start.
    pub clock_back: bool,
}

impl Default for Ways {
    fn default() -> Ways {
        Ways { seed: 1, start_within: 1.0, look_every: 0.1, clock_back: false }
    }
}

struct Emulated<'a> {
    plan: &'a FleetPlan,
    ways: Ways,
    weather: Weather,
    copies: Vec<Copy>,
    agenda: BinaryHeap<Reverse<Entry>>,
    number: u64,
    now: Duration,
    rng: ChaCha8Rng,
    judge: Judge,
    parts: Vec<usize>,
    by_address: BTreeMap<Address, usize>,
    played: Played,
    /// Sent in all up to the last look, and the look's time.
    sent: (u64, u64, f64),
    all_sent: (u64, u64),
}

pub fn address_of(copy: usize) -> Address {
    Address::new(Ipv4Addr::from(0x0a00_0001 + copy as u32), PORT)
}

/// The copy that has this address.
pub fn copy_of(address: Address) -> Option<usize> {
    let number = address.ip().to_bits().checked_sub(0x0a00_0001)?;
    (address.port() == PORT).then_some(number as usize)
}

fn span(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

/// Plays a plan's faults round as many copies.
pub fn play(plan: &FleetPlan, ways: Ways) -> Played {
    let allowed = Allowed {
        death: span(plan.death_within),
        agree: span(plan.agree_within),
        cut: span(plan.cut_within),
    };
    let copy = || Copy { membership: None, life: 0, still_until: Duration::ZERO, starved: false, waiting: 0 };
    let mut emulated = Emulated {
        plan,
        ways,
        weather: Weather::new(plan, ways.seed),
        copies: (0..plan.processes).map(|_| copy()).collect(),
        agenda: BinaryHeap::new(),
        number: 0,
        now: Duration::ZERO,
        rng: ChaCha8Rng::seed_from_u64(ways.seed),
        judge: Judge::new(allowed),
        parts: vec![0; plan.processes],
        by_address: (0..plan.processes).map(|copy| (address_of(copy), copy)).collect(),
        played: Played::default(),
        sent: (0, 0, 0.0),
        all_sent: (0, 0),
    };
    emulated.set_up();
    emulated.run()
}

impl Emulated<'_> {
    fn put(&mut self, at: Duration, what: What) {
        self.number += 1;
        self.agenda.push(Reverse(Entry { at, number: self.number, what }));
    }

    fn set_up(&mut self) {
        for copy in 0..self.copies.len() {
            let at = span(self.rng.random::<f64>() * self.ways.start_within);
            // The first is there before the others, as their seed.
            self.put(if copy == 0 { Duration::ZERO } else { at }, What::Start(copy));
        }
        for (number, fault) in self.plan.faults.iter().enumerate() {
            self.put(span(fault.at), What::Begin(number));
            self.put(span(fault.at + fault.lasts), What::End(number));
        }
        self.put(span(self.ways.start_within.max(self.ways.look_every)), What::Look);
    }

    fn run(mut self) -> Played {
        let end = span(self.plan.seconds);
        while let Some(Reverse(Entry { at, what, .. })) = self.agenda.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.played.steps += 1;
            self.happen(what);
        }
        let seconds = self.plan.seconds.max(1e-3) * self.copies.len() as f64;
        self.played.datagrams = self.all_sent.0 as f64 / seconds;
        self.played.bytes = self.all_sent.1 as f64 / seconds;
        let counted = |copy: &Copy| copy.membership.as_ref().map(Membership::fleet_size);
        self.played.counted = self.copies.iter().map(counted).collect();
        self.played.figures = self.judge.close();
        self.played
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Start(copy) => self.start(copy),
            What::Tick(copy, life) => {
                let awake = self.awake_at(copy);
                if self.copies[copy].life != life || self.copies[copy].membership.is_none() {
                    return;
                }
                if awake > self.now {
                    return self.put(awake, What::Tick(copy, life));
                }
                self.with(copy, |membership, now| membership.tick(now));
                let next = self.now + TICK;
                self.put(next, What::Tick(copy, life));
            }
            What::Came(copy, bytes) => {
                let awake = self.awake_at(copy);
                if awake > self.now {
                    let room = self.copies[copy].waiting < SOCKET_MOST;
                    self.copies[copy].waiting += u32::from(room);
                    return if room {
                        self.put(awake, What::Came(copy, bytes));
                    };
                }
                self.copies[copy].waiting = self.copies[copy].waiting.saturating_sub(1);
                self.with(copy, |membership, now| membership.receive(now, &bytes));
            }
            What::Begin(fault) => self.begin(fault),
            What::End(fault) => self.end(fault),
            What::Look => self.look(),
        }
    }

    /// When the copy next has processor time.
    fn awake_at(&self, copy: usize) -> Duration {
        let Copy { still_until, starved, .. } = &self.copies[copy];
        if *still_until > self.now {
            return *still_until;
        }
        let turn = self.now.as_micros() as u64 % STARVED_TURN.as_micros() as u64;
        if *starved && turn >= STARVED_RUNS.as_micros() as u64 {
            return self.now + STARVED_TURN - Duration::from_micros(turn);
        }
        self.now
    }

    fn start(&mut self, copy: usize) {
        let here = &mut self.copies[copy];
        if here.membership.is_some() {
            return;
        }
        here.life += 1;
        let life = here.life;
        let started = self.now.as_millis() as u64;
        let zones = &self.plan.zones;
        let config = MemberConfig {
            address: address_of(copy),
            name: format!("c{copy}"),
            zone: zones[copy % zones.len()].clone(),
            fleet: self.plan.name.clone(),
            incarnation: if self.ways.clock_back && life > 1 { BEGAN - started } else { BEGAN + started },
            seeds: (0..3).map(|seed| address_of(seed % self.copies.len())).collect(),
            budget: Budget::default(),
            configured_members: self.copies.len() as f64,
        };
        let seed = self.ways.seed ^ (copy as u64) << 24 ^ u64::from(life) << 56;
        self.copies[copy].membership = Some(Membership::start(Post::default(), config, seed, self.now));
        self.put(self.now, What::Tick(copy, life));
    }

    /// Lets a copy's membership do something, and carries off what it sends.
    fn with(&mut self, copy: usize, what: impl FnOnce(&mut Membership<Post>, Duration)) {
        let now = self.now;
        let Some(membership) = &mut self.copies[copy].membership else { return };
        what(membership, now);
        let out = std::mem::take(&mut membership.host().out);
        for (to, bytes) in out {
            self.all_sent = (self.all_sent.0 + 1, self.all_sent.1 + bytes.len() as u64);
            if let Some(to) = self.by_address.get(&to).copied() {
                self.carry(copy, to, bytes);
            }
        }
    }

    fn carry(&mut self, from: usize, to: usize, mut bytes: Vec<u8>) {
        let fate = self.weather.fate(Party::Copy(from), Party::Copy(to));
        if fate.cut || self.rng.random::<f64>() < fate.loss {
            return;
        }
        if self.rng.random::<f64>() < fate.garble {
            let at = self.rng.random_range(0..bytes.len());
            match self.rng.random_range(0..3) {
                0 => bytes.truncate(at),
                1 => bytes[at] ^= 1 << self.rng.random_range(0..8),
                _ => bytes.extend_from_within(at..),
            }
        }
        let times = if self.rng.random::<f64>() < fate.double { 2 } else { 1 };
        let bytes: Rc<[u8]> = bytes.into();
        for _ in 0..times {
            let way = (WAY + fate.delay).mul_f64(1.0 + self.rng.random::<f64>());
            self.put(self.now + way, What::Came(to, bytes.clone()));
        }
    }

    fn end_process(&mut self, copy: usize) {
        self.copies[copy].membership = None;
        self.copies[copy].life += 1;
    }

    fn begin(&mut self, number: usize) {
        self.weather.begin(number);
        let fault: &Fault = &self.plan.faults[number];
        let until = span(fault.at + fault.lasts);
        for copy in self.weather.struck(number) {
            match fault.kind {
                Kind::Kill => self.end_process(copy),
                Kind::Term => {
                    self.with(copy, |membership, now| membership.leave(now));
                    self.end_process(copy);
                }
                Kind::Stop => {
                    let here = &mut self.copies[copy];
                    here.still_until = here.still_until.max(until);
                }
                Kind::Starve => self.copies[copy].starved = true,
                _ => break,
            }
        }
        self.parts = self.weather.parts();
    }

    fn end(&mut self, number: usize) {
        self.weather.end(number);
        let fault = &self.plan.faults[number];
        for copy in self.weather.struck(number) {
            match fault.kind {
                Kind::Kill | Kind::Term => self.start(copy),
                Kind::Starve => self.copies[copy].starved = false,
                _ => break,
            }
        }
        self.parts = self.weather.parts();
    }

    fn look(&mut self) {
        let truth = |copy: &Copy| match &copy.membership {
            None => Truth::Down,
            Some(_) if copy.still_until > self.now => Truth::Still,
            Some(_) => Truth::Runs,
        };
        let view = |(number, copy): (usize, &Copy)| {
            let membership = copy.membership.as_ref()?;
            let live = membership.members().filter(|member| member.state().is_live());
            let others = live.filter_map(|member| self.by_address.get(&member.address()).copied());
            Some(Set::of(others.chain([number])))
        };
        let look = Look {
            at: self.now.as_secs_f64(),
            truth: self.copies.iter().map(truth).collect(),
            parts: self.parts.clone(),
            views: self.copies.iter().enumerate().map(view).collect(),
            rough: self.weather.rough(),
            spoilt: self.weather.spoilt(),
            one_way: self.weather.one_way(),
        };
        self.judge.look(&look);
        self.note_sent(look.at);
        let next = self.now + span(self.ways.look_every);
        self.put(next, What::Look);
    }

    fn note_sent(&mut self, at: f64) {
        let (datagrams, bytes, since) = self.sent;
        if at - since < 1.0 {
            return;
        }
        let each = (at - since) * self.copies.len() as f64;
        let (more, more_bytes) = (self.all_sent.0 - datagrams, self.all_sent.1 - bytes);
        self.played.datagrams_most = self.played.datagrams_most.max(more as f64 / each);
        self.played.bytes_most = self.played.bytes_most.max(more_bytes as f64 / each);
        self.sent = (self.all_sent.0, self.all_sent.1, at);
        let suspected =
            |copy: &mut Copy| copy.membership.as_mut().map_or(0, |m| std::mem::take(&mut m.host().suspected));
        self.played.suspicions += self.copies.iter_mut().map(suspected).sum::<u64>();
    }
}
