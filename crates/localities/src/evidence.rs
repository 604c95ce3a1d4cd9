//! What all words together come to: whether a zone is lost, contradicted, or good for the next step. Plain functions of
//! what each member last said; two copies with the same words come to the same.

use crate::report::{ZoneHealth, ZoneReport};
use std::time::Duration;

/// Words and signs older than this say nothing of now.
pub const EVIDENCE_WINDOW: Duration = Duration::from_secs(2);
/// So many copies of a zone have to find another silent, where there are as many.
const MIN_SILENT_OBSERVERS: u32 = 3;
/// Where the copies of more than one zone say so: a fifth of all copies, which is more than the seventh that may lie, and so
/// many of all who know.
const FLEET_FRACTION_DIVISOR: u32 = 5;
const MIN_SILENT_FRACTION: f64 = 0.4;
/// More copies than these are answered in a zone that they left only where commands of before are: trials come in turn.
const MAX_CONCURRENT_TRIALS: u32 = 5;
/// Trials answered this long ago still count.
const TRIAL_RESULT_TTL: Duration = Duration::from_secs(4);

/// One copy's newest word, as another has it.
pub struct Observer<'a> {
    /// The zone that it stands in.
    pub zone: u32,
    pub report: &'a ZoneReport,
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
    pub same_zone: Tally,
    pub all: Tally,
    /// From how many zones somebody finds it silent.
    pub silent_zones: u32,
}

/// What the observers say of a zone, by the signs of no more than `span` ago. `own` is the zone that one stands in.
pub fn collect_evidence<'a>(
    observers: impl Iterator<Item = Observer<'a>>,
    own: u32,
    zone: u32,
    span: Duration,
) -> Evidence {
    let mut evidence = Evidence::default();
    let mut silent_zones: Vec<u32> = Vec::new();
    for observer in observers.filter(|observer| !observer.report.isolated) {
        let Some(observation) =
            observer.report.observations.iter().find(|observation| observation.zone == zone)
        else {
            continue;
        };
        let (same_zone, inside) = (observer.zone == own, observer.zone == zone && own != zone);
        let silent = matches!(observation.health, ZoneHealth::Silent { .. });
        let mut record = |record: &dyn Fn(&mut Tally)| {
            (silent || !inside).then(|| record(&mut evidence.all));
            same_zone.then(|| record(&mut evidence.same_zone));
        };
        match observation.health {
            ZoneHealth::Answering { sent_ago, slow } if sent_ago + observer.age <= span => {
                record(&|tally| {
                    (tally.answered, tally.slow) = (tally.answered + 1, tally.slow + u32::from(slow))
                });
            }
            ZoneHealth::Silent { since } if since + observer.age <= span => {
                record(&|tally| tally.silent += 1);
                if !silent_zones.contains(&observer.zone) {
                    silent_zones.push(observer.zone);
                }
            }
            _ => {}
        }
    }
    evidence.silent_zones = silent_zones.len() as u32;
    evidence
}

impl Evidence {
    /// Whether the zone is lost for copies of one's own zone, of which there are so many, as there are of all. Either half of
    /// the near ones find it silent; or a fifth of all copies do, from more than one zone, and those who know mostly agree.
    /// One copy alone never says so of a zone: what it may leave by itself is bounded by the decisions' marks.
    pub fn is_lost(&self, near_copies: u32, all_copies: u32) -> bool {
        let Evidence { same_zone, all, silent_zones } = self;
        let half = MIN_SILENT_OBSERVERS.min(near_copies).max(2).max(near_copies.div_ceil(2));
        let by_near = same_zone.silent >= half && same_zone.silent >= same_zone.answered;
        let silent_fraction_reached =
            f64::from(all.silent) >= MIN_SILENT_FRACTION * f64::from(all.silent + all.answered);
        let many = all.silent >= MIN_SILENT_OBSERVERS.max(all_copies.div_ceil(FLEET_FRACTION_DIVISOR));
        let by_all = many && *silent_zones >= 2 && silent_fraction_reached;
        by_near || (by_all && same_zone.silent >= 1 && 2 * same_zone.silent >= same_zone.answered)
    }

    /// Whether what was sent since the zone was left shows that half of those who left it are answered all the same: as
    /// when two parts of a fleet meet, one of which had lost it.
    pub fn contradicts(&self, near_copies: u32) -> bool {
        self.same_zone.answered > MAX_CONCURRENT_TRIALS.max(near_copies / 2)
    }

    /// Whether it bears the next step.
    pub fn supports_next_step(&self) -> bool {
        let few = self.same_zone == Tally::default();
        let Tally { answered, slow, silent } = if few { self.all } else { self.same_zone };
        answered >= if few { MIN_SILENT_OBSERVERS } else { 1 }
            && 4 * silent <= answered
            && 2 * slow < answered
    }
}

