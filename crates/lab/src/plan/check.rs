//! Whether a scenario that could be read can be played. It owns every bound of the world's size: past them a run
//! could grow without end.

use super::faults::{Fault, FaultKind};
use super::scenario::Scenario;

const SERVERS_MOST: usize = 20_000;
const COPIES_MOST: usize = 10_000;
const SECONDS_MOST: f64 = 86_400.0;
const RATE_MOST: f64 = 1e6;

type Found = Option<(String, String)>;

fn found(key: impl Into<String>, what: impl Into<String>) -> Found {
    Some((key.into(), what.into()))
}

/// The first key that can't be played, and why.
pub fn first_error(scenario: &Scenario) -> Found {
    sizes(scenario)
        .or_else(|| verbs(scenario))
        .or_else(|| tiers(scenario))
        .or_else(|| shares(scenario))
        .or_else(|| scenario.faults.iter().enumerate().find_map(|(at, fault)| of_fault(scenario, at, fault)))
}

/// A figure that must lie within a range, ends included.
fn outside(key: String, figure: f64, least: f64, most: f64) -> Found {
    let within = figure.is_finite() && figure >= least && figure <= most;
    if within { None } else { found(key, format!("{figure} does not lie from {least} to {most}")) }
}

fn sizes(scenario: &Scenario) -> Found {
    let Scenario { front, load, rules, network, discovery: lists, .. } = scenario;
    outside("seconds".into(), scenario.seconds, 0.1, SECONDS_MOST)
        .or_else(|| outside("settle".into(), scenario.settle, 0.0, scenario.seconds))
        .or_else(|| outside("load.rate".into(), load.rate, 0.0, RATE_MOST))
        .or_else(|| outside("load.retries".into(), f64::from(load.retries), 0.0, 10.0))
        .or_else(|| outside("load.backoff".into(), load.backoff, 0.001, 60.0))
        .or_else(|| outside("load.quits".into(), load.disconnect_fraction, 0.0, 1.0))
        .or_else(|| outside("front.copies".into(), front.replicas as f64, 1.0, COPIES_MOST as f64))
        .or_else(|| outside("front.notice".into(), front.detection_delay, 0.0, 60.0))
        .or_else(|| outside("rules.relays".into(), f64::from(rules.max_attempts), 1.0, 16.0))
        .or_else(|| outside("rules.come_back".into(), rules.max_retry_after, 0.0, 600.0))
        .or_else(|| outside("rules.grace".into(), rules.removal_grace, 0.0, 60.0))
        .or_else(|| outside("rules.slack".into(), rules.deadline_slack, 0.0, 1.0))
        .or_else(|| outside("rules.crossing".into(), rules.cross_zone_cost, 0.0, 1.0))
        .or_else(|| outside("rules.beyond_quota".into(), rules.over_quota_value, 0.0, 1.0))
        .or_else(|| outside("network.near".into(), network.same_zone_delay, 0.0, 1.0))
        .or_else(|| outside("network.far".into(), network.cross_zone_delay, 0.0, 1.0))
        .or_else(|| outside("network.words_lost".into(), network.peer_message_loss, 0.0, 1.0))
        .or_else(|| outside("network.words_doubled".into(), network.peer_message_duplication, 0.0, 1.0))
        .or_else(|| outside("lists.lag".into(), lists.delay, 0.0, 60.0))
        .or_else(|| outside("lists.jitter".into(), lists.jitter, 0.0, 60.0))
        .or_else(|| outside("lists.drain".into(), lists.drain_time, 0.0, 600.0))
        .or_else(|| outside("lists.notice".into(), lists.removal_delay, 0.0, 600.0))
}

fn verbs(scenario: &Scenario) -> Found {
    if scenario.request_classes.is_empty() {
        return found("verbs", "at least one is wanted");
    }
    scenario.request_classes.iter().enumerate().find_map(|(at, verb)| {
        let key = |leaf: &str| format!("verbs.{at}.{leaf}");
        let work = || verb.work.iter().find_map(|work| outside(key("work"), *work, 1e-6, 60.0));
        outside(key("limit"), verb.time_limit, 0.001, 600.0)
            .or_else(|| outside(key("goal"), verb.latency_objective, 0.001, verb.time_limit))
            .or_else(|| outside(key("share"), verb.share, 0.0, 1e6))
            .or_else(|| outside(key("utility"), verb.utility, 0.0, 1e6))
            .or_else(|| outside(key("overdue_utility"), verb.late_utility, 0.0, 1e6))
            .or_else(|| outside(key("memory"), verb.dedup_window, 0.0, 3600.0))
            .or_else(|| outside(key("calls"), f64::from(verb.downstream_calls), 0.0, 16.0))
            .or_else(|| if verb.work.is_empty() { found(key("work"), "has no figure") } else { work() })
    })
}

