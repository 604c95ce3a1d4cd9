//! The lab's scenarios with the real program on real sockets, and those of the lab's own test servers and load generators
//! that can be checked on sockets only.

use landingspread_lab::plan;
use landingspread_lab::sockets::{self, LoadPlan, Sidecar, bench, load, run_dir};
use serde_json::json;
use std::path::Path;
use std::thread;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_landingspread");

const SCENARIO: &str = "
name = \"short\"
seconds = 5
settle = 0.5
load = { rate = 150 }
front = { copies = 2 }
lists = { lag = 0.1, drain = 1.5, notice = 0.5 }
verbs = [
  { name = \"view\", share = 0.7, goal = 0.4, limit = 1.0, work = [0.003, 0.004] },
  { name = \"confirm\", share = 0.3, repeats = \"effectful\", goal = 0.6, limit = 1.2, utility = 3, work = [0.003] },
]
tiers = [{ servers = 4 }, { servers = 4 }]
";

fn assert_keeps_rules(name: &str, faults: &str) {
    let plan = plan::parse(name, &format!("{SCENARIO}{faults}")).expect("scenario is a valid plan");
    let dir = run_dir(name).expect("failed to create the run directory");
    let mut seconds = 0;
    let result = sockets::run_scenario(&plan, 1, Path::new(PROGRAM), &dir, &mut |_| seconds += 1)
        .expect("scenario run failed");
    assert_eq!(result.breach_counts, [0; 4], "{:?}", result.breaches);
    assert!(result.totals.answered > 300 && seconds >= 4, "{:?}", result.totals);
    // The share of answered requests does not depend on how busy the machine is.
    assert!(result.totals.answered * 10 > result.totals.arrived * 8, "{:?}", result.totals);
}

#[test]
fn two_tiers_keep_rules_under_crash_drain_and_late_list() {
    assert_keeps_rules(
        "crash",
        "[[faults]]\nkind = \"crash\"\nat = 1\nfor = 1.5\nservers = [1]\n\
         [[faults]]\nkind = \"shrink\"\nat = 2\ntier = 1\nservers = [0]\n\
         [[faults]]\nkind = \"list_late\"\nat = 1.5\nfor = 3\nseconds = 0.5\n",
    );
}

#[test]
fn two_tiers_keep_rules_under_silence_and_discovery_outage() {
    assert_keeps_rules(
        "silence",
        "[[faults]]\nkind = \"vanish\"\nat = 1\nfor = 1.5\nservers = [2]\n\
         [[faults]]\nkind = \"half_open\"\nat = 2\ntier = 1\nservers = [1]\n\
         [[faults]]\nkind = \"list_down\"\nat = 1\nfor = 2\n\
         [[faults]]\nkind = \"errors\"\nat = 2\nfor = 2\ntier = 1\nservers = [3]\nshare = 0.5\n",
    );
}

#[test]
fn load_latency_counts_from_the_scheduled_send_time() {
    let fleet = bench::start_servers(1).expect("failed to start the test server");
    let server = fleet.servers[0].clone();
    let pause = thread::spawn(move || {
        thread::sleep(Duration::from_millis(500));
        server.update_state(|serving| serving.paused = true);
        thread::sleep(Duration::from_millis(600));
        server.update_state(|serving| serving.paused = false);
    });
    let figures = load(&LoadPlan {
        targets: vec![fleet.servers[0].address],
        request_class: "view".into(),
        connections: 2,
        rate: 200.0,
        time_limit: Duration::from_secs(5),
        warmup: Duration::ZERO,
        duration: Duration::from_millis(1600),
        seed: 1,
    });
    pause.join().expect("pause thread panicked");
    // Two connections send two requests in the pause. The hundred others scheduled for that time wait as well: more than a
    // tenth of all requests, on average for half of the pause.
    assert!(figures.answered > 200, "{figures:?}");
    assert!(figures.p90 > 300.0, "latencies lack the wait before sending: {figures:?}");
}

#[test]
fn failed_sidecar_start_reports_the_last_log_lines() {
    let dir = run_dir("ends").expect("failed to create the run directory");
    let config = json!({"listen": "127.0.0.1:9"});
    let error = Sidecar::start(Path::new(PROGRAM), &dir, "ends", &config)
        .err()
        .expect("configuration without settings is rejected");
    assert!(error.contains("ends has ended with") && error.contains("settings: is missing"), "{error}");
    let error = Sidecar::start(Path::new("/nowhere/landingspread"), &dir, "none", &config).err();
    assert!(error.expect("a missing program cannot start").starts_with("none: "));
}
