//! The rows of each role: derived, measured and missing figures, the tables of the page, and their replacement between
//! marks.

use landingspread_capacity::{
    BUILT_IN, CaseStats, Cell, Moment, Point, Role, Row, Size, Slope, Slopes, Source, format_figure,
    marked_text, replace_sections, sections, sheet, unused_slopes,
};

fn built_in() -> Size {
    Size::read("size", BUILT_IN).expect("the built-in size should be valid")
}

/// A slope whose points lie exactly on the line, with one run each.
fn slope((role, figure): (Role, &str), (unit, by): (&str, &str), (at_rest, each): (f64, f64)) -> Slope {
    let source = Source { command: "scale".into(), build: "b".into(), machine: "m".into() };
    let points = [30.0, 1000.0].map(|by| Point { by, runs: vec![at_rest + each * by] });
    Slope::fitted((role, figure), (unit, by), points.into(), &source).expect("two points should give a fit")
}

fn row<'a>(rows: &'a [Row], role: Role, label: &str) -> &'a Row {
    rows.iter().find(|row| row.role == role && row.label == label).expect(label)
}

fn value(cell: Cell) -> f64 {
    match cell {
        Cell::Figure(figure) => figure,
        other => panic!("{other:?}; expected a figure"),
    }
}

fn is_close(actual: f64, expected: f64) -> bool {
    (actual - expected).abs() <= 1e-6 * expected.abs().max(1.0)
}

#[test]
fn without_slopes_only_derived_rows_have_figures() {
    let size = built_in();
    for case in &size.cases {
        for row in sheet(&size, case, &Slopes::default()) {
            let derived = row.derivation.starts_with("derived: ");
            let missing = if row.role == Role::Configuration { Cell::NoMechanism } else { Cell::NotMeasured };
            for cell in row.cells {
                match derived {
                    true => assert!(value(cell).is_finite() && value(cell) >= 0.0, "{}", row.label),
                    false => assert_eq!(cell, missing, "{}", row.label),
                }
            }
        }
    }
}

#[test]
fn slope_is_read_at_the_size_and_reports_its_range() {
    let size = built_in();
    let case = &size.cases[0];
    let stats = CaseStats::new(&size.operators, case);
    let slopes =
        Slopes { slopes: vec![slope((Role::Fleet, "bytes_out"), ("bytes/s", "copies"), (6000.0, 2.0))] };
    let rows = sheet(&size, case, &slopes);
    let ring = row(&rows, Role::Fleet, "one ring: bytes out");
    assert!(is_close(value(ring.cells[0]), 6000.0 + 2.0 * 8100.0));
    assert_eq!(ring.derivation, "`bytes_out` by copies, 30 to 1,000, extrapolated: 8,100");
    assert_eq!(ring.cells[1..], [Cell::NotMeasured; 5], "without a slope by changes only calm is measured");
    assert_eq!(ring.bound, Some(8000.0));
    let sidecar = row(&rows, Role::Fleet, "bytes out");
    assert!(is_close(value(sidecar.cells[0]), stats.called_services * (6000.0 + 2.0 * stats.fleet_size)));
    assert!(
        sidecar.derivation.starts_with("`bytes_out` by copies, 30 to 1,000, within: 132; times 3.57"),
        "{}",
        sidecar.derivation
    );
    let both = row(&rows, Role::Fleet, "one ring: bytes out and in");
    assert_eq!(both.cells, [Cell::NotMeasured; 6], "a sum needs all of its figures");
}

