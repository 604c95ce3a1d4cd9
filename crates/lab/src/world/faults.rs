//! The start, the steps and the end of faults. A fault that only changes a factor needs no code here: the simulation
//! reads the factor from the active faults. The other kinds change the state here.

use super::ground::{ServerStatus, SimulationState};
use super::happening::SimEvent;
use crate::plan::{Fault, FaultKind, to_duration};
use std::time::Duration;

impl SimulationState {
    /// Schedules the start and the end of all faults of the plan.
    pub fn schedule_faults(&mut self) {
        for (fault_index, fault) in self.plan.clone().faults.iter().enumerate() {
            self.schedule(to_duration(fault.at), SimEvent::FaultBegins(fault_index));
            self.schedule(to_duration(fault.at + fault.duration), SimEvent::FaultEnds(fault_index));
        }
    }

    fn affected_servers(&self, fault: &Fault) -> Vec<usize> {
        let servers_of_tier = &self.servers_by_tier[fault.tier];
        fault.servers.iter().filter_map(|index| servers_of_tier.get(*index).copied()).collect()
    }

    /// Starts a fault, by its index in the plan.
    pub fn fault_begins(&mut self, fault_index: usize) {
        let plan = self.plan.clone();
        let fault = &plan.faults[fault_index];
        if fault.kind == FaultKind::ListStale {
            self.snapshot_lists(fault.tier);
        }
        self.active_faults.push(fault_index);
        match fault.kind {
            FaultKind::Crash => self.take_all_down(self.affected_servers(fault), ServerStatus::Down),
            FaultKind::Vanish => self.take_all_down(self.affected_servers(fault), ServerStatus::Unreachable),
            FaultKind::Grow => self.grow(fault),
            FaultKind::Shrink => self.shrink(fault),
            FaultKind::ListEmpty => self.broadcast_full_list(fault.tier),
            FaultKind::ListDown => self.end_watches(fault.tier),
            FaultKind::ZoneLost => self.lose_zone(fault),
            FaultKind::ListFlapping | FaultKind::ReplicasRestarted => self.fault_step(fault_index, 0),
            FaultKind::ReplicasDown => {
                (0..plan.affected_replicas(fault)).for_each(|replica| self.stop_replica(replica));
            }
            _ => {}
        }
    }

    /// Ends a fault, by its index in the plan.
    pub fn fault_ends(&mut self, fault_index: usize) {
        let plan = self.plan.clone();
        let fault = &plan.faults[fault_index];
        self.active_faults.retain(|active| *active != fault_index);
        match fault.kind {
            FaultKind::Crash | FaultKind::Vanish => {
                self.affected_servers(fault).into_iter().for_each(|server| self.bring_up(server));
            }
            FaultKind::Pause => {
                let affected_servers = self.affected_servers(fault);
                affected_servers
                    .into_iter()
                    .for_each(|server| self.schedule_in(Duration::ZERO, SimEvent::PauseEnded(server)));
            }
            FaultKind::ZoneLost => self.restore_zone(fault),
            FaultKind::ListEmpty | FaultKind::ListStale => self.broadcast_full_list(fault.tier),
            FaultKind::ListFlapping => self.set_flapping(fault, false),
            FaultKind::ReplicasDown => (0..plan.affected_replicas(fault))
                .for_each(|replica| self.schedule_in(Duration::ZERO, SimEvent::ReplicaStarts(replica))),
            _ => {}
        }
    }

    fn take_all_down(&mut self, servers: Vec<usize>, status: ServerStatus) {
        for server in servers {
            if self.servers[server].status == ServerStatus::Up && !self.servers[server].removed {
                self.take_down(server, status);
            }
        }
    }

    /// Starts a server that is down, unless another active fault still keeps it down; that fault starts it at its end.
    fn bring_up(&mut self, server: usize) {
        let still_affected = self.faults().any(|fault| {
            matches!(fault.kind, FaultKind::Crash | FaultKind::Vanish)
                && self.affects(fault, &self.servers[server])
                || fault.kind == FaultKind::ZoneLost
                    && self.zone_index(fault.zone.as_ref()) == Some(self.servers[server].zone)
        });
        if !still_affected && self.servers[server].status != ServerStatus::Up {
            let generation = self.servers[server].generation;
            self.schedule_in(Duration::ZERO, SimEvent::ServerStarts(server, generation));
        }
    }

