//! Every decision of landingspread: where a command goes, whether again, how long it is held, when given up.
//! A front calls `Policy::start` and then one method for each thing that happens, in its order; each acts by
//! calling the `Host`. The reasons stand in `docs/design.md`.

use crate::book::{Asking, Cmd, Fate, Relay, Seen, VerbRecord};
use crate::fleet::{Fleet, Mark, Server, Slot};
use crate::host::{
    AttemptEnd, Event, Host, Id, Lifecycle, ListedServer, LoadReport, Outcome, RequestArrival,
};
use crate::overrides::Overrides;
use crate::peer_messages::{self, PeerMessageHandler};
use crate::settings::{DedupScope, RetrySafety, Settings};
use crate::stats::{Average, Histogram, Rate, chance, drawn_from, shuffle};
use crate::zones::Zones;
use std::collections::BTreeMap;
use std::time::Duration;

/// Straight failures that mark a server. The source's 50 never come together in a lower tier's trickle.
const MARK_AFTER: u32 = 4;
const MARKED_AT_MOST: f64 = 0.5;
const CHECK_EVERY: Duration = Duration::from_secs(1);
const TRIAL_AFTER: Duration = Duration::from_secs(5);
const RISE: u32 = 2;
/// Straight checks before draws that find nobody mark a server.
const MISSES: u32 = 2;
const DECAY: f64 = 1.0;
const SHARPNESS: i32 = 4;
/// What all copies together may have out at a server of which nothing is known yet, and the most ever.
const BOUND_START: f64 = 5.0;
/// Strain brings a bound down to this, below the start: older copies may know too small a balancer count.
const BOUND_LEAST: f64 = 2.5;
const BOUND_MOST: f64 = 64.0;
const STRAIN_CUT: f64 = 0.002;
const BOUND_CUT: f64 = 0.02;
const ERROR_WEIGHS: f64 = 0.4;
const BOUND_RISE: f64 = 0.08;
/// Answers this many times as slow as in calm times are a sign of crowding: bounds rise below, fall above.
const CALM: f64 = 1.1;
const STRAINED: f64 = 1.4;
/// Further relays of commands that may have run, as a share of the commands taken.
const RELAY_SHARE: f64 = 0.1;
const RELAY_BURST: f64 = 8.0;
const WORST_VERB: f64 = 20.0;
/// A relay is not worth starting with less time left than this part of the usual.
const HOPELESS: f64 = 0.5;
/// A command is held when its expected wait takes at most this share of the slack it has to its goal.
const HOLD: f64 = 0.25;
/// A relay is overdue at this many times the time in which nine of ten are answered.
const OVERDUE: f64 = 4.0;
const CROSSING_AVERSION: f64 = 60.0;
/// Clients come back after this share of the response goal: later, nothing could be earned any more.
const COME_BACK: f64 = 0.3;
const SEEN_EACH: f64 = 5.0;
const SERVERS_LEAST: f64 = 6.0;
const SERVERS_PRICED: f64 = 3.0;
const NEAR: f64 = 0.7;
const GOLDEN: f64 = 0.618_033_988_749_895;
const CHOOSE_EVERY: Duration = Duration::from_millis(500);
const ROOM_STEADY: f64 = 16.0;
/// So many times the room is there while servers say that they have some: what they say is seconds old.
const ROOM_OPEN: f64 = 4.0;
/// The part of the room that is for commands of high rank.
const ROOM_KEPT: f64 = 0.5;
/// Credits a second for the first command to a server that operators use again.
const AWAITED: f64 = 0.33;
const SWEEP: Duration = Duration::from_millis(20);
/// Seconds from a failed list call to the next, at most, and from the beginning of one that took longer
/// to fail.
const PAUSE_FIRST: f64 = 0.5;
const CALLS_APART: f64 = 4.0;
/// After one that discovery refused: it works in vain through what queues too long, so all copies
/// together make few.
const PAUSE_REFUSED: f64 = 8.0;
const REFUSED_EACH: f64 = 10.0;

/// So much of the goal may go into checks before a draw, where they alone tell what servers hold.
const LOOKS_COST: f64 = 0.012;
const LOOKS_MOST: f64 = 6.0;
/// So many are looked at first, warm ones before others; if each holds something, more, while checks last.
const FIRST_LOOKS: usize = 2;
const LOOKS_SAVED: f64 = 60.0;
const ROUNDS: u32 = 3;
/// A report as young as this needs no check, and a command waits no longer than this for its checks.
const FRESH: Duration = Duration::from_millis(4);
const LOOK_WAIT: Duration = Duration::from_millis(10);
/// As long counts a report that was fetched for a draw.
const YOUNG: Duration = Duration::from_millis(34);
/// Weights of reports fetched for the draw itself are raised to this power: they hardly age.
const LOOK_SHARPNESS: i32 = 12;
/// A command goes to a server only if it would be answered there within this share of the time left.
const IN_TIME: f64 = 0.75;

/// A reset within this time, on a connection idle for so long, is the idle connection's and not the server's.
const BREAK_WITHIN: Duration = Duration::from_millis(50);
const IDLE_LEAST: Duration = Duration::from_millis(300);
/// After so many breaks, own and told, commands get new connections; past the second no more is told.
const BREAKS: f64 = 1.5;
const BREAKS_TOLD: f64 = 4.0;
const BREAKS_SPAN: f64 = 6.0;
/// This share of the pure commands goes on over idle connections, as without them the end would not be seen.
const IDLE_TRIALS: f64 = 0.25;

/// A relay is lost after this many times what it would take by what the server was said to hold.
const LOST: f64 = 2.5;
/// At most this share is marked for one verb; one that is takes this part of a place in a window.
const VERB_MARKED_AT_MOST: f64 = 0.75;
const VERB_MARKED_TAKES: f64 = 0.3;
/// It gets no trial of the verb for so long, and then copies take turns so far apart.
const VERB_TRIAL: Duration = Duration::from_secs(5);
const TRIAL_EACH: f64 = 0.3;

/// Words to peers may cost so many points of the goal a command, each message counted as this long at least.
const WORDS_COST: f64 = 0.005;
const WORDS_LEAST: usize = 16;
const WORDS_SAVED: f64 = 3.0;
/// Servers that say they are less busy than this have room.
const BUSY: f64 = 0.95;
/// So many peers are told of traffic at a time; what such a word counts; the least part of the usual.
const TELL_TRAFFIC: usize = 4;
const TRAFFIC_GAIN: f64 = 0.03;
const PART_LEAST: f64 = 0.5;
/// Reports older than this say nothing of how busy servers are: who sends nothing hears nothing.
const BUSY_FOR: Duration = Duration::from_secs(2);

