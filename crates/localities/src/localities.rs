//! The course of time: what this copy says of zones, the verdicts that it goes by, whose turn a trial is, and the share of
//! each zone that comes of it.
//!
//! A verdict is for the copies of one zone on another (or on their own): a path may be cut for some and not for others.
//! Whoever's words come to one passes it, with the next number; everybody else takes it over from the word of any copy of
//! the zone. Nobody has to be alive for that. What operators say is a verdict for all, and goes before.

use crate::rule::{self, Evidence, Observer, SPAN, count};
use crate::verdict::{Stage, Verdict, newer};
use crate::words::{self, Looks, Said, ZoneWord, zone_id};
use std::collections::BTreeMap;
use std::time::Duration;

/// Copies take turns at trials: all zones' together make one in this span.
const TRIAL_EACH: Duration = Duration::from_millis(250);
/// A copy looks again at a zone that its neighbours find silent so often, unless it has a sign as young of its own: one that
/// sends nothing there would hold up a verdict for as long.
const SECOND_LOOK_EACH: Duration = Duration::from_millis(500);
/// Tells the numbers of such looks from those of trials.
const SECOND_LOOK: u64 = 1 << 63;
/// Answers to what was sent so soon after a zone was left may be to what was sent before: clocks and words are that rough.
const SOON: Duration = Duration::from_millis(200);
/// A step that nothing speaks against, nor for, is taken after this many times its length.
const STEP_MOST: u32 = 10;
const STEP_UNTRIED: u32 = 3;
/// Departures this long ago count no more.
const REMEMBERED: Duration = Duration::from_secs(60);
/// After a further departure a zone waits this many times as long, and no longer than this.
const WAIT_GROWS: u32 = 8;
const WAIT_MOST: Duration = Duration::from_secs(60);
/// No fleet passes so many verdicts between two words, nor before a copy's first; a number beyond it is none.
const NUMBERS_AT_ONCE: u32 = 1 << 24;
/// A copy's word is made anew this often at least, as ages go on.
const SAY_EVERY: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Paces {
    /// How long a zone that was left is not taken back, whatever trials find.
    pub wait: Duration,
    /// How long each step of the return is held at least.
    pub step: Duration,
}

impl Default for Paces {
    fn default() -> Paces {
        Paces { wait: Duration::from_secs(3), step: Duration::from_millis(500) }
    }
}

/// What is told to operators.
pub trait Host {
    /// A verdict that this copy passed by what was said, or that operators gave it.
    fn passed(&mut self, _zone: &str, _verdict: &Verdict, _evidence: &Evidence) {}
    /// One that another passed.
    fn heard(&mut self, _zone: &str, _verdict: &Verdict, _by: &str) {}
}

/// Who this copy is.
#[derive(Clone, Debug)]
pub struct About {
    /// Its number in the turns: one of its own among all copies.
    pub id: u64,
    /// The zone that it stands in.
    pub zone: String,
    /// All zones by name, as configured.
    pub zones: Vec<String>,
    pub paces: Paces,
}

/// How a zone looks to the decisions of this copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Own {
    /// Its number among the configured zones.
    pub zone: usize,
    /// Servers there that the list tells as ready.
    pub ready: usize,
    pub looks: Looks,
}

/// Another copy that counts as alive.
pub struct Peer<'a> {
    pub id: u64,
    pub name: &'a str,
    /// Empty while it is not known.
    pub zone: &'a str,
    pub said: Option<&'a [u8]>,
    /// How long ago that was heard.
    pub age: Duration,
}

/// What the decisions get for a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    pub zone: usize,
    /// From 0 to 1, of what the zone would get.
    pub share: f64,
    /// A number that changes with each turn at a trial that this copy has, or at a second look where the zone is not left;
    /// none while it has none.
    pub trial: Option<u64>,
}

