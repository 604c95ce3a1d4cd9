//! The one task that owns the module. Everything that happens reaches it as a word on its queue, in order,
//! and becomes one call; what the module asks for becomes a final word to a caller, a relay, a check or a
//! watch. It owns which commands are open and how each relay of them stands; it must never decide anything
//! itself, wait for a socket, or call the module from within one of the module's own calls.

use super::attempts::Location;
use super::endpoints::{Answer, End, Endpoints, Outgoing, Stage};
use super::peers::Peers;
use super::pool::{Pool, Target};
use super::statistics_file::{
    self, Deployment, FIRST_SAVE_AFTER, RestoredState, SAVE_INTERVAL, StatisticsWriter,
};
use crate::catalog::Catalog;
use crate::clock::Clock;
use crate::configuration::{Configuration, RuntimeChange};
use crate::console::Order;
use crate::counters::{self, RefusalReason};
use crate::fleet;
use crate::handover::maintenance_record::MaintenanceEntries;
use crate::invariants::must_hold;
use crate::start::Start;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::future::or;
use landingspread_decisions::host::{
    AttemptEnd, Event, Host, Id, Lifecycle, ListedServer, LoadReport, Outcome, ReplicaView, RequestArrival,
};
use landingspread_decisions::peer_messages::IgnoredMessages;
use landingspread_decisions::policy::Policy;
use landingspread_decisions::zones::ZoneTraffic;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// A command's final word.
pub enum Final {
    Answered(Box<Answer>),
    Declined(Option<Duration>),
    Terminated,
}

impl Final {
    fn name(&self) -> &'static str {
        match self {
            Final::Answered(_) => "answered",
            Final::Declined(_) => "declined",
            Final::Terminated => "terminated",
        }
    }
}

/// A command as its caller's side hands it over. Two callers may use one id: the number tells them apart.
pub struct Came {
    pub number: u64,
    pub arrival: RequestArrival,
    pub outgoing: Outgoing,
    pub caller: Sender<Final>,
}

/// What reaches the owner.
pub enum Word {
    Came(Box<Came>),
    /// The last byte of its body has come; it is due by then.
    Whole(Id, u64, Duration),
    Left(Id, u64),
    /// An answer that was passed on as it came has broken off, of this verb.
    Broke(Id, usize),
    Ended(Id, u32, Box<End>),
    Checked(Id, Outcome, LoadReport),
    Peer(u32, Vec<u8>),
    Listed(Catalog),
    ListFailed,
    /// By discovery itself, as it has too many calls.
    ListRefused,
    /// Quotas and verbs by now; told once the module has them.
    Changed(Box<RuntimeChange>, Sender<()>),
    /// The process ends: by then all that is open has its final word.
    EndsBy(Duration),
    /// It is that time.
    AllDue,
}

/// The sending side of the owner's queue. It has no bound of its own: each open socket has at most one word
/// in it, and sockets are budgeted; peers' words stop at a bound of `peers.rs`.
#[derive(Clone)]
pub struct Queue(Sender<Word>);

impl Queue {
    pub fn waiting(&self) -> usize {
        self.0.len()
    }

    pub fn tell(&self, word: Word) {
        let taken = self.0.try_send(word).is_ok();
        must_hold!(Internal, taken, "the owner hears every word");
    }
}

pub fn queue() -> (Queue, Receiver<Word>) {
    let (sender, receiver) = async_channel::unbounded();
    (Queue(sender), receiver)
}

struct Shot {
    server: Id,
    sent: Duration,
    stage: Rc<Cell<Stage>>,
    /// Dropped, it stops the relay and closes its connection. None for what was never sent.
    task: Option<Task<()>>,
    /// None while it is out.
    outcome: Option<Outcome>,
}

impl Shot {
    fn ended(&self) -> bool {
        self.outcome.is_some()
    }
}

struct Open {
    number: u64,
    due: Duration,
    outgoing: Rc<Outgoing>,
    caller: Sender<Final>,
    finished: bool,
    shots: Vec<Shot>,
}

