//! An emulated world in virtual time: what happens next, one thing after another, and the pickers that hear of it.
//! It owns the loop and is the only place that calls a picker. There is no clock, no socket and no thread in it:
//! the same plan, seed and picker give the same result, byte for byte.

mod agenda;
mod clients;
mod dice;
mod faults;
mod ground;
mod hand;
mod happening;
mod serving;
mod source;
mod window;

pub use dice::{exponential, weighted_index, work_multiple};
pub use hand::HostHandle;

use crate::cold::ColdPeaks;
use crate::picker::LoadBalancer;
use crate::plan::{RetrySafety, Scenario, to_duration};
use crate::referee::Breach;
use crate::tally::{EjectionNote, Second, Totals};
use ground::Ground;
use happening::{Alive, Happening, Leg};
use landingspread_decisions::host::{AttemptEnd, LoadReport, Outcome, RequestArrival};
use landingspread_decisions::settings::{
    self, Capabilities, Costs, DedupScope, ObjectiveWeights, Settings, SlowStart,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Makes a copy's picker: from its hand, its terms, a seed, and the time.
pub type Make<'a> = dyn Fn(HostHandle, Settings, u64, Duration) -> Box<dyn LoadBalancer> + 'a;

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Run {
    pub totals: Totals,
    pub seconds: Vec<Second>,
    pub ejections: Vec<EjectionNote>,
    /// Told one by one up to a bound; `breach_counts` has them all, by rule.
    pub breaches: Vec<Breach>,
    pub breach_counts: [u64; 4],
    /// What cold servers were brought by all copies together.
    pub cold_peaks: ColdPeaks,
    /// Things that happened.
    pub events: u64,
    /// The most that was ever in the agenda: the world's size.
    pub max_queued_events: usize,
}

/// Plays a plan with one seed. After the clients stop, what is open is let end.
pub fn simulate(plan: &Rc<Scenario>, seed: u64, make: &Make) -> Run {
    let mut world = World::new(plan.clone(), seed, make);
    let end = to_duration(plan.seconds) + world.longest_limit() + Duration::from_secs(1);
    let mut most = 0;
    loop {
        let next = world.ground.borrow_mut().agenda.next();
        let Some((at, what)) = next.filter(|(at, _)| *at <= end) else { break };
        {
            let ground = &mut *world.ground.borrow_mut();
            debug_assert!(at >= ground.now, "time goes forward");
            (ground.now, ground.steps) = (at, ground.steps + 1);
            most = most.max(ground.agenda.len());
        }
        world.happen(at, what);
    }
    world.close(most)
}

struct World<'a> {
    ground: Rc<RefCell<Ground>>,
    pickers: Vec<Option<Box<dyn LoadBalancer>>>,
    make: &'a Make<'a>,
    seed: u64,
}

