//! The size file: the built-in figures and their totals, the statistics of a case, and errors with line and key.

use landingspread_capacity::{BUILT_IN, CaseStats, Moment, Size};

fn built_in() -> Size {
    Size::read("size", BUILT_IN).expect("the built-in size should be valid")
}

fn is_close(actual: f64, expected: f64) -> bool {
    (actual - expected).abs() <= 1e-6 * expected.abs().max(1.0)
}

#[test]
fn built_in_size_has_the_operators_figures() {
    let operators = built_in().operators;
    assert_eq!((operators.endpoints, operators.services, operators.deep), (8100, 1400, 17));
    assert_eq!((operators.regions, operators.zones, operators.changes_a_day), (2, 5, 3200));
    assert_eq!(
        (operators.control_machines, operators.machines_fail_a_day, operators.restarted_a_day),
        (8, 32, 710)
    );
    let figures = [operators.calls_per_s, operators.added_ms, operators.in_force_s, operators.cut_hours];
    assert_eq!(figures, [530_000.0, 0.35, 10.0, 1.0]);
    let bounds = [operators.sidecar_cores, operators.sidecar_mb, operators.sidecar_bytes_per_s];
    assert_eq!(bounds, [0.01, 64.0, 8000.0]);
}

#[test]
fn both_cases_add_up_to_the_operators_totals() {
    let size = built_in();
    assert_eq!(size.cases.iter().map(|case| case.name.as_str()).collect::<Vec<_>>(), ["plain", "bad"]);
    for case in &size.cases {
        let count: u64 = case.services.iter().map(|(count, _)| count).sum();
        let endpoints: u64 = case.services.iter().map(|(count, each)| count * each).sum();
        assert_eq!((count, endpoints), (1400, 8100), "{}", case.name);
        let with_two_or_three: u64 =
            case.services.iter().filter(|(_, each)| (2..=3).contains(each)).map(|(count, _)| count).sum();
        assert!(with_two_or_three > 1400 / 2, "most services should have two or three endpoints");
        assert!(
            case.services.iter().any(|(count, each)| *each >= 200 && *count < 10),
            "a few services should have hundreds of endpoints"
        );
    }
}

/// The lines of a case with two services of 3 and 1 endpoints and a single pair of caller and called service.
const TWO_SERVICE_CASE: &str = "pairing = \"PAIRING\"\nservices = [[1, 3], [1, 1]]\ncalled = [[1, 1], [1, 0]]\ncallers = [[1, 1], [1, 0]]\n";

/// The built-in size with the case reduced to [`TWO_SERVICE_CASE`].
fn two_service_size(pairing: &str) -> Size {
    let case = BUILT_IN.split("\n[[case]]\n").nth(1).expect("the file should have a case");
    let is_kept = |line: &&str| {
        !["pairing", "services", "called", "callers"].iter().any(|key| line.starts_with(&format!("{key} =")))
    };
    let case: Vec<&str> = case
        .split("\n[[assumption]]\n")
        .next()
        .expect("the file should have a case")
        .lines()
        .filter(is_kept)
        .collect();
    let operators = BUILT_IN.split("\n[[case]]\n").next().expect("the file should have operators");
    let operators =
        operators.replace("endpoints = 8100", "endpoints = 4").replace("services = 1400", "services = 2");
    let reasons = BUILT_IN.split_once("\n[[assumption]]\n").expect("the file should have reasons").1;
    let reduced = TWO_SERVICE_CASE.replace("PAIRING", pairing);
    let text = format!("{operators}\n[[case]]\n{reduced}{}\n[[assumption]]\n{reasons}", case.join("\n"));
    Size::read("small", &text).expect("the reduced size should be valid")
}

#[test]
fn two_service_case_has_the_counted_statistics() {
    let stats = |pairing| {
        let size = two_service_size(pairing);
        CaseStats::new(&size.operators, &size.cases[0])
    };
    // There is one pair of two services, and a service has 2 endpoints on average, so 2 of 4 sidecars call.
    let even = stats("even");
    assert!(
        is_close(even.called_services, 0.5)
            && is_close(even.pairs, 2.0)
            && is_close(even.listed_endpoints, 2.0)
    );
    assert!(
        is_close(even.fleet_size, 2.0)
            && is_close(even.notified_sidecars, 1.0)
            && even.called_services_max == 1.0
    );
    // The called service is the larger one: its 3 endpoints are listed, and 3 of 4 endpoints have 2 sidecars to notify.
    let rank = stats("rank");
    assert!(is_close(rank.listed_endpoints, 3.0) && is_close(rank.notified_sidecars, 1.5));
}

