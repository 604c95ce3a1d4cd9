//! The emulated world's books: servers, copies, commands, and what is to happen. It owns their shapes and how one
//! finds the other; it must never call a picker, which is for the loop in `world/mod.rs` alone, so that a picker
//! that asks for something during a call finds the books free.

use super::agenda::Agenda;
use super::dice::{Dice, exponential};
use super::happening::{Alive, Happening, JobKey, Leg};
use super::source::Source;
use super::window::Window;
use crate::cold::{ColdPeaks, OfferedWork};
use crate::plan::{Fault, RetrySafety, Scenario, to_duration};
use crate::referee::{FinalOutcome, Location, PriorAttempt, Referee, RequestFacts};
use crate::tally::Statistics;
use landingspread_decisions::host::{Id, ListedServer, Outcome};
use rand::Rng;
use slab::Slab;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Open commands that the world has room for: past it clients are turned away before any copy.
pub const CMDS_MOST: usize = 400_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Up,
    /// Its process has ended: connections are refused.
    Down,
    /// Nothing of it is heard.
    Silent,
}

pub struct Server {
    pub id: Id,
    pub tier: usize,
    /// Its number within its tier.
    pub place: usize,
    pub zone: u32,
    pub cell: u32,
    pub speed: f64,
    pub standing: Standing,
    pub life: u32,
    /// Since when it warms; none once it is warm.
    pub cold_from: Option<Duration>,
    pub up_since: Option<Duration>,
    pub draining: bool,
    pub gone: bool,
    pub queue: VecDeque<JobKey>,
    pub running: usize,
    pub jobs: usize,
    pub jammed: bool,
    /// What was brought while it was cold.
    pub brought: OfferedWork,
    pub reported: (Duration, f64, f64),
    /// The copy by which it calls the next tier.
    pub copy: Option<usize>,
}

impl Server {
    pub fn where_it_is(&self, number: usize) -> Location {
        Location { server: number, zone: self.zone, cell: self.cell }
    }
}

pub struct Job {
    pub serial: u64,
    pub server: usize,
    pub leg: Leg,
    pub verb: usize,
    pub tenant: usize,
    pub origin: u64,
    /// The copy waits no longer than this, as far as the server is told.
    pub until: Duration,
    pub work: f64,
    pub calls_left: u32,
    pub called_off: bool,
    pub started: bool,
    /// It fails at once.
    pub errs: bool,
    pub back: Duration,
}

pub struct Relay {
    pub server: usize,
    pub sent: Duration,
    pub until: Duration,
    pub delay: Duration,
    pub fresh: bool,
    /// Its server failed as a call of its own to the next tier did.
    pub failed_below: bool,
    pub outcome: Option<Outcome>,
    pub job: Option<JobKey>,
}

pub struct Cmd {
    pub id: Id,
    pub copy: Alive,
    pub verb: usize,
    pub tenant: usize,
    pub came: Duration,
    /// When the command came to the first tier that this one is part of.
    pub since: Duration,
    pub due: Duration,
    pub origin: u64,
    pub finished: Option<FinalOutcome>,
    pub relays: Vec<Relay>,
    /// Jobs of it that some server still holds.
    pub jobs: u32,
    /// The job that waits for it, in the tier before.
    pub parent: Option<JobKey>,
}

/// What a client wants once, however many commands it takes.
pub struct Origin {
    pub verb: usize,
    pub tenant: usize,
    pub zone: u32,
    pub size: f64,
    pub tries: u32,
    pub beyond: bool,
    /// Where and when it was begun, but for dropped repeats.
    pub ran: Vec<(Location, Duration, u64)>,
    /// Commands of it that are not forgotten, and a try to come.
    pub live: u32,
}

#[derive(Clone, Copy, Default)]
pub struct Kept {
    pub idle: u32,
    pub last: Duration,
    pub life: u32,
}

pub struct Copy {
    pub tier: usize,
    pub zone: u32,
    pub ordinal: u32,
    pub life: u32,
    pub up: bool,
    /// The server beside which it stands; none in the first tier.
    pub beside: Option<usize>,
    /// Which servers it was told are ready, by their number.
    pub known: Vec<bool>,
    pub off_since: BTreeMap<usize, Duration>,
    pub watching: bool,
    /// Lists come in order: none before this.
    pub list_at: Duration,
    pub last_list: Rc<[ListedServer]>,
    pub kept: BTreeMap<usize, Kept>,
}

