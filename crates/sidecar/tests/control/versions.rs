//! What a version does at a sidecar: refused as a whole where one key is at fault, and discovery moved by one.

use crate::helpers::*;
use crate::rig::*;
use landingspread_lab::sockets::{Discovery, Does, Scripted};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Instant;

#[test]
fn version_with_one_invalid_key_is_refused_by_all_and_reported_with_the_key() {
    let _turn = take_turn();
    let folder = folder("refused");
    let (_endpoints, endpoints) = slow_endpoints();
    let machines = machines(&folder, 3);
    let list: Vec<_> = machines.iter().map(|one| (one.address, "")).collect();
    let all: Vec<FollowingSidecar> = (0..3)
        .map(|at| start_sidecar(&folder, &format!("n{at}"), "", &machine_list(&list), &endpoints))
        .collect();
    let every: Vec<&FollowingSidecar> = all.iter().collect();
    let short_limit = json!({"verbs.view.goal": "40ms", "verbs.view.limit": "40ms"});
    let good = publish(machines[0].address, &short_limit);
    wait_until_in_force("the good one", &every, &good, Instant::now());
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
            let said = status["refused"].as_object().cloned().unwrap_or_default();
            let right =
                |why: &Value| why.as_str().is_some_and(|why| why.starts_with(key) && why.contains(what));
            said.len() == 3 && said.values().all(right) && status["acknowledged"] == json!(0)
        };
        within(&format!("{key}: all three refuse it: {}", scope_status(machines[2].address)), refused);
        for one in &every {
            let status = one.status();
            assert_eq!(status["in_force"]["version"], json!(good), "{key}");
            assert_eq!(
                (&status["refused"]["version"], &status["refused"]["key"]),
                (&json!(bad), &json!(key))
            );
        }
    }
    assert_views(&every, false);
    // Who publishes over what he has not seen is told what holds.
    let (status, text) = put(machines[0].address, &good, "", &json!({}));
    assert!(status == 409 && text.contains("holds here"), "{status} {text}");
    let (status, text) = put(machines[0].address, &good, "", &json!({"verbs.view.goal": ["1s"]}));
    assert!(status == 400 && text.contains("verbs.view.goal: it is no text"), "{status} {text}");
    let last = publish(machines[0].address, &json!({"verbs.view.goal": "1s"}));
    wait_until_in_force("a good one again", &every, &last, Instant::now());
    assert_views(&every, true);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn discovery_address_of_a_version_goes_before_the_reloaded_file() {
    let _turn = take_turn();
    let folder = folder("moves");
    let machines = machines(&folder, 2);
    let list = machine_list(&machines.iter().map(|one| (one.address, "")).collect::<Vec<_>>());
    let endpoints: Vec<Scripted> = (0..3).map(|_| endpoint(Does::Answer)).collect();
    let sources: Vec<Arc<Discovery>> = endpoints
        .iter()
        .map(|server| {
            let source = list_source();
            source.write(1, catalog(1, &[("s1", server.address, "ready")]).to_string());
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
    let every: Vec<&FollowingSidecar> = all.iter().collect();
    let goes_to = |one: &FollowingSidecar, server: usize| {
        let before = endpoints[server].seen().cmds.len();
        one.request("view", 1) == Some(200) && endpoints[server].seen().cmds.len() > before
    };
    every.iter().for_each(|one| within("the file's place", || goes_to(one, 0)));
    let moved = publish(machines[0].address, &json!({"discovery.address": sources[1].address.to_string()}));
    wait_until_in_force("moved", &every, &moved, Instant::now());
    every.iter().for_each(|one| within("the place that the change names", || goes_to(one, 1)));
    // The file names another one by now; the change goes before.
    for (at, one) in every.iter().enumerate() {
        let path = folder.join(format!("n{at}.toml"));
        let text = std::fs::read_to_string(&path).expect("its file");
        std::fs::write(&path, text.replace(&file(0), &file(2))).expect("a file");
        one.process.signal("-HUP");
        let read = || {
            let log = std::fs::read_to_string(folder.join(format!("n{at}.log"))).unwrap_or_default();
            log.contains("SIGHUP: the configuration is read again")
        };
        within("it is read again", read);
        assert!(goes_to(one, 1), "what the change names holds");
    }
    let back = publish(machines[1].address, &json!({}));
    wait_until_in_force("no longer named", &every, &back, Instant::now());
    every.iter().for_each(|one| within("the file's new place", || goes_to(one, 2)));
    let _ = std::fs::remove_dir_all(folder);
}
