//! Network fault model: which of the active faults affect the path between two nodes, and which replicas belong
//! to a fault's group. Apart from the groups, which are drawn from the seed once, nothing here is random.

use super::plan::{Direction, Fault, FaultKind, FleetPlan, PathScope};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A sender or receiver of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Node {
    /// The replica with this index.
    Replica(usize),
    /// The server with this index.
    Server(usize),
    /// The list source and the clients, which are local to each replica.
    Local,
}

/// Combined effect of all active faults on a message or connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathEffects {
    /// Whether no message passes.
    pub cut: bool,
    /// Whether connections are reset.
    pub reset: bool,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram is duplicated.
    pub duplication: f64,
    /// Probability that a datagram is corrupted.
    pub corruption: f64,
    /// Latency that the faults add.
    pub delay: Duration,
}

/// Replicas and servers that a fault affects.
struct Group {
    replicas: Vec<bool>,
    /// Index of the zone, for a fault on a whole zone.
    zone: Option<usize>,
    all: bool,
}

/// The plan's faults and which of them are active.
pub struct NetworkFaults {
    faults: Vec<Fault>,
    groups: Vec<Group>,
    zone_count: usize,
    zone_names: Vec<String>,
    active: Vec<usize>,
}

impl NetworkFaults {
    /// Resolves the group of each fault; `seed` selects the replicas of a fraction.
    pub fn new(plan: &FleetPlan, seed: u64) -> NetworkFaults {
        let fault_group = |(fault_index, fault): (usize, &Fault)| {
            let zone = plan.zones.iter().position(|zone| Some(zone) == fault.zone.as_ref());
            let mut replicas = vec![false; plan.processes];
            let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(31) + fault_index as u64);
            for (replica, in_group) in replicas.iter_mut().enumerate() {
                *in_group = fault.replicas.contains(&replica) || zone == Some(replica % plan.zones.len());
            }
            if let Some(fraction) = fault.fraction {
                for at in rand::seq::index::sample(
                    &mut rng,
                    plan.processes,
                    (fraction * plan.processes as f64).round() as usize,
                ) {
                    replicas[at] = true;
                }
            }
            let all = fault.replicas.is_empty() && fault.zone.is_none() && fault.fraction.is_none();
            Group { replicas, zone, all }
        };
        NetworkFaults {
            groups: plan.faults.iter().enumerate().map(fault_group).collect(),
            faults: plan.faults.clone(),
            zone_count: plan.zones.len(),
            zone_names: plan.zones.clone(),
            active: Vec::new(),
        }
    }

    /// Activates the fault with this index in the plan.
    pub fn begin(&mut self, fault: usize) {
        self.active.push(fault);
    }

    /// Deactivates the fault with this index in the plan.
    pub fn end(&mut self, fault: usize) {
        self.active.retain(|active| *active != fault);
    }

    /// Indices of the active faults.
    pub fn active(&self) -> &[usize] {
        &self.active
    }

    /// Indices of the replicas that a fault affects.
    pub fn affected_replicas(&self, fault: usize) -> Vec<usize> {
        let group = &self.groups[fault];
        let count = group.replicas.len();
        (0..count).filter(|replica| group.all || group.replicas[*replica]).collect()
    }

    fn in_group(&self, fault: usize, node: Node) -> bool {
        let group = &self.groups[fault];
        match node {
            _ if group.all => true,
            Node::Replica(replica) => group.replicas.get(replica).copied().unwrap_or(false),
            Node::Server(server) => group.zone == Some(server % self.zone_count),
            Node::Local => false,
        }
    }

    /// Combined effect of all active faults on the path from one node to another.
    pub fn path_effects(&self, from: Node, to: Node) -> PathEffects {
        let mut effects = PathEffects::default();
        for fault_index in &self.active {
            let fault = &self.faults[*fault_index];
            if fault.affects_processes() || !self.affects_path(*fault_index, fault, from, to) {
                continue;
            }
            let probability = fault.probability.unwrap_or(0.0);
            let combined = |current: f64| 1.0 - (1.0 - current) * (1.0 - probability);
            match fault.kind {
                FaultKind::Cut | FaultKind::Silent => effects.cut = true,
                FaultKind::Reset => effects.reset = true,
                FaultKind::Loss => effects.loss = combined(effects.loss),
                FaultKind::Double => effects.duplication = combined(effects.duplication),
                FaultKind::Garble => effects.corruption = combined(effects.corruption),
                FaultKind::Delay => effects.delay += Duration::from_secs_f64(fault.delay.unwrap_or(0.0)),
                FaultKind::Kill | FaultKind::Term | FaultKind::Stop | FaultKind::Starve => {}
                FaultKind::Crash
                | FaultKind::Start
                | FaultKind::Slow
                | FaultKind::Surge
                | FaultKind::Leave => {}
            }
        }
        effects
    }

    fn affects_path(&self, fault_index: usize, fault: &Fault, from: Node, to: Node) -> bool {
        if fault.affects_servers() {
            let is_affected =
                |node| matches!(node, Node::Server(at) if fault.affects_server(at, &self.zone_names));
            return is_affected(from) || is_affected(to);
        }
        let between_replicas = matches!((from, to), (Node::Replica(_), Node::Replica(_)));
        match fault.paths {
            PathScope::Replicas if !between_replicas => return false,
            PathScope::Servers if between_replicas => return false,
            _ => {}
        }
        // Clients and the list source are local to a replica, so a cut never separates them from it.
        if fault.kind == FaultKind::Cut && (from == Node::Local || to == Node::Local) {
            return false;
        }
        let (out, into) = (self.in_group(fault_index, from), self.in_group(fault_index, to));
        let all = self.groups[fault_index].all;
        let matches_direction = |out: bool, into: bool| match fault.direction {
            Direction::Both => out || into,
            Direction::Out => out,
            Direction::In => into,
        };
        if !fault.to.is_empty() {
            let is_peer = |node| matches!(node, Node::Replica(replica) if fault.to.contains(&replica));
            return (is_peer(to) && matches_direction(out, false))
                || (is_peer(from) && matches_direction(false, into));
        }
        match fault.kind {
            // A cut leaves paths within the group intact; a cut of all replicas isolates each of them.
            FaultKind::Cut if !all => out != into && matches_direction(out, into),
            _ => matches_direction(out, into),
        }
    }

    /// Partition of each replica under the active cuts. Members of a partition reach each other both ways,
    /// directly or through other members.
    pub fn partitions(&self) -> Vec<usize> {
        let count = self.groups.first().map_or(0, |group| group.replicas.len());
        if !self.active.iter().any(|fault_index| self.faults[*fault_index].kind == FaultKind::Cut) {
            return vec![0; count];
        }
        let reach = |one: usize, other: usize| {
            let (one, other) = (Node::Replica(one), Node::Replica(other));
            !self.path_effects(one, other).cut && !self.path_effects(other, one).cut
        };
        let mut partitions = vec![usize::MAX; count];
        let mut unassigned: Vec<usize> = (0..count).collect();
        while let Some(first) = unassigned.pop() {
            let mut next = vec![first];
            let mut partition = vec![first];
            while let Some(replica) = next.pop() {
                partition.push(replica);
                let (reachable, remaining) = unassigned.into_iter().partition(|other| reach(replica, *other));
                unassigned = remaining;
                let reachable: Vec<usize> = reachable;
                next.extend(reachable);
            }
            // The smallest member names the partition, so that the name is stable while the partition is.
            let name = partition.iter().copied().min().unwrap_or(first);
            partition.into_iter().for_each(|replica| partitions[replica] = name);
        }
        partitions
    }

    /// Whether an active cut lets messages through in one direction only.
    pub fn has_one_way_cut(&self) -> bool {
        let active = self.active.iter().map(|fault_index| &self.faults[*fault_index]);
        active.into_iter().any(|fault| fault.kind == FaultKind::Cut && fault.direction != Direction::Both)
    }

    /// Whether messages are lost, corrupted or delayed by any fault.
    pub fn is_degraded(&self) -> bool {
        let degrades =
            |kind: FaultKind| matches!(kind, FaultKind::Loss | FaultKind::Garble | FaultKind::Delay);
        self.active.iter().any(|fault_index| degrades(self.faults[*fault_index].kind))
    }

    /// Whether loss or delay exceeds what membership probes tolerate, so that views are not checked.
    pub fn is_too_lossy(&self) -> bool {
        let active = self.active.iter().map(|fault_index| &self.faults[*fault_index]);
        let degrades = |kind: FaultKind| matches!(kind, FaultKind::Loss | FaultKind::Garble);
        let delivered: f64 = active
            .clone()
            .filter(|fault| degrades(fault.kind))
            .map(|fault| 1.0 - fault.probability.unwrap_or(0.0))
            .product();
        let delay: f64 = active.filter_map(|fault| fault.delay).sum();
        delivered < 0.7 || delay > 0.04
    }
}
