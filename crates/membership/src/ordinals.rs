//! Ordinals: small numbers, unique among the live members, each kept for as long as its member lives. A joining member
//! takes a free one and nobody else's changes. Of two members with the same ordinal, as after a partition heals, the younger
//! one chooses again.

use crate::member::{Address, Member};
use std::collections::BTreeSet;

/// The ordinal of a member that has not chosen one yet.
pub const UNASSIGNED: u16 = u16::MAX;

/// Members that choose at the same time each take one of this many free ordinals at random.
pub const ORDINAL_CANDIDATES: usize = 8;

/// The ordinal to use: the current one where no older member has it; else the own rank by age where that is free; else one
/// of the lowest that are free, selected by `random`. `own` is the own incarnation and address.
pub fn choose<'a>(
    own: (u64, Address),
    current: u16,
    others: impl Iterator<Item = &'a Member> + Clone,
    random: usize,
) -> u16 {
    let older = |member: &&Member| (member.incarnation(), member.address()) < own;
    let is_taken = |ordinal: u16| others.clone().filter(older).any(|member| member.ordinal() == ordinal);
    if current != UNASSIGNED && !is_taken(current) {
        return current;
    }
    let rank = u16::try_from(others.clone().filter(older).count()).unwrap_or(UNASSIGNED);
    if current == UNASSIGNED && rank != UNASSIGNED && !is_taken(rank) {
        return rank;
    }
    let used: BTreeSet<u16> = others.map(Member::ordinal).collect();
    let mut free = (0..UNASSIGNED).filter(|ordinal| !used.contains(ordinal));
    free.nth(random % ORDINAL_CANDIDATES).unwrap_or(UNASSIGNED - 1)
}
