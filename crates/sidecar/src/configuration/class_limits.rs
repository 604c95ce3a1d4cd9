//! Bounds of a request class's durations and values, alike in the file and in a change at run time.

use super::error::{BrokenRule, Problem};
use std::time::Duration;

const LONGEST_TIME_LIMIT: Duration = Duration::from_secs(600);
const HIGHEST_VALUE: f64 = 1e9;

/// The settings of one class that have to fit together.
pub struct ClassLimits {
    pub latency_objective: Duration,
    pub time_limit: Duration,
    pub value: f64,
    pub late_value: f64,
}

/// A setting of a class that is refused.
pub struct ClassRefusal {
    /// The keys that are at fault together, the likeliest first.
    pub keys: &'static [&'static str],
    pub problem: Problem,
}

impl ClassLimits {
    /// The first value that is refused.
    pub fn refusal(&self) -> Option<ClassRefusal> {
        let ClassLimits { latency_objective, time_limit, value, late_value } = *self;
        let refused = |keys, problem| Some(ClassRefusal { keys, problem });
        if time_limit.is_zero() || time_limit > LONGEST_TIME_LIMIT {
            return refused(
                &["limit"],
                Problem::LimitOutsideRange { limit: time_limit, maximum: LONGEST_TIME_LIMIT },
            );
        }
        if latency_objective.is_zero() || latency_objective > time_limit {
            return refused(&["goal", "limit"], BrokenRule::GoalWithinLimit.into());
        }
        if outside(value, HIGHEST_VALUE) {
            return refused(&["utility"], Problem::OutsideRange { value, maximum: HIGHEST_VALUE });
        }
        if outside(late_value, value) {
            let problem = Problem::OutsideRange { value: late_value, maximum: value };
            return refused(&["overdue_utility", "utility"], problem);
        }
        None
    }
}

fn outside(value: f64, maximum: f64) -> bool {
    !value.is_finite() || !(0.0..=maximum).contains(&value)
}
