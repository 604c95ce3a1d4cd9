//! Servers that operators exclude and include again, with endpoint list changes in between.

use crate::scripted_host::{Harness, entry, ms, test_settings};
use landingspread_decisions::host::{Lifecycle, ListedServer, Outcome};

fn harness() -> Harness {
    Harness::new(test_settings("all", ""), "all", 7, 3)
}

fn run_requests(harness: &mut Harness, count: usize) {
    for _ in 0..count {
        harness.run_request(0, |_| Outcome::Ok);
    }
}

fn attempts_to(harness: &Harness, server: &str) -> usize {
    harness.host.0.borrow().attempts_to(server)
}

#[test]
fn excluded_server_gets_no_request_until_included() {
    let mut harness = harness();
    run_requests(&mut harness, 30);
    assert!(harness.set_excluded("s1", true) && harness.set_excluded("s1", true));
    let before = attempts_to(&harness, "s1");
    let restarted = ListedServer { started_at: Some(harness.now()), ..entry("s1", Lifecycle::Ready) };
    let all = [entry("s0", Lifecycle::Ready), restarted.clone(), entry("s2", Lifecycle::Ready)];
    for entries in [
        vec![entry("s1", Lifecycle::Removed)],
        vec![restarted.clone()],
        vec![entry("s1", Lifecycle::Draining)],
    ] {
        harness.change_list(&entries);
        run_requests(&mut harness, 10);
    }
    // A complete list without the excluded server, and one that has it again.
    for entries in [[&all[..1], &all[2..]].concat(), all.to_vec()] {
        harness.record_list(&entries);
        harness.policy.endpoint_list_received(harness.now(), &entries);
        run_requests(&mut harness, 10);
    }
    assert_eq!(attempts_to(&harness, "s1"), before);
    assert!(harness.set_excluded("s1", false));
    run_requests(&mut harness, 100);
    assert!(attempts_to(&harness, "s1") > before, "the included server gets requests within 2 s");
}

#[test]
fn included_server_is_in_slow_start_without_a_restart() {
    let mut harness = harness();
    run_requests(&mut harness, 200);
    harness.set_excluded("s1", true);
    harness.advance(ms(10_000));
    harness.set_excluded("s1", false);
    let before = [attempts_to(&harness, "s0"), attempts_to(&harness, "s1")];
    run_requests(&mut harness, 60);
    let [other, included] =
        [attempts_to(&harness, "s0") - before[0], attempts_to(&harness, "s1") - before[1]];
    assert!(
        included > 0 && 2 * included <= other,
        "{included} attempts to the included server, {other} to another one"
    );
}

#[test]
fn only_servers_never_listed_are_unknown() {
    let mut harness = harness();
    assert!(!harness.set_excluded("s7", true) && !harness.set_excluded("s7", false));
    assert!(harness.set_excluded("s2", false), "including a server that is not excluded succeeds");
    harness.change_list(&[entry("s2", Lifecycle::Removed)]);
    assert!(harness.set_excluded("s2", true), "a removed server is still known");
    harness.change_list(&[entry("s2", Lifecycle::Ready)]);
    let before = attempts_to(&harness, "s2");
    run_requests(&mut harness, 20);
    assert_eq!(attempts_to(&harness, "s2"), before);
    harness.change_list(&[entry("s2", Lifecycle::Removed)]);
    assert!(harness.set_excluded("s2", false));
    run_requests(&mut harness, 20);
    assert_eq!(
        attempts_to(&harness, "s2"),
        before,
        "a removed server gets no request although it is included"
    );
    harness.policy.restore_known_server(&"s8".into());
    assert!(harness.set_excluded("s8", true));
}

#[test]
fn requests_are_rejected_if_all_servers_are_excluded() {
    let mut harness = harness();
    run_requests(&mut harness, 20);
    for server in ["s0", "s1", "s2"] {
        harness.set_excluded(server, true);
    }
    let id = harness.submit(2, ms(3000));
    harness.advance(ms(500));
    assert_eq!(harness.final_response(&id), Some(crate::scripted_host::FinalResponse::Rejected));
    harness.set_excluded("s0", false);
    harness.advance(ms(1000));
    let id = harness.run_request(2, |_| Outcome::Ok);
    assert_eq!(harness.final_response(&id), Some(crate::scripted_host::FinalResponse::Answered));
}

#[test]
fn included_server_is_used_within_5_s_at_low_traffic() {
    for seed in 0..40 {
        // Five replicas share eight servers; this one has four requests per second.
        let mut harness = Harness::new(test_settings("all", "Balancers=5"), "all", seed, 8);
        let run_one_second = |harness: &mut Harness| {
            for _ in 0..4 {
                harness.run_request(2, |_| Outcome::Ok);
                harness.advance(ms(230));
            }
        };
        (0..10).for_each(|_| run_one_second(&mut harness));
        // A server that the replica used before: at this rate its window is smaller than the list.
        let used = (0..8)
            .map(|number| format!("s{number}"))
            .find(|server| attempts_to(&harness, server) > 0)
            .expect("at least one server was used");
        harness.set_excluded(&used, true);
        (0..8).for_each(|_| run_one_second(&mut harness));
        let before = attempts_to(&harness, &used);
        harness.set_excluded(&used, false);
        harness.run_request(2, |_| Outcome::Ok);
        assert!(attempts_to(&harness, &used) <= before + 1, "the included server gets no burst of requests");
        (0..4).for_each(|_| run_one_second(&mut harness));
        assert!(attempts_to(&harness, &used) > before, "seed {seed}: the included server is not used");
    }
}
