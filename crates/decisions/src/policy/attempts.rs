//! Sends attempts and closes requests.

use super::Policy;
use crate::host::{Event, Host, Id};
use crate::state::class_statistics::WatchedAttempt;
use crate::state::request::{Attempt, AttemptState};
use crate::state::server_set::Slot;

impl<H: Host> Policy<H> {
    /// Sends the next attempt of the request to the server.
    pub(super) fn send_attempt(&mut self, id: &Id, to: Slot) {
        let connection_idle = self.replace_idle_connection(id, to);
        let Some(request) = self.requests.get_mut(id) else { return };
        let server = &mut self.servers[to];
        let uncredited = server.slow_start_from().is_some() && server.slow_start_credit < 1.0;
        server.last_used = Some(self.now);
        server.min_credits_per_second = 0.0;
        let reported_load = server.load_report().map(|report| report.load + server.sent_since_report);
        let queued_ahead = reported_load.filter(|_| self.check_budget.is_used());
        let number = request.attempts.len() as u32;
        let server_id = server.id.clone();
        request.candidates = Vec::new();
        request.check_rounds = 0;
        request.attempts.push(Attempt::new(server, to, self.now, connection_idle, queued_ahead));
        server.sent_since_report += 1.0;
        server.slow_start_credit = (server.slow_start_credit - 1.0).max(0.0);
        let class = request.class;
        let body_pending = request.body_pending;
        let useful_until = request.useful_until;
        self.begin_trial(to, class);
        if !body_pending {
            self.begin_attempt(id, class, to, number);
        }
        self.throughput.count_sent(self.now);
        self.zones.attempt_sent(self.servers[to].zone, self.now);
        if uncredited {
            self.host.log(&Event::SlowStartViolated(server_id.clone()));
        }
        self.host.start_attempt(id, &server_id, useful_until);
    }

    /// Starts the time of an attempt: from now on it counts as in flight and may become overdue.
    pub(super) fn begin_attempt(&mut self, id: &Id, class: usize, slot: Slot, number: u32) {
        self.servers.change_in_flight(slot, 1);
        let attempt = WatchedAttempt { sent_at: self.now, request: id.clone(), number };
        self.classes[class].watched.push_back(attempt);
    }

    /// Closes a request that has its final response or whose client has left. Attempts in flight are cancelled if the
    /// settings allow it and no answer is being passed on; the record is kept until they end.
    pub(super) fn close_request(&mut self, id: &Id) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.finished = true;
        let may_cancel = self.settings.capabilities.cancellation && !request.streaming;
        for (number, attempt) in (0u32..).zip(&request.attempts) {
            if attempt.state == AttemptState::InFlight && may_cancel {
                self.host.cancel_attempt(id, number);
            }
        }
        if request.in_flight() == 0 {
            self.requests.remove(id);
        }
    }
}
