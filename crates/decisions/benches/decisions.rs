//! What a command costs the decisions, by the number of servers, and what a list costs.

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use landingspread_decisions::host::{
    AttemptEnd, Event, Host, Id, Lifecycle, ListedServer, LoadReport, Outcome, RequestArrival,
};
use landingspread_decisions::policy::Policy;
use landingspread_decisions::settings::Settings;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

const OUT: usize = 32;
/// As many commands a second as ask for a window of fifty servers.
const GAP: Duration = Duration::from_millis(4);
const SWEEP: u32 = 5;

type Relays = Rc<RefCell<VecDeque<(Id, Id, Duration)>>>;

struct Hand {
    relays: Relays,
    now: Rc<RefCell<Duration>>,
}

impl Host for Hand {
    fn start_attempt(&mut self, cmd: &Id, server: &Id, _: Duration) {
        self.relays.borrow_mut().push_back((cmd.clone(), server.clone(), *self.now.borrow()));
    }

    fn reject(&mut self, _: &Id, _: Option<Duration>) {}

    fn fail(&mut self, _: &Id) {}

    fn cancel_attempt(&mut self, _: &Id, _: u32) {}

    fn check_health(&mut self, _: &Id) {}

    fn wake_after(&mut self, _: Duration) {}

    fn poll_discovery(&mut self) {}

    fn close_idle_connections(&mut self, _: &Id) {}

    fn send_to_peers(&mut self, _: Option<u32>, _: &[u8]) {}

    fn log(&mut self, _: &Event) {}
}

fn terms() -> Settings {
    let text = "Discovery=automatic Balancers=1 Rules.ColdShare=0.3 Rules.Cold=8000000 Rules.TipMultiple=3 \
        Rules.Fall=2000000 PolicyLimits.MayCancel=true PolicyLimits.MostRelays=3 PolicyLimits.Probes=true \
        Verbs.count=1 Verbs.0.Effect=idempotent Verbs.0.ResponseGoal=1000000 Verbs.0.TimeLimit=3000000";
    Settings::decode(text).expect("the bench's settings can be read")
}

fn entry(number: usize, state: Lifecycle) -> ListedServer {
    let zone = (number % 2) as u32;
    ListedServer {
        server: format!("s{number:05}").into(),
        zone,
        cell: 0,
        lifecycle: state,
        nominal_capacity: 1.0,
        started_at: None,
    }
}

struct Scene {
    policy: Policy<Hand>,
    relays: Relays,
    clock: Rc<RefCell<Duration>>,
    given: u32,
}

impl Scene {
    fn new(servers: usize) -> Scene {
        let (relays, clock) = (Relays::default(), Rc::new(RefCell::new(Duration::from_secs(100))));
        let hand = Hand { relays: relays.clone(), now: clock.clone() };
        let mut policy = Policy::start(hand, terms(), 1, Duration::from_secs(100));
        let entries: Vec<ListedServer> = (0..servers).map(|number| entry(number, Lifecycle::Ready)).collect();
        policy.endpoint_list_cached(Duration::from_secs(100), &entries);
        let mut scene = Scene { policy, relays, clock, given: 0 };
        // Warm: bounds, paces and the window are what they are in a copy that has run for a while.
        (0..10_000).for_each(|_| scene.command());
        scene
    }

    fn now(&self) -> Duration {
        *self.clock.borrow()
    }

    /// One command comes, and the oldest that is out is answered.
    fn command(&mut self) {
        self.given += 1;
        *self.clock.borrow_mut() += GAP;
        let now = self.now();
        let id: Id = format!("c{}", self.given).into();
        let due = now + Duration::from_secs(3);
        self.policy.request_arrived(
            now,
            RequestArrival {
                id,
                class: 0,
                deadline: due,
                body_incomplete: false,
                tenant: 0,
                declared_work: None,
            },
        );
        if self.relays.borrow().len() > OUT {
            let (cmd, server, sent) = self.relays.borrow_mut().pop_front().expect("one is out");
            let load = LoadReport { queued: Some(1.0), ..LoadReport::default() };
            let (closed, outcome, relay, latency) = (true, Outcome::Ok, 0, now - sent);
            self.policy.attempt_ended(
                now,
                AttemptEnd {
                    request: cmd,
                    request_closed: closed,
                    body_consumed: false,
                    outcome,
                    attempt: relay,
                    latency,
                    server,
                    load,
                },
            );
        }
        if self.given.is_multiple_of(SWEEP) {
            self.policy.timer_fired(now);
        }
    }
}

fn commands(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("command");
    for servers in [1, 10, 200, 1_000, 10_000] {
        let mut scene = Scene::new(servers);
        group
            .bench_function(BenchmarkId::from_parameter(servers), |bencher| bencher.iter(|| scene.command()));
    }
}

fn lists(bench: &mut Criterion) {
    let mut scene = Scene::new(10_000);
    let mut turn = 0;
    let mut changes = || {
        turn += 1;
        // A fleet in motion: 250 new ones come, and the 250 that came last time go.
        let new = (0..250).map(|at| entry(10_000 + (turn * 250 + at), Lifecycle::Ready));
        let old = (0..250).map(|at| entry(10_000 + ((turn - 1) * 250 + at), Lifecycle::Removed));
        new.chain(old).collect::<Vec<_>>()
    };
    bench.bench_function("change of 500 in 10,000", |bencher| {
        bencher.iter_batched(
            &mut changes,
            |entries| scene.policy.endpoint_list_changed(scene.clock.borrow().to_owned(), &entries),
            BatchSize::PerIteration,
        );
    });
    let whole: Vec<ListedServer> = (0..10_000).map(|number| entry(number, Lifecycle::Ready)).collect();
    bench.bench_function("whole list of 10,000", |bencher| {
        bencher.iter(|| scene.policy.endpoint_list_received(scene.clock.borrow().to_owned(), &whole));
    });
}

criterion_group!(benches, commands, lists);
criterion_main!(benches);
