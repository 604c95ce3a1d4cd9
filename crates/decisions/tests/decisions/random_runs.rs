//! Seeded random runs: the script checks the rules at every call, whatever happens in whatever order.

use crate::scripted_host::{Scene, entry, ms, terms};
use landingspread_decisions::host::{Lifecycle, LoadReport, Outcome};
use proptest::prelude::*;
use proptest::test_runner::{Config as Runs, RngAlgorithm, RngSeed};

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

fn runs() -> Runs {
    Runs {
        cases: 200,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..Runs::default()
    }
}

/// What to do, to which, and how: read by `step`.
type Step = (u8, u16, u16);

fn step(scene: &mut Scene, (what, which, how): Step) {
    let server = format!("s{}", which % 9);
    match what {
        0..=1 => {
            scene.give_coming(usize::from(which % 4));
        }
        2 => {
            let coming = scene.coming();
            if let Some(id) = coming.get(usize::from(which) % coming.len().max(1)) {
                scene.body_came(id, ms(u64::from(how % 3000)));
            }
        }
        3..=4 => {
            scene.give(usize::from(which % 4), ms(u64::from(how % 3000)));
        }
        5..=8 => {
            let out = scene.out();
            if let Some((id, number)) = out.get(usize::from(which) % out.len().max(1)).cloned() {
                let in_flight = (how % 3 == 0).then(|| f64::from(how % 40));
                let util = (how % 4 == 0).then(|| f64::from(how % 10) / 9.0);
                let load = LoadReport { in_flight, utilization: util, ..LoadReport::default() };
                let coming = scene.coming().contains(&id);
                scene.end_as(
                    &id,
                    number,
                    OUTCOMES[usize::from(how) % OUTCOMES.len()],
                    load,
                    coming && how % 2 == 0,
                );
            }
        }
        9..=10 => scene.pass(ms(u64::from(how % 400))),
        11 => {
            let state = [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Removed][usize::from(how % 3)];
            let restarted = (how % 5 == 0).then(|| scene.now());
            scene.change(&[landingspread_decisions::host::ListedServer {
                started_at: restarted,
                ..entry(&server, state)
            }]);
        }
        12 => {
            let out = scene.out();
            if let Some((id, _)) = out.get(usize::from(which) % out.len().max(1)).cloned() {
                scene.leave(&id);
            }
        }
        13 => scene.check_all(OUTCOMES[usize::from(how) % OUTCOMES.len()]),
        14 => {
            let now = scene.now();
            scene.policy.discovery_poll_failed(now);
            let load = LoadReport {
                in_flight: Some(f64::from(how % 6)),
                utilization: Some(f64::from(how % 3) / 2.0),
                ..LoadReport::default()
            };
            scene.policy.health_check_ended(now, Outcome::Ok, &server.as_str().into(), load);
            let [a, b] = how.to_be_bytes();
            scene.policy.peer_message_received(
                now,
                u32::from(which),
                &[1, a, b, 64 + a % 5, a, b, a, 130, b, a, b, 2, b, a, a],
            );
            scene.policy.client_disconnected(now, &"never-given".into());
        }
        15 => {
            scene.operators(&server, how % 3 > 0);
        }
        _ => {
            let entries: Vec<_> =
                (0..which % 9).map(|at| entry(&format!("s{at}"), Lifecycle::Ready)).collect();
            let gone: Vec<_> =
                (which % 9..9).map(|at| entry(&format!("s{at}"), Lifecycle::Removed)).collect();
            scene.told(&entries);
            scene.told(&gone);
            scene.policy.endpoint_list_received(scene.now(), &entries);
        }
    }
}

proptest! {
    #![proptest_config(runs())]

    #[test]
    fn the_rules_hold_whatever_happens(
        scope in prop::sample::select(vec!["all", "zone", "cell"]),
        probes: bool,
        parallel: bool,
        cancel: bool,
        subscribe: bool,
        peers: bool,
        looks: bool,
        balancers in prop::sample::select(vec![1u32, 2, 5, 40, 300]),
        ordinal in 0u32..300,
        seed: u64,
        steps in prop::collection::vec((0u8..17, any::<u16>(), any::<u16>()), 1..160),
    ) {
        let discovery = if subscribe { "subscribe" } else { "automatic" };
        let extra = format!(
            "PolicyLimits.Probes={probes} PolicyLimits.ParallelTries={parallel} PolicyLimits.MayCancel={cancel} \
             Discovery={discovery} Balancers={balancers} Ordinal={ordinal} PolicyLimits.Peers={peers} \
             Report.How={} Report.Fields=active Costs.Probe=0.002 PolicyLimits.ConnIdle=2000000",
            if looks { "probe" } else { "answers" }
        );
        let mut scene = Scene::new(terms(scope, &extra), scope, seed, 6);
        for given in steps {
            step(&mut scene, given);
        }
        scene.coming().iter().for_each(|id| scene.body_came(id, ms(1000)));
        scene.pass(ms(3100));
        let world = scene.script.0.borrow();
        prop_assert!(world.cmds.values().all(|cmd| cmd.ended.is_some()), "rule 1: no final answer");
        prop_assert!(probes || world.checks.is_empty());
    }
}
