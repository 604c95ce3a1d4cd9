//! The servers that one replica knows: slots, rings, the window, and sums that are updated with each change, so that
//! the cost of a request depends on the size of the window and not on the number of servers. It makes no decisions.

mod server;

pub use server::{Ejection, ReportedLoad, Server, Utilization};

use crate::host::{Id, Lifecycle, ListedServer};
use std::collections::BTreeMap;
use std::time::Duration;

/// Lower bound of the mean size by which sizes are divided.
const MIN_MEAN_SIZE: f64 = 1e-9;
/// Size of a server for which the list reports none.
const DEFAULT_SIZE: f64 = 1.0;

/// Index of a server while this replica knows it. It is reused only after all attempts at the server have ended.
pub type Slot = u32;

/// Ready servers in the order of their ring positions.
type Ring = Vec<(u64, Slot)>;

/// All servers that this replica knows.
#[derive(Debug, Default)]
pub struct ServerSet {
    servers: Vec<Server>,
    free_slots: Vec<Slot>,
    slots: BTreeMap<Id, Slot>,
    /// Slots by zone, cell and id. A server that deduplicates a retry may be outside the window.
    cells: BTreeMap<(u32, u32, Id), Slot>,
    /// Ready servers of the replica's own zone.
    local_ring: Ring,
    /// Ready servers of the other zones.
    remote_ring: Ring,
    /// Servers that are no longer ready and may have attempts in flight.
    pending_removal: Vec<Slot>,
    /// Ready servers that this replica uses, ordered by id.
    window: Vec<Slot>,
    ejected: BTreeMap<Id, Slot>,
    in_slow_start: Vec<Slot>,
    /// Number of complete lists that were received.
    list_number: u64,
    /// When slow-start credits were last added.
    credited_at: Duration,
    /// Number of servers that are ready and not ejected.
    available: usize,
    /// Attempts in flight at available servers.
    available_in_flight: u64,
    /// Sum of the sizes of the ready servers.
    size_sum: f64,
    /// Sum of the last load reports, in requests.
    report_sum: f64,
    /// Number of servers with a load report.
    report_count: usize,
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

/// Read access to servers, indexes and sums.
impl ServerSet {
    /// Slot of a server, if it is known.
    pub fn slot(&self, id: &Id) -> Option<Slot> {
        self.slots.get(id).copied()
    }

    /// Number of ready servers.
    pub fn ready_count(&self) -> usize {
        self.local_ring.len() + self.remote_ring.len()
    }

    /// Number of ready servers in the replica's own zone.
    pub fn local_count(&self) -> usize {
        self.local_ring.len()
    }

    /// Number of servers that are ready and not ejected.
    pub fn available_count(&self) -> usize {
        self.available
    }

    /// Number of attempts in flight at available servers.
    pub fn available_in_flight(&self) -> u64 {
        self.available_in_flight
    }

    /// Mean size of the ready servers.
    pub fn mean_size(&self) -> f64 {
        self.size_sum / self.ready_count().max(1) as f64
    }

    /// Mean of the last load reports, in requests.
    pub fn mean_load_report(&self) -> f64 {
        self.report_sum / self.report_count.max(1) as f64
    }

    /// The ready servers that this replica uses, ordered by id.
    pub fn window(&self) -> &[Slot] {
        &self.window
    }

    /// The available servers of the window.
    fn available_in_window(&self) -> impl Iterator<Item = &Server> {
        self.window.iter().map(|slot| &self[*slot]).filter(|server| server.ejection.is_none())
    }

