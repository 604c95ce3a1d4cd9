//! Terms that change while commands are in hand.

use crate::scripted_host::{Final, Scene, Taken, ms, terms};
use landingspread_decisions::host::{Id, LoadReport, Outcome, RequestArrival};
use landingspread_decisions::settings::{RequestClass, RetrySafety};
use std::time::Duration;

fn scene(extra: &str) -> Scene {
    Scene::new(terms("all", extra), "all", 5, 3)
}

/// The four verbs of the script, the first with this goal and utility.
fn verbs(goal: Duration, utility: f64) -> Vec<RequestClass> {
    let mut verbs = terms("all", "").classes;
    (verbs[0].latency_objective, verbs[0].value) = (goal, utility);
    verbs
}

fn changed(scene: &mut Scene, quotas: &[f64], verbs: &[RequestClass]) {
    let now = scene.now();
    scene.policy.settings_changed(now, quotas, verbs);
}

fn good_for(scene: &mut Scene) -> Duration {
    let id = scene.give(0, ms(3000));
    let world = scene.script.0.borrow();
    let relay = world.cmds[&id].relays.first().expect("it goes out at once");
    relay.not_past - relay.sent
}

#[test]
fn a_new_objective_holds_for_requests_that_arrive_after_it_and_not_for_open_ones() {
    let mut scene = scene("");
    assert_eq!(good_for(&mut scene), ms(1000));
    changed(&mut scene, &[], &verbs(ms(200), 2.0));
    assert_eq!(good_for(&mut scene), ms(200));
    scene.pass(ms(300));
    let out = scene.out();
    let world = scene.script.0.borrow();
    let first = world.cmds.keys().next().expect("a command");
    assert!(out.iter().any(|(id, _)| id == first), "what was in hand is still waited for");
    drop(world);
    changed(&mut scene, &[], &verbs(ms(1000), 2.0));
    assert_eq!(good_for(&mut scene), ms(1000), "and back");
}

/// Whether a command whose body came whole is tried again 260 ms after that.
fn goes_again(goal: Option<Duration>) -> bool {
    let mut scene = scene("");
    let id = scene.give_coming(0);
    goal.into_iter().for_each(|goal| changed(&mut scene, &[], &verbs(goal, 2.0)));
    scene.body_came(&id, ms(3000));
    scene.pass(ms(260));
    scene.end(&id, 0, Outcome::ConnectFailed, LoadReport::default());
    scene.pass(ms(20));
    scene.script.0.borrow().cmds[&id].relays.len() == 2
}

#[test]
fn a_body_that_completes_after_the_change_has_the_new_objective() {
    assert!(goes_again(None) && goes_again(Some(ms(400))));
    assert!(!goes_again(Some(ms(200))));
}

fn give_of(scene: &mut Scene, tenant: usize, verb: usize) -> Id {
    let (now, due) = (scene.now(), scene.now() + ms(3000));
    let number = scene.script.0.borrow().cmds.len();
    let id: Id = format!("t{number:05}").into();
    let taken = Taken { verb, due, relays: Vec::new(), ended: None, coming: false, spent: false };
    scene.script.0.borrow_mut().cmds.insert(id.clone(), taken);
    scene.policy.request_arrived(
        now,
        RequestArrival {
            id: id.clone(),
            class: verb,
            deadline: due,
            body_incomplete: false,
            tenant,
            declared_work: None,
        },
    );
    id
}

/// Of the commands of two kinds (tenant, verb) that come for two seconds in turn, three times what three servers can do:
/// how many of each are answered within the goal.
fn answered(scene: &mut Scene, kinds: [(usize, usize); 2]) -> [usize; 2] {
    let mut given = [Vec::new(), Vec::new()];
    for _ in 0..100 {
        for _ in 0..4 {
            for (at, (tenant, verb)) in kinds.iter().enumerate() {
                given[at].push(give_of(scene, *tenant, *verb));
            }
        }
        scene.pass(ms(20));
        let mut done = Vec::new();
        for (id, number) in scene.out() {
            let server = scene.script.0.borrow().cmds[&id].relays[number as usize].server.clone();
            if !done.contains(&server) {
                scene.end(&id, number, Outcome::Ok, LoadReport::default());
                done.push(server);
            }
        }
    }
    scene.pass(ms(3100));
    given.map(|ids| ids.iter().filter(|id| scene.ended(id) == Some(Final::Answered)).count())
}

#[test]
fn a_quota_that_is_lowered_and_raised_again_changes_the_ranks() {
    let quotas = "Tenants.count=2 Tenants.0.QuotaRps=100000 Tenants.1.QuotaRps=100000 BeyondShareUtility=0.1";
    let mut scene = scene(quotas);
    let verbs = terms("all", "").classes;
    let kinds = [(0, 0), (1, 0)];
    let [one, other] = answered(&mut scene, kinds);
    assert!(one + other > 100 && one.abs_diff(other) * 4 < one + other, "alike: {one} and {other}");
    changed(&mut scene, &[100_000.0, 0.0], &verbs);
    let [within, past] = answered(&mut scene, kinds);
    assert!(within > 3 * past, "the one within its quota first: {within} and {past}");
    changed(&mut scene, &[0.0, 100_000.0], &verbs);
    let [past, within] = answered(&mut scene, kinds);
    assert!(within > 3 * past, "and now the other: {within} and {past}");
}

#[test]
fn a_value_that_is_raised_changes_which_class_goes_first() {
    let mut scene = scene("");
    let kinds = [(0, 0), (0, 3)];
    // Of two that are worth the same the one that takes less time goes first, which feeds itself.
    let [one, other] = answered(&mut scene, kinds);
    let raised = usize::from(one > other) * 3;
    let mut verbs = terms("all", "").classes;
    verbs[raised].value = 40.0;
    changed(&mut scene, &[], &verbs);
    let [first, fourth] = answered(&mut scene, kinds);
    let (high, low) = if raised == 0 { (first, fourth) } else { (fourth, first) };
    assert!(high > 3 * low, "{high} and {low}, from {one} and {other}");
}

#[test]
fn retry_safety_and_the_set_of_classes_do_not_change() {
    let mut scene = scene("");
    let mut new = verbs(ms(500), 3.0);
    new[2].retry_safety = RetrySafety::Idempotent;
    new.push(new[0].clone());
    changed(&mut scene, &[7.0, 8.0], &new);
    let id = scene.give(2, ms(3000));
    scene.pass(ms(20));
    scene.end(&id, 0, Outcome::Error, LoadReport::default());
    scene.pass(ms(20));
    assert_eq!(scene.script.0.borrow().cmds[&id].relays.len(), 1, "an effectful one may have run");
    assert_eq!(scene.ended(&id), Some(Final::Terminated));
    let id = scene.give(4, ms(3000));
    assert_eq!(scene.ended(&id), Some(Final::Terminated), "there is no fifth verb");
    changed(&mut scene, &[], &[]);
    assert_eq!(good_for(&mut scene), ms(500), "nothing told, nothing changed");
}