/// How a zone stands, for operators.
#[derive(Clone, Debug)]
pub struct Standing<'a> {
    pub zone: &'a str,
    pub stage: Stage,
    pub number: u32,
    pub operators: bool,
    pub departures: u8,
    pub since: Option<Duration>,
    pub share: f64,
    pub trial: bool,
    pub ready: usize,
    pub looks: Looks,
    pub evidence: Evidence,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    verdict: Verdict,
    /// When it was passed, by this copy's time.
    passed: Duration,
}

#[derive(Clone, Debug)]
pub struct Localities<H> {
    host: H,
    about: About,
    /// Ids of the zones, in the configured order, and of this copy's own.
    ids: Vec<u32>,
    own: u32,
    /// For copies of this zone; and what operators said, for all. By the zone that they are about.
    verdicts: BTreeMap<u32, Known>,
    operators: BTreeMap<u32, Known>,
    looks: Vec<Own>,
    evidence: Vec<Evidence>,
    turns: Vec<Option<u64>>,
    said: Said,
    word: Vec<u8>,
    said_at: Duration,
    began: Option<Duration>,
    cut_off: bool,
}

struct Heard {
    id: u64,
    zone: u32,
    said: Said,
    age: Duration,
}

impl<H: Host> Localities<H> {
    pub fn start(host: H, about: About) -> Localities<H> {
        let ids: Vec<u32> = about.zones.iter().map(|zone| zone_id(zone)).collect();
        let looks = (0..ids.len()).map(|zone| Own { zone, ready: 0, looks: Looks::Unknown }).collect();
        Localities {
            host,
            own: zone_id(&about.zone),
            verdicts: BTreeMap::new(),
            operators: BTreeMap::new(),
            looks,
            evidence: vec![Evidence::default(); ids.len()],
            turns: vec![None; ids.len()],
            ids,
            about,
            said: Said::default(),
            word: Vec::new(),
            said_at: Duration::ZERO,
            began: None,
            cut_off: false,
        }
    }

    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    // What happens

