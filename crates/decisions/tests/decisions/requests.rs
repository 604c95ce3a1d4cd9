//! A few plain cases of the mechanism and of each exception to it.

use crate::scripted_host::{Final, Scene, entry, ms, terms};
use landingspread_decisions::host::{Lifecycle, ListedServer, LoadReport, Outcome};
use landingspread_decisions::settings::Settings;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

fn scene(extra: &str, servers: u32) -> Scene {
    Scene::new(terms("zone", extra), "zone", 7, servers)
}

fn failing<'a>(bad: &'a str) -> impl Fn(&str) -> Outcome + 'a {
    move |server| if server == bad { Outcome::Error } else { Outcome::Ok }
}

#[test]
fn consecutive_failures_eject_and_health_checks_return_to_slow_start() {
    let mut scene = scene("", 4);
    for _ in 0..200 {
        scene.play(0, failing("s1"));
    }
    assert!(scene.noted("mark s1"));
    let marked = scene.script.0.borrow().sent_to("s1");
    for _ in 0..100 {
        scene.play(0, failing("s1"));
    }
    assert_eq!(scene.script.0.borrow().sent_to("s1"), marked, "a marked server gets nothing");
    for _ in 0..4 {
        scene.pass(ms(1100));
        scene.check_all(Outcome::Ok);
    }
    assert!(scene.noted("return s1"));
    for _ in 0..100 {
        scene.play(0, |_| Outcome::Ok);
    }
    let ramped = scene.script.0.borrow().sent_to("s1") - marked;
    assert!((1..18).contains(&ramped), "the ramp gives less than an even 25, not {ramped}");
}

#[test]
fn without_checks_trials_return_a_server() {
    let mut scene = scene("PolicyLimits.Probes=false", 3);
    for _ in 0..100 {
        scene.play(0, failing("s1"));
    }
    assert!(scene.noted("mark s1"));
    scene.pass(ms(5000));
    for _ in 0..100 {
        scene.play(0, |_| Outcome::Ok);
    }
    assert!(scene.noted("return s1"));
    assert!(scene.script.0.borrow().checks.is_empty());
}

#[test]
fn answers_of_other_classes_do_not_hide_a_failing_class() {
    let mut scene = scene("", 4);
    for _ in 0..150 {
        scene.play(0, failing("s2"));
        scene.play(3, |_| Outcome::Ok);
    }
    assert!(scene.noted("mark s2"));
}

#[test]
fn ejections_never_empty_the_fleet() {
    let mut scene = scene("", 4);
    for _ in 0..300 {
        scene.play(0, |_| Outcome::Error);
    }
    let marks = scene.script.0.borrow().notes.iter().filter(|note| note.starts_with("mark")).count();
    assert_eq!(marks, 2, "the cut-off keeps half of the servers");
    let id = scene.play(0, |_| Outcome::Ok);
    assert_eq!(scene.ended(&id), Some(Final::Answered));
}

#[test]
fn a_silent_server_is_ejected_before_any_time_out() {
    let mut scene = scene("", 4);
    for _ in 0..200 {
        scene.play(0, |_| Outcome::Ok);
    }
    for _ in 0..60 {
        if scene.noted("mark s3") {
            break;
        }
        let id = scene.give(0, ms(3000));
        scene.pass(ms(20));
        let to = scene.script.0.borrow().cmds[&id].relays.first().map(|relay| relay.server.clone());
        if to.is_some_and(|server| &*server != "s3") {
            scene.end(&id, 0, Outcome::Ok, LoadReport::default());
        }
    }
    assert!(scene.noted("mark s3"));
    let world = scene.script.0.borrow();
    assert!(world.cmds.values().flat_map(|cmd| &cmd.relays).all(|r| r.outcome != Some(Outcome::Timeout)));
}

#[test]
fn answers_lost_among_calm_ones_leave_most_of_the_capacity() {
    let mut scene = scene("", 2);
    for number in 0..440 {
        let id = scene.give(2, ms(3000));
        let lost = number > 200 && number % 4 == 0;
        scene.pass(ms(if lost { 1000 } else { 50 }));
        if scene.ended(&id).is_none() {
            scene.end(&id, 0, Outcome::Ok, LoadReport::default());
        }
    }
    assert!(!scene.noted("mark s0") && !scene.noted("mark s1"));
    (0..20).for_each(|_| drop(scene.give(2, ms(3000))));
    assert!(scene.out().len() >= 7, "of 10 at the start, not {}", scene.out().len());
}

#[test]
fn a_removed_server_is_forgotten_and_its_ejection_with_it() {
    let mut scene = scene("", 2);
    for _ in 0..40 {
        scene.play(0, failing("s1"));
    }
    assert!(scene.noted("mark s1"));
    let before = scene.script.0.borrow().sent_to("s1");
    scene.change(&[entry("s1", Lifecycle::Removed)]);
    scene.change(&[entry("s1", Lifecycle::Ready)]);
    for _ in 0..10 {
        scene.play(0, |_| Outcome::Ok);
    }
    assert!(scene.script.0.borrow().sent_to("s1") > before);
}

