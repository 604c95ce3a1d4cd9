//! Rows of what each role needs: what was not measured says so, what was is read at the size, and pages take the tables
//! between their marks.

use landingspread_capacity::{
    BUILT_IN, Cell, Line, Moment, Point, Role, Size, Slope, Slopes, Source, Sums, figure, put, sections,
    sheet, text, unread,
};

fn built_in() -> Size {
    Size::read("size", BUILT_IN).expect("the built-in size")
}

/// A slope with no spread and no residual.
fn slope((role, figure): (Role, &str), (unit, by): (&str, &str), (at_rest, each): (f64, f64)) -> Slope {
    let source = Source { command: "scale".into(), build: "b".into(), machine: "m".into() };
    let points = [30.0, 1000.0].map(|by| Point { by, runs: vec![at_rest + each * by] });
    Slope::fitted((role, figure), (unit, by), points.into(), &source).expect("a fit")
}

fn row<'a>(lines: &'a [Line], role: Role, what: &str) -> &'a Line {
    lines.iter().find(|line| line.role == role && line.what == what).expect(what)
}

fn value(cell: Cell) -> f64 {
    match cell {
        Cell::Figure(figure) => figure,
        other => panic!("{other:?}"),
    }
}

fn near(one: f64, other: f64) -> bool {
    (one - other).abs() <= 1e-6 * other.abs().max(1.0)
}

#[test]
fn without_slopes_nothing_is_said_but_what_the_protocol_gives() {
    let size = built_in();
    for case in &size.cases {
        for line in sheet(&size, case, &Slopes::default()) {
            let derived = line.from.starts_with("derived: ");
            let none = if line.role == Role::Configuration { Cell::NoMechanism } else { Cell::NotMeasured };
            for cell in line.cells {
                match derived {
                    true => assert!(value(cell).is_finite() && value(cell) >= 0.0, "{}", line.what),
                    false => assert_eq!(cell, none, "{}", line.what),
                }
            }
        }
    }
}

#[test]
fn a_slope_is_read_at_the_size_and_says_from_where_to_where() {
    let size = built_in();
    let case = &size.cases[0];
    let sums = Sums::of(&size.operators, case);
    let slopes =
        Slopes { slopes: vec![slope((Role::Fleet, "bytes_out"), ("bytes/s", "copies"), (6000.0, 2.0))] };
    let lines = sheet(&size, case, &slopes);
    let ring = row(&lines, Role::Fleet, "one ring: bytes out");
    assert!(near(value(ring.cells[0]), 6000.0 + 2.0 * 8100.0));
    assert_eq!(ring.from, "`bytes_out` by copies, 30 to 1,000, extrapolated: 8,100");
    assert_eq!(ring.cells[1..], [Cell::NotMeasured; 5], "no slope by changes, so calm alone was measured");
    assert_eq!(ring.bound, Some(8000.0));
    let each = row(&lines, Role::Fleet, "bytes out");
    assert!(near(value(each.cells[0]), sums.called * (6000.0 + 2.0 * sums.sharers)));
    assert!(
        each.from.starts_with("`bytes_out` by copies, 30 to 1,000, within: 132; times 3.57"),
        "{}",
        each.from
    );
    let both = row(&lines, Role::Fleet, "one ring: bytes out and in");
    assert_eq!(both.cells, [Cell::NotMeasured; 6], "half of a sum is none");
}

#[test]
fn further_slopes_add_what_each_one_more_adds_and_moments_have_their_own() {
    let size = built_in();
    let case = &size.cases[0];
    let slopes = Slopes {
        slopes: vec![
            slope((Role::Fleet, "bytes_out"), ("bytes/s", "changes_per_s"), (7000.0, 100.0)),
            slope((Role::Fleet, "bytes_out"), ("bytes/s", "copies"), (6000.0, 2.0)),
            slope((Role::Fleet, "bytes_out_zone_lost"), ("bytes/s", "copies"), (60_000.0, 0.0)),
        ],
    };
    assert!(unread(&slopes).is_empty());
    let sums = Sums::of(&size.operators, case);
    let lines = sheet(&size, case, &slopes);
    let ring = row(&lines, Role::Fleet, "one ring: bytes out");
    let at =
        |moment: Moment| 6000.0 + 2.0 * 8100.0 + 100.0 * sums.member_changes(moment, &size.operators, case);
    assert!(near(value(ring.cells[0]), at(Moment::Calm)));
    assert!(near(value(ring.cells[5]), at(Moment::Release)));
    assert!(near(value(ring.cells[3]), 60_000.0), "measured at that moment");
    assert_eq!(ring.worst().map(|(moment, _)| moment), Some(Moment::ZoneLost));
}

