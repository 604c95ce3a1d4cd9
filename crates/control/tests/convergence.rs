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
struct Force {
    now: Option<(Version, Contents)>,
    all: Vec<Version>,
}

impl ConfigHost for Force {
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
enum Does {
    Publish {
        at: usize,
        contents: Contents,
    },
    GoBack {
        at: usize,
        to: usize,
    },
    Pass {
        from: usize,
        to: usize,
    },
    Poll {
        follower: usize,
        at: usize,
        fate: Fate,
    },
    /// The process ends; what it kept may be cut.
    Restart {
        follower: usize,
        cut: bool,
    },
    /// A machine loses all that it had.
    Forget {
        at: usize,
    },
}

#[derive(Clone, Debug)]
enum Fate {
    Comes,
    Lost,
    Twice,
    /// It comes only after the next one.
    Late,
    Cut(usize),
    Garbled(usize, u8),
    OfAnother,
}

fn contents() -> impl Strategy<Value = Contents> {
    let key = prop_oneof![8 => "[abc]", 1 => Just("bad".to_string())];
    proptest::collection::btree_map(key, "[0-9]{1,3}", 0..4)
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Comes),
        1 => Just(Fate::Lost),
        1 => Just(Fate::Twice),
        2 => Just(Fate::Late),
        1 => (0usize..400).prop_map(Fate::Cut),
        2 => (0usize..400, 1u8..).prop_map(|(at, by)| Fate::Garbled(at, by)),
        1 => Just(Fate::OfAnother),
    ]
}

fn does() -> impl Strategy<Value = Does> {
    let (machine, follower) = (0..MACHINES, 0..FOLLOWERS);
    prop_oneof![
        3 => (machine.clone(), contents()).prop_map(|(at, contents)| Does::Publish { at, contents }),
        1 => (machine.clone(), 0usize..9).prop_map(|(at, to)| Does::GoBack { at, to }),
        4 => (machine.clone(), machine.clone()).prop_map(|(from, to)| Does::Pass { from, to }),
        10 => (follower.clone(), machine.clone(), fate())
            .prop_map(|(follower, at, fate)| Does::Poll { follower, at, fate }),
        1 => (follower, any::<bool>()).prop_map(|(follower, cut)| Does::Restart { follower, cut }),
        1 => machine.prop_map(|at| Does::Forget { at }),
    ]
}

