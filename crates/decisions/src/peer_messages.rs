//! Encoding of the messages between replicas. A message is a sequence of events; decoding stops at the first event that
//! this version does not know.

use std::time::Duration;

/// Maximum length of a message.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// Tag of the event that an idle connection broke.
const IDLE_CONNECTION_BROKE_TAG: u8 = 1;
/// Tag of the event that reports a replica's request rate.
const REQUEST_RATE_TAG: u8 = 2;
/// Number of request classes that a message can name; outcomes of higher class numbers are not sent.
const MAX_CLASSES: u8 = 64;
/// Tag of a failure of class 0; the class number is added.
const CLASS_FAILED_TAG: u8 = 64;
/// Tag of an answer of class 0; the class number is added.
const CLASS_ANSWERED_TAG: u8 = 128;
/// First tag after the tags of answers.
const CLASS_ANSWERED_TAG_END: u8 = CLASS_ANSWERED_TAG + MAX_CLASSES;
/// Request rates are encoded in tenths of a request per second.
const RATE_STEPS_PER_UNIT: f64 = 10.0;

/// Receives the decoded events of a peer, with one method for each kind of event.
pub trait PeerMessageHandler {
    /// A connection of the peer broke on use, after it was idle for `idle`.
    fn idle_connection_broke(&mut self, idle: Duration);
    /// A server answered or failed a request of this class. Returns `false` if the server is unknown.
    fn class_outcome(&mut self, server: u32, class: usize, answered: bool) -> bool;
    /// The request rate of the peer, in requests per second.
    fn peer_request_rate(&mut self, per_second: f64);
}

/// Events collected for the next message. Events that do not fit are dropped, as messages may be lost in any case.
#[derive(Debug, Default)]
pub struct Outbox(Vec<u8>);

impl Outbox {
    fn add(&mut self, event: &[u8]) {
        if self.0.len() + event.len() <= MAX_MESSAGE_BYTES {
            self.0.extend(event);
        }
    }

    /// Adds that a connection broke after it was idle for `idle`; durations above 65 seconds are sent as 65 seconds.
    pub fn idle_connection_broke(&mut self, idle: Duration) {
        let [high, low] = u16::try_from(idle.as_millis()).unwrap_or(u16::MAX).to_be_bytes();
        self.add(&[IDLE_CONNECTION_BROKE_TAG, high, low]);
    }

    /// Adds that a server, by its short name of 24 bits, answered or failed a request of this class.
    pub fn class_outcome(&mut self, server: u32, class: usize, answered: bool) {
        let tag = if answered { CLASS_ANSWERED_TAG } else { CLASS_FAILED_TAG };
        let Some(class) = u8::try_from(class).ok().filter(|class| *class < MAX_CLASSES) else { return };
        let [_, a, b, c] = server.to_be_bytes();
        self.add(&[tag + class, a, b, c]);
    }

    /// Length of the collected events.
    pub fn byte_len(&self) -> usize {
        self.0.len()
    }

    /// Takes the message, if any event was collected.
    pub fn take(&mut self) -> Option<Vec<u8>> {
        Some(std::mem::take(&mut self.0)).filter(|bytes| !bytes.is_empty())
    }
}

/// A complete message that reports this replica's request rate.
pub fn request_rate_message(per_second: f64) -> [u8; 3] {
    let [high, low] = ((per_second * RATE_STEPS_PER_UNIT).clamp(0.0, 65535.0) as u16).to_be_bytes();
    [REQUEST_RATE_TAG, high, low]
}

/// Counts of messages and events from peers that were ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IgnoredMessages {
    /// Messages with an unknown or truncated event.
    pub malformed: u64,
    /// Events of servers that are unknown to this replica.
    pub unknown_server: u64,
}

impl IgnoredMessages {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: IgnoredMessages) {
        self.malformed += other.malformed;
        self.unknown_server += other.unknown_server;
    }

    /// Sum of all counts.
    pub fn total(&self) -> u64 {
        self.malformed + self.unknown_server
    }
}

/// Decodes a message up to its end or to the first unknown event.
pub fn read(mut bytes: &[u8], handler: &mut impl PeerMessageHandler) -> IgnoredMessages {
    let mut ignored = IgnoredMessages::default();
    loop {
        bytes = match bytes {
            [IDLE_CONNECTION_BROKE_TAG, high, low, rest @ ..] => {
                handler
                    .idle_connection_broke(Duration::from_millis(u16::from_be_bytes([*high, *low]).into()));
                rest
            }
            [tag @ CLASS_FAILED_TAG..CLASS_ANSWERED_TAG, a, b, c, rest @ ..] => {
                let server = u32::from_be_bytes([0, *a, *b, *c]);
                let known = handler.class_outcome(server, (tag - CLASS_FAILED_TAG).into(), false);
                ignored.unknown_server += u64::from(!known);
                rest
            }
            [tag @ CLASS_ANSWERED_TAG..CLASS_ANSWERED_TAG_END, a, b, c, rest @ ..] => {
                let server = u32::from_be_bytes([0, *a, *b, *c]);
                let known = handler.class_outcome(server, (tag - CLASS_ANSWERED_TAG).into(), true);
                ignored.unknown_server += u64::from(!known);
                rest
            }
            [REQUEST_RATE_TAG, high, low, rest @ ..] => {
                handler.peer_request_rate(f64::from(u16::from_be_bytes([*high, *low])) / RATE_STEPS_PER_UNIT);
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
