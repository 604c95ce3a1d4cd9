//! The example file and the errors of the operators' form.

use super::*;
use landingspread_decisions::settings::{DedupScope, RetrySafety};

fn parsed(text: &str) -> Result<Configuration, String> {
    parse("l.toml", text, Environment::Empty).map_err(|error| error.to_string())
}

/// The error of the example with the first occurrence of `from` replaced by `to`.
fn error_with(from: &str, to: &str) -> String {
    assert!(EXAMPLE.contains(from), "{from}");
    parsed(&EXAMPLE.replacen(from, to, 1)).err().expect("the file is refused")
}

#[test]
fn example_is_valid_and_shows_the_defaults() {
    let configuration = parsed(EXAMPLE).expect("the file is valid");
    assert_eq!((configuration.initial_catalog.entries.len(), configuration.classes.len()), (2, 3));
    assert_eq!(configuration.policy.classes[1].retry_safety, RetrySafety::IdempotencyKeyed(DedupScope::All));
    // The example with every key that is commented out set to the default that it shows.
    let uncommented: Vec<&str> = EXAMPLE
        .lines()
        .map(|line| match line.strip_prefix("# ") {
            Some(rest) if rest.contains(" = ") && !rest.contains(". ") => rest,
            Some("[discovery]") => "[discovery]",
            Some("[fleet]") => "[fleet]",
            Some("[localities]") => "[localities]",
            Some("[control]") => "[control]",
            Some("[[tenants]]") => "[[tenants]]",
            _ => line,
        })
        .collect();
    // Localities need at least two zones.
    let uncommented = uncommented.join("\n").replacen("zones = [\"a\"]", "zones = [\"a\", \"b\"]", 1);
    let shown = parsed(&uncommented).expect("the commented keys are valid");
    assert_eq!(shown.localities, Some(landingspread_localities::RecoveryTimings::default()));
    assert!(
        configuration.control.is_none() && shown.control.is_some_and(|control| control.machines.len() == 2)
    );
    assert_eq!(shown.policy.capabilities.max_attempts, configuration.policy.capabilities.max_attempts);
    assert_eq!(format!("{:?}", shown.policy.slow_start), format!("{:?}", configuration.policy.slow_start));
    assert_eq!(
        (shown.max_sockets, shown.memory_mb, shown.max_body_mb, shown.max_open_requests),
        (
            configuration.max_sockets,
            configuration.memory_mb,
            configuration.max_body_mb,
            configuration.max_open_requests
        )
    );
    assert_eq!(
        (shown.idle_connection_timeout, shown.connect_timeout),
        (configuration.idle_connection_timeout, configuration.connect_timeout)
    );
    assert!(shown.discovery.is_some() && shown.policy.quotas == [100.0]);
}

#[test]
fn errors_name_the_line_and_the_key() {
    let unknown = error_with("listen = ", "lisen = ");
    assert!(unknown.starts_with("l.toml:8: ") && unknown.contains("did you mean `listen`"), "{unknown}");
    let goal = error_with("goal = \"300ms\"", "goal = \"3s\"");
    assert!(goal.contains("verbs.0.goal: it is nothing, or longer"), "{goal}");
    let duration = error_with("limit = \"1s\"", "limit = \"soon\"");
    assert!(duration.starts_with("l.toml:"), "{duration}");
    assert!(error_with("group = \"all\"", "").contains("verbs.1.group: a receipted verb needs it"));
    assert!(
        error_with("id = \"s2\"", "id = \"s1\"")
            .contains("servers.1.id: \"s1\" is empty or stands here twice")
    );
    assert!(error_with("# sockets = 1024", "sockets = 3").contains("limits.sockets: 3 is under 40"));
    assert!(error_with("# zone = \"a\"", "zone = \"z\"").contains("none of the zones"));
    let peers = error_with("# peers = []", "peers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]");
    assert!(peers.contains("peers: 2 addresses for 1 copies"), "{peers}");
    assert!(error_with("# cost_header = \"x-cost-ms\"", "cost_header = \"a b\"").contains("cost_header: "));
    for (key, value) in
        [("check", "nan"), ("connection", "inf"), ("worst_verb", "2.0"), ("cold_share", "nan")]
    {
        let line = EXAMPLE.lines().find(|line| line.starts_with(&format!("# {key} = "))).expect(key);
        let text = error_with(line, &format!("{key} = {value}"));
        assert!(text.contains(&format!("rules.{key}: ")) && text.starts_with("l.toml:"), "{text}");
    }
    assert!(error_with("# weight = 1.0", "weight = nan").contains("servers.0.weight: "));
    assert!(error_with("# check = 0.0", "check = -1.0").contains("rules.check: -1 does not lie"));
}

