//! Changes of the configuration at run time: accepted values and the exact texts of errors.

use super::*;
use crate::configuration::{EXAMPLE, parse};

/// Reads a change on top of the example, with a tenant and optionally with discovery. An error is `KEY | REASON`.
fn read(with_discovery: bool, changes: &[(&str, &str)]) -> Result<RuntimeChange, String> {
    let tenants = EXAMPLE.replace("# [[tenants]]\n# name", "[[tenants]]\nname");
    let discovery_text = tenants.replace("# [discovery]\n# address", "[discovery]\naddress");
    let configuration = parse("l.toml", if with_discovery { &discovery_text } else { &tenants })
        .map_err(|_| "the example")?;
    let contents = changes.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect();
    RuntimeSettings::new(&configuration)
        .read(&contents)
        .map_err(|error| format!("{} | {}", error.key, error.reason))
}

#[test]
fn errors_of_a_change_have_their_exact_texts() {
    for (key, value, expected) in [
        ("discovery.address", "x", "discovery.address | \"x\" is not an address with a port"),
        ("tenants.acme.quota", "x", "tenants.acme.quota | \"x\" is not a number"),
        ("tenants.acme.quota", "-1", "tenants.acme.quota | -1 does not lie from 0 to 1000000000"),
        ("tenants.other.quota", "1", "tenants.other.quota | a new tenant needs a restart"),
        ("tenants.acme.name", "1", "tenants.acme.name | it needs a restart"),
        ("verbs.other.goal", "1s", "verbs.other.goal | a new verb needs a restart"),
        ("verbs.view.goal", "x", "verbs.view.goal | \"x\" is no span such as \"300ms\""),
        ("verbs.view.goal", "2s", "verbs.view.goal | it is nothing, or longer than the limit"),
        ("verbs.view.limit", "10ms", "verbs.view.limit | it is nothing, or longer than the limit"),
        ("verbs.view.limit", "0s", "verbs.view.limit | 0ns does not lie within 600s"),
        ("verbs.view.utility", "1e10", "verbs.view.utility | 10000000000 does not lie from 0 to 1000000000"),
        ("verbs.view.overdue_utility", "2", "verbs.view.overdue_utility | 2 does not lie from 0 to 1"),
        ("verbs.view.repeats", "pure", "verbs.view.repeats | it needs a restart"),
        ("rules.checks", "true", "rules.checks | it needs a restart"),
        ("listen", "127.0.0.1:1", "listen | it needs a restart"),
        ("colour", "red", "colour | there is no such key"),
    ] {
        assert_eq!(read(true, &[(key, value)]).err().as_deref(), Some(expected), "{key}={value}");
    }
    let unconfigured = read(false, &[("discovery.address", "127.0.0.1:1")]).err();
    assert_eq!(unconfigured.as_deref(), Some("discovery.address | it needs a restart"));
}

#[test]
fn change_is_applied_to_the_values_of_the_file() {
    let changes =
        [("discovery.address", "127.0.0.1:1"), ("tenants.acme.quota", "7"), ("verbs.view.goal", "20ms")];
    let change = read(true, &changes).expect("the change is valid");
    assert_eq!((change.quotas, change.discovery), (vec![7.0], "127.0.0.1:1".parse().ok()));
    let objectives_ms: Vec<u128> =
        change.classes.iter().map(|class| class.latency_objective.as_millis()).collect();
    assert_eq!(objectives_ms, [20, 500, 800]);
}