impl Open {
    /// Why it is refused, or fails, by what its attempts came to.
    fn refusal_reason(&self, word: &Final) -> Option<RefusalReason> {
        let never_ran = self.shots.iter().all(|shot| shot.outcome.is_none_or(Outcome::never_ran));
        match word {
            Final::Answered(_) => None,
            Final::Declined(_) | Final::Terminated if self.shots.is_empty() => Some(RefusalReason::Shed),
            Final::Declined(_) if never_ran => Some(RefusalReason::NeverRan),
            Final::Declined(_) => Some(RefusalReason::Repeatable),
            Final::Terminated => Some(RefusalReason::Unknown),
        }
    }
}

/// A server as the list tells it.
struct KnownServer {
    address: SocketAddr,
    location: Location,
    /// It is to get nothing new.
    drains: bool,
}

/// What the owner reaches the outside by.
pub struct Outside {
    pub endpoints: Rc<Endpoints>,
    pub pool: Rc<Pool>,
    pub peers: Option<Rc<Peers>>,
    /// None where this copy is one of no fleet.
    pub fleet: Option<fleet::Link>,
    pub ask: Sender<()>,
    pub start: Rc<Start>,
}

/// What operators said, and are to be told.
pub struct Operators {
    pub orders: Receiver<Order>,
    /// What was recorded before this process began.
    pub recorded: MaintenanceEntries,
    /// Told once a list has come.
    pub listed: Sender<()>,
}

/// The owner's books, reached by the module's calls and by the owner in turn.
struct Desk {
    clock: Clock,
    most_relays: usize,
    open: BTreeMap<Id, Open>,
    servers: BTreeMap<Id, KnownServer>,
    wakes: BinaryHeap<Reverse<Duration>>,
    /// No relay lasts longer.
    ends_by: Duration,
    outside: Outside,
    executor: Rc<LocalExecutor<'static>>,
    queue: Queue,
}

impl KnownServer {
    fn target(&self, server: &Id) -> Target {
        Target { server: server.clone(), address: self.address, location: self.location }
    }
}

impl Desk {
    /// The one final word of a command.
    fn finish(&mut self, cmd: &Id, word: Final) {
        let Some(open) = self.open.get_mut(cmd) else { return };
        tracing::debug!("{cmd} is {}", word.name());
        must_hold!(OneAnswer, !open.finished, "one final word for {cmd}");
        open.refusal_reason(&word).into_iter().for_each(|why| counters::refused(cmd, why));
        open.outgoing.guard.request_over();
        if !std::mem::replace(&mut open.finished, true) {
            // A caller that has just left hears nothing more.
            let _ = open.caller.try_send(word);
        }
        self.withdraw(cmd);
        self.forget_ended(cmd);
    }

    /// Nothing is owed any more: what was not written whole is taken back, whether relays may be called off or not. That
    /// is about what an endpoint has; this it never had.
    fn withdraw(&mut self, cmd: &Id) {
        let Some(open) = self.open.get(cmd) else { return };
        let unwritten = |shot: &Shot| matches!(shot.stage.get(), Stage::Unwritten | Stage::Begun);
        let numbers: Vec<u32> =
            (0..).zip(&open.shots).filter(|(_, shot)| unwritten(shot)).map(|(number, _)| number).collect();
        numbers.into_iter().for_each(|number| self.cancel(cmd, number));
    }

    /// Nothing new goes to this server: a relay whose connection is not up yet would begin there whenever it is.
    fn withdraw_from(&mut self, server: &Id) {
        let waits = |shot: &Shot| shot.server == *server && shot.stage.get() == Stage::Unwritten;
        let of = |(cmd, open): (&Id, &Open)| {
            let shots = (0u32..).zip(&open.shots).filter(|(_, shot)| waits(shot));
            shots.map(|(number, _)| (cmd.clone(), number)).collect::<Vec<_>>()
        };
        let waiting: Vec<(Id, u32)> = self.open.iter().flat_map(of).collect();
        waiting.into_iter().for_each(|(cmd, number)| self.cancel(&cmd, number));
    }

    fn forget_ended(&mut self, cmd: &Id) {
        let over = |open: &Open| open.finished && open.shots.iter().all(Shot::ended);
        if self.open.get(cmd).is_some_and(over) {
            self.open.remove(cmd);
        }
    }