fn tiers(scenario: &Scenario) -> Found {
    if scenario.tiers.is_empty() {
        return found("tiers", "at least one is wanted");
    }
    let all: usize = scenario.tiers.iter().map(|tier| tier.servers).sum();
    if all > SERVERS_MOST {
        return found("tiers", format!("{all} servers are more than {SERVERS_MOST}"));
    }
    scenario.tiers.iter().enumerate().find_map(|(at, tier)| {
        let key = |leaf: &str| format!("tiers.{at}.{leaf}");
        let (cold, connections) = (&tier.cold_start, &tier.connections);
        let speeds = || tier.speeds.iter().find_map(|speed| outside(key("speeds"), *speed, 0.01, 100.0));
        outside(key("cores"), tier.cores as f64, 1.0, 1024.0)
            .or_else(|| outside(key("queue"), tier.queue_limit as f64, 0.0, 100_000.0))
            .or_else(|| outside(key("cells"), f64::from(tier.cells), 1.0, 10_000.0))
            .or_else(|| outside(key("report_every"), tier.report_interval, 0.0, 60.0))
            .or_else(|| outside(key("cold.share"), cold.initial_fraction, 0.01, 1.0))
            .or_else(|| outside(key("cold.warm_after"), cold.warmup, 0.0, 3600.0))
            .or_else(|| outside(key("cold.multiple"), cold.overload_multiple, 1.0, 1000.0))
            .or_else(|| outside(key("cold.window"), cold.overload_window, 0.1, 60.0))
            .or_else(|| outside(key("cold.down"), cold.restart_delay, 0.0, 600.0))
            .or_else(|| outside(key("connections.work"), connections.work, 0.0, 1.0))
            .or_else(|| outside(key("connections.idle"), connections.idle_timeout, 0.0, 3600.0))
            .or_else(|| outside(key("connections.dial"), connections.connect_timeout, 0.001, 10.0))
            .or_else(|| {
                tier.congestion
                    .as_ref()
                    .and_then(|jam| outside(key("jam.clear"), jam.recovery, 0.0, jam.onset))
            })
            .or_else(|| {
                tier.congestion.as_ref().and_then(|jam| outside(key("jam.speed"), jam.speed, 0.01, 1.0))
            })
            .or_else(|| if tier.speeds.is_empty() { found(key("speeds"), "has no figure") } else { speeds() })
    })
}

fn shares(scenario: &Scenario) -> Found {
    let zones = scenario.zones.len();
    if zones == 0 || zones > 64 {
        return found("zones", format!("{zones} zones; from 1 to 64 are wanted"));
    }
    if scenario.tenants.is_empty() || scenario.tenants.len() > 10_000 {
        return found("tenants", "from 1 to 10,000 are wanted");
    }
    let share = |share: &f64| outside("front.traffic".into(), *share, 1e-3, 1e6);
    if let Some(wrong) = scenario.front.traffic_shares.iter().find_map(share) {
        return Some(wrong);
    }
    let shares = &scenario.front.zone_shares;
    if !shares.is_empty() && shares.len() != zones {
        return found("front.zone_shares", format!("{} figures for {zones} zones", shares.len()));
    }
    if scenario.request_classes.iter().all(|verb| verb.share <= 0.0) {
        return found("verbs.0.share", "all shares are 0");
    }
    if scenario.tenants.iter().all(|tenant| tenant.share <= 0.0) {
        return found("tenants.0.share", "all shares are 0");
    }
    let share = |(at, share): (usize, f64)| outside(format!("tenants.{at}.share"), share, 0.0, 1e6);
    scenario.tenants.iter().map(|tenant| tenant.share).enumerate().find_map(share)
}

fn of_fault(scenario: &Scenario, at: usize, fault: &Fault) -> Found {
    let key = |leaf: &str| format!("faults.{at}.{leaf}");
    let kind = fault.label();
    let Some(tier) = scenario.tiers.get(fault.tier) else {
        return found(key("tier"), format!("there is no tier {}", fault.tier));
    };
    let beyond = |place: &&usize| **place >= tier.servers;
    if let Some(place) = fault.servers.iter().find(beyond) {
        return found(key("servers"), format!("tier {} has no server {place}", fault.tier));
    }
    if fault.names_servers() && fault.servers.is_empty() {
        return found(key("servers"), format!("{kind} needs the servers it strikes"));
    }
    if let Some(verb) = &fault.request_class
        && !scenario.request_classes.iter().any(|known| known.name == *verb)
    {
        return found(key("verb"), format!("there is no verb {verb:?}"));
    }
    outside(key("at"), fault.at, 0.0, scenario.seconds)
        .or_else(|| outside(key("for"), fault.duration, 0.0, SECONDS_MOST))
        .or_else(|| fault.share.and_then(|share| outside(key("share"), share, 0.0, 1.0)))
        .or_else(|| needs(scenario, fault, &kind, &key))
}

fn needs(scenario: &Scenario, fault: &Fault, kind: &str, key: &dyn Fn(&str) -> String) -> Found {
    use FaultKind::*;
    let figure = |leaf: &str, given: Option<f64>, least: f64, most: f64| match given {
        Some(figure) => outside(key(leaf), figure, least, most),
        None => found(key(leaf), format!("{kind} needs it")),
    };
    match fault.kind {
        Slow | SharedSlowness | Heavy | Surge => figure("factor", fault.factor, 0.01, 1000.0),
        Errors => figure("share", fault.share, 0.0, 1.0),
        Grow => figure("count", fault.count.map(|count| count as f64), 1.0, SERVERS_MOST as f64),
        ListLate => figure("seconds", fault.seconds, 0.0, 600.0),
        ListFlapping => figure("seconds", fault.seconds, 0.05, 600.0),
        PeerMessagesLost => figure("share", fault.share, 0.0, 1.0),
        ReplicasRestarted | ReplicasDown | ReplicasPartitioned => {
            let most = scenario.front.replicas as f64;
            let count = fault.count.map(|count| count as f64);
            figure(
                "count",
                count.or(fault.share.map(|_| scenario.affected_replicas(fault) as f64)),
                1.0,
                most,
            )
        }
        ZoneCut | ZoneLost => match &fault.zone {
            Some(zone) if scenario.zones.contains(zone) => None,
            Some(zone) => found(key("zone"), format!("there is no zone {zone:?}")),
            None => found(key("zone"), format!("{kind} needs it")),
        },
        FalseLoadReports if fault.false_load.is_none() => {
            found(key("says"), "one of idle, busy, frozen is wanted")
        }
        _ => None,
    }
}
