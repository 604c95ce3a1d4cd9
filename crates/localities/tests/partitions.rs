//! Two sides of a partition that hold opposite verdicts and meet; trials in turn, when a copy whose turn it is dies. The test
//! carries the reports from copy to copy.

use landingspread_localities::{
    FailoverConfig, Host, OperatorCommand, OwnObservation, PeerReport, RecoveryTimings, ZoneFailover,
    ZoneHealth, ZoneStage,
};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(50);
const AWAY: usize = 1;

#[derive(Debug)]
struct Quiet;

impl Host for Quiet {}

struct Scene {
    now: Duration,
    copies: Vec<ZoneFailover<Quiet>>,
    /// Each copy's report, a tick ago.
    words: Vec<Vec<u8>>,
    /// How each copy's last request to the far zone ended, and when.
    last: Vec<(ZoneHealth, Duration)>,
    down: Vec<bool>,
    /// Copies that send nothing to the far zone unless they are asked to.
    idle: Vec<bool>,
}

impl Scene {
    fn new(copies: u64) -> Scene {
        let config = |id: u64| FailoverConfig {
            id,
            zone: "here".into(),
            zones: vec!["here".into(), "away".into()],
            timings: RecoveryTimings::default(),
        };
        Scene {
            now: Duration::from_secs(10),
            copies: (0..copies).map(|id| ZoneFailover::start(Quiet, config(id))).collect(),
            words: vec![Vec::new(); copies as usize],
            last: vec![(ZoneHealth::Unknown, Duration::ZERO); copies as usize],
            down: vec![false; copies as usize],
            idle: vec![false; copies as usize],
        }
    }

    /// Lets time pass; `reach` says who receives whose reports, `silent` which copies get no answer from the far zone.
    fn run(&mut self, span: Duration, reach: &dyn Fn(usize, usize) -> bool, silent: &dyn Fn(usize) -> bool) {
        let until = self.now + span;
        while self.now < until {
            self.now += TICK;
            let words = self.words.clone();
            for at in (0..self.copies.len()).filter(|at| !self.down[*at]) {
                let traffic_fraction = self.copies[at].traffic()[AWAY];
                if (traffic_fraction.traffic_fraction > 0.0 && !self.idle[at])
                    || traffic_fraction.trial.is_some()
                {
                    let health = match silent(at) {
                        true => ZoneHealth::Silent { since: Duration::ZERO },
                        false => ZoneHealth::Answering { sent_ago: Duration::ZERO, slow: false },
                    };
                    self.last[at] = (health, self.now);
                }
                let ago = self.now - self.last[at].1;
                let health = match self.last[at].0 {
                    ZoneHealth::Silent { .. } => ZoneHealth::Silent { since: ago },
                    ZoneHealth::Answering { slow, .. } => ZoneHealth::Answering { sent_ago: ago, slow },
                    ZoneHealth::Unknown => ZoneHealth::Unknown,
                };
                let same_zone = ZoneHealth::Answering { sent_ago: Duration::ZERO, slow: false };
                let own = [
                    OwnObservation { zone: 0, ready: 2, health: same_zone },
                    OwnObservation { zone: AWAY, ready: 2, health },
                ];
                let peers = (0..words.len()).filter(|other| *other != at && !self.down[*other]);
                let peers = peers.filter(|other| reach(*other, at)).map(|other| PeerReport {
                    id: other as u64,
                    name: "peer",
                    zone: "here",
                    report: Some(words[other].as_slice()).filter(|word| !word.is_empty()),
                    age: TICK,
                });
                self.copies[at].tick(self.now, &own, peers);
                self.words[at] = self.copies[at].report_bytes().to_vec();
            }
        }
    }

    fn stages(&self) -> Vec<ZoneStage> {
        self.copies.iter().map(|copy| copy.statuses().nth(AWAY).expect("a zone").stage).collect()
    }

    fn turns(&self) -> usize {
        self.copies.iter().filter(|copy| copy.traffic()[AWAY].trial.is_some()).count()
    }
}

fn all(_: usize, _: usize) -> bool {
    true
}

