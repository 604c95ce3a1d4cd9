//! What is known of one member. Its own newest word, and what others hold against it, are merged so that order, loss
//! and doubling of messages do no harm: each part only ever grows.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A member is whoever is reached by an address.
pub type Address = SocketAddrV4;

/// The longest name of a member or a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// So many accusers of one member are remembered.
const MAX_SUSPECTORS: usize = 8;

/// What a member says of itself. Nobody else makes one, all pass it on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    pub address: Address,
    /// Tells one process at the address from the next: the time of its start, or more where a later one is known.
    pub incarnation: u64,
    /// Grows with each word that it says.
    pub sequence: u32,
    /// The epoch that it had heard of when it said this. It was alive then: what was held against it in an earlier
    /// epoch, or in this one, is void.
    pub affirmed_epoch: u64,
    /// Tenths of a command a second.
    pub traffic_tenths: u16,
    pub ordinal: u16,
    /// Its last word.
    pub left: bool,
    /// Whoever passes it on holds it for dead. It says nothing to those who know the member.
    pub considered_dead: bool,
    /// Empty in the short form that most messages carry.
    pub name: Box<str>,
    pub zone: Box<str>,
}

impl Announcement {
    fn supersedes(&self, known: &Announcement) -> bool {
        (self.incarnation, self.left, self.sequence) > (known.incarnation, known.left, known.sequence)
    }
}

/// What a member says beside its word, for whoever listens: this crate only carries it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Payload {
    /// Grows with each.
    pub version: u32,
    /// Others pass it on at once, as news.
    pub urgent: bool,
    pub bytes: Box<[u8]>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    Alive,
    /// Somebody did not reach it, and it has not been heard of since.
    Suspect,
    Dead,
    Left,
}

impl MemberState {
    /// Whether it still counts as one of the fleet.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }

