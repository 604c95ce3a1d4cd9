//! The endpoint list: its polls, its entries, and the operators' overrides of single servers.

use super::Policy;
use super::concurrency_limits::INITIAL_LIMIT;
use crate::host::{Host, Id, Lifecycle, ListedServer};
use crate::state::polling::PollState;
use crate::state::server_set::Server;
use std::time::Duration;

impl<H: Host> Policy<H> {
    /// Schedules the first poll, at a random time within one second: replicas that start together must not all call the
    /// list service at once.
    pub(super) fn schedule_first_poll(&mut self) {
        if self.settings.polls_discovery {
            let delay = Duration::from_secs_f64(self.random.next());
            self.polling.next_poll = Some(self.now + delay);
        }
    }

    /// Handles a complete list from a cache. Servers that it does not name are no longer ready.
    pub fn endpoint_list_cached(&mut self, now: Duration, entries: &[ListedServer]) {
        self.now = now;
        self.servers.retain_listed(entries);
        self.overrides.retain_listed(entries);
        self.apply_entries(entries);
    }

    /// Handles a complete list from discovery.
    pub fn endpoint_list_received(&mut self, now: Duration, entries: &[ListedServer]) {
        self.polling = PollState::restarted(now);
        self.endpoint_list_cached(now, entries);
    }

    /// Handles changes of the list from discovery.
    pub fn endpoint_list_changed(&mut self, now: Duration, entries: &[ListedServer]) {
        self.now = now;
        self.polling = PollState::restarted(now);
        self.apply_entries(entries);
    }

    /// Handles a failed poll: discovery was down, did not answer, or its answer broke off.
    pub fn discovery_poll_failed(&mut self, now: Duration) {
        self.now = now;
        self.polling.record_failure(now, || self.random.next());
    }

    /// Handles a poll that discovery held and then rejected because too many polls were open.
    pub fn discovery_poll_rejected(&mut self, now: Duration) {
        self.now = now;
        self.polling.record_rejection(now, self.settings.replicas, || self.random.next());
    }

    fn apply_entries(&mut self, entries: &[ListedServer]) {
        for entry in entries {
            self.apply_entry(entry);
        }
        self.servers.finish_list_update();
        self.update_window();
        self.dispatch_queued();
    }

    fn apply_entry(&mut self, entry: &ListedServer) {
        if self.overrides.apply_entry(entry) || entry.lifecycle != Lifecycle::Ready {
            return self.servers.remove(&entry.server);
        }
        let now = self.now;
        let initial_credit = self.random.next();
        let classes = self.settings.classes.len();
        let new_server = || Server::new(entry, classes, initial_credit, INITIAL_LIMIT, now);
        let (slot, is_new) = self.servers.set_ready(entry, self.settings.zone, new_server);
        let Some(started_at) = self.servers[slot].update_start_time(entry, is_new) else { return };
        if !is_new || started_at + self.settings.slow_start.duration > now {
            self.restart_server(slot, started_at);
        }
    }

    /// Excludes a server on behalf of the operators, regardless of the list. Returns `false` if no list ever named it.
    pub fn exclude_server(&mut self, now: Duration, id: &Id) -> bool {
        self.now = now;
        self.overrides.exclude_if_known(id, self.servers.listed(id));
        self.servers.remove(id);
        self.apply_entries(&[]);
        self.overrides.is_known(id)
    }

    /// Ends the exclusion of a server, which counts as restarted at `since` even if the list reports no restart.
    /// Returns `false` if no list ever named it.
    pub fn include_server(&mut self, now: Duration, id: &Id, since: Duration) -> bool {
        self.now = now;
        if let Some(last_entry) = self.overrides.include(id) {
            self.apply_entries(&[last_entry]);
            self.reinstate_server(id, since);
        }
        self.overrides.is_known(id)
    }
}
