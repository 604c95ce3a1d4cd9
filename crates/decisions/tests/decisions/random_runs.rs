//! Random sequences of events with a fixed seed: the scripted host checks its rules at every call.

use crate::scripted_host::{Harness, entry, ms, test_settings};
use landingspread_decisions::host::{Lifecycle, LoadReport, Outcome};
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngAlgorithm, RngSeed};

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// One random event: the action, the selector of its request or server, and the variant; interpreted by `step`.
type Step = (u8, u16, u16);

fn step(harness: &mut Harness, (action, selector, variant): Step) {
    let server = format!("s{}", selector % 9);
    match action {
        0..=1 => {
            harness.submit_incomplete(usize::from(selector % 4));
        }
        2 => {
            let incomplete = harness.incomplete_requests();
            if let Some(id) = incomplete.get(usize::from(selector) % incomplete.len().max(1)) {
                harness.complete_body(id, ms(u64::from(variant % 3000)));
            }
        }
        3..=4 => {
            harness.submit(usize::from(selector % 4), ms(u64::from(variant % 3000)));
        }
        5..=8 => {
            let open = harness.open_attempts();
            if let Some((id, number)) = open.get(usize::from(selector) % open.len().max(1)).cloned() {
                let in_flight = (variant % 3 == 0).then(|| f64::from(variant % 40));
                let reported_utilization = (variant % 4 == 0).then(|| f64::from(variant % 10) / 9.0);
                let load =
                    LoadReport { in_flight, utilization: reported_utilization, ..LoadReport::default() };
                let incomplete = harness.incomplete_requests().contains(&id);
                harness.end_attempt_with_body(
                    &id,
                    number,
                    OUTCOMES[usize::from(variant) % OUTCOMES.len()],
                    load,
                    incomplete && variant % 2 == 0,
                );
            }
        }
        9..=10 => harness.advance(ms(u64::from(variant % 400))),
        11 => {
            let state = [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Removed][usize::from(variant % 3)];
            let restarted = (variant % 5 == 0).then(|| harness.now());
            harness.change_list(&[landingspread_decisions::host::ListedServer {
                started_at: restarted,
                ..entry(&server, state)
            }]);
        }
        12 => {
            let open = harness.open_attempts();
            if let Some((id, _)) = open.get(usize::from(selector) % open.len().max(1)).cloned() {
                harness.disconnect_client(&id);
            }
        }
        13 => harness.end_health_checks(OUTCOMES[usize::from(variant) % OUTCOMES.len()]),
        14 => {
            let now = harness.now();
            harness.policy.discovery_poll_failed(now);
            let load = LoadReport {
                in_flight: Some(f64::from(variant % 6)),
                utilization: Some(f64::from(variant % 3) / 2.0),
                ..LoadReport::default()
            };
            harness.policy.health_check_ended(now, Outcome::Ok, &server.as_str().into(), load);
            let [a, b] = variant.to_be_bytes();
            harness.policy.peer_message_received(
                now,
                u32::from(selector),
                &[1, a, b, 64 + a % 5, a, b, a, 130, b, a, b, 2, b, a, a],
            );
            harness.policy.client_disconnected(now, &"never-submitted".into());
        }
        15 => {
            harness.set_excluded(&server, variant % 3 > 0);
        }
        _ => {
            let entries: Vec<_> =
                (0..selector % 9).map(|at| entry(&format!("s{at}"), Lifecycle::Ready)).collect();
            let removed: Vec<_> =
                (selector % 9..9).map(|at| entry(&format!("s{at}"), Lifecycle::Removed)).collect();
            harness.record_list(&entries);
            harness.record_list(&removed);
            harness.policy.endpoint_list_received(harness.now(), &entries);
        }
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn rules_hold_for_random_sequences_of_events(
        scope in prop::sample::select(vec!["all", "zone", "cell"]),
        probes: bool,
        hedging: bool,
        cancellation: bool,
        subscribe: bool,
        peers: bool,
        preselection: bool,
        replicas in prop::sample::select(vec![1u32, 2, 5, 40, 300]),
        ordinal in 0u32..300,
        seed: u64,
        steps in prop::collection::vec((0u8..17, any::<u16>(), any::<u16>()), 1..160),
    ) {
        let discovery = if subscribe { "subscribe" } else { "automatic" };
        let extra = format!(
            "PolicyLimits.Probes={probes} PolicyLimits.ParallelTries={hedging} PolicyLimits.MayCancel={cancellation} \
             Discovery={discovery} Balancers={replicas} Ordinal={ordinal} PolicyLimits.Peers={peers} \
             Report.How={} Report.Fields=active Costs.Probe=0.002 PolicyLimits.ConnIdle=2000000",
            if preselection { "probe" } else { "answers" }
        );
        let mut harness = Harness::new(test_settings(scope, &extra), scope, seed, 6);
        for random_step in steps {
            step(&mut harness, random_step);
        }
        harness.incomplete_requests().iter().for_each(|id| harness.complete_body(id, ms(1000)));
        harness.advance(ms(3100));
        let state = harness.host.0.borrow();
        prop_assert!(state.requests.values().all(|request| request.final_response.is_some()), "rule 1: a request has no final response");
        prop_assert!(probes || state.health_checks.is_empty());
    }
}
