//! The budget for health checks before a server is selected.

use crate::settings::Settings;

/// So much of the goal may go into health checks per request, where checks alone tell how much servers hold.
const MAX_COST_PER_REQUEST: f64 = 0.012;
/// The least price of a check that is divided by.
const MIN_CHECK_PRICE: f64 = 1e-9;
/// The most checks per request.
const MAX_CHECKS_PER_REQUEST: f64 = 6.0;
/// The checks that are saved up at the most.
const MAX_SAVED_CHECKS: f64 = 60.0;

/// Saved health checks.
#[derive(Debug)]
pub struct CheckBudget {
    /// What each request adds; 0: no checks are made before selection.
    per_request: usize,
    /// Checks that may be made now.
    saved: f64,
}

impl CheckBudget {
    /// The budget by the settings. With one check per request no server could be preferred to another.
    pub fn new(settings: &Settings) -> Self {
        let affordable = MAX_COST_PER_REQUEST / settings.costs.health_check.max(MIN_CHECK_PRICE);
        let checks = affordable.min(MAX_CHECKS_PER_REQUEST) as usize;
        let used = settings.health_checks_report_load && settings.capabilities.health_checks && checks > 1;
        let per_request = if used { checks } else { 0 };
        CheckBudget { per_request, saved: per_request as f64 }
    }

    /// Whether servers are checked before selection.
    pub fn is_used(&self) -> bool {
        self.per_request > 0
    }

    /// The most checks that one round of one request makes.
    pub fn per_request(&self) -> usize {
        self.per_request
    }

    /// The whole checks that are saved.
    pub fn available(&self) -> usize {
        self.saved as usize
    }

    /// A request arrived.
    pub fn add_request(&mut self) {
        self.saved = (self.saved + self.per_request as f64).min(MAX_SAVED_CHECKS);
    }

    /// A check is made.
    pub fn spend(&mut self) {
        self.saved -= 1.0;
    }
}
