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
    /// A server's response, passed on with status 200.
    Response(Box<UpstreamResponse>),
    /// Status 503: the request was rejected, or may be retried without harm. The time, if any, is sent in
    /// `Retry-After`.
    Rejected(Option<Duration>),
    /// Status 502: an attempt may have run and its result is unknown, or another request with the same id is open.
    Failed,
}

impl FinalResponse {
    /// The name of the response in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            FinalResponse::Response(_) => "answered",
            FinalResponse::Rejected(_) => "rejected",
            FinalResponse::Failed => "failed",
        }
    }
}

/// A request as the client side passes it to the owner. Two clients may use the same id; `number` distinguishes their
/// requests.
pub struct IncomingRequest {
    pub number: u64,
    pub arrival: RequestArrival,
    pub outgoing: OutgoingRequest,
    /// Receives the final response.
    pub responder: Sender<FinalResponse>,
}

/// An event for the owner.
pub enum Event {
    RequestArrived(Box<IncomingRequest>),
    /// The last byte of a request's body has arrived. Fields: the request's id and number, and when the response is
    /// due.
    BodyComplete(Id, u64, Duration),
    /// No attempt has accepted a part of the request's body for the request's time limit. The client may have sent the
    /// last byte long ago, so the time of the request is over. Fields: the request's id and number.
    BodyStalled(Id, u64),
    /// The response to a request with a streamed body is due. Fields: the request's id and number.
    ResponseDue(Id, u64),
    ClientLeft(Id, u64),
    /// A response of this server to a request of this class broke off while it was passed on.
    ResponseInterrupted(Id, usize),
    AttemptEnded(Id, u32, Box<AttemptResult>),
    HealthCheckEnded(Id, Outcome, LoadReport),
    /// A message from the peer with this ordinal.
    PeerMessage(u32, Vec<u8>),
    ListReceived(Catalog),
    ListPollFailed,
    /// Discovery refused a poll because it has too many.
    ListPollRejected,
    /// New quotas and request classes. The sender is notified once the decision engine has them.
    SettingsChanged(Box<RuntimeChange>, Sender<()>),
    /// The process shuts down, and all open requests have their final response by this time.
    ShutdownBy(Duration),
    /// The time of `ShutdownBy` has come.
    ShutdownDeadline,
}

/// The sending side of the owner's queue. The queue itself has no bound: each open socket has at most one event in it,
/// and sockets are limited; peer messages are dropped past `MAX_QUEUED_EVENTS` in `peers.rs`.
#[derive(Clone)]
pub struct EventQueue(Sender<Event>);

impl EventQueue {
    /// The number of events in the queue.
    pub fn waiting(&self) -> usize {
        self.0.len()
    }

    /// Appends an event to the queue.
    pub fn push(&self, event: Event) {
        let queued = self.0.try_send(event).is_ok();
        must_hold!(Internal, queued, "event pushed after the owner's queue was closed");
    }
}

/// Creates a queue. Returns its sending side, and the receiving side for the owner.
pub fn queue() -> (EventQueue, Receiver<Event>) {
    let (sender, receiver) = async_channel::unbounded();
    (EventQueue(sender), receiver)
}
