//! Bounds that are checked before a run starts anything, and slopes that are fitted to the results of runs.

use landingspread_capacity::{Role, Slopes};
use landingspread_lab::scale::{
    Bounds, Figure, RecordedRun, RunSize, fit_slopes, read_runs, requirements, run,
};
use std::path::Path;
use std::time::Duration;

fn run_size(replicas: usize) -> RunSize {
    RunSize {
        replicas,
        fleet_size: 0,
        endpoints: 6,
        changes_per_s: 0.0,
        measured: 4,
        requests_per_s: 0.0,
        clientless_per_process: 0,
        settle: Duration::ZERO,
        duration: Duration::from_secs(1),
        join_timeout: Duration::from_secs(10),
        lose_zone: false,
        bounds: Bounds { processes: 300, memory_mb: 12_000.0 },
    }
}

#[test]
fn a_run_beyond_its_bounds_reports_its_needs_and_does_not_start() {
    let required = |size: &RunSize| requirements(size).expect("the size is within the bounds");
    let fleets_of_six = RunSize { fleet_size: 6, ..run_size(8_100) };
    assert!(required(&fleets_of_six).processes < 300);
    let small_processes = RunSize { clientless_per_process: 10, ..fleets_of_six };
    let error = requirements(&small_processes).expect_err("815 processes exceed the bound");
    assert!(error.contains("8100 copies would need 815 processes") && error.contains("300"), "{error}");
    let little_memory = RunSize { bounds: Bounds { processes: 300, memory_mb: 100.0 }, ..run_size(300) };
    assert!(
        requirements(&little_memory)
            .expect_err("the memory is too little")
            .contains("the bounds are 300 and 100 MB")
    );
    // The program does not exist: if anything had been started, that would be the error.
    let missing = Path::new("/nonexistent/landingspread");
    assert_eq!(run(&small_processes, missing, missing).err(), Some(error));
    let uneven_fleets = RunSize { fleet_size: 7, ..run_size(30) };
    assert!(requirements(&uneven_fleets).expect_err("30 is not a multiple of 7").contains("whole fleets"));
    assert!(requirements(&run_size(4)).is_err(), "no clientless sidecars");
}

fn recorded_run(size: f64, value: f64, invalid: Option<&str>) -> RecordedRun {
    let figure =
        |role: &str| Figure { role: role.into(), figure: "bytes_out".into(), unit: "bytes/s".into(), value };
    RecordedRun {
        parameter: "copies".into(),
        value: size,
        invalid: invalid.map(String::from),
        figures: vec![
            figure("fleet"),
            figure("discovery"),
            Figure { figure: "calls_cpu".into(), ..figure("sidecar") },
        ],
        command: "landingspread-lab scale".into(),
        build: "1a2b3c4, release".into(),
        machine: "8 cores".into(),
    }
}

#[test]
fn slopes_use_valid_runs_and_predict_the_sizes_left_out() {
    let mut runs: Vec<RecordedRun> =
        [(30.0, 130.0), (30.0, 130.0), (100.0, 200.0), (300.0, 400.0), (1000.0, 1000.0)]
            .into_iter()
            .map(|(size, value)| recorded_run(size, value, None))
            .collect();
    runs.push(recorded_run(300.0, 9_000.0, Some("a process fell behind")));
    let lines: Vec<String> =
        runs.iter().map(|run| serde_json::to_string(run).expect("the run is serializable")).collect();
    let parsed = read_runs(&lines.join("\n")).expect("the lines are valid");
    let slopes = fit_slopes(&parsed, &[1000.0]);
    let fleet = slopes.find(Role::Fleet, "bytes_out", "copies").expect("the slope was fitted");
    assert!((fleet.at_rest - 100.0).abs() < 1e-6 && (fleet.each - 1.0).abs() < 1e-9, "{fleet:?}");
    let predictions: Vec<(f64, f64, f64)> = fleet.predictions().collect();
    assert!(matches!(predictions[..], [(at, predicted, measured)]
        if at == 1000.0 && (predicted - 1100.0).abs() < 1e-6 && measured == 1000.0));
    assert!(
        slopes.find(Role::Discovery, "bytes_out", "watches").is_some(),
        "discovery's parameter is the number of watches"
    );
    assert!(
        slopes.find(Role::Sidecar, "calls_cpu", "copies").is_none(),
        "the number of copies does not affect it"
    );
    // The capacity crate reads what is written.
    assert_eq!(Slopes::read("slopes.toml", &slopes.write()).map_err(|error| error.to_string()), Ok(slopes));
    assert!(read_runs("{}").expect_err("the line is invalid").starts_with("line 1: "));
}
