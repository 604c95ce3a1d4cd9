//! A request on its way to servers: its bytes, and what is still to come of a body that is too long to be buffered.

use crate::net::attempts::AttemptGuard;
use crate::net::http::{BodyEncoding, BodyPart};
use crate::net::leaving::ClientPresence;
use async_channel::Receiver;
use landingspread_decisions::host::Id;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// How far an attempt has come. What was not written to its last byte has never run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptStage {
    /// No byte is written.
    Unwritten,
    Started,
    /// The last byte is written.
    Written,
    Ended,
}

/// The bytes of a request as each attempt sends them, but for the remaining time.
pub struct OutgoingRequest {
    pub id: Id,
    pub head: Vec<u8>,
    pub body: Vec<BodyPart>,
    /// What is still to come of a body that is too long to be buffered.
    pub rest: Option<StreamedBody>,
    /// A break in the middle would be its end, as it cannot be sent again elsewhere.
    pub run_once: bool,
    pub client: ClientPresence,
    /// Asked right before each attempt's first byte.
    pub guard: AttemptGuard,
}

/// The rest of a body, as the client side reads it. What an attempt takes from it is gone for all others.
pub struct StreamedBody {
    pub events: Receiver<BodyEvent>,
    pub encoding: BodyEncoding,
    /// The length of the whole body, where the head gives it.
    pub length: Option<u64>,
    /// How long the client waits once the last byte has arrived.
    pub time_limit: Duration,
    /// A part was taken: there can be no other attempt.
    pub consumed: Cell<bool>,
}

/// What comes next of a streamed body.
pub enum BodyEvent {
    Part(BodyPart),
    /// The body is complete, and the response due by this time.
    Complete(Instant),
}

impl OutgoingRequest {
    /// Whether another attempt could still send all of it.
    pub fn can_be_sent_again(&self) -> bool {
        self.rest.as_ref().is_none_or(|rest| !rest.consumed.get())
    }
}
