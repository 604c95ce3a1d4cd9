//! The servers that one replica knows: slots, rings, the window, and sums that are updated with each change, so that
//! the cost of a request depends on the window and not on the number of servers. Nothing is decided here.

mod server;

pub use server::{Ejection, ReportedLoad, Server, Utilization};

use crate::host::{Id, Lifecycle, ListedServer};
use std::collections::BTreeMap;
use std::time::Duration;

/// The least mean size that others are divided by.
const MIN_MEAN_SIZE: f64 = 1e-9;
/// The size of a server for which the list names none.
const DEFAULT_SIZE: f64 = 1.0;

/// A server's number while this replica knows it. It is reused only once nothing is in flight at the server.
pub type Slot = u32;

/// A ring of ready servers in the order of their positions.
type Ring = Vec<(u64, Slot)>;

/// All servers that this replica knows.
#[derive(Debug, Default)]
pub struct ServerSet {
    servers: Vec<Server>,
    free_slots: Vec<Slot>,
    slots: BTreeMap<Id, Slot>,
    /// By zone and cell: a server that drops a repeat may lie outside of the window.
    cells: BTreeMap<(u32, u32, Id), Slot>,
    /// The ready servers of the replica's own zone.
    local_ring: Ring,
    /// The ready servers of the other zones.
    remote_ring: Ring,
    /// No longer ready, but attempts may be in flight there.
    leaving: Vec<Slot>,
    /// The ready servers that this replica works with, in the order of their ids.
    window: Vec<Slot>,
    ejected: BTreeMap<Id, Slot>,
    in_slow_start: Vec<Slot>,
    /// The number of complete lists so far.
    listings: u64,
    /// When slow-start credits were last raised.
    credited_at: Duration,
    /// How many servers are ready and not ejected.
    available: usize,
    /// What is in flight at available servers.
    available_in_flight: u64,
    /// The sum of the ready servers' sizes.
    size_sum: f64,
    /// The sum of the last load reports, in requests.
    report_sum: f64,
    /// How many servers have a load report.
    reporting: usize,
}

impl std::ops::Index<Slot> for ServerSet {
    type Output = Server;

    fn index(&self, slot: Slot) -> &Server {
        &self.servers[slot as usize]
    }
}

impl std::ops::IndexMut<Slot> for ServerSet {
    fn index_mut(&mut self, slot: Slot) -> &mut Server {
        &mut self.servers[slot as usize]
    }
}

/// Queries.
impl ServerSet {
    /// The slot of a known server.
    pub fn slot(&self, id: &Id) -> Option<Slot> {
        self.slots.get(id).copied()
    }

    /// How many servers are ready.
    pub fn ready_count(&self) -> usize {
        self.local_ring.len() + self.remote_ring.len()
    }

    /// How many servers of the replica's own zone are ready.
    pub fn local_count(&self) -> usize {
        self.local_ring.len()
    }

    /// How many servers are ready and not ejected.
    pub fn available_count(&self) -> usize {
        self.available
    }

    /// How many attempts are in flight at available servers.
    pub fn available_in_flight(&self) -> u64 {
        self.available_in_flight
    }

    /// The mean size of the ready servers.
    pub fn mean_size(&self) -> f64 {
        self.size_sum / self.ready_count().max(1) as f64
    }

    /// The mean of the last load reports.
    pub fn mean_load_report(&self) -> f64 {
        self.report_sum / self.reporting.max(1) as f64
    }

    /// The ready servers that this replica works with, in the order of their ids.
    pub fn window(&self) -> &[Slot] {
        &self.window
    }

    /// The available servers of the window.
    fn available_in_window(&self) -> impl Iterator<Item = &Server> {
        self.window.iter().map(|slot| &self[*slot]).filter(|server| server.ejection.is_none())
    }

