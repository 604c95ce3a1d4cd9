//! Requests, attempts and their final responses; ejection and slow start; admission; and discovery polls.

use crate::scripted_host::{FinalResponse, Harness, entry, ms, test_settings};
use landingspread_decisions::host::{Lifecycle, ListedServer, LoadReport, Outcome};
use landingspread_decisions::settings::Settings;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

fn harness(extra: &str, servers: u32) -> Harness {
    Harness::new(test_settings("zone", extra), "zone", 7, servers)
}

fn failing_at<'a>(failing_server: &'a str) -> impl Fn(&str) -> Outcome + 'a {
    move |server| if server == failing_server { Outcome::Error } else { Outcome::Ok }
}

#[test]
fn failures_eject_and_health_checks_return_to_slow_start() {
    let mut harness = harness("", 4);
    for _ in 0..200 {
        harness.run_request(0, failing_at("s1"));
    }
    assert!(harness.has_logged("mark s1"));
    let attempts_at_ejection = harness.host.0.borrow().attempts_to("s1");
    for _ in 0..100 {
        harness.run_request(0, failing_at("s1"));
    }
    assert_eq!(
        harness.host.0.borrow().attempts_to("s1"),
        attempts_at_ejection,
        "an ejected server gets no requests"
    );
    for _ in 0..4 {
        harness.advance(ms(1100));
        harness.end_health_checks(Outcome::Ok);
    }
    assert!(harness.has_logged("return s1"));
    for _ in 0..100 {
        harness.run_request(0, |_| Outcome::Ok);
    }
    let attempts_in_slow_start = harness.host.0.borrow().attempts_to("s1") - attempts_at_ejection;
    assert!(
        (1..18).contains(&attempts_in_slow_start),
        "{attempts_in_slow_start} attempts in slow start, expected fewer than an even share of 25"
    );
}

#[test]
fn trials_return_a_server_without_health_checks() {
    let mut harness = harness("PolicyLimits.Probes=false", 3);
    for _ in 0..100 {
        harness.run_request(0, failing_at("s1"));
    }
    assert!(harness.has_logged("mark s1"));
    harness.advance(ms(5000));
    for _ in 0..100 {
        harness.run_request(0, |_| Outcome::Ok);
    }
    assert!(harness.has_logged("return s1"));
    assert!(harness.host.0.borrow().health_checks.is_empty());
}

#[test]
fn answers_of_other_classes_do_not_hide_a_failing_class() {
    let mut harness = harness("", 4);
    for _ in 0..150 {
        harness.run_request(0, failing_at("s2"));
        harness.run_request(3, |_| Outcome::Ok);
    }
    assert!(harness.has_logged("mark s2"));
}

#[test]
fn ejections_never_empty_the_fleet() {
    let mut harness = harness("", 4);
    for _ in 0..300 {
        harness.run_request(0, |_| Outcome::Error);
    }
    let ejections =
        harness.host.0.borrow().logged_events.iter().filter(|event| event.starts_with("mark")).count();
    assert_eq!(ejections, 2, "at most half of the servers are ejected");
    let id = harness.run_request(0, |_| Outcome::Ok);
    assert_eq!(harness.final_response(&id), Some(FinalResponse::Answered));
}

#[test]
fn silent_server_is_ejected_before_any_timeout() {
    let mut harness = harness("", 4);
    for _ in 0..200 {
        harness.run_request(0, |_| Outcome::Ok);
    }
    for _ in 0..60 {
        if harness.has_logged("mark s3") {
            break;
        }
        let id = harness.submit(0, ms(3000));
        harness.advance(ms(20));
        let server =
            harness.host.0.borrow().requests[&id].attempts.first().map(|attempt| attempt.server.clone());
        if server.is_some_and(|server| &*server != "s3") {
            harness.end_attempt(&id, 0, Outcome::Ok, LoadReport::default());
        }
    }
    assert!(harness.has_logged("mark s3"));
    let state = harness.host.0.borrow();
    assert!(
        state
            .requests
            .values()
            .flat_map(|request| &request.attempts)
            .all(|attempt| attempt.outcome != Some(Outcome::Timeout))
    );
}

