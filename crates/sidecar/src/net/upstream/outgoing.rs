//! A request as it is sent to servers: its bytes, and the part of a long body that has not arrived yet.

use super::response::STALL_TIMEOUT;
use crate::invariants::must_hold;
use crate::net::attempts::{AttemptGuard, Location};
use crate::net::buffers::Buffer;
use crate::net::http::{BodyEncoding, BodyPart};
use crate::net::leaving::ClientPresence;
use async_channel::{Receiver, Sender};
use landingspread_decisions::host::Id;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// The progress of an attempt. An attempt whose last byte was not written has never run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptStage {
    /// No byte was written.
    Unwritten,
    Started,
    /// The last byte was written.
    Written,
    Ended,
}

/// The bytes of a request as each attempt sends them, without the remaining time.
pub struct OutgoingRequest {
    pub id: Id,
    pub head: Vec<u8>,
    pub body: Vec<BodyPart>,
    /// The part of a body that has not arrived yet, if the body is too long to be buffered.
    pub rest: Option<StreamedBody>,
    /// Whether the request cannot be sent again if its connection breaks.
    pub run_once: bool,
    pub client: ClientPresence,
    /// Checked right before each attempt's first byte.
    pub guard: AttemptGuard,
}

/// The rest of a body, as the client side reads it. Parts that one attempt takes are not available to any other, so the
/// request's guard lets no two attempts overlap.
pub struct StreamedBody {
    pub events: Receiver<BodyEvent>,
    pub encoding: BodyEncoding,
    /// The length of the whole body, where the head gives it.
    pub length: Option<u64>,
    /// How long the client waits for the response after the last byte has arrived.
    pub time_limit: Duration,
    /// Whether a part was taken, after which there can be no other attempt.
    pub consumed: Cell<bool>,
}

impl StreamedBody {
    /// How long a write to a server may make no progress. The client may have sent the last byte already, so a longer
    /// wait than the time limit could be too long for the final response.
    pub(super) fn stall_timeout(&self) -> Duration {
        STALL_TIMEOUT.min(self.time_limit)
    }
}

/// The next event of a streamed body.
pub enum BodyEvent {
    /// A part of the body. A client side that has no other buffer waits for the buffer of this part to read on.
    Part { part: BodyPart, return_buffer: Option<Sender<Buffer>> },
    /// The body is complete, and the response is due by this time.
    Complete(Instant),
}

impl OutgoingRequest {
    /// Whether another attempt could still send the whole request.
    pub fn can_be_sent_again(&self) -> bool {
        self.rest.as_ref().is_none_or(|rest| !rest.consumed.get())
    }

    /// Checks right before an attempt's first byte whether the attempt may start, and if so records it as in flight.
    /// While the connection was established the client may have left, and the window for deduplicating retries may have
    /// elapsed.
    pub(super) fn begin_attempt(&self, attempt: u32, location: Location) -> bool {
        if self.client.has_left() || self.guard.begin(&self.id, attempt, location).is_err() {
            return false;
        }
        let is_whole = self.can_be_sent_again();
        must_hold!(Retrying, is_whole, "attempt {attempt} of {} after a part of its body was sent", self.id);
        is_whole
    }
}