#[test]
fn change_rates_follow_the_operators_figures() {
    let size = built_in();
    let (operators, case) = (&size.operators, &size.cases[0]);
    let stats = CaseStats::new(operators, case);
    // 32 machines of 4 endpoints and 710 restarted endpoints, each removed and added once a day.
    let calm = stats.list_changes(Moment::Calm, operators, case);
    assert!(is_close(calm, 2.0 * (128.0 + 710.0) / 86_400.0), "{calm}");
    assert!(is_close(stats.configuration_changes(Moment::Calm, operators, case), 3200.0 / 86_400.0));
    assert!(is_close(stats.configuration_changes(Moment::BusiestMinute, operators, case), 32.0 / 60.0));
    let zone = stats.list_changes(Moment::ZoneLost, operators, case);
    assert!(is_close(zone - calm, 162.0), "a fifth of 8,100 endpoints within 10 s: {zone}");
    let back = stats.configuration_changes(Moment::RegionBack, operators, case);
    assert!(
        is_close(back, 3200.0 / 86_400.0 + 3200.0 / 24.0 / 10.0),
        "an hour's changes within 10 s: {back}"
    );
    let release = stats.list_changes(Moment::Release, operators, case);
    assert!(is_close(release - calm, 4.5), "8,100 endpoints removed and added in an hour: {release}");
}

#[test]
fn errors_name_line_and_key() {
    let line = |text: &str| 1 + BUILT_IN.lines().position(|line| line.starts_with(text)).expect(text);
    let error = |from: &str, to: &str| {
        assert!(BUILT_IN.contains(from), "{from}");
        Size::read("f", &BUILT_IN.replacen(from, to, 1)).expect_err(to).to_string()
    };
    let message = error("services = [[4, 320]", "services = [[4, 321]");
    let expected = format!("f:{}: case.0.services: 1400 services with 8104 endpoints", line("services = [["));
    assert!(message.starts_with(&expected), "{message}");
    assert!(
        error("[200, 0], [600, 1], [400, 3]", "[200, 0], [600, 1], [400, 2]").contains("`called` has 5000")
    );
    assert!(error("[350, 0], [400, 2]", "[351, 0], [400, 2]").contains("case.0.called: 1401 services"));
    assert!(error("[[4, 320], [12, 110]", "[[4, 320], [12, -110]").starts_with("f:"));
    assert!(error("zone_part = 0.2", "zone_part = 1.2").contains("case.0.zone_part: 1.2; expected"));
    assert!(error("release_s = 3600.0", "release_s = nan").contains("case.0.release_s: NaN"));
    assert!(error("calls_per_s = 530000.0", "calls_per_s = -1.0").contains("operators.calls_per_s: -1"));
    assert!(error("added_ms =", "added_msec =").contains("did you mean `added_ms`?"));
    assert!(error("pairing = \"even\"", "pairing = \"evan\"").contains("did you mean `even`?"));
    assert!(error("name = \"bad\"", "name = \"plain\"").contains("case.1.name"));
    assert!(
        error("key = \"called\"", "key = \"caled\"").contains("assumption.1.key: \"caled\" is not a key")
    );
    assert!(error("key = \"called\"", "key = \"services\"").contains("has two reasons"));
    let reason = BUILT_IN
        .lines()
        .find(|line| line.starts_with("why = \"17 deep"))
        .expect("the file should have a reason");
    assert!(error(reason, "why = \"\"").contains("assumption.1.why: expected a reason"));
    let last = BUILT_IN.rfind("[[assumption]]").expect("the file should have a reason");
    let message = Size::read("f", &BUILT_IN[..last]).expect_err("a reason is missing").to_string();
    assert!(message.contains("\"change_services\" has no reason"), "{message}");
    assert!(Size::read("f", "").expect_err("an empty file").to_string().contains("operators"));
}
