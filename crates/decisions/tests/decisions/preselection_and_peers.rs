//! Sidecars: health checks before a server is selected, messages between replicas, and statistics that are restored from
//! an earlier process.

use crate::scripted_host::{FinalResponse, Harness, entry, ms, test_settings};
use landingspread_decisions::host::{Lifecycle, LoadReport, Outcome};
use landingspread_decisions::statistics::ServerStatistics;

const PRESELECTION_SETTINGS: &str = "Report.How=probe Report.Fields=active,waiting Costs.Probe=0.002 PolicyLimits.ConnIdle=15000000 \
    PolicyLimits.Peers=true Costs.Peer=0.01 Balancers=200";

fn preselecting_harness(servers: u32) -> Harness {
    Harness::new(test_settings("all", PRESELECTION_SETTINGS), "all", 7, servers)
}

fn load_report(in_flight: f64) -> LoadReport {
    LoadReport { in_flight: Some(in_flight), ..LoadReport::default() }
}

/// Ends the health checks in flight: each server reports `in_flight_at` requests, or is unreachable if that is `None`.
fn end_health_checks(harness: &mut Harness, in_flight_at: impl Fn(&str) -> Option<f64>) {
    let health_checks = std::mem::take(&mut harness.host.0.borrow_mut().health_checks);
    for server in health_checks {
        let (outcome, load) = match in_flight_at(&server) {
            Some(in_flight) => (Outcome::Ok, load_report(in_flight)),
            None => (Outcome::ConnectFailed, LoadReport::default()),
        };
        harness.policy.health_check_ended(harness.now(), outcome, &server, load);
    }
}

fn last_server(harness: &Harness, id: &str) -> Option<String> {
    let state = harness.host.0.borrow();
    state.requests[id].attempts.last().map(|attempt| attempt.server.to_string())
}

#[test]
fn request_goes_to_the_least_loaded_checked_server() {
    let mut harness = preselecting_harness(6);
    for _ in 0..20 {
        let id = harness.submit(2, ms(1000));
        assert!(harness.open_attempts().is_empty(), "no attempt starts before the health checks");
        while harness.open_attempts().is_empty() {
            assert!(
                !harness.host.0.borrow().health_checks.is_empty(),
                "health checks are repeated until an attempt starts"
            );
            end_health_checks(&mut harness, |server| Some(if server == "s3" { 0.0 } else { 2.0 }));
        }
        assert_eq!(last_server(&harness, &id).as_deref(), Some("s3"));
        harness.advance(ms(40));
        harness.end_attempt(&id, 0, Outcome::Ok, LoadReport::default());
        harness.advance(ms(100));
    }
}

#[test]
fn preselection_checks_stay_within_their_budget() {
    let mut harness = preselecting_harness(6);
    let mut health_checks = 0;
    for _ in 0..50 {
        let id = harness.submit(0, ms(1000));
        health_checks += harness.host.0.borrow().health_checks.len();
        end_health_checks(&mut harness, |_| Some(0.0));
        harness.end_attempt(&id, 0, Outcome::Ok, LoadReport::default());
        harness.advance(ms(60));
    }
    assert_eq!(health_checks, 100, "two health checks per request");
}

#[test]
fn request_is_rejected_with_retry_after_if_none_is_reachable() {
    let mut harness = preselecting_harness(2);
    let id = harness.submit(2, ms(1000));
    end_health_checks(&mut harness, |_| None);
    harness.advance(ms(40));
    assert_eq!(harness.final_response(&id), Some(FinalResponse::Rejected));
    assert!(harness.host.0.borrow().retry_after.is_some_and(|wait| wait > ms(0)));
}

#[test]
fn overloaded_server_is_checked_again() {
    let mut harness = preselecting_harness(1);
    let first = harness.submit(0, ms(1000));
    end_health_checks(&mut harness, |_| Some(50.0));
    harness.advance(ms(40));
    assert_eq!(harness.final_response(&first), Some(FinalResponse::Rejected));
    harness.advance(ms(100));
    let second = harness.submit(0, ms(1000));
    end_health_checks(&mut harness, |_| Some(0.0));
    assert!(last_server(&harness, &second).is_some());
}