    /// How busy the window's available servers say they are, by reports younger than `max_age`. A report's weight
    /// falls by e in each `decay_seconds`. None without reports.
    pub fn mean_utilization(&self, now: Duration, max_age: Duration, decay_seconds: f64) -> Option<f64> {
        let mut sum = 0.0;
        let mut weights = 0.0;
        for slot in &self.window {
            let server = &self[*slot];
            // Each draw comes here for each server: where none reports, this is all that it costs.
            let Some(report) = server.utilization else { continue };
            if server.ejection.is_some() || report.at + max_age <= now {
                continue;
            }
            let age_seconds = now.saturating_sub(report.at).as_secs_f64();
            let weight = (-age_seconds / decay_seconds).exp();
            sum += report.fraction * weight;
            weights += weight;
        }
        (weights > 0.0).then(|| sum / weights)
    }

    /// What all replicas together may have in flight at the window's available servers.
    pub fn window_concurrency_limit(&self) -> f64 {
        self.available_in_window().map(|server| server.concurrency_limit).sum()
    }

    /// The ejected servers, in the order of their ids.
    pub fn ejected(&self) -> impl Iterator<Item = Slot> {
        self.ejected.values().copied()
    }

    /// The ready servers, in the order of the rings.
    pub fn ready_servers(&self) -> impl Iterator<Item = &Server> {
        self.local_ring.iter().chain(&self.remote_ring).map(|(_, slot)| &self[*slot])
    }

    /// How many ready servers are ejected for one class alone.
    pub fn class_ejected_count(&self, class: usize) -> usize {
        self.ready_servers().filter(|server| server.class_ejection(class).is_some()).count()
    }

    /// The ready server with this short name.
    pub fn by_short_name(&self, name: u32) -> Option<Slot> {
        [&self.local_ring, &self.remote_ring].into_iter().find_map(|ring| {
            let at = ring.partition_point(|(position, _)| server::short_name(*position) < name);
            let (position, slot) = ring.get(at)?;
            (server::short_name(*position) == name).then_some(*slot)
        })
    }

    fn in_cell(&self, zone: u32, cell: u32) -> impl Iterator<Item = Slot> {
        let from = (zone, cell, Id::from(""));
        self.cells
            .range(from..)
            .take_while(move |((z, c, _), _)| (*z, *c) == (zone, cell))
            .map(|(_, slot)| *slot)
    }

    /// The entry by which a ready server was last listed.
    pub fn listed(&self, id: &Id) -> Option<ListedServer> {
        let server = self.slot(id).map(|slot| &self[slot]).filter(|server| server.ready)?;
        Some(ListedServer {
            server: id.clone(),
            zone: server.zone,
            cell: server.cell,
            lifecycle: Lifecycle::Ready,
            nominal_capacity: server.nominal_size,
            started_at: server.started_at,
        })
    }
}

/// Changes of single servers, each with the sums that depend on it.
impl ServerSet {
    /// Makes a change that may decide whether the server is available or how much is in flight there.
    fn change_availability(&mut self, slot: Slot, change: impl FnOnce(&mut Server)) {
        let server = &mut self.servers[slot as usize];
        let count = |server: &Server| {
            (server.ready && server.ejection.is_none()).then_some(u64::from(server.in_flight))
        };
        let before = count(server);
        change(server);
        let after = count(server);
        self.available = self.available + usize::from(after.is_some()) - usize::from(before.is_some());
        self.available_in_flight = self.available_in_flight + after.unwrap_or(0) - before.unwrap_or(0);
    }

    /// So many attempts more, or less, are in flight at the server.
    pub fn change_in_flight(&mut self, slot: Slot, by: i32) {
        self.change_availability(slot, |server| {
            server.in_flight = server.in_flight.saturating_add_signed(by);
        });
    }

    /// Ejects the server, or begins its ejection anew.
    pub fn eject(&mut self, slot: Slot, ejection: Ejection) {
        self.change_availability(slot, |server| server.ejection = Some(ejection));
        self.ejected.insert(self[slot].id.clone(), slot);
    }

    /// Ends the server's ejection, if it is ejected.
    pub fn end_ejection(&mut self, slot: Slot) {
        self.change_availability(slot, |server| server.ejection = None);
        let id = self[slot].id.clone();
        self.ejected.remove(&id);
    }