    /// Mean utilization that the window's available servers report, from reports younger than `max_age`. The weight of
    /// a report falls by a factor of e in `decay_seconds`. `None` without reports.
    pub fn mean_utilization(&self, now: Duration, max_age: Duration, decay_seconds: f64) -> Option<f64> {
        let mut sum = 0.0;
        let mut weights = 0.0;
        for slot in &self.window {
            let server = &self[*slot];
            // Each selection visits each server here; without reports this check is the only cost.
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

    /// Number of attempts that all replicas together may have in flight at the window's available servers.
    pub fn window_concurrency_limit(&self) -> f64 {
        self.available_in_window().map(|server| server.concurrency_limit).sum()
    }

    /// The ejected servers, ordered by id.
    pub fn ejected(&self) -> impl Iterator<Item = Slot> {
        self.ejected.values().copied()
    }

    /// The ready servers, in the order of the rings.
    pub fn ready_servers(&self) -> impl Iterator<Item = &Server> {
        self.local_ring.iter().chain(&self.remote_ring).map(|(_, slot)| &self[*slot])
    }

    /// Number of ready servers that are ejected for this class.
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

    fn slots_in_cell(&self, zone: u32, cell: u32) -> impl Iterator<Item = Slot> {
        let from = (zone, cell, Id::from(""));
        self.cells
            .range(from..)
            .take_while(move |((other_zone, other_cell, _), _)| (*other_zone, *other_cell) == (zone, cell))
            .map(|(_, slot)| *slot)
    }

    /// The list entry of a ready server.
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
    /// Makes a change that may affect whether the server is available or how many attempts are in flight there.
    fn change_availability(&mut self, slot: Slot, change: impl FnOnce(&mut Server)) {
        let server = &mut self.servers[slot as usize];
        let available_in_flight = |server: &Server| {
            (server.ready && server.ejection.is_none()).then_some(u64::from(server.in_flight))
        };
        let before = available_in_flight(server);
        change(server);
        let after = available_in_flight(server);
        self.available = self.available + usize::from(after.is_some()) - usize::from(before.is_some());
        self.available_in_flight = self.available_in_flight + after.unwrap_or(0) - before.unwrap_or(0);
    }

    /// Adds `delta` to the attempts in flight at the server.
    pub fn change_in_flight(&mut self, slot: Slot, delta: i32) {
        self.change_availability(slot, |server| {
            server.in_flight = server.in_flight.saturating_add_signed(delta);
        });
    }

    /// Ejects the server, or replaces its ejection.
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
        self.report_count = self.report_count + usize::from(report.is_some()) - usize::from(old.is_some());
        if self.report_count == 0 {
            self.report_sum = 0.0;
        }
    }

    /// Records a load report. Figures that are not reported keep their last value.
    pub fn record_report(&mut self, slot: Slot, utilization: Option<f64>, load: Option<f64>, now: Duration) {
        let reported = utilization.map(|fraction| Utilization { fraction, at: now });
        self[slot].utilization = reported.or(self[slot].utilization);
        if let Some(load) = load {
            self.set_load_report(slot, Some(ReportedLoad { load, at: now }));
            self[slot].sent_since_report = 0.0;
        }
    }

    /// Starts the slow start of the server at `from`. A server that was known before the last update of credits
    /// receives credits from that update on; a newer one receives them for the maximum time at once.
    pub fn begin_slow_start(&mut self, slot: Slot, from: Duration) {
        let credited_at = self.credited_at;
        let server = &mut self[slot];
        if server.slow_start_from.replace(from).is_none() {
            server.credited_at = if server.added_at < credited_at { credited_at } else { Duration::ZERO };
            self.in_slow_start.push(slot);
        }
    }

    /// Guarantees the server this many credits per second, until something is sent to it.
    pub fn set_min_credits(&mut self, id: &Id, credits_per_second: f64) {
        if let Some(slot) = self.slot(id) {
            self[slot].min_credits_per_second = credits_per_second;
        }
    }

    /// Visits all servers in slow start, and ends the slow start of those for which `is_over` returns true.
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

/// Updates from the endpoint list.
impl ServerSet {
    /// Handles a complete list: servers that it does not name are no longer ready.
    pub fn retain_listed(&mut self, entries: &[ListedServer]) {
        self.list_number += 1;
        for entry in entries {
            if let Some(slot) = self.slot(&entry.server) {
                self[slot].last_list_number = self.list_number;
            }
        }
        for slot in self.local_ring.iter().chain(&self.remote_ring).map(|(_, slot)| *slot).collect::<Vec<_>>()
        {
            if self[slot].last_list_number != self.list_number {
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
        self.pending_removal.push(slot);
    }

    /// Marks a server as ready. An unknown server is created by `new_server`. Returns the slot, and whether the server
    /// is new.
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

    /// Marks a server as not ready.
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

    /// Completes an update from a list: sorts the rings and drops removed servers, because servers are replaced under
    /// new ids all the time.
    pub fn finish_list_update(&mut self) {
        let servers = &self.servers;
        for ring in [&mut self.local_ring, &mut self.remote_ring] {
            ring.retain(|(_, slot)| servers[*slot as usize].ready);
            ring.sort();
            ring.dedup();
        }
        let mut pending_removal = std::mem::take(&mut self.pending_removal);
        pending_removal.sort();
        pending_removal.dedup();
        for slot in pending_removal {
            let server = &self[slot];
            if server.ready {
                continue;
            }
            if server.in_flight > 0 {
                self.pending_removal.push(slot);
            } else {
                self.release_slot(slot);
            }
        }
        if self.ready_count() == 0 {
            self.size_sum = 0.0;
        }
    }

    fn release_slot(&mut self, slot: Slot) {
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

/// Selection of the window, and the size weights of its servers.
impl ServerSet {
    /// Chooses the window: from the position `start`, from 0 to 1, on each ring, until the servers of the replica's own
    /// zone and of the others reach the sizes `local` and `remote`. `window_weight` returns what one server counts as.
    pub fn choose_window(
        &mut self,
        start: f64,
        local: f64,
        remote: f64,
        window_weight: impl Fn(&Server) -> f64,
    ) {
        for slot in std::mem::take(&mut self.window) {
            self[slot].in_window = false;
        }
        let local_ring = std::mem::take(&mut self.local_ring);
        let remote_ring = std::mem::take(&mut self.remote_ring);
        self.choose_on_ring(&remote_ring, start, remote, &window_weight);
        self.choose_on_ring(&local_ring, start, local, &window_weight);
        self.local_ring = local_ring;
        self.remote_ring = remote_ring;
        let mut window = std::mem::take(&mut self.window);
        window.sort_by(|first, second| self[*first].id.cmp(&self[*second].id));
        self.window = window;
    }

    fn choose_on_ring(
        &mut self,
        ring: &[(u64, Slot)],
        start: f64,
        mut remaining: f64,
        window_weight: &impl Fn(&Server) -> f64,
    ) {
        let start_index = (start * ring.len() as f64) as usize;
        for (_, slot) in ring[start_index..].iter().chain(&ring[..start_index]) {
            if remaining <= 0.0 {
                return;
            }
            let server = &mut self[*slot];
            server.in_window = true;
            remaining -= window_weight(server);
            self.window.push(*slot);
        }
    }

    /// Updates the size weights of the window's servers with this exponent.
    pub fn update_size_weights(&mut self, exponent: f64) {
        let mean = self.mean_size().max(MIN_MEAN_SIZE);
        for at in 0..self.window.len() {
            self.update_size_weight(self.window[at], exponent, mean);
        }
    }

    /// The servers of a cell, which may be outside the window, with updated size weights.
    pub fn cell_servers(&mut self, zone: u32, cell: u32, exponent: f64) -> Vec<Slot> {
        let slots = self.slots_in_cell(zone, cell).collect::<Vec<_>>();
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
