//! Faults as they begin, go on and end. Those that only change a factor act by being among the active ones; the
//! others act here.

use super::ground::{Ground, Standing};
use super::happening::Happening;
use crate::plan::{Fault, FaultKind, to_duration};
use std::time::Duration;

impl Ground {
    pub fn put_faults(&mut self) {
        for (number, fault) in self.plan.clone().faults.iter().enumerate() {
            self.put(to_duration(fault.at), Happening::FaultBegins(number));
            self.put(to_duration(fault.at + fault.duration), Happening::FaultEnds(number));
        }
    }

    fn struck(&self, fault: &Fault) -> Vec<usize> {
        let of_tier = &self.by_tier[fault.tier];
        fault.servers.iter().filter_map(|place| of_tier.get(*place).copied()).collect()
    }

    pub fn fault_begins(&mut self, number: usize) {
        let plan = self.plan.clone();
        let fault = &plan.faults[number];
        if fault.kind == FaultKind::ListStale {
            self.remember_lists(fault.tier);
        }
        self.active.push(number);
        match fault.kind {
            FaultKind::Crash => self.strike_all(self.struck(fault), Standing::Down),
            FaultKind::Vanish => self.strike_all(self.struck(fault), Standing::Silent),
            FaultKind::Grow => self.grow(fault),
            FaultKind::Shrink => self.shrink(fault),
            FaultKind::ListEmpty => self.tell_whole(fault.tier),
            FaultKind::ListDown => self.end_watches(fault.tier),
            FaultKind::ZoneLost => self.lose_zone(fault),
            FaultKind::ListFlapping | FaultKind::ReplicasRestarted => self.fault_step(number, 0),
            FaultKind::ReplicasDown => {
                (0..plan.affected_replicas(fault)).for_each(|copy| self.copy_dies(copy))
            }
            _ => {}
        }
    }

    pub fn fault_ends(&mut self, number: usize) {
        let plan = self.plan.clone();
        let fault = &plan.faults[number];
        self.active.retain(|active| *active != number);
        match fault.kind {
            FaultKind::Crash | FaultKind::Vanish => {
                self.struck(fault).into_iter().for_each(|server| self.put_up(server));
            }
            FaultKind::Pause => {
                let struck = self.struck(fault);
                struck.into_iter().for_each(|server| self.put_in(Duration::ZERO, Happening::GoesOn(server)));
            }
            FaultKind::ZoneLost => self.regain_zone(fault),
            FaultKind::ListEmpty | FaultKind::ListStale => self.tell_whole(fault.tier),
            FaultKind::ListFlapping => self.flap(fault, false),
            FaultKind::ReplicasDown => (0..plan.affected_replicas(fault))
                .for_each(|copy| self.put_in(Duration::ZERO, Happening::CopyUp(copy))),
            _ => {}
        }
    }

    fn strike_all(&mut self, servers: Vec<usize>, standing: Standing) {
        for server in servers {
            if self.servers[server].standing == Standing::Up && !self.servers[server].gone {
                self.strike_down(server, standing);
            }
        }
    }

    /// A process starts that is away now; one that another fault still holds down waits for that one's end.
    fn put_up(&mut self, server: usize) {
        let held = self.faults().any(|fault| {
            matches!(fault.kind, FaultKind::Crash | FaultKind::Vanish)
                && self.strikes(fault, &self.servers[server])
                || fault.kind == FaultKind::ZoneLost
                    && self.zone_number(fault.zone.as_ref()) == Some(self.servers[server].zone)
        });
        if !held && self.servers[server].standing != Standing::Up {
            let life = self.servers[server].life;
            self.put_in(Duration::ZERO, Happening::ServerUp(server, life));
        }
    }

    pub fn server_up(&mut self, server: usize, life: u32) {
        let here = &self.servers[server];
        if here.life == life && here.standing != Standing::Up && !here.gone {
            self.start_server(server);
        }
    }

    fn grow(&mut self, fault: &Fault) {
        for _ in 0..fault.count.unwrap_or(0) {
            let server = self.add_server(fault.tier);
            self.servers[server].life += 1;
            let copy = self.add_own_copy(server);
            if let Some(copy) = copy {
                self.copies[copy].up = false;
            }
            self.start_server(server);
        }
    }

    fn shrink(&mut self, fault: &Fault) {
        let drain = to_duration(self.plan.discovery.drain_time);
        for server in self.struck(fault) {
            self.servers[server].draining = true;
            self.list_hears(server);
            self.put_in(drain, Happening::ServerLeaves(server));
        }
    }

    pub fn server_leaves(&mut self, server: usize) {
        self.servers[server].gone = true;
        self.strike_down(server, Standing::Down);
        self.list_hears(server);
    }

    fn lose_zone(&mut self, fault: &Fault) {
        let Some(zone) = self.zone_number(fault.zone.as_ref()) else { return };
        let servers = (0..self.servers.len()).filter(|server| self.servers[*server].zone == zone).collect();
        self.strike_all(servers, Standing::Silent);
        for copy in 0..self.copies.len() {
            if self.copies[copy].zone == zone {
                self.copy_dies(copy);
            }
        }
    }

    fn regain_zone(&mut self, fault: &Fault) {
        let Some(zone) = self.zone_number(fault.zone.as_ref()) else { return };
        for server in 0..self.servers.len() {
            if self.servers[server].zone == zone {
                self.put_up(server);
            }
        }
        for copy in 0..self.copies.len() {
            if self.copies[copy].zone == zone && self.copies[copy].beside.is_none() {
                self.put_in(Duration::ZERO, Happening::CopyUp(copy));
            }
        }
    }

    /// The step of a fault that acts again and again.
    pub fn fault_step(&mut self, number: usize, step: u32) {
        let plan = self.plan.clone();
        let fault = &plan.faults[number];
        if !self.active.contains(&number) && fault.kind == FaultKind::ListFlapping {
            return;
        }
        let every = to_duration(fault.seconds.unwrap_or(1.0));
        match fault.kind {
            FaultKind::ListFlapping => self.flap(fault, step.is_multiple_of(2)),
            FaultKind::ReplicasRestarted => {
                self.copy_dies(step as usize);
                self.put_in(Duration::from_secs(1), Happening::CopyUp(step as usize));
                if step as usize + 1 >= plan.affected_replicas(fault) {
                    return;
                }
            }
            _ => return,
        }
        self.put_in(every, Happening::FaultStep(number, step + 1));
    }

    /// The list says that these servers drain, or takes it back.
    fn flap(&mut self, fault: &Fault, out: bool) {
        for server in self.struck(fault) {
            let truly = self.servers[server].draining;
            self.servers[server].draining = truly || out;
            self.list_hears(server);
            self.servers[server].draining = truly;
        }
    }

    fn remember_lists(&mut self, tier: usize) {
        let list = self.list_of(tier);
        for copy in self.copies.iter_mut().filter(|copy| copy.tier == tier) {
            copy.last_list = list.clone();
        }
    }
}