#[test]
fn the_draw_shuns_a_fresh_high_report_and_forgets_an_old_one() {
    let mut scene = scene("", 2);
    let at_s0 = |scene: &mut Scene, wait| {
        for _ in 0..4 {
            let id = scene.give(0, ms(3000));
            let to = scene.script.0.borrow().cmds[&id].relays[0].server.clone();
            scene.pass(ms(20));
            let in_flight = Some(if &*to == "s0" { 9.0 } else { 0.0 });
            scene.end(&id, 0, Outcome::Ok, LoadReport { in_flight, ..LoadReport::default() });
        }
        scene.pass(wait);
        let before = scene.script.0.borrow().sent_to("s0");
        let id = scene.give(0, ms(3000));
        scene.pass(ms(20));
        scene.end(&id, 0, Outcome::Ok, LoadReport::default());
        scene.script.0.borrow().sent_to("s0") - before
    };
    let fresh: usize = (0..100).map(|_| at_s0(&mut scene, ms(0))).sum();
    let old: usize = (0..100).map(|_| at_s0(&mut scene, ms(6000))).sum();
    assert!(fresh < 15, "a fresh report of 9 leaves little: {fresh}");
    assert!((30..70).contains(&old), "an old one about half: {old}");
}

#[test]
fn a_restarted_server_is_not_overloaded() {
    let mut scene = scene("", 4);
    for _ in 0..200 {
        scene.play(0, |_| Outcome::Ok);
    }
    let up_since = Some(scene.now());
    scene.change(&[ListedServer { started_at: up_since, ..entry("s0", Lifecycle::Ready) }]);
    let before = scene.script.0.borrow().sent_to("s0");
    for _ in 0..100 {
        scene.play(0, |_| Outcome::Ok);
    }
    let cold = scene.script.0.borrow().sent_to("s0") - before;
    assert!(cold <= 15, "2 s at 0.3 to 0.5 of an even 25, not {cold}");
}

#[test]
fn each_kind_of_class_gets_its_own_final_answer() {
    let mut scene = scene("PolicyLimits.MostRelays=1", 3);
    let ends = [Final::Declined, Final::Terminated, Final::Terminated, Final::Declined];
    for (verb, end) in ends.into_iter().enumerate() {
        let id = scene.play(verb, |_| Outcome::Error);
        assert_eq!(scene.ended(&id), Some(end), "verb {verb} that may have run");
        let id = scene.play(verb, |_| Outcome::Overloaded);
        assert_eq!(scene.ended(&id), Some(Final::Declined), "verb {verb} that never ran");
        assert!(scene.script.0.borrow().come_back.is_some());
    }
}

#[test]
fn with_nowhere_to_go_the_answer_comes_at_once() {
    let mut scene = scene("", 0);
    let id = scene.give(2, ms(3000));
    assert_eq!(scene.ended(&id), Some(Final::Declined));
}

#[test]
fn many_replicas_together_keep_to_a_servers_concurrency_limit() {
    let mut scene = scene("Balancers=30", 40);
    (0..200).for_each(|_| drop(scene.give(0, ms(3000))));
    assert!(scene.out().len() <= 10, "40 servers' bounds among 30 copies, not {}", scene.out().len());
}

#[test]
fn errors_lower_what_is_admitted() {
    let mut scene = scene("Balancers=3", 4);
    let full = |scene: &mut Scene| {
        (0..60).for_each(|_| drop(scene.give(0, ms(3000))));
        let out = scene.out();
        out.iter().for_each(|(id, number)| scene.end(id, *number, Outcome::Error, LoadReport::default()));
        scene.pass(ms(2000));
        out.len()
    };
    let before = full(&mut scene);
    for _ in 0..20 {
        full(&mut scene);
    }
    let after = full(&mut scene);
    assert!(after < before, "{before} at first, {after} after many errors");
}

#[test]
fn a_call_with_hardly_any_time_left_is_not_started() {
    let mut scene = scene("", 3);
    for _ in 0..50 {
        let id = scene.give(0, ms(3000));
        scene.pass(ms(400));
        scene.end(&id, 0, Outcome::Ok, LoadReport::default());
    }
    let id = scene.give(2, ms(3000));
    scene.pass(ms(400));
    scene.end(&id, 0, Outcome::Ok, LoadReport::default());
    let id = scene.give(0, ms(100));
    assert_eq!(scene.ended(&id), Some(Final::Declined));
    let come_back = scene.script.0.borrow().come_back;
    assert!(come_back.is_some_and(|wait| wait < ms(1000)), "back while the goal can be met");
}

