use super::*;
use landingspread_decisions::settings::{DedupScope, RetrySafety};

fn parsed(text: &str) -> Result<Configuration, String> {
    parse("l.toml", text, Environment::Empty).map_err(|error| error.to_string())
}

fn refused(from: &str, to: &str) -> String {
    assert!(EXAMPLE.contains(from), "{from}");
    parsed(&EXAMPLE.replacen(from, to, 1)).err().expect("an error")
}

#[test]
fn the_example_is_valid_and_shows_the_defaults() {
    let configuration = parsed(EXAMPLE).expect("it can be read");
    assert_eq!((configuration.initial_catalog.entries.len(), configuration.classes.len()), (2, 3));
    assert_eq!(configuration.policy.classes[1].retry_safety, RetrySafety::IdempotencyKeyed(DedupScope::All));
    // Each key that is commented out, as the default that its comment shows.
    let opened: Vec<&str> = EXAMPLE
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
    // There is nothing to leave where there is one zone.
    let opened = opened.join("\n").replacen("zones = [\"a\"]", "zones = [\"a\", \"b\"]", 1);
    let shown = parsed(&opened).expect("its comments can be read");
    assert_eq!(shown.localities, Some(landingspread_localities::RecoveryTimings::default()));
    assert!(
        configuration.control.is_none() && shown.control.is_some_and(|control| control.machines.len() == 2)
    );
    assert_eq!(shown.policy.capabilities.max_attempts, configuration.policy.capabilities.max_attempts);
    assert_eq!(format!("{:?}", shown.policy.slow_start), format!("{:?}", configuration.policy.slow_start));
    assert_eq!(
        (shown.max_sockets, shown.memory_mb, shown.max_open_requests),
        (configuration.max_sockets, configuration.memory_mb, configuration.max_open_requests)
    );
    assert_eq!(
        (shown.idle_connection_timeout, shown.connect_timeout),
        (configuration.idle_connection_timeout, configuration.connect_timeout)
    );
    assert!(shown.discovery.is_some() && shown.policy.quotas == [100.0]);
}

#[test]
fn errors_name_the_line_and_the_key() {
    let unknown = refused("listen = ", "lisen = ");
    assert!(unknown.starts_with("l.toml:8: ") && unknown.contains("did you mean `listen`"), "{unknown}");
    let goal = refused("goal = \"300ms\"", "goal = \"3s\"");
    assert!(goal.contains("verbs.0.goal: it is nothing, or longer"), "{goal}");
    let span = refused("limit = \"1s\"", "limit = \"soon\"");
    assert!(span.starts_with("l.toml:"), "{span}");
    assert!(refused("group = \"all\"", "").contains("verbs.1.group: a receipted verb needs it"));
    assert!(
        refused("id = \"s2\"", "id = \"s1\"").contains("servers.1.id: \"s1\" is empty or stands here twice")
    );
    assert!(refused("# sockets = 1024", "sockets = 3").contains("limits.sockets: 3 is under 40"));
    assert!(refused("# zone = \"a\"", "zone = \"z\"").contains("none of the zones"));
    let peers = refused("# peers = []", "peers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]");
    assert!(peers.contains("peers: 2 addresses for 1 copies"), "{peers}");
    assert!(refused("# cost_header = \"x-cost-ms\"", "cost_header = \"a b\"").contains("cost_header: "));
    for (key, figure) in
        [("check", "nan"), ("connection", "inf"), ("worst_verb", "2.0"), ("cold_share", "nan")]
    {
        let line = EXAMPLE.lines().find(|line| line.starts_with(&format!("# {key} = "))).expect(key);
        let text = refused(line, &format!("{key} = {figure}"));
        assert!(text.contains(&format!("rules.{key}: ")) && text.starts_with("l.toml:"), "{text}");
    }
    assert!(refused("# weight = 1.0", "weight = nan").contains("servers.0.weight: "));
    assert!(refused("# check = 0.0", "check = -1.0").contains("rules.check: -1 does not lie"));
}

#[test]
fn a_fleet_has_its_defaults_and_errors_of_it_name_the_line_and_the_key() {
    assert!(parsed(EXAMPLE).expect("it can be read").fleet.is_none(), "off where it is not configured");
    let with = |part: &str| EXAMPLE.replacen("# [fleet]", &format!("[fleet]\n{part}"), 1);
    let fleet = parsed(&with("listen = \"127.0.0.1:7946\"")).expect("it can be read").fleet.expect("a fleet");
    assert_eq!((fleet.listen, fleet.advertise, fleet.uses_peer_socket), (fleet.listen, fleet.listen, false));
    assert_eq!((fleet.name.as_str(), fleet.zone.as_str(), fleet.configured_replicas), ("fleet", "a", 1.0));
    assert_eq!(fleet.budget, landingspread_membership::Budget::default());
    let refused = |part: &str| parsed(&with(part)).err().expect("an error");
    let line = 1 + EXAMPLE.lines().position(|line| line == "# [fleet]").expect("a line");
    for (part, wanted) in [
        ("name = \"f\"", "fleet.listen: an IPv4 address is wanted"),
        ("listen = \"0.0.0.0:7946\"", "fleet.listen: others can send nothing"),
        ("advertise = \"10.0.0.1:0\"\nlisten = \"0.0.0.0:7946\"", "fleet.advertise: others can send nothing"),
        ("name = \"\"\nlisten = \"127.0.0.1:7946\"", "fleet.name: it is empty"),
        ("kilobytes = 3\nlisten = \"127.0.0.1:7946\"", "fleet.kilobytes: 3 does not lie"),
    ] {
        let text = refused(part);
        let named: Option<usize> = text.split(':').nth(1).and_then(|text| text.parse().ok());
        assert!(text.contains(wanted) && named.is_some_and(|named| named >= line), "{part:?}: {text}");
    }
    assert!(refused("listen = \"[::1]:7946\"").starts_with("l.toml:"), "IPv4 alone");
    assert!(refused("sead = 3").contains("did you mean `seeds`"));
    // With peers their socket is used, and they are the seeds.
    let peers = "peers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\ncopies = 2\nordinal = 1";
    let text = with("name = \"f\"").replacen("# peers = []", peers, 1);
    let fleet = parsed(&text).expect("it can be read").fleet.expect("a fleet");
    assert_eq!((fleet.listen.port(), fleet.uses_peer_socket, fleet.seeds.len()), (2, true, 2));
}

#[test]
fn costs_peers_and_health_checks_can_be_set() {
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
    let plain = parsed(EXAMPLE).expect("it can be read").policy;
    assert!(
        !plain.capabilities.peer_messages
            && !plain.health_checks_report_load
            && plain.costs.health_check == 0.0
    );
    let policy = parsed(&text).expect("it can be read").policy;
    assert!(policy.capabilities.peer_messages && policy.health_checks_report_load && policy.value_by_work);
    let costs = &policy.costs;
    assert_eq!((costs.health_check, costs.peer_message, costs.connection), (0.002, 0.01, 0.04));
    assert_eq!((policy.objective.worst_class, policy.ordinal), (0.3, 1));
}