pub struct Policy<H: Host> {
    pub(crate) host: H,
    pub(crate) terms: Settings,
    pub(crate) now: Duration,
    seed: u64,
    draws: u64,
    pub(crate) fleet: Fleet,
    pub(crate) overrides: Overrides,
    pub(crate) zones: Zones,
    pub(crate) cmds: BTreeMap<Id, Cmd>,
    held: Vec<Id>,
    pub(crate) verbs: Vec<VerbRecord>,
    pub(crate) seen: Seen,
    looks: usize,
    spare_looks: f64,
    spare_relays: f64,
    asking: Asking,
    sharers: f64,
    choose_at: Duration,
    mean_out: Average,
    /// When this copy last swept, and by how much it was late of late: that time is no server's.
    swept: Duration,
    late: Duration,
    weights: Vec<(Slot, f64)>,
}

// Lifecycle

impl<H: Host> Policy<H> {
    pub fn start(host: H, terms: Settings, seed: u64, now: Duration) -> Self {
        let verbs = vec![VerbRecord::default(); terms.classes.len()];
        let tenants = vec![Rate::default(); terms.quotas.len()];
        let looks = (LOOKS_COST / terms.costs.health_check.max(1e-9)).min(LOOKS_MOST) as usize;
        let looks = if terms.health_checks_report_load && terms.capabilities.health_checks && looks > 1 {
            looks
        } else {
            0
        };
        let (lately, breaks) = (Rate::over(crate::book::LATELY), Rate::over(BREAKS_SPAN));
        let mut policy = Policy {
            host,
            terms,
            now,
            seed,
            draws: 0,
            fleet: Fleet::default(),
            overrides: Overrides::default(),
            zones: Zones::default(),
            cmds: BTreeMap::new(),
            held: Vec::new(),
            verbs,
            seen: Seen { tenants, lately, breaks, break_after: Duration::MAX, ..Seen::default() },
            looks,
            spare_looks: looks as f64,
            spare_relays: RELAY_BURST,
            asking: Asking::anew(now),
            sharers: 1.0,
            choose_at: now,
            mean_out: Average { mean: 0.0, at: now },
            swept: now,
            late: Duration::ZERO,
            weights: Vec::new(),
        };
        if policy.terms.polls_discovery {
            // Copies that start together must not all call the one list service at once.
            policy.asking.next = Some(now + Duration::from_secs_f64(policy.chance()));
        }
        policy.host.wake_after(policy.sweep_span());
        policy
    }

    fn sweep_span(&self) -> Duration {
        SWEEP.max(self.terms.timer_resolution)
    }

    pub fn timer_fired(&mut self, now: Duration) {
        self.now = now;
        let late = now.saturating_sub(self.swept + self.sweep_span());
        (self.swept, self.late) = (now, late.max(self.late / 2));
        self.host.wake_after(self.sweep_span());
        if self.asking.next.take_if(|at| *at <= now).is_some() {
            self.asking.began = now;
            self.host.poll_discovery();
        }
        self.watch_relays();
        self.check_servers();
        (self.choose_at <= now).then(|| self.choose_servers());
        self.place_held();
        self.thin_held(None);
        self.tell_words();
    }

    /// Asked after a sweep: when the next one is due that may decide anything, if nothing is told before.
    pub fn next_sweep(&self) -> Duration {
        let next = self.swept + self.sweep_span();
        if !self.cmds.is_empty() || self.zones.may_fall_silent(self.now) {
            return next;
        }
        let marks = self.fleet.marked().filter_map(|slot| self.fleet[slot].mark()).map(|mark| mark.next);
        let checks = marks.filter(|_| self.terms.capabilities.health_checks).min();
        let due = self.choose_at.min(checks.unwrap_or(Duration::MAX));
        let due = due.min(self.asking.next.unwrap_or(Duration::MAX));
        next + self.sweep_span() * self.sweeps_between(next, due)
    }

    /// Sweeps that were due before then were left out: they would have decided nothing. When the next is due.
    pub fn skip_sweeps(&mut self, until: Duration) -> Duration {
        let sweeps = self.sweeps_between(self.swept + self.sweep_span(), until);
        self.swept += self.sweep_span() * sweeps;
        self.late /= 1 << sweeps.min(31);
        self.swept + self.sweep_span()
    }

    /// Sweeps from `first` on that come before then.
    fn sweeps_between(&self, first: Duration, then: Duration) -> u32 {
        let span = self.sweep_span().as_nanos();
        then.saturating_sub(first).as_nanos().div_ceil(span).min(u128::from(u32::MAX >> 8)) as u32
    }

    fn tell_words(&mut self) {
        let cost = self.terms.replicas * self.seen.words.length().max(WORDS_LEAST) as f64
            / peer_messages::MAX_MESSAGE_BYTES as f64;
        self.seen.spare_words = self.seen.spare_words.min(WORDS_SAVED * cost);
        if self.seen.spare_words >= cost
            && let Some(words) = self.seen.words.take()
        {
            self.seen.spare_words -= cost;
            self.host.send_to_peers(None, &words);
        }
    }

    fn chance(&mut self) -> f64 {
        chance(self.seed, &mut self.draws)
    }

    // The list of servers

    pub fn endpoint_list_cached(&mut self, now: Duration, entries: &[ListedServer]) {
        self.now = now;
        self.fleet.only_listed(entries);
        self.overrides.only_listed(entries);
        self.take_entries(entries);
    }

    pub fn endpoint_list_received(&mut self, now: Duration, entries: &[ListedServer]) {
        self.asking = Asking::anew(now);
        self.endpoint_list_cached(now, entries);
    }

    pub fn endpoint_list_changed(&mut self, now: Duration, entries: &[ListedServer]) {
        (self.now, self.asking) = (now, Asking::anew(now));
        self.take_entries(entries);
    }

    fn take_entries(&mut self, entries: &[ListedServer]) {
        entries.iter().for_each(|entry| self.take_entry(entry));
        self.fleet.settle();
        self.choose_servers();
        self.place_held();
    }

    /// It was down, silent or broken.
    pub fn discovery_poll_failed(&mut self, now: Duration) {
        self.asking.refusals = 0;
        let longest = PAUSE_FIRST * f64::from(1u32 << self.asking.failures.min(3));
        self.call_again(now, longest, CALLS_APART);
    }

    /// Discovery kept it waiting, and then said that it has too many.
    pub fn discovery_poll_rejected(&mut self, now: Duration) {
        self.asking.refusals += 1;
        let longest = PAUSE_FIRST * f64::from(1u32 << self.asking.failures.min(4));
        let most = if self.asking.refusals < 2 { CALLS_APART } else { PAUSE_REFUSED };
        self.call_again(now, longest.max(self.terms.replicas / REFUSED_EACH), most);
    }

    /// Calls that all come again at once would fail again together.
    fn call_again(&mut self, now: Duration, longest: f64, most: f64) {
        self.now = now;
        // What it took to fail has spread them already, and must not add to the time in which a
        // change goes unheard.
        let lasted = now.saturating_sub(self.asking.began).as_secs_f64();
        let longest = longest.min(most - lasted).max(PAUSE_FIRST);
        self.asking.failures += 1;
        self.asking.next = Some(now + Duration::from_secs_f64(longest * (0.5 + 0.5 * self.chance())));
    }

