//! The interface between the simulation and the load balancers that it hosts.

use landingspread_decisions::host::{
    AttemptEnd, Host, Id, ListedServer, LoadReport, Outcome, RequestArrival,
};
use landingspread_decisions::policy::Policy;
use std::time::Duration;

/// The events of one replica, one method each, as the decision module takes them.
pub trait LoadBalancer {
    /// Handles a complete endpoint list from a cache.
    fn endpoint_list_cached(&mut self, now: Duration, entries: &[ListedServer]);
    /// Handles a complete endpoint list from discovery.
    fn endpoint_list_received(&mut self, now: Duration, entries: &[ListedServer]);
    /// Handles changes of the endpoint list from discovery.
    fn endpoint_list_changed(&mut self, now: Duration, entries: &[ListedServer]);
    /// Handles a poll that discovery did not answer completely.
    fn discovery_poll_failed(&mut self, now: Duration);
    /// Handles a new request of a client.
    fn request_arrived(&mut self, now: Duration, arrival: RequestArrival);
    /// Handles the disconnection of the client of an open request.
    fn client_disconnected(&mut self, now: Duration, request: &Id);
    /// Handles the outcome of an attempt.
    fn attempt_ended(&mut self, now: Duration, attempt_end: AttemptEnd);
    /// Handles the outcome of a health check with its load report.
    fn health_check_ended(&mut self, now: Duration, outcome: Outcome, server: &Id, load: LoadReport);
    /// Handles the time that was set by `Host::wake_after`.
    fn timer_fired(&mut self, now: Duration);
    /// Handles a message of another replica's decisions; `peer` is the ordinal of the sender.
    fn peer_message_received(&mut self, _now: Duration, _peer: u32, _message: &[u8]) {}
    /// Handles a datagram of fleet membership.
    fn datagram_received(&mut self, _now: Duration, _bytes: &[u8]) {}
}

impl<H: Host> LoadBalancer for Policy<H> {
    fn endpoint_list_cached(&mut self, now: Duration, entries: &[ListedServer]) {
        Policy::endpoint_list_cached(self, now, entries);
    }

    fn endpoint_list_received(&mut self, now: Duration, entries: &[ListedServer]) {
        Policy::endpoint_list_received(self, now, entries);
    }

    fn endpoint_list_changed(&mut self, now: Duration, entries: &[ListedServer]) {
        Policy::endpoint_list_changed(self, now, entries);
    }

    fn discovery_poll_failed(&mut self, now: Duration) {
        Policy::discovery_poll_failed(self, now);
    }

    fn request_arrived(&mut self, now: Duration, arrival: RequestArrival) {
        Policy::request_arrived(self, now, arrival);
    }

    fn client_disconnected(&mut self, now: Duration, request: &Id) {
        Policy::client_disconnected(self, now, request);
    }

    fn attempt_ended(&mut self, now: Duration, attempt_end: AttemptEnd) {
        Policy::attempt_ended(self, now, attempt_end);
    }

    fn health_check_ended(&mut self, now: Duration, outcome: Outcome, server: &Id, load: LoadReport) {
        Policy::health_check_ended(self, now, outcome, server, load);
    }

    fn timer_fired(&mut self, now: Duration) {
        Policy::timer_fired(self, now);
    }

    fn peer_message_received(&mut self, now: Duration, peer: u32, message: &[u8]) {
        Policy::peer_message_received(self, now, peer, message);
    }
}
