//! Validates a scenario that could be parsed. It owns the bounds on the size of a simulation, without which a run could
//! need unbounded memory or time.

use super::faults::{Fault, FaultKind};
use super::scenario::Scenario;

const MAX_SERVERS: usize = 20_000;
const MAX_REPLICAS: usize = 10_000;
const MAX_SECONDS: f64 = 86_400.0;
const MAX_RATE: f64 = 1e6;

/// The key of an invalid value and the reason, if there is one.
type Problem = Option<(String, String)>;

fn problem(key: impl Into<String>, message: impl Into<String>) -> Problem {
    Some((key.into(), message.into()))
}

/// The first invalid key of a scenario and the reason; `None` if the scenario is valid.
pub fn first_error(scenario: &Scenario) -> Problem {
    check_sizes(scenario)
        .or_else(|| check_classes(scenario))
        .or_else(|| check_tiers(scenario))
        .or_else(|| check_shares(scenario))
        .or_else(|| {
            scenario.faults.iter().enumerate().find_map(|(index, fault)| check_fault(scenario, index, fault))
        })
}

/// Returns an error if a value is outside the range from `min` to `max`, both included.
fn check_range(key: String, value: f64, min: f64, max: f64) -> Problem {
    let within = value.is_finite() && value >= min && value <= max;
    if within { None } else { problem(key, format!("{value} does not lie from {min} to {max}")) }
}

fn check_sizes(scenario: &Scenario) -> Problem {
    let Scenario { front, load, rules, network, discovery, .. } = scenario;
    check_range("seconds".into(), scenario.seconds, 0.1, MAX_SECONDS)
        .or_else(|| check_range("settle".into(), scenario.settle, 0.0, scenario.seconds))
        .or_else(|| check_range("load.rate".into(), load.rate, 0.0, MAX_RATE))
        .or_else(|| check_range("load.retries".into(), f64::from(load.retries), 0.0, 10.0))
        .or_else(|| check_range("load.backoff".into(), load.backoff, 0.001, 60.0))
        .or_else(|| check_range("load.quits".into(), load.disconnect_fraction, 0.0, 1.0))
        .or_else(|| check_range("front.copies".into(), front.replicas as f64, 1.0, MAX_REPLICAS as f64))
        .or_else(|| check_range("front.notice".into(), front.detection_delay, 0.0, 60.0))
        .or_else(|| check_range("rules.relays".into(), f64::from(rules.max_attempts), 1.0, 16.0))
        .or_else(|| check_range("rules.come_back".into(), rules.max_retry_after, 0.0, 600.0))
        .or_else(|| check_range("rules.grace".into(), rules.removal_grace, 0.0, 60.0))
        .or_else(|| check_range("rules.slack".into(), rules.deadline_slack, 0.0, 1.0))
        .or_else(|| check_range("rules.crossing".into(), rules.cross_zone_cost, 0.0, 1.0))
        .or_else(|| check_range("rules.beyond_quota".into(), rules.over_quota_value, 0.0, 1.0))
        .or_else(|| check_range("network.near".into(), network.same_zone_delay, 0.0, 1.0))
        .or_else(|| check_range("network.far".into(), network.cross_zone_delay, 0.0, 1.0))
        .or_else(|| check_range("network.words_lost".into(), network.peer_message_loss, 0.0, 1.0))
        .or_else(|| check_range("network.words_doubled".into(), network.peer_message_duplication, 0.0, 1.0))
        .or_else(|| check_range("lists.lag".into(), discovery.delay, 0.0, 60.0))
        .or_else(|| check_range("lists.jitter".into(), discovery.jitter, 0.0, 60.0))
        .or_else(|| check_range("lists.drain".into(), discovery.drain_time, 0.0, 600.0))
        .or_else(|| check_range("lists.notice".into(), discovery.removal_delay, 0.0, 600.0))
}

