//! A host that plays the network by script and checks the rules at every call.

use landingspread_decisions::host::{
    AttemptEnd, Event, Host, Id, Lifecycle, ListedServer, LoadReport, Outcome, RequestArrival,
};
use landingspread_decisions::policy::Policy;
use landingspread_decisions::settings::Settings;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

pub const SLACK: Duration = Duration::from_millis(20);
pub const GRACE: Duration = Duration::from_millis(500);
pub const MEMORY: Duration = Duration::from_millis(700);

pub fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

/// Verb 0 is pure, 1 receipted within `scope`, 2 effectful, 3 receipted by all.
pub fn terms(scope: &str, extra: &str) -> Settings {
    let mut text = String::from(
        "Discovery=automatic Balancers=1 Rules.ColdShare=0.3 Rules.Cold=8000000 Rules.TipMultiple=3 \
         Rules.Fall=2000000 Rules.AskEvery=10000000 PolicyLimits.MayCancel=true PolicyLimits.MostRelays=4 \
         PolicyLimits.Probes=true PolicyLimits.RetryAfter=true PolicyLimits.MaxRetryAfter=2000000 Verbs.count=4",
    );
    let kinds = ["idempotent", "deduplicated", "at_most_once", "deduplicated"];
    for (at, kind) in kinds.iter().enumerate() {
        let scope = if at == 3 { "all" } else { scope };
        text +=
            &format!(" Verbs.{at}.Effect={kind} Verbs.{at}.KeyScope={scope} Verbs.{at}.MemorySpan=700000");
        text +=
            &format!(" Verbs.{at}.ResponseGoal=1000000 Verbs.{at}.TimeLimit=3000000 Verbs.{at}.Utility=2");
    }
    // The last of two pairs with one path counts.
    Settings::decode(&format!("{text} {extra}")).expect("the script's settings can be read")
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Final {
    Answered,
    Declined,
    Terminated,
    Left,
}

pub struct Relay {
    pub server: Id,
    pub sent: Duration,
    pub not_past: Duration,
    pub outcome: Option<Outcome>,
    pub cancelled: bool,
}

pub struct Taken {
    pub verb: usize,
    pub due: Duration,
    pub relays: Vec<Relay>,
    pub ended: Option<Final>,
    /// Its last byte has not come.
    pub coming: bool,
    /// What was sent of it cannot be sent again.
    pub spent: bool,
}

#[derive(Default)]
pub struct World {
    pub now: Duration,
    pub listed: BTreeMap<Id, ListedServer>,
    pub off_since: BTreeMap<Id, Duration>,
    /// By operators' word.
    pub out_since: BTreeMap<Id, Duration>,
    pub cmds: BTreeMap<Id, Taken>,
    pub checks: Vec<Id>,
    pub notes: Vec<String>,
    pub let_go: Vec<Id>,
    pub told: Vec<Vec<u8>>,
    pub come_back: Option<Duration>,
    pub list_calls: usize,
    pub scope: String,
    pub parallel: bool,
}

impl World {
    fn drops_repeats(&self, verb: usize, one: &Id, other: &Id) -> bool {
        let (one, other) = (&self.listed[one], &self.listed[other]);
        match (verb, self.scope.as_str()) {
            (0 | 3, _) | (1, "all") => true,
            (1, "zone") => one.zone == other.zone,
            (1, _) => one.cell == other.cell && one.zone == other.zone,
            _ => false,
        }
    }

    fn finish(&mut self, id: &Id, how: Final) {
        let cmd = self.cmds.get_mut(id).expect("a command that was given");
        assert_eq!(cmd.ended, None, "rule 1: a second final answer");
        assert!(self.now <= cmd.due + SLACK, "rule 1: a final answer past the time limit");
        cmd.ended = Some(how);
    }

    pub fn sent_to(&self, server: &str) -> usize {
        self.cmds.values().flat_map(|cmd| &cmd.relays).filter(|relay| &*relay.server == server).count()
    }

    pub fn overdue_answers(&self) -> usize {
        self.cmds.values().filter(|cmd| cmd.ended.is_none() && self.now > cmd.due + SLACK).count()
    }
}

#[derive(Clone, Default)]
pub struct Script(pub Rc<RefCell<World>>);

impl Host for Script {
    fn start_attempt(&mut self, id: &Id, to: &Id, not_past: Duration) {
        let mut world = self.0.borrow_mut();
        let cmd = &world.cmds[id];
        assert_eq!(cmd.ended, None, "rule 1: a relay after the final answer");
        assert!(!cmd.spent, "a relay of what cannot be sent again");
        let off = world.off_since.get(to);
        assert!(off.is_none_or(|at| world.now <= *at + GRACE), "rule 3: a relay to a server that is off");
        let out = world.out_since.get(to);
        assert!(out.is_none_or(|at| world.now <= *at + GRACE), "rule 3: a relay to a server left out");
        for earlier in &cmd.relays {
            assert!(earlier.outcome.is_some() || world.parallel, "rule 2: two relays at once");
            if earlier.outcome.is_none_or(|outcome| !outcome.never_ran()) {
                assert!(world.drops_repeats(cmd.verb, &earlier.server, to), "rule 2: a repeat not dropped");
                assert!(cmd.verb == 0 || world.now <= earlier.sent + MEMORY, "rule 2: a repeat forgotten");
            }
        }
        let not_past = not_past.min(cmd.due);
        let relay = Relay { server: to.clone(), sent: world.now, not_past, outcome: None, cancelled: false };
        world.cmds.get_mut(id).expect("a command that was given").relays.push(relay);
    }

    fn reject(&mut self, id: &Id, come_back: Option<Duration>) {
        let mut world = self.0.borrow_mut();
        let cmd = &world.cmds[id];
        let may_have_run = cmd.relays.iter().any(|r| r.outcome.is_none_or(|outcome| !outcome.never_ran()));
        let harmless = matches!(cmd.verb, 0 | 3) || (cmd.verb == 1 && world.scope == "all");
        assert!(harmless || !may_have_run, "rule 2: a decline of what may have run");
        world.come_back = come_back;
        world.finish(id, Final::Declined);
    }

    fn fail(&mut self, id: &Id) {
        self.0.borrow_mut().finish(id, Final::Terminated);
    }

    fn cancel_attempt(&mut self, id: &Id, relay: u32) {
        let mut world = self.0.borrow_mut();
        let cmd = world.cmds.get_mut(id).expect("a command that was given");
        cmd.relays[relay as usize].cancelled = true;
    }

    fn check_health(&mut self, server: &Id) {
        let out = self.0.borrow().out_since.contains_key(server);
        assert!(!out, "a check of a server left out");
        self.0.borrow_mut().checks.push(server.clone());
    }

    fn wake_after(&mut self, _: Duration) {}

    fn poll_discovery(&mut self) {
        self.0.borrow_mut().list_calls += 1;
    }

    fn close_idle_connections(&mut self, server: &Id) {
        self.0.borrow_mut().let_go.push(server.clone());
    }

    fn send_to_peers(&mut self, _: Option<u32>, words: &[u8]) {
        assert!(words.len() <= 256, "a message of at most 256 bytes");
        self.0.borrow_mut().told.push(words.to_vec());
    }

    fn log(&mut self, text: &Event) {
        self.0.borrow_mut().notes.push(text.to_string());
    }
}

pub struct Scene {
    pub script: Script,
    pub policy: Policy<Script>,
    given: u64,
}

pub fn entry(server: &str, state: Lifecycle) -> ListedServer {
    let number: u32 = server.trim_start_matches('s').parse().unwrap_or(0);
    ListedServer {
        server: server.into(),
        zone: number % 2,
        cell: number % 4,
        lifecycle: state,
        nominal_capacity: 1.0,
        started_at: None,
    }
}

impl Scene {
    pub fn new(terms: Settings, scope: &str, seed: u64, servers: u32) -> Self {
        let script = Script::default();
        let world = World {
            scope: scope.into(),
            parallel: terms.capabilities.hedging,
            now: ms(1000),
            ..World::default()
        };
        script.0.replace(world);
        let policy = Policy::start(script.clone(), terms, seed, ms(1000));
        let mut scene = Scene { script, policy, given: 0 };
        let entries: Vec<_> = (0..servers).map(|at| entry(&format!("s{at}"), Lifecycle::Ready)).collect();
        scene.told(&entries);
        scene.policy.endpoint_list_cached(ms(1000), &entries);
        scene
    }

    pub fn now(&self) -> Duration {
        self.script.0.borrow().now
    }

    pub fn told(&mut self, entries: &[ListedServer]) {
        let mut world = self.script.0.borrow_mut();
        let now = world.now;
        for entry in entries {
            if entry.lifecycle == Lifecycle::Ready {
                world.off_since.remove(&entry.server);
            } else {
                world.off_since.entry(entry.server.clone()).or_insert(now);
            }
            world.listed.insert(entry.server.clone(), entry.clone());
        }
    }

    pub fn change(&mut self, entries: &[ListedServer]) {
        self.told(entries);
        self.policy.endpoint_list_changed(self.now(), entries);
    }

    /// Operators leave the server out, or use it again.
    pub fn operators(&mut self, server: &str, out: bool) -> bool {
        let (now, id) = (self.now(), Id::from(server));
        if !out {
            self.script.0.borrow_mut().out_since.remove(&id);
            return self.policy.include_server(now, &id, now);
        }
        let known = self.policy.exclude_server(now, &id);
        if known {
            self.script.0.borrow_mut().out_since.entry(id).or_insert(now);
        }
        known
    }

    pub fn give(&mut self, verb: usize, due_in: Duration) -> Id {
        self.give_one(verb, due_in, false)
    }

    /// A command whose body is still coming.
    pub fn give_coming(&mut self, verb: usize) -> Id {
        self.give_one(verb, ms(900_000), true)
    }

    fn give_one(&mut self, verb: usize, due_in: Duration, coming: bool) -> Id {
        self.given += 1;
        let id: Id = format!("c{:05}", self.given).into();
        let now = self.now();
        let due = now + due_in;
        let taken = Taken { verb, due, relays: Vec::new(), ended: None, coming, spent: false };
        self.script.0.borrow_mut().cmds.insert(id.clone(), taken);
        self.policy.request_arrived(
            now,
            RequestArrival {
                id: id.clone(),
                class: verb,
                deadline: due,
                body_incomplete: coming,
                tenant: 0,
                declared_work: None,
            },
        );
        id
    }

    /// The bodies that are still coming.
    pub fn coming(&self) -> Vec<Id> {
        let world = self.script.0.borrow();
        let coming = world.cmds.iter().filter(|(_, cmd)| cmd.coming && cmd.ended.is_none());
        coming.map(|(id, _)| id.clone()).collect()
    }

    pub fn body_came(&mut self, id: &Id, due_in: Duration) {
        let (now, due) = (self.now(), self.now() + due_in);
        {
            let mut world = self.script.0.borrow_mut();
            let cmd = world.cmds.get_mut(id).expect("a command that was given");
            (cmd.coming, cmd.due) = (false, due);
            // A relay counts as sent when its last byte has come.
            for relay in cmd.relays.iter_mut().filter(|relay| relay.outcome.is_none()) {
                (relay.sent, relay.not_past) = (now, relay.not_past.min(due));
            }
        }
        self.policy.body_completed(self.now(), id, due);
    }

    /// The relays that are out, oldest command first.
    pub fn out(&self) -> Vec<(Id, u32)> {
        let world = self.script.0.borrow();
        let mut out = Vec::new();
        for (id, cmd) in &world.cmds {
            for (number, relay) in (0u32..).zip(&cmd.relays) {
                if relay.outcome.is_none() {
                    out.push((id.clone(), number));
                }
            }
        }
        out
    }

    pub fn end(&mut self, id: &Id, number: u32, outcome: Outcome, load: LoadReport) {
        self.end_as(id, number, outcome, load, false);
    }

    pub fn end_as(&mut self, id: &Id, number: u32, outcome: Outcome, load: LoadReport, spent: bool) {
        let ended = {
            let mut world = self.script.0.borrow_mut();
            let now = world.now;
            let cmd = world.cmds.get_mut(id).expect("a command that was given");
            let relay = &mut cmd.relays[number as usize];
            relay.outcome = Some(outcome);
            let (server, latency) = (relay.server.clone(), now - relay.sent);
            if outcome == Outcome::Ok && cmd.ended.is_none() {
                cmd.ended = Some(Final::Answered);
            }
            cmd.spent |= spent;
            let closed = cmd.ended.is_some();
            AttemptEnd {
                request: id.clone(),
                request_closed: closed,
                body_consumed: spent,
                outcome,
                attempt: number,
                latency,
                server,
                load,
            }
        };
        self.policy.attempt_ended(self.now(), ended);
    }

    pub fn leave(&mut self, id: &Id) {
        let open = self.script.0.borrow().cmds[id].ended.is_none();
        if open {
            self.script.0.borrow_mut().finish(id, Final::Left);
            self.policy.client_disconnected(self.now(), id);
        }
    }

    /// Lets time go by in sweeps; relays end as the wire ends them when cancelled or out of time.
    pub fn pass(&mut self, span: Duration) {
        let until = self.now() + span;
        while self.now() < until {
            let now = (self.now() + ms(20)).min(until);
            self.script.0.borrow_mut().now = now;
            for (id, number) in self.out() {
                let (cancelled, late) = {
                    let world = self.script.0.borrow();
                    let relay = &world.cmds[&id].relays[number as usize];
                    (relay.cancelled, relay.not_past <= now)
                };
                if cancelled || late {
                    let outcome = if cancelled { Outcome::Cancelled } else { Outcome::Timeout };
                    self.end(&id, number, outcome, LoadReport::default());
                }
            }
            self.policy.timer_fired(now);
            assert_eq!(self.script.0.borrow().overdue_answers(), 0, "rule 1: no final answer in time");
        }
    }

    /// Gives a pure command and lets the server it goes to end it.
    pub fn play(&mut self, verb: usize, outcome_at: impl Fn(&str) -> Outcome) -> Id {
        let id = self.give(verb, ms(3000));
        self.pass(ms(20));
        for (id, number) in self.out() {
            let server = self.script.0.borrow().cmds[&id].relays[number as usize].server.clone();
            self.end(&id, number, outcome_at(&server), LoadReport::default());
        }
        id
    }

    pub fn check_all(&mut self, outcome: Outcome) {
        let checks = std::mem::take(&mut self.script.0.borrow_mut().checks);
        for server in checks {
            self.policy.health_check_ended(self.now(), outcome, &server, LoadReport::default());
        }
    }

    pub fn ended(&self, id: &Id) -> Option<Final> {
        self.script.0.borrow().cmds[id].ended
    }

    pub fn noted(&self, text: &str) -> bool {
        self.script.0.borrow().notes.iter().any(|note| note.starts_with(text))
    }
}
