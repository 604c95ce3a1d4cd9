//! The servers as one copy knows them. What a command's draw needs of all of them is kept as it changes, so that its
//! cost goes by the window and not by the fleet. It owns the numbers of servers, the rings and the sums; it decides
//! nothing: what a server is told to be, and what it counts, is `policy.rs`'s.

use crate::host::{Id, Lifecycle, ListedServer};
use crate::settings::SlowStart;
use crate::stats::Histogram;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

pub fn hash(of: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    hasher.finish()
}

#[derive(Debug)]
pub struct Mark {
    pub passes: u32,
    pub next: Duration,
    pub trying: bool,
}

/// The run of straight failures of one verb, and the mark that a server has for this verb alone.
#[derive(Debug, Default)]
pub struct VerbAt {
    pub run: u32,
    pub mark: Option<Mark>,
}

#[derive(Debug, Default)]
pub struct Server {
    pub id: Id,
    /// Its place on the ring.
    place: u64,
    /// Among the listed, and in which list it was last.
    listing: u64,
    added: Duration,
    pub zone: u32,
    pub cell: u32,
    ready: bool,
    /// Among the servers that this copy works with.
    chosen: bool,
    nominal: f64,
    pub up_since: Option<Duration>,
    /// By verb, what is held against the server.
    pub verbs: Vec<VerbAt>,
    /// Straight checks that found nobody.
    pub missed: u32,
    mark: Option<Mark>,
    ramp_from: Option<Duration>,
    /// By chance, so that copies told of a start at one moment do not all send to it at one moment.
    pub first_credit: f64,
    pub cold_credit: f64,
    pub credited: Duration,
    /// Credits a second at least, while operators use it again and this copy has sent it nothing since.
    pub awaited: f64,
    report: Option<(f64, Duration)>,
    pub sends: f64,
    /// How busy it said it was, and when.
    pub util: Option<(f64, Duration)>,
    pub checking: bool,
    /// When a check last found nobody there.
    pub absent: Option<Duration>,
    out: u32,
    pub overdue: u32,
    /// When this copy last sent to it or heard from it.
    pub used: Option<Duration>,
    pub bound: f64,
    pub pace: Histogram,
    /// How slow its answers are against the mean.
    pub slowness: f64,
    /// Its listed size against the mean, as weights count it.
    pub by_list: f64,
    pub listed: f64,
}

impl Server {
    pub fn new(entry: &ListedServer, verbs: usize, first_credit: f64, bound: f64, now: Duration) -> Self {
        let (id, place, zone, cell) = (entry.server.clone(), hash(&entry.server), entry.zone, entry.cell);
        let verbs = (0..verbs).map(|_| VerbAt::default()).collect();
        let (slowness, by_list, listed, added) = (1.0, 1.0, 1.0, now);
        Server {
            id,
            place,
            zone,
            cell,
            first_credit,
            verbs,
            bound,
            slowness,
            by_list,
            listed,
            added,
            ..Server::default()
        }
    }

    /// Told as ready; other servers are no part of any sum.
    pub fn ready(&self) -> bool {
        self.ready
    }

    pub fn chosen(&self) -> bool {
        self.chosen
    }

    pub fn mark(&self) -> Option<&Mark> {
        self.mark.as_ref()
    }

    /// Takes an answer's time, as a multiple of its verb's mean, into what is known of the server's slowness.
    pub fn learn(&mut self, pace: f64) {
        self.pace.add(pace, 32);
        let known = self.pace.total >= 4;
        self.slowness = if known { self.pace.mean().unwrap_or(1.0).clamp(0.2, 10.0) } else { 1.0 };
    }

    /// How much of its full share it gets: all of it unless it started or returned of late.
    pub fn ramp(&self, cold: &SlowStart, now: Duration) -> f64 {
        let Some(from) = self.ramp_from else { return 1.0 };
        let done = now.saturating_sub(from).as_secs_f64() / cold.duration.as_secs_f64().max(1e-3);
        (cold.initial_fraction + (1.0 - cold.initial_fraction) * done).min(1.0)
    }