fn check_classes(scenario: &Scenario) -> Problem {
    if scenario.request_classes.is_empty() {
        return problem("verbs", "expected at least one request class");
    }
    scenario.request_classes.iter().enumerate().find_map(|(index, class)| {
        let key = |field: &str| format!("verbs.{index}.{field}");
        let work = || class.work.iter().find_map(|work| check_range(key("work"), *work, 1e-6, 60.0));
        check_range(key("limit"), class.time_limit, 0.001, 600.0)
            .or_else(|| check_range(key("goal"), class.latency_objective, 0.001, class.time_limit))
            .or_else(|| check_range(key("share"), class.share, 0.0, 1e6))
            .or_else(|| check_range(key("utility"), class.utility, 0.0, 1e6))
            .or_else(|| check_range(key("overdue_utility"), class.late_utility, 0.0, 1e6))
            .or_else(|| check_range(key("memory"), class.dedup_window, 0.0, 3600.0))
            .or_else(|| check_range(key("calls"), f64::from(class.downstream_calls), 0.0, 16.0))
            .or_else(|| {
                if class.work.is_empty() {
                    problem(key("work"), "expected at least one value")
                } else {
                    work()
                }
            })
    })
}

fn check_tiers(scenario: &Scenario) -> Problem {
    if scenario.tiers.is_empty() {
        return problem("tiers", "expected at least one tier");
    }
    let total: usize = scenario.tiers.iter().map(|tier| tier.servers).sum();
    if total > MAX_SERVERS {
        return problem("tiers", format!("{total} servers are more than {MAX_SERVERS}"));
    }
    scenario.tiers.iter().enumerate().find_map(|(index, tier)| {
        let key = |field: &str| format!("tiers.{index}.{field}");
        let (cold_start, connections) = (&tier.cold_start, &tier.connections);
        let speeds = || tier.speeds.iter().find_map(|speed| check_range(key("speeds"), *speed, 0.01, 100.0));
        check_range(key("cores"), tier.cores as f64, 1.0, 1024.0)
            .or_else(|| check_range(key("queue"), tier.queue_limit as f64, 0.0, 100_000.0))
            .or_else(|| check_range(key("cells"), f64::from(tier.cells), 1.0, 10_000.0))
            .or_else(|| check_range(key("report_every"), tier.report_interval, 0.0, 60.0))
            .or_else(|| check_range(key("cold.share"), cold_start.initial_fraction, 0.01, 1.0))
            .or_else(|| check_range(key("cold.warm_after"), cold_start.warmup, 0.0, 3600.0))
            .or_else(|| check_range(key("cold.multiple"), cold_start.overload_multiple, 1.0, 1000.0))
            .or_else(|| check_range(key("cold.window"), cold_start.overload_window, 0.1, 60.0))
            .or_else(|| check_range(key("cold.down"), cold_start.restart_delay, 0.0, 600.0))
            .or_else(|| check_range(key("connections.work"), connections.work, 0.0, 1.0))
            .or_else(|| check_range(key("connections.idle"), connections.idle_timeout, 0.0, 3600.0))
            .or_else(|| check_range(key("connections.dial"), connections.connect_timeout, 0.001, 10.0))
            .or_else(|| {
                tier.congestion.as_ref().and_then(|congestion| {
                    check_range(key("jam.clear"), congestion.recovery, 0.0, congestion.onset)
                })
            })
            .or_else(|| {
                tier.congestion
                    .as_ref()
                    .and_then(|congestion| check_range(key("jam.speed"), congestion.speed, 0.01, 1.0))
            })
            .or_else(|| {
                if tier.speeds.is_empty() {
                    problem(key("speeds"), "expected at least one value")
                } else {
                    speeds()
                }
            })
    })
}

