//! What only shows with many copies over one fleet: each copy has a world of its own, the list is one.

use crate::scripted_host::{Scene, entry, ms, terms};
use landingspread_decisions::host::{Lifecycle, ListedServer, LoadReport, Outcome, ReplicaView};

fn copies(count: u32, servers: u32) -> Vec<Scene> {
    let copy = |at: u32| {
        let extra = format!("Balancers={count} Ordinal={at} MyZone={}", at % 2);
        Scene::new(terms("zone", &extra), "zone", u64::from(at), servers)
    };
    (0..count).map(copy).collect()
}

fn play_all(copies: &mut [Scene], rounds: usize, wait: u64) {
    for _ in 0..rounds {
        for copy in copies.iter_mut() {
            copy.play(0, |_| Outcome::Ok);
            copy.pass(ms(wait));
        }
    }
}

fn sent(copies: &[Scene], server: &str) -> usize {
    copies.iter().map(|copy| copy.script.0.borrow().sent_to(server)).sum()
}

#[test]
fn replicas_with_little_traffic_keep_to_few_servers_and_share_them_evenly() {
    let mut copies = copies(60, 24);
    play_all(&mut copies, 30, 480);
    let used = |copy: &Scene, server: u32| copy.script.0.borrow().sent_to(&format!("s{server}")) > 0;
    for copy in &copies {
        let met = (0..24).filter(|server| used(copy, *server)).count();
        assert!((4..=9).contains(&met), "a window of about six, not {met}");
    }
    for server in 0..24 {
        let sharers = copies.iter().filter(|copy| used(copy, server)).count();
        assert!((8..=25).contains(&sharers), "s{server} is shared by {sharers} copies of 60");
    }
}

#[test]
fn an_ejected_server_leaves_its_place_in_the_window_to_another() {
    let mut copies = copies(60, 24);
    let copy = &mut copies[0];
    let used = |copy: &Scene| -> Vec<String> {
        let used = |server: &String| copy.script.0.borrow().sent_to(server) > 0;
        (0..24).map(|at| format!("s{at}")).filter(used).collect()
    };
    for _ in 0..30 {
        copy.play(0, |_| Outcome::Ok);
    }
    let (before, bad) = (used(copy), used(copy)[0].clone());
    for _ in 0..60 {
        copy.play(0, |server| if server == bad { Outcome::Error } else { Outcome::Ok });
        copy.pass(ms(200));
    }
    assert!(copy.noted(&format!("mark {bad}")));
    assert!(used(copy).len() > before.len(), "a spare is taken in");
}

#[test]
fn replicas_that_learn_of_a_start_at_one_moment_keep_to_slow_start_together() {
    let mut copies = copies(120, 24);
    play_all(&mut copies, 10, 480);
    let usual = (0..24).map(|at| sent(&copies, &format!("s{at}"))).sum::<usize>() as f64 / 24.0 / 5.0;
    let at = copies[0].now();
    for copy in &mut copies {
        let up_since = Some(at);
        copy.change(&[ListedServer { started_at: up_since, ..entry("s2", Lifecycle::Ready) }]);
    }
    let mut used = 0;
    for window in 0..3 {
        let before = sent(&copies, "s2");
        play_all(&mut copies, 4, 480);
        let (cold, limit) = ((sent(&copies, "s2") - before) as f64, 3.0 * (0.3 + 0.17 * f64::from(window)));
        assert!(cold <= limit * usual * 2.0, "{cold} in two seconds, usually {usual} a second");
        used += sent(&copies, "s2") - before;
    }
    assert!(used > 0, "the ramp lets some through before it ends");
}

#[test]
fn many_replicas_load_servers_by_size_and_do_not_crowd_the_large() {
    let mut copies = copies(100, 8);
    let entries: Vec<_> = (0..8)
        .map(|at| ListedServer {
            nominal_capacity: if at < 4 { 4.0 } else { 1.0 },
            ..entry(&format!("s{at}"), Lifecycle::Ready)
        })
        .collect();
    copies.iter_mut().for_each(|copy| copy.change(&entries));
    play_all(&mut copies, 20, 180);
    let of = |range: std::ops::Range<u32>| range.map(|at| sent(&copies, &format!("s{at}"))).sum::<usize>();
    let ratio = of(0..4) as f64 / of(4..8) as f64;
    assert!((2.0..8.0).contains(&ratio), "four times as large, {ratio} times the traffic");
}