#[test]
fn further_slopes_add_increments_and_moments_can_have_own_slopes() {
    let size = built_in();
    let case = &size.cases[0];
    let slopes = Slopes {
        slopes: vec![
            slope((Role::Fleet, "bytes_out"), ("bytes/s", "changes_per_s"), (7000.0, 100.0)),
            slope((Role::Fleet, "bytes_out"), ("bytes/s", "copies"), (6000.0, 2.0)),
            slope((Role::Fleet, "bytes_out_zone_lost"), ("bytes/s", "copies"), (60_000.0, 0.0)),
        ],
    };
    assert!(unused_slopes(&slopes).is_empty());
    let stats = CaseStats::new(&size.operators, case);
    let rows = sheet(&size, case, &slopes);
    let ring = row(&rows, Role::Fleet, "one ring: bytes out");
    let expected =
        |moment: Moment| 6000.0 + 2.0 * 8100.0 + 100.0 * stats.member_changes(moment, &size.operators, case);
    assert!(is_close(value(ring.cells[0]), expected(Moment::Calm)));
    assert!(is_close(value(ring.cells[5]), expected(Moment::Release)));
    assert!(is_close(value(ring.cells[3]), 60_000.0), "the moment has its own slope");
    assert_eq!(ring.worst().map(|(moment, _)| moment), Some(Moment::ZoneLost));
}

#[test]
fn machines_share_the_load_and_the_last_one_carries_all() {
    let size = built_in();
    let slopes = Slopes {
        slopes: vec![
            slope((Role::Discovery, "memory"), ("MB", "watches"), (5.0, 0.01)),
            slope((Role::Discovery, "cpu"), ("cores", "endpoints"), (0.0, 0.001)),
            slope((Role::Configuration, "in_force_last"), ("s", "sidecars"), (0.5, 0.001)),
        ],
    };
    let rows = sheet(&size, &size.cases[0], &slopes);
    let pairs = 8100.0 * 5000.0 / 1400.0;
    assert!(is_close(
        value(row(&rows, Role::Discovery, "memory, one of eight").cells[0]),
        5.0 + 0.01 * pairs / 8.0
    ));
    assert!(is_close(
        value(row(&rows, Role::Discovery, "memory, one left of eight").cells[0]),
        5.0 + 0.01 * pairs
    ));
    let listed_endpoints = CaseStats::new(&size.operators, &size.cases[0]).listed_endpoints;
    let cpu = value(row(&rows, Role::Discovery, "processor time, one of eight").cells[0]);
    assert!(is_close(cpu, 0.001 * listed_endpoints), "a watch reports one list, not all endpoints: {cpu}");
    let in_force = row(&rows, Role::Configuration, "until in force everywhere");
    assert!(is_close(value(in_force.cells[0]), 0.5 + 8.1));
    assert_eq!(in_force.cells[1..], [Cell::NotMeasured; 5], "only calm is measured");
}

#[test]
fn slopes_that_no_row_reads_are_unused() {
    let slopes = Slopes {
        slopes: vec![
            slope((Role::Fleet, "bytes_out"), ("kB/s", "copies"), (1.0, 1.0)),
            slope((Role::Fleet, "bytes_out"), ("bytes/s", "unknown"), (1.0, 1.0)),
            slope((Role::Console, "unknown"), ("bytes/s", "copies"), (1.0, 1.0)),
            slope((Role::Fleet, "cpu"), ("cores", "copies"), (1.0, 1.0)),
        ],
    };
    assert_eq!(unused_slopes(&slopes), [0, 1, 2]);
}

#[test]
fn left_out_point_is_compared_with_its_prediction() {
    let mut fitted = slope((Role::Fleet, "cpu"), ("cores", "copies"), (0.01, 0.001));
    fitted.left_out = vec![Point { by: 3000.0, runs: vec![2.9] }, Point { by: 8100.0, runs: vec![5.0] }];
    let slopes = Slopes { slopes: vec![fitted] };
    let tables = sections(&built_in(), &slopes, &Slopes::default());
    let predicted = &tables.iter().find(|(name, _)| name == "predicted").expect("the section should exist").1;
    assert!(predicted.contains("| 3,000 | 3.01 cores | 2.9 | +3.8% | within 15% |"), "{predicted}");
    assert!(predicted.contains("| +62.2% | off by more than 15% |"), "{predicted}");
}

