//! The owner's task: passes each event of the queue to the decision engine, and wakes the decision engine at the times
//! it asks for.

use super::decision_host::DecisionHost;
use super::event::{Event, EventQueue, FinalResponse, IncomingRequest};
use super::request_table::{OpenRequest, RequestTable, Services};
use crate::catalog::Catalog;
use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::console::MaintenanceOrder;
use crate::counters::{self, RefusalReason};
use crate::fleet;
use crate::handover::maintenance_record::MaintenanceEntries;
use crate::invariants::must_hold;
use crate::net::executor::Executor;
use crate::net::statistics_file::{self, FIRST_SAVE_AFTER, RestoredState, SAVE_INTERVAL, StatisticsWriter};
use crate::net::upstream::AttemptResult;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::{or, pending};
use landingspread_decisions::host::{AttemptEnd, Id, ReplicaView};
use landingspread_decisions::peer_messages::IgnoredMessages;
use landingspread_decisions::policy::Policy;
use landingspread_decisions::zones::ZoneTraffic;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// The channels between the console and the owner.
pub struct OperatorChannels {
    pub orders: Receiver<MaintenanceOrder>,
    /// The maintenance entries recorded before this process started.
    pub recorded: MaintenanceEntries,
    /// Notified once an endpoint list has arrived.
    pub list_received: Sender<()>,
}

/// An input of the event loop. Operators' orders take precedence over all other inputs.
enum Input {
    Order(MaintenanceOrder),
    Event(Event),
    FleetSize(ReplicaView),
    ZoneTraffic(Vec<ZoneTraffic>),
    /// The decision engine has asked to be woken at this time.
    WakeTime,
}

struct EventLoop {
    table: Rc<RefCell<RequestTable>>,
    policy: Policy<DecisionHost>,
    clock: Clock,
    /// The state that an earlier process saved, until a complete endpoint list has arrived.
    restored: RestoredState,
    operators: OperatorChannels,
    fleet: Option<fleet::DecisionLink>,
    /// When this replica next reports its observations of zones to the fleet.
    next_zone_report_at: Duration,
    /// The next sweep of the decision engine that may have an effect: sweeps before it are skipped unless another input
    /// arrives. None if no sweep is skipped.
    sweeps_skipped_until: Option<Duration>,
    save_to: Option<PathBuf>,
    save_at: Duration,
    statistics_writer: StatisticsWriter,
}

/// Runs the decision engine for as long as the process runs.
pub async fn run(
    configuration: Configuration,
    mut services: Services,
    operators: OperatorChannels,
    executor: Rc<Executor>,
    queue: EventQueue,
    events: Receiver<Event>,
) {
    let deployment = statistics_file::Deployment::of(&configuration);
    let fleet = services.fleet.take();
    let clock = configuration.clock;
    let max_attempts = configuration.policy.capabilities.max_attempts as usize;
    let table = RequestTable::new(clock.clone(), max_attempts, services, executor, queue);
    let table = Rc::new(RefCell::new(table));
    let policy =
        Policy::start(DecisionHost(table.clone()), configuration.policy, configuration.seed, clock.now());
    let restored = configuration
        .statistics_file
        .as_ref()
        .map(|path| statistics_file::restore(path, &deployment, &clock));
    let restored = restored.unwrap_or_default();
    table.borrow().services.start.stored_files_read();
    let (save_at, save_to) = (clock.now() + FIRST_SAVE_AFTER, configuration.statistics_file);
    let mut event_loop = EventLoop {
        table,
        policy,
        restored,
        operators,
        fleet,
        next_zone_report_at: clock.now(),
        sweeps_skipped_until: None,
        save_to,
        save_at,
        statistics_writer: StatisticsWriter::new(deployment),
        clock,
    };
    event_loop.restore_operator_orders();
    event_loop.apply_initial_list(configuration.initial_catalog);
    event_loop.run(events).await;
}

