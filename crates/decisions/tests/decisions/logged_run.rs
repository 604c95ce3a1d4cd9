//! Seeded runs with a logging host: requests, attempts with all outcomes, endpoint list changes, operators' commands and
//! messages from peers.

use crate::logged_host::{LoggingHost, PendingEvent, RandomSequence, SimulatedNetwork, server_number};
use crate::scripted_host::{ms, test_settings};
use landingspread_decisions::host::{
    AttemptEnd, Id, Lifecycle, ListedServer, LoadReport, Outcome, ReplicaView, RequestArrival,
};
use landingspread_decisions::peer_messages::{self, Outbox};
use landingspread_decisions::policy::Policy;
use landingspread_decisions::settings::Settings;
use landingspread_decisions::zones::ZoneTraffic;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

struct SeededRun {
    network: Rc<RefCell<SimulatedNetwork>>,
    policy: Policy<LoggingHost>,
    servers: u32,
    rate: u64,
    sweep_at: Duration,
    skips_sweeps: bool,
    trial: u64,
    request_count: u64,
}

impl SeededRun {
    fn random_below(&self, bound: u64) -> u64 {
        self.network.borrow_mut().random.below(bound)
    }

    fn entry(&self, number: u32) -> ListedServer {
        let lifecycles =
            [Lifecycle::Ready, Lifecycle::Ready, Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Removed];
        let now = self.network.borrow().now;
        let start_time =
            (self.random_below(4) == 0).then(|| now.saturating_sub(ms(self.random_below(20_000))));
        ListedServer {
            server: format!("s{number}").into(),
            zone: number % 2,
            cell: number % 4,
            lifecycle: lifecycles[self.random_below(5) as usize],
            nominal_capacity: [1.0, 1.0, 0.0, 2.5][(number % 4) as usize],
            started_at: start_time,
        }
    }

    fn complete_list(&self) -> Vec<ListedServer> {
        (0..self.servers)
            .filter(|number| number % 7 != 6 || self.random_below(2) == 0)
            .map(|number| ListedServer { lifecycle: Lifecycle::Ready, ..self.entry(number) })
            .collect()
    }

    fn submit_request(&mut self, now: Duration) {
        self.request_count += 1;
        let id: Id = format!("c{:05}", self.request_count).into();
        let (incomplete, class) = (self.random_below(100) < 4, self.random_below(41) as usize % 4);
        let deadline = now + ms(if incomplete { 900_000 } else { 200 + self.random_below(2800) });
        let work =
            (self.random_below(3) == 0).then(|| Duration::from_micros(1000 + self.random_below(20_000)));
        let tenant = self.random_below(3) as usize;
        // One request in a hundred has a class that the settings do not have.
        let class = if self.random_below(100) == 0 { 9 } else { class };
        {
            let mut network = self.network.borrow_mut();
            network.classes.insert(id.clone(), class);
            let delay = ms(20 + network.random.below(300));
            if incomplete {
                network.schedule(delay, PendingEvent::BodyCompleted(id.clone()));
            }
            if network.random.chance_percent(3) {
                network.schedule(delay / 2, PendingEvent::ClientDisconnected(id.clone()));
            }
        }
        self.policy.request_arrived(
            now,
            RequestArrival { id, class, deadline, body_incomplete: incomplete, tenant, declared_work: work },
        );
    }