    fn relay(&mut self, cmd: &Id, server: &Id, not_past: Duration) {
        let now = self.clock.now();
        let Some(open) = self.open.get_mut(cmd) else {
            must_hold!(Internal, false, "relays are of open commands: {cmd}");
            return;
        };
        let number = open.shots.len() as u32;
        let not_past = if not_past.is_zero() { open.due } else { not_past.min(open.due) };
        let not_past = not_past.min(self.ends_by);
        let stage = Rc::new(Cell::new(Stage::Unwritten));
        let last = open.shots.last().and_then(|shot| shot.outcome);
        last.into_iter().for_each(|last| counters::retried(cmd, number, last));
        let known = self.servers.get(server);
        // The decisions leave a server with the word that it drains, and use nothing of its grace.
        let drains = known.is_some_and(|known| known.drains);
        must_hold!(Sending, !drains, "attempt {number} of {cmd} to {server}, which drains");
        let target = known.filter(|_| !drains).map(|known| known.target(server));
        let may_go = !open.finished && now < not_past && open.shots.len() < self.most_relays;
        let mut shot = Shot { server: server.clone(), sent: now, stage, task: None, outcome: None };
        match target.filter(|_| may_go) {
            Some(target) => {
                let (endpoints, queue) = (self.outside.endpoints.clone(), self.queue.clone());
                let (outgoing, stage, cmd) = (open.outgoing.clone(), shot.stage.clone(), cmd.clone());
                let by = self.clock.instant(not_past);
                shot.task = Some(self.executor.spawn(async move {
                    let end = endpoints.relay(&target, &outgoing, number, by, &stage).await;
                    stage.set(Stage::Ended);
                    queue.tell(Word::Ended(cmd, number, Box::new(end)));
                }));
            }
            None => {
                shot.stage.set(Stage::Ended);
                self.queue.tell(Word::Ended(cmd.clone(), number, Box::new(End::bare(Outcome::NotSent))));
            }
        }
        open.shots.push(shot);
    }

    /// The process ends: what is out of commands that came before it was told so ends as by its time. What is being
    /// passed on has its final word and goes on.
    fn end_relays(&mut self) {
        let of = |(cmd, open): (&Id, &Open)| {
            let out = (0u32..).zip(&open.shots).filter(|(_, shot)| !shot.ended() && !open.finished);
            out.map(|(number, _)| (cmd.clone(), number)).collect::<Vec<_>>()
        };
        let out: Vec<(Id, u32)> = self.open.iter().flat_map(of).collect();
        out.iter().for_each(|(cmd, number)| self.stop(cmd, *number, Outcome::Timeout));
    }

    fn cancel(&mut self, cmd: &Id, number: u32) {
        self.stop(cmd, number, Outcome::Cancelled);
    }

    /// Ends a relay here, by this outcome if it may have run.
    fn stop(&mut self, cmd: &Id, number: u32, written: Outcome) {
        let Some(open) = self.open.get_mut(cmd) else { return };
        let Some(shot) = open.shots.get_mut(number as usize) else { return };
        // Another outcome may be on the queue already: then that one stands.
        let outcome = match shot.stage.replace(Stage::Ended) {
            Stage::Ended => return,
            Stage::Written => written,
            Stage::Unwritten | Stage::Begun => Outcome::NotSent,
        };
        shot.task = None;
        open.outgoing.guard.ended(number, outcome);
        let end = End { spent: !open.outgoing.unsent(), ..End::bare(outcome) };
        self.queue.tell(Word::Ended(cmd.clone(), number, Box::new(end)));
    }
}

/// The module's hand on the desk.
struct Hand(Rc<RefCell<Desk>>);

impl Host for Hand {
    fn start_attempt(&mut self, cmd: &Id, server: &Id, not_past: Duration) {
        self.0.borrow_mut().relay(cmd, server, not_past);
    }

    fn reject(&mut self, cmd: &Id, come_back: Option<Duration>) {
        self.0.borrow_mut().finish(cmd, Final::Declined(come_back));
    }

