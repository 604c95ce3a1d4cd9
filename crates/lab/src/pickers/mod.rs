//! The load balancers that the simulation compares: the decision module, alone or with fleet membership, and the
//! baselines.

mod fleeted;
mod named;
mod plain;
mod rules;

pub use crate::picker::LoadBalancer;
pub use named::LoadBalancerKind;