    fn deliver(&mut self, now: Duration, event: PendingEvent) {
        match event {
            PendingEvent::AttemptEnded { request, number, server, sent_at, outcome } => {
                let (closed, consumed, load) = {
                    let mut network = self.network.borrow_mut();
                    if outcome == Outcome::Ok {
                        network.finished.insert(request.clone());
                        if network.random.chance_percent(2) {
                            let class = network.classes[&request];
                            network.schedule(ms(5), PendingEvent::ResponseInterrupted(server.clone(), class));
                        }
                    }
                    let load =
                        if outcome == Outcome::Ok { network.load_report() } else { LoadReport::default() };
                    (network.finished.contains(&request), network.random.chance_percent(1), load)
                };
                let latency = now - sent_at;
                let attempt_end = AttemptEnd {
                    request,
                    request_closed: closed,
                    body_consumed: consumed,
                    outcome,
                    attempt: number,
                    latency,
                    server,
                    load,
                };
                self.policy.attempt_ended(now, attempt_end);
            }
            PendingEvent::ResponseStarted(request) => self.policy.response_started(now, &request),
            PendingEvent::ResponseInterrupted(server, class) => {
                self.policy.response_interrupted(now, &server, class);
            }
            PendingEvent::BodyCompleted(request) => self.policy.body_completed(now, &request, now + ms(1500)),
            PendingEvent::ClientDisconnected(request) => {
                if self.network.borrow_mut().finished.insert(request.clone()) {
                    self.policy.client_disconnected(now, &request);
                }
            }
            PendingEvent::HealthCheckEnded(server) => {
                let number = server_number(&server);
                let (outcome, load) = {
                    let mut network = self.network.borrow_mut();
                    let load = network.load_report();
                    let absent = number == 6 && (11..14).contains(&network.second_in_cycle());
                    match network.random.below(20) {
                        _ if absent => (Outcome::ConnectFailed, load),
                        0 => (Outcome::Timeout, load),
                        1 => (Outcome::Error, load),
                        _ => (Outcome::Ok, load),
                    }
                };
                self.policy.health_check_ended(now, outcome, &server, load);
            }
            PendingEvent::DiscoveryPollEnded => match self.random_below(4) {
                0 => self.policy.discovery_poll_failed(now),
                1 => self.policy.discovery_poll_rejected(now),
                _ => self.policy.endpoint_list_received(now, &self.complete_list()),
            },
        }
    }

    /// Applies a random event that comes neither from clients nor from servers.
    fn apply_external_event(&mut self, now: Duration) {
        let number = self.random_below(u64::from(self.servers)) as u32;
        let server: Id = format!("s{number}").into();
        match self.random_below(18) {
            0..=2 => self.policy.endpoint_list_changed(now, &[self.entry(number)]),
            3 => self.policy.endpoint_list_cached(now, &self.complete_list()),
            4 => {
                let known = self.policy.exclude_server(now, &server);
                self.network.borrow_mut().log_line(format_args!("left out {known}"));
            }
            5..=6 => {
                for number in 0..self.servers {
                    self.policy.include_server(
                        now,
                        &format!("s{number}").into(),
                        now.saturating_sub(ms(100)),
                    );
                }
            }
            7..=8 => {
                self.trial += self.random_below(2);
                let traffic_fraction = [1.0, 0.0, 0.4, f64::NAN][self.random_below(4) as usize];
                let trial = (self.random_below(3) > 0).then_some(self.trial);
                let zones = [
                    ZoneTraffic { zone: 0, fraction: 1.0, trial: None },
                    ZoneTraffic { zone: 1, fraction: traffic_fraction, trial },
                ];
                self.policy.zone_traffic_changed(now, &zones);
            }
            9 => {
                let count = [1.0, 2.0, 7.5, 100.0, f64::NAN][self.random_below(5) as usize];
                let replica_ordinal = (self.random_below(2) == 0).then_some(number);
                let reported_rate = (self.random_below(2) == 0).then_some(20.0);
                let alive_limit = count + self.random_below(3) as f64;
                self.policy.replicas_changed(
                    now,
                    &ReplicaView {
                        count,
                        max_alive: alive_limit,
                        ordinal: replica_ordinal,
                        mean_request_rate: reported_rate,
                    },
                );
            }
            10..=12 => {
                let mut message = Outbox::default();
                message.idle_connection_broke(ms(300 + self.random_below(2000)));
                message.class_outcome(
                    self.random_below(1 << 24) as u32,
                    self.random_below(3) as usize,
                    self.random_below(2) == 0,
                );
                let mut message = message.take().expect("the outbox has events");
                message.extend(peer_messages::request_rate_message(self.random_below(90) as f64));
                message.truncate(message.len() - self.random_below(2) as usize);
                self.policy.peer_message_received(now, number, &message);
            }
            13 => {
                let statistics = self.policy.server_statistics();
                self.policy.restore_statistics(now, &statistics);
                let mut network = self.network.borrow_mut();
                for known in &statistics {
                    let since = known.started_at.map_or("-".into(), |at| at.as_nanos().to_string());
                    network.log_line(format_args!(
                        "learnt {} {since} {} {}",
                        known.server, known.slowness, known.ejected
                    ));
                }
            }
            14 => {
                let mut classes = run_settings(RUNS[0].1).classes;
                classes[0].latency_objective = ms(500 + self.random_below(800));
                classes[1].value = 0.5;
                self.policy.settings_changed(now, &[3.0, 50.0], &classes);
            }
            15 => self.policy.discovery_poll_failed(now),
            16 => self.policy.discovery_poll_rejected(now),
            _ => self.log_observations(now),
        }
    }