fn check_shares(scenario: &Scenario) -> Problem {
    let zones = scenario.zones.len();
    if zones == 0 || zones > 64 {
        return problem("zones", format!("{zones} zones; expected 1 to 64"));
    }
    if scenario.tenants.is_empty() || scenario.tenants.len() > 10_000 {
        return problem("tenants", "expected 1 to 10,000 tenants");
    }
    let share = |share: &f64| check_range("front.traffic".into(), *share, 1e-3, 1e6);
    if let Some(error) = scenario.front.traffic_shares.iter().find_map(share) {
        return Some(error);
    }
    let zone_shares = &scenario.front.zone_shares;
    if !zone_shares.is_empty() && zone_shares.len() != zones {
        return problem("front.zone_shares", format!("{} values for {zones} zones", zone_shares.len()));
    }
    if scenario.request_classes.iter().all(|class| class.share <= 0.0) {
        return problem("verbs.0.share", "all shares are 0");
    }
    if scenario.tenants.iter().all(|tenant| tenant.share <= 0.0) {
        return problem("tenants.0.share", "all shares are 0");
    }
    let share = |(index, share): (usize, f64)| check_range(format!("tenants.{index}.share"), share, 0.0, 1e6);
    scenario.tenants.iter().map(|tenant| tenant.share).enumerate().find_map(share)
}

fn check_fault(scenario: &Scenario, index: usize, fault: &Fault) -> Problem {
    let key = |field: &str| format!("faults.{index}.{field}");
    let label = fault.label();
    let Some(tier) = scenario.tiers.get(fault.tier) else {
        return problem(key("tier"), format!("there is no tier {}", fault.tier));
    };
    let out_of_range = |server: &&usize| **server >= tier.servers;
    if let Some(server) = fault.servers.iter().find(out_of_range) {
        return problem(key("servers"), format!("tier {} has no server {server}", fault.tier));
    }
    if fault.needs_servers() && fault.servers.is_empty() {
        return problem(key("servers"), format!("{label} needs the indices of its servers"));
    }
    if let Some(class) = &fault.request_class
        && !scenario.request_classes.iter().any(|known| known.name == *class)
    {
        return problem(key("verb"), format!("there is no request class {class:?}"));
    }
    check_range(key("at"), fault.at, 0.0, scenario.seconds)
        .or_else(|| check_range(key("for"), fault.duration, 0.0, MAX_SECONDS))
        .or_else(|| fault.share.and_then(|share| check_range(key("share"), share, 0.0, 1.0)))
        .or_else(|| check_required_keys(scenario, fault, &label, &key))
}

fn check_required_keys(
    scenario: &Scenario,
    fault: &Fault,
    label: &str,
    key: &dyn Fn(&str) -> String,
) -> Problem {
    use FaultKind::*;
    let value = |field: &str, given: Option<f64>, min: f64, max: f64| match given {
        Some(value) => check_range(key(field), value, min, max),
        None => problem(key(field), format!("{label} needs it")),
    };
    match fault.kind {
        Slow | SharedSlowness | Heavy | Surge => value("factor", fault.factor, 0.01, 1000.0),
        Errors => value("share", fault.share, 0.0, 1.0),
        Grow => value("count", fault.count.map(|count| count as f64), 1.0, MAX_SERVERS as f64),
        ListLate => value("seconds", fault.seconds, 0.0, 600.0),
        ListFlapping => value("seconds", fault.seconds, 0.05, 600.0),
        PeerMessagesLost => value("share", fault.share, 0.0, 1.0),
        ReplicasRestarted | ReplicasDown | ReplicasPartitioned => {
            let max = scenario.front.replicas as f64;
            let count = fault.count.map(|count| count as f64);
            value("count", count.or(fault.share.map(|_| scenario.affected_replicas(fault) as f64)), 1.0, max)
        }
        ZoneCut | ZoneLost => match &fault.zone {
            Some(zone) if scenario.zones.contains(zone) => None,
            Some(zone) => problem(key("zone"), format!("there is no zone {zone:?}")),
            None => problem(key("zone"), format!("{label} needs it")),
        },
        FalseLoadReports if fault.false_load.is_none() => {
            problem(key("says"), "expected one of idle, busy, frozen")
        }
        _ => None,
    }
}