    /// What it holds by a report no older than `young`, with what was sent there since.
    pub fn told(&self, now: Duration, young: Duration) -> Option<f64> {
        self.report.filter(|(_, at)| now <= *at + young).map(|(figure, _)| figure + self.sends)
    }

    /// Whether this copy has a connection there, for all it knows, where idle ones are kept for so long.
    pub fn warm(&self, now: Duration, kept: Duration) -> bool {
        self.used.is_some_and(|used| now.saturating_sub(used) < kept)
    }

    /// A relay sent at this moment is over. One that its last report does not hold is no longer counted on top of it.
    pub fn ended(&mut self, now: Duration, sent: Duration, overdue: bool) {
        self.overdue = self.overdue.saturating_sub(u32::from(overdue));
        self.used = Some(now);
        if self.report.is_some_and(|(_, at)| at <= sent) {
            self.sends = (self.sends - 1.0).max(0.0);
        }
    }

    /// When it started, where a list has news of that.
    pub fn started(&mut self, entry: &ListedServer, new: bool) -> Option<Duration> {
        let at = entry.started_at.filter(|at| new || self.up_since != Some(*at))?;
        self.up_since = Some(at);
        Some(at)
    }

    /// What was learned of an earlier process.
    pub fn forget(&mut self) {
        self.verbs.iter_mut().for_each(|at| *at = VerbAt::default());
        (self.missed, self.absent, self.util, self.sends) = (0, None, None, 0.0);
        (self.pace, self.slowness) = (Histogram::default(), 1.0);
    }

    /// A mark's own course; `Fleet` sets and takes marks.
    pub fn mark_mut(&mut self) -> Option<&mut Mark> {
        self.mark.as_mut()
    }

    /// Copies name servers by the first 24 bits of their places.
    const NAMED_BY: u32 = 40;

    /// What copies call it among themselves.
    pub fn name(&self) -> u32 {
        (self.place >> Self::NAMED_BY) as u32
    }

    pub fn report(&self) -> Option<(f64, Duration)> {
        self.report
    }

    pub fn out(&self) -> u32 {
        self.out
    }

    pub fn ramp_from(&self) -> Option<Duration> {
        self.ramp_from
    }
}

/// A server's number while this copy knows it. It is given again only once nothing is out at the server.
pub type Slot = u32;

#[derive(Debug, Default)]
pub struct Fleet {
    servers: Vec<Server>,
    free: Vec<Slot>,
    slots: BTreeMap<Id, Slot>,
    /// By zone and cell: what drops a repeat may lie outside of the window.
    cells: BTreeMap<(u32, u32, Id), Slot>,
    /// The ready servers of the copy's own zone and of the others, by their places on the ring.
    near: Vec<(u64, Slot)>,
    far: Vec<(u64, Slot)>,
    /// No longer ready, but something may be out there.
    leaving: Vec<Slot>,
    /// The ready servers that this copy works with, by their ids.
    window: Vec<Slot>,
    marked: BTreeMap<Id, Slot>,
    ramping: Vec<Slot>,
    listing: u64,
    credited: Duration,
    /// Ready and unmarked servers, and what is out at them.
    clear: usize,
    clear_out: u64,
    nominal: f64,
    reports: f64,
    reporting: usize,
}

impl std::ops::Index<Slot> for Fleet {
    type Output = Server;

    fn index(&self, slot: Slot) -> &Server {
        &self.servers[slot as usize]
    }
}

impl std::ops::IndexMut<Slot> for Fleet {
    fn index_mut(&mut self, slot: Slot) -> &mut Server {
        &mut self.servers[slot as usize]
    }
}

// What is known of all

impl Fleet {
    pub fn slot(&self, id: &Id) -> Option<Slot> {
        self.slots.get(id).copied()
    }

    pub fn ready(&self) -> usize {
        self.near.len() + self.far.len()
    }

    pub fn near(&self) -> usize {
        self.near.len()
    }

    pub fn clear(&self) -> usize {
        self.clear
    }

    pub fn clear_out(&self) -> u64 {
        self.clear_out
    }