#[test]
fn request_is_rejected_at_once_after_its_last_attempt() {
    let mut harness = preselecting_harness(6);
    let id = harness.submit(0, ms(300));
    for number in 0..4 {
        while harness.open_attempts().is_empty() {
            end_health_checks(&mut harness, |_| Some(0.0));
        }
        harness.advance(ms(20));
        assert_eq!(harness.final_response(&id), None);
        harness.end_attempt(&id, number, Outcome::Overloaded, LoadReport::default());
    }
    assert_eq!(
        harness.final_response(&id),
        Some(FinalResponse::Rejected),
        "the request has used all of its attempts"
    );
}

#[test]
fn request_due_before_the_next_sweep_is_rejected() {
    let mut harness = preselecting_harness(6);
    let id = harness.submit(2, ms(15));
    assert_eq!(harness.final_response(&id), Some(FinalResponse::Rejected));
}

/// Sends one request to the only server, which is idle, and ends it with this outcome.
fn run_one_request(harness: &mut Harness, class: usize, outcome: Outcome) {
    let id = harness.submit(class, ms(1000));
    end_health_checks(harness, |_| Some(0.0));
    harness.end_attempt(&id, 0, outcome, LoadReport::default());
}

#[test]
fn broken_idle_connections_are_closed_and_reported_to_peers() {
    let mut harness = preselecting_harness(1);
    run_one_request(&mut harness, 2, Outcome::Ok);
    for _ in 0..2 {
        harness.advance(ms(1000));
        assert!(
            harness.host.0.borrow().connections_closed.is_empty(),
            "no connection is closed before two idle ones broke"
        );
        run_one_request(&mut harness, 2, Outcome::Reset);
    }
    harness.advance(ms(1000));
    run_one_request(&mut harness, 2, Outcome::Ok);
    assert_eq!(harness.host.0.borrow().connections_closed.len(), 1);
    // A connection used 20 ms ago is kept.
    harness.advance(ms(20));
    run_one_request(&mut harness, 2, Outcome::Ok);
    assert_eq!(harness.host.0.borrow().connections_closed.len(), 1);
    (0..200).for_each(|_| run_one_request(&mut harness, 0, Outcome::Ok));
    harness.advance(ms(20));
    let sent_messages = harness.host.0.borrow().peer_messages.clone();
    let mut receiver = preselecting_harness(1);
    run_one_request(&mut receiver, 2, Outcome::Ok);
    let now = receiver.now();
    sent_messages.iter().for_each(|message| receiver.policy.peer_message_received(now, 9, message));
    receiver.advance(ms(1000));
    run_one_request(&mut receiver, 2, Outcome::Ok);
    assert_eq!(receiver.host.0.borrow().connections_closed.len(), 1, "a message from a peer is enough");
}

#[test]
fn server_failing_one_class_is_ejected_for_that_class_only() {
    let mut harness = preselecting_harness(2);
    for _ in 0..40 {
        let id = harness.submit(2, ms(3000));
        end_health_checks(&mut harness, |_| Some(0.0));
        end_health_checks(&mut harness, |_| Some(0.0));
        let fails = last_server(&harness, &id).as_deref() == Some("s0");
        let outcome = if fails { Outcome::Error } else { Outcome::Ok };
        if last_server(&harness, &id).is_some() {
            harness.end_attempt(&id, 0, outcome, LoadReport::default());
        }
        harness.advance(ms(20));
    }
    let before = harness.host.0.borrow().attempts_to("s0");
    for class in [2, 0].repeat(30) {
        let id = harness.submit(class, ms(3000));
        end_health_checks(&mut harness, |_| Some(0.0));
        if class == 2 {
            assert_eq!(last_server(&harness, &id).as_deref(), Some("s1"));
        }
        harness.end_attempt(&id, 0, Outcome::Ok, LoadReport::default());
    }
    assert!(harness.host.0.borrow().attempts_to("s0") > before, "requests of class 0 still go to s0");
}