    pub fn name(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Member {
    pub(crate) announcement: Announcement,
    /// In which epoch it was declared dead last; 0 where it was not, in this life.
    pub(crate) dead_epoch: u64,
    /// Declared so by this copy alone, which hears nobody: it is told to nobody.
    pub(crate) local_only: bool,
    pub(crate) suspectors: BTreeMap<Address, u64>,
    pub(crate) state: MemberState,
    /// Since when it stands so.
    pub(crate) state_since: Duration,
    /// When a new word of it came last, by whatever way, and when one came from itself.
    pub(crate) last_heard: Duration,
    pub(crate) last_direct: Option<Duration>,
    /// When what is known of it is first to be told on, and how many times still.
    pub(crate) transmissions_left: u32,
    /// Its newest word beside, and when that was said by this copy's time.
    pub(crate) payload: Option<(Payload, Duration)>,
    /// Nothing else of it is news.
    pub(crate) payload_only: bool,
    /// Its place among those that count, while it does.
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

    pub fn address(&self) -> Address {
        self.announcement.address
    }

    /// Its name and zone; empty while only short words of it have come.
    pub fn name(&self) -> &str {
        &self.announcement.name
    }

    pub fn zone(&self) -> &str {
        &self.announcement.zone
    }

    pub fn state(&self) -> MemberState {
        self.state
    }

    pub fn state_since(&self) -> Duration {
        self.state_since
    }

    /// When a new word of it came last.
    pub fn last_heard(&self) -> Duration {
        self.last_heard
    }

    /// Which of the address's processes it is: a later one has a greater number.
    pub fn incarnation(&self) -> u64 {
        self.announcement.incarnation
    }

    /// The epoch in which it last said that it is alive.
    pub fn affirmed_epoch(&self) -> u64 {
        self.announcement.affirmed_epoch
    }

    pub fn ordinal(&self) -> u16 {
        self.announcement.ordinal
    }

    /// Commands a second, by its own word.
    pub fn commands_per_s(&self) -> f64 {
        f64::from(self.announcement.traffic_tenths) / 10.0
    }

    /// What it says beside its word, and when it said so, by this copy's time.
    pub fn payload(&self) -> Option<(&[u8], Duration)> {
        self.payload.as_ref().map(|(payload, at)| (&*payload.bytes, *at))
    }

    /// Takes its word beside in; `false` where it is none newer of this life.
    pub(crate) fn merge_payload(&mut self, incarnation_low: u16, payload: Payload, at: Duration) -> bool {
        let newer = self.payload.as_ref().is_none_or(|(known, _)| payload.version > known.version);
        let new = self.announcement.incarnation as u16 == incarnation_low && newer;
        if new {
            self.payload = Some((payload, at));
        }
        new
    }

    /// Takes a word of it in; `false` where nothing in it is new.
    pub(crate) fn merge_announcement(&mut self, mut announcement: Announcement, now: Duration) -> bool {
        if !announcement.supersedes(&self.announcement) {
            let names = self.announcement.name.is_empty()
                && announcement.incarnation == self.announcement.incarnation
                && !announcement.name.is_empty();
            if names {
                (self.announcement.name, self.announcement.zone) = (announcement.name, announcement.zone);
            }
            return names;
        }
        if announcement.incarnation > self.announcement.incarnation {
            // Another process: what was held against the one before it is over.
            (self.dead_epoch, self.local_only, self.payload) = (0, false, None);
            self.suspectors.clear();
        } else if announcement.name.is_empty() {
            (announcement.name, announcement.zone) =
                (std::mem::take(&mut self.announcement.name), std::mem::take(&mut self.announcement.zone));
        }
        // That it affirmed a later epoch may have come by another way, without the word.
        announcement.affirmed_epoch =
            announcement.affirmed_epoch.max(if announcement.incarnation == self.announcement.incarnation {
                self.announcement.affirmed_epoch
            } else {
                0
            });
        announcement.considered_dead = false;
        (self.announcement, self.last_heard) = (announcement, now);
        self.clear_refuted();
        true
    }

    /// It said that it is alive in this epoch; `false` where that is known.
    pub(crate) fn merge_affirmation(&mut self, incarnation_low: u16, epoch: u64, now: Duration) -> bool {
        if self.announcement.incarnation as u16 != incarnation_low
            || epoch <= self.announcement.affirmed_epoch
        {
            return false;
        }
        (self.announcement.affirmed_epoch, self.last_heard) = (epoch, now);
        self.clear_refuted();
        true
    }

    fn clear_refuted(&mut self) {
        let affirmed_epoch = self.announcement.affirmed_epoch;
        self.suspectors.retain(|_, epoch| *epoch > affirmed_epoch);
    }

    /// Somebody accuses it in this epoch; `false` where that is known, or overtaken by its own word.
    pub(crate) fn merge_suspicion(&mut self, incarnation: u64, epoch: u64, suspector: Address) -> bool {
        let known = self.suspectors.get(&suspector).is_some_and(|known| *known >= epoch);
        let full = self.suspectors.len() >= MAX_SUSPECTORS && !self.suspectors.contains_key(&suspector);
        if incarnation != self.announcement.incarnation
            || epoch <= self.announcement.affirmed_epoch
            || self.announcement.left
            || known
            || full
        {
            return false;
        }
        self.suspectors.insert(suspector, epoch);
        true
    }

    /// The accusers whose word still stands.
    pub(crate) fn suspector_count(&self) -> usize {
        self.suspectors.len()
    }

    /// It is declared dead in this epoch; `false` where that is known, or overtaken by its own word.
    pub(crate) fn merge_death(&mut self, incarnation_low: u16, epoch: u64, local_only: bool) -> bool {
        let new = epoch > self.dead_epoch || (self.local_only && !local_only && epoch == self.dead_epoch);
        let another = self.announcement.incarnation as u16 != incarnation_low;
        if another || epoch <= self.announcement.affirmed_epoch || self.announcement.left || !new {
            return false;
        }
        (self.dead_epoch, self.local_only) = (epoch, local_only);
        true
    }

    /// What all that comes to. A declaration counts once the member has had `grace` since it was first doubted: its own
    /// word against it may be on its way.
    pub(crate) fn evaluate_state(&self, now: Duration, grace: Duration) -> MemberState {
        let dead_epoch = self.dead_epoch > self.announcement.affirmed_epoch;
        let doubted = (self.state == MemberState::Suspect).then_some(self.state_since);
        match () {
            () if self.announcement.left => MemberState::Left,
            () if dead_epoch && self.state == MemberState::Dead => MemberState::Dead,
            () if dead_epoch && doubted.is_some_and(|at| at + grace <= now) => MemberState::Dead,
            () if dead_epoch || !self.suspectors.is_empty() => MemberState::Suspect,
            () => MemberState::Alive,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn announcement(incarnation: u64, sequence: u32, affirmed_epoch: u64) -> Announcement {
        Announcement {
            address: Address::new(std::net::Ipv4Addr::LOCALHOST, 1),
            incarnation,
            sequence,
            affirmed_epoch,
            traffic_tenths: 0,
            ordinal: 0,
            left: false,
            considered_dead: false,
            name: "c".into(),
            zone: "a".into(),
        }
    }

    const NOW: Duration = Duration::from_secs(10);
    const REFUTATION_GRACE: Duration = Duration::from_millis(400);

    #[test]
    fn a_word_of_a_later_epoch_voids_what_was_held_and_an_older_one_does_not() {
        let mut member = Member::new(announcement(5, 1, 3), NOW);
        let suspector = Address::new(std::net::Ipv4Addr::LOCALHOST, 2);
        assert!(member.merge_suspicion(5, 4, suspector) && !member.merge_suspicion(5, 4, suspector));
        assert!(member.merge_death(5, 4, false));
        assert!(
            member.merge_announcement(announcement(5, 2, 3), NOW),
            "a newer word, said before the accusation"
        );
        assert_eq!(member.evaluate_state(NOW, Duration::ZERO), MemberState::Suspect);
        member.state = MemberState::Suspect;
        assert_eq!(
            member.evaluate_state(NOW, REFUTATION_GRACE),
            MemberState::Suspect,
            "its word may be on its way"
        );
        assert_eq!(member.evaluate_state(NOW + REFUTATION_GRACE, REFUTATION_GRACE), MemberState::Dead);
        assert!(member.merge_announcement(announcement(5, 3, 4), NOW));
        assert_eq!(member.evaluate_state(NOW + REFUTATION_GRACE, REFUTATION_GRACE), MemberState::Alive);
        assert!(!member.merge_death(5, 4, false), "overtaken");
        // What is held against one process says nothing of the next, and a set back clock makes none newer.
        assert!(member.merge_death(5, 9, false) && member.merge_announcement(announcement(6, 0, 1), NOW));
        assert_eq!(member.evaluate_state(NOW, Duration::ZERO), MemberState::Alive);
        assert!(!member.merge_announcement(announcement(5, 99, 99), NOW));
    }

    /// A thousand members take less than 1 MB, with the longest names and all accusers.
    #[test]
    fn a_member_takes_little_memory() {
        let suspectors = MAX_SUSPECTORS * (size_of::<Address>() + size_of::<u64>()) + 256;
        // On the ring, in a list, and as one slot of the slab.
        let listed = 64;
        let most =
            size_of::<Member>() + 2 * MAX_NAME_BYTES + crate::wire::MAX_PAYLOAD_BYTES + suspectors + listed;
        assert!(most < 1048, "{most} bytes, {} of them plain", size_of::<Member>());
    }
}
