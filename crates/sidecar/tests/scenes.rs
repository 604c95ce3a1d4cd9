//! The lab's scenarios on real sockets round the real program, and the lab's own stand-ins where only sockets show
//! whether they are right.

use landingspread_lab::plan;
use landingspread_lab::sockets::{self, LoadPlan, Sidecar, bench, load, run_dir};
use serde_json::json;
use std::path::Path;
use std::thread;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_landingspread");

const WORLD: &str = "
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

fn keeps_rules(name: &str, faults: &str) {
    let plan = plan::parse(name, &format!("{WORLD}{faults}")).expect("a plan that can be played");
    let dir = run_dir(name).expect("a folder");
    let mut seconds = 0;
    let line = sockets::play(&plan, 1, Path::new(PROGRAM), &dir, &mut |_| seconds += 1).expect("it plays");
    assert_eq!(line.breach_counts, [0; 4], "{:?}", line.breaches);
    assert!(line.totals.answered > 300 && seconds >= 4, "{:?}", line.totals);
    // What is answered at all does not depend on how busy the machine is that runs this.
    assert!(line.totals.answered * 10 > line.totals.arrived * 8, "{:?}", line.totals);
}

#[test]
fn two_tiers_keep_the_rules_through_a_crash_a_drain_and_a_late_list() {
    keeps_rules(
        "crash",
        "[[faults]]\nkind = \"crash\"\nat = 1\nfor = 1.5\nservers = [1]\n\
         [[faults]]\nkind = \"shrink\"\nat = 2\ntier = 1\nservers = [0]\n\
         [[faults]]\nkind = \"list_late\"\nat = 1.5\nfor = 3\nseconds = 0.5\n",
    );
}

#[test]
fn two_tiers_keep_the_rules_through_silence_half_open_connections_and_a_dead_list_source() {
    keeps_rules(
        "silence",
        "[[faults]]\nkind = \"vanish\"\nat = 1\nfor = 1.5\nservers = [2]\n\
         [[faults]]\nkind = \"half_open\"\nat = 2\ntier = 1\nservers = [1]\n\
         [[faults]]\nkind = \"list_down\"\nat = 1\nfor = 2\n\
         [[faults]]\nkind = \"errors\"\nat = 2\nfor = 2\ntier = 1\nservers = [3]\nshare = 0.5\n",
    );
}

#[test]
fn what_waits_for_a_slow_answer_counts_from_when_it_was_meant_to_be_sent() {
    let fleet = bench::fleet(1).expect("a stand-in");
    let server = fleet.servers[0].clone();
    let pause = thread::spawn(move || {
        thread::sleep(Duration::from_millis(500));
        server.change(|serving| serving.paused = true);
        thread::sleep(Duration::from_millis(600));
        server.change(|serving| serving.paused = false);
    });
    let figures = load(&LoadPlan {
        targets: vec![fleet.servers[0].address],
        verb: "view".into(),
        connections: 2,
        rate: 200.0,
        limit: Duration::from_secs(5),
        settle: Duration::ZERO,
        length: Duration::from_millis(1600),
        seed: 1,
    });
    pause.join().expect("no panic");
    // Two connections send two commands in the pause; the hundred others that were meant to be sent then wait too:
    // more than a tenth of all, for as long as half of the pause.
    assert!(figures.answered > 200, "{figures:?}");
    assert!(figures.p90 > 300.0, "the wait is left out: {figures:?}");
}

#[test]
fn a_child_that_ends_is_told_with_its_last_lines() {
    let dir = run_dir("ends").expect("a folder");
    let config = json!({"listen": "127.0.0.1:9"});
    let told = Sidecar::start(Path::new(PROGRAM), &dir, "ends", &config).err().expect("it can't start");
    assert!(told.contains("ends has ended with") && told.contains("settings: is missing"), "{told}");
    let told = Sidecar::start(Path::new("/nowhere/landingspread"), &dir, "none", &config).err();
    assert!(told.expect("there is no such program").starts_with("none: "));
}
