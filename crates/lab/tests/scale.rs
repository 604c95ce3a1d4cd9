//! The bounds that a run of size keeps to before it starts anything, and the slopes that are fitted to what runs gave.

use landingspread_capacity::{Role, Slopes};
use landingspread_lab::scale::{Bounds, Figure, Kept, Wanted, fitted, kept, need, run};
use std::path::Path;
use std::time::Duration;

fn wanted(copies: usize) -> Wanted {
    Wanted {
        copies,
        fleet_size: 0,
        endpoints: 6,
        changes_per_s: 0.0,
        real: 4,
        rate: 0.0,
        to_a_process: 0,
        settle: Duration::ZERO,
        length: Duration::from_secs(1),
        join_within: Duration::from_secs(10),
        lose_a_zone: false,
        bounds: Bounds { processes: 300, memory_mb: 12_000.0 },
    }
}

#[test]
fn a_run_past_its_bounds_says_what_it_would_need_and_starts_nothing() {
    let need_of = |one: &Wanted| need(one).expect("it fits");
    let sixes = Wanted { fleet_size: 6, ..wanted(8_100) };
    assert!(need_of(&sixes).processes < 300);
    let many = Wanted { to_a_process: 10, ..sixes };
    let told = need(&many).expect_err("815 processes");
    assert!(told.contains("8100 copies would need 815 processes") && told.contains("300"), "{told}");
    let small = Wanted { bounds: Bounds { processes: 300, memory_mb: 100.0 }, ..wanted(300) };
    assert!(need(&small).expect_err("too little memory").contains("the bounds are 300 and 100 MB"));
    // The program does not exist: had anything been started, that would be the error.
    let nowhere = Path::new("/nonexistent/landingspread");
    assert_eq!(run(&many, nowhere, nowhere).err(), Some(told));
    let parts = Wanted { fleet_size: 7, ..wanted(30) };
    assert!(need(&parts).expect_err("30 are no whole fleets of 7").contains("whole fleets"));
    assert!(need(&wanted(4)).is_err(), "no hollow ones");
}

fn ran(at: f64, value: f64, not_held: Option<&str>) -> Kept {
    let figure =
        |role: &str| Figure { role: role.into(), figure: "bytes_out".into(), unit: "bytes/s".into(), value };
    Kept {
        by: "copies".into(),
        at,
        not_held: not_held.map(String::from),
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
fn slopes_come_of_what_was_held_and_are_told_beside_what_was_left_out() {
    let mut runs: Vec<Kept> =
        [(30.0, 130.0), (30.0, 130.0), (100.0, 200.0), (300.0, 400.0), (1000.0, 1000.0)]
            .into_iter()
            .map(|(at, value)| ran(at, value, None))
            .collect();
    runs.push(ran(300.0, 9_000.0, Some("a process fell behind")));
    let lines: Vec<String> = runs.iter().map(|run| serde_json::to_string(run).expect("a line")).collect();
    let read = kept(&lines.join("\n")).expect("its own lines");
    let slopes = fitted(&read, &[1000.0]);
    let fleet = slopes.find(Role::Fleet, "bytes_out", "copies").expect("a slope");
    assert!((fleet.at_rest - 100.0).abs() < 1e-6 && (fleet.each - 1.0).abs() < 1e-9, "{fleet:?}");
    let told: Vec<(f64, f64, f64)> = fleet.predictions().collect();
    assert!(matches!(told[..], [(at, predicted, measured)]
        if at == 1000.0 && (predicted - 1100.0).abs() < 1e-6 && measured == 1000.0));
    assert!(slopes.find(Role::Discovery, "bytes_out", "watches").is_some(), "copies are watches there");
    assert!(slopes.find(Role::Sidecar, "calls_cpu", "copies").is_none(), "no matter of copies");
    // What is written is what capacity reads.
    assert_eq!(Slopes::read("slopes.toml", &slopes.write()).map_err(|wrong| wrong.to_string()), Ok(slopes));
    assert!(kept("{}").expect_err("no run").starts_with("line 1: "));
}
