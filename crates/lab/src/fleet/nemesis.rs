//! Fault generator: draws a random fault plan from a seed, so that a run can be repeated. A fault on processes, or
//! a cut, affects one of several zones or at most 70 % of the replicas. The plan leaves time before the first and
//! after the last fault in which the fleet's views can be checked.

use super::plan::{Direction, Fault, FaultKind, FleetPlan};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time without faults before the first fault and after the last, in seconds.
const QUIET_TIME: f64 = 5.0;

/// Replaces the plan's faults by faults drawn from the seed.
pub fn generate(plan: &FleetPlan, seed: u64) -> FleetPlan {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x6e65_6d65_7369_7300);
    let mut faults = Vec::new();
    let last = (plan.seconds - QUIET_TIME).max(QUIET_TIME + 1.0);
    for _ in 0..rng.random_range(2..=6) {
        let at = round(rng.random_range(QUIET_TIME..last));
        let max_duration = (last - at).max(0.2);
        faults.push(random_fault(plan, at, max_duration, &mut rng));
    }
    faults.sort_by(|a: &Fault, b: &Fault| a.at.total_cmp(&b.at));
    FleetPlan { faults, ..plan.clone() }
}

/// Rounds to one decimal place.
fn round(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

fn random_fault(plan: &FleetPlan, at: f64, max_duration: f64, rng: &mut ChaCha8Rng) -> Fault {
    let kinds = [
        FaultKind::Kill,
        FaultKind::Kill,
        FaultKind::Term,
        FaultKind::Stop,
        FaultKind::Stop,
        FaultKind::Starve,
        FaultKind::Cut,
        FaultKind::Cut,
        FaultKind::Loss,
        FaultKind::Double,
        FaultKind::Garble,
        FaultKind::Delay,
    ];
    let kind = kinds.choose(rng).copied().unwrap_or(FaultKind::Kill);
    let duration = round(rng.random_range(0.2..=max_duration.min(12.0)).max(0.2));
    let mut fault = Fault::new(kind, at, duration);
    match kind {
        FaultKind::Loss | FaultKind::Garble => fault.probability = Some(round(rng.random_range(0.1..0.3))),
        FaultKind::Double => fault.probability = Some(0.5),
        FaultKind::Delay => fault.delay = Some(rng.random_range(1..60) as f64 / 1000.0),
        _ => choose_group(plan, &mut fault, rng),
    }
    if kind == FaultKind::Cut {
        fault.direction = *[Direction::Both, Direction::Both, Direction::Out, Direction::In]
            .choose(rng)
            .unwrap_or(&Direction::Both);
    }
    fault
}

/// Draws the group of a fault: a zone, a fraction of the replicas, or up to an eighth of them.
fn choose_group(plan: &FleetPlan, fault: &mut Fault, rng: &mut ChaCha8Rng) {
    match rng.random_range(0..4) {
        0 if plan.zones.len() > 1 => fault.zone = plan.zones.choose(rng).cloned(),
        1 => fault.fraction = Some(round(rng.random_range(0.1..0.7))),
        _ => {
            let count = rng.random_range(1..=(plan.processes / 8).max(1));
            fault.replicas = rand::seq::index::sample(rng, plan.processes, count).into_vec();
        }
    }
}
