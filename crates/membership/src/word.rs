//! What is known of one member. Its own newest word, and what others hold against it, are merged so that order, loss
//! and doubling of messages do no harm: each part only ever grows.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A member is whoever is reached by an address.
pub type Address = SocketAddrV4;

/// The longest name of a member or a zone, in bytes.
pub const NAME_MOST: usize = 64;

/// So many accusers of one member are remembered.
const ACCUSERS_MOST: usize = 8;

/// What a member says of itself. Nobody else makes one, all pass it on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    pub address: Address,
    /// Tells one process at the address from the next: the time of its start, or more where a later one is known.
    pub life: u64,
    /// Grows with each word that it says.
    pub beat: u32,
    /// The epoch that it had heard of when it said this. It was alive then: what was held against it in an earlier
    /// epoch, or in this one, is void.
    pub affirmed: u64,
    /// Tenths of a command a second.
    pub traffic: u16,
    pub place: u16,
    /// Its last word.
    pub left: bool,
    /// Whoever passes it on holds it for dead. It says nothing to those who know the member.
    pub gone: bool,
    /// Empty in the short form that most messages carry.
    pub name: Box<str>,
    pub zone: Box<str>,
}

impl Word {
    fn newer(&self, known: &Word) -> bool {
        (self.life, self.left, self.beat) > (known.life, known.left, known.beat)
    }
}

/// What a member says beside its word, for whoever listens: this crate only carries it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Said {
    /// Grows with each.
    pub number: u32,
    /// Others pass it on at once, as news.
    pub presses: bool,
    pub bytes: Box<[u8]>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Alive,
    /// Somebody did not reach it, and it has not been heard of since.
    Suspect,
    Dead,
    Left,
}

impl Standing {
    /// Whether it still counts as one of the fleet.
    pub fn counts(self) -> bool {
        matches!(self, Standing::Alive | Standing::Suspect)
    }

