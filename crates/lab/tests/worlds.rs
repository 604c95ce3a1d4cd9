//! The world itself: its queues against theory, its bounds, its chance, and plans that can't be played.

use landingspread_lab::experiment::{self, run_one};
use landingspread_lab::pickers::LoadBalancerKind;
use landingspread_lab::plan::{self, Scenario};
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngSeed, TestRunner};

fn parsed(text: &str) -> Scenario {
    plan::parse("test", text).expect("a plan that can be played")
}

/// One server with one core, no network and no cost of connections.
fn single(rate: f64) -> Scenario {
    parsed(&format!(
        "name = \"mm1\"\nseconds = 600\nload = {{ rate = {rate} }}\nfront = {{ copies = 1 }}\n\
         network = {{ near = 0, far = 0 }}\n\
         verbs = [{{ name = \"v\", goal = 60, limit = 60, work = [0.01] }}]\n\
         tiers = [{{ servers = 1, cores = 1, queue = 10000, connections = {{ work = 0 }} }}]\n"
    ))
}

#[test]
fn a_single_queue_is_as_slow_as_theory_says() {
    // M/M/1: the time in the system is exponential with mean 1 / (mu - lambda).
    for (rate, mean_ms) in [(50.0, 20.0), (80.0, 50.0)] {
        let totals = run_one(&single(rate), LoadBalancerKind::Random, 1).totals;
        for (seen, share) in [(totals.p50, 0.5f64), (totals.p90, 0.9)] {
            let theory = -mean_ms * (1.0 - share).ln();
            assert!(
                (seen / theory - 1.0).abs() < 0.08,
                "rate {rate}, {share}: {seen} ms, theory {theory} ms"
            );
        }
    }
}

#[test]
fn what_clients_send_does_not_depend_on_the_picker() {
    let ready = experiment::find("suite").expect("built in");
    let surge = ready.settings.iter().find(|setting| setting.case == "surge").expect("a case");
    let came = |picker| {
        let run = run_one(&surge.scenario, picker, 3);
        run.seconds.iter().map(|second| second.arrived).collect::<Vec<_>>()
    };
    assert_eq!(came(LoadBalancerKind::Landingspread), came(LoadBalancerKind::Random));
}

#[test]
fn a_flood_does_not_make_the_world_grow_without_bound() {
    let mut flood = experiment::find("one-tier").expect("built in").settings.remove(0).scenario;
    (flood.seconds, flood.settle, flood.load.rate) = (4.0, 0.0, 60_000.0);
    let run = run_one(&flood, LoadBalancerKind::Landingspread, 1);
    assert_eq!(run.breach_counts, [0; 4], "{:?}", run.breaches.first());
    // Every command is in it with its end, its relay and its time limit, for as long as that lasts.
    assert!(run.max_queued_events < 60_000 * 2 * 4, "{} things to come", run.max_queued_events);
    assert!(run.totals.declined > run.totals.answered);
}

#[test]
fn with_no_server_ever_ready_all_is_declined() {
    let mut plan = single(50.0);
    (plan.seconds, plan.tiers[0].servers) = (5.0, 0);
    let run = run_one(&plan, LoadBalancerKind::Landingspread, 1);
    assert_eq!((run.totals.answered, run.breach_counts), (0, [0; 4]));
    assert_eq!(run.totals.declined, run.totals.arrived);
}