    fn take_entry(&mut self, entry: &ListedServer) {
        if self.overrides.told(entry) || entry.lifecycle != Lifecycle::Ready {
            return self.fleet.leave(&entry.server);
        }
        let (first, now, verbs) = (self.chance(), self.now, self.terms.classes.len());
        let start = || Server::new(entry, verbs, first, BOUND_START, now);
        let (slot, new) = self.fleet.take(entry, self.terms.zone, start);
        let started = self.fleet[slot].started(entry, new);
        if let Some(at) = started.filter(|at| *at + self.terms.slow_start.duration > now || !new) {
            self.restarted(slot, at);
        }
    }

    /// Operators leave a server out, whatever the list says of it. `false`: no list ever named it.
    pub fn exclude_server(&mut self, now: Duration, id: &Id) -> bool {
        self.now = now;
        self.overrides.leave_out_if_known(id, self.fleet.listed(id));
        self.fleet.leave(id);
        self.take_entries(&[]);
        self.overrides.knows(id)
    }

    /// They use it again since then. It was restarted meanwhile, whether the list says so or not.
    pub fn include_server(&mut self, now: Duration, id: &Id, since: Duration) -> bool {
        self.now = now;
        if let Some(last) = self.overrides.use_again(id) {
            self.take_entries(&[last]);
            self.fleet.slot(id).into_iter().for_each(|slot| self.restarted(slot, since));
            self.fleet.await_first(id, AWAITED);
        }
        self.overrides.knows(id)
    }

    pub(crate) fn restarted(&mut self, slot: Slot, at: Duration) {
        self.fleet.take_mark(slot);
        self.fleet.set_report(slot, None);
        let server = &mut self.fleet[slot];
        server.forget();
        // It is cold, and many new ones with the usual bound would flood the tier behind them.
        (server.bound, server.cold_credit) = (BOUND_LEAST, server.first_credit);
        self.fleet.set_ramp(slot, at);
    }

    /// One of hundreds of copies meets each server too seldom for a run, a pace or a warm connection. So each
    /// works with a window on the ring of servers, from a place that its number gives; what is marked or cold
    /// takes no place in it, or part of one.
    fn choose_servers(&mut self) {
        self.choose_at = self.now + CHOOSE_EVERY;
        self.hold_left();
        let priced = self.terms.costs.connection > 0.0;
        let wanted =
            (self.request_rate() / SEEN_EACH).max(if priced { SERVERS_PRICED } else { SERVERS_LEAST });
        let (near, ready) = (self.near_in_use() as f64, self.fleet.ready() as f64);
        let from_far = (wanted * (1.0 - NEAR)).max(wanted - near).min(ready - near);
        let start = (f64::from(self.terms.ordinal) * GOLDEN).fract();
        let (cold, now) = (&self.terms.slow_start, self.now);
        let takes = |server: &Server| match server.mark() {
            Some(_) => 0.0,
            None if server.verbs.iter().any(|at| at.mark.is_some()) => VERB_MARKED_TAKES,
            None => server.ramp(cold, now),
        };
        self.fleet.choose(start, wanted - from_far, from_far, takes);
        let chosen = self.fleet.window().len() as f64;
        self.sharers = (self.terms.replicas * chosen / (ready.max(1.0) * self.part())).max(1.0);
        self.tell_traffic();
        // What one of many copies knows cannot correct it if all of them crowd the large servers: the less it
        // sees of the whole, the nearer the weights come to plain sizes.
        self.fleet.size_up(self.crowding());
    }

    pub fn request_rate(&self) -> f64 {
        self.verbs.iter().map(|record| record.asked.per_s(self.now)).sum()
    }

    fn part(&self) -> f64 {
        let part =
            |usual: f64| (self.request_rate() / usual.max(0.01)).clamp(PART_LEAST, self.terms.replicas);
        self.seen.usual_traffic.map_or(1.0, part)
    }

    fn tell_traffic(&mut self) {
        let peers = self.terms.replicas as u32;
        let tell = if self.terms.capabilities.peer_messages && peers > 1 { TELL_TRAFFIC } else { 0 };
        let words = peer_messages::traffic(self.request_rate());
        for _ in 0..tell {
            let on = 1 + (self.chance() * f64::from(peers - 1)) as u32;
            self.host.send_to_peers(Some((self.terms.ordinal + on) % peers), &words);
        }
    }

    fn crowding(&self) -> f64 {
        1.0 + f64::from(SHARPNESS - 1) * 4.0 / (3.0 + self.sharers)
    }

    // Commands

    pub fn peer_message_received(&mut self, now: Duration, _peer: u32, said: &[u8]) {
        self.now = now;
        let unheard = peer_messages::read(said, self);
        self.seen.unheard.add(unheard);
    }

    pub fn request_arrived(&mut self, now: Duration, arrival: RequestArrival) {
        self.now = now;
        let Some(verb) = self.terms.classes.get(arrival.class) else {
            return self.host.fail(&arrival.id);
        };
        let good_until =
            if arrival.body_incomplete { arrival.deadline } else { verb.useful_until(now, arrival.deadline) };
        self.verbs[arrival.class].asked.add(now, 1.0);
        self.spare_relays = (self.spare_relays + RELAY_SHARE).min(RELAY_BURST);
        self.seen.spare_words += WORDS_COST / self.terms.costs.peer_message.max(WORDS_COST);
        let beyond = self.beyond_quota(arrival.tenant);
        let size = self.verbs[arrival.class].size_of(arrival.declared_work);
        let cmd = Cmd {
            verb: arrival.class,
            good_until,
            coming: arrival.body_incomplete,
            beyond,
            size,
            ..Cmd::default()
        };
        self.cmds.insert(arrival.id.clone(), cmd);
        self.held.push(arrival.id.clone());
        self.spare_looks = (self.spare_looks + self.looks as f64).min(LOOKS_SAVED);
        self.look(&arrival.id);
        self.place_held();
        self.thin_held(Some(&arrival.id));
    }

    /// Its last byte has come. Until then the server it goes to had nothing to do for it.
    pub fn body_completed(&mut self, now: Duration, id: &Id, due: Duration) {
        self.now = now;
        let good_until =
            |verb: usize| self.terms.classes.get(verb).map_or(due, |verb| verb.useful_until(now, due));
        let begins = self.cmds.get_mut(id).and_then(|cmd| cmd.body_came(now, good_until));
        begins.into_iter().for_each(|(verb, slot, number)| self.begins(id, verb, slot, number));
    }

    fn begins(&mut self, id: &Id, verb: usize, slot: Slot, number: u32) {
        self.fleet.change_out(slot, 1);
        self.verbs[verb].watched.push_back((self.now, id.clone(), number));
    }

    /// An answer broke off after it had begun, and its command is over.
    pub fn response_interrupted(&mut self, now: Duration, id: &Id, verb: usize) {
        self.now = now;
        self.fleet.slot(id).into_iter().for_each(|slot| self.tell_verb(slot, verb, false));
    }

