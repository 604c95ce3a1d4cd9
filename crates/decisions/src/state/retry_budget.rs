//! The budget for further attempts of requests that may have run.

/// Credit that each request adds: the maximum ratio of further attempts to requests.
const CREDIT_PER_REQUEST: f64 = 0.1;
/// Maximum credit that can be saved, in attempts.
const MAX_CREDIT: f64 = 8.0;

/// The saved credit; a further attempt costs 1.
#[derive(Debug)]
pub struct RetryBudget {
    /// Attempts that may be made now.
    credit: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { credit: MAX_CREDIT }
    }
}

impl RetryBudget {
    /// Adds the credit of a request that arrived.
    pub fn add_request(&mut self) {
        self.credit = (self.credit + CREDIT_PER_REQUEST).min(MAX_CREDIT);
    }

    /// Whether the credit allows an attempt of this price.
    pub fn allows(&self, price: f64) -> bool {
        self.credit >= price
    }

    /// Removes the price of an attempt.
    pub fn spend(&mut self, price: f64) {
        self.credit -= price;
    }

    /// Adds the price of one attempt, after a failure that no server caused: the next attempt is free.
    pub fn refund(&mut self) {
        self.credit += 1.0;
    }
}