#[test]
fn occasional_lost_answers_leave_most_of_the_capacity() {
    let mut harness = harness("", 2);
    for number in 0..440 {
        let id = harness.submit(2, ms(3000));
        let unanswered = number > 200 && number % 4 == 0;
        harness.advance(ms(if unanswered { 1000 } else { 50 }));
        if harness.final_response(&id).is_none() {
            harness.end_attempt(&id, 0, Outcome::Ok, LoadReport::default());
        }
    }
    assert!(!harness.has_logged("mark s0") && !harness.has_logged("mark s1"));
    (0..20).for_each(|_| drop(harness.submit(2, ms(3000))));
    assert!(
        harness.open_attempts().len() >= 7,
        "{} attempts in flight, expected at least 7 of the initial 10",
        harness.open_attempts().len()
    );
}

#[test]
fn removed_server_loses_its_ejection() {
    let mut harness = harness("", 2);
    for _ in 0..40 {
        harness.run_request(0, failing_at("s1"));
    }
    assert!(harness.has_logged("mark s1"));
    let before = harness.host.0.borrow().attempts_to("s1");
    harness.change_list(&[entry("s1", Lifecycle::Removed)]);
    harness.change_list(&[entry("s1", Lifecycle::Ready)]);
    for _ in 0..10 {
        harness.run_request(0, |_| Outcome::Ok);
    }
    assert!(harness.host.0.borrow().attempts_to("s1") > before);
}

#[test]
fn selection_avoids_recent_high_load_reports_only() {
    let mut harness = harness("", 2);
    let attempts_to_s0 = |harness: &mut Harness, pause| {
        for _ in 0..4 {
            let id = harness.submit(0, ms(3000));
            let server = harness.host.0.borrow().requests[&id].attempts[0].server.clone();
            harness.advance(ms(20));
            let in_flight = Some(if &*server == "s0" { 9.0 } else { 0.0 });
            harness.end_attempt(&id, 0, Outcome::Ok, LoadReport { in_flight, ..LoadReport::default() });
        }
        harness.advance(pause);
        let before = harness.host.0.borrow().attempts_to("s0");
        let id = harness.submit(0, ms(3000));
        harness.advance(ms(20));
        harness.end_attempt(&id, 0, Outcome::Ok, LoadReport::default());
        harness.host.0.borrow().attempts_to("s0") - before
    };
    let fresh: usize = (0..100).map(|_| attempts_to_s0(&mut harness, ms(0))).sum();
    let stale: usize = (0..100).map(|_| attempts_to_s0(&mut harness, ms(6000))).sum();
    assert!(fresh < 15, "{fresh} of 100 attempts despite a recent report of 9 in flight");
    assert!(
        (30..70).contains(&stale),
        "{stale} of 100 attempts after the report is stale, expected about half"
    );
}

#[test]
fn restarted_server_is_in_slow_start() {
    let mut harness = harness("", 4);
    for _ in 0..200 {
        harness.run_request(0, |_| Outcome::Ok);
    }
    let restarted_at = Some(harness.now());
    harness.change_list(&[ListedServer { started_at: restarted_at, ..entry("s0", Lifecycle::Ready) }]);
    let before = harness.host.0.borrow().attempts_to("s0");
    for _ in 0..100 {
        harness.run_request(0, |_| Outcome::Ok);
    }
    let attempts_after_restart = harness.host.0.borrow().attempts_to("s0") - before;
    assert!(
        attempts_after_restart <= 15,
        "{attempts_after_restart} attempts, expected 2 s at 0.3 to 0.5 of an even share of 25"
    );
}

#[test]
fn final_response_depends_on_class_and_outcome() {
    let mut harness = harness("PolicyLimits.MostRelays=1", 3);
    let expected_responses =
        [FinalResponse::Rejected, FinalResponse::Failed, FinalResponse::Failed, FinalResponse::Rejected];
    for (class, expected) in expected_responses.into_iter().enumerate() {
        let id = harness.run_request(class, |_| Outcome::Error);
        assert_eq!(harness.final_response(&id), Some(expected), "class {class}, the request may have run");
        let id = harness.run_request(class, |_| Outcome::Overloaded);
        assert_eq!(
            harness.final_response(&id),
            Some(FinalResponse::Rejected),
            "class {class}, the request never ran"
        );
        assert!(harness.host.0.borrow().retry_after.is_some());
    }
}

#[test]
fn request_without_servers_is_rejected_at_once() {
    let mut harness = harness("", 0);
    let id = harness.submit(2, ms(3000));
    assert_eq!(harness.final_response(&id), Some(FinalResponse::Rejected));
}