#[test]
fn machines_share_what_all_sidecars_want_and_one_that_is_left_has_it_all() {
    let size = built_in();
    let slopes = Slopes {
        slopes: vec![
            slope((Role::Discovery, "memory"), ("MB", "watches"), (5.0, 0.01)),
            slope((Role::Discovery, "cpu"), ("cores", "endpoints"), (0.0, 0.001)),
            slope((Role::Configuration, "in_force_last"), ("s", "sidecars"), (0.5, 0.001)),
        ],
    };
    let lines = sheet(&size, &size.cases[0], &slopes);
    let pairs = 8100.0 * 5000.0 / 1400.0;
    assert!(near(
        value(row(&lines, Role::Discovery, "memory, one of eight").cells[0]),
        5.0 + 0.01 * pairs / 8.0
    ));
    assert!(near(
        value(row(&lines, Role::Discovery, "memory, one left of eight").cells[0]),
        5.0 + 0.01 * pairs
    ));
    let listed = Sums::of(&size.operators, &size.cases[0]).listed;
    let cpu = value(row(&lines, Role::Discovery, "processor time, one of eight").cells[0]);
    assert!(near(cpu, 0.001 * listed), "a watch tells of one list, not of all endpoints: {cpu}");
    let force = row(&lines, Role::Configuration, "until in force everywhere");
    assert!(near(value(force.cells[0]), 0.5 + 8.1));
    assert_eq!(force.cells[1..], [Cell::NotMeasured; 5], "measured in calm alone");
}

#[test]
fn slopes_that_no_row_reads_are_told() {
    let slopes = Slopes {
        slopes: vec![
            slope((Role::Fleet, "bytes_out"), ("kB/s", "copies"), (1.0, 1.0)),
            slope((Role::Fleet, "bytes_out"), ("bytes/s", "moons"), (1.0, 1.0)),
            slope((Role::Console, "bites"), ("bytes/s", "copies"), (1.0, 1.0)),
            slope((Role::Fleet, "cpu"), ("cores", "copies"), (1.0, 1.0)),
        ],
    };
    assert_eq!(unread(&slopes), [0, 1, 2]);
}

#[test]
fn a_point_left_out_is_held_against_its_prediction() {
    let mut near = slope((Role::Fleet, "cpu"), ("cores", "copies"), (0.01, 0.001));
    near.left_out = vec![Point { by: 3000.0, runs: vec![2.9] }, Point { by: 8100.0, runs: vec![5.0] }];
    let slopes = Slopes { slopes: vec![near] };
    let parts = sections(&built_in(), &slopes, &Slopes::default());
    let predicted = &parts.iter().find(|(name, _)| name == "predicted").expect("the part").1;
    assert!(predicted.contains("| 3,000 | 3.01 cores | 2.9 | +3.8% | within 15% |"), "{predicted}");
    assert!(predicted.contains("| +62.2% | off by more than 15% |"), "{predicted}");
}

#[test]
fn pages_take_tables_between_their_marks_and_nowhere_else() {
    let parts = sections(&built_in(), &Slopes::default(), &Slopes::default());
    let page = format!("# Before\n\n{}\nafter\n", text(&parts));
    let stale = page.replace("| sidecar |", "| sidecart |");
    assert_ne!(stale, page);
    assert_eq!(put(&stale, &parts).expect("all marks"), page);
    let lacks = page.replace("<!-- /capacity fleet -->\n", "");
    assert!(put(&lacks, &parts).expect_err("a mark lacks").contains("\"fleet\""));
    let twice = format!("{page}{page}");
    assert!(put(&twice, &parts).is_err());
    let more = format!("{page}<!-- capacity moons -->\n<!-- /capacity moons -->\n");
    assert!(put(&more, &parts).expect_err("a part too many").contains("doesn't give"));
}

#[test]
fn figures_have_three_digits_that_count() {
    let told = [0.0, 8100.0, 28_928.6, 132.2, 65.43, 3.571, 0.01, 0.0194, 0.35, 1e7, 99.99, 0.00012, 0.2]
        .map(figure);
    let wanted = [
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
    assert_eq!(told, wanted);
}

#[test]
fn needs_after_stand_beside_those_of_today() {
    let after = Slopes {
        slopes: vec![slope((Role::Configuration, "in_force_last"), ("s", "sidecars"), (0.5, 0.001))],
    };
    let parts = sections(&built_in(), &Slopes::default(), &after);
    let bounds = &parts.iter().find(|(name, _)| name == "bounds").expect("the part").1;
    let force = bounds.lines().find(|line| line.contains("until in force everywhere")).expect("the row");
    assert!(
        force.contains("| 10 | none |") && force.contains("plain: 8.6 (calm); bad: 8.6 (calm)"),
        "{force}"
    );
    assert!(force.contains("after: control machines"), "{force}");
    let watches = bounds.lines().find(|line| line.contains("state: watches")).expect("the row");
    assert!(watches.contains("| not measured |"), "what is derived is no need after: {watches}");
}

#[test]
fn followers_are_counted_over_all_machines_and_one_left_has_eight_times_its_part() {
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
    assert!(unread(&slopes).is_empty());
    let sums = Sums::of(&size.operators, &size.cases[0]);
    let lines = sheet(&size, &size.cases[0], &slopes);
    let calm = |what: &str| value(row(&lines, Role::Configuration, what).cells[0]);
    assert!(near(calm("until in force everywhere"), 0.5 + 0.81));
    assert!(near(calm("until in force everywhere, a follower for each process"), 0.5 + 0.0001 * sums.pairs));
    assert!(near(calm("memory, one of eight"), 5.0 + 0.001 * sums.pairs));
    assert!(near(calm("memory, one left of eight"), 5.0 + 0.008 * sums.pairs));
    let each = (0.0001 + 1e-9 * 8100.0) * sums.called;
    assert!((calm("processor time, a sidecar") / each - 1.0).abs() < 1e-6, "one for each of its processes");
    let killed = row(&lines, Role::Configuration, "until in force everywhere, one of eight killed");
    assert_eq!(killed.cells[0], Cell::NotMeasured, "a line that falls below nothing is no figure");
}
