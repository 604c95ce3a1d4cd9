//! A short run of the lab's comparison of direct load and load through a sidecar. It checks only results that do not
//! depend on the speed of the machine.

use landingspread_lab::sockets::added::{AddedLatencyPlan, measure, quantile, render_table};
use landingspread_lab::sockets::run_dir;
use std::time::Duration;

#[test]
fn direct_and_proxied_turns_answer_all_calls() {
    let length = Duration::from_millis(500);
    let turns = AddedLatencyPlan { rate: 100.0, pairs: 2, run_duration: length, connections: 2, servers: 2 };
    let dir = run_dir("added-test").expect("failed to create the run directory");
    let pairs =
        measure(&turns, &[env!("CARGO_BIN_EXE_landingspread").into()], &dir).expect("measurement failed");
    assert_eq!(pairs.len(), 2);
    for pair in &pairs {
        let [through] = &pair.via_sidecar[..] else {
            panic!("expected one turn through the sidecar, for one build")
        };
        for turn in [&pair.direct, through] {
            assert!(turn.answered > 10 && turn.unanswered == 0, "{turn:?}");
            assert!(turn.p50 > 0.0 && turn.p50 <= turn.p99, "{turn:?}");
        }
        assert!(through.cpu_us_per_request > 0.0 && through.sleeps_per_request > 0.0, "{through:?}");
        assert_eq!((pair.direct.cpu_us_per_request, pair.direct.sleeps_per_request), (0.0, 0.0));
    }
    let page = render_table(&turns, &pairs);
    assert!(page.contains("| straight |") && page.contains("| through |"), "{page}");
}

#[test]
fn quantile_uses_the_nearest_rank() {
    let sorted: Vec<f64> = (1..=100).map(f64::from).collect();
    assert_eq!(
        (quantile(&sorted, 0.5), quantile(&sorted, 0.99), quantile(&sorted, 1.0)),
        (50.0, 99.0, 100.0)
    );
    assert_eq!((quantile(&sorted[..1], 0.99), quantile(&sorted, 0.0), quantile(&[], 0.5)), (1.0, 1.0, 0.0));
}
