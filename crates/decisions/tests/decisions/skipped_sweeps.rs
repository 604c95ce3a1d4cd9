//! Sweeps that the host skips while nothing happens: the decisions make the same calls at the same times as without
//! skipping.

use crate::scripted_host::{entry, ms, test_settings};
use landingspread_decisions::host::{
    AttemptEnd, Event, Host, Id, Lifecycle, LoadReport, Outcome, RequestArrival,
};
use landingspread_decisions::policy::Policy;
use landingspread_decisions::zones::ZoneTraffic;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

#[derive(Default)]
struct CallLog {
    now: Duration,
    lines: Vec<String>,
    /// The attempts in flight: request id, attempt number, server.
    open_attempts: Vec<(Id, u32, Id)>,
    attempt_counts: std::collections::BTreeMap<Id, u32>,
    health_checks: Vec<Id>,
}

#[derive(Clone, Default)]
struct LoggingHost(Rc<RefCell<CallLog>>);

impl LoggingHost {
    fn record(&self, call: String) {
        let mut log = self.0.borrow_mut();
        let line = format!("{:?} {call}", log.now);
        log.lines.push(line);
    }
}

impl Host for LoggingHost {
    fn start_attempt(&mut self, request: &Id, server: &Id, deadline: Duration) {
        self.record(format!("relay {request} {server} {deadline:?}"));
        let mut log = self.0.borrow_mut();
        let next = log.attempt_counts.entry(request.clone()).or_default();
        let number = *next;
        *next += 1;
        log.open_attempts.push((request.clone(), number, server.clone()));
    }

    fn reject(&mut self, request: &Id, retry_after: Option<Duration>) {
        self.record(format!("decline {request} {retry_after:?}"));
    }

    fn fail(&mut self, request: &Id) {
        self.record(format!("terminate {request}"));
    }

    fn cancel_attempt(&mut self, request: &Id, attempt: u32) {
        self.record(format!("cancel {request} {attempt}"));
    }

    fn check_health(&mut self, server: &Id) {
        self.record(format!("check {server}"));
        self.0.borrow_mut().health_checks.push(server.clone());
    }

    fn wake_after(&mut self, _: Duration) {}

    fn poll_discovery(&mut self) {
        self.record("subscribe".into());
    }

    fn close_idle_connections(&mut self, server: &Id) {
        self.record(format!("let go {server}"));
    }

    fn send_to_peers(&mut self, peer: Option<u32>, message: &[u8]) {
        self.record(format!("tell {peer:?} {message:?}"));
    }

    fn log(&mut self, event: &Event) {
        self.record(format!("note {event}"));
    }
}

const SWEEP_INTERVAL: Duration = Duration::from_millis(20);

/// A replica whose host calls each sweep, or skips the sweeps that `Policy::next_sweep` allows it to skip.
struct SweptReplica {
    host: LoggingHost,
    policy: Policy<LoggingHost>,
    skips_sweeps: bool,
    sweep_at: Duration,
    skipping_until: Option<Duration>,
    sweeps: u32,
}

impl SweptReplica {
    fn new(skips_sweeps: bool, extra: &str, seed: u64) -> SweptReplica {
        let host = LoggingHost::default();
        host.0.borrow_mut().now = ms(1000);
        let policy = Policy::start(host.clone(), test_settings("zone", extra), seed, ms(1000));
        SweptReplica {
            host,
            policy,
            skips_sweeps,
            sweep_at: ms(1000) + SWEEP_INTERVAL,
            skipping_until: None,
            sweeps: 0,
        }
    }

    fn advance_to(&mut self, until: Duration) {
        loop {
            let at = self.skipping_until.unwrap_or(self.sweep_at);
            if at > until {
                break;
            }
            if self.skipping_until.take().is_some() {
                assert_eq!(self.policy.skip_sweeps(at), at, "skipping ends at the time of a sweep");
            }
            self.host.0.borrow_mut().now = at;
            self.policy.timer_fired(at);
            self.sweeps += 1;
            self.sweep_at = at + SWEEP_INTERVAL;
            let next = self.policy.next_sweep();
            self.skipping_until = Some(next).filter(|next| self.skips_sweeps && *next > self.sweep_at);
        }
        self.host.0.borrow_mut().now = until;
    }

    /// Advances to this time and applies an event.
    fn handle(&mut self, at: Duration, apply: impl FnOnce(&mut Policy<LoggingHost>, &LoggingHost)) {
        self.advance_to(at);
        if let Some(until) = self.skipping_until.take() {
            self.sweep_at = self.policy.skip_sweeps(at.min(until));
        }
        apply(&mut self.policy, &self.host);
    }
}