fn nobody(_: usize) -> bool {
    false
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn halves_with_opposite_verdicts_meet_and_return_the_zone() {
    for copies in [4, 8, 16, 40] {
        let mut scene = Scene::new(copies);
        scene.run(SECOND * 3, &all, &nobody);
        let half = copies as usize / 2;
        let apart = |one: usize, other: usize| (one < half) == (other < half);
        scene.run(SECOND * 5, &apart, &|copy| copy < half);
        let stages = scene.stages();
        assert!(stages[..half].iter().all(|stage| *stage == ZoneStage::Evacuated), "{copies}: {stages:?}");
        assert!(stages[half..].iter().all(|stage| *stage == ZoneStage::InService), "{copies}: {stages:?}");
        // The partition heals, and the zone answers all.
        scene.run(SECOND, &all, &nobody);
        let stages = scene.stages();
        assert!(stages.iter().all(|stage| *stage == stages[0]), "{copies}: {stages:?}");
        scene.run(SECOND * 2, &all, &nobody);
        assert!(
            scene.stages().iter().all(|stage| *stage != ZoneStage::Evacuated),
            "{copies}: {:?}",
            scene.stages()
        );
        scene.run(SECOND * 4, &all, &nobody);
        assert!(
            scene.stages().iter().all(|stage| *stage == ZoneStage::InService),
            "{copies}: {:?}",
            scene.stages()
        );
    }
}

#[test]
fn an_idle_copy_is_asked_to_verify_and_holds_up_no_verdict() {
    let mut scene = Scene::new(3);
    scene.idle[2] = true;
    scene.run(SECOND * 3, &all, &nobody);
    assert_eq!(scene.turns(), 0, "no copy finds it silent");
    scene.run(TICK * 6, &all, &|_| true);
    let stages = scene.stages();
    assert!(stages.iter().all(|stage| *stage == ZoneStage::Evacuated), "{stages:?}");
    // One copy's observation alone is verified, not followed.
    let mut scene = Scene::new(3);
    scene.idle[2] = true;
    scene.run(SECOND * 3, &all, &nobody);
    scene.run(SECOND * 3, &all, &|copy| copy == 0);
    let stages = scene.stages();
    assert!(stages.iter().all(|stage| *stage == ZoneStage::InService), "{stages:?}");
}

#[test]
fn trials_take_turns_and_a_copy_that_dies_costs_one_turn() {
    let mut scene = Scene::new(6);
    scene.run(SECOND * 3, &all, &nobody);
    scene.run(SECOND * 2, &all, &|_| true);
    let mut had = Vec::new();
    for _ in 0..60 {
        scene.run(TICK * 2, &all, &|_| true);
        assert!(scene.turns() <= 2, "two at the boundary of two turns");
        let one = scene.copies.iter().position(|copy| copy.traffic()[AWAY].trial.is_some());
        one.into_iter().for_each(|one| had.push(one));
    }
    had.dedup();
    assert!(had.len() >= 9, "{had:?}");
    let dies = had[had.len() - 1];
    scene.down[dies] = true;
    scene.run(SECOND * 3, &all, &|_| true);
    let others = (0..6).filter(|copy| *copy != dies);
    assert!(
        others
            .map(|copy| scene.copies[copy].traffic()[AWAY])
            .all(|traffic_fraction| traffic_fraction.traffic_fraction == 0.0)
    );
    // Its turn passes, and the zone returns by the others' trials.
    scene.run(SECOND * 6, &all, &nobody);
    let stages = scene.stages();
    assert!(
        (0..6).filter(|copy| *copy != dies).all(|copy| stages[copy] == ZoneStage::InService),
        "{stages:?}"
    );
}

#[test]
fn operator_commands_prevail_over_evidence_until_they_are_withdrawn() {
    let mut scene = Scene::new(5);
    scene.run(SECOND * 3, &all, &nobody);
    assert!(!scene.copies[0].operator_command(scene.now, "nowhere", OperatorCommand::Evacuate));
    assert!(scene.copies[2].operator_command(scene.now, "away", OperatorCommand::Evacuate));
    scene.run(TICK * 4, &all, &nobody);
    assert!(scene.stages().iter().all(|stage| *stage == ZoneStage::Evacuated), "{:?}", scene.stages());
    // The copy that received the command dies: the others carry on.
    scene.down[2] = true;
    scene.run(SECOND * 70, &all, &nobody);
    let left = |scene: &Scene| (0..5).filter(|copy| scene.stages()[*copy] == ZoneStage::Evacuated).count();
    assert_eq!(left(&scene), 5);
    assert_eq!(scene.turns(), 0, "a zone that operators evacuated is not tried");
    assert!(scene.copies[4].operator_command(scene.now, "away", OperatorCommand::Return));
    scene.run(SECOND * 3, &all, &nobody);
    assert_eq!(left(&scene), 1, "{:?}", scene.stages());
}
