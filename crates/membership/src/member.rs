//! One member as another one knows it. Its own newest announcement and what others state about it are merged in such a way
//! that order, loss and duplication of messages do no harm: each part only ever grows.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A member is identified by the address at which it is reached.
pub type Address = SocketAddrV4;

/// The longest name of a member or a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Of one member so many suspectors are remembered.
const MAX_SUSPECTORS: usize = 8;

/// What a member says of itself. Only the member makes one; all others relay it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Where the member is reached.
    pub address: Address,
    /// Tells successive processes at the address apart: the time of the start, or more where a later one is known.
    pub incarnation: u64,
    /// Grows with each announcement of the incarnation.
    pub sequence: u32,
    /// The highest epoch that the member had heard of. It was alive then, which refutes what was stated against it in
    /// this epoch or an earlier one.
    pub affirmed_epoch: u64,
    /// Its traffic in tenths of a command a second.
    pub request_rate_tenths: u16,
    /// Its ordinal, or `ordinals::UNASSIGNED`.
    pub ordinal: u16,
    /// It is the member's last announcement.
    pub left: bool,
    /// Whoever relays it considers the member dead; ignored by those who know the member.
    pub considered_dead: bool,
    /// Empty in the short form that most messages carry.
    pub name: Box<str>,
    /// Empty in the short form.
    pub zone: Box<str>,
}

impl Announcement {
    fn supersedes(&self, known: &Announcement) -> bool {
        (self.incarnation, self.left, self.sequence) > (known.incarnation, known.left, known.sequence)
    }
}

/// Bytes of the application that a member publishes with its announcements; this crate does not interpret them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Payload {
    /// Grows with each payload of the incarnation; 0 where none was published.
    pub version: u32,
    /// Receivers pass it on at once, as gossip.
    pub urgent: bool,
    /// At most `MAX_PAYLOAD_BYTES`.
    pub bytes: Box<[u8]>,
}

/// A member's state in one view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Nothing stands against it.
    Alive,
    /// Somebody got no ack from it, and it has not refuted that yet.
    Suspect,
    /// It was declared dead.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl MemberState {
    /// Whether the member still counts as one of the fleet.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }

    /// The state as text.
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }
}

/// All that is known of one member.
#[derive(Clone, Debug)]
pub struct Member {
    pub(crate) announcement: Announcement,
    /// The last epoch in which it was declared dead, in this incarnation; 0 for never.
    pub(crate) dead_epoch: u64,
    /// Declared dead by this member alone, which hears nobody: such a death is not gossiped.
    pub(crate) local_only: bool,
    /// Who suspects it, and since which epoch.
    pub(crate) suspectors: BTreeMap<Address, u64>,
    pub(crate) state: MemberState,
    pub(crate) state_since: Duration,
    /// When a new announcement or affirmation of it came last, by whatever path.
    pub(crate) last_heard: Duration,
    /// When a message came from the member itself.
    pub(crate) last_direct: Option<Duration>,
    /// How many times its state is still to be gossiped.
    pub(crate) transmissions_left: u32,
    /// Its newest payload, and when that was published, by the local clock.
    pub(crate) payload: Option<(Payload, Duration)>,
    /// Only the payload is to be gossiped.
    pub(crate) payload_only: bool,
    /// Its index in the table's list of live or of absent members.
    pub(crate) list_index: Option<usize>,
}

impl Member {
    pub(crate) fn new(announcement: Announcement, now: Duration) -> Member {
        let dead_epoch = if announcement.considered_dead { announcement.affirmed_epoch + 1 } else { 0 };
        let state = match () {
            () if announcement.left => MemberState::Left,
            () if announcement.considered_dead => MemberState::Dead,
            () => MemberState::Alive,
        };
        Member {
            announcement: Announcement { considered_dead: false, ..announcement },
            dead_epoch,
            local_only: false,
            suspectors: BTreeMap::new(),
            state,
            state_since: now,
            last_heard: now,
            last_direct: None,
            transmissions_left: 0,
            payload: None,
            payload_only: false,
            list_index: None,
        }
    }

    /// Where it is reached.
    pub fn address(&self) -> Address {
        self.announcement.address
    }

    /// Its name; empty while only short announcements of it have come.
    pub fn name(&self) -> &str {
        &self.announcement.name
    }

    /// Its zone; empty while only short announcements of it have come.
    pub fn zone(&self) -> &str {
        &self.announcement.zone
    }

    /// Its state in this view.
    pub fn state(&self) -> MemberState {
        self.state
    }

    /// Since when it has been in that state.
    pub fn state_since(&self) -> Duration {
        self.state_since
    }

    /// When a new announcement of it came last.
    pub fn last_heard(&self) -> Duration {
        self.last_heard
    }

    /// Which of the address's processes it is: a later one has a greater number.
    pub fn incarnation(&self) -> u64 {
        self.announcement.incarnation
    }

    /// The epoch in which it last affirmed that it is alive.
    pub fn affirmed_epoch(&self) -> u64 {
        self.announcement.affirmed_epoch
    }

    /// Its ordinal, or `u16::MAX` while it has none.
    pub fn ordinal(&self) -> u16 {
        self.announcement.ordinal
    }