    /// Replaces or removes the server's load report.
    pub fn set_load_report(&mut self, slot: Slot, report: Option<ReportedLoad>) {
        let old = std::mem::replace(&mut self[slot].load_report, report);
        let load = |report: Option<ReportedLoad>| report.map_or(0.0, |report| report.load);
        self.report_sum += load(report) - load(old);
        self.reporting = self.reporting + usize::from(report.is_some()) - usize::from(old.is_some());
        if self.reporting == 0 {
            self.report_sum = 0.0;
        }
    }

    /// A load report came; what it does not say leaves the older word.
    pub fn take_report(&mut self, slot: Slot, utilization: Option<f64>, load: Option<f64>, now: Duration) {
        let reported = utilization.map(|fraction| Utilization { fraction, at: now });
        self[slot].utilization = reported.or(self[slot].utilization);
        if let Some(load) = load {
            self.set_load_report(slot, Some(ReportedLoad { load, at: now }));
            self[slot].sent_since_report = 0.0;
        }
    }

    /// The server is in slow start from this moment on; its credits go on from the last that any server got.
    pub fn begin_slow_start(&mut self, slot: Slot, from: Duration) {
        let credited_at = self.credited_at;
        let server = &mut self[slot];
        if server.slow_start_from.replace(from).is_none() {
            server.credited_at = if server.added_at < credited_at { credited_at } else { Duration::ZERO };
            self.in_slow_start.push(slot);
        }
    }

    /// The server gets so many credits per second at the least, until something is sent to it.
    pub fn set_min_credits(&mut self, id: &Id, credits_per_second: f64) {
        if let Some(slot) = self.slot(id) {
            self[slot].min_credits_per_second = credits_per_second;
        }
    }

    /// Visits all servers in slow start; those for which `is_over` says so leave it.
    pub fn visit_slow_start(&mut self, now: Duration, mut is_over: impl FnMut(&mut Server) -> bool) {
        self.credited_at = now;
        let servers = &mut self.servers;
        self.in_slow_start.retain(|slot| {
            let server = &mut servers[*slot as usize];
            let over = is_over(server);
            if over {
                server.slow_start_from = None;
            }
            !over
        });
    }
}

/// The endpoint list.
impl ServerSet {
    /// A complete list came: servers that it does not name are not ready.
    pub fn retain_listed(&mut self, entries: &[ListedServer]) {
        self.listings += 1;
        for entry in entries {
            if let Some(slot) = self.slot(&entry.server) {
                self[slot].last_listing = self.listings;
            }
        }
        for slot in self.local_ring.iter().chain(&self.remote_ring).map(|(_, slot)| *slot).collect::<Vec<_>>()
        {
            if self[slot].last_listing != self.listings {
                self.set_unready(slot);
            }
        }
    }

    fn set_unready(&mut self, slot: Slot) {
        if !self[slot].ready {
            return;
        }
        self.change_availability(slot, |server| {
            server.ready = false;
            server.in_window = false;
        });
        self.size_sum -= self[slot].nominal_size;
        self.leaving.push(slot);
    }

    /// A list says that a server is ready. One that is not known is made by `new_server`. Returns its slot and
    /// whether it is new.
    pub fn set_ready(
        &mut self,
        entry: &ListedServer,
        own_zone: u32,
        new_server: impl FnOnce() -> Server,
    ) -> (Slot, bool) {
        let known = self.slot(&entry.server);
        let slot = known.unwrap_or_else(|| self.add(new_server()));
        let size = if entry.nominal_capacity > 0.0 { entry.nominal_capacity } else { DEFAULT_SIZE };
        if self[slot].ready {
            self.size_sum -= self[slot].nominal_size;
        } else {
            let position = (self[slot].ring_position, slot);
            let is_local = self[slot].zone == own_zone;
            let ring = if is_local { &mut self.local_ring } else { &mut self.remote_ring };
            ring.push(position);
        }
        self.size_sum += size;
        self[slot].nominal_size = size;
        self.change_availability(slot, |server| server.ready = true);
        (slot, known.is_none())
    }