    pub fn client_disconnected(&mut self, now: Duration, id: &Id) {
        self.now = now;
        self.held.retain(|held| held != id);
        self.close(id);
    }

    pub fn response_started(&mut self, now: Duration, id: &Id) {
        self.now = now;
        self.cmds.get_mut(id).into_iter().for_each(|cmd| cmd.streaming = true);
    }

    /// Traffic past a tenant's share earns little: that part of it, by chance, ranks lower.
    fn beyond_quota(&mut self, tenant: usize) -> bool {
        let copies = self.terms.replicas / self.part();
        let known = self.seen.tenants.get_mut(tenant).zip(self.terms.quotas.get(tenant));
        let Some((rate, quota)) = known.filter(|_| self.terms.tier == 0) else { return false };
        rate.add(self.now, 1.0);
        let (asked, quota) = (rate.per_s(self.now) * copies, *quota);
        asked > quota && self.chance() > quota / asked
    }

    fn left(&self, cmd: &Cmd) -> f64 {
        let goal = self.terms.classes.get(cmd.verb).map(|verb| verb.latency_objective).filter(|_| cmd.coming);
        goal.unwrap_or(cmd.good_until.saturating_sub(self.now)).as_secs_f64()
    }

    fn expected(&self, verb: usize) -> f64 {
        self.verbs.get(verb).and_then(|record| record.latency.mean()).unwrap_or(0.0)
    }

    fn expected_of(&self, cmd: &Cmd) -> f64 {
        self.expected(cmd.verb) * cmd.size
    }

    /// What a command earns for each second that it keeps a place, more where its verb falls short.
    fn rank(&self, cmd: &Cmd) -> f64 {
        let Some(verb) = self.terms.classes.get(cmd.verb) else { return 0.0 };
        let answered = self.verbs[cmd.verb].answered_share(self.now);
        let short =
            1.0 + WORST_VERB * self.terms.objective.worst_class * (1.0 / answered.clamp(0.1, 1.0) - 1.0);
        let time = if self.terms.value_by_work { 1.0 } else { self.expected(cmd.verb).max(0.01) };
        verb.value * short * if cmd.beyond { self.terms.over_quota_value } else { 1.0 } / time
    }

    /// Where few commands come to a copy at a time, low ranks leave a part of the room to high ones.
    fn part_of_room(&self, cmd: &Cmd) -> f64 {
        let ranks = (0..self.verbs.len()).map(|verb| self.rank(&Cmd { verb, ..Cmd::default() }));
        let low = 1.0 - (self.rank(cmd) / ranks.fold(1e-9, f64::max)).min(1.0);
        if self.terms.capabilities.peer_messages { 1.0 - ROOM_KEPT * low } else { 1.0 }
    }

    fn place_held(&mut self) {
        let rank = |id: &Id| Some((self.rank(self.cmds.get(id)?), id.clone()));
        let mut ranked: Vec<(f64, Id)> = self.held.iter().filter_map(rank).collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        self.held.clear();
        for (_, id) in ranked {
            if !self.place(&id) {
                self.held.push(id);
            }
        }
    }

    /// Gives up at once what would hardly be answered in time: waiting in vain costs more than a quick word.
    fn thin_held(&mut self, newcomer: Option<&Id>) {
        let (rate, mut ahead) = (self.turnover(), 0.0);
        // Operators took out the last server: a call back is minutes off.
        let nobody = self.fleet.ready() == 0 && self.overrides.any();
        for id in self.held.clone() {
            let Some(cmd) = self.cmds.get(&id) else { continue };
            // The next sweep may come too late for a final answer.
            let ends = self.left(cmd) <= 2.0 * self.sweep_span().as_secs_f64();
            if self.looking(cmd) && !ends {
                continue;
            }
            let part = if newcomer == Some(&id) { HOLD } else { 2.0 * HOLD };
            let most = part * (self.left(cmd) - self.expected_of(cmd));
            if ends || nobody || (ahead + 1.0) / rate > most {
                self.held.retain(|held| *held != id);
                self.give_up(&id);
            } else {
                ahead += 1.0;
            }
        }
    }

    fn turnover(&self) -> f64 {
        let goals = self.terms.classes.iter().map(|verb| verb.latency_objective.as_secs_f64());
        let at_first = self.room() / (HOLD * goals.fold(f64::MAX, f64::min).max(1e-3));
        self.seen.turnover(self.now, (self.room() >= ROOM_STEADY).then_some(at_first))
    }

    fn place(&mut self, id: &Id) -> bool {
        let Some(cmd) = self.cmds.get(id) else { return false };
        let hopeless = self.left(cmd) < HOPELESS * self.expected_of(cmd);
        if hopeless || self.looking(cmd) {
            return false;
        }
        let mut server = self.draw(id);
        let held = |policy: &Self, slot: Slot| policy.fleet[slot].told(policy.now, YOUNG);
        while server.and_then(|slot| held(self, slot)).is_none_or(|held| held >= 1.0) && self.look(id) {
            if self.cmds.get(id).is_some_and(|cmd| self.looking(cmd)) {
                return false;
            }
            server = self.draw(id);
        }
        let Some(server) = server else { return false };
        self.send(id, server);
        true
    }

    fn send(&mut self, id: &Id, to: Slot) {
        let idle = self.renew_idle(id, to);
        let Some(cmd) = self.cmds.get_mut(id) else { return };
        let server = &mut self.fleet[to];
        let uncredited = server.ramp_from().is_some() && server.cold_credit < 1.0;
        (server.used, server.awaited) = (Some(self.now), 0.0);
        let ahead = server.report().map(|(figure, _)| figure + server.sends).filter(|_| self.looks > 0);
        let (number, server_id) = (cmd.relays.len() as u32, server.id.clone());
        (cmd.among, cmd.rounds) = (Vec::new(), 0);
        cmd.relays.push(Relay::new(server, to, self.now, idle, ahead));
        server.sends += 1.0;
        server.cold_credit = (server.cold_credit - 1.0).max(0.0);
        server.mark_mut().into_iter().for_each(|mark| mark.trying = true);
        if let Some(mark) = server.verbs.get_mut(cmd.verb).and_then(|at| at.mark.as_mut()) {
            mark.next = self.now + VERB_TRIAL;
        }
        let (verb, coming, not_past) = (cmd.verb, cmd.coming, cmd.good_until);
        if !coming {
            self.begins(id, verb, to, number);
        }
        self.seen.sent.add(self.now, 1.0);
        self.zones.sent(self.fleet[to].zone, self.now);
        if uncredited {
            self.host.log(&Event::SlowStartViolated(server_id.clone()));
        }
        self.host.start_attempt(id, &server_id, not_past);
    }

    fn repeats(&self, cmd: &Cmd) -> RetrySafety {
        self.terms.classes.get(cmd.verb).map_or(RetrySafety::NonIdempotent, |verb| verb.retry_safety)
    }

