//! Numbers that the copies have among themselves, each its own, kept as long as it lives: one that joins takes a free one,
//! and nobody else moves. Where two have one, as after a cut, the one that began later looks for another.

use crate::member::{Address, Member};
use std::collections::BTreeSet;

/// Not chosen yet.
pub const UNASSIGNED: u16 = u16::MAX;

/// Of several who look at one moment each takes one of so many free ones, by chance.
pub const ORDINAL_CANDIDATES: usize = 8;

/// The place to go by, given the own one and the others that count: its rank by age, where that is free, or one of the
/// lowest that are, by `chance`.
pub fn choose<'a>(
    own: (u64, Address),
    ordinal: u16,
    others: impl Iterator<Item = &'a Member> + Clone,
    rng: usize,
) -> u16 {
    let older = |member: &&Member| (member.incarnation(), member.address()) < own;
    let is_taken = |ordinal: u16| others.clone().filter(older).any(|member| member.ordinal() == ordinal);
    if ordinal != UNASSIGNED && !is_taken(ordinal) {
        return ordinal;
    }
    let rank = u16::try_from(others.clone().filter(older).count()).unwrap_or(UNASSIGNED);
    if ordinal == UNASSIGNED && rank != UNASSIGNED && !is_taken(rank) {
        return rank;
    }
    let used: BTreeSet<u16> = others.map(Member::ordinal).collect();
    let mut free = (0..UNASSIGNED).filter(|ordinal| !used.contains(ordinal));
    free.nth(rng % ORDINAL_CANDIDATES).unwrap_or(UNASSIGNED - 1)
}
