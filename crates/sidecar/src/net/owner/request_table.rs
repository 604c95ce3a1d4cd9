//! The open requests with the states of their attempts, and the known servers. Starts and cancels attempts and sends
//! final responses as the decision engine asks; makes no decisions itself.

use super::event::{Event, EventQueue, FinalResponse};
use crate::catalog::Catalog;
use crate::clock::Clock;
use crate::counters::{self, RefusalReason};
use crate::fleet;
use crate::invariants::must_hold;
use crate::net::attempts::Location;
use crate::net::executor::Executor;
use crate::net::peers::Peers;
use crate::net::upstream::{
    AttemptResult, AttemptStage, ConnectionPool, OutgoingRequest, Target, UpstreamClient,
};
use crate::start::StartupTimes;
use async_channel::Sender;
use async_executor::Task;
use async_io::Timer;
use landingspread_decisions::host::{Id, Lifecycle, ListedServer, Outcome};
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The services that the owner uses.
pub struct Services {
    pub upstream: Rc<UpstreamClient>,
    pub pool: Rc<ConnectionPool>,
    pub peers: Option<Rc<Peers>>,
    /// None where this replica belongs to no fleet.
    pub fleet: Option<fleet::DecisionLink>,
    /// Requests a poll of discovery.
    pub poll_discovery: Sender<()>,
    pub start: Rc<StartupTimes>,
}

/// One attempt of an open request.
pub(super) struct Attempt {
    pub(super) server: Id,
    /// When the attempt was started, or when the last byte of a streamed body arrived. Its latency counts from here.
    pub(super) sent_at: Duration,
    stage: Rc<Cell<AttemptStage>>,
    /// Dropping the task stops the attempt and closes its connection. None if the attempt was not sent or has ended.
    pub(super) task: Option<Task<()>>,
    /// None while the attempt is in flight.
    pub(super) outcome: Option<Outcome>,
}

impl Attempt {
    pub(super) fn has_ended(&self) -> bool {
        self.outcome.is_some()
    }
}

/// A request that has no final response yet, or whose attempts have not all ended.
pub(super) struct OpenRequest {
    pub(super) number: u64,
    /// When the final response is due.
    pub(super) deadline: Duration,
    pub(super) outgoing: Rc<OutgoingRequest>,
    pub(super) responder: Sender<FinalResponse>,
    /// Whether the final response was sent, or the client has left.
    pub(super) finished: bool,
    pub(super) attempts: Vec<Attempt>,
    /// Reports that the response is due, once the body of a streamed request has arrived. An attempt that waits in a
    /// write to its server does not know the deadline yet.
    pub(super) due_timer: Option<Task<()>>,
}

impl OpenRequest {
    /// The reason to count if this final response refuses the request, by the outcomes of its attempts.
    fn refusal_reason(&self, response: &FinalResponse) -> Option<RefusalReason> {
        let never_ran = self.attempts.iter().all(|attempt| attempt.outcome.is_none_or(Outcome::never_ran));
        match response {
            FinalResponse::Response(_) => None,
            FinalResponse::Rejected(_) | FinalResponse::Failed if self.attempts.is_empty() => {
                Some(RefusalReason::Shed)
            }
            FinalResponse::Rejected(_) if never_ran => Some(RefusalReason::NeverRan),
            FinalResponse::Rejected(_) => Some(RefusalReason::MayBeRetried),
            FinalResponse::Failed => Some(RefusalReason::ResultUnknown),
        }
    }
}

/// A server of the endpoint list.
struct KnownServer {
    address: SocketAddr,
    location: Location,
    /// Whether the server drains, so that it gets no new requests.
    draining: bool,
}

impl KnownServer {
    fn target(&self, server: &Id) -> Target {
        Target { server: server.clone(), address: self.address, location: self.location }
    }
}

/// The owner's state, which the decision engine's actions and the event loop access in turn.
pub(super) struct RequestTable {
    pub(super) clock: Clock,
    max_attempts: usize,
    pub(super) requests: BTreeMap<Id, OpenRequest>,
    servers: BTreeMap<Id, KnownServer>,
    /// The times at which the decision engine asked to be woken, earliest first.
    pub(super) wake_times: BinaryHeap<Reverse<Duration>>,
    /// No attempt lasts beyond this time.
    pub(super) shutdown_by: Duration,
    pub(super) services: Services,
    pub(super) executor: Rc<Executor>,
    pub(super) queue: EventQueue,
}

impl RequestTable {
    pub(super) fn new(
        clock: Clock,
        max_attempts: usize,
        services: Services,
        executor: Rc<Executor>,
        queue: EventQueue,
    ) -> RequestTable {
        RequestTable {
            clock,
            max_attempts,
            requests: BTreeMap::new(),
            servers: BTreeMap::new(),
            wake_times: BinaryHeap::new(),
            shutdown_by: Duration::MAX,
            services,
            executor,
            queue,
        }
    }

