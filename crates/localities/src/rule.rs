//! What all words together come to: whether a zone is lost, contradicted, or good for the next step. Plain functions of
//! what each member last said; two copies with the same words come to the same.

use crate::words::{Looks, Said};
use std::time::Duration;

/// Words and signs older than this say nothing of now.
pub const SPAN: Duration = Duration::from_secs(2);
/// So many copies of a zone have to find another silent, where there are as many.
const AGREE: u32 = 3;
/// Where the copies of more than one zone say so: a fifth of all copies, which is more than the seventh that may lie, and so
/// many of all who know.
const FIFTH: u32 = 5;
const SILENT_SHARE: f64 = 0.4;
/// More copies than these are answered in a zone that they left only where commands of before are: trials come in turn.
const TRIALS_AT_ONCE: u32 = 5;
/// Trials answered this long ago still count.
const TRIALS_FOR: Duration = Duration::from_secs(4);

/// One copy's newest word, as another has it.
pub struct Observer<'a> {
    /// The zone that it stands in.
    pub zone: u32,
    pub said: &'a Said,
    /// How long ago the word was heard.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub answered: u32,
    pub slow: u32,
    pub silent: u32,
}

/// How one zone looks to those of one's own zone, and to all. That those who stand in the zone reach it says nothing to
/// others of their paths: it counts for these alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    pub near: Tally,
    pub all: Tally,
    /// From how many zones somebody finds it silent.
    pub silent_from: u32,
}

/// What the observers say of a zone, by the signs of no more than `span` ago. `own` is the zone that one stands in.
pub fn count<'a>(
    observers: impl Iterator<Item = Observer<'a>>,
    own: u32,
    zone: u32,
    span: Duration,
) -> Evidence {
    let mut evidence = Evidence::default();
    let mut from: Vec<u32> = Vec::new();
    for observer in observers.filter(|observer| !observer.said.cut_off) {
        let Some(word) = observer.said.looks.iter().find(|word| word.zone == zone) else { continue };
        let (near, inside) = (observer.zone == own, observer.zone == zone && own != zone);
        let silent = matches!(word.looks, Looks::Silent { .. });
        let mut add = |add: &dyn Fn(&mut Tally)| {
            (silent || !inside).then(|| add(&mut evidence.all));
            near.then(|| add(&mut evidence.near));
        };
        match word.looks {
            Looks::Answers { sent, slow } if sent + observer.age <= span => {
                add(&|tally| {
                    (tally.answered, tally.slow) = (tally.answered + 1, tally.slow + u32::from(slow))
                });
            }
            Looks::Silent { since } if since + observer.age <= span => {
                add(&|tally| tally.silent += 1);
                if !from.contains(&observer.zone) {
                    from.push(observer.zone);
                }
            }
            _ => {}
        }
    }
    evidence.silent_from = from.len() as u32;
    evidence
}

impl Evidence {
    /// Whether the zone is lost for copies of one's own zone, of which there are so many, as there are of all. Either half of
    /// the near ones find it silent; or a fifth of all copies do, from more than one zone, and those who know mostly agree.
    /// One copy alone never says so of a zone: what it may leave by itself is bounded by the decisions' marks.
    pub fn lost(&self, near_copies: u32, all_copies: u32) -> bool {
        let Evidence { near, all, silent_from } = self;
        let half = AGREE.min(near_copies).max(2).max(near_copies.div_ceil(2));
        let by_near = near.silent >= half && near.silent >= near.answered;
        let share = f64::from(all.silent) >= SILENT_SHARE * f64::from(all.silent + all.answered);
        let many = all.silent >= AGREE.max(all_copies.div_ceil(FIFTH));
        let by_all = many && *silent_from >= 2 && share;
        by_near || (by_all && near.silent >= 1 && 2 * near.silent >= near.answered)
    }

    /// Whether what was sent since the zone was left shows that half of those who left it are answered all the same: as
    /// when two parts of a fleet meet, one of which had lost it.
    pub fn contradicts(&self, near_copies: u32) -> bool {
        self.near.answered > TRIALS_AT_ONCE.max(near_copies / 2)
    }

    /// Whether it bears the next step.
    pub fn bears(&self) -> bool {
        let few = self.near == Tally::default();
        let Tally { answered, slow, silent } = if few { self.all } else { self.near };
        answered >= if few { AGREE } else { 1 } && 4 * silent <= answered && 2 * slow < answered
    }
}

