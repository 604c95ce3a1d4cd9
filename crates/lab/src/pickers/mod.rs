//! Who picks: the program's decision module, and baselines to hold against it. The baselines live here and in no
//! other place.

mod fleeted;
mod named;
mod plain;
mod rules;

pub use crate::picker::LoadBalancer;
pub use named::LoadBalancerKind;