    pub fn mean_nominal(&self) -> f64 {
        self.nominal / self.ready().max(1) as f64
    }

    pub fn mean_report(&self) -> f64 {
        self.reports / self.reporting.max(1) as f64
    }

    pub fn window(&self) -> &[Slot] {
        &self.window
    }

    /// How busy the window's unmarked servers say they are, not long ago; older words count less.
    pub fn busy(&self, now: Duration, young: Duration, decay: f64) -> Option<f64> {
        let (mut sum, mut all) = (0.0, 0.0);
        for server in self.window.iter().map(|slot| &self[*slot]).filter(|server| server.mark.is_none()) {
            if let Some((util, at)) = server.util.filter(|(_, at)| *at + young > now) {
                let part = (-now.saturating_sub(at).as_secs_f64() / decay).exp();
                (sum, all) = (sum + util * part, all + part);
            }
        }
        (all > 0.0).then(|| sum / all)
    }

    /// What all copies may have out at the window's unmarked servers.
    pub fn bounds(&self) -> f64 {
        let servers = self.window.iter().map(|slot| &self[*slot]);
        servers.filter(|server| server.mark.is_none()).map(|server| server.bound).sum()
    }

    pub fn marked(&self) -> impl Iterator<Item = Slot> {
        self.marked.values().copied()
    }

    pub fn ready_ones(&self) -> impl Iterator<Item = &Server> {
        self.near.iter().chain(&self.far).map(|(_, slot)| &self[*slot])
    }

    /// How many ready servers are marked for one verb.
    pub fn marked_for(&self, verb: usize) -> usize {
        self.ready_ones().filter(|server| server.verbs.get(verb).is_some_and(|at| at.mark.is_some())).count()
    }

    /// The ready server that peers call by this name.
    pub fn named(&self, name: u32) -> Option<Slot> {
        [&self.near, &self.far].into_iter().find_map(|ring| {
            let at = ring.partition_point(|(place, _)| ((place >> Server::NAMED_BY) as u32) < name);
            ring.get(at)
                .filter(|(place, _)| (place >> Server::NAMED_BY) as u32 == name)
                .map(|(_, slot)| *slot)
        })
    }

    pub fn in_cell(&self, zone: u32, cell: u32) -> impl Iterator<Item = Slot> {
        let from = (zone, cell, Id::from(""));
        self.cells
            .range(from..)
            .take_while(move |((z, c, _), _)| (*z, *c) == (zone, cell))
            .map(|(_, slot)| *slot)
    }
}

// Changes, each with the sums that go by it

impl Fleet {
    /// Runs a change that decides whether the server counts as ready and unmarked.
    fn recounted(&mut self, slot: Slot, change: impl FnOnce(&mut Server)) {
        let server = &mut self.servers[slot as usize];
        let count =
            |server: &Server| (server.ready && server.mark.is_none()).then_some(u64::from(server.out));
        let before = count(server);
        change(server);
        let after = count(server);
        self.clear = self.clear + usize::from(after.is_some()) - usize::from(before.is_some());
        self.clear_out = self.clear_out + after.unwrap_or(0) - before.unwrap_or(0);
    }

    pub fn change_out(&mut self, slot: Slot, by: i64) {
        self.recounted(slot, |server| server.out = server.out.saturating_add_signed(by as i32));
    }

    pub fn set_mark(&mut self, slot: Slot, mark: Mark) {
        self.recounted(slot, |server| server.mark = Some(mark));
        self.marked.insert(self[slot].id.clone(), slot);
    }

    pub fn set_report(&mut self, slot: Slot, report: Option<(f64, Duration)>) {
        let old = std::mem::replace(&mut self[slot].report, report);
        self.reports += report.map_or(0.0, |(figure, _)| figure) - old.map_or(0.0, |(figure, _)| figure);
        self.reporting = self.reporting + usize::from(report.is_some()) - usize::from(old.is_some());
        if self.reporting == 0 {
            self.reports = 0.0;
        }
    }

