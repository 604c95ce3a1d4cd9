//! Statistics of a case: totals and means over the assumed distributions, and the rates of change at each moment. Costs
//! are computed elsewhere.

use crate::size::{Case, Operators, Pairing};

/// A number of services, and the number of endpoints, callers or called services that each of them has.
pub type Class = (u64, u64);

/// The number of services, and the sum over them of the endpoints, callers or called services that each has.
pub(crate) fn service_and_item_count(classes: &[Class]) -> (u64, u64) {
    let count = classes.iter().map(|(count, _)| count);
    (count.sum(), item_count(classes))
}

/// The sum over the services of the endpoints, callers or called services that each has.
pub(crate) fn item_count(classes: &[Class]) -> u64 {
    classes.iter().map(|(count, each)| count.saturating_mul(*each)).sum()
}

/// An operating condition at which needs are evaluated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    /// The mean load of a day.
    Calm,
    /// The minute of a day with the most changes.
    BusiestMinute,
    /// All endpoints of a rack fail.
    RackLost,
    /// All endpoints of a zone fail.
    ZoneLost,
    /// A region returns after a network partition.
    RegionBack,
    /// A release replaces all endpoints.
    Release,
}

impl Moment {
    /// All moments, in the order of the tables' columns.
    pub const ALL: [Moment; 6] = [
        Moment::Calm,
        Moment::BusiestMinute,
        Moment::RackLost,
        Moment::ZoneLost,
        Moment::RegionBack,
        Moment::Release,
    ];

    /// The name in tables.
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

    /// The suffix of the name of a figure that was measured at this moment.
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

/// The totals, means and maxima of a case that costs depend on.
#[derive(Clone, Debug, PartialEq)]
pub struct CaseStats {
    /// Endpoints in all regions, each with one sidecar.
    pub endpoints: f64,
    /// Mean calls per second of one sidecar.
    pub calls_per_sidecar: f64,
    /// Mean number of services that a sidecar calls.
    pub called_services: f64,
    /// Largest number of services that a sidecar calls.
    pub called_services_max: f64,
    /// Pairs of a sidecar and a service that it calls; each has one watch and, today, one process.
    pub pairs: f64,
    /// Mean number of endpoints of a called service, over the pairs.
    pub listed_endpoints: f64,
    /// Mean number of copies that call the same service, over the pairs.
    pub fleet_size: f64,
    /// Number of copies that call the most called service.
    pub fleet_size_max: f64,
    /// Mean number of sidecars to notify of a change of one endpoint, over the endpoints.
    pub notified_sidecars: f64,
    /// Sidecars that one configuration change concerns.
    pub affected_sidecars: f64,
    /// Endpoints in a rack.
    pub rack_endpoints: f64,
    /// Endpoints in the zone that is lost.
    pub lost_zone_endpoints: f64,
    /// Endpoints in the region that returns.
    pub returning_endpoints: f64,
}

impl CaseStats {
    /// Computes the statistics of a checked case.
    pub fn new(operators: &Operators, case: &Case) -> CaseStats {
        let (endpoints, services) = (operators.endpoints as f64, operators.services as f64);
        let (mean_size, service_pairs) = (endpoints / services, item_count(&case.called) as f64);
        let called_services = service_pairs / services;
        // The sum over services of callers times endpoints equals the sum of list lengths over the pairs of services.
        let products = match case.pairing {
            Pairing::Even => service_pairs * mean_size,
            Pairing::Rank => rank_matched_products(&case.callers, &case.services),
        };
        let squares: f64 =
            case.callers.iter().map(|(count, each)| *count as f64 * (*each as f64).powi(2)).sum();
        let largest = |classes: &[Class]| classes.iter().map(|(_, each)| *each).max().unwrap_or(0) as f64;
        let notified_sidecars = products / endpoints * mean_size;
        CaseStats {
            endpoints,
            calls_per_sidecar: operators.calls_per_s / endpoints,
            called_services,
            called_services_max: largest(&case.called),
            pairs: service_pairs * mean_size,
            listed_endpoints: products / service_pairs,
            fleet_size: squares / service_pairs * mean_size,
            fleet_size_max: largest(&case.callers) * mean_size,
            notified_sidecars,
            affected_sidecars: (case.change_services * called_services * mean_size).min(endpoints),
            rack_endpoints: ((case.endpoints_a_machine * case.machines_a_rack) as f64).min(endpoints),
            lost_zone_endpoints: endpoints * case.zone_part,
            returning_endpoints: endpoints * case.region_part,
        }
    }

