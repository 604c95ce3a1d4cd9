//! Settings and replica counts that change while the decisions run. Only figures that are looked up anew each time are
//! taken in: a request keeps what was found when it arrived, and statistics go on.

use super::Policy;
use crate::host::{Host, ReplicaView};
use crate::settings::RequestClass;
use std::time::Duration;

impl<H: Host> Policy<H> {
    /// Tenants' quotas (requests per second over all replicas) and classes, by their numbers. Of a class its goal,
    /// limit and utilities are taken: which classes and tenants there are, and what may be repeated, stays.
    pub fn settings_changed(&mut self, now: Duration, quotas: &[f64], classes: &[RequestClass]) {
        self.now = now;
        for (quota, new) in self.settings.quotas.iter_mut().zip(quotas) {
            *quota = *new;
        }
        for (class, new) in self.settings.classes.iter_mut().zip(classes) {
            class.latency_objective = new.latency_objective;
            class.time_limit = new.time_limit;
            class.value = new.value;
            class.late_value = new.late_value;
        }
    }

    /// How many replicas there are by now. What is configured holds until this is first called.
    pub fn replicas_changed(&mut self, now: Duration, replicas: &ReplicaView) {
        self.now = now;
        let count = if replicas.count.is_finite() { replicas.count.max(1.0) } else { self.settings.replicas };
        self.settings.replicas = count;
        self.settings.max_live_replicas = replicas.max_alive.max(count);
        self.settings.ordinal = replicas.ordinal.unwrap_or(self.settings.ordinal);
        self.peers.usual_rate = replicas.mean_request_rate.or(self.peers.usual_rate);
    }
}
