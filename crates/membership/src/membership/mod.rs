//! The protocol: what a copy does when a message comes and when time passes. It acts through its host; the view that comes
//! of it is read by whoever asks.
//!
//! Each period a copy asks two members whether they are there: the next on the ring, so that everybody is looked at in
//! each period by somebody, and one in turn. One who doesn't answer is asked through three others. One whom nobody
//! reached is accused, in a new epoch; every word that it says after it has heard of that epoch, from anyone, clears it.
//! An accuser declares it dead once three accuse it (or all who can be heard, where they are fewer) and half a second
//! has brought no such word. A copy that hears nobody tells nobody what it thinks of them.

use crate::books::{Books, Digests};
use crate::budget::Purse;
use crate::counted::{Count, Counted};
use crate::places;
use crate::probes::{Probe, Prober, Probes};
use crate::wire::{self, Head, Kind, Reader, Unread, Writer};
use crate::word::{Address, Member, Said, Standing, Word};
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

mod hearing;
mod host;
mod probing;
mod telling;

pub use host::{About, Host, Spent};

use hearing::Heard;

/// What is told of a life has 48 bits; an epoch, which has as many, grows by no more than this in one message.
const LIFE_MOST: u64 = 0xffff_ffff_ffff;
const EPOCHS_AT_ONCE: u64 = 1 << 32;
const PERIOD: Duration = Duration::from_millis(250);
const HELPERS: usize = 3;
/// So many have to accuse a member before it is declared dead.
const AGREE: usize = 3;
/// So many of all who hear an accusation look for themselves, on average.
const LOOK_TOO: f64 = 3.0;
/// Who has not been heard for so long counts for no agreement.
const HEARD_WITHIN: Duration = Duration::from_secs(1);
/// One who is declared dead has so long from the first doubt, for its own word to come.
const GRACE: Duration = Duration::from_millis(400);
/// Views that differed are brought together for so long after the last sign of it.
const DIFFER_FOR: Duration = Duration::from_millis(500);
/// Members that are away, and seeds, are looked for this often.
const FAR_EVERY: Duration = Duration::from_millis(500);
const LEAVE_TO: usize = 12;
/// A tick that comes so much later than the last shows that this copy was held up.
const LATE: Duration = Duration::from_millis(150);
const DOUBT_MOST: u32 = 4;
/// So long after its start a copy takes a place.
const SETTLED: Duration = Duration::from_millis(1500);
const COUNT_EVERY: Duration = Duration::from_millis(250);
/// Words of traffic older than this are not counted.
const TRAFFIC_FOR: Duration = Duration::from_secs(60);
/// As long a dead member may be alive beyond a cut, and send to a cold server.
const MAY_LIVE: Duration = Duration::from_secs(30);

pub struct Membership<H: Host> {
    host: H,
    fleet: Box<str>,
    own: Word,
    /// Its own word beside, and how many times it is still told at once.
    said: Said,
    said_tells: u32,
    seeds: Vec<Address>,
    books: Books,
    chance: ChaCha8Rng,
    purse: Purse,
    probes: Probes,
    epoch: u64,
    began: Duration,
    now: Duration,
    ticked: Duration,
    probe_at: Duration,
    press_at: Duration,
    news_at: Duration,
    far_at: Duration,
    count_at: Duration,
    differ_until: Duration,
    /// The last epoch that anybody was declared dead in: who affirmed it since is alive, whatever was declared.
    disputed: u64,
    /// Members still to be asked in this round.
    round: Vec<Address>,
    /// Since when this copy accuses whom it accuses.
    accusing: Vec<(Address, Duration)>,
    /// How far it doubts itself: it was held up, or accused who was alive.
    doubt: u32,
    count: Count,
    /// Copies by the configuration: as many may live, whatever is heard.
    configured: f64,
    counted: Counted,
    spent: Spent,
    refused: u64,
    heard_by_any: bool,
}

