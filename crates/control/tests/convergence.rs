//! Random exchanges between control machines and sidecars, with lost, duplicated, delayed, truncated and corrupted
//! messages. The version in force is always complete and as published, and never replaced by an older one. All machines
//! and sidecars converge once the faults end.

use landingspread_control::{
    ApplyOutcome, ConfigError, ConfigHost, Contents, ControlMachine, Delta, Follower, Version, VersionStore,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::time::Duration;

const MACHINES: usize = 4;
const FOLLOWERS: usize = 5;
const SCOPE: &str = "checkout";

/// Records the versions that are applied, and refuses contents with the key `bad`.
#[derive(Default)]
struct RecordingHost {
    in_force: Option<(Version, Contents)>,
    applied: Vec<Version>,
}

impl ConfigHost for RecordingHost {
    fn check(&mut self, contents: &Contents) -> Result<(), ConfigError> {
        match contents.get_key_value("bad") {
            Some((key, _)) => Err(ConfigError::new(key, "needs a restart")),
            None => Ok(()),
        }
    }

    fn apply(&mut self, version: &Version, contents: &Contents) {
        self.in_force = Some((*version, contents.clone()));
        self.applied.push(*version);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Publish {
        machine: usize,
        contents: Contents,
    },
    RollBack {
        machine: usize,
        history_index: usize,
    },
    Exchange {
        from: usize,
        to: usize,
    },
    Poll {
        follower: usize,
        machine: usize,
        delivery: Delivery,
    },
    /// The sidecar's process restarts with its cached snapshot, which may be truncated.
    Restart {
        follower: usize,
        truncated: bool,
    },
    /// A machine loses all of its versions.
    LoseState {
        machine: usize,
    },
}

#[derive(Clone, Debug)]
enum Delivery {
    Delivered,
    Lost,
    Duplicated,
    /// The message is delivered after the next delayed one is sent.
    Delayed,
    Truncated(usize),
    Corrupted(usize, u8),
    OtherScope,
}

fn contents() -> impl Strategy<Value = Contents> {
    let key = prop_oneof![8 => "[abc]", 1 => Just("bad".to_string())];
    proptest::collection::btree_map(key, "[0-9]{1,3}", 0..4)
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        6 => Just(Delivery::Delivered),
        1 => Just(Delivery::Lost),
        1 => Just(Delivery::Duplicated),
        2 => Just(Delivery::Delayed),
        1 => (0usize..400).prop_map(Delivery::Truncated),
        2 => (0usize..400, 1u8..).prop_map(|(index, mask)| Delivery::Corrupted(index, mask)),
        1 => Just(Delivery::OtherScope),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let (machine, follower) = (0..MACHINES, 0..FOLLOWERS);
    prop_oneof![
        3 => (machine.clone(), contents()).prop_map(|(machine, contents)| Step::Publish { machine, contents }),
        1 => (machine.clone(), 0usize..9)
            .prop_map(|(machine, history_index)| Step::RollBack { machine, history_index }),
        4 => (machine.clone(), machine.clone()).prop_map(|(from, to)| Step::Exchange { from, to }),
        10 => (follower.clone(), machine.clone(), delivery())
            .prop_map(|(follower, machine, delivery)| Step::Poll { follower, machine, delivery }),
        1 => (follower, any::<bool>()).prop_map(|(follower, truncated)| Step::Restart { follower, truncated }),
        1 => machine.prop_map(|machine| Step::LoseState { machine }),
    ]
}

struct Sidecar {
    follower: Follower,
    host: RecordingHost,
    delayed: Option<Vec<u8>>,
}

fn new_follower(number: usize) -> Follower {
    let machine = |at: usize| ControlMachine {
        address: ([127, 0, 0, 1], 7800 + at as u16).into(),
        region: String::new(),
    };
    let machines: Vec<ControlMachine> = (0..MACHINES).map(machine).collect();
    Follower::new(SCOPE, &format!("s{number}"), &machines, "", number as u64)
}

struct Cluster {
    stores: Vec<VersionStore>,
    sidecars: Vec<Sidecar>,
    published: BTreeMap<Version, Contents>,
    now: Duration,
}

impl Cluster {
    fn new() -> Cluster {
        let sidecar = |number| Sidecar {
            follower: new_follower(number),
            host: RecordingHost::default(),
            delayed: None,
        };
        Cluster {
            stores: (0..MACHINES).map(|_| VersionStore::default()).collect(),
            sidecars: (0..FOLLOWERS).map(sidecar).collect(),
            published: BTreeMap::new(),
            now: Duration::ZERO,
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let summary = self.stores[from].summary();
        for scope in self.stores[to].outdated_scopes(&summary) {
            let delta = self.stores[from]
                .current(&scope)
                .expect("a scope of the summary has a snapshot")
                .full_delta();
            let delta =
                Delta::from_json(delta.to_json().as_bytes()).expect("a serialized delta can be parsed");
            self.stores[to].merge(delta).expect("another machine's snapshot can be merged");
        }
    }

    fn poll(&mut self, number: usize, machine: usize, delivery: Delivery) {
        let sidecar = &mut self.sidecars[number];
        let poll = sidecar.follower.next_poll();
        self.stores[machine].record_poll(self.now, &poll);
        let Some(delta) = self.stores[machine].delta_for(&poll) else {
            sidecar.follower.on_unchanged(self.now);
            return;
        };
        let mut bytes = delta.to_json().into_bytes();
        match delivery {
            Delivery::Lost => {
                sidecar.follower.on_failure(self.now);
                return;
            }
            Delivery::Delayed => {
                if let Some(delayed) = sidecar.delayed.replace(bytes) {
                    self.receive(number, &delayed);
                }
                return;
            }
            Delivery::Duplicated => self.receive(number, &bytes),
            Delivery::Truncated(length) => bytes.truncate(length.min(bytes.len() - 1)),
            Delivery::Corrupted(index, mask) => {
                let index = index % bytes.len();
                bytes[index] ^= mask;
            }
            Delivery::OtherScope => {
                bytes =
                    String::from_utf8(bytes).expect("JSON is UTF-8").replace(SCOPE, "basket").into_bytes();
            }
            Delivery::Delivered => {}
        }
        self.receive(number, &bytes);
    }

    fn receive(&mut self, number: usize, bytes: &[u8]) {
        let Sidecar { follower, host, .. } = &mut self.sidecars[number];
        let before = host.in_force.clone();
        match follower.on_delta(self.now, bytes, host) {
            Ok(ApplyOutcome::Applied(version)) => {
                assert!(before.is_none_or(|(before, _)| before < version), "only a newer version is applied");
            }
            Ok(ApplyOutcome::Refused(refusal)) => {
                assert_eq!(refusal.error.key, "bad");
                assert_eq!(host.in_force, before, "the previous version stays in force");
            }
            Ok(ApplyOutcome::Unchanged) => assert_eq!(host.in_force, before),
            Err(_) => {
                assert_eq!(host.in_force, before, "the previous version stays in force");
                follower.on_failure(self.now);
            }
        }
    }

    fn apply_step(&mut self, step: Step) {
        self.now += Duration::from_millis(100);
        match step {
            Step::Publish { machine, contents } => {
                let base = self.stores[machine].version(SCOPE);
                let version = self.stores[machine]
                    .publish(SCOPE, base, contents.clone(), 7)
                    .expect("valid contents are published");
                self.published.insert(version, contents);
            }
            Step::RollBack { machine, history_index } => {
                let Some(status) = self.stores[machine].scope_status(self.now, SCOPE) else { return };
                let Some(target) = status.history.get(history_index).copied() else { return };
                let version = self.stores[machine]
                    .roll_back(SCOPE, status.version, target, 7)
                    .expect("a version of the history can be published again");
                let contents = self.published[&target].clone();
                self.published.insert(version, contents);
            }
            Step::Exchange { from, to } => self.exchange(from, to),
            Step::Poll { follower, machine, delivery } => self.poll(follower, machine, delivery),
            Step::Restart { follower: number, truncated } => {
                let cached =
                    self.sidecars[number].follower.in_force().map(|snapshot| snapshot.full_delta().to_json());
                let (mut follower, mut host) = (new_follower(number), RecordingHost::default());
                if let Some(cached) = cached {
                    let bytes = &cached.as_bytes()[..if truncated { cached.len() / 2 } else { cached.len() }];
                    let restored = follower.restore(bytes, &mut host);
                    assert_eq!(restored.is_err(), truncated, "{restored:?}");
                }
                self.sidecars[number] = Sidecar { follower, host, delayed: None };
            }
            Step::LoseState { machine } => self.stores[machine] = VersionStore::default(),
        }
        for sidecar in &self.sidecars {
            if let Some((version, contents)) = &sidecar.host.in_force {
                assert_eq!(
                    self.published.get(version),
                    Some(contents),
                    "the version in force has the published contents"
                );
            }
        }
    }

    fn exchange_all(&mut self) {
        for _ in 0..2 {
            (0..MACHINES).for_each(|from| (0..MACHINES).for_each(|to| self.exchange(from, to)));
        }
        for number in 0..FOLLOWERS {
            self.sidecars[number].delayed = None;
            for machine in 0..MACHINES {
                // The second poll acknowledges or refuses the first answer; a third is needed if a snapshot was
                // requested.
                (0..3).for_each(|_| self.poll(number, machine, Delivery::Delivered));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn versions_stay_complete_and_monotonic_and_converge(
        steps in proptest::collection::vec(step(), 1..120)
    ) {
        let mut cluster = Cluster::new();
        steps.into_iter().for_each(|step| cluster.apply_step(step));
        cluster.exchange_all();
        let digests: Vec<u128> = cluster.stores.iter().map(VersionStore::digest).collect();
        prop_assert!(digests.windows(2).all(|pair| pair[0] == pair[1]), "all machines have the same versions");
        let Some(current) = cluster.stores[0].current(SCOPE).cloned() else { return Ok(()) };
        let is_valid = !current.contents().contains_key("bad");
        for sidecar in &cluster.sidecars {
            let in_force = sidecar.host.in_force.as_ref().map(|(version, _)| *version);
            let refused = sidecar.follower.refused().map(|refused| refused.version);
            // A sidecar keeps a version that all machines have lost until a greater one is published.
            let is_newer = in_force > Some(current.version()) || refused > Some(current.version());
            if is_valid && !is_newer {
                prop_assert_eq!(in_force, Some(current.version()));
            } else if !is_valid && !is_newer {
                prop_assert!(refused == Some(current.version()) && in_force != refused);
            }
        }
    }
}
