//! Seeded runs round a logging host: arrivals, answers of all outcomes, changes of the list, operators' and peers' words.

use crate::logged_host::{Draws, Due, Played, World, number_of};
use crate::scripted_host::{ms, terms};
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

struct Run {
    world: Rc<RefCell<World>>,
    policy: Policy<Played>,
    servers: u32,
    rate: u64,
    sweep_at: Duration,
    rests: bool,
    trial: u64,
    given: u64,
}

impl Run {
    fn draw(&self, bound: u64) -> u64 {
        self.world.borrow_mut().draws.below(bound)
    }

    fn entry(&self, number: u32) -> ListedServer {
        let state =
            [Lifecycle::Ready, Lifecycle::Ready, Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Removed];
        let now = self.world.borrow().now;
        let up_since = (self.draw(4) == 0).then(|| now.saturating_sub(ms(self.draw(20_000))));
        ListedServer {
            server: format!("s{number}").into(),
            zone: number % 2,
            cell: number % 4,
            lifecycle: state[self.draw(5) as usize],
            nominal_capacity: [1.0, 1.0, 0.0, 2.5][(number % 4) as usize],
            started_at: up_since,
        }
    }

    fn whole_list(&self) -> Vec<ListedServer> {
        (0..self.servers)
            .filter(|number| number % 7 != 6 || self.draw(2) == 0)
            .map(|number| ListedServer { lifecycle: Lifecycle::Ready, ..self.entry(number) })
            .collect()
    }

    fn arrives(&mut self, now: Duration) {
        self.given += 1;
        let id: Id = format!("c{:05}", self.given).into();
        let (coming, verb) = (self.draw(100) < 4, self.draw(41) as usize % 4);
        let due = now + ms(if coming { 900_000 } else { 200 + self.draw(2800) });
        let cost = (self.draw(3) == 0).then(|| Duration::from_micros(1000 + self.draw(20_000)));
        let tenant = self.draw(3) as usize;
        // One in forty is of a verb that no setting tells of.
        let verb = if self.draw(100) == 0 { 9 } else { verb };
        {
            let mut world = self.world.borrow_mut();
            world.verbs.insert(id.clone(), verb);
            let span = ms(20 + world.draws.below(300));
            if coming {
                world.later(span, Due::Body(id.clone()));
            }
            if world.draws.of_100(3) {
                world.later(span / 2, Due::Left(id.clone()));
            }
        }
        self.policy.request_arrived(
            now,
            RequestArrival {
                id,
                class: verb,
                deadline: due,
                body_incomplete: coming,
                tenant,
                declared_work: cost,
            },
        );
    }

    fn comes(&mut self, now: Duration, due: Due) {
        match due {
            Due::Answer { cmd, number, server, sent, outcome } => {
                let (closed, spent, load) = {
                    let mut world = self.world.borrow_mut();
                    if outcome == Outcome::Ok {
                        world.finished.insert(cmd.clone());
                        if world.draws.of_100(2) {
                            let verb = world.verbs[&cmd];
                            world.later(ms(5), Due::Broke(server.clone(), verb));
                        }
                    }
                    let load = if outcome == Outcome::Ok { world.load() } else { LoadReport::default() };
                    (world.finished.contains(&cmd), world.draws.of_100(1), load)
                };
                let latency = now - sent;
                let ended = AttemptEnd {
                    request: cmd,
                    request_closed: closed,
                    body_consumed: spent,
                    outcome,
                    attempt: number,
                    latency,
                    server,
                    load,
                };
                self.policy.attempt_ended(now, ended);
            }
            Due::Began(cmd) => self.policy.response_started(now, &cmd),
            Due::Broke(server, verb) => self.policy.response_interrupted(now, &server, verb),
            Due::Body(cmd) => self.policy.body_completed(now, &cmd, now + ms(1500)),
            Due::Left(cmd) => {
                if self.world.borrow_mut().finished.insert(cmd.clone()) {
                    self.policy.client_disconnected(now, &cmd);
                }
            }
            Due::Checked(server) => {
                let number = number_of(&server);
                let (outcome, load) = {
                    let mut world = self.world.borrow_mut();
                    let load = world.load();
                    let absent = number == 6 && (11..14).contains(&world.second());
                    match world.draws.below(20) {
                        _ if absent => (Outcome::ConnectFailed, load),
                        0 => (Outcome::Timeout, load),
                        1 => (Outcome::Error, load),
                        _ => (Outcome::Ok, load),
                    }
                };
                self.policy.health_check_ended(now, outcome, &server, load);
            }
            Due::ListAnswer => match self.draw(4) {
                0 => self.policy.discovery_poll_failed(now),
                1 => self.policy.discovery_poll_rejected(now),
                _ => self.policy.endpoint_list_received(now, &self.whole_list()),
            },
        }
    }