    /// A server's own word came with an answer; what it does not say leaves the older word.
    pub fn reported(&mut self, slot: Slot, util: Option<f64>, figure: Option<f64>, now: Duration) {
        self[slot].util = util.map(|util| (util, now)).or(self[slot].util);
        if let Some(figure) = figure {
            self.set_report(slot, Some((figure, now)));
            self[slot].sends = 0.0;
        }
    }

    pub fn take_mark(&mut self, slot: Slot) {
        self.recounted(slot, |server| server.mark = None);
        let id = self[slot].id.clone();
        self.marked.remove(&id);
    }

    /// The server ramps from this moment on; its credits go on from the last that any got.
    pub fn set_ramp(&mut self, slot: Slot, from: Duration) {
        let credited = self.credited;
        let server = &mut self[slot];
        if server.ramp_from.replace(from).is_none() {
            server.credited = if server.added < credited { credited } else { Duration::ZERO };
            self.ramping.push(slot);
        }
    }

    /// It gets so many credits a second at least, until something is sent to it.
    pub fn await_first(&mut self, id: &Id, credits: f64) {
        self.slot(id).into_iter().for_each(|slot| self[slot].awaited = credits);
    }

    /// Visits all that ramp; one of which `done` says so ramps no longer.
    pub fn each_ramping(&mut self, now: Duration, mut done: impl FnMut(&mut Server) -> bool) {
        self.credited = now;
        let servers = &mut self.servers;
        self.ramping.retain(|slot| {
            let server = &mut servers[*slot as usize];
            let over = done(server);
            if over {
                server.ramp_from = None;
            }
            !over
        });
    }
}

// The list

impl Fleet {
    /// What a whole list does not name is not ready.
    pub fn only_listed(&mut self, entries: &[ListedServer]) {
        self.listing += 1;
        for entry in entries {
            if let Some(slot) = self.slot(&entry.server) {
                self[slot].listing = self.listing;
            }
        }
        for slot in self.near.iter().chain(&self.far).map(|(_, slot)| *slot).collect::<Vec<_>>() {
            if self[slot].listing != self.listing {
                self.unready(slot);
            }
        }
    }

    fn unready(&mut self, slot: Slot) {
        if !self[slot].ready {
            return;
        }
        self.recounted(slot, |server| (server.ready, server.chosen) = (false, false));
        self.nominal -= self[slot].nominal;
        self.leaving.push(slot);
    }

    /// A list tells that a server is ready, of this size; a new one comes as `new` makes it. Whether it is new.
    pub fn take(
        &mut self,
        entry: &ListedServer,
        own_zone: u32,
        new: impl FnOnce() -> Server,
    ) -> (Slot, bool) {
        let known = self.slot(&entry.server);
        let slot = known.unwrap_or_else(|| self.add(new()));
        let nominal = if entry.nominal_capacity > 0.0 { entry.nominal_capacity } else { 1.0 };
        if self[slot].ready {
            self.nominal -= self[slot].nominal;
        } else {
            let place = (self[slot].place, slot);
            if self[slot].zone == own_zone {
                self.near.push(place)
            } else {
                self.far.push(place)
            };
        }
        self.nominal += nominal;
        self[slot].nominal = nominal;
        self.recounted(slot, |server| server.ready = true);
        (slot, known.is_none())
    }

    /// The entry by which a ready server was last told.
    pub fn listed(&self, id: &Id) -> Option<ListedServer> {
        let server = self.slot(id).map(|slot| &self[slot]).filter(|server| server.ready)?;
        let Server { zone, cell, nominal, up_since, .. } = *server;
        Some(ListedServer {
            server: id.clone(),
            zone,
            cell,
            lifecycle: Lifecycle::Ready,
            nominal_capacity: nominal,
            started_at: up_since,
        })
    }

    /// A list tells that a server is not ready.
    pub fn leave(&mut self, id: &Id) {
        if let Some(slot) = self.slot(id) {
            self.unready(slot);
        }
    }