    fn give_up(&mut self, id: &Id) {
        let Some(cmd) = self.cmds.get(id).filter(|cmd| !cmd.finished) else { return };
        let harmless = matches!(
            self.repeats(cmd),
            RetrySafety::Idempotent | RetrySafety::IdempotencyKeyed(DedupScope::All)
        );
        if harmless || !cmd.may_have_run() {
            let goal = self.terms.classes.get(cmd.verb).map_or(Duration::ZERO, |verb| verb.latency_objective);
            self.host.reject(
                id,
                self.terms.capabilities.max_retry_after.map(|most| most.min(goal.mul_f64(COME_BACK))),
            );
        } else {
            self.host.fail(id);
        }
        self.close(id);
    }

    /// Nothing more is owed: relays still out are called off, and the command is kept until they have ended.
    fn close(&mut self, id: &Id) {
        let Some(cmd) = self.cmds.get_mut(id) else { return };
        cmd.finished = true;
        for (number, relay) in (0u32..).zip(&cmd.relays) {
            if relay.fate == Fate::Out && self.terms.capabilities.cancellation && !cmd.streaming {
                self.host.cancel_attempt(id, number);
            }
        }
        if cmd.out() == 0 {
            self.cmds.remove(id);
        }
    }

    fn may_relay(&self, cmd: &Cmd, zone: u32, cell: u32) -> bool {
        let over = cmd.finished || cmd.streaming || cmd.spent || cmd.good_until <= self.now;
        let most = self.terms.capabilities.max_attempts as usize;
        if over || cmd.relays.len() >= most || (cmd.out() > 0 && !self.terms.capabilities.hedging) {
            return false;
        }
        let memory = self.terms.classes.get(cmd.verb).map_or(Duration::ZERO, |verb| verb.dedup_window);
        match self.repeats(cmd) {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => !cmd.may_have_run(),
            RetrySafety::IdempotencyKeyed(group) => {
                cmd.relays.iter().filter(|r| r.fate != Fate::NeverRan).all(|relay| {
                    group.covers((relay.zone, relay.cell), (zone, cell))
                        && self.now + self.terms.timer_resolution < relay.sent + memory
                })
            }
        }
    }

    /// For how long the connection was idle. Where such ones break unseen it is let go of.
    fn renew_idle(&mut self, id: &Id, to: Slot) -> Duration {
        let server = &self.fleet[to];
        let used = server.used.filter(|_| server.out() == 0);
        let idle = used.map_or(Duration::ZERO, |at| self.now.saturating_sub(at));
        let breaks =
            self.seen.breaks.count(self.now) >= BREAKS && idle.mul_f64(1.25) >= self.seen.break_after;
        let pure = self.cmds.get(id).is_some_and(|cmd| self.repeats(cmd) == RetrySafety::Idempotent);
        if !breaks || (pure && self.chance() < IDLE_TRIALS) {
            return idle;
        }
        self.host.close_idle_connections(&self.fleet[to].id);
        Duration::ZERO
    }
}

impl<H: Host> PeerMessageHandler for Policy<H> {
    fn idle_broke(&mut self, idle: Duration) {
        let none = self.seen.breaks.count(self.now) < 0.3;
        self.seen.break_after = if none { idle } else { self.seen.break_after.min(idle) };
        self.seen.breaks.add(self.now, 1.0);
    }

    fn verb_went(&mut self, server: u32, verb: usize, answered: bool) -> bool {
        self.fleet.named(server).map(|slot| self.count_verb(slot, verb, answered)).is_some()
    }

    fn traffic(&mut self, per_s: f64) {
        let usual = self.seen.usual_traffic.get_or_insert(per_s);
        *usual += TRAFFIC_GAIN * (per_s - *usual);
    }
}

// Outcomes

impl<H: Host> Policy<H> {
    pub fn attempt_ended(&mut self, now: Duration, ended: AttemptEnd) {
        self.now = now;
        let Some(cmd) = self.cmds.get_mut(&ended.request) else { return };
        let relay = cmd.relays.get_mut(ended.attempt as usize).filter(|relay| relay.fate == Fate::Out);
        let Some(relay) = relay else { return };
        relay.fate = if ended.outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        let (idle, reset) = (relay.idle, ended.outcome == Outcome::Reset);
        let broke = reset && idle >= IDLE_LEAST && ended.latency <= BREAK_WITHIN;
        let (verb, overdue, slot, sent, zone) = (cmd.verb, relay.overdue, relay.slot, relay.sent, relay.zone);
        let (size, ahead, coming) = (cmd.size, relay.ahead, cmd.coming);
        (cmd.finished, cmd.spent) = (cmd.finished || ended.request_closed, cmd.spent || ended.body_consumed);
        let in_time = now <= cmd.good_until;
        self.zones.ended(zone, sent, now, ended.outcome);
        self.seen.ended.add(now, 1.0);
        self.seen.lately.add(now, 1.0);
        self.average_out();
        self.take_report(slot, ended.load);
        let (usual, answered) = (self.expected(verb), ended.outcome == Outcome::Ok);
        if !coming {
            self.fleet.change_out(slot, -1);
        }
        let server = &mut self.fleet[slot];
        server.ended(now, sent, overdue);
        // What is too slow to answer in time would otherwise be known by its quickest answers only.
        if usual > 0.0 && (answered || overdue || ended.outcome == Outcome::Timeout) {
            let pace = ended.latency.as_secs_f64() / (usual * size);
            server.learn(if answered { pace } else { pace.max(1.0) });
        }
        if answered {
            if let Some(ahead) = ahead {
                self.seen.turn.add(ended.latency.as_secs_f64() / (size * (1.0 + ahead)), Histogram::FULL);
            }
            self.count_answer(slot, verb, ended.latency, size, in_time);
        } else if broke {
            if self.terms.capabilities.peer_messages && self.seen.breaks.count(now) < BREAKS_TOLD {
                self.seen.words.idle_broke(idle);
            }
            self.idle_broke(idle);
            self.spare_relays += 1.0;
        } else {
            self.count_failure(slot, verb, ended.outcome, overdue);
        }
        self.go_on(&ended.request);
        self.place_held();
    }

    fn go_on(&mut self, id: &Id) {
        let Some(cmd) = self.cmds.get(id) else { return };
        if cmd.finished {
            self.held.retain(|held| held != id);
            self.close(id);
        } else if cmd.out() == 0 {
            let price = if cmd.may_have_run() { 1.0 } else { 0.0 };
            let may = self.left(cmd) > self.expected_of(cmd) && self.spare_relays >= price;
            if !may || (self.looks == 0 && !self.place(id)) {
                return self.give_up(id);
            }
            self.spare_relays -= price;
            if self.looks > 0 && !self.look(id) {
                self.give_up(id);
            } else if self.looks > 0 {
                self.held.push(id.clone());
            }
        }
    }

    fn take_report(&mut self, slot: Slot, load: LoadReport) {
        let figure = if self.looks > 0 { load.in_flight } else { load.queued.or(load.in_flight) };
        self.fleet.reported(slot, load.utilization, figure, self.now);
    }

