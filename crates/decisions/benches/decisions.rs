//! Benchmarks of the decision engine: the time per request by the number of servers, and the time per endpoint list.

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

/// Requests that stay in flight.
const REQUESTS_IN_FLIGHT: usize = 32;
/// Time between two requests: a rate that leads to a window of fifty servers.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(4);
const REQUESTS_PER_SWEEP: u32 = 5;

/// Request, server and start time of each attempt in flight, in the order of their starts.
type Attempts = Rc<RefCell<VecDeque<(Id, Id, Duration)>>>;

struct BenchHost {
    attempts: Attempts,
    clock: Rc<RefCell<Duration>>,
}

impl Host for BenchHost {
    fn start_attempt(&mut self, request: &Id, server: &Id, _: Duration) {
        self.attempts.borrow_mut().push_back((request.clone(), server.clone(), *self.clock.borrow()));
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

fn settings() -> Settings {
    let text = "Discovery=automatic Balancers=1 Rules.ColdShare=0.3 Rules.Cold=8000000 Rules.TipMultiple=3 \
        Rules.Fall=2000000 PolicyLimits.MayCancel=true PolicyLimits.MostRelays=3 PolicyLimits.Probes=true \
        Verbs.count=1 Verbs.0.Effect=idempotent Verbs.0.ResponseGoal=1000000 Verbs.0.TimeLimit=3000000";
    Settings::decode(text).expect("the settings of the benchmark are valid")
}

fn entry(number: usize, lifecycle: Lifecycle) -> ListedServer {
    let zone = (number % 2) as u32;
    ListedServer {
        server: format!("s{number:05}").into(),
        zone,
        cell: 0,
        lifecycle,
        nominal_capacity: 1.0,
        started_at: None,
    }
}

struct Driver {
    policy: Policy<BenchHost>,
    attempts: Attempts,
    clock: Rc<RefCell<Duration>>,
    request_count: u32,
}

impl Driver {
    fn new(servers: usize) -> Driver {
        let (attempts, clock) = (Attempts::default(), Rc::new(RefCell::new(Duration::from_secs(100))));
        let host = BenchHost { attempts: attempts.clone(), clock: clock.clone() };
        let mut policy = Policy::start(host, settings(), 1, Duration::from_secs(100));
        let entries: Vec<ListedServer> = (0..servers).map(|number| entry(number, Lifecycle::Ready)).collect();
        policy.endpoint_list_cached(Duration::from_secs(100), &entries);
        let mut driver = Driver { policy, attempts, clock, request_count: 0 };
        // Warm up: concurrency limits, rates and the window reach the state of a replica that has run for a while.
        (0..10_000).for_each(|_| driver.handle_request());
        driver
    }

    fn now(&self) -> Duration {
        *self.clock.borrow()
    }

    /// Handles the arrival of a request and, if enough are in flight, the answer to the oldest one.
    fn handle_request(&mut self) {
        self.request_count += 1;
        *self.clock.borrow_mut() += ARRIVAL_INTERVAL;
        let now = self.now();
        let id: Id = format!("c{}", self.request_count).into();
        let deadline = now + Duration::from_secs(3);
        self.policy.request_arrived(
            now,
            RequestArrival { id, class: 0, deadline, body_incomplete: false, tenant: 0, declared_work: None },
        );
        if self.attempts.borrow().len() > REQUESTS_IN_FLIGHT {
            let (request, server, started_at) =
                self.attempts.borrow_mut().pop_front().expect("an attempt is in flight");
            let load = LoadReport { queued: Some(1.0), ..LoadReport::default() };
            let (request_closed, outcome, attempt, latency) = (true, Outcome::Ok, 0, now - started_at);
            self.policy.attempt_ended(
                now,
                AttemptEnd {
                    request,
                    request_closed,
                    body_consumed: false,
                    outcome,
                    attempt,
                    latency,
                    server,
                    load,
                },
            );
        }
        if self.request_count.is_multiple_of(REQUESTS_PER_SWEEP) {
            self.policy.timer_fired(now);
        }
    }
}

fn bench_requests(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("command");
    for servers in [1, 10, 200, 1_000, 10_000] {
        let mut driver = Driver::new(servers);
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter(|| driver.handle_request());
        });
    }
}

fn bench_lists(bench: &mut Criterion) {
    let mut driver = Driver::new(10_000);
    let mut round = 0;
    let mut changes = || {
        round += 1;
        // A deployment in progress: 250 new servers are added, and the 250 of the previous round are removed.
        let added = (0..250).map(|index| entry(10_000 + (round * 250 + index), Lifecycle::Ready));
        let removed = (0..250).map(|index| entry(10_000 + ((round - 1) * 250 + index), Lifecycle::Removed));
        added.chain(removed).collect::<Vec<_>>()
    };
    bench.bench_function("change of 500 in 10,000", |bencher| {
        bencher.iter_batched(
            &mut changes,
            |entries| driver.policy.endpoint_list_changed(driver.clock.borrow().to_owned(), &entries),
            BatchSize::PerIteration,
        );
    });
    let all_servers: Vec<ListedServer> = (0..10_000).map(|number| entry(number, Lifecycle::Ready)).collect();
    bench.bench_function("whole list of 10,000", |bencher| {
        bencher.iter(|| driver.policy.endpoint_list_received(driver.clock.borrow().to_owned(), &all_servers));
    });
}

criterion_group!(benches, bench_requests, bench_lists);
criterion_main!(benches);
