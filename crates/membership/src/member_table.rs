//! All members that are known, with what is asked of all of them kept as it changes: who counts, who is away, a digest
//! of those that count, and whose news are still to be told. It owns the bounds on what is remembered.

use crate::member::{Address, Announcement, Member, MemberState};
use slab::Slab;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// So many members are known at most.
pub const MAX_MEMBERS: usize = 10_000;
/// One that is away is remembered for so long, and looked for now and then.
const FORGET_ABSENT_AFTER: Duration = Duration::from_secs(600);
/// News are told so many times for each doubling of the fleet.
const TRANSMISSIONS_PER_DOUBLING: f64 = 2.0;
/// Where so much is new at once, each of it is told no more often than this.
const LARGE_BACKLOG: usize = 64;
const MAX_TRANSMISSIONS_IN_BACKLOG: u32 = 4;

/// Spreads addresses evenly, and alike in every build: copies compare what comes of it.
pub fn mix_bits(mut bits: u64) -> u64 {
    // The finalizer of SplitMix64 (Steele, Lea, Flood, OOPSLA 2014).
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

pub fn ring_position(address: Address) -> u64 {
    mix_bits(u64::from(address.ip().to_bits()) << 16 | u64::from(address.port()) | 1 << 62)
}

pub fn digest_contribution(announcement: &Announcement) -> u64 {
    mix_bits(
        ring_position(announcement.address) ^ announcement.incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15),
    )
}

#[derive(Debug, Default)]
pub struct MemberTable {
    members: Slab<Member>,
    /// By their places on a ring.
    ring: BTreeMap<u64, usize>,
    live: Vec<usize>,
    absent: Vec<usize>,
    suspects: Vec<usize>,
    /// Those whose news are still to be told, the least told first.
    pending_gossip: VecDeque<usize>,
    cursor: usize,
    /// Over those that count; the copy's own part is not in it.
    digests: Digests,
}

/// A digest for each part of the ring: where two copies differ is told by which of them do.
#[derive(Clone, Debug)]
pub struct Digests([u64; Digests::PARTITIONS]);

impl Default for Digests {
    fn default() -> Digests {
        Digests([0; Digests::PARTITIONS])
    }
}

impl Digests {
    pub const PARTITIONS: usize = 64;
    const PARTITION_SHIFT: u32 = 58;

    pub fn toggle(&mut self, announcement: &Announcement) {
        self.0[(ring_position(announcement.address) >> Digests::PARTITION_SHIFT) as usize] ^=
            digest_contribution(announcement);
    }

    /// Over all parts.
    pub fn combined(&self) -> u64 {
        self.0.iter().fold(0, |combined, part| combined ^ part)
    }

    /// What is told of each part.
    pub fn truncated(&self) -> [u16; Digests::PARTITIONS] {
        self.0.map(|part| part as u16)
    }
}

impl MemberTable {
    pub fn get(&self, slot: usize) -> &Member {
        &self.members[slot]
    }

    pub fn get_mut(&mut self, slot: usize) -> &mut Member {
        &mut self.members[slot]
    }

    pub fn slot(&self, address: Address) -> Option<usize> {
        self.ring.get(&ring_position(address)).copied()
    }

    pub fn live(&self) -> &[usize] {
        &self.live
    }

