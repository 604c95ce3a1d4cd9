//! Properties of many replicas over the same servers. Each replica has a host of its own; the endpoint list is shared.

use crate::scripted_host::{Harness, entry, ms, test_settings};
use landingspread_decisions::host::{Lifecycle, ListedServer, LoadReport, Outcome, ReplicaView};

fn replicas(count: u32, servers: u32) -> Vec<Harness> {
    let replica = |number: u32| {
        let extra = format!("Balancers={count} Ordinal={number} MyZone={}", number % 2);
        Harness::new(test_settings("zone", &extra), "zone", u64::from(number), servers)
    };
    (0..count).map(replica).collect()
}

fn run_requests(replicas: &mut [Harness], rounds: usize, pause: u64) {
    for _ in 0..rounds {
        for replica in replicas.iter_mut() {
            replica.run_request(0, |_| Outcome::Ok);
            replica.advance(ms(pause));
        }
    }
}

fn attempts_to(replicas: &[Harness], server: &str) -> usize {
    replicas.iter().map(|replica| replica.host.0.borrow().attempts_to(server)).sum()
}

#[test]
fn low_traffic_replicas_use_small_evenly_spread_windows() {
    let mut replicas = replicas(60, 24);
    run_requests(&mut replicas, 30, 480);
    let used =
        |replica: &Harness, server: u32| replica.host.0.borrow().attempts_to(&format!("s{server}")) > 0;
    for replica in &replicas {
        let used_servers = (0..24).filter(|server| used(replica, *server)).count();
        assert!(
            (4..=9).contains(&used_servers),
            "{used_servers} servers used, expected a window of about six"
        );
    }
    for server in 0..24 {
        let replicas_using = replicas.iter().filter(|replica| used(replica, server)).count();
        assert!((8..=25).contains(&replicas_using), "s{server} is used by {replicas_using} of 60 replicas");
    }
}

#[test]
fn ejected_server_is_replaced_in_the_window() {
    let mut replicas = replicas(60, 24);
    let replica = &mut replicas[0];
    let used = |replica: &Harness| -> Vec<String> {
        let used = |server: &String| replica.host.0.borrow().attempts_to(server) > 0;
        (0..24).map(|number| format!("s{number}")).filter(used).collect()
    };
    for _ in 0..30 {
        replica.run_request(0, |_| Outcome::Ok);
    }
    let (before, failing_server) = (used(replica), used(replica)[0].clone());
    for _ in 0..60 {
        replica.run_request(0, |server| if server == failing_server { Outcome::Error } else { Outcome::Ok });
        replica.advance(ms(200));
    }
    assert!(replica.has_logged(&format!("mark {failing_server}")));
    assert!(used(replica).len() > before.len(), "another server joins the window");
}

#[test]
fn replicas_jointly_limit_traffic_in_slow_start() {
    let mut replicas = replicas(120, 24);
    run_requests(&mut replicas, 10, 480);
    let usual_rate = (0..24).map(|number| attempts_to(&replicas, &format!("s{number}"))).sum::<usize>()
        as f64
        / 24.0
        / 5.0;
    let changed_at = replicas[0].now();
    for replica in &mut replicas {
        let restarted_at = Some(changed_at);
        replica.change_list(&[ListedServer { started_at: restarted_at, ..entry("s2", Lifecycle::Ready) }]);
    }
    let mut used = 0;
    for window in 0..3 {
        let before = attempts_to(&replicas, "s2");
        run_requests(&mut replicas, 4, 480);
        let (attempts_in_window, limit) =
            ((attempts_to(&replicas, "s2") - before) as f64, 3.0 * (0.3 + 0.17 * f64::from(window)));
        assert!(
            attempts_in_window <= limit * usual_rate * 2.0,
            "{attempts_in_window} attempts in two seconds, the usual rate is {usual_rate} per second"
        );
        used += attempts_to(&replicas, "s2") - before;
    }
    assert!(used > 0, "slow start lets some attempts through");
}

#[test]
fn replicas_load_servers_in_proportion_to_capacity() {
    let mut replicas = replicas(100, 8);
    let entries: Vec<_> = (0..8)
        .map(|number| ListedServer {
            nominal_capacity: if number < 4 { 4.0 } else { 1.0 },
            ..entry(&format!("s{number}"), Lifecycle::Ready)
        })
        .collect();
    replicas.iter_mut().for_each(|replica| replica.change_list(&entries));
    run_requests(&mut replicas, 20, 180);
    let attempts_to_range = |range: std::ops::Range<u32>| {
        range.map(|number| attempts_to(&replicas, &format!("s{number}"))).sum::<usize>()
    };
    let ratio = attempts_to_range(0..4) as f64 / attempts_to_range(4..8) as f64;
    assert!((2.0..8.0).contains(&ratio), "servers with 4 times the capacity get {ratio} times the traffic");
}