#[test]
fn a_small_capacity_takes_a_chance_cluster_but_no_lasting_excess() {
    let mut scene = copies(100, 24).swap_remove(0);
    scene.pass(ms(1000));
    (0..3).for_each(|_| drop(scene.give(0, ms(3000))));
    assert_eq!(scene.out().len(), 3, "a cluster passes");
    for _ in 0..40 {
        scene.give(0, ms(3000));
        scene.pass(ms(50));
    }
    let out = scene.out().len();
    assert!(out <= 4, "what stays out holds the rest back, not {out}");
}

#[test]
fn slow_answers_lower_limits_below_the_initial_one() {
    let mut scene = copies(2, 4).swap_remove(0);
    let mut full = |span: u64| {
        (0..20).for_each(|_| drop(scene.give(0, ms(3000))));
        let let_in = scene.out().len();
        while !scene.out().is_empty() {
            scene.pass(ms(span));
            let out = scene.out();
            out.iter().for_each(|(id, number)| scene.end(id, *number, Outcome::Ok, LoadReport::default()));
        }
        scene.pass(ms(1500));
        let_in
    };
    let start = full(20);
    let calm = (0..40).map(|_| full(20)).last().unwrap_or(0);
    let strained = (0..60).map(|_| full(100)).last().unwrap_or(0);
    assert!(calm >= start, "{calm} let in in calm, {start} at the start");
    assert!(strained * 4 < start * 3, "{strained} let in under strain, {start} at the start");
}

fn told(count: f64, may_live: f64) -> ReplicaView {
    ReplicaView { count, max_alive: may_live, ordinal: None, mean_request_rate: None }
}

/// How many of a crowd are let out at once, and then ended.
fn let_out(scene: &mut Scene) -> usize {
    (0..60).for_each(|_| drop(scene.give(0, ms(3000))));
    let out = scene.out();
    out.iter().for_each(|(id, number)| scene.end(id, *number, Outcome::Ok, LoadReport::default()));
    while !scene.out().is_empty() {
        let out = scene.out();
        out.iter().for_each(|(id, number)| scene.end(id, *number, Outcome::Ok, LoadReport::default()));
    }
    scene.pass(ms(4000));
    out.len()
}

#[test]
fn a_replica_takes_over_the_part_of_those_that_are_gone_and_gives_it_back() {
    let mut scene = copies(8, 4).swap_remove(0);
    scene.pass(ms(1000));
    let one_of_eight = let_out(&mut scene);
    let now = scene.now();
    scene.policy.replicas_changed(now, &told(2.0, 2.0));
    scene.pass(ms(1000));
    let one_of_two = let_out(&mut scene);
    let now = scene.now();
    scene.policy.replicas_changed(now, &told(8.0, 8.0));
    scene.pass(ms(1000));
    let again = let_out(&mut scene);
    assert!(one_of_two >= 2 * one_of_eight, "{one_of_eight} of eight copies', {one_of_two} of two's");
    assert!(again < one_of_two, "{again} after the others are back, {one_of_two} before");
    // What can be no count changes nothing.
    let now = scene.now();
    scene.policy.replicas_changed(now, &told(f64::NAN, f64::NAN));
    scene.policy.replicas_changed(now, &told(-3.0, 0.0));
    scene.pass(ms(1000));
    assert!(let_out(&mut scene) >= one_of_two);
}

/// Relays to a server that has started just now, in two seconds, by a copy that sees next to no traffic.
fn sent_cold(may_live: f64) -> usize {
    let mut sent = 0;
    for seed in 0..40 {
        let extra = "Balancers=2 Ordinal=0 MyZone=0";
        let mut scene = Scene::new(terms("zone", extra), "zone", seed, 4);
        let now = scene.now();
        scene.policy.replicas_changed(now, &told(2.0, may_live));
        scene.change(&[ListedServer { started_at: Some(now), ..entry("s2", Lifecycle::Ready) }]);
        for _ in 0..8 {
            scene.play(0, |_| Outcome::Ok);
            scene.pass(ms(250));
        }
        sent += scene.script.0.borrow().sent_to("s2");
    }
    sent
}

#[test]
fn slow_start_counts_the_replicas_that_may_be_alive() {
    let (of_two, of_forty) = (sent_cold(2.0), sent_cold(40.0));
    assert!(of_forty < of_two, "{of_forty} where forty may live, {of_two} where two do");
}
