//! The member table: all known members, the indexes over them (live, absent and suspect members, digests of the view) and
//! the queue of members whose state is to be gossiped. It enforces the limits on how many members are kept and how long.

use crate::digests::{Digests, ring_position};
use crate::member::{Address, Announcement, Member, MemberState};
use slab::Slab;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::time::Duration;

/// Maximum number of members in the table.
pub const MAX_MEMBERS: usize = 10_000;
/// How long an absent member is kept in the table and pinged occasionally.
const FORGET_ABSENT_AFTER: Duration = Duration::from_secs(600);
/// The number of transmissions of a change per doubling of the fleet size (lambda of SWIM's lambda log n).
const TRANSMISSIONS_PER_DOUBLING: f64 = 2.0;
/// If more members than this are pending for gossip, new changes get at most `MAX_TRANSMISSIONS_IN_BACKLOG`
/// transmissions.
const LARGE_BACKLOG: usize = 64;
const MAX_TRANSMISSIONS_IN_BACKLOG: u32 = 4;

/// A member's state before and after an update; the two may be equal.
#[derive(Clone, Copy, Debug)]
pub struct StateChange {
    /// The state before the update.
    pub before: MemberState,
    /// The state after the update.
    pub after: MemberState,
}

/// All known members, without the local one. A slot identifies a member until the member is forgotten.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: Slab<Member>,
    /// Slots by ring position.
    ring: BTreeMap<u64, usize>,
    live: Vec<usize>,
    absent: Vec<usize>,
    suspects: Vec<usize>,
    /// Slots of members whose state is to be gossiped: new changes are added at the front, transmitted ones at the back.
    pending_gossip: VecDeque<usize>,
    /// The position at which the rotation over all members continues.
    cursor: usize,
    /// Digests over the live members, without the local member.
    digests: Digests,
}

impl MemberTable {
    /// The member in `slot`, which must be occupied.
    pub fn get(&self, slot: usize) -> &Member {
        &self.members[slot]
    }

    /// The member in `slot`, for changes that affect neither its state nor its incarnation. All other changes must use
    /// `update`, which keeps the indexes consistent.
    pub fn get_mut(&mut self, slot: usize) -> &mut Member {
        &mut self.members[slot]
    }

    /// The slot of the member with this address; `None` if it is unknown.
    pub fn slot(&self, address: Address) -> Option<usize> {
        self.ring.get(&ring_position(address)).copied()
    }

    /// Slots of live members, which are alive or suspect.
    pub fn live(&self) -> &[usize] {
        &self.live
    }

    /// Slots of members that are dead or have left.
    pub fn absent(&self) -> &[usize] {
        &self.absent
    }

    /// Slots of suspect members.
    pub fn suspects(&self) -> &[usize] {
        &self.suspects
    }

    /// The digests over the live members in the table, without the local member.
    pub fn digests(&self) -> &Digests {
        &self.digests
    }