#[test]
fn a_failed_discovery_poll_is_repeated_after_a_pause() {
    let mut scene = scene("Discovery=subscribe", 2);
    scene.pass(ms(1100));
    assert_eq!(scene.script.0.borrow().list_calls, 1);
    scene.policy.discovery_poll_failed(scene.now());
    assert_eq!(scene.script.0.borrow().list_calls, 1);
    scene.pass(ms(1100));
    assert_eq!(scene.script.0.borrow().list_calls, 2);
}

/// The times from the beginning of a list call to that of the next one, of calls that each fail after such a span.
fn calls_apart(seed: u64, fails_after: u64, calls: usize) -> Vec<u128> {
    let mut scene = Scene::new(terms("zone", "Discovery=subscribe"), "zone", seed, 2);
    let calls_made = |scene: &Scene| scene.script.0.borrow().list_calls;
    let mut began = Vec::new();
    while began.len() <= calls {
        let before = calls_made(&scene);
        while calls_made(&scene) == before {
            scene.pass(ms(20));
        }
        began.push(scene.now());
        scene.pass(ms(fails_after));
        scene.policy.discovery_poll_failed(scene.now());
    }
    began.windows(2).map(|pair| (pair[1] - pair[0]).as_millis()).collect()
}

/// How many of 300 copies, a hundred to each of three tiers, have no list 14 s after discovery came back from 8 s in which it
/// kept calls waiting. It works through so many calls a second in turn, refuses what has waited for 1.5 s, and works
/// through that all the same.
fn without_a_list(a_second: f64, refused: fn(&mut Scene)) -> usize {
    let (step, back, end, most) = (ms(20), ms(8000), ms(22_000), ms(1500));
    let told = "Discovery=subscribe Balancers=100";
    let start = |seed| Scene::new(terms("zone", told), "zone", seed, 2);
    let mut copies: Vec<Scene> = (0..300).map(start).collect();
    let mut calls = vec![0; copies.len()];
    let mut queue: VecDeque<(usize, Duration)> = VecDeque::new();
    let (mut waiting, mut listed) = (BTreeSet::new(), BTreeSet::new());
    let (mut now, mut work) = (Duration::ZERO, 0.0);
    while now < end {
        now += step;
        for (number, copy) in copies.iter_mut().enumerate() {
            copy.pass(step);
            let made = copy.script.0.borrow().list_calls;
            if made > std::mem::replace(&mut calls[number], made) {
                queue.push_back((number, now));
                waiting.insert(number);
            }
        }
        work = if now < back || queue.is_empty() { 0.0 } else { work + a_second * step.as_secs_f64() };
        while work >= 1.0
            && let Some((number, came)) = queue.pop_front()
        {
            work -= 1.0;
            if now - came < most && waiting.remove(&number) {
                copies[number].policy.endpoint_list_changed(now, &[]);
                listed.insert(number);
            }
        }
        let late = queue.iter().filter(|(number, came)| now - *came >= most && waiting.contains(number));
        for number in late.map(|(number, _)| *number).collect::<Vec<_>>() {
            waiting.remove(&number);
            refused(&mut copies[number]);
        }
        if now < back {
            // It is down: nothing is worked through, and nothing stays.
            queue.retain(|(number, _)| waiting.contains(number));
        }
    }
    copies.len() - listed.len()
}

#[test]
fn replicas_that_an_overloaded_discovery_rejects_leave_it_capacity() {
    for a_second in [50.0, 60.0, 75.0, 100.0] {
        let now = without_a_list(a_second, |copy| copy.policy.discovery_poll_rejected(copy.now()));
        let as_failed = without_a_list(a_second, |copy| copy.policy.discovery_poll_failed(copy.now()));
        println!("{a_second}: {now}, {as_failed} where a refusal counts as any failure");
        assert!(now <= 30, "{now} of 300 have no list; {as_failed} where a refusal counts as any failure");
    }
}

#[test]
fn failed_discovery_polls_begin_at_most_four_seconds_apart_however_long_each_takes_to_fail() {
    for fails_after in [0, 200, 1000, 2000, 3000, 3400] {
        for seed in 0..20 {
            let apart = calls_apart(seed, fails_after, 8);
            assert!(apart.iter().all(|ms| *ms <= 4020), "after {fails_after} ms: {apart:?}");
        }
    }
    // One that takes longer still, as in the largest fleets, is followed by the shortest pause.
    assert!(calls_apart(7, 4000, 8).iter().all(|ms| (4250..=4520).contains(ms)));
}

