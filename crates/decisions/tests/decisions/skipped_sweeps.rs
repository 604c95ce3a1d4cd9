//! Sweeps that are left out at rest: whoever leaves them out hears the same calls, at the same times.

use crate::scripted_host::{entry, ms, terms};
use landingspread_decisions::host::{
    AttemptEnd, Event, Host, Id, Lifecycle, LoadReport, Outcome, RequestArrival,
};
use landingspread_decisions::policy::Policy;
use landingspread_decisions::zones::ZoneTraffic;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

#[derive(Default)]
struct Log {
    now: Duration,
    lines: Vec<String>,
    /// Relays that are out: command, number, server.
    out: Vec<(Id, u32, Id)>,
    relays: std::collections::BTreeMap<Id, u32>,
    checks: Vec<Id>,
}

#[derive(Clone, Default)]
struct Logged(Rc<RefCell<Log>>);

impl Logged {
    fn say(&self, text: String) {
        let mut log = self.0.borrow_mut();
        let line = format!("{:?} {text}", log.now);
        log.lines.push(line);
    }
}

impl Host for Logged {
    fn start_attempt(&mut self, cmd: &Id, server: &Id, not_past: Duration) {
        self.say(format!("relay {cmd} {server} {not_past:?}"));
        let mut log = self.0.borrow_mut();
        let next = log.relays.entry(cmd.clone()).or_default();
        let number = *next;
        *next += 1;
        log.out.push((cmd.clone(), number, server.clone()));
    }

    fn reject(&mut self, cmd: &Id, come_back: Option<Duration>) {
        self.say(format!("decline {cmd} {come_back:?}"));
    }

    fn fail(&mut self, cmd: &Id) {
        self.say(format!("terminate {cmd}"));
    }

    fn cancel_attempt(&mut self, cmd: &Id, relay: u32) {
        self.say(format!("cancel {cmd} {relay}"));
    }

    fn check_health(&mut self, server: &Id) {
        self.say(format!("check {server}"));
        self.0.borrow_mut().checks.push(server.clone());
    }

    fn wake_after(&mut self, _: Duration) {}

    fn poll_discovery(&mut self) {
        self.say("subscribe".into());
    }

    fn close_idle_connections(&mut self, server: &Id) {
        self.say(format!("let go {server}"));
    }

    fn send_to_peers(&mut self, peer: Option<u32>, words: &[u8]) {
        self.say(format!("tell {peer:?} {words:?}"));
    }

    fn log(&mut self, text: &Event) {
        self.say(format!("note {text}"));
    }
}

const SWEEP: Duration = Duration::from_millis(20);

/// A copy whose host calls each sweep, or leaves out those that the module lets it.
struct Copy {
    host: Logged,
    policy: Policy<Logged>,
    rests: bool,
    sweep_at: Duration,
    rests_until: Option<Duration>,
    sweeps: u32,
}

impl Copy {
    fn new(rests: bool, extra: &str, seed: u64) -> Copy {
        let host = Logged::default();
        host.0.borrow_mut().now = ms(1000);
        let policy = Policy::start(host.clone(), terms("zone", extra), seed, ms(1000));
        Copy { host, policy, rests, sweep_at: ms(1000) + SWEEP, rests_until: None, sweeps: 0 }
    }

    fn pass_to(&mut self, until: Duration) {
        loop {
            let at = self.rests_until.unwrap_or(self.sweep_at);
            if at > until {
                break;
            }
            if self.rests_until.take().is_some() {
                assert_eq!(self.policy.skip_sweeps(at), at, "rest ends at a sweep's time");
            }
            self.host.0.borrow_mut().now = at;
            self.policy.timer_fired(at);
            self.sweeps += 1;
            self.sweep_at = at + SWEEP;
            let next = self.policy.next_sweep();
            self.rests_until = Some(next).filter(|next| self.rests && *next > self.sweep_at);
        }
        self.host.0.borrow_mut().now = until;
    }

    /// Something happens then.
    fn hear(&mut self, at: Duration, what: impl FnOnce(&mut Policy<Logged>, &Logged)) {
        self.pass_to(at);
        if let Some(until) = self.rests_until.take() {
            self.sweep_at = self.policy.skip_sweeps(at.min(until));
        }
        what(&mut self.policy, &self.host);
    }
}

