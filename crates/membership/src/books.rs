//! All members that are known, with what is asked of all of them kept as it changes: who counts, who is away, a digest
//! of those that count, and whose news are still to be told. It owns the bounds on what is remembered.

use crate::word::{Address, Member, Standing, Word};
use slab::Slab;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// So many members are known at most.
pub const KNOWN_MOST: usize = 10_000;
/// One that is away is remembered for so long, and looked for now and then.
const REMEMBERED: Duration = Duration::from_secs(600);
/// News are told so many times for each doubling of the fleet.
const TELLS_EACH: f64 = 2.0;
/// Where so much is new at once, each of it is told no more often than this.
const MUCH: usize = 64;
const TELLS_OF_MUCH: u32 = 4;

/// Spreads addresses evenly, and alike in every build: copies compare what comes of it.
pub fn mixed(mut bits: u64) -> u64 {
    // The finalizer of SplitMix64 (Steele, Lea, Flood, OOPSLA 2014).
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

pub fn place_of(address: Address) -> u64 {
    mixed(u64::from(address.ip().to_bits()) << 16 | u64::from(address.port()) | 1 << 62)
}

pub fn share_of_digest(word: &Word) -> u64 {
    mixed(place_of(word.address) ^ word.life.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

#[derive(Debug, Default)]
pub struct Books {
    members: Slab<Member>,
    /// By their places on a ring.
    ring: BTreeMap<u64, usize>,
    live: Vec<usize>,
    away: Vec<usize>,
    suspects: Vec<usize>,
    /// Those whose news are still to be told, the least told first.
    fresh: VecDeque<usize>,
    cursor: usize,
    /// Over those that count; the copy's own part is not in it.
    digests: Digests,
}

/// A digest for each part of the ring: where two copies differ is told by which of them do.
#[derive(Clone, Debug)]
pub struct Digests([u64; Digests::PARTS]);

impl Default for Digests {
    fn default() -> Digests {
        Digests([0; Digests::PARTS])
    }
}

impl Digests {
    pub const PARTS: usize = 64;
    const BITS: u32 = 58;

    pub fn turn(&mut self, word: &Word) {
        self.0[(place_of(word.address) >> Digests::BITS) as usize] ^= share_of_digest(word);
    }

    /// Over all parts.
    pub fn whole(&self) -> u64 {
        self.0.iter().fold(0, |whole, part| whole ^ part)
    }

    /// What is told of each part.
    pub fn short(&self) -> [u16; Digests::PARTS] {
        self.0.map(|part| part as u16)
    }
}

impl Books {
    pub fn get(&self, slot: usize) -> &Member {
        &self.members[slot]
    }

    pub fn get_mut(&mut self, slot: usize) -> &mut Member {
        &mut self.members[slot]
    }

    pub fn slot(&self, address: Address) -> Option<usize> {
        self.ring.get(&place_of(address)).copied()
    }

    pub fn live(&self) -> &[usize] {
        &self.live
    }

    pub fn away(&self) -> &[usize] {
        &self.away
    }

    pub fn suspects(&self) -> &[usize] {
        &self.suspects
    }

    pub fn digests(&self) -> &Digests {
        &self.digests
    }

    /// All that are known, by their addresses' places.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.ring.values().map(|slot| &self.members[*slot])
    }

    pub fn live_members(&self) -> impl Iterator<Item = &Member> + Clone {
        self.live.iter().map(|slot| &self.members[*slot])
    }

    /// The next on the ring that nobody doubts.
    pub fn after(&self, address: Address) -> Option<usize> {
        let from = place_of(address);
        let on = self.ring.range((std::ops::Bound::Excluded(from), std::ops::Bound::Unbounded));
        let around = on.chain(self.ring.range(..from)).map(|(_, slot)| *slot);
        around.into_iter().find(|slot| self.members[*slot].standing == Standing::Alive)
    }

    /// Takes in somebody new; none where no more can be known.
    pub fn add(&mut self, word: Word, now: Duration) -> Option<usize> {
        if self.members.len() >= KNOWN_MOST {
            let longest = self.away.iter().copied().min_by_key(|slot| self.members[*slot].since)?;
            self.forget(longest);
        }
        let place = place_of(word.address);
        let counts = !word.left && !word.gone;
        let slot = self.members.insert(Member::new(word, now));
        self.ring.insert(place, slot);
        self.list(slot, counts);
        Some(slot)
    }

    fn list(&mut self, slot: usize, counts: bool) {
        let list = if counts { &mut self.live } else { &mut self.away };
        self.members[slot].live_at = Some(list.len());
        list.push(slot);
        if counts {
            self.digests.turn(&self.members[slot].word);
        }
    }

    /// `life` is the one under which it was listed.
    fn unlist(&mut self, slot: usize, counted: bool, life: u64) {
        let list = if counted { &mut self.live } else { &mut self.away };
        if let Some(at) = self.members[slot].live_at.take() {
            list.swap_remove(at);
            if let Some(moved) = list.get(at) {
                self.members[*moved].live_at = Some(at);
            }
        }
        if counted {
            let now = std::mem::replace(&mut self.members[slot].word.life, life);
            self.digests.turn(&self.members[slot].word);
            self.members[slot].word.life = now;
        }
    }

    /// Changes a member, and brings all that goes by its standing into line. The standings before and after.
    pub fn change(
        &mut self,
        slot: usize,
        now: Duration,
        grace: Duration,
        what: impl FnOnce(&mut Member) -> bool,
    ) -> Option<(Standing, Standing)> {
        let member = &mut self.members[slot];
        let (before, life) = (member.standing, member.word.life);
        if !what(member) {
            return None;
        }
        let mut after = member.comes_to(now, grace);
        if after == Standing::Suspect && before != Standing::Suspect {
            (member.standing, member.since) = (after, now);
            // With no grace a declaration counts at once.
            after = member.comes_to(now, grace);
        }
        if after != before {
            (member.standing, member.since) = (after, now);
        }
        let another = member.word.life != life;
        if before.counts() != after.counts() || another {
            self.unlist(slot, before.counts(), life);
            self.list(slot, after.counts());
        }
        if (before == Standing::Suspect) != (after == Standing::Suspect) {
            match after {
                Standing::Suspect => self.suspects.push(slot),
                _ => self.suspects.retain(|suspect| *suspect != slot),
            }
        }
        Some((before, after))
    }

    fn forget(&mut self, slot: usize) {
        let member = &self.members[slot];
        let (place, life) = (place_of(member.address()), member.life());
        let counted = member.standing.counts();
        self.unlist(slot, counted, life);
        self.suspects.retain(|suspect| *suspect != slot);
        self.fresh.retain(|fresh| *fresh != slot);
        self.ring.remove(&place);
        self.members.remove(slot);
    }

    /// Those that have been away for long are forgotten.
    pub fn forget_old(&mut self, now: Duration) {
        let old = |slot: &usize| self.members[*slot].since + REMEMBERED <= now;
        let old: Vec<usize> = self.away.iter().copied().filter(old).collect();
        old.into_iter().for_each(|slot| self.forget(slot));
    }

    /// A copy that was held up for so long has no part of that time in what it held against others before.
    pub fn shift(&mut self, before: Duration, by: Duration) {
        for slot in &self.suspects {
            let since = &mut self.members[*slot].since;
            *since += if *since <= before { by } else { Duration::ZERO };
        }
    }

    // What is told on

    /// How many times each copy tells what is news.
    pub fn times_told(&self) -> u32 {
        (TELLS_EACH * ((self.live.len() + 2) as f64).log2()).ceil() as u32
    }

    /// What is known of it by now is news. A suspicion is told fewer times: its epoch goes with every message.
    pub fn tell_on(&mut self, slot: usize) {
        let suspect = self.members[slot].standing == Standing::Suspect;
        let times = if suspect { self.times_told().div_ceil(2) } else { self.times_told() };
        // Of very much the digests tell the rest: told so often, it would take many times the budget.
        let times = if self.fresh.len() > MUCH { times.min(TELLS_OF_MUCH) } else { times };
        self.members[slot].only_said = false;
        if std::mem::replace(&mut self.members[slot].tells, times) == 0 {
            self.fresh.push_front(slot);
        }
    }

    /// Its word beside is news, if nothing else is.
    pub fn tell_on_said(&mut self, slot: usize) {
        let only = self.members[slot].tells == 0 || self.members[slot].only_said;
        self.tell_on(slot);
        self.members[slot].only_said = only;
    }

    pub fn any_news(&self) -> bool {
        !self.fresh.is_empty()
    }

    /// News, as long as `tell` has room for them.
    pub fn each_news(&mut self, mut tell: impl FnMut(&Member) -> bool) {
        for _ in 0..self.fresh.len() {
            let Some(slot) = self.fresh.pop_front() else { return };
            let member = &mut self.members[slot];
            if !tell(member) {
                self.fresh.push_front(slot);
                return;
            }
            member.tells -= 1;
            if member.tells > 0 {
                self.fresh.push_back(slot);
            }
        }
    }

    /// Members in turn, each once at most, as long as `tell` has room for them.
    pub fn each_in_turn(&mut self, mut tell: impl FnMut(&Member) -> bool) {
        for _ in 0..self.members.capacity() {
            if self.cursor >= self.members.capacity() {
                self.cursor = 0;
            }
            if self.members.get(self.cursor).is_some_and(|member| !tell(member)) {
                return;
            }
            self.cursor += 1;
        }
    }

    /// Members of the ring's parts that `wanted` says so, as long as `tell` has room for them.
    pub fn each_of_parts(
        &self,
        wanted: impl Fn(usize) -> bool,
        from: usize,
        mut tell: impl FnMut(&Member) -> bool,
    ) {
        for part in
            (0..Digests::PARTS).map(|part| (part + from) % Digests::PARTS).filter(|part| wanted(*part))
        {
            let first = (part as u64) << Digests::BITS;
            let last = first | ((1 << Digests::BITS) - 1);
            for slot in self.ring.range(first..=last).map(|(_, slot)| *slot) {
                if !tell(&self.members[slot]) {
                    return;
                }
            }
        }
    }

    /// How many turns there are: some of them may be nobody's.
    pub fn turns(&self) -> usize {
        self.members.capacity()
    }

    pub fn start_turn_at(&mut self, at: usize) {
        self.cursor = at;
    }
}
