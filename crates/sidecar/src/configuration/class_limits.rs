//! Bounds on the durations and values of a request class, which apply to the file and to changes at run time.

use super::error::{BrokenRule, Problem};
use std::time::Duration;

const MAX_TIME_LIMIT: Duration = Duration::from_secs(600);
const MAX_VALUE: f64 = 1e9;

/// The settings of one request class that are checked together.
pub struct ClassLimits {
    /// The latency within which a response has its full value, at most the time limit.
    pub latency_objective: Duration,
    /// The time within which a request must have its final response.
    pub time_limit: Duration,
    /// The value of a response within the latency objective.
    pub value: f64,
    /// The value of a later response, at most `value`.
    pub late_value: f64,
}

/// A setting of a request class that is refused.
pub struct ClassRefusal {
    /// The keys that together cause the refusal, the most likely cause first.
    pub keys: &'static [&'static str],
    /// The reason of the refusal.
    pub problem: Problem,
}

impl ClassLimits {
    /// The first setting that is refused; `None` if all are valid.
    pub fn refusal(&self) -> Option<ClassRefusal> {
        let ClassLimits { latency_objective, time_limit, value, late_value } = *self;
        let refused = |keys, problem| Some(ClassRefusal { keys, problem });
        if time_limit.is_zero() || time_limit > MAX_TIME_LIMIT {
            return refused(
                &["limit"],
                Problem::LimitOutsideRange { limit: time_limit, maximum: MAX_TIME_LIMIT },
            );
        }
        if latency_objective.is_zero() || latency_objective > time_limit {
            return refused(&["goal", "limit"], BrokenRule::GoalWithinLimit.into());
        }
        if is_outside(value, MAX_VALUE) {
            return refused(&["utility"], Problem::OutsideRange { value, maximum: MAX_VALUE });
        }
        if is_outside(late_value, value) {
            let problem = Problem::OutsideRange { value: late_value, maximum: value };
            return refused(&["overdue_utility", "utility"], problem);
        }
        None
    }
}

fn is_outside(value: f64, maximum: f64) -> bool {
    !value.is_finite() || !(0.0..=maximum).contains(&value)
}