#[test]
fn replicas_divide_the_concurrency_limits_of_servers() {
    let mut harness = harness("Balancers=30", 40);
    (0..200).for_each(|_| drop(harness.submit(0, ms(3000))));
    assert!(
        harness.open_attempts().len() <= 10,
        "{} attempts in flight, expected one of 30 replicas' share of the limits of 40 servers",
        harness.open_attempts().len()
    );
}

#[test]
fn errors_lower_the_number_of_admitted_requests() {
    let mut harness = harness("Balancers=3", 4);
    let admitted_count = |harness: &mut Harness| {
        (0..60).for_each(|_| drop(harness.submit(0, ms(3000))));
        let open = harness.open_attempts();
        open.iter()
            .for_each(|(id, number)| harness.end_attempt(id, *number, Outcome::Error, LoadReport::default()));
        harness.advance(ms(2000));
        open.len()
    };
    let before = admitted_count(&mut harness);
    for _ in 0..20 {
        admitted_count(&mut harness);
    }
    let after = admitted_count(&mut harness);
    assert!(after < before, "{before} admitted at first, {after} after many errors");
}

#[test]
fn request_with_too_little_time_left_is_rejected() {
    let mut harness = harness("", 3);
    for _ in 0..50 {
        let id = harness.submit(0, ms(3000));
        harness.advance(ms(400));
        harness.end_attempt(&id, 0, Outcome::Ok, LoadReport::default());
    }
    let id = harness.submit(2, ms(3000));
    harness.advance(ms(400));
    harness.end_attempt(&id, 0, Outcome::Ok, LoadReport::default());
    let id = harness.submit(0, ms(100));
    assert_eq!(harness.final_response(&id), Some(FinalResponse::Rejected));
    let retry_after = harness.host.0.borrow().retry_after;
    assert!(
        retry_after.is_some_and(|pause| pause < ms(1000)),
        "the retry is allowed while its objective can still be met"
    );
}

#[test]
fn failed_discovery_poll_is_repeated_after_a_pause() {
    let mut harness = harness("Discovery=subscribe", 2);
    harness.advance(ms(1100));
    assert_eq!(harness.host.0.borrow().discovery_polls, 1);
    harness.policy.discovery_poll_failed(harness.now());
    assert_eq!(harness.host.0.borrow().discovery_polls, 1);
    harness.advance(ms(1100));
    assert_eq!(harness.host.0.borrow().discovery_polls, 2);
}

/// The times in ms from the start of each discovery poll to the start of the next, if each poll fails after `fails_after_ms`.
fn poll_intervals(seed: u64, fails_after_ms: u64, polls: usize) -> Vec<u128> {
    let mut harness = Harness::new(test_settings("zone", "Discovery=subscribe"), "zone", seed, 2);
    let polls_made = |harness: &Harness| harness.host.0.borrow().discovery_polls;
    let mut poll_starts = Vec::new();
    while poll_starts.len() <= polls {
        let before = polls_made(&harness);
        while polls_made(&harness) == before {
            harness.advance(ms(20));
        }
        poll_starts.push(harness.now());
        harness.advance(ms(fails_after_ms));
        harness.policy.discovery_poll_failed(harness.now());
    }
    poll_starts.windows(2).map(|pair| (pair[1] - pair[0]).as_millis()).collect()
}

/// The number of 300 replicas, 100 for each of three tiers, that have no list 14 s after discovery recovers from an outage
/// of 8 s, during which polls wait. Discovery processes `polls_per_second` in order of arrival. It rejects a poll that has
/// waited for 1.5 s, but still spends capacity on it when its turn comes.
fn replicas_without_list(polls_per_second: f64, on_rejection: fn(&mut Harness)) -> usize {
    let (step, recovery, end_time, max_wait) = (ms(20), ms(8000), ms(22_000), ms(1500));
    let settings = "Discovery=subscribe Balancers=100";
    let start = |seed| Harness::new(test_settings("zone", settings), "zone", seed, 2);
    let mut replicas: Vec<Harness> = (0..300).map(start).collect();
    let mut polls = vec![0; replicas.len()];
    let mut queue: VecDeque<(usize, Duration)> = VecDeque::new();
    let (mut waiting, mut with_list) = (BTreeSet::new(), BTreeSet::new());
    let (mut now, mut capacity) = (Duration::ZERO, 0.0);
    while now < end_time {
        now += step;
        for (number, replica) in replicas.iter_mut().enumerate() {
            replica.advance(step);
            let polls_now = replica.host.0.borrow().discovery_polls;
            if polls_now > std::mem::replace(&mut polls[number], polls_now) {
                queue.push_back((number, now));
                waiting.insert(number);
            }
        }
        capacity = if now < recovery || queue.is_empty() {
            0.0
        } else {
            capacity + polls_per_second * step.as_secs_f64()
        };
        while capacity >= 1.0
            && let Some((number, arrived_at)) = queue.pop_front()
        {
            capacity -= 1.0;
            if now - arrived_at < max_wait && waiting.remove(&number) {
                replicas[number].policy.endpoint_list_changed(now, &[]);
                with_list.insert(number);
            }
        }
        let timed_out = queue
            .iter()
            .filter(|(number, arrived_at)| now - *arrived_at >= max_wait && waiting.contains(number));
        for number in timed_out.map(|(number, _)| *number).collect::<Vec<_>>() {
            waiting.remove(&number);
            on_rejection(&mut replicas[number]);
        }
        if now < recovery {
            // During the outage no poll is processed, and rejected polls leave the queue.
            queue.retain(|(number, _)| waiting.contains(number));
        }
    }
    replicas.len() - with_list.len()
}