    /// Endpoint changes per second over all lists: a removal and an addition for each endpoint that fails or is replaced.
    pub fn list_changes(&self, moment: Moment, operators: &Operators, case: &Case) -> f64 {
        let failed = (operators.machines_fail_a_day * case.endpoints_a_machine) as f64;
        let day = 2.0 * (failed + operators.restarted_a_day as f64);
        let calm = day / 86_400.0;
        match moment {
            Moment::Calm => calm,
            Moment::BusiestMinute => day * case.busiest_minute_part / 60.0,
            Moment::RackLost => calm + self.rack_endpoints / case.lost_within_s,
            Moment::ZoneLost => calm + self.lost_zone_endpoints / case.lost_within_s,
            Moment::RegionBack => calm + calm * 3600.0 * operators.cut_hours / case.back_within_s,
            Moment::Release => calm + 2.0 * self.endpoints / case.release_s,
        }
    }

    /// Member changes per second over all fleets: a sidecar leaves and joins with its endpoint, and all sidecars of a
    /// returning region join within `back_within_s`.
    pub fn member_changes(&self, moment: Moment, operators: &Operators, case: &Case) -> f64 {
        match moment {
            Moment::RegionBack => {
                self.list_changes(Moment::Calm, operators, case)
                    + self.returning_endpoints / case.back_within_s
            }
            _ => self.list_changes(moment, operators, case),
        }
    }

    /// Configuration changes per second over all services; after a partition they include the missed changes.
    pub fn configuration_changes(&self, moment: Moment, operators: &Operators, case: &Case) -> f64 {
        let day = operators.changes_a_day as f64;
        let calm = day / 86_400.0;
        match moment {
            Moment::BusiestMinute => day * case.busiest_minute_part / 60.0,
            Moment::RegionBack => calm + calm * 3600.0 * operators.cut_hours / case.back_within_s,
            _ => calm,
        }
    }

    /// Sidecars that start to call discovery, per second.
    pub fn returning_sidecars(&self, moment: Moment, operators: &Operators, case: &Case) -> f64 {
        match moment {
            Moment::RegionBack => self.returning_endpoints / case.back_within_s,
            Moment::Release => self.endpoints / case.release_s,
            Moment::BusiestMinute => operators.restarted_a_day as f64 * case.busiest_minute_part / 60.0,
            _ => operators.restarted_a_day as f64 / 86_400.0,
        }
    }
}

/// The sum over services of callers times endpoints when both are sorted in descending order, so that the most called
/// service is the largest.
fn rank_matched_products(callers: &[Class], sizes: &[Class]) -> f64 {
    let descending = |classes: &[Class]| {
        let mut classes = classes.to_vec();
        classes.sort_by_key(|(_, each)| std::cmp::Reverse(*each));
        classes
    };
    let (callers, mut sizes) = (descending(callers), descending(sizes));
    let mut sum = 0.0;
    let mut index = 0;
    for (mut count, each) in callers {
        while count > 0 && index < sizes.len() {
            let matched = count.min(sizes[index].0);
            sum += matched as f64 * each as f64 * sizes[index].1 as f64;
            (count, sizes[index].0) = (count - matched, sizes[index].0 - matched);
            index += usize::from(sizes[index].0 == 0);
        }
    }
    sum
}
