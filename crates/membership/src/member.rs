//! A member as seen by another member. The member's own announcements and the statements of other members are merged so
//! that reordered, lost and duplicated messages cause no errors: each merged value only grows.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// The address at which a member receives messages, which identifies it.
pub type Address = SocketAddrV4;

/// Maximum length of a member's or zone's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum number of suspectors stored for one member.
const MAX_SUSPECTORS: usize = 8;

/// A member's statement about itself. Only the member creates it; other members relay it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The address at which the member receives messages.
    pub address: Address,
    /// Distinguishes successive processes at the address: the start time in milliseconds since 1970, or a greater number
    /// if a later incarnation is known.
    pub incarnation: u64,
    /// Increases with each announcement of the incarnation.
    pub sequence: u32,
    /// The highest epoch that the member has seen. It refutes suspicions and deaths of this epoch and of earlier ones,
    /// as the member was alive in it.
    pub affirmed_epoch: u64,
    /// The member's request rate in tenths of a request per second.
    pub request_rate_tenths: u16,
    /// The member's ordinal, or `ordinals::UNASSIGNED`.
    pub ordinal: u16,
    /// Whether the member has left the fleet; this is its last announcement.
    pub left: bool,
    /// Whether the relaying member considers this member dead. Receivers that already know the member ignore it.
    pub considered_dead: bool,
    /// The member's name; empty in the short form that most messages carry.
    pub name: Box<str>,
    /// The member's zone; empty in the short form.
    pub zone: Box<str>,
}

impl Announcement {
    fn supersedes(&self, known: &Announcement) -> bool {
        (self.incarnation, self.left, self.sequence) > (known.incarnation, known.left, known.sequence)
    }
}

/// Application data that a member publishes with its announcements; this crate does not interpret it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Payload {
    /// Increases with each payload of the incarnation; 0 before the first one is published.
    pub version: u32,
    /// Whether receivers gossip the payload immediately.
    pub urgent: bool,
    /// The application data, of at most `MAX_PAYLOAD_BYTES`.
    pub bytes: Box<[u8]>,
}

/// A member's state in the view of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The member has no unrefuted suspicion or death.
    Alive,
    /// A probe of the member failed, and the member has not refuted the suspicion yet.
    Suspect,
    /// The member was declared dead.
    Dead,
    /// The member announced that it leaves the fleet.
    Left,
}

impl MemberState {
    /// Whether a member in this state counts towards the fleet size.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }

    /// The state's name, as shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }
}

/// Everything that the local member knows about another member.
#[derive(Clone, Debug)]
pub struct Member {
    pub(crate) announcement: Announcement,
    /// The last epoch in which this incarnation was declared dead; 0 if it never was.
    pub(crate) dead_epoch: u64,
    /// Whether only the local member declared the death, while it was isolated. Such a death is not gossiped.
    pub(crate) local_only: bool,
    /// The members that suspect this one, each with the epoch of its suspicion.
    pub(crate) suspectors: BTreeMap<Address, u64>,
    pub(crate) state: MemberState,
    pub(crate) state_since: Duration,
    /// When a new announcement or affirmation of the member last arrived, directly or relayed.
    pub(crate) last_heard: Duration,
    /// When a message from the member itself last arrived.
    pub(crate) last_direct: Option<Duration>,
    /// The number of pending gossip transmissions of the member's state.
    pub(crate) transmissions_left: u32,
    /// The member's newest payload, and when it was published, by the local clock.
    pub(crate) payload: Option<(Payload, Duration)>,
    /// Whether only the payload is pending for gossip.
    pub(crate) payload_only: bool,
    /// The member's index in the table's list of live members or of absent members.
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

    /// The address at which the member receives messages.
    pub fn address(&self) -> Address {
        self.announcement.address
    }

    /// The member's name; empty while only short announcements of it have arrived.
    pub fn name(&self) -> &str {
        &self.announcement.name
    }

