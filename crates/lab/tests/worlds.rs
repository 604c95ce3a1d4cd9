//! The simulation: queues against theory, bounds on its size, random faults, and errors of invalid plans.

use landingspread_lab::experiment::{self, run_one};
use landingspread_lab::pickers::LoadBalancerKind;
use landingspread_lab::plan::{self, Scenario};
use proptest::prelude::*;
use proptest::test_runner::{Config as TestConfig, RngSeed, TestRunner};

fn parse_valid(text: &str) -> Scenario {
    plan::parse("test", text).expect("a valid plan")
}

/// One server with one core, no network delay and no cost of connections.
fn single_server(rate: f64) -> Scenario {
    parse_valid(&format!(
        "name = \"mm1\"\nseconds = 600\nload = {{ rate = {rate} }}\nfront = {{ copies = 1 }}\n\
         network = {{ near = 0, far = 0 }}\n\
         verbs = [{{ name = \"v\", goal = 60, limit = 60, work = [0.01] }}]\n\
         tiers = [{{ servers = 1, cores = 1, queue = 10000, connections = {{ work = 0 }} }}]\n"
    ))
}

#[test]
fn single_queue_latency_matches_theory() {
    // M/M/1: the time in the system is exponential with mean 1 / (mu - lambda).
    for (rate, mean_ms) in [(50.0, 20.0), (80.0, 50.0)] {
        let totals = run_one(&single_server(rate), LoadBalancerKind::Random, 1).totals;
        for (measured, share) in [(totals.p50, 0.5f64), (totals.p90, 0.9)] {
            let theory = -mean_ms * (1.0 - share).ln();
            assert!(
                (measured / theory - 1.0).abs() < 0.08,
                "rate {rate}, {share}: {measured} ms, theory {theory} ms"
            );
        }
    }
}

#[test]
fn arrivals_do_not_depend_on_the_load_balancer() {
    let experiment = experiment::find("suite").expect("a built-in experiment");
    let surge =
        experiment.settings.iter().find(|setting| setting.case == "surge").expect("a case of the experiment");
    let arrivals = |load_balancer| {
        let run = run_one(&surge.scenario, load_balancer, 3);
        run.seconds.iter().map(|second| second.arrived).collect::<Vec<_>>()
    };
    assert_eq!(arrivals(LoadBalancerKind::Landingspread), arrivals(LoadBalancerKind::Random));
}

#[test]
fn overload_keeps_the_event_queue_bounded() {
    let mut flood = experiment::find("one-tier").expect("a built-in experiment").settings.remove(0).scenario;
    (flood.seconds, flood.settle, flood.load.rate) = (4.0, 0.0, 60_000.0);
    let run = run_one(&flood, LoadBalancerKind::Landingspread, 1);
    assert_eq!(run.breach_counts, [0; 4], "{:?}", run.breaches.first());
    // Each request has a bounded number of pending events until its time limit.
    assert!(run.max_queued_events < 60_000 * 2 * 4, "{} queued events", run.max_queued_events);
    assert!(run.totals.declined > run.totals.answered);
}

#[test]
fn without_servers_all_requests_are_rejected() {
    let mut plan = single_server(50.0);
    (plan.seconds, plan.tiers[0].servers) = (5.0, 0);
    let run = run_one(&plan, LoadBalancerKind::Landingspread, 1);
    assert_eq!((run.totals.answered, run.breach_counts), (0, [0; 4]));
    assert_eq!(run.totals.declined, run.totals.arrived);
}

/// Random faults for the scenario of the suite.
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
    let test_config = TestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(14),
        failure_persistence: None,
        ..TestConfig::default()
    };
    let scenario = experiment::builtin("one-tier")
        .expect("a built-in experiment")
        .replace("seconds = 30", "seconds = 12");
    TestRunner::new(test_config)
        .run(&(faults(), 1u64..1000), |(faults, seed)| {
            let plan = parse_valid(&format!("{scenario}\n{}", faults.concat()));
            let run = run_one(&plan, LoadBalancerKind::Landingspread, seed);
            prop_assert_eq!(run.breach_counts, [0; 4], "{:?}", run.breaches.first());
            Ok(())
        })
        .expect("the rules hold in all cases");
}

#[test]
fn socket_only_fault_is_refused_in_virtual_time() {
    let mut experiment = experiment::find("one-tier").expect("a built-in experiment");
    let fault =
        plan::parse("p", &format!("{VALID_PLAN}[[faults]]\nkind = \"half_open\"\nat = 1\nservers = [1]\n"));
    experiment.settings[0].scenario = fault.expect("a valid plan");
    let parse_error = experiment::sweep(&experiment, 1, &|_, _| {}).expect_err("a refused setting");
    assert!(parse_error.contains("half open can be played on real sockets only"), "{parse_error}");
}

/// The error of an invalid plan.
fn parse_error(text: &str) -> String {
    plan::parse("p.toml", text).expect_err("an invalid plan").to_string()
}

const VALID_PLAN: &str = "name = \"x\"\nseconds = 5\nload = { rate = 5 }\n\
    verbs = [{ name = \"v\", goal = 1, limit = 1, work = [0.01] }]\n[[tiers]]\nservers = 2\n";

#[test]
fn plan_errors_name_the_key_the_line_and_the_expected_value() {
    assert!(plan::parse("p.toml", VALID_PLAN).is_ok());
    let unknown_key = parse_error(&VALID_PLAN.replace("servers = 2", "servrs = 2"));
    assert!(
        unknown_key.starts_with("p.toml:6:") && unknown_key.contains("did you mean `servers`"),
        "{unknown_key}"
    );
    let wrong_type = parse_error(&VALID_PLAN.replace("seconds = 5", "seconds = \"five\""));
    assert!(wrong_type.starts_with("p.toml:2:") && wrong_type.contains("f64"), "{wrong_type}");
    let out_of_bounds = parse_error(&VALID_PLAN.replace("seconds = 5", "seconds = -5"));
    assert!(
        out_of_bounds.starts_with("p.toml:2:") && out_of_bounds.contains("seconds: -5 does not lie from"),
        "{out_of_bounds}"
    );
    let fault = format!("{VALID_PLAN}\n[[faults]]\nkind = \"slow\"\nat = 1\nservers = [7]\nfactor = 2\n");
    let unknown_server = parse_error(&fault);
    assert!(
        unknown_server.starts_with("p.toml:11:") && unknown_server.contains("tier 0 has no server 7"),
        "{unknown_server}"
    );
    let missing_key = parse_error(&fault.replace("[7]", "[1]").replace("factor = 2", ""));
    assert!(
        missing_key.starts_with("p.toml:8:") && missing_key.contains("faults.0.factor: slow needs it"),
        "{missing_key}"
    );
    assert!(parse_error("name = ").starts_with("p.toml:1:"));
    assert!(parse_error("").contains("missing field"));
}