    fn log_observations(&mut self, now: Duration) {
        let (observations, ignored) = (self.policy.zone_observations(now), self.policy.ignored_messages());
        let (request_rate, known_servers) = (self.policy.request_rate(), self.policy.known_servers().count());
        let mut network = self.network.borrow_mut();
        let nanos = |duration: Option<Duration>| {
            duration.map_or("-".into(), |duration| duration.as_nanos().to_string())
        };
        for zone in observations {
            let (answered, silent) = (nanos(zone.answered_ago), nanos(zone.unanswered_ago));
            network.log_line(format_args!(
                "zone {} {} {answered} {silent} {}",
                zone.zone, zone.ready, zone.slow
            ));
        }
        network.log_line(format_args!(
            "asked {request_rate} named {known_servers} {} {}",
            ignored.malformed, ignored.unknown_server
        ));
    }

    fn run_sweep(&mut self, now: Duration) {
        if std::mem::take(&mut self.skips_sweeps) {
            self.policy.skip_sweeps(now);
        }
        self.policy.timer_fired(now);
        let next = self.policy.next_sweep();
        self.network.borrow_mut().log_line(format_args!("next {}", next.as_nanos()));
        // One sweep in 200 is late, as if this replica had been delayed.
        let delay = if self.random_below(200) == 0 { ms(self.random_below(90)) } else { Duration::ZERO };
        let duration = next - now;
        (self.sweep_at, self.skips_sweeps) = (next + delay, duration > ms(50));
    }

    /// Ends the skipping of sweeps; called before each event that is not a sweep.
    fn resume_sweeps(&mut self, now: Duration) {
        if std::mem::take(&mut self.skips_sweeps) {
            self.sweep_at = self.policy.skip_sweeps(now.min(self.sweep_at));
        }
    }

    fn run_until(&mut self, until: Duration) {
        let from = self.network.borrow().now;
        let (mut arrival, mut external_event) = (from + ms(5), from + ms(500));
        loop {
            let next_pending =
                self.network.borrow().pending.first_key_value().map_or(Duration::MAX, |((at, _), _)| *at);
            let now = next_pending.min(arrival).min(external_event).min(self.sweep_at);
            if now > until {
                break;
            }
            self.network.borrow_mut().now = now;
            if now == self.sweep_at {
                self.run_sweep(now);
                continue;
            }
            self.resume_sweeps(now);
            if now == next_pending {
                let (_, event) = self.network.borrow_mut().pending.pop_first().expect("an event is pending");
                self.deliver(now, event);
            } else if now == arrival {
                self.submit_request(now);
                let second = self.network.borrow().second_in_cycle();
                let rate = if (16..19).contains(&second) { 5 * self.rate } else { self.rate };
                let rate = if (21..25).contains(&second) { 2 } else { rate };
                arrival += Duration::from_micros(1 + self.random_below(2_000_000 / rate));
            } else {
                self.apply_external_event(now);
                external_event += ms(1 + self.random_below(500));
            }
        }
    }
}

/// The settings of a run: the scope of deduplication, followed by further settings.
fn run_settings(extra: &str) -> Settings {
    let scope = extra.split_whitespace().next().expect("the settings start with the scope");
    test_settings(scope, &extra[scope.len()..])
}