#[test]
fn tables_replace_only_the_text_between_their_marks() {
    let tables = sections(&built_in(), &Slopes::default(), &Slopes::default());
    let page = format!("# Before\n\n{}\nafter\n", marked_text(&tables));
    let stale = page.replace("| sidecar |", "| sidecart |");
    assert_ne!(stale, page);
    assert_eq!(replace_sections(&stale, &tables).expect("the page should have all marks"), page);
    let without_end = page.replace("<!-- /capacity fleet -->\n", "");
    assert!(replace_sections(&without_end, &tables).expect_err("a mark is missing").contains("\"fleet\""));
    let doubled = format!("{page}{page}");
    assert!(replace_sections(&doubled, &tables).is_err());
    let unknown = format!("{page}<!-- capacity unknown -->\n<!-- /capacity unknown -->\n");
    assert!(replace_sections(&unknown, &tables).expect_err("an unknown section").contains("does not print"));
}

#[test]
fn figures_have_three_significant_digits() {
    let formatted =
        [0.0, 8100.0, 28_928.6, 132.2, 65.43, 3.571, 0.01, 0.0194, 0.35, 1e7, 99.99, 0.00012, 0.2]
            .map(format_figure);
    let expected = [
        "0",
        "8,100",
        "28,900",
        "132",
        "65.4",
        "3.57",
        "0.01",
        "0.0194",
        "0.35",
        "10,000,000",
        "100",
        "1.2e-4",
        "0.2",
    ];
    assert_eq!(formatted, expected);
}

#[test]
fn bounds_table_shows_figures_after_the_change() {
    let after = Slopes {
        slopes: vec![slope((Role::Configuration, "in_force_last"), ("s", "sidecars"), (0.5, 0.001))],
    };
    let tables = sections(&built_in(), &Slopes::default(), &after);
    let bounds = &tables.iter().find(|(name, _)| name == "bounds").expect("the section should exist").1;
    let in_force =
        bounds.lines().find(|line| line.contains("until in force everywhere")).expect("the row should exist");
    assert!(
        in_force.contains("| 10 | none |") && in_force.contains("plain: 8.6 (calm); bad: 8.6 (calm)"),
        "{in_force}"
    );
    assert!(in_force.contains("after: control machines"), "{in_force}");
    let watches = bounds.lines().find(|line| line.contains("state: watches")).expect("the row should exist");
    assert!(watches.contains("| not measured |"), "derived rows have no figure after the change: {watches}");
}

#[test]
fn slopes_by_followers_count_those_of_all_machines() {
    let size = built_in();
    let followers = ("s", "followers");
    let slopes = Slopes {
        slopes: vec![
            slope((Role::Configuration, "in_force_last"), followers, (0.5, 0.0001)),
            slope((Role::Configuration, "memory"), ("MB", "followers"), (5.0, 0.001)),
            slope((Role::Configuration, "follower_cpu"), ("cores", "followers"), (0.0001, 1e-9)),
            slope((Role::Configuration, "in_force_one_killed"), followers, (0.5, -0.0001)),
        ],
    };
    assert!(unused_slopes(&slopes).is_empty());
    let stats = CaseStats::new(&size.operators, &size.cases[0]);
    let rows = sheet(&size, &size.cases[0], &slopes);
    let calm = |label: &str| value(row(&rows, Role::Configuration, label).cells[0]);
    assert!(is_close(calm("until in force everywhere"), 0.5 + 0.81));
    assert!(is_close(
        calm("until in force everywhere, a follower for each process"),
        0.5 + 0.0001 * stats.pairs
    ));
    assert!(is_close(calm("memory, one of eight"), 5.0 + 0.001 * stats.pairs));
    assert!(is_close(calm("memory, one left of eight"), 5.0 + 0.008 * stats.pairs));
    let sidecar_cpu = (0.0001 + 1e-9 * 8100.0) * stats.called_services;
    assert!((calm("processor time, a sidecar") / sidecar_cpu - 1.0).abs() < 1e-6, "one follower per process");
    let killed = row(&rows, Role::Configuration, "until in force everywhere, one of eight killed");
    assert_eq!(killed.cells[0], Cell::NotMeasured, "a negative result is not a figure");
}