    fn count_answer(&mut self, slot: Slot, verb: usize, latency: Duration, size: f64, in_time: bool) {
        let (now, sharers, mean_out, room) = (self.now, self.sharers, self.mean_out.mean, self.room());
        let roomy = self.says_room();
        let server = &mut self.fleet[slot];
        let Some(record) = self.verbs.get_mut(verb) else { return };
        let Some(goal) = self.terms.classes.get(verb).map(|verb| verb.latency_objective.as_secs_f64()) else {
            return;
        };
        let took = latency.as_secs_f64();
        // A bound that rises while it is not reached would let a later jam in.
        let here = f64::from(server.out() + 1) >= (server.bound / sharers).max(2.0);
        let used = here || mean_out + 1.0 >= 0.8 * room;
        if let Some(strain) = record.strain_of(took / size) {
            self.seen.strain.add(strain, 64);
        }
        // Where one zone is crowded and another not, only this server's answers tell which it is. Of heavy
        // commands one in twenty is late on an idle server: there servers' own word tells.
        let strain = match roomy {
            Some(true) => 1.0,
            Some(false) => STRAINED + 0.1,
            None => self.seen.strain.mean().unwrap_or(1.0) * server.slowness,
        };
        in_time.then(|| record.answered.add(now, 1.0));
        let failing = server.verbs.get(verb).is_some_and(|at| at.run > 0 || at.mark.is_some());
        if (took > goal || !in_time) && roomy != Some(true) {
            self.cut_bound(slot, 1.0);
        } else if strain > STRAINED && server.bound > BOUND_LEAST {
            server.bound = (server.bound * (-STRAIN_CUT * sharers).exp()).max(BOUND_LEAST);
        } else if used && strain < CALM && roomy.is_none() {
            server.bound = (server.bound + BOUND_RISE * sharers / server.bound).min(BOUND_MOST);
        }
        if failing {
            self.tell_verb(slot, verb, true);
        }
        self.pass(slot);
    }

    fn cut_bound(&mut self, slot: Slot, weight: f64) {
        let server = &mut self.fleet[slot];
        server.bound = (server.bound * (-weight * BOUND_CUT * self.sharers).exp()).max(1.0);
    }

    fn count_failure(&mut self, slot: Slot, verb: usize, outcome: Outcome, counted: bool) {
        // Behind a crowded next tier errors are all that is seen of it, but say less; so does what
        // never comes while all others come as in calm times: it is lost, not late.
        let calm = self.seen.strain.mean().is_some_and(|strain| strain < CALM);
        match outcome {
            Outcome::NotSent | Outcome::Cancelled => return,
            Outcome::Timeout if calm => self.cut_bound(slot, ERROR_WEIGHS),
            Outcome::Timeout | Outcome::Overloaded => self.cut_bound(slot, 1.0),
            Outcome::Error | Outcome::Reset => self.cut_bound(slot, ERROR_WEIGHS),
            _ => {}
        }
        if outcome == Outcome::ConnectFailed && self.terms.capabilities.peer_messages {
            self.missed(slot);
        } else if !counted && (outcome != Outcome::Timeout || self.looks == 0) {
            // Of a time-out after a look: by what it held, the server could not have answered yet.
            self.tell_verb(slot, verb, false);
        }
    }

    /// Other copies hear of it too, where they may: each alone sees too few of a verb at a server.
    fn tell_verb(&mut self, slot: Slot, verb: usize, answered: bool) {
        if self.terms.capabilities.peer_messages {
            self.seen.words.verb_went(self.fleet[slot].name(), verb, answered);
        }
        self.count_verb(slot, verb, answered);
    }

    fn count_verb(&mut self, slot: Slot, verb: usize, answered: bool) {
        if answered { self.answered_again(slot, verb) } else { self.lengthen_run(slot, verb) }
    }

    /// The run is kept by verb: what a server answers of one verb must not hide that it fails another.
    fn lengthen_run(&mut self, slot: Slot, verb: usize) {
        if self.fleet[slot].mark().is_some() {
            return self.fleet.set_mark(slot, self.new_mark(slot));
        }
        let Some(at) = self.fleet[slot].verbs.get_mut(verb) else { return };
        at.run += if self.terms.capabilities.peer_messages { 2 } else { 1 };
        if !self.terms.capabilities.peer_messages && at.run >= MARK_AFTER {
            self.mark(slot);
        } else if at.run >= 2 * MARK_AFTER {
            // A server that is slow for all verbs alike shows as held commands, and loses none.
            let verbs = &self.fleet[slot].verbs;
            let others = verbs.iter().enumerate().filter(|(other, _)| *other != verb);
            if verbs.len() == 1 || others.map(|(_, at)| at.run).min() < Some(MARK_AFTER) {
                self.mark_verb(slot, verb);
            }
        }
    }

    /// For this verb alone: without what fails one verb and serves the others, the rest could not carry all.
    fn mark_verb(&mut self, slot: Slot, verb: usize) {
        let count = self.fleet.marked_for(verb) as f64;
        let known = self.fleet[slot].verbs[verb].mark.is_some();
        if !known && count + 1.0 > VERB_MARKED_AT_MOST * self.fleet.ready() as f64 {
            return;
        }
        let next = self.now + VERB_TRIAL + Duration::from_secs_f64(self.chance() * TRIAL_EACH * self.sharers);
        self.fleet[slot].verbs[verb].mark = Some(Mark { passes: 0, next, trying: false });
    }

    fn answered_again(&mut self, slot: Slot, verb: usize) {
        let Some(at) = self.fleet[slot].verbs.get_mut(verb) else { return };
        // Losses by chance come between answers: of many copies' words an answer makes good half a failure.
        at.run = if self.terms.capabilities.peer_messages { at.run.saturating_sub(1) } else { 0 };
        if let Some(mark) = &mut at.mark {
            mark.passes += 1;
            if mark.passes >= RISE {
                (at.mark, at.run) = (None, 0);
            }
        }
    }

    fn missed(&mut self, slot: Slot) {
        let server = &mut self.fleet[slot];
        (server.absent, server.missed, server.used) = (Some(self.now), server.missed + 1, None);
        (server.missed >= MISSES && server.mark().is_none()).then(|| self.mark(slot));
    }