    fn add(&mut self, server: Server) -> Slot {
        let (id, cell) = (server.id.clone(), (server.zone, server.cell, server.id.clone()));
        let slot = match self.free.pop() {
            Some(slot) => {
                self[slot] = server;
                slot
            }
            None => {
                self.servers.push(server);
                (self.servers.len() - 1) as Slot
            }
        };
        self.slots.insert(id, slot);
        self.cells.insert(cell, slot);
        slot
    }

    /// After a list's entries: the rings hold the ready ones alone, and what is gone is forgotten, as new ones
    /// come under new ids all day.
    pub fn settle(&mut self) {
        let servers = &self.servers;
        for ring in [&mut self.near, &mut self.far] {
            ring.retain(|(_, slot)| servers[*slot as usize].ready);
            ring.sort();
            ring.dedup();
        }
        let mut leaving = std::mem::take(&mut self.leaving);
        leaving.sort();
        leaving.dedup();
        for slot in leaving {
            let server = &self[slot];
            if server.ready {
                continue;
            }
            if server.out > 0 {
                self.leaving.push(slot);
                continue;
            }
            self.set_report(slot, None);
            let server = &self[slot];
            let (id, cell) = (server.id.clone(), (server.zone, server.cell, server.id.clone()));
            self.slots.remove(&id);
            self.cells.remove(&cell);
            self.marked.remove(&id);
            self.ramping.retain(|other| *other != slot);
            self.free.push(slot);
        }
        if self.ready() == 0 {
            self.nominal = 0.0;
        }
    }
}

// The window

impl Fleet {
    /// Chooses anew: from the copy's own zone and from the others until so much is taken, on each ring from the
    /// place that `start` gives as a share of it; `takes` is what one server counts.
    pub fn choose(&mut self, start: f64, near: f64, far: f64, takes: impl Fn(&Server) -> f64) {
        for slot in std::mem::take(&mut self.window) {
            self[slot].chosen = false;
        }
        let (near_ring, far_ring) = (std::mem::take(&mut self.near), std::mem::take(&mut self.far));
        self.choose_on(&far_ring, start, far, &takes);
        self.choose_on(&near_ring, start, near, &takes);
        (self.near, self.far) = (near_ring, far_ring);
        let mut window = std::mem::take(&mut self.window);
        window.sort_by(|one, other| self[*one].id.cmp(&self[*other].id));
        self.window = window;
    }

    fn choose_on(
        &mut self,
        ring: &[(u64, Slot)],
        start: f64,
        mut wanted: f64,
        takes: &impl Fn(&Server) -> f64,
    ) {
        let from = (start * ring.len() as f64) as usize;
        for (_, slot) in ring[from..].iter().chain(&ring[..from]) {
            if wanted <= 0.0 {
                return;
            }
            let server = &mut self[*slot];
            server.chosen = true;
            wanted -= takes(server);
            self.window.push(*slot);
        }
    }

    /// Brings the sizes up to date that the window's weights count, to this power.
    pub fn size_up(&mut self, power: f64) {
        let mean = self.mean_nominal().max(1e-9);
        for at in 0..self.window.len() {
            self.size_one(self.window[at], power, mean);
        }
    }

    /// The servers of a cell, which may lie outside of the window, their sizes as its weights count them.
    pub fn sized_cell(&mut self, zone: u32, cell: u32, power: f64) -> Vec<Slot> {
        let (slots, mean) = (self.in_cell(zone, cell).collect::<Vec<_>>(), self.mean_nominal().max(1e-9));
        slots.iter().for_each(|slot| self.size_one(*slot, power, mean));
        slots
    }

