//! A check of the zones' verdicts by trying everything: a few copies of one zone, the program's own `ZoneFailover`, and each
//! way in which words between them can be lost, late or doubled, a zone be lost and found, a copy stand still or operators
//! speak, up to a depth. It owns the little world and its invariants; it must never draw by chance.

use landingspread_localities::{
    FailoverConfig, Host, OperatorCommand, OwnObservation, PeerReport, RecoveryTimings, Verdict,
    ZoneFailover, ZoneHealth, ZoneStage, decode, encode,
};
use rayon::iter::{IntoParallelRefIterator, ParallelIterator};
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Time passes by so much from one moment to the next.
const STEP: Duration = Duration::from_millis(300);
const ZONES: [&str; 2] = ["here", "away"];
const AWAY: usize = 1;
/// Rounds of words and time in calm after which all have to hold the same.
const CALM: usize = 3;
const SETTLES: usize = 8;
const TOLD_MOST: usize = 5;
const AT_ONCE: usize = 2_000;
/// How many times the zone may be lost or found, and operators may speak.
const TURNS_MOST: u8 = 2;
const SAID_MOST: u8 = 1;

/// What a copy passed since it was asked last.
#[derive(Clone, Debug, Default)]
struct Passed(Vec<Verdict>);

impl Host for Passed {
    fn verdict_issued(&mut self, _: &str, verdict: &Verdict, _: &landingspread_localities::Evidence) {
        self.0.push(*verdict);
    }
}

/// What the model plays in place of the program's own way, to show that the check finds it out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    AsItIs,
    /// Whatever verdict comes last is the one that counts: words carry no numbers.
    LastWordCounts,
    /// A word that comes four times counts four times.
    CountedOften,
}

#[derive(Clone, Debug)]
struct Copy {
    own: ZoneFailover<Passed>,
    /// How the zone away looks to it: when the last answered was sent, and when the last was lost.
    answered: Option<Duration>,
    lost: Option<Duration>,
    /// Its newest word and the one before, and when each was said.
    words: [(Vec<u8>, Duration); 2],
    /// The last that it had from each other.
    held: Vec<Option<(Vec<u8>, Duration)>>,
    /// The verdict that it goes by.
    number: u32,
}

#[derive(Clone, Debug)]
struct State {
    now: Duration,
    copies: Vec<Copy>,
    lost: bool,
    turns: u8,
    said: u8,
    /// Copies that ever saw it silent.
    saw: u8,
}

/// What the world does between two moments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Move {
    turn: bool,
    /// Words of this copy reach nobody, and none reaches it.
    alone: Option<usize>,
    /// This one's do not reach that one.
    deaf: Option<(usize, usize)>,
    /// Everybody hears the words of a moment ago.
    late: bool,
    /// It stands still meanwhile.
    still: Option<usize>,
    /// Nobody but this one has anything to send.
    sends: Option<usize>,
    operators: Option<bool>,
}

const PLAIN: Move =
    Move { turn: false, alone: None, deaf: None, late: false, still: None, sends: None, operators: None };

fn moves(copies: usize) -> Vec<Move> {
    let mut moves = vec![PLAIN, Move { late: true, ..PLAIN }];
    moves.extend((0..copies).map(|copy| Move { alone: Some(copy), ..PLAIN }));
    moves.extend((0..copies).map(|copy| Move { still: Some(copy), ..PLAIN }));
    moves.extend((0..copies).map(|copy| Move { sends: Some(copy), ..PLAIN }));
    for one in 0..copies {
        moves.extend(
            (0..copies).filter(|o| *o != one).map(|other| Move { deaf: Some((one, other)), ..PLAIN }),
        );
    }
    let turned: Vec<Move> = moves.iter().map(|plain| Move { turn: true, ..*plain }).collect();
    moves.extend(turned);
    moves.extend([true, false].map(|leave| Move { operators: Some(leave), ..PLAIN }));
    moves
}

impl Copy {
    fn start(id: usize, copies: usize) -> Copy {
        let about = FailoverConfig {
            id: id as u64,
            zone: ZONES[0].into(),
            zones: ZONES.map(String::from).into(),
            timings: RecoveryTimings { min_evacuation: STEP, min_ramp_step: STEP },
        };
        Copy {
            own: ZoneFailover::start(Passed::default(), about),
            answered: None,
            lost: None,
            words: Default::default(),
            held: vec![None; copies],
            number: 0,
        }
    }

    fn looks(&self, now: Duration) -> ZoneHealth {
        match (self.lost, self.answered) {
            (Some(lost), answered) if answered.is_none_or(|at| at < lost) => {
                ZoneHealth::Silent { since: now - lost }
            }
            (_, Some(at)) => ZoneHealth::Answering { sent_ago: now - at, slow: false },
            _ => ZoneHealth::Unknown,
        }
    }