impl<H: Host> Membership<H> {
    /// How often `tick` is to be called.
    pub const TICK: Duration = Duration::from_millis(50);

    pub fn start(host: H, about: About, seed: u64, now: Duration) -> Membership<H> {
        let own = Word {
            address: about.address,
            life: about.life.min(LIFE_MOST),
            beat: 0,
            affirmed: 1,
            traffic: 0,
            place: places::NONE,
            left: false,
            gone: false,
            name: wire::clipped(&about.name).into(),
            zone: wire::clipped(&about.zone).into(),
        };
        let seeds = about.seeds.into_iter().filter(|seed| *seed != about.address).collect();
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        // Copies that start together must not ask together for ever.
        let first = PERIOD.mul_f64(chance.random());
        let (copies, may_live) = (about.configured, about.configured);
        Membership {
            host,
            fleet: about.fleet.into(),
            own,
            said: Said::default(),
            said_tells: 0,
            seeds,
            books: Books::default(),
            chance,
            purse: Purse::new(about.budget, now),
            probes: Probes::default(),
            epoch: 1,
            began: now,
            now,
            ticked: now,
            probe_at: now + first,
            press_at: now,
            news_at: now,
            far_at: now,
            count_at: now,
            differ_until: now,
            disputed: 0,
            round: Vec::new(),
            accusing: Vec::new(),
            doubt: 0,
            count: Count::new(about.configured, now),
            configured: about.configured,
            counted: Counted { copies, may_live, place: places::NONE, traffic: None },
            spent: Spent::default(),
            refused: 0,
            heard_by_any: false,
        }
    }

    // What others may ask

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn address(&self) -> Address {
        self.own.address
    }