    pub fn name(self) -> &'static str {
        match self {
            Standing::Alive => "alive",
            Standing::Suspect => "suspect",
            Standing::Dead => "dead",
            Standing::Left => "left",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Member {
    pub(crate) word: Word,
    /// In which epoch it was declared dead last; 0 where it was not, in this life.
    pub(crate) dead: u64,
    /// Declared so by this copy alone, which hears nobody: it is told to nobody.
    pub(crate) alone: bool,
    pub(crate) accusers: BTreeMap<Address, u64>,
    pub(crate) standing: Standing,
    /// Since when it stands so.
    pub(crate) since: Duration,
    /// When a new word of it came last, by whatever way, and when one came from itself.
    pub(crate) heard: Duration,
    pub(crate) direct: Option<Duration>,
    /// When what is known of it is first to be told on, and how many times still.
    pub(crate) tells: u32,
    /// Its newest word beside, and when that was said by this copy's time.
    pub(crate) said: Option<(Said, Duration)>,
    /// Nothing else of it is news.
    pub(crate) only_said: bool,
    /// Its place among those that count, while it does.
    pub(crate) live_at: Option<usize>,
}

impl Member {
    pub(crate) fn new(word: Word, now: Duration) -> Member {
        let dead = if word.gone { word.affirmed + 1 } else { 0 };
        let standing = match () {
            () if word.left => Standing::Left,
            () if word.gone => Standing::Dead,
            () => Standing::Alive,
        };
        Member {
            word: Word { gone: false, ..word },
            dead,
            alone: false,
            accusers: BTreeMap::new(),
            standing,
            since: now,
            heard: now,
            direct: None,
            tells: 0,
            said: None,
            only_said: false,
            live_at: None,
        }
    }

    pub fn address(&self) -> Address {
        self.word.address
    }

    /// Its name and zone; empty while only short words of it have come.
    pub fn name(&self) -> &str {
        &self.word.name
    }

    pub fn zone(&self) -> &str {
        &self.word.zone
    }

    pub fn standing(&self) -> Standing {
        self.standing
    }

    pub fn since(&self) -> Duration {
        self.since
    }

    /// When a new word of it came last.
    pub fn heard(&self) -> Duration {
        self.heard
    }

    /// Which of the address's processes it is: a later one has a greater number.
    pub fn life(&self) -> u64 {
        self.word.life
    }

    /// The epoch in which it last said that it is alive.
    pub fn affirmed(&self) -> u64 {
        self.word.affirmed
    }

    pub fn place(&self) -> u16 {
        self.word.place
    }

    /// Commands a second, by its own word.
    pub fn traffic(&self) -> f64 {
        f64::from(self.word.traffic) / 10.0
    }

    /// What it says beside its word, and when it said so, by this copy's time.
    pub fn said(&self) -> Option<(&[u8], Duration)> {
        self.said.as_ref().map(|(said, at)| (&*said.bytes, *at))
    }

    /// Takes its word beside in; `false` where it is none newer of this life.
    pub(crate) fn says(&mut self, life_end: u16, said: Said, at: Duration) -> bool {
        let newer = self.said.as_ref().is_none_or(|(known, _)| said.number > known.number);
        let new = self.word.life as u16 == life_end && newer;
        if new {
            self.said = Some((said, at));
        }
        new
    }

    /// Takes a word of it in; `false` where nothing in it is new.
    pub(crate) fn takes(&mut self, mut word: Word, now: Duration) -> bool {
        if !word.newer(&self.word) {
            let names = self.word.name.is_empty() && word.life == self.word.life && !word.name.is_empty();
            if names {
                (self.word.name, self.word.zone) = (word.name, word.zone);
            }
            return names;
        }
        if word.life > self.word.life {
            // Another process: what was held against the one before it is over.
            (self.dead, self.alone, self.said) = (0, false, None);
            self.accusers.clear();
        } else if word.name.is_empty() {
            (word.name, word.zone) =
                (std::mem::take(&mut self.word.name), std::mem::take(&mut self.word.zone));
        }
        // That it affirmed a later epoch may have come by another way, without the word.
        word.affirmed = word.affirmed.max(if word.life == self.word.life { self.word.affirmed } else { 0 });
        word.gone = false;
        (self.word, self.heard) = (word, now);
        self.clear_overtaken();
        true
    }

    /// It said that it is alive in this epoch; `false` where that is known.
    pub(crate) fn affirms(&mut self, life_end: u16, epoch: u64, now: Duration) -> bool {
        if self.word.life as u16 != life_end || epoch <= self.word.affirmed {
            return false;
        }
        (self.word.affirmed, self.heard) = (epoch, now);
        self.clear_overtaken();
        true
    }

    fn clear_overtaken(&mut self) {
        let affirmed = self.word.affirmed;
        self.accusers.retain(|_, epoch| *epoch > affirmed);
    }

    /// Somebody accuses it in this epoch; `false` where that is known, or overtaken by its own word.
    pub(crate) fn accused(&mut self, life: u64, epoch: u64, accuser: Address) -> bool {
        let known = self.accusers.get(&accuser).is_some_and(|known| *known >= epoch);
        let full = self.accusers.len() >= ACCUSERS_MOST && !self.accusers.contains_key(&accuser);
        if life != self.word.life || epoch <= self.word.affirmed || self.word.left || known || full {
            return false;
        }
        self.accusers.insert(accuser, epoch);
        true
    }

    /// The accusers whose word still stands.
    pub(crate) fn accusing(&self) -> usize {
        self.accusers.len()
    }

    /// It is declared dead in this epoch; `false` where that is known, or overtaken by its own word.
    pub(crate) fn declared(&mut self, life_end: u16, epoch: u64, alone: bool) -> bool {
        let new = epoch > self.dead || (self.alone && !alone && epoch == self.dead);
        let another = self.word.life as u16 != life_end;
        if another || epoch <= self.word.affirmed || self.word.left || !new {
            return false;
        }
        (self.dead, self.alone) = (epoch, alone);
        true
    }

    /// What all that comes to. A declaration counts once the member has had `grace` since it was first doubted: its own
    /// word against it may be on its way.
    pub(crate) fn comes_to(&self, now: Duration, grace: Duration) -> Standing {
        let dead = self.dead > self.word.affirmed;
        let doubted = (self.standing == Standing::Suspect).then_some(self.since);
        match () {
            () if self.word.left => Standing::Left,
            () if dead && self.standing == Standing::Dead => Standing::Dead,
            () if dead && doubted.is_some_and(|at| at + grace <= now) => Standing::Dead,
            () if dead || !self.accusers.is_empty() => Standing::Suspect,
            () => Standing::Alive,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn word(life: u64, beat: u32, affirmed: u64) -> Word {
        Word {
            address: Address::new(std::net::Ipv4Addr::LOCALHOST, 1),
            life,
            beat,
            affirmed,
            traffic: 0,
            place: 0,
            left: false,
            gone: false,
            name: "c".into(),
            zone: "a".into(),
        }
    }

    const NOW: Duration = Duration::from_secs(10);
    const GRACE: Duration = Duration::from_millis(400);

    #[test]
    fn a_word_of_a_later_epoch_voids_what_was_held_and_an_older_one_does_not() {
        let mut member = Member::new(word(5, 1, 3), NOW);
        let accuser = Address::new(std::net::Ipv4Addr::LOCALHOST, 2);
        assert!(member.accused(5, 4, accuser) && !member.accused(5, 4, accuser));
        assert!(member.declared(5, 4, false));
        assert!(member.takes(word(5, 2, 3), NOW), "a newer word, said before the accusation");
        assert_eq!(member.comes_to(NOW, Duration::ZERO), Standing::Suspect);
        member.standing = Standing::Suspect;
        assert_eq!(member.comes_to(NOW, GRACE), Standing::Suspect, "its word may be on its way");
        assert_eq!(member.comes_to(NOW + GRACE, GRACE), Standing::Dead);
        assert!(member.takes(word(5, 3, 4), NOW));
        assert_eq!(member.comes_to(NOW + GRACE, GRACE), Standing::Alive);
        assert!(!member.declared(5, 4, false), "overtaken");
        // What is held against one process says nothing of the next, and a set back clock makes none newer.
        assert!(member.declared(5, 9, false) && member.takes(word(6, 0, 1), NOW));
        assert_eq!(member.comes_to(NOW, Duration::ZERO), Standing::Alive);
        assert!(!member.takes(word(5, 99, 99), NOW));
    }

    /// A thousand members take less than 1 MB, with the longest names and all accusers.
    #[test]
    fn a_member_takes_little_memory() {
        let accusers = ACCUSERS_MOST * (size_of::<Address>() + size_of::<u64>()) + 256;
        // On the ring, in a list, and as one slot of the slab.
        let listed = 64;
        let most = size_of::<Member>() + 2 * NAME_MOST + crate::wire::SAID_MOST + accusers + listed;
        assert!(most < 1048, "{most} bytes, {} of them plain", size_of::<Member>());
    }
}