/// Whether trials let a zone come back that was left so long ago: those of two copies (of one, where there is one) were
/// answered, and none failed after them.
pub fn tried<'a>(
    observers: impl Iterator<Item = Observer<'a>>,
    (own, zone): (u32, u32),
    left_for: Duration,
    near_copies: u32,
) -> bool {
    let (mut answered, mut failed) = (Vec::new(), Duration::MAX);
    for observer in observers.filter(|observer| observer.zone == own && !observer.said.cut_off) {
        let Some(word) = observer.said.looks.iter().find(|word| word.zone == zone) else { continue };
        match word.looks {
            Looks::Answers { sent, .. } => answered.push(sent + observer.age),
            Looks::Silent { since } => failed = failed.min(since + observer.age),
            Looks::Unknown => {}
        }
    }
    answered.retain(|ago| *ago <= left_for.min(TRIALS_FOR));
    answered.sort();
    let wanted = near_copies.clamp(1, 2) as usize;
    answered.get(wanted - 1).is_some_and(|ago| *ago < failed)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::words::ZoneWord;

    const OWN: u32 = 1;
    const LOST: u32 = 9;

    fn said(looks: Looks) -> Said {
        Said { looks: vec![ZoneWord { zone: LOST, looks }], ..Said::default() }
    }

    fn evidence(copies: &[(u32, Looks)]) -> Evidence {
        let said: Vec<(u32, Said)> = copies.iter().map(|(zone, looks)| (*zone, said(*looks))).collect();
        let observers =
            said.iter().map(|(zone, said)| Observer { zone: *zone, said, age: Duration::from_millis(100) });
        count(observers, OWN, LOST, SPAN)
    }

    fn silent() -> Looks {
        Looks::Silent { since: Duration::ZERO }
    }

    fn answers() -> Looks {
        Looks::Answers { sent: Duration::from_millis(50), slow: false }
    }

    fn mixed(silent_near: usize, answers_near: usize, silent_far: usize, answers_far: usize) -> Evidence {
        let mut copies = vec![(OWN, silent()); silent_near];
        copies.extend(vec![(OWN, answers()); answers_near]);
        copies.extend(vec![(2, silent()); silent_far]);
        copies.extend(vec![(2, answers()); answers_far]);
        evidence(&copies)
    }

    #[test]
    fn a_zone_is_lost_by_the_near_ones_or_by_many_from_two_zones() {
        assert!(mixed(4, 4, 0, 0).lost(8, 24), "half of the near ones, no fewer than it answers");
        assert!(!mixed(3, 2, 0, 0).lost(8, 24) && mixed(3, 1, 0, 0).lost(4, 12));
        assert!(mixed(2, 0, 0, 0).lost(2, 6) && !mixed(1, 0, 0, 0).lost(2, 6));
        assert!(!mixed(1, 0, 0, 9).lost(1, 10), "one alone says nothing of a zone that others reach");
        assert!(mixed(1, 2, 4, 3).lost(8, 24), "five of ten who know, from two zones");
        assert!(!mixed(1, 2, 3, 2).lost(8, 24), "four of 24: so many may lie");
        assert!(!mixed(1, 3, 4, 3).lost(8, 24), "its own are answered");
        assert!(!mixed(0, 0, 8, 0).lost(8, 24), "others' paths are none of its own");
    }

    /// A seventh of the copies say at random that a zone is silent: with any number of them it is not lost.
    #[test]
    fn a_seventh_that_lies_loses_no_zone() {
        for copies in 5usize..400 {
            let (liars, near) = (copies / 7, copies / 3);
            // Whether the others know much or nothing yet.
            for known in [0, 1, 2, near] {
                let spread = liars.div_ceil(3).min(near);
                let evidence = mixed(spread, known.min(near - spread), liars - spread, known);
                assert!(!evidence.lost(near as u32, copies as u32), "{copies} {known}");
            }
        }
    }

    #[test]
    fn two_trials_that_were_answered_after_the_last_failure_let_a_zone_come_back() {
        let ms = Duration::from_millis;
        let trials = |ages: &[(bool, u64)], copies: u32| {
            let look = |(answered, ago): &(bool, u64)| match answered {
                true => Looks::Answers { sent: ms(*ago), slow: false },
                false => Looks::Silent { since: ms(*ago) },
            };
            let said: Vec<Said> = ages.iter().map(|age| said(look(age))).collect();
            let of = |said| Observer { zone: OWN, said, age: Duration::ZERO };
            tried(said.iter().map(of), (OWN, LOST), ms(10_000), copies)
        };
        assert!(trials(&[(true, 100), (true, 1100), (false, 2100)], 8));
        assert!(!trials(&[(true, 100), (true, 2100), (false, 1100)], 8), "one failed between them");
        assert!(!trials(&[(true, 100), (false, 1100)], 8) && trials(&[(true, 100)], 1));
        assert!(!trials(&[(true, 100), (true, 4100)], 8), "too long ago");
    }

    #[test]
    fn old_signs_and_those_of_a_copy_that_is_cut_off_count_for_nothing() {
        let old = Looks::Silent { since: Duration::from_millis(1950) };
        assert_eq!(evidence(&[(OWN, old); 5]), Evidence::default());
        let cut = Said { cut_off: true, ..said(silent()) };
        let observers = (0..5).map(|_| Observer { zone: OWN, said: &cut, age: Duration::ZERO });
        assert_eq!(count(observers, OWN, LOST, SPAN), Evidence::default());
    }
}