#[test]
fn fleet_has_defaults_and_its_errors_name_the_line_and_key() {
    assert!(parsed(EXAMPLE).expect("the file is valid").fleet.is_none(), "no fleet unless it is configured");
    let with_fleet = |keys: &str| EXAMPLE.replacen("# [fleet]", &format!("[fleet]\n{keys}"), 1);
    let fleet = parsed(&with_fleet("listen = \"127.0.0.1:7946\""))
        .expect("the file is valid")
        .fleet
        .expect("a fleet is configured");
    assert_eq!((fleet.listen, fleet.advertise, fleet.uses_peer_socket), (fleet.listen, fleet.listen, false));
    assert_eq!((fleet.name.as_str(), fleet.zone.as_str(), fleet.configured_replicas), ("fleet", "a", 1.0));
    assert_eq!(fleet.budget, landingspread_membership::Budget::default());
    let fleet_error = |keys: &str| parsed(&with_fleet(keys)).err().expect("the fleet is refused");
    let line = 1 + EXAMPLE.lines().position(|line| line == "# [fleet]").expect("the example has a fleet");
    for (keys, expected) in [
        ("name = \"f\"", "fleet.listen: an IPv4 address is wanted"),
        ("listen = \"0.0.0.0:7946\"", "fleet.listen: others can send nothing"),
        ("advertise = \"10.0.0.1:0\"\nlisten = \"0.0.0.0:7946\"", "fleet.advertise: others can send nothing"),
        ("name = \"\"\nlisten = \"127.0.0.1:7946\"", "fleet.name: it is empty"),
        ("kilobytes = 3\nlisten = \"127.0.0.1:7946\"", "fleet.kilobytes: 3 does not lie"),
    ] {
        let text = fleet_error(keys);
        let error_line: Option<usize> = text.split(':').nth(1).and_then(|text| text.parse().ok());
        assert!(text.contains(expected) && error_line.is_some_and(|at| at >= line), "{keys:?}: {text}");
    }
    assert!(fleet_error("listen = \"[::1]:7946\"").starts_with("l.toml:"), "IPv6 is refused");
    assert!(fleet_error("sead = 3").contains("did you mean `seeds`"));
    // With peers the fleet uses their socket, and their addresses are the seeds.
    let peers = "peers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\ncopies = 2\nordinal = 1";
    let text = with_fleet("name = \"f\"").replacen("# peers = []", peers, 1);
    let fleet = parsed(&text).expect("the file is valid").fleet.expect("a fleet is configured");
    assert_eq!((fleet.listen.port(), fleet.uses_peer_socket, fleet.seeds.len()), (2, true, 2));
}

#[test]
fn costs_peers_and_health_checks_are_configurable() {
    let mut text = EXAMPLE.to_string();
    for (key, value) in [
        ("peers", "[\"127.0.0.1:1\", \"127.0.0.1:2\"]"),
        ("copies", "2"),
        ("ordinal", "1"),
        ("checks_tell", "true"),
        ("check", "0.002"),
        ("peer", "0.01"),
        ("connection", "0.04"),
        ("utility_by_work", "true"),
        ("worst_verb", "0.3"),
    ] {
        let line = text.lines().find(|line| line.starts_with(&format!("# {key} = "))).expect(key).to_string();
        text = text.replacen(&line, &format!("{key} = {value}"), 1);
    }
    let default_policy = parsed(EXAMPLE).expect("the file is valid").policy;
    assert!(
        !default_policy.capabilities.peer_messages
            && !default_policy.health_checks_report_load
            && default_policy.costs.health_check == 0.0
    );
    let policy = parsed(&text).expect("the file is valid").policy;
    assert!(policy.capabilities.peer_messages && policy.health_checks_report_load && policy.value_by_work);
    let costs = &policy.costs;
    assert_eq!((costs.health_check, costs.peer_message, costs.connection), (0.002, 0.01, 0.04));
    assert_eq!((policy.objective.worst_class, policy.ordinal), (0.3, 1));
}
