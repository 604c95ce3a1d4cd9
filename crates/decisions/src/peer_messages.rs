//! The messages between replicas, as bytes. Each message is a row of events; a reader stops at the first that its
//! version does not know. Nothing is decided here.

use std::time::Duration;

/// The most bytes that one message holds.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// Tag of the event that an idle connection broke.
const IDLE_CONNECTION_BROKE_TAG: u8 = 1;
/// Tag of the event that tells a replica's request rate.
const REQUEST_RATE_TAG: u8 = 2;
/// Request classes from this number on are not told of.
const MAX_CLASSES: u8 = 64;
/// Tag of a failure of class 0; the class's number is added.
const CLASS_FAILED_TAG: u8 = 64;
/// Tag of an answer of class 0; the class's number is added.
const CLASS_ANSWERED_TAG: u8 = 128;
/// The first tag after those of answers.
const CLASS_ANSWERED_TAG_END: u8 = CLASS_ANSWERED_TAG + MAX_CLASSES;
/// Request rates are sent in tenths.
const RATE_STEPS_PER_UNIT: f64 = 10.0;

/// Who receives a peer's events, one method for each.
pub trait PeerMessageHandler {
    /// A connection that had been idle for so long broke as it was used.
    fn idle_connection_broke(&mut self, idle: Duration);
    /// A server failed a request of this class, or answered it. `false`: the receiver knows no such server.
    fn class_outcome(&mut self, server: u32, class: usize, answered: bool) -> bool;
    /// The peer gets so many requests per second.
    fn peer_request_rate(&mut self, per_second: f64);
}

/// Events that wait for the next message. What no longer fits is dropped, as a message may be lost anyway.
#[derive(Debug, Default)]
pub struct Outbox(Vec<u8>);

impl Outbox {
    fn add(&mut self, event: &[u8]) {
        if self.0.len() + event.len() <= MAX_MESSAGE_BYTES {
            self.0.extend(event);
        }
    }

    /// A connection that had been idle for so long broke; up to 65 seconds are told.
    pub fn idle_connection_broke(&mut self, idle: Duration) {
        let [high, low] = u16::try_from(idle.as_millis()).unwrap_or(u16::MAX).to_be_bytes();
        self.add(&[IDLE_CONNECTION_BROKE_TAG, high, low]);
    }

    /// A server, by its short name of 24 bits, failed a request of this class or answered it.
    pub fn class_outcome(&mut self, server: u32, class: usize, answered: bool) {
        let tag = if answered { CLASS_ANSWERED_TAG } else { CLASS_FAILED_TAG };
        let Some(class) = u8::try_from(class).ok().filter(|class| *class < MAX_CLASSES) else { return };
        let [_, a, b, c] = server.to_be_bytes();
        self.add(&[tag + class, a, b, c]);
    }

    /// Bytes so far.
    pub fn byte_len(&self) -> usize {
        self.0.len()
    }

    /// The message, if there is any event.
    pub fn take(&mut self) -> Option<Vec<u8>> {
        Some(std::mem::take(&mut self.0)).filter(|bytes| !bytes.is_empty())
    }
}

/// A message of its own: this replica's requests per second.
pub fn request_rate_message(per_second: f64) -> [u8; 3] {
    let [high, low] = ((per_second * RATE_STEPS_PER_UNIT).clamp(0.0, 65535.0) as u16).to_be_bytes();
    [REQUEST_RATE_TAG, high, low]
}

/// Counts of what peers sent in vain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IgnoredMessages {
    /// Messages with an event that this version does not know or that is cut off.
    pub malformed: u64,
    /// Events of servers that this replica does not know.
    pub unknown_server: u64,
}

impl IgnoredMessages {
    /// Adds other counts to these.
    pub fn add(&mut self, other: IgnoredMessages) {
        self.malformed += other.malformed;
        self.unknown_server += other.unknown_server;
    }

    /// All of them.
    pub fn total(&self) -> u64 {
        self.malformed + self.unknown_server
    }
}

/// Reads a message up to its end or to the first event that this version does not know.
pub fn read(mut bytes: &[u8], receiver: &mut impl PeerMessageHandler) -> IgnoredMessages {
    let mut ignored = IgnoredMessages::default();
    loop {
        bytes = match bytes {
            [IDLE_CONNECTION_BROKE_TAG, high, low, rest @ ..] => {
                receiver
                    .idle_connection_broke(Duration::from_millis(u16::from_be_bytes([*high, *low]).into()));
                rest
            }
            [tag @ CLASS_FAILED_TAG..CLASS_ANSWERED_TAG, a, b, c, rest @ ..] => {
                let server = u32::from_be_bytes([0, *a, *b, *c]);
                let known = receiver.class_outcome(server, (tag - CLASS_FAILED_TAG).into(), false);
                ignored.unknown_server += u64::from(!known);
                rest
            }
            [tag @ CLASS_ANSWERED_TAG..CLASS_ANSWERED_TAG_END, a, b, c, rest @ ..] => {
                let server = u32::from_be_bytes([0, *a, *b, *c]);
                let known = receiver.class_outcome(server, (tag - CLASS_ANSWERED_TAG).into(), true);
                ignored.unknown_server += u64::from(!known);
                rest
            }
            [REQUEST_RATE_TAG, high, low, rest @ ..] => {
                receiver
                    .peer_request_rate(f64::from(u16::from_be_bytes([*high, *low])) / RATE_STEPS_PER_UNIT);
                rest
            }
            [] => return ignored,
            _ => {
                ignored.malformed += 1;
                return ignored;
            }
        };
    }
}