pub struct Ground {
    pub plan: Rc<Scenario>,
    pub now: Duration,
    pub agenda: Agenda,
    pub dice: Dice,
    pub servers: Vec<Server>,
    pub by_tier: Vec<Vec<usize>>,
    pub copies: Vec<Copy>,
    pub cmds: Window<Cmd>,
    pub origins: Window<Origin>,
    pub jobs: Slab<Job>,
    pub serial: u64,
    pub source: Source,
    /// Numbers of the faults that act now.
    pub active: Vec<usize>,
    pub referee: Referee,
    pub tally: Statistics,
    /// What cold servers were brought, over all their lives.
    pub cold: ColdPeaks,
    pub tenants: Vec<(u64, f64)>,
    pub steps: u64,
}

impl Ground {
    pub fn new(plan: Rc<Scenario>, seed: u64) -> Ground {
        let settle = to_duration(plan.settle);
        let mut ground = Ground {
            now: Duration::ZERO,
            agenda: Agenda::default(),
            dice: Dice::new(seed),
            servers: Vec::new(),
            by_tier: vec![Vec::new(); plan.tiers.len()],
            copies: Vec::new(),
            cmds: Window::default(),
            origins: Window::default(),
            jobs: Slab::new(),
            serial: 0,
            source: Source::default(),
            active: Vec::new(),
            referee: Referee::new(&plan.rules),
            tally: Statistics::new(settle, plan.tenants.len(), plan.tiers.len()),
            cold: ColdPeaks::default(),
            tenants: vec![(0, 0.0); plan.tenants.len()],
            steps: 0,
            plan,
        };
        ground.people();
        ground
    }

    fn people(&mut self) {
        let plan = self.plan.clone();
        for tier in 0..plan.tiers.len() {
            for _ in 0..plan.tiers[tier].servers {
                self.add_server(tier);
            }
        }
        for ordinal in 0..plan.front.replicas {
            let zone = (ordinal % plan.zones.len()) as u32;
            self.add_copy(0, zone, ordinal as u32, None);
        }
        for server in 0..self.servers.len() {
            self.add_own_copy(server);
        }
        for server in 0..self.servers.len() {
            self.source.hear(&self.servers[server], server);
        }
    }

    pub fn add_server(&mut self, tier: usize) -> usize {
        let (number, place) = (self.servers.len(), self.by_tier[tier].len());
        let plan = &self.plan.tiers[tier];
        self.servers.push(Server {
            id: format!("s{number}").into(),
            tier,
            place,
            zone: (place % self.plan.zones.len()) as u32,
            cell: (place / self.plan.zones.len()) as u32 % plan.cells,
            speed: plan.speeds[place % plan.speeds.len()],
            standing: Standing::Up,
            life: 0,
            cold_from: None,
            up_since: None,
            draining: false,
            gone: false,
            queue: VecDeque::new(),
            running: 0,
            jobs: 0,
            jammed: false,
            brought: OfferedWork::default(),
            reported: (Duration::ZERO, 0.0, 0.0),
            copy: None,
        });
        self.by_tier[tier].push(number);
        number
    }

    fn add_copy(&mut self, tier: usize, zone: u32, ordinal: u32, beside: Option<usize>) -> usize {
        self.copies.push(Copy {
            tier,
            zone,
            ordinal,
            life: 0,
            up: true,
            beside,
            known: Vec::new(),
            off_since: BTreeMap::new(),
            watching: true,
            list_at: Duration::ZERO,
            last_list: Rc::new([]),
            kept: BTreeMap::new(),
        });
        self.copies.len() - 1
    }

    /// A server whose tier has another behind it calls that by a copy of its own.
    pub fn add_own_copy(&mut self, server: usize) -> Option<usize> {
        let Server { tier, zone, place, .. } = self.servers[server];
        if tier + 1 >= self.plan.tiers.len() {
            return None;
        }
        let copy = self.add_copy(tier + 1, zone, place as u32, Some(server));
        self.servers[server].copy = Some(copy);
        Some(copy)
    }

    pub fn put(&mut self, at: Duration, what: Happening) {
        self.agenda.put(at, what);
    }

    pub fn put_in(&mut self, after: Duration, what: Happening) {
        self.agenda.put(self.now + after, what);
    }

    /// The number in a server's or command's id.
    pub fn number(id: &Id) -> Option<u64> {
        id.get(1..)?.parse().ok()
    }

    pub fn server_number(&self, id: &Id) -> Option<usize> {
        Ground::number(id).map(|number| number as usize).filter(|number| *number < self.servers.len())
    }

