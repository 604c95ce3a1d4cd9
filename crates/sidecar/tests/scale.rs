//! A short scale run with hollow and real sidecars on real sockets. It checks only figures that do not depend on the speed
//! of the machine: fleet sizes, messages and bytes per replica, and open watches.

use landingspread_lab::scale::{Bounds, RunResult, RunSize, run};
use landingspread_lab::sockets::run_dir;
use std::path::Path;
use std::time::Duration;

fn scale_plan(copies: usize) -> RunSize {
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

fn run_plan(plan: &RunSize, name: &str) -> RunResult {
    let dir = run_dir(name).expect("failed to create the run directory");
    let program = Path::new(env!("CARGO_BIN_EXE_landingspread"));
    let ran = run(plan, program, &dir).unwrap_or_else(|error| panic!("scale run {name}: {error}"));
    let _ = std::fs::remove_dir_all(&dir);
    ran
}

fn figure(ran: &RunResult, role: &str, name: &str) -> f64 {
    let found = ran.figures.iter().find(|figure| figure.role == role && figure.figure == name);
    found.unwrap_or_else(|| panic!("figure {name} of role {role} is missing: {:?}", ran.figures)).value
}

#[test]
fn fleet_of_103_sidecars_stays_within_its_byte_budget() {
    let plan = scale_plan(103);
    let ran = run_plan(&plan, "scale-one");
    println!("{ran:?}");
    // The run fails earlier unless every replica counts all others.
    let open = figure(&ran, "discovery", "open_watches");
    assert_eq!(open, 103.0, "one open watch per replica");
    let (out, into) = (figure(&ran, "fleet", "messages_out"), figure(&ran, "fleet", "messages_in"));
    assert!(
        (5.0..60.0).contains(&out) && (5.0..60.0).contains(&into),
        "{out} and {into} datagrams per second"
    );
    let (out, into) = (figure(&ran, "fleet", "bytes_out"), figure(&ran, "fleet", "bytes_in"));
    assert!((1_000.0..30_000.0).contains(&out), "{out} bytes sent per second; the budget is 98,304");
    assert!((1_000.0..30_000.0).contains(&into), "{into} bytes received per second");
    // Each watch gets one answer per change and no others.
    let answers = figure(&ran, "discovery", "messages_out") / 103.0;
    assert!(
        (1.0..3.5).contains(&answers),
        "{answers} answers per watch and second, at two changes per second"
    );
    let list = figure(&ran, "discovery", "list_bytes");
    assert!((1_500.0..2_500.0).contains(&list), "{list} bytes for 12 endpoints");
    assert!(
        ran.processes <= 12 && ran.memory_mb < 1_000.0,
        "{} processes and {} MB",
        ran.processes,
        ran.memory_mb
    );
    let (_, _, lost) = ran.calls.expect("the run made calls");
    assert_eq!(lost, 0, "calls without a response");
}

#[test]
fn replicas_in_fleets_of_six_count_only_their_own_fleet() {
    let plan = RunSize { fleet_size: 6, changes_per_s: 0.0, requests_per_s: 0.0, ..scale_plan(102) };
    let ran = run_plan(&plan, "scale-six");
    println!("{ran:?}");
    // The run fails earlier unless the real sidecars count six members.
    let out = figure(&ran, "fleet", "bytes_out");
    assert!((500.0..20_000.0).contains(&out), "{out} bytes sent per second");
    assert_eq!(figure(&ran, "discovery", "open_watches"), 102.0);
}