const OUTCOMES: [Outcome; 6] =
    [Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::Timeout, Outcome::ConnectFailed, Outcome::NotSent];

/// One thing that happens: `draw` says what, which and how.
fn happens(policy: &mut Policy<Logged>, host: &Logged, now: Duration, number: usize, draw: u64) {
    let (which, how) = ((draw >> 8) as usize, (draw >> 40) as usize);
    match draw % 10 {
        0..=2 => {
            let id: Id = format!("c{number:05}").into();
            let arrival = RequestArrival {
                id,
                class: which % 4,
                deadline: now + ms(1500),
                body_incomplete: false,
                tenant: 0,
                declared_work: None,
            };
            policy.request_arrived(now, arrival);
        }
        3..=6 => {
            let out = {
                let mut log = host.0.borrow_mut();
                let count = log.out.len();
                (count > 0).then(|| log.out.remove(which % count))
            };
            let Some((cmd, relay, server)) = out else { return };
            let (outcome, latency) = (OUTCOMES[how % OUTCOMES.len()], ms(5 + how as u64 % 40));
            let ended = AttemptEnd {
                request: cmd,
                request_closed: outcome == Outcome::Ok,
                body_consumed: false,
                outcome,
                attempt: relay,
                latency,
                server,
                load: LoadReport::default(),
            };
            policy.attempt_ended(now, ended);
        }
        7 => {
            let checks = std::mem::take(&mut host.0.borrow_mut().checks);
            for server in checks {
                policy.health_check_ended(
                    now,
                    OUTCOMES[how % OUTCOMES.len()],
                    &server,
                    LoadReport::default(),
                );
            }
        }
        8 => {
            let state =
                [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Removed, Lifecycle::Ready][how % 4];
            policy.endpoint_list_changed(now, &[entry(&format!("s{}", which % 8), state)]);
        }
        _ => {
            let share = [1.0, 0.0, 0.5][how % 3];
            policy.zone_traffic_changed(
                now,
                &[ZoneTraffic { zone: 1, fraction: share, trial: Some(how as u64 % 4) }],
            );
        }
    }
}

/// A plain sequence that depends on nothing but the seed (Steele, Lea and Flood's SplitMix64).
fn draw(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

#[test]
fn skipped_sweeps_change_no_call_and_no_time_of_any() {
    for seed in 1..=60 {
        let extra = if seed % 2 == 0 { "Balancers=3 PolicyLimits.Peers=true" } else { "" };
        let mut copies = [Copy::new(false, extra, seed), Copy::new(true, extra, seed)];
        let entries: Vec<_> = (0..6).map(|at| entry(&format!("s{at}"), Lifecycle::Ready)).collect();
        copies.iter_mut().for_each(|copy| copy.policy.endpoint_list_cached(ms(1000), &entries));
        let (mut state, mut now) = (seed, ms(1000));
        for number in 0..400 {
            let long = draw(&mut state).is_multiple_of(12);
            now += Duration::from_micros(draw(&mut state) % if long { 9_000_000 } else { 30_000 });
            let what = draw(&mut state);
            for copy in &mut copies {
                copy.hear(now, |policy, host| happens(policy, host, now, number, what));
            }
            let [all, some] = &copies;
            assert_eq!(all.host.0.borrow().lines, some.host.0.borrow().lines, "seed {seed}, step {number}");
        }
        copies.iter_mut().for_each(|copy| copy.pass_to(now + ms(30_000)));
        let [all, some] = &copies;
        assert_eq!(all.host.0.borrow().lines, some.host.0.borrow().lines, "seed {seed}, at the end");
        assert!(all.host.0.borrow().lines.len() > 100 && some.sweeps < all.sweeps, "seed {seed}");
    }
}

#[test]
fn a_replica_without_requests_is_swept_twice_a_second() {
    let mut copy = Copy::new(true, "", 1);
    let entries: Vec<_> = (0..6).map(|at| entry(&format!("s{at}"), Lifecycle::Ready)).collect();
    copy.policy.endpoint_list_cached(ms(1000), &entries);
    copy.pass_to(ms(11_000));
    assert!((20..=22).contains(&copy.sweeps), "{} sweeps in 10 s", copy.sweeps);
}
