//! What copies tell each other, as bytes. Nothing is decided here.

use std::time::Duration;

/// The most that one message holds.
pub const MAX_MESSAGE_BYTES: usize = 256;
const IDLE_BROKE: u8 = 1;
const TRAFFIC: u8 = 2;
/// With the verb's number added; of later verbs than these nothing is told.
const VERBS: u8 = 64;
const VERB_FAILED: u8 = 64;
const VERB_ANSWERED: u8 = 128;

/// Who hears a peer's words, one method for each.
pub trait PeerMessageHandler {
    fn idle_broke(&mut self, idle: Duration);
    /// `false`: it knows no such server.
    fn verb_went(&mut self, server: u32, verb: usize, answered: bool) -> bool;
    fn traffic(&mut self, per_s: f64);
}

/// Words gathered for one message; what no longer fits is dropped, as a message may be lost anyway.
#[derive(Debug, Default)]
pub struct Words(Vec<u8>);

impl Words {
    fn add(&mut self, word: &[u8]) {
        if self.0.len() + word.len() <= MAX_MESSAGE_BYTES {
            self.0.extend(word);
        }
    }

    pub fn idle_broke(&mut self, idle: Duration) {
        let ms = u16::try_from(idle.as_millis()).unwrap_or(u16::MAX).to_be_bytes();
        self.add(&[IDLE_BROKE, ms[0], ms[1]]);
    }

    /// That a server failed a verb, or answered it.
    pub fn verb_went(&mut self, server: u32, verb: usize, answered: bool) {
        let kind = if answered { VERB_ANSWERED } else { VERB_FAILED };
        let Some(verb) = u8::try_from(verb).ok().filter(|verb| *verb < VERBS) else { return };
        let [_, a, b, c] = server.to_be_bytes();
        self.add(&[kind + verb, a, b, c]);
    }

    /// Bytes so far.
    pub fn length(&self) -> usize {
        self.0.len()
    }

    pub fn take(&mut self) -> Option<Vec<u8>> {
        Some(std::mem::take(&mut self.0)).filter(|bytes| !bytes.is_empty())
    }
}

/// A message of its own, in tenths of a command a second.
pub fn traffic(per_s: f64) -> [u8; 3] {
    let [a, b] = ((per_s * 10.0).clamp(0.0, 65535.0) as u16).to_be_bytes();
    [TRAFFIC, a, b]
}

/// What of peers' words went for nothing: messages with a word that this version doesn't know or that is cut, and words
/// of servers that this copy doesn't know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IgnoredMessages {
    pub malformed: u64,
    pub unknown_server: u64,
}

impl IgnoredMessages {
    pub fn add(&mut self, other: IgnoredMessages) {
        (self.malformed, self.unknown_server) =
            (self.malformed + other.malformed, self.unknown_server + other.unknown_server);
    }

    pub fn all(&self) -> u64 {
        self.malformed + self.unknown_server
    }
}

/// Reads a message up to its end or to the first word that this version doesn't know.
pub fn read(mut bytes: &[u8], hearer: &mut impl PeerMessageHandler) -> IgnoredMessages {
    let mut unheard = IgnoredMessages::default();
    loop {
        bytes = match bytes {
            [IDLE_BROKE, a, b, rest @ ..] => {
                hearer.idle_broke(Duration::from_millis(u16::from_be_bytes([*a, *b]).into()));
                rest
            }
            [kind @ VERB_FAILED..VERB_ANSWERED, a, b, c, rest @ ..] => {
                let server = u32::from_be_bytes([0, *a, *b, *c]);
                let known = hearer.verb_went(server, (kind - VERB_FAILED).into(), false);
                unheard.unknown_server += u64::from(!known);
                rest
            }
            [kind @ VERB_ANSWERED..192, a, b, c, rest @ ..] => {
                let server = u32::from_be_bytes([0, *a, *b, *c]);
                let known = hearer.verb_went(server, (kind - VERB_ANSWERED).into(), true);
                unheard.unknown_server += u64::from(!known);
                rest
            }
            [TRAFFIC, a, b, rest @ ..] => {
                hearer.traffic(f64::from(u16::from_be_bytes([*a, *b])) / 10.0);
                rest
            }
            [] => return unheard,
            _ => {
                unheard.malformed += 1;
                return unheard;
            }
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Debug, Default, PartialEq)]
    struct Heard(Vec<String>);

    impl PeerMessageHandler for Heard {
        fn idle_broke(&mut self, idle: Duration) {
            self.0.push(format!("broke {idle:?}"));
        }
        fn verb_went(&mut self, server: u32, verb: usize, answered: bool) -> bool {
            self.0.push(format!("{server} {verb} {answered}"));
            server != 0
        }
        fn traffic(&mut self, per_s: f64) {
            self.0.push(format!("traffic {per_s}"));
        }
    }

    #[test]
    fn words_are_heard_as_they_were_said_and_no_message_is_too_long() {
        let mut words = Words::default();
        words.idle_broke(Duration::from_millis(1100));
        words.verb_went(77, 2, false);
        words.verb_went(0xff_ffff, 63, true);
        words.verb_went(1, 64, true);
        let (mut heard, bytes) = (Heard::default(), words.take().expect("there are words"));
        read(&bytes, &mut heard);
        read(&traffic(2.5), &mut heard);
        assert_eq!(heard.0, ["broke 1.1s", "77 2 false", "16777215 63 true", "traffic 2.5"]);
        assert!(words.take().is_none());
        (0..100).for_each(|server| words.verb_went(server, 1, false));
        let bytes = words.take().expect("there are words");
        assert_eq!(bytes.len(), MAX_MESSAGE_BYTES / 4 * 4);
        // Cut anywhere, or followed by what a later version says, the words before it are heard.
        for end in 0..bytes.len() {
            let (mut cut, mut later) = (Heard::default(), Heard::default());
            let unheard = read(&bytes[..end], &mut cut);
            assert_eq!(cut.0.len(), end / 4);
            // The first word is of a server that this hearer doesn't know.
            let wanted =
                IgnoredMessages { malformed: u64::from(end % 4 > 0), unknown_server: u64::from(end >= 4) };
            assert_eq!(unheard, wanted);
            read(&[&bytes[..end / 4 * 4], &[200, 1, 2, 3, 4]].concat(), &mut later);
            assert_eq!(later.0.len(), end / 4);
        }
    }
}
