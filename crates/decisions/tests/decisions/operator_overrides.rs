//! What operators say of single servers, against every order in which the list may speak meanwhile.

use crate::scripted_host::{Scene, entry, ms, terms};
use landingspread_decisions::host::{Lifecycle, ListedServer, Outcome};

fn scene() -> Scene {
    Scene::new(terms("all", ""), "all", 7, 3)
}

fn play(scene: &mut Scene, cmds: usize) {
    for _ in 0..cmds {
        scene.play(0, |_| Outcome::Ok);
    }
}

fn sent(scene: &Scene, server: &str) -> usize {
    scene.script.0.borrow().sent_to(server)
}

#[test]
fn an_excluded_server_gets_nothing_whatever_the_list_says_and_is_included_by_one_call() {
    let mut scene = scene();
    play(&mut scene, 30);
    assert!(scene.operators("s1", true) && scene.operators("s1", true));
    let before = sent(&scene, "s1");
    let restarted = ListedServer { started_at: Some(scene.now()), ..entry("s1", Lifecycle::Ready) };
    let all = [entry("s0", Lifecycle::Ready), restarted.clone(), entry("s2", Lifecycle::Ready)];
    for entries in [
        vec![entry("s1", Lifecycle::Removed)],
        vec![restarted.clone()],
        vec![entry("s1", Lifecycle::Draining)],
    ] {
        scene.change(&entries);
        play(&mut scene, 10);
    }
    // A whole list without it, and one that has it again.
    for entries in [[&all[..1], &all[2..]].concat(), all.to_vec()] {
        scene.told(&entries);
        scene.policy.endpoint_list_received(scene.now(), &entries);
        play(&mut scene, 10);
    }
    assert_eq!(sent(&scene, "s1"), before);
    assert!(scene.operators("s1", false));
    play(&mut scene, 100);
    assert!(sent(&scene, "s1") > before, "used again within two seconds");
}

#[test]
fn an_included_server_is_in_slow_start_though_the_list_shows_no_restart() {
    let mut scene = scene();
    play(&mut scene, 200);
    scene.operators("s1", true);
    scene.pass(ms(10_000));
    scene.operators("s1", false);
    let before = [sent(&scene, "s0"), sent(&scene, "s1")];
    play(&mut scene, 60);
    let [warm, cold] = [sent(&scene, "s0") - before[0], sent(&scene, "s1") - before[1]];
    assert!(cold > 0 && 2 * cold <= warm, "{cold} against {warm}");
}

#[test]
fn only_an_id_that_no_list_ever_named_is_unknown() {
    let mut scene = scene();
    assert!(!scene.operators("s7", true) && !scene.operators("s7", false));
    assert!(scene.operators("s2", false), "a call back with none out");
    scene.change(&[entry("s2", Lifecycle::Removed)]);
    assert!(scene.operators("s2", true), "once listed and now gone");
    scene.change(&[entry("s2", Lifecycle::Ready)]);
    let before = sent(&scene, "s2");
    play(&mut scene, 20);
    assert_eq!(sent(&scene, "s2"), before);
    scene.change(&[entry("s2", Lifecycle::Removed)]);
    assert!(scene.operators("s2", false));
    play(&mut scene, 20);
    assert_eq!(sent(&scene, "s2"), before, "the list says that it is gone");
    scene.policy.restore_known_server(&"s8".into());
    assert!(scene.operators("s8", true));
}

#[test]
fn with_all_servers_excluded_requests_are_rejected_at_once() {
    let mut scene = scene();
    play(&mut scene, 20);
    for server in ["s0", "s1", "s2"] {
        scene.operators(server, true);
    }
    let id = scene.give(2, ms(3000));
    scene.pass(ms(500));
    assert_eq!(scene.ended(&id), Some(crate::scripted_host::Final::Declined));
    scene.operators("s0", false);
    scene.pass(ms(1000));
    let id = scene.play(2, |_| Outcome::Ok);
    assert_eq!(scene.ended(&id), Some(crate::scripted_host::Final::Answered));
}

#[test]
fn a_replica_with_few_requests_uses_an_included_server_within_five_seconds() {
    for seed in 0..40 {
        // Five copies share eight servers; this one has four commands a second.
        let mut scene = Scene::new(terms("all", "Balancers=5"), "all", seed, 8);
        let second = |scene: &mut Scene| {
            for _ in 0..4 {
                scene.play(2, |_| Outcome::Ok);
                scene.pass(ms(230));
            }
        };
        (0..10).for_each(|_| second(&mut scene));
        // Any that it used before: with so few commands its window is not the whole list.
        let used = (0..8).map(|at| format!("s{at}")).find(|server| sent(&scene, server) > 0).expect("one");
        scene.operators(&used, true);
        (0..8).for_each(|_| second(&mut scene));
        let before = sent(&scene, &used);
        scene.operators(&used, false);
        scene.play(2, |_| Outcome::Ok);
        assert!(sent(&scene, &used) <= before + 1, "a cold one gets no burst");
        (0..4).for_each(|_| second(&mut scene));
        assert!(sent(&scene, &used) > before, "seed {seed}: left unused");
    }
}