    /// The member's zone; empty while only short announcements of it have arrived.
    pub fn zone(&self) -> &str {
        &self.announcement.zone
    }

    /// The member's state in the local view.
    pub fn state(&self) -> MemberState {
        self.state
    }

    /// When the member entered its current state.
    pub fn state_since(&self) -> Duration {
        self.state_since
    }

    /// When a new announcement or affirmation of the member last arrived, directly or relayed.
    pub fn last_heard(&self) -> Duration {
        self.last_heard
    }

    /// The incarnation, which is greater for a later process at the same address.
    pub fn incarnation(&self) -> u64 {
        self.announcement.incarnation
    }

    /// The latest epoch in which the member affirmed that it is alive.
    pub fn affirmed_epoch(&self) -> u64 {
        self.announcement.affirmed_epoch
    }

    /// The member's ordinal, or `u16::MAX` while it has none.
    pub fn ordinal(&self) -> u16 {
        self.announcement.ordinal
    }

    /// The request rate that the member reports, in requests per second.
    pub fn requests_per_s(&self) -> f64 {
        f64::from(self.announcement.request_rate_tenths) / 10.0
    }

    /// The member's newest payload, and when it was published, by the local clock.
    pub fn payload(&self) -> Option<(&[u8], Duration)> {
        self.payload.as_ref().map(|(payload, at)| (&*payload.bytes, *at))
    }

    /// Merges a payload. Returns `false` if it is not newer or belongs to another incarnation.
    pub(crate) fn merge_payload(&mut self, incarnation_low: u16, payload: Payload, at: Duration) -> bool {
        let newer = self.payload.as_ref().is_none_or(|(known, _)| payload.version > known.version);
        let accepted = self.announcement.incarnation as u16 == incarnation_low && newer;
        if accepted {
            self.payload = Some((payload, at));
        }
        accepted
    }

    /// Merges an announcement. Returns `false` if it contains nothing new.
    pub(crate) fn merge_announcement(&mut self, mut announcement: Announcement, now: Duration) -> bool {
        if !announcement.supersedes(&self.announcement) {
            return self.merge_names(announcement);
        }
        let known = &mut self.announcement;
        if announcement.incarnation > known.incarnation {
            // Suspicions and deaths of the previous process do not apply to the new one.
            self.dead_epoch = 0;
            self.local_only = false;
            self.payload = None;
            self.suspectors.clear();
        } else {
            if announcement.name.is_empty() {
                announcement.name = std::mem::take(&mut known.name);
                announcement.zone = std::mem::take(&mut known.zone);
            }
            // A later affirmation may have arrived without its announcement.
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

    /// Merges the names, which short announcements lack, from an announcement that is not newer.
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

    /// Merges an affirmation of `epoch`. Returns `false` if it is already known or belongs to another incarnation.
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

    /// Merges a suspicion by `suspector` in `epoch`. Returns `false` if it is already known, refuted, of another
    /// incarnation, or the suspector list is full.
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

    /// The number of members whose suspicion of this one is not refuted.
    pub(crate) fn suspector_count(&self) -> usize {
        self.suspectors.len()
    }

    /// Merges a death declared in `epoch`. Returns `false` if it is already known, refuted or of another incarnation.
    pub(crate) fn merge_death(&mut self, incarnation_low: u16, epoch: u64, local_only: bool) -> bool {
        let confirms_local = self.local_only && !local_only && epoch == self.dead_epoch;
        let new = epoch > self.dead_epoch || confirms_local;
        let other_incarnation = self.announcement.incarnation as u16 != incarnation_low;
        let refuted = epoch <= self.announcement.affirmed_epoch || self.announcement.left;
        if other_incarnation || refuted || !new {
            return false;
        }
        self.dead_epoch = epoch;
        self.local_only = local_only;
        true
    }

    /// The state that follows from all merged statements. A declared death takes effect only after the member has been
    /// suspect for `grace`, as its refutation may be in transit.
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
