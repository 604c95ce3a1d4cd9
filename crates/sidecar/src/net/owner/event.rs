//! The events that reach the owner, and the final responses that it sends.

use crate::catalog::Catalog;
use crate::configuration::RuntimeChange;
use crate::invariants::must_hold;
use crate::net::upstream::{AttemptResult, OutgoingRequest, UpstreamResponse};
use async_channel::{Receiver, Sender};
use landingspread_decisions::host::{Id, LoadReport, Outcome, RequestArrival};
use std::time::Duration;

/// The final response to a request. Each request gets exactly one.
pub enum FinalResponse {
    /// A server's response.
    Response(Box<UpstreamResponse>),
    /// The request was rejected or may be sent again: 503, with a `Retry-After` where one is given.
    Rejected(Option<Duration>),
    /// An attempt may have run and its result is unknown: 502.
    Failed,
}

impl FinalResponse {
    /// Its name in the log.
    pub fn name(&self) -> &'static str {
        match self {
            FinalResponse::Response(_) => "answered",
            FinalResponse::Rejected(_) => "rejected",
            FinalResponse::Failed => "failed",
        }
    }
}

/// A request as the client side hands it over. Two clients may use the same id: the number tells them apart.
pub struct IncomingRequest {
    pub number: u64,
    pub arrival: RequestArrival,
    pub outgoing: OutgoingRequest,
    /// Where the final response goes.
    pub responder: Sender<FinalResponse>,
}

/// What reaches the owner.
pub enum Event {
    RequestArrived(Box<IncomingRequest>),
    /// The last byte of a request's body has arrived; the response is due by this time.
    BodyComplete(Id, u64, Duration),
    ClientLeft(Id, u64),
    /// A response of this server, to this verb, broke off while it was passed on.
    ResponseInterrupted(Id, usize),
    AttemptEnded(Id, u32, Box<AttemptResult>),
    HealthCheckEnded(Id, Outcome, LoadReport),
    /// A datagram of another copy.
    PeerMessage(u32, Vec<u8>),
    ListReceived(Catalog),
    ListPollFailed,
    /// Discovery has too many polls and refused this one.
    ListPollRejected,
    /// Quotas and request classes from now on; the sender is notified once the decisions have them.
    SettingsChanged(Box<RuntimeChange>, Sender<()>),
    /// The process shuts down: all open requests have their final response by this time.
    ShutdownBy(Duration),
    /// That time has come.
    ShutdownDeadline,
}

/// The sending side of the owner's queue. The queue has no bound of its own: each open socket has at most one event in it,
/// and sockets are limited; messages of peers are dropped past the bound in `peers.rs`.
#[derive(Clone)]
pub struct EventQueue(Sender<Event>);

impl EventQueue {
    /// How many events wait.
    pub fn waiting(&self) -> usize {
        self.0.len()
    }

    /// Appends an event.
    pub fn push(&self, event: Event) {
        let queued = self.0.try_send(event).is_ok();
        must_hold!(Internal, queued, "the owner receives every event");
    }
}

/// A new queue: the side that events are pushed to, and the owner's.
pub fn queue() -> (EventQueue, Receiver<Event>) {
    let (sender, receiver) = async_channel::unbounded();
    (EventQueue(sender), receiver)
}