    fn stage(&self) -> ZoneStage {
        self.own.statuses().nth(AWAY).map_or(ZoneStage::InService, |standing| standing.stage)
    }

    /// Sends something to the zone away, if it may, and tells how that ended.
    fn send(&mut self, now: Duration, lost: bool) {
        let share = self.own.traffic()[AWAY];
        if share.traffic_fraction > 0.0 || share.trial.is_some() {
            if lost { self.lost = Some(now) } else { self.answered = Some(now) }
        }
    }
}

impl State {
    fn start(copies: usize) -> State {
        let now = Duration::from_secs(100);
        let mut state = State {
            now,
            copies: (0..copies).map(|id| Copy::start(id, copies)).collect(),
            lost: false,
            turns: 0,
            said: 0,
            saw: 0,
        };
        // In their first seconds copies pass no verdict.
        (0..SETTLES).for_each(|_| drop(state.pass(PLAIN, Variant::AsItIs)));
        state
    }

    fn may(&self, next: &Move) -> bool {
        (!next.turn || self.turns < TURNS_MOST) && (next.operators.is_none() || self.said < SAID_MOST)
    }

    /// A moment passes. What was wrong in it.
    fn pass(&mut self, next: Move, variant: Variant) -> Vec<String> {
        self.now += STEP;
        self.lost ^= next.turn;
        (self.turns, self.said) =
            (self.turns + u8::from(next.turn), self.said + u8::from(next.operators.is_some()));
        self.carry(next);
        if let Some(leave) = next.operators {
            let command = if leave { OperatorCommand::Evacuate } else { OperatorCommand::Return };
            self.copies[0].own.operator_command(self.now, ZONES[AWAY], command);
        }
        let mut wrong = Vec::new();
        for number in 0..self.copies.len() {
            if next.still == Some(number) {
                continue;
            }
            if next.sends.is_none_or(|only| only == number) {
                self.copies[number].send(self.now, self.lost);
                self.saw |= u8::from(self.lost) << number;
            }
            self.tick(number, variant, &mut wrong);
        }
        wrong
    }

