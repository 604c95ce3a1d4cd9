//! Zones that the fleet leaves and takes back, as the decisions hear of it. Servers of even numbers stand in zone 0.

use crate::scripted_host::{Scene, entry, ms, terms};
use landingspread_decisions::host::{Lifecycle, Outcome};
use landingspread_decisions::zones::ZoneTraffic;

fn scene(extra: &str) -> Scene {
    let mut scene = Scene::new(terms("all", extra), "all", 9, 6);
    told(&mut scene, 1.0, None);
    scene
}

/// What is told of zone 1.
fn told(scene: &mut Scene, share: f64, trial: Option<u64>) {
    let now = scene.now();
    let here = ZoneTraffic { zone: 0, fraction: 1.0, trial: None };
    scene.policy.zone_traffic_changed(now, &[here, ZoneTraffic { zone: 1, fraction: share, trial }]);
}

fn play(scene: &mut Scene, cmds: usize) {
    (0..cmds).for_each(|_| drop(scene.play(0, |_| Outcome::Ok)));
}

fn sent_to_zone_1(scene: &Scene) -> usize {
    let world = scene.script.0.borrow();
    ["s1", "s3", "s5"].iter().map(|server| world.sent_to(server)).sum()
}

#[test]
fn a_drained_zone_gets_nothing_but_health_checks_in_turn_until_it_is_used_again() {
    let mut scene = scene("");
    play(&mut scene, 60);
    assert!(sent_to_zone_1(&scene) > 10);
    told(&mut scene, 0.0, None);
    let before = sent_to_zone_1(&scene);
    scene.script.0.borrow_mut().checks.clear();
    play(&mut scene, 100);
    // A server that joins it, or that the list says has started, is no way round.
    scene.change(&[entry("s7", Lifecycle::Ready), entry("s1", Lifecycle::Removed)]);
    scene.change(&[entry("s1", Lifecycle::Ready)]);
    play(&mut scene, 100);
    scene.pass(ms(3000));
    assert_eq!(sent_to_zone_1(&scene) + scene.script.0.borrow().sent_to("s7"), before);
    assert!(scene.script.0.borrow().checks.is_empty(), "no check without the turn");
    for turn in 1..=4 {
        told(&mut scene, 0.0, Some(turn));
        told(&mut scene, 0.0, Some(turn));
        scene.pass(ms(200));
        assert_eq!(scene.script.0.borrow().checks.len(), 1, "one check a turn");
        scene.check_all(Outcome::Ok);
        scene.pass(ms(3000));
        assert!(scene.script.0.borrow().checks.is_empty());
    }
    play(&mut scene, 50);
    assert_eq!(sent_to_zone_1(&scene), before, "that checks are answered is for the fleet to weigh");
    told(&mut scene, 0.5, None);
    play(&mut scene, 400);
    assert!(sent_to_zone_1(&scene) > before, "it is used again");
}

#[test]
fn where_health_checks_are_not_allowed_a_trial_is_one_idempotent_request() {
    let mut scene = scene("PolicyLimits.Probes=false");
    play(&mut scene, 60);
    told(&mut scene, 0.0, None);
    let before = sent_to_zone_1(&scene);
    play(&mut scene, 60);
    assert_eq!(sent_to_zone_1(&scene), before);
    told(&mut scene, 0.0, Some(1));
    // Others have no part in trials.
    (0..40).for_each(|_| drop(scene.play(2, |_| Outcome::Ok)));
    assert_eq!(sent_to_zone_1(&scene), before);
    play(&mut scene, 200);
    assert_eq!(sent_to_zone_1(&scene), before + 1);
}

#[test]
fn a_zones_observation_follows_from_the_attempts_sent_there() {
    let mut scene = scene("");
    play(&mut scene, 60);
    let now = scene.now();
    let seen = scene.policy.zone_observations(now);
    let zone = |zone: u32| seen.iter().find(|seen| seen.zone == zone).copied().expect("it is told of");
    assert_eq!((zone(0).ready, zone(1).ready), (3, 3));
    assert!(zone(1).answered_ago.is_some() && zone(1).unanswered_ago.is_none());
    // Connections there are refused from now on.
    let refused = |server: &str| match server {
        "s1" | "s3" | "s5" => Outcome::ConnectFailed,
        _ => Outcome::Ok,
    };
    (0..30).for_each(|_| drop(scene.play(0, refused)));
    let now = scene.now();
    let silent = scene
        .policy
        .zone_observations(now)
        .iter()
        .find(|seen| seen.zone == 1)
        .and_then(|seen| seen.unanswered_ago);
    assert!(silent.is_some_and(|ago| ago < ms(1000)), "{silent:?}");
    // An answer of any kind is one, and old losses say nothing of now.
    scene.pass(ms(2500));
    let now = scene.now();
    let seen = scene.policy.zone_observations(now);
    assert!(seen.iter().all(|seen| seen.unanswered_ago.is_none()), "{seen:?}");
}

#[test]
fn a_zone_that_is_silent_to_others_is_checked_once_a_trial_and_a_failure_is_told() {
    let mut scene = scene("");
    let silent = |scene: &mut Scene| {
        let now = scene.now();
        let seen = scene.policy.zone_observations(now);
        seen.iter().find(|seen| seen.zone == 1).and_then(|seen| seen.unanswered_ago).is_some()
    };
    for look in 1..=3 {
        scene.script.0.borrow_mut().checks.clear();
        told(&mut scene, 1.0, Some(look));
        told(&mut scene, 1.0, Some(look));
        assert_eq!(scene.script.0.borrow().checks.len(), 1, "one check a look");
        scene.check_all(Outcome::Ok);
        assert!(!silent(&mut scene));
    }
    told(&mut scene, 1.0, Some(4));
    scene.check_all(Outcome::ConnectFailed);
    assert!(silent(&mut scene));
}

#[test]
fn servers_of_a_drained_zone_are_no_part_of_those_that_may_be_ejected() {
    let mut scene = scene("");
    play(&mut scene, 30);
    told(&mut scene, 0.0, None);
    // One of three that are in use fails: more than half of all are not clear, and it is marked all the same.
    (0..200).for_each(|_| {
        drop(scene.play(0, |server| if server == "s0" { Outcome::Error } else { Outcome::Ok }));
    });
    assert!(scene.noted("mark s0"));
}
