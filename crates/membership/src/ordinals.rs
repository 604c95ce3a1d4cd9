//! Ordinals: small numbers, unique among the live members, which each member keeps while it is alive. A joining member
//! takes a free ordinal; the ordinals of other members do not change. If two members have the same ordinal, for example
//! after a partition heals, the younger one chooses again.

use crate::member::{Address, Member};
use std::collections::BTreeSet;

/// The ordinal of a member that has not chosen one yet.
pub const UNASSIGNED: u16 = u16::MAX;

/// The number of lowest free ordinals from which a member chooses at random, so that members that choose at the same time
/// rarely choose the same one.
pub const ORDINAL_CANDIDATES: usize = 8;

/// Chooses the local member's ordinal: the current one if no older member has it; otherwise, for a member without an
/// ordinal, its rank by age if no older member has that; otherwise one of the lowest free ordinals, selected by `random`.
/// `own` is the local member's incarnation and address.
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
