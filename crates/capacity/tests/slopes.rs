//! The slopes file: fits, writing and reading back, and errors with line and key.

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
    let mut first = fitted.expect("the points should give a fit");
    first.left_out.push(point(1000.0, &[99.0]));
    let points = vec![point(1.0, &[5.0]), point(2.0, &[5.0])];
    let second = Slope::fitted((Role::Console, "memory"), ("MB", "sidecars"), points, &source());
    Slopes { slopes: vec![first, second.expect("the points should give a fit")] }
}

#[test]
fn fit_recovers_line_residual_and_spread() {
    let exact = [point(10.0, &[23.0]), point(20.0, &[43.0]), point(100.0, &[203.0])];
    let fit = Fit::least_squares(&exact).expect("the points should give a fit");
    assert!((fit.each - 2.0).abs() < 1e-9 && (fit.at_rest - 3.0).abs() < 1e-9);
    assert!(fit.residual < 1e-9 && fit.spread == 0.0);
    // The sizes 0, 1, 2 have the means 1, 0, 2. The fit has the gradient 0.5 and the intercept 0.5; it differs by 0.5 from 1,
    // by 1 from 0 and by 0.5 from 2.
    let scattered = [point(0.0, &[0.9, 1.1]), point(1.0, &[0.0]), point(2.0, &[2.0])];
    let fit = Fit::least_squares(&scattered).expect("the points should give a fit");
    assert!((fit.each - 0.5).abs() < 1e-9 && (fit.at_rest - 0.5).abs() < 1e-9);
    assert!((fit.residual - 1.0).abs() < 1e-9, "{}", fit.residual);
    assert!((fit.spread - 0.2).abs() < 1e-9, "{}", fit.spread);
}

#[test]
fn fit_needs_two_sizes_and_finite_runs() {
    assert!(Fit::least_squares(&[]).is_err());
    assert!(Fit::least_squares(&[point(3.0, &[1.0]), point(3.0, &[2.0])]).is_err());
    assert!(Fit::least_squares(&[point(3.0, &[1.0]), point(4.0, &[])]).is_err());
    assert!(Fit::least_squares(&[point(3.0, &[1.0]), point(4.0, &[f64::NAN])]).is_err());
}

#[test]
fn written_slopes_are_read_back_equal() {
    let slopes = slopes();
    let read = Slopes::read("f", &slopes.write()).expect("written slopes should be valid");
    assert_eq!(read, slopes);
    let first = read.find(Role::Fleet, "bytes_out", "copies").expect("the first slope should be found");
    assert!(first.is_extrapolated(8100.0) && !first.is_extrapolated(300.0));
    let (size, predicted, measured) =
        first.predictions().next().expect("the slope should have a left-out point");
    assert!(size == 1000.0 && measured == 99.0 && (predicted - first.at(1000.0)).abs() < 1e-9);
    assert_eq!(read.find(Role::Fleet, "bytes_out", "endpoints"), None);
    assert_eq!(Slopes::read("f", "").expect("an empty file should be valid"), Slopes::default());
}

#[test]
fn errors_name_line_and_key() {
    let text = slopes().write();
    let error = |from: &str, to: &str| {
        assert!(text.contains(from), "{from} in {text}");
        Slopes::read("f", &text.replacen(from, to, 1)).expect_err(to).to_string()
    };
    assert!(error("figure =", "figur =").contains("did you mean `figure`?"));
    assert!(error("role = \"fleet\"", "role = \"fleat\"").contains("did you mean `fleet`?"));
    assert!(error("\"bytes_out\"", "\"Bytes out\"").starts_with("f:5: slope.0.figure: "));
    assert!(error("runs = 3", "runs = 4").starts_with("f:12: slope.0.runs: 4; the points have 3"));
    assert!(error("from = 30.0", "from = 10.0").starts_with("f:13: slope.0.from: "));
    assert!(error("to = 300.0", "to = 8100.0").contains("slope.0."));
    assert!(error("[30.0, 4.0, 4.1, 3.9]", "[30.0, 5.0, 5.1, 4.9]").contains("the points give"));
    assert!(error("[30.0, 4.0, 4.1, 3.9]", "[30.0]").starts_with("f:15: "));
    assert!(error("[30.0, 4.0, 4.1, 3.9]", "[30.0, nan]").starts_with("f:15: "));
    assert!(error("machine = \"8 cores, 24 GB\"", "machine = \"\"").starts_with("f:19: slope.0.machine: "));
    assert!(error("command =", "each =").starts_with("f:17: "));
    let doubled = format!("{text}{}", text.split_once('\n').expect("the file should have a first line").1);
    let message = Slopes::read("f", &doubled).expect_err("a duplicate slope").to_string();
    assert!(message.contains("slope.2.figure: bytes_out of fleet by copies is listed twice"), "{message}");
}