    /// The address and the location of a server, if it is known.
    pub(super) fn target(&self, server: &Id) -> Option<Target> {
        self.servers.get(server).map(|known| known.target(server))
    }

    /// Sends the final response of a request.
    pub(super) fn finish(&mut self, request: &Id, response: FinalResponse) {
        let Some(open) = self.requests.get_mut(request) else { return };
        tracing::debug!("request {request} is {}", response.name());
        must_hold!(OneFinalResponse, !open.finished, "second final response for request {request}");
        open.refusal_reason(&response)
            .into_iter()
            .for_each(|reason| counters::request_refused(request, reason));
        open.outgoing.guard.close();
        if !std::mem::replace(&mut open.finished, true) {
            // Sending fails if the client has just left, and the response is dropped.
            let _ = open.responder.try_send(response);
        }
        self.cancel_unwritten(request);
        self.remove_if_finished(request);
    }

    /// Cancels the attempts of a finished request that are not written to their last byte. This also applies where the
    /// settings forbid cancellation: that setting is about attempts that a server has received, and no server has
    /// received these.
    pub(super) fn cancel_unwritten(&mut self, request: &Id) {
        let Some(open) = self.requests.get(request) else { return };
        let unwritten = |attempt: &Attempt| {
            matches!(attempt.stage.get(), AttemptStage::Unwritten | AttemptStage::Started)
        };
        let numbers: Vec<u32> = (0..)
            .zip(&open.attempts)
            .filter(|(_, attempt)| unwritten(attempt))
            .map(|(number, _)| number)
            .collect();
        numbers.into_iter().for_each(|number| self.cancel(request, number));
    }

    /// Cancels the attempts that wait for a connection to this server, as no new requests go there.
    pub(super) fn cancel_unwritten_to(&mut self, server: &Id) {
        let waits =
            |attempt: &Attempt| attempt.server == *server && attempt.stage.get() == AttemptStage::Unwritten;
        let waiting = self.attempts_where(|_, attempt| waits(attempt));
        waiting.into_iter().for_each(|(request, number)| self.cancel(&request, number));
    }

    fn attempts_where(&self, predicate: impl Fn(&OpenRequest, &Attempt) -> bool) -> Vec<(Id, u32)> {
        let matching_attempts = |(request, open): (&Id, &OpenRequest)| {
            let attempts = (0u32..).zip(&open.attempts).filter(|(_, attempt)| predicate(open, attempt));
            attempts.map(|(number, _)| (request.clone(), number)).collect::<Vec<_>>()
        };
        self.requests.iter().flat_map(matching_attempts).collect()
    }

    /// Removes a finished request once all of its attempts have ended.
    pub(super) fn remove_if_finished(&mut self, request: &Id) {
        let is_finished = |open: &OpenRequest| open.finished && open.attempts.iter().all(Attempt::has_ended);
        if self.requests.get(request).is_some_and(is_finished) {
            self.requests.remove(request);
        }
    }

    /// Starts an attempt that lasts until `deadline` at most, or until the request's deadline if `deadline` is zero. An
    /// attempt that may not start ends with `Outcome::NotSent`.
    pub(super) fn start_attempt(&mut self, request: &Id, server: &Id, deadline: Duration) {
        let now = self.clock.now();
        let Some(open) = self.requests.get_mut(request) else {
            must_hold!(Internal, false, "attempt for request {request}, which is not open");
            return;
        };
        let number = open.attempts.len() as u32;
        let deadline = if deadline.is_zero() { open.deadline } else { deadline.min(open.deadline) };
        let deadline = deadline.min(self.shutdown_by);
        let stage = Rc::new(Cell::new(AttemptStage::Unwritten));
        let last_outcome = open.attempts.last().and_then(|attempt| attempt.outcome);
        last_outcome.into_iter().for_each(|outcome| counters::request_retried(request, number, outcome));
        let known = self.servers.get(server);
        // The decision engine sends nothing to a server once it drains, not even within its grace period.
        let draining = known.is_some_and(|known| known.draining);
        must_hold!(Sending, !draining, "attempt {number} of {request} to draining server {server}");
        let target = known.filter(|_| !draining).map(|known| known.target(server));
        let may_start = !open.finished && now < deadline && open.attempts.len() < self.max_attempts;
        let mut attempt = Attempt { server: server.clone(), sent_at: now, stage, task: None, outcome: None };
        match target.filter(|_| may_start) {
            Some(target) => {
                let (upstream, queue) = (self.services.upstream.clone(), self.queue.clone());
                let (outgoing, stage, request) =
                    (open.outgoing.clone(), attempt.stage.clone(), request.clone());
                let deadline = self.clock.instant(deadline);
                attempt.task = Some(self.executor.spawn(async move {
                    let result = upstream.attempt(&target, &outgoing, number, deadline, &stage).await;
                    stage.set(AttemptStage::Ended);
                    queue.push(Event::AttemptEnded(request, number, Box::new(result)));
                }));
            }
            None => {
                attempt.stage.set(AttemptStage::Ended);
                let result = Box::new(AttemptResult::without_response(Outcome::NotSent));
                self.queue.push(Event::AttemptEnded(request.clone(), number, result));
            }
        }
        open.attempts.push(attempt);
    }