#[test]
fn small_capacity_admits_a_burst_but_no_lasting_excess() {
    let mut harness = replicas(100, 24).swap_remove(0);
    harness.advance(ms(1000));
    (0..3).for_each(|_| drop(harness.submit(0, ms(3000))));
    assert_eq!(harness.open_attempts().len(), 3, "a burst of three is admitted");
    for _ in 0..40 {
        harness.submit(0, ms(3000));
        harness.advance(ms(50));
    }
    let open = harness.open_attempts().len();
    assert!(open <= 4, "{open} attempts in flight, expected unanswered ones to hold back the rest");
}

#[test]
fn slow_answers_lower_limits_below_the_initial_limit() {
    let mut harness = replicas(2, 4).swap_remove(0);
    let mut fill_and_answer = |answer_after_ms: u64| {
        (0..20).for_each(|_| drop(harness.submit(0, ms(3000))));
        let admitted = harness.open_attempts().len();
        while !harness.open_attempts().is_empty() {
            harness.advance(ms(answer_after_ms));
            let open = harness.open_attempts();
            open.iter().for_each(|(id, number)| {
                harness.end_attempt(id, *number, Outcome::Ok, LoadReport::default());
            });
        }
        harness.advance(ms(1500));
        admitted
    };
    let admitted_initially = fill_and_answer(20);
    let admitted_fast = (0..40).map(|_| fill_and_answer(20)).last().unwrap_or(0);
    let admitted_slow = (0..60).map(|_| fill_and_answer(100)).last().unwrap_or(0);
    assert!(
        admitted_fast >= admitted_initially,
        "{admitted_fast} admitted with fast answers, {admitted_initially} at the start"
    );
    assert!(
        admitted_slow * 4 < admitted_initially * 3,
        "{admitted_slow} admitted with slow answers, {admitted_initially} at the start"
    );
}

fn replica_view(count: f64, alive_limit: f64) -> ReplicaView {
    ReplicaView { count, max_alive: alive_limit, ordinal: None, mean_request_rate: None }
}

/// Submits 60 requests at once, answers all of them, and returns how many were admitted at once.
fn admit_and_answer_60(harness: &mut Harness) -> usize {
    (0..60).for_each(|_| drop(harness.submit(0, ms(3000))));
    let open = harness.open_attempts();
    open.iter().for_each(|(id, number)| harness.end_attempt(id, *number, Outcome::Ok, LoadReport::default()));
    while !harness.open_attempts().is_empty() {
        let open = harness.open_attempts();
        open.iter()
            .for_each(|(id, number)| harness.end_attempt(id, *number, Outcome::Ok, LoadReport::default()));
    }
    harness.advance(ms(4000));
    open.len()
}

#[test]
fn replica_takes_over_capacity_of_stopped_replicas() {
    let mut harness = replicas(8, 4).swap_remove(0);
    harness.advance(ms(1000));
    let admitted_of_eight = admit_and_answer_60(&mut harness);
    let now = harness.now();
    harness.policy.replicas_changed(now, &replica_view(2.0, 2.0));
    harness.advance(ms(1000));
    let admitted_of_two = admit_and_answer_60(&mut harness);
    let now = harness.now();
    harness.policy.replicas_changed(now, &replica_view(8.0, 8.0));
    harness.advance(ms(1000));
    let admitted_again = admit_and_answer_60(&mut harness);
    assert!(
        admitted_of_two >= 2 * admitted_of_eight,
        "{admitted_of_eight} admitted as one of eight replicas, {admitted_of_two} as one of two"
    );
    assert!(
        admitted_again < admitted_of_two,
        "{admitted_again} admitted after the other replicas are back, {admitted_of_two} before"
    );
    // Invalid counts are ignored.
    let now = harness.now();
    harness.policy.replicas_changed(now, &replica_view(f64::NAN, f64::NAN));
    harness.policy.replicas_changed(now, &replica_view(-3.0, 0.0));
    harness.advance(ms(1000));
    assert!(admit_and_answer_60(&mut harness) >= admitted_of_two);
}

/// The number of attempts, over 40 seeds, that a replica with little traffic sends to a server that has just started,
/// within about two seconds.
fn attempts_in_slow_start(max_alive: f64) -> usize {
    let mut total = 0;
    for seed in 0..40 {
        let extra = "Balancers=2 Ordinal=0 MyZone=0";
        let mut harness = Harness::new(test_settings("zone", extra), "zone", seed, 4);
        let now = harness.now();
        harness.policy.replicas_changed(now, &replica_view(2.0, max_alive));
        harness.change_list(&[ListedServer { started_at: Some(now), ..entry("s2", Lifecycle::Ready) }]);
        for _ in 0..8 {
            harness.run_request(0, |_| Outcome::Ok);
            harness.advance(ms(250));
        }
        total += harness.host.0.borrow().attempts_to("s2");
    }
    total
}

#[test]
fn slow_start_counts_replicas_that_may_be_alive() {
    let (with_two, with_forty) = (attempts_in_slow_start(2.0), attempts_in_slow_start(40.0));
    assert!(with_forty < with_two, "{with_forty} attempts if 40 replicas may be alive, {with_two} if 2 may");
}
