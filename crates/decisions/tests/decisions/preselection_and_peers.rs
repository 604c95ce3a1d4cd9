//! Copies beside their callers: looks before a draw, words between copies, and what is taken over from an earlier one.

use crate::scripted_host::{Final, Scene, entry, ms, terms};
use landingspread_decisions::host::{Lifecycle, LoadReport, Outcome};
use landingspread_decisions::statistics::ServerStatistics;

const LOOKS: &str = "Report.How=probe Report.Fields=active,waiting Costs.Probe=0.002 PolicyLimits.ConnIdle=15000000 \
    PolicyLimits.Peers=true Costs.Peer=0.01 Balancers=200";

fn looking(servers: u32) -> Scene {
    Scene::new(terms("all", LOOKS), "all", 7, servers)
}

fn holds(in_flight: f64) -> LoadReport {
    LoadReport { in_flight: Some(in_flight), ..LoadReport::default() }
}

/// Ends the checks that are out: what each server holds, or nothing where nobody is there.
fn looks(scene: &mut Scene, held: impl Fn(&str) -> Option<f64>) {
    let checks = std::mem::take(&mut scene.script.0.borrow_mut().checks);
    for server in checks {
        let (outcome, load) = match held(&server) {
            Some(held) => (Outcome::Ok, holds(held)),
            None => (Outcome::ConnectFailed, LoadReport::default()),
        };
        scene.policy.health_check_ended(scene.now(), outcome, &server, load);
    }
}

fn server_of(scene: &Scene, id: &str) -> Option<String> {
    let world = scene.script.0.borrow();
    world.cmds[id].relays.last().map(|relay| relay.server.to_string())
}

#[test]
fn a_request_waits_for_its_health_checks_and_goes_to_the_least_loaded_server() {
    let mut scene = looking(6);
    for _ in 0..20 {
        let id = scene.give(2, ms(1000));
        assert!(scene.out().is_empty(), "nothing goes out unseen");
        while scene.out().is_empty() {
            assert!(!scene.script.0.borrow().checks.is_empty(), "it goes on looking");
            looks(&mut scene, |server| Some(if server == "s3" { 0.0 } else { 2.0 }));
        }
        assert_eq!(server_of(&scene, &id).as_deref(), Some("s3"));
        scene.pass(ms(40));
        scene.end(&id, 0, Outcome::Ok, LoadReport::default());
        scene.pass(ms(100));
    }
}

#[test]
fn preselection_checks_keep_to_their_budget_and_are_few_where_servers_are_idle() {
    let mut scene = looking(6);
    let mut checks = 0;
    for _ in 0..50 {
        let id = scene.give(0, ms(1000));
        checks += scene.script.0.borrow().checks.len();
        looks(&mut scene, |_| Some(0.0));
        scene.end(&id, 0, Outcome::Ok, LoadReport::default());
        scene.pass(ms(60));
    }
    assert_eq!(checks, 100, "two for each command");
}

#[test]
fn where_no_server_is_reachable_a_request_is_rejected_soon_with_retry_after() {
    let mut scene = looking(2);
    let id = scene.give(2, ms(1000));
    looks(&mut scene, |_| None);
    scene.pass(ms(40));
    assert_eq!(scene.ended(&id), Some(Final::Declined));
    assert!(scene.script.0.borrow().come_back.is_some_and(|wait| wait > ms(0)));
}

#[test]
fn a_server_once_found_overloaded_is_checked_again() {
    let mut scene = looking(1);
    let first = scene.give(0, ms(1000));
    looks(&mut scene, |_| Some(50.0));
    scene.pass(ms(40));
    assert_eq!(scene.ended(&first), Some(Final::Declined));
    scene.pass(ms(100));
    let second = scene.give(0, ms(1000));
    looks(&mut scene, |_| Some(0.0));
    assert!(server_of(&scene, &second).is_some());
}

#[test]
fn a_request_that_no_server_may_take_any_more_has_its_final_answer_at_once() {
    let mut scene = looking(6);
    let id = scene.give(0, ms(300));
    for number in 0..4 {
        while scene.out().is_empty() {
            looks(&mut scene, |_| Some(0.0));
        }
        scene.pass(ms(20));
        assert_eq!(scene.ended(&id), None);
        scene.end(&id, number, Outcome::Overloaded, LoadReport::default());
    }
    assert_eq!(scene.ended(&id), Some(Final::Declined), "no relay is left to it");
}

#[test]
fn a_request_due_before_the_next_sweep_does_not_wait_for_health_checks() {
    let mut scene = looking(6);
    let id = scene.give(2, ms(15));
    assert_eq!(scene.ended(&id), Some(Final::Declined));
}

/// One command to the one server, which is idle; how it ends.
fn one(scene: &mut Scene, verb: usize, outcome: Outcome) {
    let id = scene.give(verb, ms(1000));
    looks(scene, |_| Some(0.0));
    scene.end(&id, 0, outcome, LoadReport::default());
}