#[test]
fn peer_messages_are_bounded_with_many_failures() {
    let mut harness = preselecting_harness(6);
    let count = 400;
    for _ in 0..count {
        let id = harness.submit(0, ms(1000));
        end_health_checks(&mut harness, |_| Some(0.0));
        if last_server(&harness, &id).is_some() {
            harness.end_attempt(&id, 0, Outcome::Error, LoadReport::default());
        }
        harness.advance(ms(20));
    }
    let sent_bytes: usize =
        harness.host.0.borrow().peer_messages.iter().filter(|message| message.len() > 3).map(Vec::len).sum();
    // Over the deliveries to 200 replicas: at most half a full message per request, and three per replica in addition.
    assert!(
        sent_bytes > 0 && sent_bytes as f64 * 200.0 / 256.0 <= f64::from(count) * 0.5 + 3.0 * 200.0,
        "{sent_bytes} bytes sent"
    );
}

#[test]
fn replica_with_more_traffic_takes_more_capacity() {
    let attempts_at_rate = |rate_bytes: [u8; 2]| {
        let extra = "Balancers=100 PolicyLimits.Peers=true";
        let mut harness = Harness::new(test_settings("all", extra), "all", 7, 4);
        let now = harness.now();
        (0..200)
            .for_each(|_| harness.policy.peer_message_received(now, 3, &[2, rate_bytes[0], rate_bytes[1]]));
        for _ in 0..200 {
            harness.submit(0, ms(3000));
            harness.advance(ms(20));
        }
        harness.open_attempts().len()
    };
    let (even_share, large_share) = (attempts_at_rate([1, 244]), attempts_at_rate([0, 10]));
    assert!(
        large_share >= 3 * even_share.max(1),
        "{even_share} attempts in flight with an even share of the traffic, {large_share} with 50 times the peers' traffic"
    );
}

#[test]
fn statistics_are_restored_only_for_running_processes() {
    let statistics = |server: &str, was_ejected, restarted_at| ServerStatistics {
        server: server.into(),
        started_at: restarted_at,
        slowness: 3.0,
        ejected: was_ejected,
    };
    let mut harness = Harness::new(test_settings("all", ""), "all", 7, 4);
    let now = harness.now();
    let other_process = Some(ms(900));
    let snapshot = [
        statistics("s0", true, None),
        statistics("s1", true, other_process),
        statistics("s2", false, None),
        statistics("s8", false, None),
    ];
    harness.policy.restore_statistics(now, &snapshot);
    let slowness = |harness: &Harness, server: &str| {
        harness
            .policy
            .server_statistics()
            .into_iter()
            .find(|known| &*known.server == server)
            .expect("the server has statistics")
            .slowness
    };
    assert!(slowness(&harness, "s0") > 2.0 && slowness(&harness, "s2") > 2.0);
    assert_eq!(
        (slowness(&harness, "s1"), slowness(&harness, "s3")),
        (1.0, 1.0),
        "a restarted process and an unknown server keep the default"
    );
    for _ in 0..40 {
        harness.run_request(0, |_| Outcome::Ok);
    }
    assert_eq!(harness.host.0.borrow().attempts_to("s0"), 0, "s0 stays ejected until its health checks pass");
    assert!(harness.host.0.borrow().attempts_to("s1") > 0);
    for _ in 0..4 {
        harness.end_health_checks(Outcome::Ok);
        harness.advance(ms(1100));
    }
    assert!(harness.has_logged("return s0"));
}

#[test]
fn no_ejection_is_restored_if_most_were_ejected() {
    let mut harness = Harness::new(test_settings("all", ""), "all", 7, 4);
    let statistics = |number| ServerStatistics {
        server: format!("s{number}").into(),
        started_at: None,
        slowness: 1.0,
        ejected: number < 3,
    };
    let snapshot: Vec<ServerStatistics> = (0..4).map(statistics).collect();
    harness.policy.restore_statistics(harness.now(), &snapshot);
    assert!(harness.policy.server_statistics().iter().all(|server| !server.ejected));
    harness.change_list(&[entry("s0", Lifecycle::Draining)]);
}
