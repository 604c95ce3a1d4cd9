//! Two parts of a zone's copies that hold opposite verdicts, and meet; and turns, when a copy that has one dies. Words pass
//! from copy to copy by the test's hand.

use landingspread_localities::{About, Host, Localities, Looks, Own, Paces, Peer, Stage};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(50);
const AWAY: usize = 1;

#[derive(Debug)]
struct Quiet;

impl Host for Quiet {}

struct Scene {
    now: Duration,
    copies: Vec<Localities<Quiet>>,
    /// What each said, a tick ago.
    words: Vec<Vec<u8>>,
    /// How what each sent last ended, and when.
    last: Vec<(Looks, Duration)>,
    down: Vec<bool>,
    /// Who sends nothing to the zone away unless it is asked to look.
    idle: Vec<bool>,
}

impl Scene {
    fn new(copies: u64) -> Scene {
        let about = |id: u64| About {
            id,
            zone: "here".into(),
            zones: vec!["here".into(), "away".into()],
            paces: Paces::default(),
        };
        Scene {
            now: Duration::from_secs(10),
            copies: (0..copies).map(|id| Localities::start(Quiet, about(id))).collect(),
            words: vec![Vec::new(); copies as usize],
            last: vec![(Looks::Unknown, Duration::ZERO); copies as usize],
            down: vec![false; copies as usize],
            idle: vec![false; copies as usize],
        }
    }

    /// Time passes; `reach` says who hears whom, `silent` to whom the zone away is silent if it sends anything there.
    fn pass(&mut self, span: Duration, reach: &dyn Fn(usize, usize) -> bool, silent: &dyn Fn(usize) -> bool) {
        let until = self.now + span;
        while self.now < until {
            self.now += TICK;
            let words = self.words.clone();
            for at in (0..self.copies.len()).filter(|at| !self.down[*at]) {
                let share = self.copies[at].shares()[AWAY];
                if (share.share > 0.0 && !self.idle[at]) || share.trial.is_some() {
                    let looks = match silent(at) {
                        true => Looks::Silent { since: Duration::ZERO },
                        false => Looks::Answers { sent: Duration::ZERO, slow: false },
                    };
                    self.last[at] = (looks, self.now);
                }
                let ago = self.now - self.last[at].1;
                let looks = match self.last[at].0 {
                    Looks::Silent { .. } => Looks::Silent { since: ago },
                    Looks::Answers { slow, .. } => Looks::Answers { sent: ago, slow },
                    Looks::Unknown => Looks::Unknown,
                };
                let near = Looks::Answers { sent: Duration::ZERO, slow: false };
                let own = [Own { zone: 0, ready: 2, looks: near }, Own { zone: AWAY, ready: 2, looks }];
                let peers = (0..words.len()).filter(|other| *other != at && !self.down[*other]);
                let peers = peers.filter(|other| reach(*other, at)).map(|other| Peer {
                    id: other as u64,
                    name: "peer",
                    zone: "here",
                    said: Some(words[other].as_slice()).filter(|word| !word.is_empty()),
                    age: TICK,
                });
                self.copies[at].tick(self.now, &own, peers);
                self.words[at] = self.copies[at].word().to_vec();
            }
        }
    }

    fn stages(&self) -> Vec<Stage> {
        self.copies.iter().map(|copy| copy.standings().nth(AWAY).expect("a zone").stage).collect()
    }