    pub fn size_one(&mut self, slot: Slot, power: f64, mean: f64) {
        let server = &mut self[slot];
        server.listed = server.nominal / mean;
        server.by_list = server.listed.powf(power);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::{Config as Cases, RngSeed, TestRunner};

    /// What the sums and indexes stand for, walked.
    fn agrees(fleet: &Fleet) -> Result<(), TestCaseError> {
        let known: Vec<&Server> = fleet.slots.values().map(|slot| &fleet[*slot]).collect();
        let clear = known.iter().filter(|server| server.ready && server.mark.is_none());
        prop_assert_eq!(fleet.clear(), clear.clone().count());
        prop_assert_eq!(fleet.clear_out(), clear.map(|server| u64::from(server.out)).sum::<u64>());
        let ready: Vec<&&Server> = known.iter().filter(|server| server.ready).collect();
        prop_assert_eq!(fleet.ready(), ready.len());
        let nominal: f64 = ready.iter().map(|server| server.nominal).sum();
        prop_assert!((fleet.mean_nominal() - nominal / ready.len().max(1) as f64).abs() < 1e-9);
        let reports: Vec<f64> = known.iter().filter_map(|server| Some(server.report?.0)).collect();
        let mean = reports.iter().sum::<f64>() / reports.len().max(1) as f64;
        prop_assert!((fleet.mean_report() - mean).abs() < 1e-9);
        let marked: Vec<Slot> = fleet.slots.values().copied().filter(|s| fleet[*s].mark.is_some()).collect();
        prop_assert_eq!(fleet.marked().collect::<Vec<_>>(), marked);
        prop_assert!(fleet.window().iter().all(|slot| fleet[*slot].ready && fleet[*slot].chosen));
        prop_assert_eq!(fleet.cells.len(), known.len());
        // Nothing is forgotten while something is out there, and nothing stays for ever.
        prop_assert!(known.iter().all(|server| server.ready || server.out > 0));
        prop_assert_eq!(known.len() + fleet.free.len(), fleet.servers.len());
        Ok(())
    }

    fn step(fleet: &mut Fleet, now: Duration, kind: u8, servers: &[u8]) {
        let id = |number: u8| Id::from(format!("s{number}"));
        let entry = |number: &u8, state| ListedServer {
            server: id(*number),
            zone: u32::from(number % 2),
            cell: u32::from(number % 3),
            lifecycle: state,
            nominal_capacity: f64::from(number % 4),
            started_at: None,
        };
        let slots: Vec<Slot> = servers.iter().filter_map(|number| fleet.slot(&id(*number))).collect();
        match kind {
            0 | 1 => {
                let entries: Vec<ListedServer> =
                    servers.iter().map(|number| entry(number, Lifecycle::Ready)).collect();
                if kind == 0 {
                    fleet.only_listed(&entries);
                }
                for entry in &entries {
                    fleet.take(entry, 0, || Server::new(entry, 1, 0.5, 5.0, now));
                }
            }
            2 => servers.iter().for_each(|number| fleet.leave(&id(*number))),
            3 => slots.iter().for_each(|slot| fleet.change_out(*slot, 1)),
            4 => {
                let out = slots.iter().filter(|slot| fleet[**slot].out > 0).copied().collect::<Vec<_>>();
                out.into_iter().for_each(|slot| fleet.change_out(slot, -1));
            }
            5 => slots.iter().for_each(|slot| {
                fleet.set_mark(*slot, Mark { passes: 0, next: now, trying: false });
            }),
            6 => slots.iter().for_each(|slot| {
                fleet.take_mark(*slot);
                fleet.set_ramp(*slot, now);
            }),
            7 => slots.iter().for_each(|slot| fleet.set_report(*slot, Some((f64::from(*slot), now)))),
            _ => fleet.each_ramping(now, |server| server.out > 0),
        }
        fleet.settle();
        fleet.choose(0.3, 2.0, 1.0, |server| if server.mark.is_some() { 0.0 } else { 1.0 });
    }

    #[test]
    fn sums_and_indexes_agree_with_a_walk_after_every_change() {
        let cases =
            Cases { cases: 200, rng_seed: RngSeed::Fixed(15), failure_persistence: None, ..Cases::default() };
        let steps = prop::collection::vec((0u8..9, prop::collection::vec(0u8..24, 0..8)), 1..60);
        TestRunner::new(cases)
            .run(&steps, |steps| {
                let mut fleet = Fleet::default();
                for (second, (kind, servers)) in (1u64..).zip(steps) {
                    step(&mut fleet, Duration::from_secs(second), kind, &servers);
                    agrees(&fleet)?;
                }
                Ok(())
            })
            .expect("sums and walks agree");
    }
}
