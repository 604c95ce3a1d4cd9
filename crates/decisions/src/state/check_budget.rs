//! The budget for health checks before selection.

use crate::settings::Settings;

/// Maximum mean cost of health checks per request, in points of the objective, where health checks alone report load.
const MAX_COST_PER_REQUEST: f64 = 0.012;
/// Lower bound of the price of a check by which the budget is divided.
const MIN_CHECK_PRICE: f64 = 1e-9;
/// Maximum number of checks that one request adds to the budget.
const MAX_CHECKS_PER_REQUEST: f64 = 6.0;
/// Maximum number of saved checks.
const MAX_SAVED_CHECKS: f64 = 60.0;

/// The saved health checks, to which each request adds.
#[derive(Debug)]
pub struct CheckBudget {
    /// Checks that each request adds; 0 if servers are not checked before selection.
    per_request: usize,
    /// Checks that may be made now.
    saved: f64,
}

impl CheckBudget {
    /// The budget that the settings allow. It is unused if it allows only one check per request, which could not
    /// compare servers.
    pub fn new(settings: &Settings) -> Self {
        let affordable = MAX_COST_PER_REQUEST / settings.costs.health_check.max(MIN_CHECK_PRICE);
        let checks = affordable.min(MAX_CHECKS_PER_REQUEST) as usize;
        let is_used = settings.health_checks_report_load && settings.capabilities.health_checks && checks > 1;
        let per_request = if is_used { checks } else { 0 };
        CheckBudget { per_request, saved: per_request as f64 }
    }

    /// Whether servers are checked before selection.
    pub fn is_used(&self) -> bool {
        self.per_request > 0
    }

    /// Number of checks that each request adds, also the maximum in one round after the first.
    pub fn per_request(&self) -> usize {
        self.per_request
    }

    /// Number of whole checks that are saved.
    pub fn available(&self) -> usize {
        self.saved as usize
    }

    /// Adds the checks of a request that arrived.
    pub fn add_request(&mut self) {
        self.saved = (self.saved + self.per_request as f64).min(MAX_SAVED_CHECKS);
    }

    /// Removes one check that is made.
    pub fn spend(&mut self) {
        self.saved -= 1.0;
    }
}