#[test]
fn rejected_polls_let_an_overloaded_discovery_recover() {
    for polls_per_second in [50.0, 60.0, 75.0, 100.0] {
        let if_rejected = replicas_without_list(polls_per_second, |replica| {
            replica.policy.discovery_poll_rejected(replica.now());
        });
        let if_failed = replicas_without_list(polls_per_second, |replica| {
            replica.policy.discovery_poll_failed(replica.now());
        });
        println!(
            "{polls_per_second} polls/s: {if_rejected} replicas without a list, {if_failed} if a rejection counts as a failure"
        );
        assert!(
            if_rejected <= 30,
            "{if_rejected} of 300 replicas have no list; {if_failed} if a rejection counts as a failure"
        );
    }
}

#[test]
fn failed_polls_start_at_most_4_s_apart() {
    for fails_after_ms in [0, 200, 1000, 2000, 3000, 3400] {
        for seed in 0..20 {
            let intervals = poll_intervals(seed, fails_after_ms, 8);
            assert!(
                intervals.iter().all(|ms| *ms <= 4020),
                "polls fail after {fails_after_ms} ms: {intervals:?}"
            );
        }
    }
    // A poll that takes longer to fail, as in the largest fleets, is followed by the shortest pause.
    assert!(poll_intervals(7, 4000, 8).iter().all(|ms| (4250..=4520).contains(ms)));
}

#[test]
fn failed_polls_of_300_replicas_are_spread_out() {
    for (fails_after_ms, most) in [(0, 40), (1000, 45), (3000, 110)] {
        let mut last_intervals: Vec<_> =
            (0..300).map(|seed| poll_intervals(seed, fails_after_ms, 5)[4]).collect();
        last_intervals.sort();
        let densest =
            |from: &u128| last_intervals.iter().filter(|ms| (*from..from + 100).contains(ms)).count();
        let densest = last_intervals.iter().map(densest).max().expect("there are polls");
        println!(
            "polls fail after {fails_after_ms} ms: {densest} of 300 start within 0.1 s, {} to {} ms",
            last_intervals[0], last_intervals[299]
        );
        assert!(
            densest <= most,
            "{densest} of 300 polls that fail after {fails_after_ms} ms start within 0.1 s"
        );
    }
}

#[test]
fn unreadable_settings_are_reported_by_name() {
    let error_of = |text: &str| Settings::decode(text).map(drop).map_err(|error| error.to_string());
    assert_eq!(error_of(""), Err("setting Discovery is missing".into()));
    let text = "Discovery=automatic Verbs.count=1 Verbs.0.Effect=sometimes";
    assert_eq!(error_of(text), Err("setting Verbs.0.Effect can't be read: \"sometimes\"".into()));
    assert!(error_of("Discovery=automatic Balancers=NaN").is_err());
}

#[test]
fn server_with_some_timeouts_loses_traffic() {
    let mut harness = harness("", 4);
    let mut attempts_to_s1 = 0;
    for _ in 0..160 {
        let id = harness.submit(0, ms(3000));
        harness.advance(ms(20));
        let at_s1 =
            harness.host.0.borrow().requests[&id].attempts.iter().any(|attempt| &*attempt.server == "s1");
        attempts_to_s1 += usize::from(at_s1);
        if !at_s1 || attempts_to_s1 % 3 == 0 {
            harness.end_attempt(&id, 0, Outcome::Ok, LoadReport::default());
        }
        harness.advance(ms(1100));
    }
    assert!(!harness.has_logged("mark s1"), "two of three attempts fail in a row, which is too few to eject");
    assert!(attempts_to_s1 < 20, "{attempts_to_s1} attempts, expected well below an even share of 40");
}

