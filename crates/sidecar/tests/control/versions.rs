//! How sidecars apply a version: a version with one invalid key is refused as a whole, and a version can move discovery.

use crate::helpers::*;
use crate::rig::*;
use landingspread_lab::sockets::{Discovery, ScriptedBehavior, ScriptedServer};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Instant;

#[test]
fn version_with_an_invalid_key_is_refused_and_reported() {
    let _turn = take_turn();
    let folder = folder("refused");
    let (_endpoints, endpoints) = slow_endpoints();
    let machines = machines(&folder, 3);
    let list: Vec<_> = machines.iter().map(|machine| (machine.address, "")).collect();
    let all: Vec<FollowingSidecar> = (0..3)
        .map(|at| start_sidecar(&folder, &format!("n{at}"), "", &machine_list(&list), &endpoints))
        .collect();
    let sidecars: Vec<&FollowingSidecar> = all.iter().collect();
    let short_limit = json!({"verbs.view.goal": "40ms", "verbs.view.limit": "40ms"});
    let good = publish(machines[0].address, &short_limit);
    wait_until_in_force("valid version", &sidecars, &good, Instant::now());
    for (key, value, what) in [
        ("verbs.view.repeats", "effectful", "it needs a restart"),
        ("verbs.buy.goal", "1s", "a new verb needs a restart"),
        ("tenants.other.quota", "3", "a new tenant needs a restart"),
        ("tenants.acme.quota", "much", "is not a number"),
        ("tenants.acme.quota", "NaN", "does not lie"),
        ("verbs.look.goal", "3s", "longer than the limit"),
        ("verbs.look.limit", "0s", "does not lie within"),
        ("verbs.look.utility", "-1", "does not lie"),
        ("rules.relays", "9", "it needs a restart"),
        ("discovery.address", "127.0.0.1:1", "it needs a restart"),
        ("colour", "red", "there is no such key"),
    ] {
        let bad = publish(machines[1].address, &json!({key: value, "verbs.view.goal": "1s"}));
        let refused = || {
            let status = scope_status(machines[2].address);
            let refusals = status["refused"].as_object().cloned().unwrap_or_default();
            let names_key =
                |why: &Value| why.as_str().is_some_and(|why| why.starts_with(key) && why.contains(what));
            refusals.len() == 3 && refusals.values().all(names_key) && status["acknowledged"] == json!(0)
        };
        wait_until(
            &format!("{key}: all three sidecars refuse the version: {}", scope_status(machines[2].address)),
            refused,
        );
        for sidecar in &sidecars {
            let status = sidecar.status();
            assert_eq!(status["in_force"]["version"], json!(good), "{key}");
            assert_eq!(
                (&status["refused"]["version"], &status["refused"]["key"]),
                (&json!(bad), &json!(key))
            );
        }
    }
    assert_views(&sidecars, false);
    // A publication whose base is not the current version is rejected with the current one.
    let (status, text) = put(machines[0].address, &good, "", &json!({}));
    assert!(status == 409 && text.contains("holds here"), "{status} {text}");
    let (status, text) = put(machines[0].address, &good, "", &json!({"verbs.view.goal": ["1s"]}));
    assert!(status == 400 && text.contains("verbs.view.goal: it is no text"), "{status} {text}");
    let last = publish(machines[0].address, &json!({"verbs.view.goal": "1s"}));
    wait_until_in_force("valid version again", &sidecars, &last, Instant::now());
    assert_views(&sidecars, true);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn discovery_address_of_a_version_overrides_the_reloaded_file() {
    let _turn = take_turn();
    let folder = folder("moves");
    let machines = machines(&folder, 2);
    let list = machine_list(&machines.iter().map(|machine| (machine.address, "")).collect::<Vec<_>>());
    let endpoints: Vec<ScriptedServer> = (0..3).map(|_| start_endpoint(ScriptedBehavior::Respond)).collect();
    let sources: Vec<Arc<Discovery>> = endpoints
        .iter()
        .map(|server| {
            let source = start_discovery();
            source.set_raw_list(1, endpoint_list(1, &[("s1", server.address, "ready")]).to_string());
            source
        })
        .collect();
    let file = |at: usize| format!("[discovery]\naddress = \"{}\"\n", sources[at].address);
    let all: Vec<FollowingSidecar> = (0..3)
        .map(|at| {
            let (own, name) = ((address(), address()), format!("n{at}"));
            start_with(&folder, &name, own, &(config(&folder, &name, own, "", &list, &[]) + &file(0)))
        })
        .collect();
    let sidecars: Vec<&FollowingSidecar> = all.iter().collect();
    let routes_to = |sidecar: &FollowingSidecar, server: usize| {
        let before = endpoints[server].record().requests.len();
        sidecar.request("view", 1) == Some(200) && endpoints[server].record().requests.len() > before
    };
    sidecars.iter().for_each(|sidecar| wait_until("the file's discovery is used", || routes_to(sidecar, 0)));
    let moved = publish(machines[0].address, &json!({"discovery.address": sources[1].address.to_string()}));
    wait_until_in_force("discovery moved", &sidecars, &moved, Instant::now());
    sidecars
        .iter()
        .for_each(|sidecar| wait_until("the version's discovery is used", || routes_to(sidecar, 1)));
    // The file is changed to name another discovery; the version overrides it.
    for (at, sidecar) in sidecars.iter().enumerate() {
        let path = folder.join(format!("n{at}.toml"));
        let text = std::fs::read_to_string(&path).expect("failed to read the sidecar's configuration");
        std::fs::write(&path, text.replace(&file(0), &file(2))).expect("failed to write the file");
        sidecar.process.signal("-HUP");
        let is_reloaded = || {
            let log = std::fs::read_to_string(folder.join(format!("n{at}.log"))).unwrap_or_default();
            log.contains("SIGHUP: the configuration is read again")
        };
        wait_until("the log reports the reload", is_reloaded);
        assert!(routes_to(sidecar, 1), "the version's discovery is no longer in use");
    }
    let back = publish(machines[1].address, &json!({}));
    wait_until_in_force("discovery no longer in the version", &sidecars, &back, Instant::now());
    sidecars
        .iter()
        .for_each(|sidecar| wait_until("the file's new discovery is used", || routes_to(sidecar, 2)));
    let _ = std::fs::remove_dir_all(folder);
}