    /// What others than callers and servers say.
    fn happens(&mut self, now: Duration) {
        let number = self.draw(u64::from(self.servers)) as u32;
        let server: Id = format!("s{number}").into();
        match self.draw(18) {
            0..=2 => self.policy.endpoint_list_changed(now, &[self.entry(number)]),
            3 => self.policy.endpoint_list_cached(now, &self.whole_list()),
            4 => {
                let known = self.policy.exclude_server(now, &server);
                self.world.borrow_mut().say(format_args!("left out {known}"));
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
                self.trial += self.draw(2);
                let share = [1.0, 0.0, 0.4, f64::NAN][self.draw(4) as usize];
                let trial = (self.draw(3) > 0).then_some(self.trial);
                let zones = [
                    ZoneTraffic { zone: 0, fraction: 1.0, trial: None },
                    ZoneTraffic { zone: 1, fraction: share, trial },
                ];
                self.policy.zone_traffic_changed(now, &zones);
            }
            9 => {
                let count = [1.0, 2.0, 7.5, 100.0, f64::NAN][self.draw(5) as usize];
                let place = (self.draw(2) == 0).then_some(number);
                let traffic = (self.draw(2) == 0).then_some(20.0);
                let may_live = count + self.draw(3) as f64;
                self.policy.replicas_changed(
                    now,
                    &ReplicaView { count, max_alive: may_live, ordinal: place, mean_request_rate: traffic },
                );
            }
            10..=12 => {
                let mut words = Outbox::default();
                words.idle_connection_broke(ms(300 + self.draw(2000)));
                words.class_outcome(self.draw(1 << 24) as u32, self.draw(3) as usize, self.draw(2) == 0);
                let mut words = words.take().expect("there are words");
                words.extend(peer_messages::request_rate_message(self.draw(90) as f64));
                words.truncate(words.len() - self.draw(2) as usize);
                self.policy.peer_message_received(now, number, &words);
            }
            13 => {
                let learnt = self.policy.server_statistics();
                self.policy.restore_statistics(now, &learnt);
                let mut world = self.world.borrow_mut();
                for one in &learnt {
                    let since = one.started_at.map_or("-".into(), |at| at.as_nanos().to_string());
                    world.say(format_args!("learnt {} {since} {} {}", one.server, one.slowness, one.ejected));
                }
            }
            14 => {
                let mut verbs = settings(SETTINGS[0].1).classes;
                verbs[0].latency_objective = ms(500 + self.draw(800));
                verbs[1].value = 0.5;
                self.policy.settings_changed(now, &[3.0, 50.0], &verbs);
            }
            15 => self.policy.discovery_poll_failed(now),
            16 => self.policy.discovery_poll_rejected(now),
            _ => self.sees(now),
        }
    }