/// A random list of faults for the suite's world.
fn faults() -> impl Strategy<Value = Vec<String>> {
    let servers = prop::collection::btree_set(0usize..10, 1..4);
    let fault = (0usize..14, 1.0f64..9.0, 0.5f64..6.0, servers, 1.2f64..5.0);
    prop::collection::vec(fault, 1..6).prop_map(|faults| {
        faults
            .into_iter()
            .map(|(kind, at, lasts, servers, factor)| {
                let servers: Vec<usize> = servers.into_iter().collect();
                let rest = match kind {
                    0 => format!("kind = \"crash\", servers = {servers:?}"),
                    1 => format!("kind = \"vanish\", servers = {servers:?}"),
                    2 => format!("kind = \"slow\", servers = {servers:?}, factor = {factor}"),
                    3 => format!("kind = \"errors\", servers = {servers:?}, share = 0.7"),
                    4 => format!("kind = \"pause\", servers = {servers:?}"),
                    5 => format!("kind = \"heavy\", share = 0.1, factor = {factor}"),
                    6 => format!("kind = \"shared_slowness\", factor = {factor}"),
                    7 => format!("kind = \"surge\", factor = {factor}"),
                    8 => "kind = \"grow\", count = 4".to_string(),
                    9 => format!("kind = \"shrink\", servers = {servers:?}"),
                    10 => "kind = \"list_stale\"".to_string(),
                    11 => format!("kind = \"list_flapping\", servers = {servers:?}, seconds = 0.7"),
                    12 => "kind = \"list_down\"".to_string(),
                    _ => "kind = \"copies_restarted\", count = 3, seconds = 0.4".to_string(),
                };
                format!(
                    "[[faults]]\nat = {at}\nfor = {lasts}\n{}\n",
                    rest.replace(", servers", "\nservers")
                        .replace(", factor", "\nfactor")
                        .replace(", share", "\nshare")
                        .replace(", count", "\ncount")
                        .replace(", seconds", "\nseconds")
                )
            })
            .collect()
    })
}

#[test]
fn rules_hold_through_random_faults() {
    let cases =
        Cases { cases: 24, rng_seed: RngSeed::Fixed(14), failure_persistence: None, ..Cases::default() };
    let world = experiment::builtin("one-tier").expect("built in").replace("seconds = 30", "seconds = 12");
    TestRunner::new(cases)
        .run(&(faults(), 1u64..1000), |(faults, seed)| {
            let plan = parsed(&format!("{world}\n{}", faults.concat()));
            let run = run_one(&plan, LoadBalancerKind::Landingspread, seed);
            prop_assert_eq!(run.breach_counts, [0; 4], "{:?}", run.breaches.first());
            Ok(())
        })
        .expect("rules hold");
}

#[test]
fn what_only_sockets_can_play_is_refused_in_virtual_time() {
    let mut ready = experiment::find("one-tier").expect("built in");
    let fault = plan::parse("p", &format!("{GOOD}[[faults]]\nkind = \"half_open\"\nat = 1\nservers = [1]\n"));
    ready.settings[0].scenario = fault.expect("it can be read");
    let told = experiment::sweep(&ready, 1, &|_, _| {}).expect_err("a refusal");
    assert!(told.contains("half open can be played on real sockets only"), "{told}");
}

/// What a faulty plan is told as.
fn told(text: &str) -> String {
    plan::parse("p.toml", text).expect_err("a fault").to_string()
}

const GOOD: &str = "name = \"x\"\nseconds = 5\nload = { rate = 5 }\n\
    verbs = [{ name = \"v\", goal = 1, limit = 1, work = [0.01] }]\n[[tiers]]\nservers = 2\n";

#[test]
fn faults_of_files_name_the_key_the_line_and_what_was_expected() {
    assert!(plan::parse("p.toml", GOOD).is_ok());
    let unknown = told(&GOOD.replace("servers = 2", "servrs = 2"));
    assert!(unknown.starts_with("p.toml:6:") && unknown.contains("did you mean `servers`"), "{unknown}");
    let typed = told(&GOOD.replace("seconds = 5", "seconds = \"five\""));
    assert!(typed.starts_with("p.toml:2:") && typed.contains("f64"), "{typed}");
    let bounded = told(&GOOD.replace("seconds = 5", "seconds = -5"));
    assert!(
        bounded.starts_with("p.toml:2:") && bounded.contains("seconds: -5 does not lie from"),
        "{bounded}"
    );
    let fault = format!("{GOOD}\n[[faults]]\nkind = \"slow\"\nat = 1\nservers = [7]\nfactor = 2\n");
    let beyond = told(&fault);
    assert!(beyond.starts_with("p.toml:11:") && beyond.contains("tier 0 has no server 7"), "{beyond}");
    let needs = told(&fault.replace("[7]", "[1]").replace("factor = 2", ""));
    assert!(needs.starts_with("p.toml:8:") && needs.contains("faults.0.factor: slow needs it"), "{needs}");
    assert!(told("name = ").starts_with("p.toml:1:"));
    assert!(told("").contains("missing field"));
}
