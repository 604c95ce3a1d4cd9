//! The list source: what it knows of the servers, whom it tells, and how it fails. It never asks a server and is
//! told of changes late; it may lag, lie, fall silent and be empty.

use super::ground::{Ground, Server, Standing};
use super::happening::{Alive, Happening};
use crate::plan::{FaultKind, to_duration};
use landingspread_decisions::host::{Lifecycle, ListedServer};
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;

/// A call to a source that answers nobody fails after this.
const CALL: Duration = Duration::from_millis(500);

/// By server; what was never heard of is none.
#[derive(Default)]
pub struct Source {
    entries: Vec<Option<ListedServer>>,
}

impl Source {
    /// Takes a server's standing as its word.
    pub fn hear(&mut self, server: &Server, number: usize) {
        if self.entries.len() <= number {
            self.entries.resize(number + 1, None);
        }
        let state = match server.standing {
            _ if server.gone => Lifecycle::Removed,
            Standing::Down | Standing::Silent => Lifecycle::Removed,
            Standing::Up if server.draining => Lifecycle::Draining,
            Standing::Up => Lifecycle::Ready,
        };
        self.entries[number] = Some(ListedServer {
            server: server.id.clone(),
            zone: server.zone,
            cell: server.cell,
            lifecycle: state,
            nominal_capacity: server.speed,
            started_at: server.up_since,
        });
    }

    fn known(&self, number: usize) -> Option<&ListedServer> {
        self.entries.get(number)?.as_ref()
    }

    /// A server's entry in a whole list; the gone are in none.
    pub fn entry(&self, number: usize) -> Option<ListedServer> {
        self.known(number).filter(|entry| entry.lifecycle != Lifecycle::Removed).cloned()
    }
}

impl Ground {
    fn source_fails(&self, kind: FaultKind, tier: usize) -> bool {
        self.faults().any(|fault| fault.kind == kind && fault.tier == tier)
    }

    /// The source hears how a server stands, and tells the copies.
    pub fn list_hears(&mut self, number: usize) {
        self.source.hear(&self.servers[number], number);
        self.publish(number);
    }

    pub fn publish(&mut self, number: usize) {
        let tier = self.servers[number].tier;
        let Some(mut entry) = self.source.known(number).cloned() else { return };
        if !self.plan.tiers[tier].lists_weights {
            entry.nominal_capacity = 1.0;
        }
        let change: Rc<[ListedServer]> = Rc::new([entry]);
        self.tell_all(tier, false, &change);
    }

    /// Tells all copies of a tier that watch, each after a time of its own.
    fn tell_all(&mut self, tier: usize, whole: bool, entries: &Rc<[ListedServer]>) {
        let (stale, empty) =
            (self.source_fails(FaultKind::ListStale, tier), self.source_fails(FaultKind::ListEmpty, tier));
        if (stale || empty || self.source_fails(FaultKind::ListDown, tier)) && !(whole && empty) {
            return;
        }
        for copy in 0..self.copies.len() {
            let here = &self.copies[copy];
            if here.tier == tier && here.up && here.watching {
                self.tell(copy, whole, entries.clone());
            }
        }
    }

    fn tell(&mut self, copy: usize, whole: bool, entries: Rc<[ListedServer]>) {
        let tier = self.copies[copy].tier;
        let late = self.faults().filter(|fault| fault.kind == FaultKind::ListLate && fault.tier == tier);
        let late: f64 = late.filter_map(|fault| fault.seconds).sum();
        let lists = &self.plan.discovery;
        let wait = lists.delay + late + lists.jitter * self.dice.network.random::<f64>();
        let at = (self.now + to_duration(wait)).max(self.copies[copy].list_at);
        self.copies[copy].list_at = at;
        self.put(at, Happening::Told(self.as_alive(copy), whole, entries));
    }

    /// The whole list as the source tells it now.
    fn whole(&self, tier: usize) -> Rc<[ListedServer]> {
        if self.source_fails(FaultKind::ListEmpty, tier) {
            return Rc::from([]);
        }
        let mut entries: Vec<ListedServer> =
            self.by_tier[tier].iter().filter_map(|server| self.source.entry(*server)).collect();
        if !self.plan.tiers[tier].lists_weights {
            entries.iter_mut().for_each(|entry| entry.nominal_capacity = 1.0);
        }
        entries.into()
    }

    pub fn tell_whole(&mut self, tier: usize) {
        let whole = self.whole(tier);
        self.tell_all(tier, true, &whole);
    }

    /// A copy's call comes to the source: it is told the whole list and watches from then on.
    pub fn list_call(&mut self, alive: Alive) {
        if !self.alive(alive) {
            return;
        }
        let tier = self.copies[alive.copy].tier;
        if self.source_fails(FaultKind::ListDown, tier) {
            self.put_in(CALL, Happening::ListCallFailed(alive));
            return;
        }
        self.copies[alive.copy].watching = true;
        let list = if self.source_fails(FaultKind::ListStale, tier) {
            self.copies[alive.copy].last_list.clone()
        } else {
            self.whole(tier)
        };
        self.tell(alive.copy, true, list);
    }

    /// The source goes down: all watches end, within a second.
    pub fn end_watches(&mut self, tier: usize) {
        for copy in 0..self.copies.len() {
            if self.copies[copy].tier == tier && self.copies[copy].up {
                self.copies[copy].watching = false;
                let after = Duration::from_secs_f64(self.dice.faults.random::<f64>());
                self.put_in(after, Happening::ListCallFailed(self.as_alive(copy)));
            }
        }
    }

    /// A copy is told: from now on it knows. Gives the entries back for the picker.
    pub fn note_told(&mut self, alive: Alive, whole: bool, entries: &[ListedServer]) {
        let (now, count) = (self.now, self.servers.len());
        let mut ready: Vec<(usize, bool)> = Vec::with_capacity(entries.len());
        for entry in entries {
            if let Some(number) = self.server_number(&entry.server) {
                ready.push((number, entry.lifecycle == Lifecycle::Ready));
            }
        }
        let copy = &mut self.copies[alive.copy];
        copy.known.resize(count, false);
        if whole {
            let mut listed = vec![false; count];
            ready.iter().for_each(|(number, _)| listed[*number] = true);
            let missing = (0..count).filter(|number| copy.known[*number] && !listed[*number]);
            ready.extend(missing.map(|number| (number, false)).collect::<Vec<_>>());
        }
        for (number, ready) in ready {
            copy.known[number] = ready;
            if ready {
                copy.off_since.remove(&number);
            } else {
                copy.off_since.entry(number).or_insert(now);
            }
        }
    }
}