    /// Commands a second, as it reports.
    pub fn requests_per_s(&self) -> f64 {
        f64::from(self.announcement.request_rate_tenths) / 10.0
    }

    /// Its newest payload, and when that was published, by the local clock.
    pub fn payload(&self) -> Option<(&[u8], Duration)> {
        self.payload.as_ref().map(|(payload, at)| (&*payload.bytes, *at))
    }

    /// Merges a payload; `false` where it is not newer, or of another incarnation.
    pub(crate) fn merge_payload(&mut self, incarnation_low: u16, payload: Payload, at: Duration) -> bool {
        let newer = self.payload.as_ref().is_none_or(|(known, _)| payload.version > known.version);
        let accepted = self.announcement.incarnation as u16 == incarnation_low && newer;
        if accepted {
            self.payload = Some((payload, at));
        }
        accepted
    }

    /// Merges an announcement; `false` where nothing in it is new.
    pub(crate) fn merge_announcement(&mut self, mut announcement: Announcement, now: Duration) -> bool {
        if !announcement.supersedes(&self.announcement) {
            return self.merge_names(announcement);
        }
        let known = &mut self.announcement;
        if announcement.incarnation > known.incarnation {
            // Another process: nothing stated against the previous one applies to it.
            self.dead_epoch = 0;
            self.local_only = false;
            self.payload = None;
            self.suspectors.clear();
        } else {
            if announcement.name.is_empty() {
                announcement.name = std::mem::take(&mut known.name);
                announcement.zone = std::mem::take(&mut known.zone);
            }
            // A later affirmation may have come without its announcement.
            if announcement.incarnation == known.incarnation {
                announcement.affirmed_epoch = announcement.affirmed_epoch.max(known.affirmed_epoch);
            }
        }
        announcement.considered_dead = false;
        self.announcement = announcement;
        self.last_heard = now;
        self.clear_refuted();
        true
    }

    /// An announcement that is not newer may still carry the names, which short ones lack.
    fn merge_names(&mut self, announcement: Announcement) -> bool {
        let known = &mut self.announcement;
        let new = known.name.is_empty()
            && announcement.incarnation == known.incarnation
            && !announcement.name.is_empty();
        if new {
            known.name = announcement.name;
            known.zone = announcement.zone;
        }
        new
    }

    /// Merges that it affirmed this epoch; `false` where that is known.
    pub(crate) fn merge_affirmation(&mut self, incarnation_low: u16, epoch: u64, now: Duration) -> bool {
        let known = &mut self.announcement;
        if known.incarnation as u16 != incarnation_low || epoch <= known.affirmed_epoch {
            return false;
        }
        known.affirmed_epoch = epoch;
        self.last_heard = now;
        self.clear_refuted();
        true
    }

    fn clear_refuted(&mut self) {
        let affirmed_epoch = self.announcement.affirmed_epoch;
        self.suspectors.retain(|_, epoch| *epoch > affirmed_epoch);
    }

    /// Merges that somebody suspects it since this epoch; `false` where that is known, or refuted.
    pub(crate) fn merge_suspicion(&mut self, incarnation: u64, epoch: u64, suspector: Address) -> bool {
        let known = self.suspectors.get(&suspector).is_some_and(|known| *known >= epoch);
        let full = self.suspectors.len() >= MAX_SUSPECTORS && !self.suspectors.contains_key(&suspector);
        let refuted = epoch <= self.announcement.affirmed_epoch || self.announcement.left;
        if incarnation != self.announcement.incarnation || refuted || known || full {
            return false;
        }
        self.suspectors.insert(suspector, epoch);
        true
    }

    /// How many members suspect it, unrefuted.
    pub(crate) fn suspector_count(&self) -> usize {
        self.suspectors.len()
    }

    /// Merges that it was declared dead in this epoch; `false` where that is known, or refuted.
    pub(crate) fn merge_death(&mut self, incarnation_low: u16, epoch: u64, local_only: bool) -> bool {
        let confirms_local = self.local_only && !local_only && epoch == self.dead_epoch;
        let new = epoch > self.dead_epoch || confirms_local;
        let another = self.announcement.incarnation as u16 != incarnation_low;
        let refuted = epoch <= self.announcement.affirmed_epoch || self.announcement.left;
        if another || refuted || !new {
            return false;
        }
        self.dead_epoch = epoch;
        self.local_only = local_only;
        true
    }

    /// The state that all statements come to. A declared death takes effect once the member has been suspect for `grace`:
    /// its refutation may be on its way.
    pub(crate) fn evaluate_state(&self, now: Duration, grace: Duration) -> MemberState {
        let dead = self.dead_epoch > self.announcement.affirmed_epoch;
        let suspect_since = (self.state == MemberState::Suspect).then_some(self.state_since);
        match () {
            () if self.announcement.left => MemberState::Left,
            () if dead && self.state == MemberState::Dead => MemberState::Dead,
            () if dead && suspect_since.is_some_and(|since| since + grace <= now) => MemberState::Dead,
            () if dead || !self.suspectors.is_empty() => MemberState::Suspect,
            () => MemberState::Alive,
        }
    }
}

#[cfg(test)]
#[path = "member_tests.rs"]
mod tests;