    /// Relays out far longer than measured count as failures, or what answers nothing would keep its share.
    fn watch_relays(&mut self) {
        let mut late: Vec<(Id, usize, Slot, u32)> = Vec::new();
        let turn = self.seen.turn.average().filter(|_| self.looks > 0 && self.seen.turn.total >= 8);
        for (verb, record) in self.verbs.iter_mut().enumerate() {
            let usual = record.latency.quantile(0.9);
            record.watched.retain(|(sent, id, number)| {
                let cmd = self.cmds.get_mut(id).filter(|cmd| !cmd.streaming);
                let size = cmd.as_ref().map_or(1.0, |cmd| cmd.size);
                let relay = cmd.and_then(|cmd| cmd.relays.get_mut(*number as usize));
                // A later command may have the id of one that is over.
                let out = relay.filter(|r| r.fate == Fate::Out && r.sent == *sent);
                let Some(relay) = out else { return false };
                // A copy that was itself held up has not read the answers that came meanwhile.
                let since = self.now.saturating_sub(*sent + self.late).as_secs_f64();
                let takes = match (relay.ahead, turn) {
                    (Some(ahead), Some(turn)) => Some(LOST * turn * (size + ahead)),
                    _ => usual.map(|usual| OVERDUE * usual),
                };
                relay.overdue = takes.is_some_and(|takes| since > takes);
                if relay.overdue {
                    late.push((id.clone(), verb, relay.slot, *number));
                }
                !relay.overdue
            });
        }
        late.sort();
        for (id, verb, slot, number) in late {
            self.fleet[slot].overdue += 1;
            self.tell_verb(slot, verb, false);
            self.second_relay(&id, number);
        }
    }

    fn second_relay(&mut self, id: &Id, number: u32) {
        let Some(cmd) = self.cmds.get(id) else { return };
        if cmd.finished || self.spare_relays < 1.0 || self.left(cmd) < 1.5 * self.expected_of(cmd) {
            return;
        }
        let (parallel, pure) =
            (self.terms.capabilities.hedging, self.repeats(cmd) == RetrySafety::Idempotent);
        let free = |server: &Server| server.mark().is_none() && !cmd.met(&server.id);
        let elsewhere = self.fleet.window().iter().any(|slot| free(&self.fleet[*slot]));
        if !parallel && elsewhere && self.terms.capabilities.cancellation && pure {
            self.host.cancel_attempt(id, number);
        } else if parallel && cmd.out() == 1 && self.place(id) {
            self.spare_relays -= 1.0;
        }
    }

    // Marks, checks and the ramp

    fn mark(&mut self, slot: Slot) {
        let (ready, clear) = (self.in_use() as f64, self.fleet.clear() as f64);
        // When most of the fleet fails, the cause is load or shared, and the rest could not carry all.
        if ready - clear + 1.0 > ready * MARKED_AT_MOST {
            return;
        }
        self.fleet.set_mark(slot, self.new_mark(slot));
        let ejected = self.fleet[slot].id.clone();
        self.host.log(&Event::Ejected(ejected));
    }

    /// In a zone that the fleet has left it is looked at only when this copy has the turn.
    pub(crate) fn new_mark(&self, slot: Slot) -> Mark {
        let wait = if self.terms.capabilities.health_checks { CHECK_EVERY } else { TRIAL_AFTER };
        let next = if self.zones.left(self.fleet[slot].zone) { Duration::MAX } else { self.now + wait };
        Mark { passes: 0, next, trying: false }
    }

    fn pass(&mut self, slot: Slot) {
        let (now, held) = (self.now, self.zones.left(self.fleet[slot].zone));
        if held && self.fleet[slot].mark().is_some() {
            // That it answers is told to the fleet, which takes the zone back or not.
            return self.fleet.set_mark(slot, self.new_mark(slot));
        }
        let wait = if self.terms.capabilities.health_checks { CHECK_EVERY } else { Duration::ZERO };
        let Some(mark) = self.fleet[slot].mark_mut() else { return };
        mark.passes += 1;
        (mark.trying, mark.next) = (false, now + wait);
        if mark.passes >= RISE {
            self.restarted(slot, now);
            let returned = self.fleet[slot].id.clone();
            self.host.log(&Event::Returned(returned));
        }
    }

    /// Its report counts only where each draw fetches its own: else it would be the last for long.
    pub fn health_check_ended(&mut self, now: Duration, outcome: Outcome, id: &Id, load: LoadReport) {
        self.now = now;
        let Some(slot) = self.fleet.slot(id) else { return };
        self.fleet[slot].checking = false;
        self.zones.checked(self.fleet[slot].zone, now, outcome);
        if self.looks > 0 {
            self.looked(slot, outcome, load);
        }
        if outcome == Outcome::Ok {
            self.pass(slot);
        } else if self.fleet[slot].mark().is_some() {
            self.fleet.set_mark(slot, self.new_mark(slot));
        }
    }

    fn check_servers(&mut self) {
        let checks = self.terms.capabilities.health_checks;
        for slot in self.fleet.marked().collect::<Vec<_>>() {
            let server = &mut self.fleet[slot];
            let due = checks && server.mark().is_some_and(|mark| mark.next <= self.now);
            if due && server.ready() && !server.checking {
                server.checking = true;
                self.host.check_health(&server.id);
            }
        }
    }

    /// Rule 4: while a server ramps, a copy sends it at most the ramp's share of what others get on average.
    fn credit_cold(&mut self) {
        let chosen = self.fleet.window().len().max(1) as f64;
        let others = (self.terms.max_live_replicas / self.terms.replicas).max(1.0);
        // In a surge each takes itself for the largest: the floors of all together are those of even
        // parts at most.
        let evenly = self.terms.replicas * chosen / (self.fleet.ready() as f64).max(1.0);
        let usual = (self.seen.sent.per_s(self.now) / chosen).max(4.0 / (self.sharers.max(evenly) * others));
        let (cold, now) = (&self.terms.slow_start, self.now);
        self.fleet.each_ramping(now, |server| {
            let since = now.saturating_sub(server.credited).as_secs_f64().min(1.0);
            server.credited = now;
            let share = server.ramp(cold, now);
            let rate = (usual * share).max(server.awaited);
            server.cold_credit = (server.cold_credit + since * rate).min(1.5);
            share >= 1.0
        });
    }

    // Looking before the draw

    /// Asks anew what some servers hold: one of hundreds of copies hears too little of any.
    fn look(&mut self, id: &Id) -> bool {
        let may = |cmd: &&Cmd| self.looks > 0 && cmd.rounds < ROUNDS;
        let Some(cmd) = self.cmds.get(id).filter(may) else { return false };
        let (repeats, now) = (self.repeats(cmd), self.now);
        let new = self.fleet.window().iter().copied().filter(|slot| !cmd.among.contains(slot));
        let mut among: Vec<Slot> = new.filter(|s| self.fits(cmd, repeats, &self.fleet[*s], false)).collect();
        let most = if cmd.rounds == 0 { FIRST_LOOKS } else { self.looks };
        let wanted = most.min(self.spare_looks as usize).min(among.len());
        shuffle(&mut among, || self.chance());
        among.sort_by_key(|slot| !self.fleet[*slot].warm(now, self.terms.idle_connection_timeout));
        among.truncate(wanted);
        let stale = |server: &Server| server.report().is_none_or(|(_, at)| at + FRESH < now);
        let looks: Vec<Slot> = among.iter().filter(|slot| stale(&self.fleet[**slot])).copied().collect();
        for slot in &looks {
            let server = &mut self.fleet[*slot];
            if !std::mem::replace(&mut server.checking, true) {
                self.spare_looks -= 1.0;
                self.host.check_health(&server.id);
            }
        }
        let Some(cmd) = self.cmds.get_mut(id) else { return false };
        let found = !among.is_empty();
        cmd.among.extend(among);
        (cmd.looks, cmd.look_until, cmd.rounds) = (looks, now + LOOK_WAIT, cmd.rounds + 1);
        found
    }

