//! Bounds of a verb's durations and utilities, alike in the file and in a change at run time.

use super::error::{BrokenRule, Problem};
use std::time::Duration;

const LONGEST_LIMIT: Duration = Duration::from_secs(600);
const HIGHEST_UTILITY: f64 = 1e9;

/// The values of one verb that have to fit together.
pub struct VerbLimits {
    pub goal: Duration,
    pub limit: Duration,
    pub utility: f64,
    pub overdue_utility: f64,
}

/// A value of a verb that is refused.
pub struct VerbRefusal {
    /// The keys that are at fault together, the likeliest first.
    pub keys: &'static [&'static str],
    pub problem: Problem,
}

impl VerbLimits {
    /// The first value that is refused.
    pub fn refusal(&self) -> Option<VerbRefusal> {
        let VerbLimits { goal, limit, utility, overdue_utility } = *self;
        let refused = |keys, problem| Some(VerbRefusal { keys, problem });
        if limit.is_zero() || limit > LONGEST_LIMIT {
            return refused(&["limit"], Problem::LimitOutsideRange { limit, maximum: LONGEST_LIMIT });
        }
        if goal.is_zero() || goal > limit {
            return refused(&["goal", "limit"], BrokenRule::GoalWithinLimit.into());
        }
        if outside(utility, HIGHEST_UTILITY) {
            return refused(&["utility"], Problem::OutsideRange { value: utility, maximum: HIGHEST_UTILITY });
        }
        if outside(overdue_utility, utility) {
            let problem = Problem::OutsideRange { value: overdue_utility, maximum: utility };
            return refused(&["overdue_utility", "utility"], problem);
        }
        None
    }
}

fn outside(value: f64, maximum: f64) -> bool {
    !value.is_finite() || !(0.0..=maximum).contains(&value)
}