    /// A list says that a server is not ready.
    pub fn remove(&mut self, id: &Id) {
        if let Some(slot) = self.slot(id) {
            self.set_unready(slot);
        }
    }

    fn add(&mut self, server: Server) -> Slot {
        let id = server.id.clone();
        let cell = (server.zone, server.cell, server.id.clone());
        let slot = match self.free_slots.pop() {
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

    /// After a list's entries: brings the rings up to date and forgets servers that are gone, as new ones come
    /// under new ids all day.
    pub fn settle(&mut self) {
        let servers = &self.servers;
        for ring in [&mut self.local_ring, &mut self.remote_ring] {
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
            if server.in_flight > 0 {
                self.leaving.push(slot);
            } else {
                self.forget(slot);
            }
        }
        if self.ready_count() == 0 {
            self.size_sum = 0.0;
        }
    }

    fn forget(&mut self, slot: Slot) {
        self.set_load_report(slot, None);
        let server = &self[slot];
        let id = server.id.clone();
        let cell = (server.zone, server.cell, server.id.clone());
        self.slots.remove(&id);
        self.cells.remove(&cell);
        self.ejected.remove(&id);
        self.in_slow_start.retain(|other| *other != slot);
        self.free_slots.push(slot);
    }
}

/// The window.
impl ServerSet {
    /// Chooses the window anew: on each ring from the position that `start`, from 0 to 1, gives, until so much is
    /// taken of the replica's own zone and of the others. `counted_as` is what one server counts.
    pub fn choose_window(
        &mut self,
        start: f64,
        local: f64,
        remote: f64,
        counted_as: impl Fn(&Server) -> f64,
    ) {
        for slot in std::mem::take(&mut self.window) {
            self[slot].in_window = false;
        }
        let local_ring = std::mem::take(&mut self.local_ring);
        let remote_ring = std::mem::take(&mut self.remote_ring);
        self.choose_on_ring(&remote_ring, start, remote, &counted_as);
        self.choose_on_ring(&local_ring, start, local, &counted_as);
        self.local_ring = local_ring;
        self.remote_ring = remote_ring;
        let mut window = std::mem::take(&mut self.window);
        window.sort_by(|one, other| self[*one].id.cmp(&self[*other].id));
        self.window = window;
    }

    fn choose_on_ring(
        &mut self,
        ring: &[(u64, Slot)],
        start: f64,
        mut wanted: f64,
        counted_as: &impl Fn(&Server) -> f64,
    ) {
        let from = (start * ring.len() as f64) as usize;
        for (_, slot) in ring[from..].iter().chain(&ring[..from]) {
            if wanted <= 0.0 {
                return;
            }
            let server = &mut self[*slot];
            server.in_window = true;
            wanted -= counted_as(server);
            self.window.push(*slot);
        }
    }

    /// Updates the size weights of the window's servers, to this exponent.
    pub fn update_size_weights(&mut self, exponent: f64) {
        let mean = self.mean_size().max(MIN_MEAN_SIZE);
        for at in 0..self.window.len() {
            self.update_size_weight(self.window[at], exponent, mean);
        }
    }

    /// The servers of a cell, which may lie outside of the window, with their size weights up to date.
    pub fn cell_servers(&mut self, zone: u32, cell: u32, exponent: f64) -> Vec<Slot> {
        let slots = self.in_cell(zone, cell).collect::<Vec<_>>();
        let mean = self.mean_size().max(MIN_MEAN_SIZE);
        slots.iter().for_each(|slot| self.update_size_weight(*slot, exponent, mean));
        slots
    }

    fn update_size_weight(&mut self, slot: Slot, exponent: f64, mean: f64) {
        let server = &mut self[slot];
        server.relative_size = server.nominal_size / mean;
        server.size_weight = server.relative_size.powf(exponent);
    }
}

#[cfg(test)]
#[path = "server_set_tests.rs"]
mod tests;