    /// Starts a server that is down, unless its generation has changed since or it was removed.
    pub fn server_starts(&mut self, server: usize, generation: u32) {
        let target = &self.servers[server];
        if target.generation == generation && target.status != ServerStatus::Up && !target.removed {
            self.start_server(server);
        }
    }

    fn grow(&mut self, fault: &Fault) {
        for _ in 0..fault.count.unwrap_or(0) {
            let server = self.add_server(fault.tier);
            self.servers[server].generation += 1;
            let replica = self.add_attached_replica(server);
            if let Some(replica) = replica {
                self.replicas[replica].up = false;
            }
            self.start_server(server);
        }
    }

    fn shrink(&mut self, fault: &Fault) {
        let drain_time = to_duration(self.plan.discovery.drain_time);
        for server in self.affected_servers(fault) {
            self.servers[server].draining = true;
            self.update_list_source(server);
            self.schedule_in(drain_time, SimEvent::ServerRemoved(server));
        }
    }

    /// Ends a draining server for good.
    pub fn remove_server(&mut self, server: usize) {
        self.servers[server].removed = true;
        self.take_down(server, ServerStatus::Down);
        self.update_list_source(server);
    }

    fn lose_zone(&mut self, fault: &Fault) {
        let Some(zone) = self.zone_index(fault.zone.as_ref()) else { return };
        let servers = (0..self.servers.len()).filter(|server| self.servers[*server].zone == zone).collect();
        self.take_all_down(servers, ServerStatus::Unreachable);
        for replica in 0..self.replicas.len() {
            if self.replicas[replica].zone == zone {
                self.stop_replica(replica);
            }
        }
    }

    fn restore_zone(&mut self, fault: &Fault) {
        let Some(zone) = self.zone_index(fault.zone.as_ref()) else { return };
        for server in 0..self.servers.len() {
            if self.servers[server].zone == zone {
                self.bring_up(server);
            }
        }
        for replica in 0..self.replicas.len() {
            if self.replicas[replica].zone == zone && self.replicas[replica].attached_server.is_none() {
                self.schedule_in(Duration::ZERO, SimEvent::ReplicaStarts(replica));
            }
        }
    }

    /// Runs one step of a fault that acts repeatedly and schedules the next.
    pub fn fault_step(&mut self, fault_index: usize, step: u32) {
        let plan = self.plan.clone();
        let fault = &plan.faults[fault_index];
        if !self.active_faults.contains(&fault_index) && fault.kind == FaultKind::ListFlapping {
            return;
        }
        let step_interval = to_duration(fault.seconds.unwrap_or(1.0));
        match fault.kind {
            FaultKind::ListFlapping => self.set_flapping(fault, step.is_multiple_of(2)),
            FaultKind::ReplicasRestarted => {
                self.stop_replica(step as usize);
                self.schedule_in(Duration::from_secs(1), SimEvent::ReplicaStarts(step as usize));
                if step as usize + 1 >= plan.affected_replicas(fault) {
                    return;
                }
            }
            _ => return,
        }
        self.schedule_in(step_interval, SimEvent::FaultStep(fault_index, step + 1));
    }

    /// Lists the servers of the fault as draining, or by their actual state again.
    fn set_flapping(&mut self, fault: &Fault, listed_draining: bool) {
        for server in self.affected_servers(fault) {
            let actually_draining = self.servers[server].draining;
            self.servers[server].draining = actually_draining || listed_draining;
            self.update_list_source(server);
            self.servers[server].draining = actually_draining;
        }
    }

    /// Saves the current list for each replica of the tier. Polls are answered with it while the list is stale.
    fn snapshot_lists(&mut self, tier: usize) {
        let list = self.listed_servers(tier);
        for replica in self.replicas.iter_mut().filter(|replica| replica.tier == tier) {
            replica.last_list = list.clone();
        }
    }
}