    fn looking(&self, cmd: &Cmd) -> bool {
        !cmd.looks.is_empty() && self.now < cmd.look_until
    }

    fn looked(&mut self, slot: Slot, outcome: Outcome, load: LoadReport) {
        let server = &mut self.fleet[slot];
        if outcome == Outcome::Ok {
            (server.absent, server.missed) = (None, 0);
            self.take_report(slot, load);
        } else {
            self.missed(slot);
        }
        let open = |id: &Id| self.cmds.get_mut(id).map(|cmd| cmd.looks.retain(|look| *look != slot));
        self.held.iter().map(open).for_each(drop);
        self.place_held();
        self.thin_held(None);
    }

    /// Seconds to an answer by what the server is said to hold; none where no report for this draw says it.
    fn takes(&self, cmd: &Cmd, server: &Server) -> Option<f64> {
        let held = server.told(self.now, YOUNG)?;
        let goal = self.terms.classes.get(cmd.verb).map_or(0.0, |verb| verb.latency_objective.as_secs_f64());
        let turn = self.seen.turn.average().unwrap_or(goal / BOUND_START);
        let slow = server.slowness.max(1.0) / server.ramp(&self.terms.slow_start, self.now);
        Some(turn * slow * (held + cmd.size))
    }

    fn in_time(&self, cmd: &Cmd, server: &Server) -> bool {
        let Some(takes) = self.takes(cmd, server) else { return true };
        let part = if server.told(self.now, YOUNG) < Some(1.0) { 1.0 } else { IN_TIME };
        takes <= part * self.left(cmd)
    }

    // The draw

    /// Its part of all bounds: of one server's it can be less than a relay, and each copy would have one out.
    fn room(&self) -> f64 {
        (self.fleet.bounds() / self.sharers).max(0.1)
    }

    /// What servers themselves say, where they do: it goes before an even part of what all may have out.
    fn says_room(&self) -> Option<bool> {
        self.fleet.busy(self.now, BUSY_FOR, DECAY).map(|busy| busy < BUSY)
    }

    /// Held to at every moment, a room of few relays would turn away chance clusters that all have room for.
    fn average_out(&mut self) {
        let span = 0.1 * (ROOM_STEADY / self.room() - 1.0);
        self.mean_out.bring(self.now, self.fleet.clear_out() as f64, span);
    }

    fn draw(&mut self, id: &Id) -> Option<Slot> {
        self.credit_cold();
        self.average_out();
        let drawn = self.chance();
        let cmd = self.cmds.get(id)?;
        let open = if self.says_room() == Some(true) { ROOM_OPEN } else { 1.0 };
        if self.looks == 0 && self.mean_out.mean >= self.room() * self.part_of_room(cmd) * open {
            return None;
        }
        let repeats = self.repeats(cmd);
        let first = cmd.relays.iter().find(|relay| relay.fate != Fate::NeverRan);
        let first = first.filter(|_| repeats == RetrySafety::IdempotencyKeyed(DedupScope::Cell));
        let power = self.crowding();
        let bound_to =
            first.map(|at| (at.zone, at.cell)).map(|(zone, cell)| self.fleet.sized_cell(zone, cell, power));
        let cmd = self.cmds.get(id)?;
        let mut weights = std::mem::take(&mut self.weights);
        weights.clear();
        let (all_marked, report) = (self.fleet.clear() == 0, self.fleet.mean_report());
        let among = if cmd.among.is_empty() { self.fleet.window() } else { &cmd.among };
        let any_told =
            self.looks > 0 && among.iter().any(|slot| self.fleet[*slot].told(self.now, YOUNG).is_some());
        for slot in bound_to.as_deref().unwrap_or(among) {
            let server = &self.fleet[*slot];
            if (!any_told || server.told(self.now, YOUNG).is_some())
                && self.fits(cmd, repeats, server, all_marked)
            {
                weights.push((*slot, self.weight(cmd, server, report)));
            }
        }
        self.weights = weights;
        // By its share alone a copy with few commands would leave it unused for long.
        let awaited = self.weights.iter().find(|(slot, _)| self.fleet[*slot].awaited > 0.0);
        awaited.map(|(slot, _)| *slot).or_else(|| drawn_from(&self.weights, drawn))
    }

    fn fits(&self, cmd: &Cmd, repeats: RetrySafety, server: &Server, all_marked: bool) -> bool {
        let ramps = server.ramp_from().is_some();
        let within = server.chosen() || !ramps;
        let cold = ramps && server.cold_credit < 1.0;
        let of_verb = server.verbs.get(cmd.verb).and_then(|at| at.mark.as_ref());
        let barred = cold || cmd.met(&server.id) || of_verb.is_some_and(|mark| mark.next > self.now);
        if !server.ready() || !within || barred || !self.may_relay(cmd, server.zone, server.cell) {
            return false;
        }
        match server.mark() {
            Some(mark) if !all_marked => {
                let trial = !self.terms.capabilities.health_checks && !mark.trying && mark.next <= self.now;
                trial && repeats == RetrySafety::Idempotent
            }
            _ if server.absent.is_some_and(|at| self.now < at + CHECK_EVERY) => false,
            _ if self.looks > 0 => self.in_time(cmd, server),
            _ if self.says_room() == Some(true) => true,
            _ => f64::from(server.out()) < (server.bound / self.sharers).max(1.0),
        }
    }

    fn weight(&self, cmd: &Cmd, server: &Server, mean: f64) -> f64 {
        let far = if server.zone == self.terms.zone { 0.0 } else { self.terms.costs.cross_zone };
        let price = (-far * CROSSING_AVERSION).exp() * self.zones.weight(server);
        if let Some(takes) = self.takes(cmd, server) {
            return price * takes.max(1e-6).powi(-LOOK_SHARPNESS);
        }
        let (listed, pace) = (server.listed, 1.0 / server.slowness);
        let size = listed * pace;
        let own = f64::from(server.out()) * self.sharers;
        let figure = match server.report() {
            Some((figure, at)) => {
                let age = self.now.saturating_sub(at).as_secs_f64();
                mean + (figure + server.sends * self.sharers - mean) * (-age / DECAY).exp()
            }
            None => mean + own,
        };
        // A report that hides this copy's own, or whose server is silent, must not age to an even share.
        let figure = figure.max(own) + f64::from(server.overdue) * self.sharers;
        let by_size = server.by_list * pace.powi(SHARPNESS);
        price * server.ramp(&self.terms.slow_start, self.now) * by_size
            / (1.0 + figure / size).powi(SHARPNESS)
    }
}