    fn fail(&mut self, cmd: &Id) {
        self.0.borrow_mut().finish(cmd, Final::Terminated);
    }

    fn cancel_attempt(&mut self, cmd: &Id, relay: u32) {
        self.0.borrow_mut().cancel(cmd, relay);
    }

    fn check_health(&mut self, server: &Id) {
        let desk = self.0.borrow();
        let Some(target) = desk.servers.get(server).map(|known| known.target(server)) else {
            desk.queue.tell(Word::Checked(server.clone(), Outcome::NotSent, LoadReport::default()));
            return;
        };
        let (endpoints, queue) = (desk.outside.endpoints.clone(), desk.queue.clone());
        let check = async move {
            let (outcome, load) = endpoints.check(&target).await;
            queue.tell(Word::Checked(target.server, outcome, load));
        };
        desk.executor.spawn(check).detach();
    }

    fn wake_after(&mut self, span: Duration) {
        let mut desk = self.0.borrow_mut();
        let at = desk.clock.now() + span;
        desk.wakes.push(Reverse(at));
    }

    fn poll_discovery(&mut self) {
        // A call that waits already is the one asked for.
        let _ = self.0.borrow().outside.ask.try_send(());
    }

    fn close_idle_connections(&mut self, server: &Id) {
        self.0.borrow().outside.pool.forget(server);
    }

    fn send_to_peers(&mut self, peer: Option<u32>, words: &[u8]) {
        if let Some(peers) = &self.0.borrow().outside.peers {
            peers.tell(peer, words);
        }
    }

    fn log(&mut self, event: &Event) {
        match event {
            Event::SlowStartViolated(server) => {
                must_hold!(SlowStart, false, "an attempt without a credit to {server}");
            }
            Event::Ejected(_) | Event::Returned(_) => tracing::info!("{event}"),
        }
    }
}

/// Operators are heard before all that waits.
enum Heard {
    Order(Order),
    Word(Word),
    Copies(ReplicaView),
    Zones(Vec<ZoneTraffic>),
}

struct Owner {
    desk: Rc<RefCell<Desk>>,
    policy: Policy<Hand>,
    clock: Clock,
    /// What an earlier process learnt, until a whole list has come.
    before: RestoredState,
    operators: Operators,
    fleet: Option<fleet::Link>,
    seen_at: Duration,
    /// The module's next sweep that may decide anything; those before it are left out unless something is heard.
    rests_until: Option<Duration>,
    save_to: Option<PathBuf>,
    save_at: Duration,
    saving: StatisticsWriter,
}

pub async fn own(
    launch: Configuration,
    mut outside: Outside,
    operators: Operators,
    executor: Rc<LocalExecutor<'static>>,
    queue: Queue,
    words: Receiver<Word>,
) {
    let deployment = Deployment::of(&launch);
    let fleet = outside.fleet.take();
    let clock = launch.clock;
    let desk = Rc::new(RefCell::new(Desk {
        clock: clock.clone(),
        most_relays: launch.policy.capabilities.max_attempts as usize,
        open: BTreeMap::new(),
        servers: BTreeMap::new(),
        wakes: BinaryHeap::new(),
        ends_by: Duration::MAX,
        outside,
        executor,
        queue,
    }));
    let policy = Policy::start(Hand(desk.clone()), launch.policy, launch.seed, clock.now());
    let before =
        launch.statistics_file.as_ref().map(|path| statistics_file::restore(path, &deployment, &clock));
    let before = before.unwrap_or_default();
    desk.borrow().outside.start.stored_files_read();
    let (save_at, save_to) = (clock.now() + FIRST_SAVE_AFTER, launch.statistics_file);
    let saving = StatisticsWriter::new(deployment);
    let (rests_until, seen_at) = (None, clock.now());
    let mut owner = Owner {
        desk,
        policy,
        clock,
        before,
        operators,
        fleet,
        seen_at,
        rests_until,
        save_to,
        save_at,
        saving,
    };
    owner.remember();
    let known = owner.note_servers(launch.initial_catalog);
    let now = owner.clock.now();
    owner.policy.endpoint_list_cached(now, &known);
    owner.policy.restore_statistics(now, &owner.before.statistics);
    owner.listen(words).await;
}