struct Sidecar {
    follower: Follower,
    force: Force,
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
            |number| Sidecar { follower: started(number), force: Force::default(), held_back: None };
        World {
            stores: (0..MACHINES).map(|_| VersionStore::default()).collect(),
            sidecars: (0..FOLLOWERS).map(sidecar).collect(),
            published: BTreeMap::new(),
            now: Duration::ZERO,
        }
    }

    fn pass(&mut self, from: usize, to: usize) {
        let theirs = self.stores[from].summary();
        for scope in self.stores[to].outdated_scopes(&theirs) {
            let delta = self.stores[from].current(&scope).expect("it is in the summary").full_delta();
            let delta = Delta::from_json(delta.to_json().as_bytes()).expect("it reads as written");
            self.stores[to].merge(delta).expect("another machine's snapshot fits");
        }
    }

    fn poll(&mut self, number: usize, at: usize, fate: Fate) {
        let sidecar = &mut self.sidecars[number];
        let poll = sidecar.follower.next_poll();
        self.stores[at].record_poll(self.now, &poll);
        let Some(delta) = self.stores[at].delta_for(&poll) else {
            sidecar.follower.on_unchanged(self.now);
            return;
        };
        let mut bytes = delta.to_json().into_bytes();
        match fate {
            Fate::Lost => {
                sidecar.follower.on_failure(self.now);
                return;
            }
            Fate::Late => {
                if let Some(late) = sidecar.held_back.replace(bytes) {
                    self.hear(number, &late);
                }
                return;
            }
            Fate::Twice => self.hear(number, &bytes),
            Fate::Cut(length) => bytes.truncate(length.min(bytes.len() - 1)),
            Fate::Garbled(place, by) => {
                let place = place % bytes.len();
                bytes[place] ^= by;
            }
            Fate::OfAnother => {
                bytes = String::from_utf8(bytes).expect("text").replace(SCOPE, "basket").into_bytes();
            }
            Fate::Comes => {}
        }
        self.hear(number, &bytes);
    }

    fn hear(&mut self, number: usize, bytes: &[u8]) {
        let Sidecar { follower, force, .. } = &mut self.sidecars[number];
        let before = force.now.clone();
        match follower.on_delta(self.now, bytes, force) {
            Ok(ApplyOutcome::Applied(version)) => {
                assert!(
                    before.is_none_or(|(before, _)| before < version),
                    "only a newer one is put in force"
                );
            }
            Ok(ApplyOutcome::Refused(refusal)) => {
                assert_eq!(refusal.error.key, "bad");
                assert_eq!(force.now, before, "the last good one stays in force");
            }
            Ok(ApplyOutcome::Unchanged) => assert_eq!(force.now, before),
            Err(_) => {
                assert_eq!(force.now, before, "the last good one stays in force");
                follower.on_failure(self.now);
            }
        }
    }

    fn play(&mut self, does: Does) {
        self.now += Duration::from_millis(100);
        match does {
            Does::Publish { at, contents } => {
                let base = self.stores[at].version(SCOPE);
                let version =
                    self.stores[at].publish(SCOPE, base, contents.clone(), 7).expect("it is published");
                self.published.insert(version, contents);
            }
            Does::GoBack { at, to } => {
                let Some(status) = self.stores[at].scope_status(self.now, SCOPE) else { return };
                let Some(back) = status.history.get(to).copied() else { return };
                let version = self.stores[at].roll_back(SCOPE, status.version, back, 7).expect("it is kept");
                let contents = self.published[&back].clone();
                self.published.insert(version, contents);
            }
            Does::Pass { from, to } => self.pass(from, to),
            Does::Poll { follower, at, fate } => self.poll(follower, at, fate),
            Does::Restart { follower: number, cut } => {
                let kept = self.sidecars[number].follower.in_force().map(|kept| kept.full_delta().to_json());
                let (mut follower, mut force) = (started(number), Force::default());
                if let Some(kept) = kept {
                    let bytes = &kept.as_bytes()[..if cut { kept.len() / 2 } else { kept.len() }];
                    let restored = follower.restore(bytes, &mut force);
                    assert_eq!(restored.is_err(), cut, "{restored:?}");
                }
                self.sidecars[number] = Sidecar { follower, force, held_back: None };
            }
            Does::Forget { at } => self.stores[at] = VersionStore::default(),
        }
        for sidecar in &self.sidecars {
            if let Some((version, contents)) = &sidecar.force.now {
                assert_eq!(self.published.get(version), Some(contents), "whole, as it was published");
            }
        }
    }

    fn heal(&mut self) {
        for _ in 0..2 {
            (0..MACHINES).for_each(|from| (0..MACHINES).for_each(|to| self.pass(from, to)));
        }
        for number in 0..FOLLOWERS {
            self.sidecars[number].held_back = None;
            for at in 0..MACHINES {
                // The second call says what came of the first; a third where a snapshot was wanted.
                (0..3).for_each(|_| self.poll(number, at, Fate::Comes));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn version_in_force_is_complete_and_monotonic_and_machines_converge_after_faults(
        all in proptest::collection::vec(does(), 1..120)
    ) {
        let mut world = World::new();
        all.into_iter().for_each(|does| world.play(does));
        world.heal();
        let digests: Vec<u128> = world.stores.iter().map(VersionStore::digest).collect();
        prop_assert!(digests.windows(2).all(|pair| pair[0] == pair[1]), "machines agree");
        let Some(current) = world.stores[0].current(SCOPE).cloned() else { return Ok(()) };
        let good = !current.contents().contains_key("bad");
        for sidecar in &world.sidecars {
            let has = sidecar.force.now.as_ref().map(|(version, _)| *version);
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
