//! What lies between any two parties at a moment: the faults that are active, as the fate of one path. It owns who
//! belongs to a fault's group; it must never draw anything itself.

use super::plan::{Fault, FleetPlan, Kind, Paths, Way};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Whoever sends or is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Party {
    Copy(usize),
    Server(usize),
    /// The list source and the callers: they stand beside every copy.
    Outside,
}

/// What befalls one message, or one connection, on its way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fate {
    pub cut: bool,
    pub reset: bool,
    pub loss: f64,
    pub double: f64,
    pub garble: f64,
    pub delay: Duration,
}

struct Group {
    copies: Vec<bool>,
    /// The zone, where the fault strikes one whole.
    zone: Option<usize>,
    all: bool,
}

pub struct Weather {
    faults: Vec<Fault>,
    groups: Vec<Group>,
    zones: usize,
    names: Vec<String>,
    active: Vec<usize>,
}

impl Weather {
    pub fn new(plan: &FleetPlan, seed: u64) -> Weather {
        let group = |(number, fault): (usize, &Fault)| {
            let zone = plan.zones.iter().position(|zone| Some(zone) == fault.zone.as_ref());
            let mut copies = vec![false; plan.processes];
            let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(31) + number as u64);
            for (copy, chosen) in copies.iter_mut().enumerate() {
                *chosen = fault.copies.contains(&copy) || zone == Some(copy % plan.zones.len());
            }
            if let Some(part) = fault.part {
                for at in rand::seq::index::sample(
                    &mut rng,
                    plan.processes,
                    (part * plan.processes as f64).round() as usize,
                ) {
                    copies[at] = true;
                }
            }
            let all = fault.copies.is_empty() && fault.zone.is_none() && fault.part.is_none();
            Group { copies, zone, all }
        };
        Weather {
            groups: plan.faults.iter().enumerate().map(group).collect(),
            faults: plan.faults.clone(),
            zones: plan.zones.len(),
            names: plan.zones.clone(),
            active: Vec::new(),
        }
    }

    pub fn begin(&mut self, fault: usize) {
        self.active.push(fault);
    }

    pub fn end(&mut self, fault: usize) {
        self.active.retain(|active| *active != fault);
    }

    pub fn active(&self) -> &[usize] {
        &self.active
    }

    /// The copies that a fault strikes.
    pub fn struck(&self, fault: usize) -> Vec<usize> {
        let group = &self.groups[fault];
        let count = group.copies.len();
        (0..count).filter(|copy| group.all || group.copies[*copy]).collect()
    }

    fn within(&self, fault: usize, party: Party) -> bool {
        let group = &self.groups[fault];
        match party {
            _ if group.all => true,
            Party::Copy(copy) => group.copies.get(copy).copied().unwrap_or(false),
            Party::Server(server) => group.zone == Some(server % self.zones),
            Party::Outside => false,
        }
    }

    /// The path from one party to another, by all that is active.
    pub fn fate(&self, from: Party, to: Party) -> Fate {
        let mut fate = Fate::default();
        for number in &self.active {
            let fault = &self.faults[*number];
            if fault.of_processes() || !self.strikes(*number, fault, from, to) {
                continue;
            }
            let share = fault.share.unwrap_or(0.0);
            let either = |known: f64| 1.0 - (1.0 - known) * (1.0 - share);
            match fault.kind {
                Kind::Cut | Kind::Silent => fate.cut = true,
                Kind::Reset => fate.reset = true,
                Kind::Loss => fate.loss = either(fate.loss),
                Kind::Double => fate.double = either(fate.double),
                Kind::Garble => fate.garble = either(fate.garble),
                Kind::Delay => fate.delay += Duration::from_secs_f64(fault.delay.unwrap_or(0.0)),
                Kind::Kill | Kind::Term | Kind::Stop | Kind::Starve => {}
                Kind::Crash | Kind::Start | Kind::Slow | Kind::Surge | Kind::Leave => {}
            }
        }
        fate
    }

    fn strikes(&self, number: usize, fault: &Fault, from: Party, to: Party) -> bool {
        if fault.of_servers() {
            let struck = |party| matches!(party, Party::Server(at) if fault.has_server(at, &self.names));
            return struck(from) || struck(to);
        }
        let copies = matches!((from, to), (Party::Copy(_), Party::Copy(_)));
        match fault.paths {
            Paths::Copies if !copies => return false,
            Paths::Servers if copies => return false,
            _ => {}
        }
        // Callers and the list source stand on the copy's side of every cut.
        if fault.kind == Kind::Cut && (from == Party::Outside || to == Party::Outside) {
            return false;
        }
        let (out, into) = (self.within(number, from), self.within(number, to));
        let all = self.groups[number].all;
        let way = |out: bool, into: bool| match fault.way {
            Way::Both => out || into,
            Way::Out => out,
            Way::In => into,
        };
        if !fault.to.is_empty() {
            let named = |party| matches!(party, Party::Copy(copy) if fault.to.contains(&copy));
            return (named(to) && way(out, false)) || (named(from) && way(false, into));
        }
        match fault.kind {
            // Within the group all goes on; a cut of all leaves nobody with anybody.
            Kind::Cut if !all => out != into && way(out, into),
            _ => way(out, into),
        }
    }

    /// Which part of the fleet each copy is in: those of one part reach each other both ways, some perhaps through others.
    pub fn parts(&self) -> Vec<usize> {
        let count = self.groups.first().map_or(0, |group| group.copies.len());
        if !self.active.iter().any(|number| self.faults[*number].kind == Kind::Cut) {
            return vec![0; count];
        }
        let reach = |one: usize, other: usize| {
            let (one, other) = (Party::Copy(one), Party::Copy(other));
            !self.fate(one, other).cut && !self.fate(other, one).cut
        };
        let mut parts = vec![usize::MAX; count];
        let mut unseen: Vec<usize> = (0..count).collect();
        while let Some(first) = unseen.pop() {
            let mut next = vec![first];
            let mut part = vec![first];
            while let Some(copy) = next.pop() {
                part.push(copy);
                let (near, far) = unseen.into_iter().partition(|other| reach(copy, *other));
                unseen = far;
                let near: Vec<usize> = near;
                next.extend(near);
            }
            // Called by its first copy: what stays together keeps its name.
            let name = part.iter().copied().min().unwrap_or(first);
            part.into_iter().for_each(|copy| parts[copy] = name);
        }
        parts
    }

    /// Whether anybody hears some who don't hear it.
    pub fn one_way(&self) -> bool {
        let active = self.active.iter().map(|number| &self.faults[*number]);
        active.into_iter().any(|fault| fault.kind == Kind::Cut && fault.way != Way::Both)
    }

    /// Whether words are lost, garbled or late at all.
    pub fn spoilt(&self) -> bool {
        let spoils = |kind: Kind| matches!(kind, Kind::Loss | Kind::Garble | Kind::Delay);
        self.active.iter().any(|number| spoils(self.faults[*number].kind))
    }

    /// Whether paths are worse than probes bear: no view can be asked for.
    pub fn rough(&self) -> bool {
        let active = self.active.iter().map(|number| &self.faults[*number]);
        let spoils = |kind: Kind| matches!(kind, Kind::Loss | Kind::Garble);
        let pass: f64 = active
            .clone()
            .filter(|fault| spoils(fault.kind))
            .map(|fault| 1.0 - fault.share.unwrap_or(0.0))
            .product();
        let late: f64 = active.filter_map(|fault| fault.delay).sum();
        pass < 0.7 || late > 0.04
    }
}