impl Owner {
    /// What operators said to an earlier process holds before the first list is taken.
    fn remember(&mut self) {
        let now = self.clock.now();
        self.before.known_ids.iter().for_each(|server| self.policy.restore_known_server(server));
        for (server, word) in std::mem::take(&mut self.operators.recorded) {
            let id = Id::from(server);
            self.policy.restore_known_server(&id);
            if word.in_maintenance {
                self.policy.exclude_server(now, &id);
            }
        }
    }

    fn operators_say(&mut self, order: Order) {
        let (now, id) = (self.clock.now(), Id::from(order.server));
        if order.recorded.is_some() {
            self.policy.restore_known_server(&id);
        }
        let known = if order.out {
            self.policy.exclude_server(now, &id)
        } else {
            let since = now.saturating_sub(order.recorded.unwrap_or_default());
            self.policy.include_server(now, &id, since)
        };
        if order.out {
            self.desk.borrow_mut().withdraw_from(&id);
        }
        // What is kept to a server that is restarted is worth nothing.
        self.desk.borrow().outside.pool.forget(&id);
        let _ = order.known.try_send(known);
    }

    async fn listen(mut self, words: Receiver<Word>) {
        loop {
            let wake = self.next_wake();
            let elapsed = async {
                match wake {
                    Some(at) => Timer::at(self.clock.instant(at)).await,
                    None => futures_lite::future::pending().await,
                };
                None
            };
            let orders = self.operators.orders.clone();
            let ordered = async {
                match orders.recv().await {
                    Ok(order) => Some(Heard::Order(order)),
                    // Nobody can call.
                    Err(_) => futures_lite::future::pending().await,
                }
            };
            let said = async { words.recv().await.ok().map(Heard::Word) };
            let copies = self.fleet.as_ref().map(|fleet| fleet.copies.clone());
            let counted = async {
                match copies {
                    Some(copies) => match copies.recv().await {
                        Ok(copies) => Some(Heard::Copies(copies)),
                        Err(_) => futures_lite::future::pending().await,
                    },
                    None => futures_lite::future::pending().await,
                }
            };
            let zones = self.fleet.as_ref().and_then(|fleet| fleet.zones.clone());
            let shared = async {
                match zones {
                    Some(zones) => match zones.recv().await {
                        Ok(shares) => Some(Heard::Zones(shares)),
                        Err(_) => futures_lite::future::pending().await,
                    },
                    None => futures_lite::future::pending().await,
                }
            };
            let heard = or(ordered, or(or(counted, shared), or(said, elapsed))).await;
            self.rest_no_longer(heard.is_some());
            match heard {
                Some(Heard::Order(order)) => self.operators_say(order),
                Some(Heard::Word(word)) => self.hear(word),
                Some(Heard::Copies(copies)) => self.copies_told(&copies),
                Some(Heard::Zones(shares)) => self.policy.zone_traffic_changed(self.clock.now(), &shares),
                None => {}
            }
            // Looked at after each word: a long queue must not keep the module from its time.
            let now = self.clock.now();
            if self.next_wake().is_some_and(|at| at <= now) {
                self.desk.borrow_mut().wakes.pop();
                self.policy.timer_fired(now);
                self.say_seen(now);
                self.save(now);
                self.rest();
            }
        }
    }

    fn copies_told(&mut self, copies: &ReplicaView) {
        self.policy.replicas_changed(self.clock.now(), copies);
        let asked = self.policy.request_rate();
        self.fleet.iter().for_each(|fleet| fleet.say_traffic(asked));
    }

    fn say_seen(&mut self, now: Duration) {
        let Some(fleet) = self.fleet.as_ref().filter(|fleet| fleet.zones.is_some()) else { return };
        if self.seen_at <= now {
            self.seen_at = now + fleet::SEEN_EVERY;
            fleet.say_seen(now, self.policy.zone_observations(now));
        }
    }

    fn save(&mut self, now: Duration) {
        if let Some(path) = self.save_to.clone().filter(|_| self.save_at <= now) {
            self.save_at = now + SAVE_INTERVAL;
            let named = self.policy.known_servers().map(|id| id.to_string()).collect();
            self.saving.save(path, &self.policy.server_statistics(), named, &self.clock);
        }
    }