    pub fn alive(&self, copy: Alive) -> bool {
        let here = &self.copies[copy.copy];
        here.up && here.life == copy.life
    }

    pub fn as_alive(&self, copy: usize) -> Alive {
        Alive { copy, life: self.copies[copy].life }
    }

    pub fn faults(&self) -> impl Iterator<Item = &Fault> {
        self.active.iter().map(|number| &self.plan.faults[*number])
    }

    /// Whether a fault that acts now strikes this server by name.
    pub fn strikes(&self, fault: &Fault, server: &Server) -> bool {
        fault.tier == server.tier && fault.servers.contains(&server.place)
    }

    pub fn zone_number(&self, name: Option<&String>) -> Option<u32> {
        self.plan.zones.iter().position(|zone| Some(zone) == name).map(|at| at as u32)
    }

    /// Whether nothing passes between two zones.
    pub fn cut(&self, one: u32, other: u32) -> bool {
        use crate::plan::FaultKind;
        one != other
            && self.faults().any(|fault| {
                let zone = self.zone_number(fault.zone.as_ref());
                fault.kind == FaultKind::ZoneCut && (zone == Some(one) || zone == Some(other))
            })
    }

    /// A message's time one way.
    pub fn delay(&mut self, one: u32, other: u32) -> Duration {
        let network = &self.plan.network;
        let base = if one == other { network.same_zone_delay } else { network.cross_zone_delay };
        to_duration(base * (1.0 + 0.2 * exponential(&mut self.dice.network)))
    }

    /// Carries a word from copy to copy, as the network does by now: perhaps never, perhaps twice.
    pub fn carry(&mut self, from: usize, to: usize, word: &dyn Fn() -> Happening) {
        use crate::plan::FaultKind;
        let (here, there) = (self.copies[from].zone, self.copies[to].zone);
        let apart = |fault: &Fault, copy: usize| {
            self.copies[copy].beside.is_none()
                && (self.copies[copy].ordinal as usize) < self.plan.affected_replicas(fault)
        };
        let parted = self.faults().any(|fault| {
            fault.kind == FaultKind::ReplicasPartitioned && apart(fault, from) != apart(fault, to)
        });
        if parted || self.cut(here, there) {
            return;
        }
        let passes: f64 = self
            .faults()
            .filter(|fault| fault.kind == FaultKind::PeerMessagesLost)
            .map(|fault| 1.0 - fault.share.unwrap_or(0.0))
            .product();
        let network = &self.plan.network;
        let (base, doubled) = (
            if here == there { network.same_zone_delay } else { network.cross_zone_delay },
            network.peer_message_duplication,
        );
        let rng = &mut self.dice.words;
        if rng.random::<f64>() >= passes * (1.0 - network.peer_message_loss) {
            return;
        }
        for _ in 0..if rng.random::<f64>() < doubled { 2 } else { 1 } {
            let way = to_duration(base * (1.0 + 0.2 * exponential(rng)));
            self.agenda.put(self.now + way, word());
        }
    }

    pub fn repeats(&self, verb: usize) -> RetrySafety {
        self.plan.request_classes[verb].retry_safety
    }

    /// Hands a command's facts to the referee.
    pub fn judge(&mut self, number: u64, what: impl FnOnce(&mut Referee, &RequestFacts)) {
        let Some(cmd) = self.cmds.get(number) else { return };
        let place = |relay: &Relay| self.servers[relay.server].where_it_is(relay.server);
        let earlier =
            |relay: &Relay| PriorAttempt { location: place(relay), sent: relay.sent, outcome: relay.outcome };
        let earlier: Vec<PriorAttempt> = cmd.relays.iter().map(earlier).collect();
        let verb = &self.plan.request_classes[cmd.verb];
        let facts = RequestFacts {
            request: number,
            replica: cmd.copy.copy,
            retry_safety: verb.retry_safety,
            dedup_window: to_duration(verb.dedup_window),
            deadline: cmd.due,
            final_outcome: cmd.finished,
            prior_attempts: &earlier,
        };
        what(&mut self.referee, &facts);
    }

    /// What copies that start now find in their old list.
    pub fn list_of(&self, tier: usize) -> Rc<[ListedServer]> {
        self.by_tier[tier].iter().filter_map(|server| self.source.entry(*server)).collect()
    }

    /// Commands in each server for each of its cores.
    pub fn loads(&self) -> Vec<f64> {
        let load = |server: &Server| server.jobs as f64 / self.plan.tiers[server.tier].cores as f64;
        self.servers.iter().map(load).collect()
    }
}