    /// All other members that are known, those that are away among them.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.books.all()
    }

    /// How many count, this copy among them.
    pub fn live(&self) -> usize {
        self.books.live().len() + usize::from(!self.own.left)
    }

    /// Two copies that count the same members have the same digest.
    pub fn digest(&self) -> u64 {
        self.digests().whole()
    }

    fn digests(&self) -> Digests {
        let mut digests = self.books.digests().clone();
        if !self.own.left {
            digests.turn(&self.own);
        }
        digests
    }

    pub fn counted(&self) -> Counted {
        self.counted
    }

    pub fn spent(&self) -> Spent {
        self.spent
    }

    /// How far this copy doubts itself, from 0 to 4.
    pub fn doubt(&self) -> u32 {
        self.doubt
    }

    /// Whether anybody was heard lately.
    pub fn hears_anybody(&self) -> bool {
        self.books.live_members().any(|member| self.reaches(member))
    }

    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    // What happens

    /// Commands a second that come to this copy.
    pub fn traffic(&mut self, per_s: f64) {
        self.own.traffic = (per_s * 10.0).clamp(0.0, 65535.0) as u16;
    }

    /// What else this copy says, at most 200 bytes: it goes with all that it sends, and others pass it on; at once where it
    /// presses. Each replaces the one before; no bytes say nothing.
    pub fn say(&mut self, bytes: &[u8], presses: bool) {
        let bytes = &bytes[..bytes.len().min(wire::SAID_MOST)];
        if *self.said.bytes == *bytes && !presses {
            return;
        }
        self.said = Said { number: self.said.number.wrapping_add(1), presses, bytes: bytes.into() };
        if presses {
            self.said_tells = self.books.times_told();
        }
    }

    /// It ends: told to some, who tell it on; nobody is waited for.
    pub fn leave(&mut self, now: Duration) {
        self.now = now;
        self.own.left = true;
        let to: Vec<Address> = self.some_live(LEAVE_TO, None);
        to.into_iter().for_each(|to| self.send(to, Kind::News, 0, None, false));
    }

    pub fn heard(&mut self, now: Duration, bytes: &[u8]) {
        self.now = now;
        let (head, entries) = match wire::head(bytes, &self.fleet) {
            Ok(read) => read,
            Err(Unread::Strange) => return self.spent.strange += 1,
            Err(Unread::Later) => return self.spent.later += 1,
        };
        let Some((word, rest)) = wire::sender(entries) else {
            return self.spent.strange += 1;
        };
        let from = word.address;
        if from == self.own.address {
            // Its own, come back; or another process's under its address.
            return self.own_word(&word);
        }
        if !self.believes(head.epoch) || !self.believes(word.affirmed) {
            return self.spent.strange += 1;
        }
        self.epoch = self.epoch.max(head.epoch);
        if head.digest != self.digest() {
            self.differ_until = now + DIFFER_FOR;
        }
        let known = self.books.slot(from).is_some_and(|slot| self.books.get(slot).standing.counts());
        self.take(word, true);
        let mut heard = Heard { of: self, subject: None, parts: Vec::new() };
        if wire::entries(rest, &mut heard).is_none() {
            heard.of.spent.strange += 1;
        }
        let (subject, parts) = (heard.subject, std::mem::take(&mut heard.parts));
        if !parts.is_empty() && self.purse.spares(now) {
            self.tell_parts(from, &parts);
        }
        match (head.kind, subject) {
            (Kind::Ping, _) => self.send(from, Kind::Ack, head.number, None, !known),
            (Kind::Ack, subject) => self.answered(head.number, subject.unwrap_or(from)),
            (Kind::Ask, Some(subject)) => self.look_for(from, head.number, subject),
            // Its helper does not reach the subject, but answers: the fault is not this copy's own.
            (Kind::Nack, _) => self.doubt = self.doubt.saturating_sub(1),
            (Kind::Ask, None) | (Kind::News, _) => {}
        }
    }

    pub fn tick(&mut self, now: Duration) {
        let (before, late) = (self.ticked, now.saturating_sub(self.ticked + Self::TICK));
        (self.now, self.ticked) = (now, now);
        if late > LATE {
            // Whoever was silent meanwhile may have spoken.
            self.probes.shift(before, late);
            self.books.shift(before, late);
            let held = self.accusing.iter_mut().filter(|(_, since)| *since <= before);
            held.for_each(|(_, since)| *since += late);
            self.doubt = (self.doubt + 1).min(DOUBT_MOST);
        }
        if self.own.left {
            return;
        }
        let patience = 1 + self.doubt + self.probes.slowness();
        for probe in self.probes.given_up(now, patience) {
            self.not_answered(&probe);
        }
        let mut probes = std::mem::take(&mut self.probes);
        probes.go_on(now, patience, self);
        self.probes = probes;
        self.judge();
        if self.probe_at <= now {
            self.probe_at = now + PERIOD;
            self.probe_some();
        }
        self.tell_news();
        if self.far_at <= now {
            self.far_at = now + FAR_EVERY;
            self.look_far();
            self.books.forget_old(now);
        }
        if self.count_at <= now {
            self.count_at = now + COUNT_EVERY;
            self.recount();
        }
        self.counted.copies = self.count.bring(now, self.count_live());
    }

    // What is known

    /// Until anybody was heard, what is configured holds.
    fn count_live(&self) -> f64 {
        if self.heard_by_any { self.live() as f64 } else { self.counted.copies }
    }

    fn recount(&mut self) {
        let now = self.now;
        // Before the view has filled its rank would be another's.
        if self.began + SETTLED <= now {
            let (own, chance) =
                ((self.own.life, self.own.address), self.chance.random_range(0..places::CHOICES));
            self.own.place = places::choose(own, self.own.place, self.books.live_members(), chance);
            self.counted.place = self.own.place;
        }
        if !self.heard_by_any {
            return;
        }
        let gone = self.books.away().iter().map(|slot| self.books.get(*slot));
        let may_live =
            gone.filter(|member| member.standing == Standing::Dead && member.since + MAY_LIVE > now);
        // One that hears nobody for long is no fleet of its own: others may be cut off as it is.
        self.counted.may_live = ((self.live() + may_live.count()) as f64).max(self.configured);
        let said = self.books.live_members().filter(|member| member.heard + TRAFFIC_FOR > now);
        let (sum, count) =
            said.fold((0.0, 0.0), |(sum, count), member| (sum + member.traffic(), count + 1.0));
        let own = f64::from(self.own.traffic) / 10.0;
        self.counted.traffic = (count > 0.0).then(|| (sum + own) / (count + 1.0));
    }

    /// No fleet comes so far within one message; a word that says so would be believed for ever.
    fn believes(&self, epoch: u64) -> bool {
        epoch <= self.epoch + EPOCHS_AT_ONCE
    }

    fn own_word(&mut self, word: &Word) {
        if (word.life, word.beat) <= (self.own.life, self.own.beat) {
            return;
        }
        // Another process had the address, with a clock ahead of this one's.
        (self.own.life, self.own.beat) = ((word.life + 1).min(LIFE_MOST), 0);
        self.host.taken_for_dead();
    }

    fn take(&mut self, word: Word, direct: bool) {
        let (address, now) = (word.address, self.now);
        if address == self.own.address {
            return self.own_word(&word);
        }
        if !self.believes(word.affirmed) {
            return;
        }
        self.epoch = self.epoch.max(word.affirmed);
        self.heard_by_any = true;
        let Some(slot) = self.books.slot(address) else {
            return self.take_new(word, direct);
        };
        let life = self.books.get(slot).life();
        if direct {
            self.books.get_mut(slot).direct = Some(now);
        }
        let changed = self.books.change(slot, now, GRACE, |member| member.takes(word, now));
        let Some((before, after)) = changed else { return };
        self.told_of(slot, before, after);
        if self.books.get(slot).life() != life && after.counts() {
            self.books.tell_on(slot);
            if before == after {
                self.host.returned(self.books.get(slot));
            }
        }
    }

    fn take_new(&mut self, word: Word, direct: bool) {
        let (now, counts) = (self.now, !word.left && !word.gone);
        let Some(slot) = self.books.add(word, now) else {
            self.refused += 1;
            if self.refused.is_power_of_two() {
                self.host.full(self.refused as usize);
            }
            return;
        };
        if direct {
            self.books.get_mut(slot).direct = Some(now);
        }
        if counts {
            self.books.tell_on(slot);
            let member = self.books.get(slot);
            self.host.joined(member);
            let twin = self.books.live_members().find(|other| {
                other.name() == member.name()
                    && !other.name().is_empty()
                    && other.address() != member.address()
            });
            twin.into_iter().for_each(|twin| self.host.twins(twin, member));
        }
    }

    /// What is told on and to whom it matters, after a member's standing may have changed.
    fn told_of(&mut self, slot: usize, before: Standing, after: Standing) {
        if before == after {
            return;
        }
        self.books.tell_on(slot);
        let member = self.books.get(slot);
        match (before, after) {
            (_, Standing::Suspect) => self.host.suspected(member),
            (Standing::Suspect, Standing::Alive) => self.host.refuted(member),
            (_, Standing::Alive) => self.host.returned(member),
            (_, Standing::Dead) => self.host.died(member, !member.alone),
            (_, Standing::Left) => {
                self.host.left(member);
                self.count.one_left();
            }
        }
    }

    /// Whether a member can be counted on to answer.
    fn reaches(&self, member: &Member) -> bool {
        let heard = member.direct.is_some_and(|at| at + HEARD_WITHIN > self.now);
        heard && member.standing == Standing::Alive
    }

    /// How many can be counted on, up to the number that has to agree.
    fn reached(&self) -> usize {
        self.books.live_members().filter(|member| self.reaches(member)).take(AGREE).count()
    }

    /// The chance with which one who hears an accusation looks for itself: where few are left, all have to.
    fn look_too(&self) -> f64 {
        if self.reached() < AGREE { 1.0 } else { LOOK_TOO / self.books.live().len() as f64 }
    }
}