    /// A sidecar without calls would else be woken fifty times a second for nothing.
    fn rest(&mut self) {
        let (next, wake) = (self.policy.next_sweep(), self.next_wake());
        self.rests_until = Some(next).filter(|next| wake.is_some_and(|wake| wake < *next));
    }

    /// The sweeps go on as if none had been left out.
    fn rest_no_longer(&mut self, heard: bool) {
        let Some(until) = self.rests_until.take() else { return };
        let now = self.clock.now();
        let next = self.policy.skip_sweeps(if heard { now.min(until) } else { until });
        let wakes = &mut self.desk.borrow_mut().wakes;
        wakes.clear();
        wakes.push(Reverse(next));
    }

    fn next_wake(&self) -> Option<Duration> {
        if self.rests_until.is_some() {
            return self.rests_until;
        }
        self.desk.borrow().wakes.peek().map(|Reverse(at)| *at)
    }

    fn hear(&mut self, word: Word) {
        let now = self.clock.now();
        match word {
            Word::Came(came) => self.cmd_came(now, *came),
            Word::Whole(id, number, due) => self.body_came(now, &id, number, due),
            Word::Left(id, number) => self.client_left(now, &id, number),
            Word::Broke(server, verb) => self.policy.response_interrupted(now, &server, verb),
            Word::Ended(id, number, end) => self.relay_ended(now, id, number, *end),
            Word::Checked(server, outcome, load) => {
                self.policy.health_check_ended(now, outcome, &server, load)
            }
            Word::Listed(catalog) => {
                let _ = self.operators.listed.try_send(());
                let whole = catalog.complete;
                let entries = self.note_servers(catalog);
                if whole {
                    self.policy.endpoint_list_received(now, &entries);
                    self.policy.restore_statistics(now, &std::mem::take(&mut self.before.statistics));
                } else {
                    self.policy.endpoint_list_changed(now, &entries);
                }
            }
            Word::Peer(peer, words) => self.peer_said(now, peer, &words),
            Word::ListFailed => self.policy.discovery_poll_failed(now),
            Word::ListRefused => self.policy.discovery_poll_rejected(now),
            Word::Changed(changed, taken) => {
                self.policy.settings_changed(now, &changed.quotas, &changed.classes);
                let _ = taken.try_send(());
            }
            Word::EndsBy(at) => self.ends_by(now, at),
            Word::AllDue => self.desk.borrow_mut().end_relays(),
        }
    }

    fn peer_said(&mut self, now: Duration, peer: u32, words: &[u8]) {
        let before = self.policy.ignored_messages().all();
        self.policy.peer_message_received(now, peer, words);
        let IgnoredMessages { malformed: garbled, unknown_server: strange } = self.policy.ignored_messages();
        // Told at 1, 2, 4, 8 and so on: a peer of another version goes on so all day.
        if (before + 1..=garbled + strange).any(u64::is_power_of_two) {
            tracing::warn!(garbled, strange, peer, "peers' words that went for nothing");
        }
    }

    /// A server that is gone, or not in a whole list, is forgotten: new ones come under new ids all day. What waits for a
    /// connection to one that takes nothing new, or that has moved, is taken back.
    fn note_servers(&mut self, catalog: Catalog) -> Vec<ListedServer> {
        let desk = &mut *self.desk.borrow_mut();
        let mut left = Vec::new();
        let Desk { servers, outside: Outside { pool, .. }, .. } = desk;
        let old = if catalog.complete { std::mem::take(servers) } else { BTreeMap::new() };
        for entry in &catalog.entries {
            let server = &entry.listed.server;
            let state = entry.listed.lifecycle;
            if state == Lifecycle::Removed {
                pool.forget(server);
            }
            let before = servers.remove(server);
            let before = before.as_ref().or(old.get(server));
            let moved = before.is_some_and(|before| before.address != entry.address);
            let known = KnownServer {
                address: entry.address,
                location: Location { zone: entry.listed.zone, cell: entry.listed.cell },
                drains: state == Lifecycle::Draining,
            };
            if state != Lifecycle::Removed {
                servers.insert(server.clone(), known);
            }
            if moved || state != Lifecycle::Ready {
                left.push(server.clone());
            }
        }
        for server in old.into_keys().filter(|server| !servers.contains_key(server)) {
            pool.forget(&server);
            left.push(server);
        }
        left.iter().for_each(|server| desk.withdraw_from(server));
        catalog.entries.into_iter().map(|entry| entry.listed).collect()
    }