    /// Takes in how zones look to this copy and what the others say. `true`: its own word has news that others should hear
    /// soon.
    pub fn tick<'a>(&mut self, now: Duration, own: &[Own], peers: impl Iterator<Item = Peer<'a>>) -> bool {
        self.began.get_or_insert(now);
        for seen in own {
            if let Some(known) = self.looks.get_mut(seen.zone) {
                *known = *seen;
            }
        }
        let tried = |own: &&Own| own.looks != Looks::Unknown;
        let silent = |own: &Own| matches!(own.looks, Looks::Silent { .. });
        self.cut_off =
            self.looks.iter().filter(tried).count() >= 2 && self.looks.iter().filter(tried).all(silent);
        let mut heard = Vec::new();
        for peer in peers {
            let Some(said) = peer.said.and_then(words::read) else {
                heard.push(Heard {
                    id: peer.id,
                    zone: zone_id(peer.zone),
                    said: Said::default(),
                    age: peer.age,
                });
                continue;
            };
            self.take_over(now, &peer, &said);
            heard.push(Heard { id: peer.id, zone: zone_id(peer.zone), said, age: peer.age });
        }
        let before = self.said.clone();
        self.said.cut_off = self.cut_off;
        self.said.looks = self.look_words();
        for zone in 0..self.ids.len() {
            self.judge(now, zone, &heard);
            self.turns[zone] = self.turn(now, zone, &heard);
        }
        self.say(now, &before)
    }

    /// Operators take a zone out of use, or put it back, for the whole fleet. `false`: there is no such zone.
    pub fn operators_say(&mut self, now: Duration, zone: &str, leave: bool) -> bool {
        let Some(at) = self.about.zones.iter().position(|known| known == zone) else { return false };
        let id = self.ids[at];
        let number = self.operators.get(&id).map_or(0, |known| known.verdict.number).saturating_add(1);
        let stage = if leave { Stage::Left } else { Stage::Whole };
        let verdict = Verdict { zone: id, number, stage, operators: true, departures: 0 };
        self.host.passed(zone, &verdict, &self.evidence[at]);
        self.take_operators(now, verdict, Duration::ZERO);
        self.said_at = Duration::ZERO;
        true
    }

    // What others may ask

    /// This copy's word, for the others.
    pub fn word(&self) -> &[u8] {
        &self.word
    }

    pub fn shares(&self) -> Vec<Share> {
        let share = |zone: usize| Share { zone, share: self.share(zone), trial: self.turns[zone] };
        (0..self.ids.len()).map(share).collect()
    }

    pub fn cut_off(&self) -> bool {
        self.cut_off
    }

    pub fn standings(&self) -> impl Iterator<Item = Standing<'_>> {
        (0..self.ids.len()).map(|zone| {
            let by_operators = self.operators.get(&self.ids[zone]).filter(|o| o.verdict.stage == Stage::Left);
            let known = by_operators.or(self.verdicts.get(&self.ids[zone]));
            Standing {
                zone: &self.about.zones[zone],
                stage: known.map_or(Stage::Whole, |known| known.verdict.stage),
                number: known.map_or(0, |known| known.verdict.number),
                operators: by_operators.is_some(),
                departures: known.map_or(0, |known| known.verdict.departures),
                since: known.map(|known| known.passed),
                share: self.share(zone),
                trial: self.turns[zone].is_some(),
                ready: self.looks[zone].ready,
                looks: self.looks[zone].looks,
                evidence: self.evidence[zone],
            }
        })
    }

    fn stage(&self, zone: usize) -> Stage {
        let stage = |known: Option<&Known>| known.map_or(Stage::Whole, |known| known.verdict.stage);
        let id = &self.ids[zone];
        match stage(self.operators.get(id)) {
            Stage::Left => Stage::Left,
            _ => stage(self.verdicts.get(id)),
        }
    }

    fn share(&self, zone: usize) -> f64 {
        self.stage(zone).share()
    }

    // Verdicts

    fn take_over(&mut self, now: Duration, peer: &Peer, said: &Said) {
        let same = zone_id(peer.zone) == self.own;
        for (verdict, age) in &said.verdicts {
            let Some(zone) = self.ids.iter().position(|id| *id == verdict.zone) else { continue };
            let books = if verdict.operators { &self.operators } else { &self.verdicts };
            let known = books.get(&verdict.zone).map(|known| known.verdict);
            let last = known.map_or(0, |known| known.number);
            let far = verdict.number > last.saturating_add(NUMBERS_AT_ONCE);
            let new = known.is_none_or(|known| newer(verdict, &known));
            if far || !new || !(verdict.operators || same) {
                continue;
            }
            self.host.heard(&self.about.zones[zone], verdict, peer.name);
            let age = *age + peer.age;
            if verdict.operators {
                self.take_operators(now, *verdict, age);
            } else {
                let passed = now.saturating_sub(age);
                self.verdicts.insert(verdict.zone, Known { verdict: *verdict, passed });
            }
        }
    }

    /// What they put back comes in steps, as after a loss; of several copies that say so at once all say the same.
    fn take_operators(&mut self, now: Duration, verdict: Verdict, age: Duration) {
        let was_left = self.stage_of(verdict.zone) == Stage::Left;
        let passed = now.saturating_sub(age);
        self.operators.insert(verdict.zone, Known { verdict, passed });
        if was_left && verdict.stage != Stage::Left {
            let known = self.verdicts.get(&verdict.zone).map(|known| known.verdict);
            let number = known.map_or(0, |known| known.number).saturating_add(1);
            let departures = known.map_or(0, |known| known.departures);
            let step =
                Verdict { zone: verdict.zone, number, stage: Stage::Step(1), operators: false, departures };
            self.verdicts.insert(verdict.zone, Known { verdict: step, passed });
        }
    }

    fn stage_of(&self, id: u32) -> Stage {
        self.ids.iter().position(|known| *known == id).map_or(Stage::Whole, |zone| self.stage(zone))
    }

    fn pass(&mut self, now: Duration, zone: usize, stage: Stage) {
        let id = self.ids[zone];
        let known = self.verdicts.get(&id);
        let number = known.map_or(0, |known| known.verdict.number).saturating_add(1);
        let recent = known.filter(|known| known.passed + REMEMBERED > now);
        let departures = recent.map_or(0, |known| known.verdict.departures);
        let departures = departures.saturating_add(u8::from(stage == Stage::Left));
        let verdict = Verdict { zone: id, number, stage, operators: false, departures };
        self.host.passed(&self.about.zones[zone], &verdict, &self.evidence[zone]);
        self.verdicts.insert(id, Known { verdict, passed: now });
    }

    fn judge(&mut self, now: Duration, zone: usize, heard: &[Heard]) {
        let (id, own) = (self.ids[zone], self.own);
        let near = 1 + heard.iter().filter(|peer| peer.zone == own).count() as u32;
        let all = 1 + heard.len() as u32;
        // Who has just started knows few of the others, and has heard less of what they say.
        let settled = self.began.is_some_and(|began| began + SPAN <= now);
        let known = self.verdicts.get(&id).copied();
        let stage = known.map_or(Stage::Whole, |known| known.verdict.stage);
        let held = known.map_or(Duration::MAX, |known| now.saturating_sub(known.passed));
        // After a change only what was sent since says anything of it.
        let since = held.saturating_sub(SOON);
        let span = SPAN.min(since);
        let evidence = count(observers(&self.said, own, heard), own, id, span);
        self.evidence[zone] = evidence;
        if self.cut_off || self.stage(zone) != stage {
            return;
        }
        match stage {
            Stage::Left => {
                if evidence.contradicts(near) {
                    return self.pass(now, zone, Stage::Whole);
                }
                let tried = rule::tried(observers(&self.said, own, heard), (own, id), since, near);
                if held >= self.wait(known.as_ref()) && tried {
                    self.pass(now, zone, Stage::Step(1));
                }
            }
            _ if evidence.lost(near, all) && settled && self.others_are_in_use(zone) => {
                self.pass(now, zone, Stage::Left);
            }
            Stage::Step(_) => {
                let step = self.about.paces.step;
                let untried = evidence.near == rule::Tally::default() && held >= step * STEP_UNTRIED;
                let slow = evidence.near.silent == 0 && held >= step * STEP_MOST;
                if untried || slow || (held >= step && evidence.bears()) {
                    self.pass(now, zone, stage.next());
                }
            }
            Stage::Whole => {}
        }
    }

    /// The last zone is never left: what there is to be tried is tried there.
    fn others_are_in_use(&self, zone: usize) -> bool {
        let used = |other: &usize| {
            *other != zone && self.looks[*other].ready > 0 && self.stage(*other) != Stage::Left
        };
        (0..self.ids.len()).any(|other| used(&other))
    }

    /// How long a zone stays left at least: longer after each departure, and moved by a tenth that all copies know.
    fn wait(&self, known: Option<&Known>) -> Duration {
        let Some(Known { verdict, .. }) = known else { return Duration::ZERO };
        let grown = self.about.paces.wait
            * WAIT_GROWS.saturating_pow(u32::from(verdict.departures.max(1)) - 1).min(1000);
        let moved = mixed(&[u64::from(verdict.zone), u64::from(verdict.number)]) % 1000;
        grown.min(WAIT_MOST.max(self.about.paces.wait)).mul_f64(0.9 + 0.2 * moved as f64 / 1000.0)
    }

    // Turns

    /// Whether a trial there is this copy's, by the copies of its zone that count.
    fn turn(&self, now: Duration, zone: usize, heard: &[Heard]) -> Option<u64> {
        if self.needs_second_look(zone, heard) {
            return Some(SECOND_LOOK | (now.as_micros() / SECOND_LOOK_EACH.as_micros()) as u64);
        }
        let known = self.verdicts.get(&self.ids[zone])?;
        if self.stage(zone) != Stage::Left || known.verdict.stage != Stage::Left {
            return None;
        }
        let length = TRIAL_EACH * self.ids.len().max(1) as u32;
        let turn = (now.saturating_sub(known.passed).as_micros() / length.as_micros()) as u64;
        let order = |id: u64| (mixed(&[id, u64::from(self.ids[zone]), u64::from(known.verdict.number)]), id);
        let own = order(self.about.id);
        let near = heard.iter().filter(|peer| peer.zone == self.own);
        let (count, before) =
            near.fold((1, 0), |(count, before), peer| (count + 1, before + u64::from(order(peer.id) < own)));
        // At first what was sent before still comes to its end.
        (turn > 0 && turn % count == before).then_some(u64::from(known.verdict.number) << 32 | turn)
    }

    /// A neighbour finds a zone silent that is in use, and this copy has no young sign of its own.
    fn needs_second_look(&self, zone: usize, heard: &[Heard]) -> bool {
        if self.cut_off || self.stage(zone) == Stage::Left {
            return false;
        }
        let own_sign = match self.looks[zone].looks {
            Looks::Silent { .. } => true,
            Looks::Answers { sent, .. } => sent <= SECOND_LOOK_EACH,
            Looks::Unknown => false,
        };
        let silent = |word: &ZoneWord, age: Duration| {
            word.zone == self.ids[zone]
                && matches!(word.looks, Looks::Silent { since } if since + age <= SPAN)
        };
        let near = heard.iter().filter(|peer| peer.zone == self.own && !peer.said.cut_off);
        !own_sign && near.into_iter().any(|peer| peer.said.looks.iter().any(|word| silent(word, peer.age)))
    }

    // Its own word

    fn look_words(&self) -> Vec<ZoneWord> {
        self.looks.iter().map(|own| ZoneWord { zone: self.ids[own.zone], looks: own.looks }).collect()
    }

    fn say(&mut self, now: Duration, before: &Said) -> bool {
        let told = |known: &Known| (known.verdict, now.saturating_sub(known.passed));
        self.said.verdicts = self.operators.values().chain(self.verdicts.values()).map(told).collect();
        // What is not whole matters most, where not all can be told.
        self.said.verdicts.sort_by_key(|(verdict, age)| (verdict.stage == Stage::Whole, *age));
        let same = |one: &Said, other: &Said| {
            let kinds = |said: &Said| -> Vec<_> {
                said.looks.iter().map(|word| std::mem::discriminant(&word.looks)).collect()
            };
            let numbers = |said: &Said| -> Vec<Verdict> { said.verdicts.iter().map(|(v, _)| *v).collect() };
            (one.cut_off, kinds(one), numbers(one)) == (other.cut_off, kinds(other), numbers(other))
        };
        let silent = |said: &Said| said.looks.iter().any(|word| matches!(word.looks, Looks::Silent { .. }));
        let verdicts = |said: &Said| -> Vec<Verdict> { said.verdicts.iter().map(|(v, _)| *v).collect() };
        let changed = !same(&self.said, before);
        let news =
            changed && (silent(&self.said) || silent(before) || verdicts(&self.said) != verdicts(before));
        if changed || self.said_at + SAY_EVERY <= now {
            self.word = words::write(&self.said);
            self.said_at = now;
        }
        news
    }
}

/// All who say something, this copy among them.
fn observers<'a>(own_said: &'a Said, own: u32, heard: &'a [Heard]) -> impl Iterator<Item = Observer<'a>> {
    let others = heard.iter().map(|peer| Observer { zone: peer.zone, said: &peer.said, age: peer.age });
    std::iter::once(Observer { zone: own, said: own_said, age: Duration::ZERO }).chain(others)
}

/// A mix of figures that all copies come to alike (the finish of splitmix64).
fn mixed(figures: &[u64]) -> u64 {
    figures.iter().fold(0x9e37_79b9_7f4a_7c15, |mix, figure| {
        let mut mix = (mix ^ figure).wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix = (mix ^ mix >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mix = (mix ^ mix >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        mix ^ mix >> 31
    })
}