/// Whether trials let a zone come back that was left so long ago: those of two copies (of one, where there is one) were
/// answered, and none failed after them.
pub fn trials_succeeded<'a>(
    observers: impl Iterator<Item = Observer<'a>>,
    (own, zone): (u32, u32),
    left_for: Duration,
    near_copies: u32,
) -> bool {
    let (mut answered, mut failed) = (Vec::new(), Duration::MAX);
    for observer in observers.filter(|observer| observer.zone == own && !observer.report.isolated) {
        let Some(observation) =
            observer.report.observations.iter().find(|observation| observation.zone == zone)
        else {
            continue;
        };
        match observation.health {
            ZoneHealth::Answering { sent_ago, .. } => answered.push(sent_ago + observer.age),
            ZoneHealth::Silent { since } => failed = failed.min(since + observer.age),
            ZoneHealth::Unknown => {}
        }
    }
    answered.retain(|ago| *ago <= left_for.min(TRIAL_RESULT_TTL));
    answered.sort();
    let wanted = near_copies.clamp(1, 2) as usize;
    answered.get(wanted - 1).is_some_and(|ago| *ago < failed)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::report::ZoneObservation;

    const OWN: u32 = 1;
    const LOST: u32 = 9;

    fn report(health: ZoneHealth) -> ZoneReport {
        ZoneReport { observations: vec![ZoneObservation { zone: LOST, health }], ..ZoneReport::default() }
    }

    fn evidence(copies: &[(u32, ZoneHealth)]) -> Evidence {
        let report: Vec<(u32, ZoneReport)> =
            copies.iter().map(|(zone, health)| (*zone, report(*health))).collect();
        let observers = report.iter().map(|(zone, report)| Observer {
            zone: *zone,
            report,
            age: Duration::from_millis(100),
        });
        collect_evidence(observers, OWN, LOST, EVIDENCE_WINDOW)
    }

    fn silent() -> ZoneHealth {
        ZoneHealth::Silent { since: Duration::ZERO }
    }

    fn answers() -> ZoneHealth {
        ZoneHealth::Answering { sent_ago: Duration::from_millis(50), slow: false }
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
        assert!(mixed(4, 4, 0, 0).is_lost(8, 24), "half of the near ones, no fewer than it answers");
        assert!(!mixed(3, 2, 0, 0).is_lost(8, 24) && mixed(3, 1, 0, 0).is_lost(4, 12));
        assert!(mixed(2, 0, 0, 0).is_lost(2, 6) && !mixed(1, 0, 0, 0).is_lost(2, 6));
        assert!(!mixed(1, 0, 0, 9).is_lost(1, 10), "one alone says nothing of a zone that others reach");
        assert!(mixed(1, 2, 4, 3).is_lost(8, 24), "five of ten who know, from two zones");
        assert!(!mixed(1, 2, 3, 2).is_lost(8, 24), "four of 24: so many may lie");
        assert!(!mixed(1, 3, 4, 3).is_lost(8, 24), "its own are answered");
        assert!(!mixed(0, 0, 8, 0).is_lost(8, 24), "others' paths are none of its own");
    }

    /// A seventh of the copies say at random that a zone is silent: with any number of them it is not lost.
    #[test]
    fn a_seventh_that_lies_loses_no_zone() {
        for copies in 5usize..400 {
            let (liars, same_zone) = (copies / 7, copies / 3);
            // Whether the others know much or nothing yet.
            for known in [0, 1, 2, same_zone] {
                let spread = liars.div_ceil(3).min(same_zone);
                let evidence = mixed(spread, known.min(same_zone - spread), liars - spread, known);
                assert!(!evidence.is_lost(same_zone as u32, copies as u32), "{copies} {known}");
            }
        }
    }

    #[test]
    fn two_trials_that_were_answered_after_the_last_failure_let_a_zone_come_back() {
        let ms = Duration::from_millis;
        let trials = |ages: &[(bool, u64)], copies: u32| {
            let look = |(answered, ago): &(bool, u64)| match answered {
                true => ZoneHealth::Answering { sent_ago: ms(*ago), slow: false },
                false => ZoneHealth::Silent { since: ms(*ago) },
            };
            let report: Vec<ZoneReport> = ages.iter().map(|age| report(look(age))).collect();
            let of = |report| Observer { zone: OWN, report, age: Duration::ZERO };
            trials_succeeded(report.iter().map(of), (OWN, LOST), ms(10_000), copies)
        };
        assert!(trials(&[(true, 100), (true, 1100), (false, 2100)], 8));
        assert!(!trials(&[(true, 100), (true, 2100), (false, 1100)], 8), "one failed between them");
        assert!(!trials(&[(true, 100), (false, 1100)], 8) && trials(&[(true, 100)], 1));
        assert!(!trials(&[(true, 100), (true, 4100)], 8), "too long ago");
    }

    #[test]
    fn old_signs_and_those_of_a_copy_that_is_cut_off_count_for_nothing() {
        let old = ZoneHealth::Silent { since: Duration::from_millis(1950) };
        assert_eq!(evidence(&[(OWN, old); 5]), Evidence::default());
        let cut = ZoneReport { isolated: true, ..report(silent()) };
        let observers = (0..5).map(|_| Observer { zone: OWN, report: &cut, age: Duration::ZERO });
        assert_eq!(collect_evidence(observers, OWN, LOST, EVIDENCE_WINDOW), Evidence::default());
    }
}