    fn ends_by(&mut self, now: Duration, at: Duration) {
        self.policy.shut_down_by(now, at);
        let mut desk = self.desk.borrow_mut();
        desk.ends_by = at;
        let (queue, due) = (desk.queue.clone(), self.clock.instant(at));
        let tell = async move {
            Timer::at(due).await;
            queue.tell(Word::AllDue);
        };
        desk.executor.spawn(tell).detach();
    }

    fn cmd_came(&mut self, now: Duration, came: Came) {
        let Came { number, arrival, outgoing, caller } = came;
        let mut desk = self.desk.borrow_mut();
        if desk.open.contains_key(&arrival.id) {
            // Two commands under one id could not be told apart by any endpoint.
            counters::refused(&arrival.id, RefusalReason::SameId);
            let _ = caller.try_send(Final::Terminated);
            return;
        }
        let outgoing = Rc::new(outgoing);
        let open =
            Open { number, due: arrival.deadline, outgoing, caller, finished: false, shots: Vec::new() };
        desk.open.insert(arrival.id.clone(), open);
        drop(desk);
        self.policy.request_arrived(now, arrival);
    }

    fn body_came(&mut self, now: Duration, id: &Id, number: u64, due: Duration) {
        let mut desk = self.desk.borrow_mut();
        let Some(open) = desk.open.get_mut(id).filter(|open| open.number == number) else { return };
        open.due = due;
        // An endpoint begins when the last byte has come.
        open.shots.iter_mut().filter(|shot| !shot.ended()).for_each(|shot| shot.sent = now);
        drop(desk);
        self.policy.body_completed(now, id, due);
    }

    fn client_left(&mut self, now: Duration, id: &Id, number: u64) {
        let mut desk = self.desk.borrow_mut();
        // Its final word may have crossed its leaving; and a second caller under an open id may leave before it
        // hears that it is terminated, which is not the first one's leaving.
        let left = |open: &&mut Open| open.number == number && !open.finished;
        let Some(open) = desk.open.get_mut(id).filter(left) else { return };
        open.finished = true;
        open.outgoing.guard.request_over();
        desk.withdraw(id);
        drop(desk);
        self.policy.client_disconnected(now, id);
        self.desk.borrow_mut().forget_ended(id);
    }

    fn relay_ended(&mut self, now: Duration, id: Id, number: u32, end: End) {
        let End { outcome, load, answer, spent } = end;
        let mut desk = self.desk.borrow_mut();
        let Some(open) = desk.open.get_mut(&id) else {
            must_hold!(Internal, false, "a relay ends before its command is forgotten: {id}");
            return;
        };
        let Some(shot) = open.shots.get_mut(number as usize) else { return };
        must_hold!(OneAnswer, !shot.ended(), "relay {number} of {id} ends once");
        shot.outcome = Some(outcome);
        shot.task = None;
        open.outgoing.guard.ended(number, outcome);
        counters::attempt_ended(outcome);
        let (server, latency) = (shot.server.clone(), now.saturating_sub(shot.sent));
        if let Some(answer) = answer
            && !open.finished
        {
            desk.finish(&id, Final::Answered(Box::new(answer)));
        }
        tracing::debug!("{id} relay {number} to {server}: {outcome:?} after {latency:?}");
        let closed = desk.open.get(&id).is_none_or(|open| open.finished);
        drop(desk);
        self.policy.attempt_ended(
            now,
            AttemptEnd {
                request: id.clone(),
                request_closed: closed,
                body_consumed: spent,
                outcome,
                attempt: number,
                latency,
                server,
                load,
            },
        );
        self.desk.borrow_mut().forget_ended(&id);
    }
}
