//! Selection of the message entries that describe the state of a member.

use super::*;
use crate::member::MemberState;
use crate::wire::MessageWriter;

impl<H: Host> Membership<H> {
    /// Writes the states of many members in a few bytes each. After a partition, views differ mostly in these states.
    pub(super) fn write_compact_states(&mut self, writer: &mut MessageWriter) {
        let epoch = self.last_death_epoch;
        while epoch > 0 && writer.remaining_compact_entries() > 0 {
            let limit = writer.remaining_compact_entries().min(STATES_PER_ENTRY);
            let (mut alive, mut dead, mut scanned) = (Vec::new(), Vec::new(), 0);
            let mut last_dead_epoch = 0;
            self.members.for_each_in_rotation(|member| {
                let entry = (member.address(), member.incarnation());
                if member.state == MemberState::Alive && member.announcement.affirmed_epoch >= epoch {
                    alive.push(entry);
                } else if member.state == MemberState::Dead && !member.local_only {
                    dead.push(entry);
                    last_dead_epoch = member.dead_epoch.max(last_dead_epoch);
                }
                scanned += 1;
                alive.len() + dead.len() < limit && scanned <= MAX_STATES_SCANNED
            });
            if dead.is_empty() && alive.is_empty() {
                return;
            }
            if !writer.deaths(last_dead_epoch, &dead) || !writer.affirmations(epoch, &alive) {
                return;
            }
        }
    }
}

/// Writes a member's state with its announcement, for receivers that may not know the member. Returns `false` if it does
/// not fit.
pub(super) fn write_full_state(writer: &mut MessageWriter, member: &Member, names: bool) -> bool {
    let announced = match member.state {
        // `write_state` writes the announcement.
        MemberState::Alive | MemberState::Left => true,
        MemberState::Suspect => writer.announcement(&member.announcement, names),
        MemberState::Dead => {
            let announcement = Announcement { considered_dead: true, ..member.announcement.clone() };
            writer.announcement(&announcement, names)
        }
    };
    announced && write_state(writer, member, names)
}

/// Writes a member's state for receivers that know the member: its death, the suspicions, or its announcement. Returns
/// `false` if it does not fit.
pub(super) fn write_state(writer: &mut MessageWriter, member: &Member, names: bool) -> bool {
    let (address, incarnation) = (member.address(), member.incarnation());
    if member.dead_epoch > member.announcement.affirmed_epoch && !member.local_only {
        return writer.deaths(member.dead_epoch, &[(address, incarnation)]);
    }
    if member.state == MemberState::Suspect && !member.suspectors.is_empty() {
        let mut suspectors = member.suspectors.iter().take(DEATH_QUORUM);
        return suspectors
            .all(|(suspector, epoch)| writer.suspicion(address, incarnation, *epoch, *suspector));
    }
    writer.announcement(&member.announcement, names)
}

/// Writes a live member's payload, if it has one. Returns `false` if it does not fit.
pub(super) fn write_payload(writer: &mut MessageWriter, member: &Member, now: Duration) -> bool {
    match &member.payload {
        Some((payload, published_at)) if member.state.is_live() => {
            let age = now.saturating_sub(*published_at);
            writer.payload(member.address(), member.incarnation(), payload, age)
        }
        _ => true,
    }
}