const OUTCOMES: [Outcome; 6] =
    [Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::Timeout, Outcome::ConnectFailed, Outcome::NotSent];

/// Applies one random event: `random_bits` selects the action, the request or server, and the variant.
fn apply_random_event(
    policy: &mut Policy<LoggingHost>,
    host: &LoggingHost,
    now: Duration,
    number: usize,
    random_bits: u64,
) {
    let (selector, variant) = ((random_bits >> 8) as usize, (random_bits >> 40) as usize);
    match random_bits % 10 {
        0..=2 => {
            let id: Id = format!("c{number:05}").into();
            let arrival = RequestArrival {
                id,
                class: selector % 4,
                deadline: now + ms(1500),
                body_incomplete: false,
                tenant: 0,
                declared_work: None,
            };
            policy.request_arrived(now, arrival);
        }
        3..=6 => {
            let attempt_in_flight = {
                let mut log = host.0.borrow_mut();
                let count = log.open_attempts.len();
                (count > 0).then(|| log.open_attempts.remove(selector % count))
            };
            let Some((request, attempt, server)) = attempt_in_flight else { return };
            let (outcome, latency) = (OUTCOMES[variant % OUTCOMES.len()], ms(5 + variant as u64 % 40));
            let attempt_end = AttemptEnd {
                request,
                request_closed: outcome == Outcome::Ok,
                body_consumed: false,
                outcome,
                attempt,
                latency,
                server,
                load: LoadReport::default(),
            };
            policy.attempt_ended(now, attempt_end);
        }
        7 => {
            let health_checks = std::mem::take(&mut host.0.borrow_mut().health_checks);
            for server in health_checks {
                policy.health_check_ended(
                    now,
                    OUTCOMES[variant % OUTCOMES.len()],
                    &server,
                    LoadReport::default(),
                );
            }
        }
        8 => {
            let state =
                [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Removed, Lifecycle::Ready][variant % 4];
            policy.endpoint_list_changed(now, &[entry(&format!("s{}", selector % 8), state)]);
        }
        _ => {
            let traffic_fraction = [1.0, 0.0, 0.5][variant % 3];
            policy.zone_traffic_changed(
                now,
                &[ZoneTraffic { zone: 1, fraction: traffic_fraction, trial: Some(variant as u64 % 4) }],
            );
        }
    }
}

/// The next number of a pseudorandom sequence that depends on nothing but the seed (SplitMix64 of Steele, Lea and Flood).
fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

#[test]
fn skipped_sweeps_change_no_call_and_no_time() {
    for seed in 1..=60 {
        let extra = if seed % 2 == 0 { "Balancers=3 PolicyLimits.Peers=true" } else { "" };
        let mut replicas = [SweptReplica::new(false, extra, seed), SweptReplica::new(true, extra, seed)];
        let entries: Vec<_> = (0..6).map(|at| entry(&format!("s{at}"), Lifecycle::Ready)).collect();
        replicas.iter_mut().for_each(|replica| replica.policy.endpoint_list_cached(ms(1000), &entries));
        let (mut state, mut now) = (seed, ms(1000));
        for number in 0..400 {
            let long_pause = next_random(&mut state).is_multiple_of(12);
            now +=
                Duration::from_micros(next_random(&mut state) % if long_pause { 9_000_000 } else { 30_000 });
            let random_bits = next_random(&mut state);
            for replica in &mut replicas {
                replica
                    .handle(now, |policy, host| apply_random_event(policy, host, now, number, random_bits));
            }
            let [swept, skipping] = &replicas;
            assert_eq!(
                swept.host.0.borrow().lines,
                skipping.host.0.borrow().lines,
                "seed {seed}, step {number}"
            );
        }
        replicas.iter_mut().for_each(|replica| replica.advance_to(now + ms(30_000)));
        let [swept, skipping] = &replicas;
        assert_eq!(swept.host.0.borrow().lines, skipping.host.0.borrow().lines, "seed {seed}, at the end");
        assert!(swept.host.0.borrow().lines.len() > 100 && skipping.sweeps < swept.sweeps, "seed {seed}");
    }
}

#[test]
fn idle_replica_is_swept_twice_per_second() {
    let mut replica = SweptReplica::new(true, "", 1);
    let entries: Vec<_> = (0..6).map(|at| entry(&format!("s{at}"), Lifecycle::Ready)).collect();
    replica.policy.endpoint_list_cached(ms(1000), &entries);
    replica.advance_to(ms(11_000));
    assert!((20..=22).contains(&replica.sweeps), "{} sweeps in 10 s", replica.sweeps);
}