    pub fn absent(&self) -> &[usize] {
        &self.absent
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
    pub fn next_alive_after(&self, address: Address) -> Option<usize> {
        let from = ring_position(address);
        let on = self.ring.range((std::ops::Bound::Excluded(from), std::ops::Bound::Unbounded));
        let around = on.chain(self.ring.range(..from)).map(|(_, slot)| *slot);
        around.into_iter().find(|slot| self.members[*slot].state == MemberState::Alive)
    }

    /// Takes in somebody new; none where no more can be known.
    pub fn add(&mut self, announcement: Announcement, now: Duration) -> Option<usize> {
        if self.members.len() >= MAX_MEMBERS {
            let longest = self.absent.iter().copied().min_by_key(|slot| self.members[*slot].state_since)?;
            self.forget(longest);
        }
        let position = ring_position(announcement.address);
        let is_live = !announcement.left && !announcement.considered_dead;
        let slot = self.members.insert(Member::new(announcement, now));
        self.ring.insert(position, slot);
        self.insert_into_list(slot, is_live);
        Some(slot)
    }

    fn insert_into_list(&mut self, slot: usize, is_live: bool) {
        let list = if is_live { &mut self.live } else { &mut self.absent };
        self.members[slot].list_index = Some(list.len());
        list.push(slot);
        if is_live {
            self.digests.toggle(&self.members[slot].announcement);
        }
    }

    /// `life` is the one under which it was listed.
    fn remove_from_list(&mut self, slot: usize, was_live: bool, incarnation: u64) {
        let list = if was_live { &mut self.live } else { &mut self.absent };
        if let Some(at) = self.members[slot].list_index.take() {
            list.swap_remove(at);
            if let Some(moved) = list.get(at) {
                self.members[*moved].list_index = Some(at);
            }
        }
        if was_live {
            let now = std::mem::replace(&mut self.members[slot].announcement.incarnation, incarnation);
            self.digests.toggle(&self.members[slot].announcement);
            self.members[slot].announcement.incarnation = now;
        }
    }

    /// Changes a member, and brings all that goes by its standing into line. The standings before and after.
    pub fn update(
        &mut self,
        slot: usize,
        now: Duration,
        grace: Duration,
        apply: impl FnOnce(&mut Member) -> bool,
    ) -> Option<(MemberState, MemberState)> {
        let member = &mut self.members[slot];
        let (before, incarnation) = (member.state, member.announcement.incarnation);
        if !apply(member) {
            return None;
        }
        let mut after = member.evaluate_state(now, grace);
        if after == MemberState::Suspect && before != MemberState::Suspect {
            (member.state, member.state_since) = (after, now);
            // With no grace a declaration counts at once.
            after = member.evaluate_state(now, grace);
        }
        if after != before {
            (member.state, member.state_since) = (after, now);
        }
        let incarnation_changed = member.announcement.incarnation != incarnation;
        if before.is_live() != after.is_live() || incarnation_changed {
            self.remove_from_list(slot, before.is_live(), incarnation);
            self.insert_into_list(slot, after.is_live());
        }
        if (before == MemberState::Suspect) != (after == MemberState::Suspect) {
            match after {
                MemberState::Suspect => self.suspects.push(slot),
                _ => self.suspects.retain(|suspect| *suspect != slot),
            }
        }
        Some((before, after))
    }

    fn forget(&mut self, slot: usize) {
        let member = &self.members[slot];
        let (position, incarnation) = (ring_position(member.address()), member.incarnation());
        let was_live = member.state.is_live();
        self.remove_from_list(slot, was_live, incarnation);
        self.suspects.retain(|suspect| *suspect != slot);
        self.pending_gossip.retain(|pending_gossip| *pending_gossip != slot);
        self.ring.remove(&position);
        self.members.remove(slot);
    }

    /// Those that have been away for long are forgotten.
    pub fn forget_absent(&mut self, now: Duration) {
        let old = |slot: &usize| self.members[*slot].state_since + FORGET_ABSENT_AFTER <= now;
        let old: Vec<usize> = self.absent.iter().copied().filter(old).collect();
        old.into_iter().for_each(|slot| self.forget(slot));
    }

    /// A copy that was held up for so long has no part of that time in what it held against others before.
    pub fn exclude_pause(&mut self, before: Duration, pause: Duration) {
        for slot in &self.suspects {
            let since = &mut self.members[*slot].state_since;
            *since += if *since <= before { pause } else { Duration::ZERO };
        }
    }

    // What is told on

    /// How many times each copy tells what is news.
    pub fn transmission_limit(&self) -> u32 {
        (TRANSMISSIONS_PER_DOUBLING * ((self.live.len() + 2) as f64).log2()).ceil() as u32
    }

    /// What is known of it by now is news. A suspicion is told fewer times: its epoch goes with every message.
    pub fn enqueue_gossip(&mut self, slot: usize) {
        let suspect = self.members[slot].state == MemberState::Suspect;
        let times = if suspect { self.transmission_limit().div_ceil(2) } else { self.transmission_limit() };
        // Of very much the digests tell the rest: told so often, it would take many times the budget.
        let times = if self.pending_gossip.len() > LARGE_BACKLOG {
            times.min(MAX_TRANSMISSIONS_IN_BACKLOG)
        } else {
            times
        };
        self.members[slot].payload_only = false;
        if std::mem::replace(&mut self.members[slot].transmissions_left, times) == 0 {
            self.pending_gossip.push_front(slot);
        }
    }

    /// Its word beside is news, if nothing else is.
    pub fn enqueue_payload(&mut self, slot: usize) {
        let only = self.members[slot].transmissions_left == 0 || self.members[slot].payload_only;
        self.enqueue_gossip(slot);
        self.members[slot].payload_only = only;
    }

    pub fn has_pending_gossip(&self) -> bool {
        !self.pending_gossip.is_empty()
    }

    /// News, as long as `tell` has room for them.
    pub fn drain_gossip(&mut self, mut visit: impl FnMut(&Member) -> bool) {
        for _ in 0..self.pending_gossip.len() {
            let Some(slot) = self.pending_gossip.pop_front() else { return };
            let member = &mut self.members[slot];
            if !visit(member) {
                self.pending_gossip.push_front(slot);
                return;
            }
            member.transmissions_left -= 1;
            if member.transmissions_left > 0 {
                self.pending_gossip.push_back(slot);
            }
        }
    }

    /// Members in turn, each once at most, as long as `tell` has room for them.
    pub fn for_each_in_rotation(&mut self, mut visit: impl FnMut(&Member) -> bool) {
        for _ in 0..self.members.capacity() {
            if self.cursor >= self.members.capacity() {
                self.cursor = 0;
            }
            if self.members.get(self.cursor).is_some_and(|member| !visit(member)) {
                return;
            }
            self.cursor += 1;
        }
    }

    /// Members of the ring's parts that `wanted` says so, as long as `tell` has room for them.
    pub fn for_each_in_partitions(
        &self,
        wanted: impl Fn(usize) -> bool,
        from: usize,
        mut visit: impl FnMut(&Member) -> bool,
    ) {
        for part in (0..Digests::PARTITIONS)
            .map(|part| (part + from) % Digests::PARTITIONS)
            .filter(|part| wanted(*part))
        {
            let first = (part as u64) << Digests::PARTITION_SHIFT;
            let last = first | ((1 << Digests::PARTITION_SHIFT) - 1);
            for slot in self.ring.range(first..=last).map(|(_, slot)| *slot) {
                if !visit(&self.members[slot]) {
                    return;
                }
            }
        }
    }

    /// How many turns there are: some of them may be nobody's.
    pub fn rotation_len(&self) -> usize {
        self.members.capacity()
    }

    pub fn set_rotation(&mut self, at: usize) {
        self.cursor = at;
    }
}