impl<'a> World<'a> {
    fn new(plan: Rc<Scenario>, seed: u64, make: &'a Make<'a>) -> World<'a> {
        let ground = Rc::new(RefCell::new(Ground::new(plan, seed)));
        let mut world = World { ground, pickers: Vec::new(), make, seed };
        let copies = world.ground.borrow().copies.len();
        for copy in 0..copies {
            world.copy_up(copy);
        }
        let mut ground = world.ground.borrow_mut();
        ground.put_faults();
        ground.put(Duration::ZERO, Happening::Arrival);
        ground.put(Duration::from_secs(1), Happening::Sample);
        drop(ground);
        world
    }

    fn longest_limit(&self) -> Duration {
        let plan = &self.ground.borrow().plan;
        to_duration(plan.request_classes.iter().map(|verb| verb.time_limit).fold(0.0, f64::max))
    }

    /// A copy's process starts: with nothing learned, and the list as the source has it. The books are free again
    /// before the picker is made, as that asks for things at once.
    fn copy_up(&mut self, copy: usize) {
        let (alive, terms, list, now) = {
            let ground = &mut *self.ground.borrow_mut();
            let here = &mut ground.copies[copy];
            (here.up, here.watching) = (true, true);
            let alive = ground.as_alive(copy);
            let list = ground.list_of(ground.copies[copy].tier);
            ground.note_told(alive, true, &list);
            (alive, terms_of(ground, copy), list, ground.now)
        };
        let own = (copy as u64) << 20 | u64::from(alive.life);
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ own;
        let hand = HostHandle { ground: self.ground.clone(), alive };
        let mut picker = (self.make)(hand, terms, seed, now);
        picker.endpoint_list_cached(now, &list);
        if self.pickers.len() <= copy {
            self.pickers.resize_with(copy + 1, || None);
        }
        self.pickers[copy] = Some(picker);
        if alive.life > 0 {
            // What it knows may be old: it asks for the list anew.
            self.ground.borrow_mut().put(now, Happening::ListCall(alive));
        }
    }

    fn picker(&mut self, copy: usize) -> Option<&mut Box<dyn LoadBalancer>> {
        self.pickers.get_mut(copy)?.as_mut()
    }

    /// The picker of a copy that is still in this life.
    fn living(&mut self, alive: Alive) -> Option<&mut Box<dyn LoadBalancer>> {
        if self.ground.borrow().alive(alive) { self.picker(alive.copy) } else { None }
    }

    fn happen(&mut self, now: Duration, what: Happening) {
        let ground = self.ground.clone();
        let books = || ground.borrow_mut();
        match what {
            Happening::Arrival => books().arrival(),
            Happening::Again(origin) => books().send(origin),
            Happening::Come(cmd) => self.come(now, cmd),
            Happening::Quit(cmd) => self.quit(now, cmd),
            Happening::Due(cmd) => books().due(cmd),
            Happening::Reach(leg) => books().reach(leg),
            Happening::Worked(job) => books().worked(job),
            Happening::CallEnded(job, well) => books().call_ended(job, well),
            Happening::Ended(leg, outcome, load) => self.ended(now, leg, outcome, load),
            Happening::OutOfTime(leg) => self.ended(now, leg, Outcome::Timeout, LoadReport::default()),
            Happening::CalledOff(leg) => books().called_off(leg),
            Happening::Checked(alive, server, outcome) => {
                let id = books().servers[server].id.clone();
                if let Some(picker) = self.living(alive) {
                    picker.health_check_ended(now, outcome, &id, LoadReport::default());
                }
            }
            Happening::Wake(alive) => {
                if let Some(picker) = self.living(alive) {
                    picker.timer_fired(now);
                }
            }
            Happening::Told(alive, whole, entries) => self.told(now, alive, whole, &entries),
            Happening::ListCallFailed(alive) => {
                if let Some(picker) = self.living(alive) {
                    picker.discovery_poll_failed(now);
                }
            }
            Happening::ListCall(alive) => books().list_call(alive),
            Happening::ListHears(server) => books().list_hears(server),
            Happening::FaultBegins(fault) => books().fault_begins(fault),
            Happening::FaultStep(fault, step) => books().fault_step(fault, step),
            Happening::FaultEnds(fault) => books().fault_ends(fault),
            Happening::ServerUp(server, life) => books().server_up(server, life),
            Happening::ServerLeaves(server) => books().server_leaves(server),
            Happening::GoesOn(server) => books().start_jobs(server),
            Happening::CopyUp(copy) => {
                let away = !books().copies[copy].up;
                if away {
                    self.copy_up(copy);
                }
            }
            Happening::Word(alive, peer, words) => {
                if let Some(picker) = self.living(alive) {
                    picker.peer_message_received(now, peer, &words);
                }
            }
            Happening::Datagram(alive, bytes) => {
                if let Some(picker) = self.living(alive) {
                    picker.datagram_received(now, &bytes);
                }
            }
            Happening::Sample => self.sample(now),
        }
    }

    fn come(&mut self, now: Duration, number: u64) {
        let arrival = {
            let ground = &mut *self.ground.borrow_mut();
            if !ground.come(number) {
                return;
            }
            let Some(cmd) = ground.cmds.get(number) else { return };
            let (id, verb, due, tenant) = (cmd.id.clone(), cmd.verb, cmd.due, cmd.tenant);
            let arrival = RequestArrival {
                id,
                class: verb,
                deadline: due,
                body_incomplete: false,
                tenant,
                declared_work: None,
            };
            (cmd.copy.copy, arrival)
        };
        if let Some(picker) = self.picker(arrival.0) {
            picker.request_arrived(now, arrival.1);
        }
    }

    fn quit(&mut self, now: Duration, number: u64) {
        let left = {
            let ground = &mut *self.ground.borrow_mut();
            let Some(cmd) = ground.cmds.get(number).filter(|cmd| cmd.finished.is_none()) else { return };
            let left = (cmd.copy, cmd.id.clone());
            ground.finish(number, crate::referee::FinalOutcome::Left, None);
            left
        };
        if let Some(picker) = self.living(left.0) {
            picker.client_disconnected(now, &left.1);
        }
    }

    fn ended(&mut self, now: Duration, leg: Leg, outcome: Outcome, load: LoadReport) {
        let told = {
            let ground = &mut *self.ground.borrow_mut();
            if !ground.end_relay(leg, outcome) {
                return;
            }
            let Some(cmd) = ground.cmds.get(leg.cmd) else { return };
            let relay = &cmd.relays[leg.relay as usize];
            let ended = AttemptEnd {
                request: cmd.id.clone(),
                request_closed: cmd.finished.is_some(),
                body_consumed: ground.plan.rules.nearest_tier_retries && relay.failed_below,
                outcome,
                attempt: leg.relay,
                latency: now.saturating_sub(relay.sent),
                server: ground.servers[relay.server].id.clone(),
                load,
            };
            (cmd.copy, ended)
        };
        if let Some(picker) = self.living(told.0) {
            picker.attempt_ended(now, told.1);
        }
    }

    fn told(
        &mut self,
        now: Duration,
        alive: Alive,
        whole: bool,
        entries: &[landingspread_decisions::host::ListedServer],
    ) {
        if !self.ground.borrow().alive(alive) {
            return;
        }
        self.ground.borrow_mut().note_told(alive, whole, entries);
        let Some(picker) = self.living(alive) else { return };
        if whole {
            picker.endpoint_list_received(now, entries);
        } else {
            picker.endpoint_list_changed(now, entries);
        }
    }

    fn sample(&mut self, now: Duration) {
        let ground = &mut *self.ground.borrow_mut();
        let loads = ground.loads();
        ground.tally.end_second(now.saturating_sub(Duration::from_nanos(1)), &loads);
        if now < to_duration(ground.plan.seconds) {
            ground.put_in(Duration::from_secs(1), Happening::Sample);
        }
    }

    fn close(self, agenda_most: usize) -> Run {
        drop(self.pickers);
        let Ok(ground) = Rc::try_unwrap(self.ground) else {
            unreachable!("only the pickers held the books besides the loop")
        };
        let mut ground = ground.into_inner();
        for server in &mut ground.servers {
            server.brought.finish_process(&mut ground.cold);
        }
        let (steps, referee) = (ground.steps, ground.referee);
        let (totals, seconds, marks) = ground.tally.finish();
        Run {
            totals,
            seconds,
            ejections: marks,
            breaches: referee.breaches,
            breach_counts: referee.counts,
            cold_peaks: ground.cold,
            events: steps,
            max_queued_events: agenda_most,
        }
    }
}

