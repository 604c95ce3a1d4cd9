//! What a case comes to. It owns the sums over the assumed distributions and the rates of each moment; it must never
//! know what anything costs.

use crate::size::{Case, Operators, Pairing};

/// How many services, and how many endpoints, callers or called each has.
pub type Class = (u64, u64);

pub(crate) fn total(classes: &[Class]) -> (u64, u64) {
    let count = classes.iter().map(|(count, _)| count);
    (count.sum(), edges(classes))
}

pub(crate) fn edges(classes: &[Class]) -> u64 {
    classes.iter().map(|(count, each)| count.saturating_mul(*each)).sum()
}

/// When.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    Calm,
    BusiestMinute,
    RackLost,
    ZoneLost,
    RegionBack,
    Release,
}

impl Moment {
    pub const ALL: [Moment; 6] = [
        Moment::Calm,
        Moment::BusiestMinute,
        Moment::RackLost,
        Moment::ZoneLost,
        Moment::RegionBack,
        Moment::Release,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Moment::Calm => "calm",
            Moment::BusiestMinute => "busiest minute",
            Moment::RackLost => "a rack lost",
            Moment::ZoneLost => "a zone lost",
            Moment::RegionBack => "a region back",
            Moment::Release => "release of all",
        }
    }

    /// The end of a figure's name that was measured at that moment alone.
    pub fn key(self) -> &'static str {
        match self {
            Moment::Calm => "calm",
            Moment::BusiestMinute => "busiest_minute",
            Moment::RackLost => "rack_lost",
            Moment::ZoneLost => "zone_lost",
            Moment::RegionBack => "region_back",
            Moment::Release => "release",
        }
    }
}

/// A case in the sizes that costs go by.
#[derive(Clone, Debug, PartialEq)]
pub struct Sums {
    pub endpoints: f64,
    /// Calls a second of one sidecar, on average.
    pub calls_a_sidecar: f64,
    /// Services that a sidecar calls: on average, and the most.
    pub called: f64,
    pub called_most: f64,
    /// Pairs of a sidecar and a service that it calls: one watch and, today, one process each.
    pub pairs: f64,
    /// Endpoints of a called service, on average over those pairs.
    pub listed: f64,
    /// Copies that share a called service: on average over the pairs, and of the most called one.
    pub sharers: f64,
    pub sharers_most: f64,
    /// Sidecars that have to hear of a change of one endpoint, on average over endpoints.
    pub hearers: f64,
    /// Sidecars that a change of configuration concerns.
    pub concerned: f64,
    /// Endpoints on a rack, in the zone that is lost, and in the region that returns.
    pub rack: f64,
    pub zone: f64,
    pub region: f64,
}

impl Sums {
    pub fn of(operators: &Operators, case: &Case) -> Sums {
        let (endpoints, services) = (operators.endpoints as f64, operators.services as f64);
        let (size, edges) = (endpoints / services, edges(&case.called) as f64);
        let called = edges / services;
        // Over services: callers times endpoints, which is also the sum of list lengths over the pairs of services.
        let products = match case.pairing {
            Pairing::Even => edges * size,
            Pairing::Rank => paired(&case.callers, &case.services),
        };
        let squares: f64 =
            case.callers.iter().map(|(count, each)| *count as f64 * (*each as f64).powi(2)).sum();
        let most = |classes: &[Class]| classes.iter().map(|(_, each)| *each).max().unwrap_or(0) as f64;
        let hearers = products / endpoints * size;
        Sums {
            endpoints,
            calls_a_sidecar: operators.calls_per_s / endpoints,
            called,
            called_most: most(&case.called),
            pairs: edges * size,
            listed: products / edges,
            sharers: squares / edges * size,
            sharers_most: most(&case.callers) * size,
            hearers,
            concerned: (case.change_services * called * size).min(endpoints),
            rack: ((case.endpoints_a_machine * case.machines_a_rack) as f64).min(endpoints),
            zone: endpoints * case.zone_part,
            region: endpoints * case.region_part,
        }
    }

    /// Endpoints' changes a second, over all lists: one away and one back for each that fails or is replaced.
    pub fn list_changes(&self, moment: Moment, operators: &Operators, case: &Case) -> f64 {
        let failed = (operators.machines_fail_a_day * case.endpoints_a_machine) as f64;
        let day = 2.0 * (failed + operators.restarted_a_day as f64);
        let calm = day / 86_400.0;
        match moment {
            Moment::Calm => calm,
            Moment::BusiestMinute => day * case.busiest_minute_part / 60.0,
            Moment::RackLost => calm + self.rack / case.lost_within_s,
            Moment::ZoneLost => calm + self.zone / case.lost_within_s,
            Moment::RegionBack => calm + calm * 3600.0 * operators.cut_hours / case.back_within_s,
            Moment::Release => calm + 2.0 * self.endpoints / case.release_s,
        }
    }

    /// Members' changes a second, over all fleets: each endpoint's sidecar goes and comes with it, and those of a region
    /// that returns are back all at once.
    pub fn member_changes(&self, moment: Moment, operators: &Operators, case: &Case) -> f64 {
        match moment {
            Moment::RegionBack => {
                self.list_changes(Moment::Calm, operators, case) + self.region / case.back_within_s
            }
            _ => self.list_changes(moment, operators, case),
        }
    }

    /// Changes of configuration a second, over all services; after a cut, with those that were missed.
    pub fn configuration_changes(&self, moment: Moment, operators: &Operators, case: &Case) -> f64 {
        let day = operators.changes_a_day as f64;
        let calm = day / 86_400.0;
        match moment {
            Moment::BusiestMinute => day * case.busiest_minute_part / 60.0,
            Moment::RegionBack => calm + calm * 3600.0 * operators.cut_hours / case.back_within_s,
            _ => calm,
        }
    }

    /// Sidecars that call discovery anew a second.
    pub fn returns(&self, moment: Moment, operators: &Operators, case: &Case) -> f64 {
        match moment {
            Moment::RegionBack => self.region / case.back_within_s,
            Moment::Release => self.endpoints / case.release_s,
            Moment::BusiestMinute => operators.restarted_a_day as f64 * case.busiest_minute_part / 60.0,
            _ => operators.restarted_a_day as f64 / 86_400.0,
        }
    }
}

/// The sum of products where the most called service is the largest, and so on down.
fn paired(one: &[Class], other: &[Class]) -> f64 {
    let down = |classes: &[Class]| {
        let mut classes = classes.to_vec();
        classes.sort_by_key(|(_, each)| std::cmp::Reverse(*each));
        classes
    };
    let (one, mut other) = (down(one), down(other));
    let mut sum = 0.0;
    let mut at = 0;
    for (mut count, each) in one {
        while count > 0 && at < other.len() {
            let taken = count.min(other[at].0);
            sum += taken as f64 * each as f64 * other[at].1 as f64;
            (count, other[at].0) = (count - taken, other[at].0 - taken);
            at += usize::from(other[at].0 == 0);
        }
    }
    sum
}