#[test]
fn delayed_replica_ejects_no_server() {
    let ejects_after = |stall: u64| {
        let mut harness = Harness::new(test_settings("all", ""), "all", 3, 8);
        for _ in 0..400 {
            harness.run_request(0, |_| Outcome::Ok);
        }
        let open: Vec<_> = (0..24).map(|_| harness.submit(0, ms(3000))).collect();
        // Without a stall the servers are silent while this replica runs; with a stall the replica itself does not run.
        let from = harness.now();
        if stall > 0 {
            harness.host.0.borrow_mut().now = from + ms(stall);
            harness.policy.timer_fired(harness.now());
        } else {
            harness.advance(ms(600));
        }
        assert!(open.iter().all(|id| harness.final_response(id).is_none()) || stall == 0);
        harness.has_logged("mark")
    };
    assert!(ejects_after(0), "silent servers are ejected");
    assert!(!ejects_after(600), "the replica's own delay does not count against servers");
}

#[test]
fn incomplete_body_takes_no_capacity_and_no_time() {
    let mut harness = Harness::new(test_settings("all", ""), "all", 3, 2);
    let incomplete: Vec<_> = (0..20).map(|_| harness.submit_incomplete(2)).collect();
    assert_eq!(harness.open_attempts().len(), 20, "incomplete requests do not wait for each other");
    let complete = harness.submit(0, ms(3000));
    assert!(
        harness.open_attempts().iter().any(|(id, _)| *id == complete),
        "a complete request does not wait for incomplete ones"
    );
    harness.advance(ms(9000));
    assert!(incomplete.iter().all(|id| harness.final_response(id).is_none()));
    harness.complete_body(&incomplete[0], ms(2000));
    harness.advance(ms(900));
    assert!(harness.final_response(&incomplete[0]).is_none());
    harness.advance(ms(1200));
    assert!(harness.final_response(&incomplete[0]).is_some());
}

#[test]
fn request_with_a_consumed_body_is_not_retried() {
    for (outcome, consumed, expected) in [
        (Outcome::ConnectFailed, true, Some(FinalResponse::Rejected)),
        (Outcome::Reset, true, Some(FinalResponse::Failed)),
        (Outcome::ConnectFailed, false, None),
    ] {
        let mut harness = Harness::new(test_settings("all", ""), "all", 3, 3);
        let id = harness.submit_incomplete(2);
        harness.end_attempt_with_body(&id, 0, outcome, LoadReport::default(), consumed);
        assert_eq!(harness.final_response(&id), expected, "{outcome:?} {consumed}");
        assert_eq!(harness.open_attempts().len(), usize::from(!consumed));
    }
}

/// Two attempts would share the parts of the body, so that neither server gets all of it.
#[test]
fn overdue_attempt_with_a_streamed_body_is_not_hedged() {
    for (streamed, attempts) in [(false, 2), (true, 1)] {
        let settings = test_settings("all", "PolicyLimits.ParallelTries=true");
        let mut harness = Harness::new(settings, "all", 3, 4);
        for _ in 0..80 {
            harness.run_request(1, |_| Outcome::Ok);
        }
        let id = if streamed { harness.submit_incomplete(1) } else { harness.submit(1, ms(3000)) };
        if streamed {
            harness.advance(ms(500));
            harness.complete_body(&id, ms(3000));
        }
        harness.advance(ms(600));
        assert_eq!(harness.open_attempts().len(), attempts, "streamed: {streamed}");
        assert_eq!(harness.final_response(&id), None);
    }
}

#[test]
fn overdue_attempt_is_not_cancelled_without_another_server() {
    for (servers, cancelled) in [(1, false), (2, true)] {
        let mut harness = Harness::new(test_settings("all", ""), "all", 3, servers);
        for _ in 0..40 {
            harness.run_request(0, |_| Outcome::Ok);
        }
        let id = harness.submit(0, ms(3000));
        harness.advance(ms(400));
        let attempts = harness.host.0.borrow().requests[&id].attempts.len();
        assert_eq!((attempts > 1, harness.final_response(&id)), (cancelled, None), "{servers} servers");
    }
}