/// What a copy is told at its start.
fn terms_of(ground: &Ground, number: usize) -> Settings {
    let (plan, copy) = (&ground.plan, &ground.copies[number]);
    let (tier, rules) = (&plan.tiers[copy.tier], &plan.rules);
    let balancers = ground.copies.iter().filter(|other| other.tier == copy.tier).count();
    let quota = |tenant: &crate::plan::Tenant| tenant.quota.unwrap_or(f64::MAX);
    Settings {
        replicas: balancers as f64,
        max_live_replicas: balancers as f64,
        ordinal: copy.ordinal,
        tier: copy.tier as u32,
        idle_connection_timeout: to_duration(tier.connections.idle_timeout),
        zone: copy.zone,
        polls_discovery: false,
        poll_interval: Duration::MAX,
        timer_resolution: Duration::ZERO,
        value_by_work: false,
        over_quota_value: rules.over_quota_value,
        quotas: plan.tenants.iter().map(quota).collect(),
        classes: plan.request_classes.iter().map(verb_terms).collect(),
        capabilities: Capabilities {
            health_checks: tier.health_checks,
            cancellation: rules.cancellation,
            hedging: rules.hedging,
            peer_messages: rules.peer_messages,
            max_attempts: rules.max_attempts,
            max_retry_after: Some(to_duration(rules.max_retry_after)).filter(|most| !most.is_zero()),
        },
        slow_start: SlowStart {
            initial_fraction: tier.cold_start.initial_fraction,
            duration: to_duration(tier.cold_start.warmup),
            overload_multiple: tier.cold_start.overload_multiple,
            overload_window: to_duration(tier.cold_start.overload_window),
        },
        costs: Costs {
            cross_zone: rules.cross_zone_cost,
            health_check: 0.0,
            peer_message: 0.0,
            connection: 0.0,
        },
        health_checks_report_load: false,
        objective: ObjectiveWeights { worst_class: 0.0 },
    }
}

fn verb_terms(verb: &crate::plan::RequestClass) -> settings::RequestClass {
    settings::RequestClass {
        retry_safety: match verb.retry_safety {
            RetrySafety::Idempotent => settings::RetrySafety::Idempotent,
            RetrySafety::KeyedEverywhere => settings::RetrySafety::IdempotencyKeyed(DedupScope::All),
            RetrySafety::KeyedInZone => settings::RetrySafety::IdempotencyKeyed(DedupScope::Zone),
            RetrySafety::KeyedInCell => settings::RetrySafety::IdempotencyKeyed(DedupScope::Cell),
            RetrySafety::NonIdempotent => settings::RetrySafety::NonIdempotent,
        },
        dedup_window: to_duration(verb.dedup_window),
        latency_objective: to_duration(verb.latency_objective),
        time_limit: to_duration(verb.time_limit),
        value: verb.utility,
        late_value: verb.late_utility,
    }
}
