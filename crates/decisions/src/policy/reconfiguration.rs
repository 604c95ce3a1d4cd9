//! Changes of settings and of the number of replicas at run time. Only values that are read on each use change: open
//! requests keep the values computed on arrival, and statistics are kept.

use super::Policy;
use crate::host::{Host, ReplicaView};
use crate::settings::RequestClass;
use std::time::Duration;

impl<H: Host> Policy<H> {
    /// Replaces the quotas of tenants, in requests per second over all replicas, and the latency objective, time limit
    /// and values of classes, both by number. The sets of classes and tenants and the retry safety do not change.
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

    /// Replaces the view of the replicas. The configured values apply until the first call.
    pub fn replicas_changed(&mut self, now: Duration, replicas: &ReplicaView) {
        self.now = now;
        let count = if replicas.count.is_finite() { replicas.count.max(1.0) } else { self.settings.replicas };
        self.settings.replicas = count;
        self.settings.max_live_replicas = replicas.max_alive.max(count);
        self.settings.ordinal = replicas.ordinal.unwrap_or(self.settings.ordinal);
        self.peers.mean_rate = replicas.mean_request_rate.or(self.peers.mean_rate);
    }
}