    fn sees(&mut self, now: Duration) {
        let (seen, unheard) = (self.policy.zone_observations(now), self.policy.ignored_messages());
        let (asked, named) = (self.policy.request_rate(), self.policy.known_servers().count());
        let mut world = self.world.borrow_mut();
        let span = |span: Option<Duration>| span.map_or("-".into(), |span| span.as_nanos().to_string());
        for zone in seen {
            let (answered, silent) = (span(zone.answered_ago), span(zone.unanswered_ago));
            world.say(format_args!("zone {} {} {answered} {silent} {}", zone.zone, zone.ready, zone.slow));
        }
        world.say(format_args!(
            "asked {asked} named {named} {} {}",
            unheard.malformed, unheard.unknown_server
        ));
    }

    fn sweeps(&mut self, now: Duration) {
        if std::mem::take(&mut self.rests) {
            self.policy.skip_sweeps(now);
        }
        self.policy.timer_fired(now);
        let next = self.policy.next_sweep();
        self.world.borrow_mut().say(format_args!("next {}", next.as_nanos()));
        // Now and then this copy is late itself.
        let late = if self.draw(200) == 0 { ms(self.draw(90)) } else { Duration::ZERO };
        let span = next - now;
        (self.sweep_at, self.rests) = (next + late, span > ms(50));
    }

    /// Before anything but a sweep.
    fn wakes(&mut self, now: Duration) {
        if std::mem::take(&mut self.rests) {
            self.sweep_at = self.policy.skip_sweeps(now.min(self.sweep_at));
        }
    }

    fn plays(&mut self, until: Duration) {
        let from = self.world.borrow().now;
        let (mut arrival, mut happening) = (from + ms(5), from + ms(500));
        loop {
            let due = self.world.borrow().due.first_key_value().map_or(Duration::MAX, |((at, _), _)| *at);
            let now = due.min(arrival).min(happening).min(self.sweep_at);
            if now > until {
                break;
            }
            self.world.borrow_mut().now = now;
            if now == self.sweep_at {
                self.sweeps(now);
                continue;
            }
            self.wakes(now);
            if now == due {
                let (_, due) = self.world.borrow_mut().due.pop_first().expect("it is the first");
                self.comes(now, due);
            } else if now == arrival {
                self.arrives(now);
                let second = self.world.borrow().second();
                let calls = if (16..19).contains(&second) { 5 * self.rate } else { self.rate };
                let calls = if (21..25).contains(&second) { 2 } else { calls };
                arrival += Duration::from_micros(1 + self.draw(2_000_000 / calls));
            } else {
                self.happens(now);
                happening += ms(1 + self.draw(500));
            }
        }
    }
}

fn settings(extra: &str) -> Settings {
    let scope = extra.split_whitespace().next().expect("the group comes first");
    terms(scope, &extra[scope.len()..])
}

/// Name, group and settings, servers, commands a second.
pub const SETTINGS: [(&str, &str, u32, u64); 11] = [
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

/// A minute of virtual time.
pub fn play(extra: &str, servers: u32, rate: u64, seed: u64) -> String {
    let world = Rc::new(RefCell::new(World {
        now: ms(1000),
        text: String::new(),
        draws: Draws(seed),
        due: BTreeMap::new(),
        count: 0,
        verbs: BTreeMap::new(),
        finished: BTreeSet::new(),
        relays: BTreeMap::new(),
        last_sent: BTreeMap::new(),
    }));
    let policy = Policy::start(Played(world.clone()), settings(extra), seed, ms(1000));
    let (sweep_at, rests) = (ms(1020), false);
    let mut run = Run { world, policy, servers, rate, sweep_at, rests, trial: 0, given: 0 };
    run.policy.restore_known_server(&"s999".into());
    run.policy.endpoint_list_cached(ms(1000), &run.whole_list());
    run.plays(ms(60_000));
    run.policy.shut_down_by(ms(60_000), ms(60_500));
    run.plays(ms(61_000));
    run.sees(ms(61_000));
    std::mem::take(&mut run.world.borrow_mut().text)
}
