//! The source of endpoint lists, as service discovery: its entries, their delivery to replicas and its faults. It learns
//! of changes with a delay and does not check servers itself; its lists may be late, stale, empty or not delivered.

use super::ground::{Server, ServerStatus, SimulationState};
use super::happening::{ReplicaProcess, SimEvent};
use crate::plan::{FaultKind, to_duration};
use landingspread_decisions::host::{Lifecycle, ListedServer};
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;

/// Time after which a poll of a source that does not answer fails.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// The latest entry of each server, by its number; `None` for a server that was never reported.
#[derive(Default)]
pub struct ListSource {
    entries: Vec<Option<ListedServer>>,
}

impl ListSource {
    /// Records the current status of a server as its entry.
    pub fn update(&mut self, server: &Server, number: usize) {
        if self.entries.len() <= number {
            self.entries.resize(number + 1, None);
        }
        let lifecycle = match server.status {
            _ if server.removed => Lifecycle::Removed,
            ServerStatus::Down | ServerStatus::Unreachable => Lifecycle::Removed,
            ServerStatus::Up if server.draining => Lifecycle::Draining,
            ServerStatus::Up => Lifecycle::Ready,
        };
        self.entries[number] = Some(ListedServer {
            server: server.id.clone(),
            zone: server.zone,
            cell: server.cell,
            lifecycle,
            nominal_capacity: server.speed,
            started_at: server.started_at,
        });
    }

    fn latest_entry(&self, number: usize) -> Option<&ListedServer> {
        self.entries.get(number)?.as_ref()
    }

    /// A server's entry in a full list; `None` for removed servers.
    pub fn entry(&self, number: usize) -> Option<ListedServer> {
        self.latest_entry(number).filter(|entry| entry.lifecycle != Lifecycle::Removed).cloned()
    }
}

impl SimulationState {
    fn source_fault_active(&self, kind: FaultKind, tier: usize) -> bool {
        self.faults().any(|fault| fault.kind == kind && fault.tier == tier)
    }

    /// Records the status of a server in the list source and sends the change to the replicas.
    pub fn update_list_source(&mut self, number: usize) {
        self.list_source.update(&self.servers[number], number);
        self.publish(number);
    }

    /// Sends the entry of a server to the watching replicas of its tier.
    pub fn publish(&mut self, number: usize) {
        let tier = self.servers[number].tier;
        let Some(mut entry) = self.list_source.latest_entry(number).cloned() else { return };
        if !self.plan.tiers[tier].lists_weights {
            entry.nominal_capacity = 1.0;
        }
        let change: Rc<[ListedServer]> = Rc::new([entry]);
        self.broadcast_list(tier, false, &change);
    }

    /// Sends entries to all watching replicas of a tier, each with its own delay. While the list is stale, empty or down,
    /// nothing is sent but a full list that is empty.
    fn broadcast_list(&mut self, tier: usize, full: bool, entries: &Rc<[ListedServer]>) {
        let (stale, empty) = (
            self.source_fault_active(FaultKind::ListStale, tier),
            self.source_fault_active(FaultKind::ListEmpty, tier),
        );
        if (stale || empty || self.source_fault_active(FaultKind::ListDown, tier)) && !(full && empty) {
            return;
        }
        for replica in 0..self.replicas.len() {
            let recipient = &self.replicas[replica];
            if recipient.tier == tier && recipient.up && recipient.watching {
                self.deliver_list(replica, full, entries.clone());
            }
        }
    }

    fn deliver_list(&mut self, replica: usize, full: bool, entries: Rc<[ListedServer]>) {
        let tier = self.replicas[replica].tier;
        let extra_delay =
            self.faults().filter(|fault| fault.kind == FaultKind::ListLate && fault.tier == tier);
        let extra_delay: f64 = extra_delay.filter_map(|fault| fault.seconds).sum();
        let discovery = &self.plan.discovery;
        let wait = discovery.delay + extra_delay + discovery.jitter * self.rng.network.random::<f64>();
        let at = (self.now + to_duration(wait)).max(self.replicas[replica].last_list_at);
        self.replicas[replica].last_list_at = at;
        self.schedule(at, SimEvent::ListDelivered(self.current_process(replica), full, entries));
    }

    /// The full list as the source serves it now.
    fn full_list(&self, tier: usize) -> Rc<[ListedServer]> {
        if self.source_fault_active(FaultKind::ListEmpty, tier) {
            return Rc::from([]);
        }
        let mut entries: Vec<ListedServer> =
            self.servers_by_tier[tier].iter().filter_map(|server| self.list_source.entry(*server)).collect();
        if !self.plan.tiers[tier].lists_weights {
            entries.iter_mut().for_each(|entry| entry.nominal_capacity = 1.0);
        }
        entries.into()
    }

    /// Sends the full list to the watching replicas of a tier.
    pub fn broadcast_full_list(&mut self, tier: usize) {
        let full = self.full_list(tier);
        self.broadcast_list(tier, true, &full);
    }

    /// Answers a replica's poll with the full list; the replica watches for changes from then on.
    pub fn discovery_polled(&mut self, process: ReplicaProcess) {
        if !self.is_running(process) {
            return;
        }
        let tier = self.replicas[process.replica].tier;
        if self.source_fault_active(FaultKind::ListDown, tier) {
            self.schedule_in(POLL_TIMEOUT, SimEvent::DiscoveryPollFailed(process));
            return;
        }
        self.replicas[process.replica].watching = true;
        let list = if self.source_fault_active(FaultKind::ListStale, tier) {
            self.replicas[process.replica].last_list.clone()
        } else {
            self.full_list(tier)
        };
        self.deliver_list(process.replica, true, list);
    }

    /// Ends the watches of all running replicas of a tier. Each replica learns of it within a second.
    pub fn end_watches(&mut self, tier: usize) {
        for replica in 0..self.replicas.len() {
            if self.replicas[replica].tier == tier && self.replicas[replica].up {
                self.replicas[replica].watching = false;
                let after = Duration::from_secs_f64(self.rng.faults.random::<f64>());
                self.schedule_in(after, SimEvent::DiscoveryPollFailed(self.current_process(replica)));
            }
        }
    }

    /// Records when a replica learns from a received list that servers are unavailable, or ready again.
    pub fn record_list(&mut self, process: ReplicaProcess, full: bool, entries: &[ListedServer]) {
        let (now, count) = (self.now, self.servers.len());
        let mut ready: Vec<(usize, bool)> = Vec::with_capacity(entries.len());
        for entry in entries {
            if let Some(number) = self.server_index(&entry.server) {
                ready.push((number, entry.lifecycle == Lifecycle::Ready));
            }
        }
        let replica = &mut self.replicas[process.replica];
        replica.listed_ready.resize(count, false);
        if full {
            let mut listed = vec![false; count];
            ready.iter().for_each(|(number, _)| listed[*number] = true);
            let missing = (0..count).filter(|number| replica.listed_ready[*number] && !listed[*number]);
            ready.extend(missing.map(|number| (number, false)).collect::<Vec<_>>());
        }
        for (number, ready) in ready {
            replica.listed_ready[number] = ready;
            if ready {
                replica.unavailable_since.remove(&number);
            } else {
                replica.unavailable_since.entry(number).or_insert(now);
            }
        }
    }
}