    fn turns(&self) -> usize {
        self.copies.iter().filter(|copy| copy.shares()[AWAY].trial.is_some()).count()
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
fn halves_with_opposite_verdicts_meet_and_take_the_zone_back() {
    for copies in [4, 8, 16, 40] {
        let mut scene = Scene::new(copies);
        scene.pass(SECOND * 3, &all, &nobody);
        let half = copies as usize / 2;
        let apart = |one: usize, other: usize| (one < half) == (other < half);
        scene.pass(SECOND * 5, &apart, &|copy| copy < half);
        let stages = scene.stages();
        assert!(stages[..half].iter().all(|stage| *stage == Stage::Left), "{copies}: {stages:?}");
        assert!(stages[half..].iter().all(|stage| *stage == Stage::Whole), "{copies}: {stages:?}");
        // They meet, and the zone is there for all.
        scene.pass(SECOND, &all, &nobody);
        let stages = scene.stages();
        assert!(stages.iter().all(|stage| *stage == stages[0]), "{copies}: {stages:?}");
        scene.pass(SECOND * 2, &all, &nobody);
        assert!(scene.stages().iter().all(|stage| *stage != Stage::Left), "{copies}: {:?}", scene.stages());
        scene.pass(SECOND * 4, &all, &nobody);
        assert!(scene.stages().iter().all(|stage| *stage == Stage::Whole), "{copies}: {:?}", scene.stages());
    }
}

#[test]
fn a_copy_that_sends_nothing_there_is_asked_to_look_and_holds_up_no_verdict() {
    let mut scene = Scene::new(3);
    scene.idle[2] = true;
    scene.pass(SECOND * 3, &all, &nobody);
    assert_eq!(scene.turns(), 0, "nobody finds it silent");
    scene.pass(TICK * 6, &all, &|_| true);
    let stages = scene.stages();
    assert!(stages.iter().all(|stage| *stage == Stage::Left), "{stages:?}");
    // One neighbour alone is contradicted, not followed.
    let mut scene = Scene::new(3);
    scene.idle[2] = true;
    scene.pass(SECOND * 3, &all, &nobody);
    scene.pass(SECOND * 3, &all, &|copy| copy == 0);
    let stages = scene.stages();
    assert!(stages.iter().all(|stage| *stage == Stage::Whole), "{stages:?}");
}

#[test]
fn one_copy_at_a_time_has_the_turn_and_one_that_dies_costs_a_turn() {
    let mut scene = Scene::new(6);
    scene.pass(SECOND * 3, &all, &nobody);
    scene.pass(SECOND * 2, &all, &|_| true);
    let mut had = Vec::new();
    for _ in 0..60 {
        scene.pass(TICK * 2, &all, &|_| true);
        assert!(scene.turns() <= 2, "two at the border of two turns");
        let one = scene.copies.iter().position(|copy| copy.shares()[AWAY].trial.is_some());
        one.into_iter().for_each(|one| had.push(one));
    }
    had.dedup();
    assert!(had.len() >= 9, "{had:?}");
    let dies = had[had.len() - 1];
    scene.down[dies] = true;
    scene.pass(SECOND * 3, &all, &|_| true);
    let others = (0..6).filter(|copy| *copy != dies);
    assert!(others.map(|copy| scene.copies[copy].shares()[AWAY]).all(|share| share.share == 0.0));
    // Its turn passes, and the zone comes back by the others' trials.
    scene.pass(SECOND * 6, &all, &nobody);
    let stages = scene.stages();
    assert!((0..6).filter(|copy| *copy != dies).all(|copy| stages[copy] == Stage::Whole), "{stages:?}");
}

#[test]
fn what_operators_say_holds_over_what_is_found_and_comes_back_by_their_word() {
    let mut scene = Scene::new(5);
    scene.pass(SECOND * 3, &all, &nobody);
    assert!(!scene.copies[0].operators_say(scene.now, "nowhere", true));
    assert!(scene.copies[2].operators_say(scene.now, "away", true));
    scene.pass(TICK * 4, &all, &nobody);
    assert!(scene.stages().iter().all(|stage| *stage == Stage::Left), "{:?}", scene.stages());
    // Whoever said it may go: the others go on.
    scene.down[2] = true;
    scene.pass(SECOND * 70, &all, &nobody);
    let left = |scene: &Scene| (0..5).filter(|copy| scene.stages()[*copy] == Stage::Left).count();
    assert_eq!(left(&scene), 5);
    assert_eq!(scene.turns(), 0, "what they left is not tried");
    assert!(scene.copies[4].operators_say(scene.now, "away", false));
    scene.pass(SECOND * 3, &all, &nobody);
    assert_eq!(left(&scene), 1, "{:?}", scene.stages());
}
