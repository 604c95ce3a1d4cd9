//! The short run of size: hollow sidecars and real ones on real sockets. Only figures that don't hang on the machine's speed
//! are checked: who counts whom, messages and bytes a copy, and what is kept open.

use landingspread_lab::scale::{Bounds, RunResult, RunSize, run};
use landingspread_lab::sockets::run_dir;
use std::path::Path;
use std::time::Duration;

fn wanted(copies: usize) -> RunSize {
    RunSize {
        replicas: copies,
        fleet_size: 0,
        endpoints: 12,
        changes_per_s: 2.0,
        measured: 3,
        requests_per_s: 20.0,
        clientless_per_process: 40,
        settle: Duration::from_secs(2),
        duration: Duration::from_secs(4),
        join_timeout: Duration::from_secs(20),
        lose_zone: false,
        bounds: Bounds { processes: 12, memory_mb: 1_000.0 },
    }
}

fn played(wanted: &RunSize, name: &str) -> RunResult {
    let dir = run_dir(name).expect("a folder");
    let program = Path::new(env!("CARGO_BIN_EXE_landingspread"));
    let ran = run(wanted, program, &dir).unwrap_or_else(|wrong| panic!("{wrong}"));
    let _ = std::fs::remove_dir_all(&dir);
    ran
}

fn figure(ran: &RunResult, role: &str, name: &str) -> f64 {
    let found = ran.figures.iter().find(|figure| figure.role == role && figure.figure == name);
    found.unwrap_or_else(|| panic!("{role} {name} was measured: {:?}", ran.figures)).value
}

#[test]
fn a_hundred_hollow_ones_and_three_real_are_one_fleet_and_keep_to_their_bytes() {
    let wanted = wanted(103);
    let ran = played(&wanted, "scale-one");
    println!("{ran:?}");
    // All count all, or it would not have come so far.
    let open = figure(&ran, "discovery", "open_watches");
    assert_eq!(open, 103.0, "a watch each");
    let (out, into) = (figure(&ran, "fleet", "messages_out"), figure(&ran, "fleet", "messages_in"));
    assert!((5.0..60.0).contains(&out) && (5.0..60.0).contains(&into), "{out} and {into} datagrams a second");
    let (out, into) = (figure(&ran, "fleet", "bytes_out"), figure(&ran, "fleet", "bytes_in"));
    assert!((1_000.0..30_000.0).contains(&out), "{out} bytes a second; the budget is 98,304");
    assert!((1_000.0..30_000.0).contains(&into), "{into} bytes a second");
    // Each change goes to each watch, and nothing else does.
    let answers = figure(&ran, "discovery", "messages_out") / 103.0;
    assert!((1.0..3.5).contains(&answers), "{answers} answers a watch and second, with two changes a second");
    let list = figure(&ran, "discovery", "list_bytes");
    assert!((1_500.0..2_500.0).contains(&list), "{list} bytes for 12 endpoints");
    assert!(ran.processes <= 12 && ran.memory_mb < 1_000.0, "{} and {}", ran.processes, ran.memory_mb);
    let (_, _, lost) = ran.calls.expect("calls went through");
    assert_eq!(lost, 0, "calls without an answer");
}

#[test]
fn hollow_ones_in_fleets_of_six_know_of_no_other_fleet() {
    let wanted = RunSize { fleet_size: 6, changes_per_s: 0.0, requests_per_s: 0.0, ..wanted(102) };
    let ran = played(&wanted, "scale-six");
    println!("{ran:?}");
    // The real ones count six, or it would not have come so far.
    let out = figure(&ran, "fleet", "bytes_out");
    assert!((500.0..20_000.0).contains(&out), "{out} bytes a second");
    assert_eq!(figure(&ran, "discovery", "open_watches"), 102.0);
}