    /// All known members in ring order.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.ring.values().map(|slot| &self.members[*slot])
    }

    /// The members that are alive or suspect, in no particular order.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> + Clone {
        self.live.iter().map(|slot| &self.members[*slot])
    }

    /// The slot of the next member after `address` on the ring whose state is alive.
    pub fn next_alive_after(&self, address: Address) -> Option<usize> {
        let position = ring_position(address);
        let following = self.ring.range((Bound::Excluded(position), Bound::Unbounded));
        let mut candidates = following.chain(self.ring.range(..position)).map(|(_, slot)| *slot);
        candidates.find(|slot| self.members[*slot].state == MemberState::Alive)
    }

    /// Adds an unknown member. If the table is full, it replaces the member that has been absent longest; returns `None`
    /// if no member is absent.
    pub fn add(&mut self, announcement: Announcement, now: Duration) -> Option<usize> {
        if self.members.len() >= MAX_MEMBERS {
            let longest_absent =
                self.absent.iter().copied().min_by_key(|slot| self.members[*slot].state_since)?;
            self.forget(longest_absent);
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

    /// Removes the member from its list. `incarnation` is the one under which it was inserted, which the digest contains.
    fn remove_from_list(&mut self, slot: usize, was_live: bool, incarnation: u64) {
        let list = if was_live { &mut self.live } else { &mut self.absent };
        if let Some(index) = self.members[slot].list_index.take() {
            list.swap_remove(index);
            if let Some(moved) = list.get(index) {
                self.members[*moved].list_index = Some(index);
            }
        }
        if was_live {
            let announcement = &mut self.members[slot].announcement;
            let current = std::mem::replace(&mut announcement.incarnation, incarnation);
            self.digests.toggle(announcement);
            announcement.incarnation = current;
        }
    }

    /// Applies a change to a member, evaluates its state, and updates all indexes. Returns `None` if `apply` returns
    /// `false`, which means that nothing changed.
    pub fn update(
        &mut self,
        slot: usize,
        now: Duration,
        grace: Duration,
        apply: impl FnOnce(&mut Member) -> bool,
    ) -> Option<StateChange> {
        let member = &mut self.members[slot];
        let (before, incarnation) = (member.state, member.announcement.incarnation);
        if !apply(member) {
            return None;
        }
        let mut after = member.evaluate_state(now, grace);
        if after == MemberState::Suspect && before != MemberState::Suspect {
            (member.state, member.state_since) = (after, now);
            // Without a grace period a declared death takes effect immediately.
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
        Some(StateChange { before, after })
    }

    fn forget(&mut self, slot: usize) {
        let member = &self.members[slot];
        let (position, incarnation) = (ring_position(member.address()), member.incarnation());
        let was_live = member.state.is_live();
        self.remove_from_list(slot, was_live, incarnation);
        self.suspects.retain(|suspect| *suspect != slot);
        self.pending_gossip.retain(|pending| *pending != slot);
        self.ring.remove(&position);
        self.members.remove(slot);
    }

    /// Removes members that have been absent for `FORGET_ABSENT_AFTER`.
    pub fn forget_absent(&mut self, now: Duration) {
        let is_expired = |slot: &usize| self.members[*slot].state_since + FORGET_ABSENT_AFTER <= now;
        let expired: Vec<usize> = self.absent.iter().copied().filter(is_expired).collect();
        expired.into_iter().for_each(|slot| self.forget(slot));
    }

    /// Shifts the start of suspicions raised up to `before` by `pause`, during which this process did not run.
    pub fn exclude_pause(&mut self, before: Duration, pause: Duration) {
        for slot in &self.suspects {
            let since = &mut self.members[*slot].state_since;
            *since += if *since <= before { pause } else { Duration::ZERO };
        }
    }

    /// The number of gossip transmissions of a change in a fleet of the current size.
    pub fn transmission_limit(&self) -> u32 {
        (TRANSMISSIONS_PER_DOUBLING * ((self.live.len() + 2) as f64).log2()).ceil() as u32
    }

    /// Queues the member's current state for gossip. A suspicion gets half the transmissions, as its epoch, which the
    /// suspect needs to refute it, is in the header of every message.
    pub fn enqueue_gossip(&mut self, slot: usize) {
        let suspect = self.members[slot].state == MemberState::Suspect;
        let limit = self.transmission_limit();
        let times = if suspect { limit.div_ceil(2) } else { limit };
        // A large backlog would exceed the send budget; anti-entropy repairs the missed transmissions.
        let large_backlog = self.pending_gossip.len() > LARGE_BACKLOG;
        let times = if large_backlog { times.min(MAX_TRANSMISSIONS_IN_BACKLOG) } else { times };
        self.members[slot].payload_only = false;
        if std::mem::replace(&mut self.members[slot].transmissions_left, times) == 0 {
            self.pending_gossip.push_front(slot);
        }
    }

    /// Queues the member's payload for gossip; its state is included only if that is already pending.
    pub fn enqueue_payload(&mut self, slot: usize) {
        let payload_only = self.members[slot].transmissions_left == 0 || self.members[slot].payload_only;
        self.enqueue_gossip(slot);
        self.members[slot].payload_only = payload_only;
    }

    /// Whether any member's state or payload is pending for gossip.
    pub fn has_pending_gossip(&self) -> bool {
        !self.pending_gossip.is_empty()
    }

    /// Passes each pending member to `visit` and counts one transmission of it, until `visit` returns `false` because the
    /// member was not written.
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

    /// Visits members in rotation, each at most once, until `visit` returns `false`.
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

    /// Visits the members of the selected partitions, starting with partition `from`, until `visit` returns `false`.
    pub fn for_each_in_partitions(
        &self,
        selected: impl Fn(usize) -> bool,
        from: usize,
        mut visit: impl FnMut(&Member) -> bool,
    ) {
        let rotated = (0..Digests::PARTITIONS).map(|partition| (partition + from) % Digests::PARTITIONS);
        for partition in rotated.filter(|partition| selected(*partition)) {
            let (first, last) = Digests::partition_bounds(partition);
            for slot in self.ring.range(first..=last).map(|(_, slot)| *slot) {
                if !visit(&self.members[slot]) {
                    return;
                }
            }
        }
    }

    /// The number of positions in the rotation, some of which may be vacant.
    pub fn rotation_len(&self) -> usize {
        self.members.capacity()
    }

    /// Sets the position at which the rotation continues.
    pub fn set_rotation(&mut self, position: usize) {
        self.cursor = position;
    }
}