impl EventLoop {
    /// Applies the orders that operators gave to an earlier process, before the first endpoint list.
    fn restore_operator_orders(&mut self) {
        let now = self.clock.now();
        self.restored.known_ids.iter().for_each(|server| self.policy.restore_known_server(server));
        for (server, entry) in std::mem::take(&mut self.operators.recorded) {
            let id = Id::from(server);
            self.policy.restore_known_server(&id);
            if entry.in_maintenance {
                self.policy.exclude_server(now, &id);
            }
        }
    }

    /// Applies the servers of the configuration, and the statistics that an earlier process saved about them.
    fn apply_initial_list(&mut self, list: Catalog) {
        let known = self.table.borrow_mut().update_servers(list);
        let now = self.clock.now();
        self.policy.endpoint_list_cached(now, &known);
        self.policy.restore_statistics(now, &self.restored.statistics);
    }

    async fn run(mut self, events: Receiver<Event>) {
        loop {
            let input = self.next_input(&events).await;
            self.resume_sweeps(!matches!(input, Input::WakeTime));
            match input {
                Input::Order(order) => self.operator_order(order),
                Input::Event(event) => self.handle(event),
                Input::FleetSize(replicas) => self.fleet_size_changed(&replicas),
                Input::ZoneTraffic(traffic) => self.policy.zone_traffic_changed(self.clock.now(), &traffic),
                Input::WakeTime => {}
            }
            // Checked after each input, so that a long queue does not delay the decision engine's timers.
            let now = self.clock.now();
            if self.next_wake().is_some_and(|at| at <= now) {
                self.wake(now);
            }
        }
    }

    /// Waits for the next input, in this order of precedence: orders, messages of the fleet, events, the wake time.
    async fn next_input(&self, events: &Receiver<Event>) -> Input {
        let wake = self.next_wake();
        let wake_time = async {
            match wake {
                Some(at) => Timer::at(self.clock.instant(at)).await,
                None => pending().await,
            };
            Input::WakeTime
        };
        let order = next_message(Some(&self.operators.orders), Input::Order);
        let event = next_message(Some(events), Input::Event);
        let fleet = self.fleet.as_ref();
        let fleet_size = next_message(fleet.map(|fleet| &fleet.fleet_sizes), Input::FleetSize);
        let zone_traffic =
            next_message(fleet.and_then(|fleet| fleet.zone_traffic.as_ref()), Input::ZoneTraffic);
        or(order, or(or(fleet_size, zone_traffic), or(event, wake_time))).await
    }

    fn wake(&mut self, now: Duration) {
        self.table.borrow_mut().wake_times.pop();
        self.policy.timer_fired(now);
        self.report_zones(now);
        self.save(now);
        self.skip_idle_sweeps();
    }

    fn operator_order(&mut self, order: MaintenanceOrder) {
        let (now, id) = (self.clock.now(), Id::from(order.server));
        if order.recorded_age.is_some() {
            self.policy.restore_known_server(&id);
        }
        let known = if order.in_maintenance {
            self.policy.exclude_server(now, &id)
        } else {
            let since = now.saturating_sub(order.recorded_age.unwrap_or_default());
            self.policy.include_server(now, &id, since)
        };
        if order.in_maintenance {
            self.table.borrow_mut().cancel_unwritten_to(&id);
        }
        // Idle connections to this server are of no use once it is restarted.
        self.table.borrow().services.pool.close_idle_to(&id);
        let _ = order.responder.try_send(known);
    }

    fn fleet_size_changed(&mut self, replicas: &ReplicaView) {
        self.policy.replicas_changed(self.clock.now(), replicas);
        let request_rate = self.policy.request_rate();
        self.fleet.iter().for_each(|fleet| fleet.set_request_rate(request_rate));
    }

    fn report_zones(&mut self, now: Duration) {
        let Some(fleet) = self.fleet.as_ref().filter(|fleet| fleet.zone_traffic.is_some()) else { return };
        if self.next_zone_report_at <= now {
            self.next_zone_report_at = now + fleet::OBSERVATION_INTERVAL;
            fleet.set_observations(now, self.policy.zone_observations(now));
        }
    }

