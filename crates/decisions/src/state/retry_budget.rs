//! The budget for further attempts of requests that may have run.

/// What each request adds: further attempts as a fraction of the requests.
const CREDIT_PER_REQUEST: f64 = 0.1;
/// What is saved up at the most.
const MAX_CREDIT: f64 = 8.0;

/// Saved credit; one further attempt takes 1.
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
    /// A request arrived.
    pub fn add_request(&mut self) {
        self.credit = (self.credit + CREDIT_PER_REQUEST).min(MAX_CREDIT);
    }

    /// Whether an attempt of this price may be made.
    pub fn allows(&self, price: f64) -> bool {
        self.credit >= price
    }

    /// An attempt of this price is made.
    pub fn spend(&mut self, price: f64) {
        self.credit -= price;
    }

    /// A failure was no server's: the attempt that follows it is free.
    pub fn refund(&mut self) {
        self.credit += 1.0;
    }
}