/// The runs: name in the fixture, scope and settings, number of servers, requests per second.
pub const RUNS: [(&str, &str, u32, u64); 11] = [
    ("plain", "zone", 8, 60),
    (
        "trials",
        "cell PolicyLimits.Probes=false PolicyLimits.MayCancel=false PolicyLimits.MostRelays=3",
        8,
        60,
    ),
    (
        "parallel",
        "all PolicyLimits.ParallelTries=true Tenants.count=2 Tenants.0.QuotaRps=4 Tenants.1.QuotaRps=30 \
         BeyondShareUtility=0.2 Goal.WorstClass=0.5",
        6,
        80,
    ),
    (
        "peers",
        "zone Discovery=subscribe PolicyLimits.Peers=true Balancers=60 Ordinal=7 MyZone=1 Costs.Peer=0.01 \
         Costs.CrossZone=0.01",
        24,
        40,
    ),
    (
        "looks",
        "all Report.How=probe Report.Fields=active,waiting Costs.Probe=0.002 PolicyLimits.ConnIdle=1500000 \
         PolicyLimits.Peers=true Costs.Peer=0.01 Balancers=200 Costs.Connection=0.1",
        12,
        40,
    ),
    (
        "looks-alone",
        "cell Report.How=probe Report.Fields=active Costs.Probe=0.004 Balancers=3 PolicyLimits.ParallelTries=true",
        6,
        40,
    ),
    (
        "work",
        "zone UtilityBasis=work Verbs.0.OverdueUtility=0.3 Verbs.0.ResponseGoal=200000 Verbs.1.Utility=9 \
         PolicyLimits.Peers=true Balancers=4 Costs.Connection=0.1 Goal.WorstClass=1",
        10,
        90,
    ),
    (
        "tier",
        "all Tier=1 Resolution=50000 PolicyLimits.RetryAfter=false Discovery=subscribe Ordinal=3",
        5,
        60,
    ),
    (
        "large",
        "cell Balancers=20 Ordinal=11 Costs.CrossZone=0.02 MyZone=1 PolicyLimits.ParallelTries=true",
        40,
        120,
    ),
    (
        "crowded",
        "zone Balancers=1 Verbs.0.ResponseGoal=90000 Verbs.1.ResponseGoal=150000 Verbs.2.ResponseGoal=400000 \
         Verbs.3.ResponseGoal=60000",
        3,
        250,
    ),
    (
        "refused",
        "all Discovery=subscribe Balancers=150 Ordinal=9 Costs.Peer=0.02 PolicyLimits.Peers=true \
         Verbs.0.ResponseGoal=100000 Verbs.1.ResponseGoal=60000",
        6,
        20,
    ),
];

/// Runs the decisions for a minute of virtual time, and returns the log of their calls.
pub fn run_for_a_minute(extra: &str, servers: u32, rate: u64, seed: u64) -> String {
    let network = Rc::new(RefCell::new(SimulatedNetwork {
        now: ms(1000),
        log: String::new(),
        random: RandomSequence(seed),
        pending: BTreeMap::new(),
        event_count: 0,
        classes: BTreeMap::new(),
        finished: BTreeSet::new(),
        attempts: BTreeMap::new(),
        last_sent: BTreeMap::new(),
    }));
    let policy = Policy::start(LoggingHost(network.clone()), run_settings(extra), seed, ms(1000));
    let (sweep_at, skips_sweeps) = (ms(1020), false);
    let mut run =
        SeededRun { network, policy, servers, rate, sweep_at, skips_sweeps, trial: 0, request_count: 0 };
    run.policy.restore_known_server(&"s999".into());
    run.policy.endpoint_list_cached(ms(1000), &run.complete_list());
    run.run_until(ms(60_000));
    run.policy.shut_down_by(ms(60_000), ms(60_500));
    run.run_until(ms(61_000));
    run.log_observations(ms(61_000));
    std::mem::take(&mut run.network.borrow_mut().log)
}