    fn save(&mut self, now: Duration) {
        if let Some(path) = self.save_to.clone().filter(|_| self.save_at <= now) {
            self.save_at = now + SAVE_INTERVAL;
            let known = self.policy.known_servers().map(|id| id.to_string()).collect();
            self.statistics_writer.save(path, &self.policy.server_statistics(), known, &self.clock);
        }
    }

    /// Skips sweeps that would have no effect: an idle sidecar would otherwise wake fifty times a second.
    fn skip_idle_sweeps(&mut self) {
        let (next, wake) = (self.policy.next_sweep(), self.next_wake());
        self.sweeps_skipped_until = Some(next).filter(|next| wake.is_some_and(|wake| wake < *next));
    }

    /// Continues the sweeps as if none had been skipped. `interrupted`: another input arrived before the next effective
    /// sweep.
    fn resume_sweeps(&mut self, interrupted: bool) {
        let Some(until) = self.sweeps_skipped_until.take() else { return };
        let now = self.clock.now();
        let next = self.policy.skip_sweeps(if interrupted { now.min(until) } else { until });
        let wake_times = &mut self.table.borrow_mut().wake_times;
        wake_times.clear();
        wake_times.push(Reverse(next));
    }

    fn next_wake(&self) -> Option<Duration> {
        if self.sweeps_skipped_until.is_some() {
            return self.sweeps_skipped_until;
        }
        self.table.borrow().wake_times.peek().map(|Reverse(at)| *at)
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::RequestArrived(request) => self.request_arrived(now, *request),
            Event::BodyComplete(id, number, deadline) => self.body_complete(now, &id, number, deadline),
            Event::BodyStalled(id, number) => self.body_complete(now, &id, number, now),
            Event::ResponseDue(id, number) => self.table.borrow_mut().time_out(&id, number),
            Event::ClientLeft(id, number) => self.client_left(now, &id, number),
            Event::ResponseInterrupted(server, class) => {
                self.policy.response_interrupted(now, &server, class);
            }
            Event::AttemptEnded(id, number, result) => self.attempt_ended(now, id, number, *result),
            Event::HealthCheckEnded(server, outcome, load) => {
                self.policy.health_check_ended(now, outcome, &server, load);
            }
            Event::ListReceived(list) => self.list_received(now, list),
            Event::PeerMessage(peer, message) => self.peer_message(now, peer, &message),
            Event::ListPollFailed => self.policy.discovery_poll_failed(now),
            Event::ListPollRejected => self.policy.discovery_poll_rejected(now),
            Event::SettingsChanged(changed, applied) => {
                self.policy.settings_changed(now, &changed.quotas, &changed.classes);
                let _ = applied.try_send(());
            }
            Event::ShutdownBy(at) => self.shut_down_by(now, at),
            Event::ShutdownDeadline => self.table.borrow_mut().time_out_all(),
        }
    }

    fn list_received(&mut self, now: Duration, list: Catalog) {
        let _ = self.operators.list_received.try_send(());
        let complete = list.complete;
        let entries = self.table.borrow_mut().update_servers(list);
        if complete {
            self.policy.endpoint_list_received(now, &entries);
            self.policy.restore_statistics(now, &std::mem::take(&mut self.restored.statistics));
        } else {
            self.policy.endpoint_list_changed(now, &entries);
        }
    }

    fn peer_message(&mut self, now: Duration, peer: u32, message: &[u8]) {
        let ignored_before = self.policy.ignored_messages().total();
        self.policy.peer_message_received(now, peer, message);
        let IgnoredMessages { malformed, unknown_server } = self.policy.ignored_messages();
        // Logged only when the total reaches a power of two, as a peer of another version sends such messages
        // continuously.
        if (ignored_before + 1..=malformed + unknown_server).any(u64::is_power_of_two) {
            tracing::warn!(malformed, unknown_server, peer, "messages of peers were ignored");
        }
    }

    fn shut_down_by(&mut self, now: Duration, at: Duration) {
        self.policy.shut_down_by(now, at);
        let mut table = self.table.borrow_mut();
        table.shutdown_by = at;
        table.push_at(at, Event::ShutdownDeadline).detach();
    }

    fn request_arrived(&mut self, now: Duration, request: IncomingRequest) {
        let IncomingRequest { number, arrival, outgoing, responder } = request;
        let mut table = self.table.borrow_mut();
        if table.requests.contains_key(&arrival.id) {
            // Servers could not distinguish two open requests with the same id.
            counters::request_refused(&arrival.id, RefusalReason::DuplicateId);
            let _ = responder.try_send(FinalResponse::Failed);
            return;
        }
        let open = OpenRequest {
            number,
            deadline: arrival.deadline,
            outgoing: Rc::new(outgoing),
            responder,
            finished: false,
            attempts: Vec::new(),
            due_timer: None,
        };
        table.requests.insert(arrival.id.clone(), open);
        drop(table);
        self.policy.request_arrived(now, arrival);
    }

    fn body_complete(&mut self, now: Duration, id: &Id, number: u64, deadline: Duration) {
        let mut table = self.table.borrow_mut();
        let due_timer = table.push_at(deadline, Event::ResponseDue(id.clone(), number));
        let Some(open) = table.requests.get_mut(id).filter(|open| open.number == number) else { return };
        open.deadline = deadline;
        open.due_timer = Some(due_timer);
        // Latency is measured from here: a server begins only when the last byte has arrived.
        let in_flight = open.attempts.iter_mut().filter(|attempt| !attempt.has_ended());
        in_flight.for_each(|attempt| attempt.sent_at = now);
        drop(table);
        self.policy.body_completed(now, id, deadline);
    }

    fn client_left(&mut self, now: Duration, id: &Id, number: u64) {
        let mut table = self.table.borrow_mut();
        // The final response may have been sent before this event arrived. A second client that used an open id may
        // leave before it receives its failure; its number differs, and the first client is still connected.
        let waiting = |open: &&mut OpenRequest| open.number == number && !open.finished;
        let Some(open) = table.requests.get_mut(id).filter(waiting) else { return };
        open.finished = true;
        open.outgoing.guard.close();
        table.cancel_unwritten(id);
        drop(table);
        self.policy.client_disconnected(now, id);
        self.table.borrow_mut().remove_if_finished(id);
    }

    fn attempt_ended(&mut self, now: Duration, id: Id, number: u32, result: AttemptResult) {
        let AttemptResult { outcome, load, response, consumed } = result;
        let mut table = self.table.borrow_mut();
        let Some(open) = table.requests.get_mut(&id) else {
            must_hold!(Internal, false, "an attempt of request {id} ended after the request was removed");
            return;
        };
        let Some(attempt) = open.attempts.get_mut(number as usize) else { return };
        must_hold!(OneFinalResponse, !attempt.has_ended(), "attempt {number} of {id} ended twice");
        attempt.outcome = Some(outcome);
        attempt.task = None;
        open.outgoing.guard.record_end(number, outcome);
        counters::attempt_ended(outcome);
        let (server, latency) = (attempt.server.clone(), now.saturating_sub(attempt.sent_at));
        if let Some(response) = response
            && !open.finished
        {
            table.finish(&id, FinalResponse::Response(Box::new(response)));
        }
        tracing::debug!("request {id} attempt {number} to server {server}: {outcome:?} after {latency:?}");
        let request_closed = table.requests.get(&id).is_none_or(|open| open.finished);
        drop(table);
        let ended = AttemptEnd {
            request: id.clone(),
            request_closed,
            body_consumed: consumed,
            outcome,
            attempt: number,
            latency,
            server,
            load,
        };
        self.policy.attempt_ended(now, ended);
        self.table.borrow_mut().remove_if_finished(&id);
    }
}

/// Waits for the next message of a channel, as an input; never returns if there is no channel or it is closed.
async fn next_message<T>(channel: Option<&Receiver<T>>, as_input: fn(T) -> Input) -> Input {
    match channel {
        Some(channel) => match channel.recv().await {
            Ok(message) => as_input(message),
            Err(_) => pending().await,
        },
        None => pending().await,
    }
}
