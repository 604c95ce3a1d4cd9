//! Terms that change while the module runs. It only takes in figures that are looked up anew each time: a command keeps the
//! moment up to which it earns anything, and whether it is past its tenant's quota, as they were found when it came (one
//! whose body is still coming finds the former when it is whole). What servers' and verbs' books hold is reckoned on.

use crate::host::Host;
use crate::policy::Policy;
use crate::settings::RequestClass;
use std::time::Duration;

impl<H: Host> Policy<H> {
    /// Tenants' quotas (commands a second over all copies) and verbs by their numbers. Only goals, limits and utilities are
    /// taken: which verbs and tenants there are, and what may be repeated, is as it was at the start.
    pub fn settings_changed(&mut self, now: Duration, quotas: &[f64], verbs: &[RequestClass]) {
        self.now = now;
        self.terms.quotas.iter_mut().zip(quotas).for_each(|(quota, new)| *quota = *new);
        for (verb, new) in self.terms.classes.iter_mut().zip(verbs) {
            (verb.latency_objective, verb.time_limit) = (new.latency_objective, new.time_limit);
            (verb.value, verb.late_value) = (new.value, new.late_value);
        }
    }
}