#[test]
fn after_idle_connections_broke_non_idempotent_requests_get_new_ones_and_peers_are_told() {
    let mut scene = looking(1);
    one(&mut scene, 2, Outcome::Ok);
    for _ in 0..2 {
        scene.pass(ms(1000));
        assert!(scene.script.0.borrow().let_go.is_empty(), "none broke yet that is known to");
        one(&mut scene, 2, Outcome::Reset);
    }
    scene.pass(ms(1000));
    one(&mut scene, 2, Outcome::Ok);
    assert_eq!(scene.script.0.borrow().let_go.len(), 1);
    // Used a moment ago: it is kept.
    scene.pass(ms(20));
    one(&mut scene, 2, Outcome::Ok);
    assert_eq!(scene.script.0.borrow().let_go.len(), 1);
    (0..200).for_each(|_| one(&mut scene, 0, Outcome::Ok));
    scene.pass(ms(20));
    let told = scene.script.0.borrow().told.clone();
    let mut other = looking(1);
    one(&mut other, 2, Outcome::Ok);
    let now = other.now();
    told.iter().for_each(|words| other.policy.peer_message_received(now, 9, words));
    other.pass(ms(1000));
    one(&mut other, 2, Outcome::Ok);
    assert_eq!(other.script.0.borrow().let_go.len(), 1, "by its peers' words alone");
}

#[test]
fn a_server_that_fails_one_class_is_ejected_for_that_class_alone() {
    let mut scene = looking(2);
    for _ in 0..40 {
        let id = scene.give(2, ms(3000));
        looks(&mut scene, |_| Some(0.0));
        looks(&mut scene, |_| Some(0.0));
        let lost = server_of(&scene, &id).as_deref() == Some("s0");
        let outcome = if lost { Outcome::Error } else { Outcome::Ok };
        if server_of(&scene, &id).is_some() {
            scene.end(&id, 0, outcome, LoadReport::default());
        }
        scene.pass(ms(20));
    }
    let before = scene.script.0.borrow().sent_to("s0");
    for verb in [2, 0].repeat(30) {
        let id = scene.give(verb, ms(3000));
        looks(&mut scene, |_| Some(0.0));
        if verb == 2 {
            assert_eq!(server_of(&scene, &id).as_deref(), Some("s1"));
        }
        scene.end(&id, 0, Outcome::Ok, LoadReport::default());
    }
    assert!(scene.script.0.borrow().sent_to("s0") > before, "the other verb goes on there");
}

#[test]
fn messages_to_peers_are_bounded_however_much_fails() {
    let mut scene = looking(6);
    let count = 400;
    for _ in 0..count {
        let id = scene.give(0, ms(1000));
        looks(&mut scene, |_| Some(0.0));
        if server_of(&scene, &id).is_some() {
            scene.end(&id, 0, Outcome::Error, LoadReport::default());
        }
        scene.pass(ms(20));
    }
    let told: usize = scene.script.0.borrow().told.iter().filter(|words| words.len() > 3).map(Vec::len).sum();
    // Half a full message delivered for each command, to 200 copies.
    assert!(told > 0 && told as f64 * 200.0 / 256.0 <= f64::from(count) * 0.5 + 3.0 * 200.0, "{told} bytes");
}

#[test]
fn a_replica_with_much_of_the_traffic_takes_much_of_the_capacity() {
    let told = |usual: [u8; 2]| {
        let many = "Balancers=100 PolicyLimits.Peers=true";
        let mut scene = Scene::new(terms("all", many), "all", 7, 4);
        let now = scene.now();
        (0..200).for_each(|_| scene.policy.peer_message_received(now, 3, &[2, usual[0], usual[1]]));
        for _ in 0..200 {
            scene.give(0, ms(3000));
            scene.pass(ms(20));
        }
        scene.out().len()
    };
    let (even, much) = (told([1, 244]), told([0, 10]));
    assert!(much >= 3 * even.max(1), "{even} out as one of equals, {much} with fifty times the usual");
}

#[test]
fn statistics_are_restored_for_processes_that_still_run_and_no_others() {
    let learnt = |server: &str, marked, up_since| ServerStatistics {
        server: server.into(),
        started_at: up_since,
        slowness: 3.0,
        ejected: marked,
    };
    let mut scene = Scene::new(terms("all", ""), "all", 7, 4);
    let now = scene.now();
    let other = Some(ms(900));
    let all = [
        learnt("s0", true, None),
        learnt("s1", true, other),
        learnt("s2", false, None),
        learnt("s8", false, None),
    ];
    scene.policy.restore_statistics(now, &all);
    let slowness = |scene: &Scene, server: &str| {
        scene
            .policy
            .server_statistics()
            .into_iter()
            .find(|one| &*one.server == server)
            .expect("known")
            .slowness
    };
    assert!(slowness(&scene, "s0") > 2.0 && slowness(&scene, "s2") > 2.0);
    assert_eq!(
        (slowness(&scene, "s1"), slowness(&scene, "s3")),
        (1.0, 1.0),
        "another process, and an unknown one"
    );
    for _ in 0..40 {
        scene.play(0, |_| Outcome::Ok);
    }
    assert_eq!(scene.script.0.borrow().sent_to("s0"), 0, "marked until its checks pass");
    assert!(scene.script.0.borrow().sent_to("s1") > 0);
    for _ in 0..4 {
        scene.check_all(Outcome::Ok);
        scene.pass(ms(1100));
    }
    assert!(scene.noted("return s0"));
}

#[test]
fn where_most_were_ejected_no_ejection_is_restored() {
    let mut scene = Scene::new(terms("all", ""), "all", 7, 4);
    let marked = |at| ServerStatistics {
        server: format!("s{at}").into(),
        started_at: None,
        slowness: 1.0,
        ejected: at < 3,
    };
    let all: Vec<ServerStatistics> = (0..4).map(marked).collect();
    scene.policy.restore_statistics(scene.now(), &all);
    assert!(scene.policy.server_statistics().iter().all(|one| !one.ejected));
    scene.change(&[entry("s0", Lifecycle::Draining)]);
}
