//! The file of a size: the built-in one holds the operators' list and sums to it, and faults are told by line and key.

use landingspread_capacity::{BUILT_IN, Moment, Size, Sums};

fn built_in() -> Size {
    Size::read("size", BUILT_IN).expect("the built-in size")
}

fn near(one: f64, other: f64) -> bool {
    (one - other).abs() <= 1e-6 * other.abs().max(1.0)
}

#[test]
fn the_built_in_size_is_the_operators_list() {
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
fn both_cases_sum_to_the_operators_services_and_endpoints() {
    let size = built_in();
    assert_eq!(size.cases.iter().map(|case| case.name.as_str()).collect::<Vec<_>>(), ["plain", "bad"]);
    for case in &size.cases {
        let count: u64 = case.services.iter().map(|(count, _)| count).sum();
        let endpoints: u64 = case.services.iter().map(|(count, each)| count * each).sum();
        assert_eq!((count, endpoints), (1400, 8100), "{}", case.name);
        let small: u64 =
            case.services.iter().filter(|(_, each)| (2..=3).contains(each)).map(|(count, _)| count).sum();
        assert!(small > 1400 / 2, "most have two or three");
        assert!(case.services.iter().any(|(count, each)| *each >= 200 && *count < 10), "a few have hundreds");
    }
}

/// Two services of 3 and 1 endpoints; the large one calls the small one.
const SMALL: &str = "pairing = \"PAIRING\"\nservices = [[1, 3], [1, 1]]\ncalled = [[1, 1], [1, 0]]\ncallers = [[1, 1], [1, 0]]\n";

fn small(pairing: &str) -> Size {
    let case = BUILT_IN.split("\n[[case]]\n").nth(1).expect("a case");
    let kept = |line: &&str| {
        !["pairing", "services", "called", "callers"].iter().any(|key| line.starts_with(&format!("{key} =")))
    };
    let case: Vec<&str> =
        case.split("\n[[assumption]]\n").next().expect("a case").lines().filter(kept).collect();
    let operators = BUILT_IN.split("\n[[case]]\n").next().expect("operators");
    let operators =
        operators.replace("endpoints = 8100", "endpoints = 4").replace("services = 1400", "services = 2");
    let reasons = BUILT_IN.split_once("\n[[assumption]]\n").expect("reasons").1;
    let own = SMALL.replace("PAIRING", pairing);
    let text = format!("{operators}\n[[case]]\n{own}{}\n[[assumption]]\n{reasons}", case.join("\n"));
    Size::read("small", &text).expect("a small size")
}

#[test]
fn sums_are_those_of_a_case_small_enough_to_count() {
    let of = |pairing| {
        let size = small(pairing);
        Sums::of(&size.operators, &size.cases[0])
    };
    // One pair of services among two, a service has 2 endpoints on average: 2 sidecars call, of 4.
    let even = of("even");
    assert!(near(even.called, 0.5) && near(even.pairs, 2.0) && near(even.listed, 2.0));
    assert!(near(even.sharers, 2.0) && near(even.hearers, 1.0) && even.called_most == 1.0);
    // The one that is called is the larger one: its 3 endpoints are listed, and 3 of 4 have 2 hearers.
    let rank = of("rank");
    assert!(near(rank.listed, 3.0) && near(rank.hearers, 1.5));
}

#[test]
fn moments_have_the_changes_that_the_list_says() {
    let size = built_in();
    let (operators, case) = (&size.operators, &size.cases[0]);
    let sums = Sums::of(operators, case);
    // 32 machines of 4 endpoints and 710, away and back.
    let calm = sums.list_changes(Moment::Calm, operators, case);
    assert!(near(calm, 2.0 * (128.0 + 710.0) / 86_400.0), "{calm}");
    assert!(near(sums.configuration_changes(Moment::Calm, operators, case), 3200.0 / 86_400.0));
    assert!(near(sums.configuration_changes(Moment::BusiestMinute, operators, case), 32.0 / 60.0));
    let zone = sums.list_changes(Moment::ZoneLost, operators, case);
    assert!(near(zone - calm, 162.0), "a fifth of 8,100 in 10 s: {zone}");
    let back = sums.configuration_changes(Moment::RegionBack, operators, case);
    assert!(near(back, 3200.0 / 86_400.0 + 3200.0 / 24.0 / 10.0), "an hour's in 10 s: {back}");
    let release = sums.list_changes(Moment::Release, operators, case);
    assert!(near(release - calm, 4.5), "8,100 away and back in an hour: {release}");
}

#[test]
fn faults_are_told_by_line_and_key() {
    let line = |text: &str| 1 + BUILT_IN.lines().position(|line| line.starts_with(text)).expect(text);
    let told = |from: &str, to: &str| {
        assert!(BUILT_IN.contains(from), "{from}");
        Size::read("f", &BUILT_IN.replacen(from, to, 1)).expect_err(to).to_string()
    };
    let wrong = told("services = [[4, 320]", "services = [[4, 321]");
    let wanted = format!("f:{}: case.0.services: 1400 services with 8104 endpoints", line("services = [["));
    assert!(wrong.starts_with(&wanted), "{wrong}");
    assert!(
        told("[200, 0], [600, 1], [400, 3]", "[200, 0], [600, 1], [400, 2]").contains("`called` has 5000")
    );
    assert!(told("[350, 0], [400, 2]", "[351, 0], [400, 2]").contains("case.0.called: 1401 services"));
    assert!(told("[[4, 320], [12, 110]", "[[4, 320], [12, -110]").starts_with("f:"));
    assert!(told("zone_part = 0.2", "zone_part = 1.2").contains("case.0.zone_part: 1.2; expected"));
    assert!(told("release_s = 3600.0", "release_s = nan").contains("case.0.release_s: NaN"));
    assert!(told("calls_per_s = 530000.0", "calls_per_s = -1.0").contains("operators.calls_per_s: -1"));
    assert!(told("added_ms =", "added_msec =").contains("did you mean `added_ms`?"));
    assert!(told("pairing = \"even\"", "pairing = \"evan\"").contains("did you mean `even`?"));
    assert!(told("name = \"bad\"", "name = \"plain\"").contains("case.1.name"));
    assert!(told("key = \"called\"", "key = \"caled\"").contains("assumption.1.key: \"caled\" is no key"));
    assert!(told("key = \"called\"", "key = \"services\"").contains("stands twice"));
    let reason = BUILT_IN.lines().find(|line| line.starts_with("why = \"17 deep")).expect("a reason");
    assert!(told(reason, "why = \"\"").contains("assumption.1.why: expected a reason"));
    let last = BUILT_IN.rfind("[[assumption]]").expect("a reason");
    let wrong = Size::read("f", &BUILT_IN[..last]).expect_err("one too few").to_string();
    assert!(wrong.contains("\"change_services\" has no reason"), "{wrong}");
    assert!(Size::read("f", "").expect_err("empty").to_string().contains("operators"));
}