    /// Pushes an event at this time, unless the returned task is dropped before.
    pub(super) fn push_at(&self, at: Duration, event: Event) -> Task<()> {
        let (queue, at) = (self.queue.clone(), self.clock.instant(at));
        self.executor.spawn(async move {
            Timer::at(at).await;
            queue.push(event);
        })
    }

    /// Times out the attempts in flight of a request without a final response, as the response is due.
    pub(super) fn time_out(&mut self, request: &Id, number: u64) {
        let open = self.requests.get(request).filter(|open| open.number == number && !open.finished);
        let attempts = open.map_or(0, |open| open.attempts.len() as u32);
        (0..attempts).for_each(|attempt| self.stop(request, attempt, Outcome::Timeout));
    }

    /// Times out all attempts in flight of requests without a final response, as the shutdown deadline has come.
    /// Responses that are being passed on continue.
    pub(super) fn time_out_all(&mut self) {
        let in_flight = self.attempts_where(|open, attempt| !attempt.has_ended() && !open.finished);
        in_flight.iter().for_each(|(request, number)| self.stop(request, *number, Outcome::Timeout));
    }

    /// Cancels an attempt that has not ended.
    pub(super) fn cancel(&mut self, request: &Id, number: u32) {
        self.stop(request, number, Outcome::Cancelled);
    }

    /// Stops an attempt that has not ended. Its outcome is `outcome_if_written` if its last byte was written, as it may
    /// have run.
    fn stop(&mut self, request: &Id, number: u32, outcome_if_written: Outcome) {
        let Some(open) = self.requests.get_mut(request) else { return };
        let Some(attempt) = open.attempts.get_mut(number as usize) else { return };
        // If the attempt has ended, its own outcome is already on the queue and counts.
        let outcome = match attempt.stage.replace(AttemptStage::Ended) {
            AttemptStage::Ended => return,
            AttemptStage::Written => outcome_if_written,
            AttemptStage::Unwritten | AttemptStage::Started => Outcome::NotSent,
        };
        attempt.task = None;
        open.outgoing.guard.record_end(number, outcome);
        let consumed = !open.outgoing.can_be_sent_again();
        let result = AttemptResult { consumed, ..AttemptResult::without_response(outcome) };
        self.queue.push(Event::AttemptEnded(request.clone(), number, Box::new(result)));
    }

    /// Applies an endpoint list, complete or with changed entries. Removed servers are deleted, as new servers have new
    /// ids. Attempts that wait for a connection are cancelled if their server takes no new requests or has another
    /// address.
    pub(super) fn update_servers(&mut self, list: Catalog) -> Vec<ListedServer> {
        let mut unusable = Vec::new();
        let RequestTable { servers, services: Services { pool, .. }, .. } = self;
        let old = if list.complete { std::mem::take(servers) } else { BTreeMap::new() };
        for entry in &list.entries {
            let server = &entry.listed.server;
            let lifecycle = entry.listed.lifecycle;
            if lifecycle == Lifecycle::Removed {
                pool.close_idle_to(server);
            }
            let previous = servers.remove(server);
            let previous = previous.as_ref().or(old.get(server));
            let moved = previous.is_some_and(|previous| previous.address != entry.address);
            let known = KnownServer {
                address: entry.address,
                location: Location { zone: entry.listed.zone, cell: entry.listed.cell },
                draining: lifecycle == Lifecycle::Draining,
            };
            if lifecycle != Lifecycle::Removed {
                servers.insert(server.clone(), known);
            }
            if moved || lifecycle != Lifecycle::Ready {
                unusable.push(server.clone());
            }
        }
        for server in old.into_keys().filter(|server| !servers.contains_key(server)) {
            pool.close_idle_to(&server);
            unusable.push(server);
        }
        unusable.iter().for_each(|server| self.cancel_unwritten_to(server));
        list.entries.into_iter().map(|entry| entry.listed).collect()
    }
}