#[test]
fn three_hundred_replicas_whose_polls_failed_poll_again_spread_out() {
    for (fails_after, most) in [(0, 40), (1000, 45), (3000, 110)] {
        let mut last: Vec<_> = (0..300).map(|seed| calls_apart(seed, fails_after, 5)[4]).collect();
        last.sort();
        let densest = |from: &u128| last.iter().filter(|ms| (*from..from + 100).contains(ms)).count();
        let densest = last.iter().map(densest).max().expect("calls");
        println!("after {fails_after} ms: {densest} of 300 within 0.1 s, {} to {} ms", last[0], last[299]);
        assert!(densest <= most, "{densest} of 300 within 0.1 s after {fails_after} ms");
    }
}

#[test]
fn settings_that_cannot_be_read_are_named() {
    let wrong = |text: &str| Settings::decode(text).map(drop).map_err(|wrong| wrong.to_string());
    assert_eq!(wrong(""), Err("setting Discovery is missing".into()));
    let text = "Discovery=automatic Verbs.count=1 Verbs.0.Effect=sometimes";
    assert_eq!(wrong(text), Err("setting Verbs.0.Effect can't be read: \"sometimes\"".into()));
    assert!(wrong("Discovery=automatic Balancers=NaN").is_err());
}

#[test]
fn a_server_with_quick_answers_and_time_outs_still_loses_traffic() {
    let mut scene = scene("", 4);
    let mut met = 0;
    for _ in 0..160 {
        let id = scene.give(0, ms(3000));
        scene.pass(ms(20));
        let slow = scene.script.0.borrow().cmds[&id].relays.iter().any(|relay| &*relay.server == "s1");
        met += usize::from(slow);
        if !slow || met % 3 == 0 {
            scene.end(&id, 0, Outcome::Ok, LoadReport::default());
        }
        scene.pass(ms(1100));
    }
    assert!(!scene.noted("mark s1"), "two straight failures of three are no run");
    assert!(met < 20, "its even share would be 40, not {met}");
}

#[test]
fn a_replica_that_was_itself_delayed_ejects_nobody() {
    let held_up = |stall: u64| {
        let mut scene = Scene::new(terms("all", ""), "all", 3, 8);
        for _ in 0..400 {
            scene.play(0, |_| Outcome::Ok);
        }
        let out: Vec<_> = (0..24).map(|_| scene.give(0, ms(3000))).collect();
        // Either the servers are silent while this copy looks on, or it hears nothing as it does not run.
        let from = scene.now();
        if stall > 0 {
            scene.script.0.borrow_mut().now = from + ms(stall);
            scene.policy.timer_fired(scene.now());
        } else {
            scene.pass(ms(600));
        }
        assert!(out.iter().all(|id| scene.ended(id).is_none()) || stall == 0);
        scene.noted("mark")
    };
    assert!(held_up(0), "servers that say nothing are marked");
    assert!(!held_up(600), "its own delay is no server's");
}

#[test]
fn an_incomplete_body_takes_no_capacity_and_its_time_begins_with_its_last_byte() {
    let mut scene = Scene::new(terms("all", ""), "all", 3, 2);
    let long: Vec<_> = (0..20).map(|_| scene.give_coming(2)).collect();
    assert_eq!(scene.out().len(), 20, "none waits for another");
    let quick = scene.give(0, ms(3000));
    assert!(scene.out().iter().any(|(id, _)| *id == quick), "nor does a short one");
    scene.pass(ms(9000));
    assert!(long.iter().all(|id| scene.ended(id).is_none()));
    scene.body_came(&long[0], ms(2000));
    scene.pass(ms(900));
    assert!(scene.ended(&long[0]).is_none());
    scene.pass(ms(1200));
    assert!(scene.ended(&long[0]).is_some());
}

#[test]
fn a_request_whose_body_is_consumed_is_rejected_if_it_never_ran_and_not_retried() {
    for (outcome, spent, wanted) in [
        (Outcome::ConnectFailed, true, Some(Final::Declined)),
        (Outcome::Reset, true, Some(Final::Terminated)),
        (Outcome::ConnectFailed, false, None),
    ] {
        let mut scene = Scene::new(terms("all", ""), "all", 3, 3);
        let id = scene.give_coming(2);
        scene.end_as(&id, 0, outcome, LoadReport::default(), spent);
        assert_eq!(scene.ended(&id), wanted, "{outcome:?} {spent}");
        assert_eq!(scene.out().len(), usize::from(!spent));
    }
}

#[test]
fn an_overdue_attempt_is_not_cancelled_where_there_is_no_other_server() {
    for (servers, called_off) in [(1, false), (2, true)] {
        let mut scene = Scene::new(terms("all", ""), "all", 3, servers);
        for _ in 0..40 {
            scene.play(0, |_| Outcome::Ok);
        }
        let id = scene.give(0, ms(3000));
        scene.pass(ms(400));
        let relays = scene.script.0.borrow().cmds[&id].relays.len();
        assert_eq!((relays > 1, scene.ended(&id)), (called_off, None), "{servers} servers");
    }
}
