//! The file of slopes: what is fitted, written and read again, and how a fault in it is told.

use landingspread_capacity::{Fit, Point, Role, Slope, Slopes, Source};

fn point(by: f64, runs: &[f64]) -> Point {
    Point { by, runs: runs.into() }
}

fn source() -> Source {
    Source {
        command: "landingspread-lab scale --by \"copies\"".into(),
        build: "1a2b3c4, release".into(),
        machine: "8 cores, 24 GB".into(),
    }
}

fn slopes() -> Slopes {
    let points =
        vec![point(30.0, &[4.0, 4.1, 3.9]), point(100.0, &[11.0, 11.2, 10.9]), point(300.0, &[30.0; 3])];
    let fitted = Slope::fitted((Role::Fleet, "bytes_out"), ("bytes/s", "copies"), points, &source());
    let mut first = fitted.expect("a fit");
    first.left_out.push(point(1000.0, &[99.0]));
    let points = vec![point(1.0, &[5.0]), point(2.0, &[5.0])];
    let second = Slope::fitted((Role::Console, "memory"), ("MB", "sidecars"), points, &source());
    Slopes { slopes: vec![first, second.expect("a fit")] }
}

#[test]
fn a_line_is_found_again_with_its_residual_and_spread() {
    let exact = [point(10.0, &[23.0]), point(20.0, &[43.0]), point(100.0, &[203.0])];
    let fit = Fit::of(&exact).expect("a fit");
    assert!((fit.each - 2.0).abs() < 1e-9 && (fit.at_rest - 3.0).abs() < 1e-9);
    assert!(fit.residual < 1e-9 && fit.spread == 0.0);
    // 0, 1, 2 against 1, 0, 2 (means): each 0.5, at rest 0.5; off by 0.5 of 1, by 1 of 0, by 0.5 of 2.
    let off = [point(0.0, &[0.9, 1.1]), point(1.0, &[0.0]), point(2.0, &[2.0])];
    let fit = Fit::of(&off).expect("a fit");
    assert!((fit.each - 0.5).abs() < 1e-9 && (fit.at_rest - 0.5).abs() < 1e-9);
    assert!((fit.residual - 1.0).abs() < 1e-9, "{}", fit.residual);
    assert!((fit.spread - 0.2).abs() < 1e-9, "{}", fit.spread);
}

#[test]
fn no_fit_through_one_size_or_no_run() {
    assert!(Fit::of(&[]).is_err());
    assert!(Fit::of(&[point(3.0, &[1.0]), point(3.0, &[2.0])]).is_err());
    assert!(Fit::of(&[point(3.0, &[1.0]), point(4.0, &[])]).is_err());
    assert!(Fit::of(&[point(3.0, &[1.0]), point(4.0, &[f64::NAN])]).is_err());
}

#[test]
fn what_is_written_is_read_again() {
    let slopes = slopes();
    let read = Slopes::read("f", &slopes.write()).expect("its own form");
    assert_eq!(read, slopes);
    let first = read.of(Role::Fleet, "bytes_out", "copies").expect("the first");
    assert!(first.is_extrapolated(8100.0) && !first.is_extrapolated(300.0));
    let (size, predicted, measured) = first.predictions().next().expect("one left out");
    assert!(size == 1000.0 && measured == 99.0 && (predicted - first.at(1000.0)).abs() < 1e-9);
    assert_eq!(read.of(Role::Fleet, "bytes_out", "endpoints"), None);
    assert_eq!(Slopes::read("f", "").expect("nothing measured"), Slopes::default());
}

#[test]
fn faults_are_told_by_line_and_key() {
    let text = slopes().write();
    let told = |from: &str, to: &str| {
        assert!(text.contains(from), "{from} in {text}");
        Slopes::read("f", &text.replacen(from, to, 1)).expect_err(to).to_string()
    };
    assert!(told("figure =", "figur =").contains("did you mean `figure`?"));
    assert!(told("role = \"fleet\"", "role = \"fleat\"").contains("did you mean `fleet`?"));
    assert!(told("\"bytes_out\"", "\"Bytes out\"").starts_with("f:5: slope.0.figure: "));
    assert!(told("runs = 3", "runs = 4").starts_with("f:12: slope.0.runs: 4; the points have 3"));
    assert!(told("from = 30.0", "from = 10.0").starts_with("f:13: slope.0.from: "));
    assert!(told("to = 300.0", "to = 8100.0").contains("slope.0."));
    assert!(told("[30.0, 4.0, 4.1, 3.9]", "[30.0, 5.0, 5.1, 4.9]").contains("the points give"));
    assert!(told("[30.0, 4.0, 4.1, 3.9]", "[30.0]").starts_with("f:15: "));
    assert!(told("[30.0, 4.0, 4.1, 3.9]", "[30.0, nan]").starts_with("f:15: "));
    assert!(told("machine = \"8 cores, 24 GB\"", "machine = \"\"").starts_with("f:19: slope.0.machine: "));
    assert!(told("command =", "each =").starts_with("f:17: "));
    let twice = format!("{text}{}", text.split_once('\n').expect("a first line").1);
    let told = Slopes::read("f", &twice).expect_err("twice").to_string();
    assert!(told.contains("slope.2.figure: bytes_out of fleet by copies stands twice"), "{told}");
}