    fn carry(&mut self, next: Move) {
        let count = self.copies.len();
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                let away = next.alone == Some(from) || next.alone == Some(to) || next.still == Some(to);
                if !away && next.deaf != Some((from, to)) {
                    let word = self.copies[from].words[usize::from(next.late)].clone();
                    // An older word than one that came before is passed over by the membership.
                    let newer = |held: &(Vec<u8>, Duration)| held.1 < word.1;
                    if !word.0.is_empty() && self.copies[to].held[from].as_ref().is_none_or(newer) {
                        self.copies[to].held[from] = Some(word);
                    }
                }
            }
        }
    }

    fn tick(&mut self, number: usize, variant: Variant, wrong: &mut Vec<String>) {
        let now = self.now;
        let copy = &mut self.copies[number];
        let known: Vec<(usize, Vec<u8>, Duration)> = copy
            .held
            .iter()
            .enumerate()
            .filter_map(|(from, held)| held.clone().map(|(word, at)| (from, word, now - at)))
            .map(|(from, word, age)| match variant {
                Variant::LastWordCounts => (from, without_numbers(&word, copy.number), age),
                _ => (from, word, age),
            })
            .collect();
        let times = if variant == Variant::CountedOften { 4 } else { 1 };
        let peers = known.iter().flat_map(|(from, word, age)| {
            (0..times).map(move |time| PeerReport {
                id: (from + time * 100) as u64,
                name: "peer",
                zone: ZONES[0],
                report: Some(word.as_slice()),
                age: *age,
            })
        });
        let own = [
            OwnObservation {
                zone: 0,
                ready: 3,
                health: ZoneHealth::Answering { sent_ago: Duration::ZERO, slow: false },
            },
            OwnObservation { zone: AWAY, ready: 3, health: copy.looks(now) },
        ];
        let before = (copy.number, copy.stage());
        copy.own.tick(now, &own, peers);
        let stage = copy.stage();
        copy.words = [(copy.own.report_bytes().to_vec(), now), copy.words[0].clone()];
        copy.number = copy.own.statuses().nth(AWAY).map_or(0, |standing| standing.number);
        let passed = std::mem::take(&mut copy.own.host().0);
        let operators = self.said > 0;
        if copy.number < before.0 && !operators {
            wrong.push(format!("c{number} went back from verdict {} to {}", before.0, copy.number));
        }
        for verdict in passed.iter().filter(|verdict| !verdict.by_operator) {
            let (saw, all) = (self.saw.count_ones() as usize, self.copies.len());
            if verdict.stage == ZoneStage::Evacuated && saw < 3.min(all).max(all.div_ceil(2)) {
                wrong.push(format!("c{number} left the zone, which {saw} copies ever found silent"));
            }
        }
        let whole = passed.iter().any(|verdict| verdict.stage == ZoneStage::InService);
        if before.1 == ZoneStage::Evacuated && stage == ZoneStage::InService && whole && !operators {
            wrong.push(format!("c{number} took the zone back at one go"));
        }
    }

    /// In calm all come to hold one verdict.
    fn meets(&self, variant: Variant) -> Option<String> {
        let mut calm = self.clone();
        for _ in 0..CALM {
            calm.pass(PLAIN, variant);
        }
        let verdicts: Vec<(ZoneStage, u32)> =
            calm.copies.iter().map(|copy| (copy.stage(), copy.number)).collect();
        // While steps follow each other one may be a moment ahead of the others.
        let far = |one: &(ZoneStage, u32), other: &(ZoneStage, u32)| one.1.abs_diff(other.1) > 1;
        let odd = verdicts.iter().any(|one| verdicts.iter().any(|other| far(one, other)));
        odd.then(|| format!("after calm they hold {verdicts:?}"))
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// What a check came to.
#[derive(Clone, Debug, Default)]
pub struct Checked {
    pub states: usize,
    pub moves: usize,
    /// Moves after which some copy had left the zone.
    pub left: usize,
    /// What was wrong, with the moves that lead to it.
    pub broken: Vec<String>,
}

/// Plays every sequence of so many moves round so many copies; states that were met before are not played on.
pub fn check(copies: usize, depth: usize, variant: Variant) -> Checked {
    let moves = moves(copies);
    let mut checked = Checked { states: 1, ..Checked::default() };
    let mut met = HashSet::new();
    let mut layer: Vec<(State, Vec<usize>)> = vec![(State::start(copies), Vec::new())];
    for moment in 1..=depth {
        let next = |(state, path): &(State, Vec<usize>)| {
            let mut all = Vec::new();
            for (number, one) in moves.iter().enumerate().filter(|(_, one)| state.may(one)) {
                let mut after = state.clone();
                let mut wrong = after.pass(*one, variant);
                wrong.extend(after.meets(variant));
                let mut path = path.clone();
                path.push(number);
                all.push((after.digest(), after, path, wrong));
            }
            all
        };
        let mut following = Vec::new();
        // A part at a time: what is played needs much more room than what is kept.
        for part in layer.chunks(AT_ONCE) {
            let played: Vec<_> = part.par_iter().flat_map_iter(next).collect();
            checked.moves += played.len();
            for (digest, state, path, wrong) in played {
                checked.left +=
                    usize::from(state.copies.iter().any(|copy| copy.stage() == ZoneStage::Evacuated));
                for wrong in wrong {
                    if checked.broken.len() < TOLD_MOST {
                        let told: Vec<String> = path.iter().map(|number| moves[*number].told()).collect();
                        checked.broken.push(format!("{wrong}, after: {}", told.join("; ")));
                    }
                }
                if met.insert(digest) && moment < depth {
                    following.push((state, path));
                }
            }
        }
        layer = following;
        checked.states = met.len() + 1;
        if !checked.broken.is_empty() {
            return checked;
        }
    }
    checked
}

impl Move {
    fn told(&self) -> String {
        let mut told = Vec::new();
        self.turn.then(|| told.push("the zone is lost or found".to_string()));
        self.late.then(|| told.push("all words are late".into()));
        self.alone.into_iter().for_each(|copy| told.push(format!("c{copy} hears nobody")));
        self.sends.into_iter().for_each(|copy| told.push(format!("only c{copy} sends")));
        self.still.into_iter().for_each(|copy| told.push(format!("c{copy} stands still")));
        self.deaf.into_iter().for_each(|(from, to)| told.push(format!("c{to} does not hear c{from}")));
        let said = |leave| told.push(format!("operators say {}", if leave { "leave" } else { "return" }));
        self.operators.into_iter().for_each(said);
        if told.is_empty() { "time passes".into() } else { told.join(", ") }
    }
}

/// A word as it would be if whichever verdict is heard last counted: each has the number after the reader's own.
fn without_numbers(word: &[u8], own: u32) -> Vec<u8> {
    let Some(mut said) = decode(word) else { return word.to_vec() };
    for (verdict, _) in &mut said.verdicts {
        verdict.number = own + 1;
    }
    encode(&said)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn three_copies_keep_the_rules_whatever_comes_between_them() {
        let checked = check(3, 4, Variant::AsItIs);
        assert!(checked.broken.is_empty(), "{:#?}", checked.broken);
        assert!(checked.states > 1000 && checked.left > 100, "{} {}", checked.states, checked.left);
    }

    #[test]
    fn ways_that_are_wrong_are_found_out() {
        for variant in [Variant::LastWordCounts, Variant::CountedOften] {
            assert!(!check(3, 4, variant).broken.is_empty(), "{variant:?}");
        }
    }
}
