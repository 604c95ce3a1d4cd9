//! The endpoint list: its polls, its entries, and what operators say of single servers beside it.

use super::Policy;
use super::concurrency_limits::INITIAL_LIMIT;
use crate::host::{Host, Id, Lifecycle, ListedServer};
use crate::state::polling::PollState;
use crate::state::server_set::Server;
use std::time::Duration;

impl<H: Host> Policy<H> {
    /// Replicas that start together must not all call the one list service at once: the first poll is within a second.
    pub(super) fn schedule_first_poll(&mut self) {
        if self.settings.polls_discovery {
            let pause = Duration::from_secs_f64(self.random.next());
            self.polling.next_poll = Some(self.now + pause);
        }
    }

    /// A complete list, from a cache: servers that it does not name are not ready.
    pub fn endpoint_list_cached(&mut self, now: Duration, entries: &[ListedServer]) {
        self.now = now;
        self.servers.retain_listed(entries);
        self.overrides.retain_listed(entries);
        self.take_entries(entries);
    }

    /// A complete list, from discovery.
    pub fn endpoint_list_received(&mut self, now: Duration, entries: &[ListedServer]) {
        self.polling = PollState::restarted(now);
        self.endpoint_list_cached(now, entries);
    }

    /// Changes of the list, from discovery.
    pub fn endpoint_list_changed(&mut self, now: Duration, entries: &[ListedServer]) {
        self.now = now;
        self.polling = PollState::restarted(now);
        self.take_entries(entries);
    }

    /// A call for the list failed: discovery was down, silent, or its answer broke off.
    pub fn discovery_poll_failed(&mut self, now: Duration) {
        self.now = now;
        self.polling.failed(now, || self.random.next());
    }

    /// Discovery let a call for the list wait, and then refused it as one of too many.
    pub fn discovery_poll_rejected(&mut self, now: Duration) {
        self.now = now;
        self.polling.refused(now, self.settings.replicas, || self.random.next());
    }

    fn take_entries(&mut self, entries: &[ListedServer]) {
        for entry in entries {
            self.take_entry(entry);
        }
        self.servers.settle();
        self.update_window();
        self.dispatch_queued();
    }

    fn take_entry(&mut self, entry: &ListedServer) {
        if self.overrides.take_entry(entry) || entry.lifecycle != Lifecycle::Ready {
            return self.servers.remove(&entry.server);
        }
        let now = self.now;
        let initial_credit = self.random.next();
        let classes = self.settings.classes.len();
        let new_server = || Server::new(entry, classes, initial_credit, INITIAL_LIMIT, now);
        let (slot, is_new) = self.servers.set_ready(entry, self.settings.zone, new_server);
        let Some(started_at) = self.servers[slot].take_start_time(entry, is_new) else { return };
        if !is_new || started_at + self.settings.slow_start.duration > now {
            self.restart_server(slot, started_at);
        }
    }

    /// Operators leave a server out, whatever the list says of it. `false`: no list ever named it.
    pub fn exclude_server(&mut self, now: Duration, id: &Id) -> bool {
        self.now = now;
        self.overrides.leave_out_if_known(id, self.servers.listed(id));
        self.servers.remove(id);
        self.take_entries(&[]);
        self.overrides.knows(id)
    }

    /// Operators use the server again since then. It was restarted meanwhile, whether the list says so or not.
    /// `false`: no list ever named it.
    pub fn include_server(&mut self, now: Duration, id: &Id, since: Duration) -> bool {
        self.now = now;
        if let Some(last) = self.overrides.use_again(id) {
            self.take_entries(&[last]);
            self.reinstate_server(id, since);
        }
        self.overrides.knows(id)
    }
}
