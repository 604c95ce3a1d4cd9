//! Machines and sidecars that pass versions to each other in any order, with messages lost, doubled, held back, cut and
//! garbled: what is in force is one published version, whole, and never an older one; after the faults all agree.

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

/// What a sidecar goes by; the key `bad` can't be gone by.
#[derive(Default)]
struct RecordingHost {
    now: Option<(Version, Contents)>,
    all: Vec<Version>,
}

impl ConfigHost for RecordingHost {
    fn check(&mut self, contents: &Contents) -> Result<(), ConfigError> {
        match contents.get_key_value("bad") {
            Some((key, _)) => Err(ConfigError::new(key, "needs a restart")),
            None => Ok(()),
        }
    }

    fn apply(&mut self, version: &Version, contents: &Contents) {
        self.now = Some((*version, contents.clone()));
        self.all.push(*version);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Publish {
        at: usize,
        contents: Contents,
    },
    RollBack {
        at: usize,
        to: usize,
    },
    Exchange {
        from: usize,
        to: usize,
    },
    Poll {
        follower: usize,
        at: usize,
        delivery: Delivery,
    },
    /// The process ends; what it kept may be cut.
    Restart {
        follower: usize,
        cut: bool,
    },
    /// A machine loses all that it had.
    LoseState {
        at: usize,
    },
}

#[derive(Clone, Debug)]
enum Delivery {
    Delivered,
    Lost,
    Twice,
    /// It comes only after the next one.
    Late,
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
        1 => Just(Delivery::Twice),
        2 => Just(Delivery::Late),
        1 => (0usize..400).prop_map(Delivery::Truncated),
        2 => (0usize..400, 1u8..).prop_map(|(at, by)| Delivery::Corrupted(at, by)),
        1 => Just(Delivery::OtherScope),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let (machine, follower) = (0..MACHINES, 0..FOLLOWERS);
    prop_oneof![
        3 => (machine.clone(), contents()).prop_map(|(at, contents)| Step::Publish { at, contents }),
        1 => (machine.clone(), 0usize..9).prop_map(|(at, to)| Step::RollBack { at, to }),
        4 => (machine.clone(), machine.clone()).prop_map(|(from, to)| Step::Exchange { from, to }),
        10 => (follower.clone(), machine.clone(), delivery())
            .prop_map(|(follower, at, delivery)| Step::Poll { follower, at, delivery }),
        1 => (follower, any::<bool>()).prop_map(|(follower, cut)| Step::Restart { follower, cut }),
        1 => machine.prop_map(|at| Step::LoseState { at }),
    ]
}

struct Sidecar {
    follower: Follower,
    host: RecordingHost,
    held_back: Option<Vec<u8>>,
}

fn started(number: usize) -> Follower {
    let machine = |at: usize| ControlMachine {
        address: ([127, 0, 0, 1], 7800 + at as u16).into(),
        region: String::new(),
    };
    let machines: Vec<ControlMachine> = (0..MACHINES).map(machine).collect();
    Follower::new(SCOPE, &format!("s{number}"), &machines, "", number as u64)
}

struct World {
    stores: Vec<VersionStore>,
    sidecars: Vec<Sidecar>,
    published: BTreeMap<Version, Contents>,
    now: Duration,
}

impl World {
    fn new() -> World {
        let sidecar =
            |number| Sidecar { follower: started(number), host: RecordingHost::default(), held_back: None };
        World {
            stores: (0..MACHINES).map(|_| VersionStore::default()).collect(),
            sidecars: (0..FOLLOWERS).map(sidecar).collect(),
            published: BTreeMap::new(),
            now: Duration::ZERO,
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let theirs = self.stores[from].summary();
        for scope in self.stores[to].outdated_scopes(&theirs) {
            let delta = self.stores[from].current(&scope).expect("it is in the summary").full_delta();
            let delta = Delta::from_json(delta.to_json().as_bytes()).expect("it reads as written");
            self.stores[to].merge(delta).expect("another machine's snapshot fits");
        }
    }

    fn poll(&mut self, number: usize, at: usize, delivery: Delivery) {
        let sidecar = &mut self.sidecars[number];
        let poll = sidecar.follower.next_poll();
        self.stores[at].record_poll(self.now, &poll);
        let Some(delta) = self.stores[at].delta_for(&poll) else {
            sidecar.follower.on_unchanged(self.now);
            return;
        };
        let mut bytes = delta.to_json().into_bytes();
        match delivery {
            Delivery::Lost => {
                sidecar.follower.on_failure(self.now);
                return;
            }
            Delivery::Late => {
                if let Some(late) = sidecar.held_back.replace(bytes) {
                    self.receive(number, &late);
                }
                return;
            }
            Delivery::Twice => self.receive(number, &bytes),
            Delivery::Truncated(length) => bytes.truncate(length.min(bytes.len() - 1)),
            Delivery::Corrupted(place, by) => {
                let place = place % bytes.len();
                bytes[place] ^= by;
            }
            Delivery::OtherScope => {
                bytes = String::from_utf8(bytes).expect("text").replace(SCOPE, "basket").into_bytes();
            }
            Delivery::Delivered => {}
        }
        self.receive(number, &bytes);
    }

    fn receive(&mut self, number: usize, bytes: &[u8]) {
        let Sidecar { follower, host, .. } = &mut self.sidecars[number];
        let before = host.now.clone();
        match follower.on_delta(self.now, bytes, host) {
            Ok(ApplyOutcome::Applied(version)) => {
                assert!(
                    before.is_none_or(|(before, _)| before < version),
                    "only a newer one is put in force"
                );
            }
            Ok(ApplyOutcome::Refused(refusal)) => {
                assert_eq!(refusal.error.key, "bad");
                assert_eq!(host.now, before, "the last good one stays in force");
            }
            Ok(ApplyOutcome::Unchanged) => assert_eq!(host.now, before),
            Err(_) => {
                assert_eq!(host.now, before, "the last good one stays in force");
                follower.on_failure(self.now);
            }
        }
    }

    fn play(&mut self, step: Step) {
        self.now += Duration::from_millis(100);
        match step {
            Step::Publish { at, contents } => {
                let base = self.stores[at].version(SCOPE);
                let version =
                    self.stores[at].publish(SCOPE, base, contents.clone(), 7).expect("it is published");
                self.published.insert(version, contents);
            }
            Step::RollBack { at, to } => {
                let Some(status) = self.stores[at].scope_status(self.now, SCOPE) else { return };
                let Some(back) = status.history.get(to).copied() else { return };
                let version = self.stores[at].roll_back(SCOPE, status.version, back, 7).expect("it is kept");
                let contents = self.published[&back].clone();
                self.published.insert(version, contents);
            }
            Step::Exchange { from, to } => self.exchange(from, to),
            Step::Poll { follower, at, delivery } => self.poll(follower, at, delivery),
            Step::Restart { follower: number, cut } => {
                let kept = self.sidecars[number].follower.in_force().map(|kept| kept.full_delta().to_json());
                let (mut follower, mut host) = (started(number), RecordingHost::default());
                if let Some(kept) = kept {
                    let bytes = &kept.as_bytes()[..if cut { kept.len() / 2 } else { kept.len() }];
                    let restored = follower.restore(bytes, &mut host);
                    assert_eq!(restored.is_err(), cut, "{restored:?}");
                }
                self.sidecars[number] = Sidecar { follower, host, held_back: None };
            }
            Step::LoseState { at } => self.stores[at] = VersionStore::default(),
        }
        for sidecar in &self.sidecars {
            if let Some((version, contents)) = &sidecar.host.now {
                assert_eq!(self.published.get(version), Some(contents), "whole, as it was published");
            }
        }
    }

    fn settle(&mut self) {
        for _ in 0..2 {
            (0..MACHINES).for_each(|from| (0..MACHINES).for_each(|to| self.exchange(from, to)));
        }
        for number in 0..FOLLOWERS {
            self.sidecars[number].held_back = None;
            for at in 0..MACHINES {
                // The second call says what came of the first; a third where a snapshot was wanted.
                (0..3).for_each(|_| self.poll(number, at, Delivery::Delivered));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn version_in_force_is_complete_and_monotonic_and_machines_converge_after_faults(
        all in proptest::collection::vec(step(), 1..120)
    ) {
        let mut world = World::new();
        all.into_iter().for_each(|step| world.play(step));
        world.settle();
        let digests: Vec<u128> = world.stores.iter().map(VersionStore::digest).collect();
        prop_assert!(digests.windows(2).all(|pair| pair[0] == pair[1]), "machines agree");
        let Some(current) = world.stores[0].current(SCOPE).cloned() else { return Ok(()) };
        let good = !current.contents().contains_key("bad");
        for sidecar in &world.sidecars {
            let has = sidecar.host.now.as_ref().map(|(version, _)| *version);
            let refused = sidecar.follower.refused().map(|refused| refused.version);
            // Where all machines lost what a sidecar has, it keeps that until a greater one is published.
            let newer = has > Some(current.version()) || refused > Some(current.version());
            if good && !newer {
                prop_assert_eq!(has, Some(current.version()));
            } else if !good && !newer {
                prop_assert!(refused == Some(current.version()) && has != refused);
            }
        }
    }
}
