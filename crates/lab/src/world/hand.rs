//! What a picker may ask for, done in the emulated world. It writes to the books and to the agenda only: whatever
//! comes of it reaches the picker later, as a happening of its own.

use super::ground::{Ground, Kept, Relay, Standing};
use super::happening::{Alive, Happening, Leg};
use crate::plan::to_duration;
use crate::referee::FinalOutcome;
use landingspread_decisions::host::{Event, Host, Id, LoadReport, Outcome};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// One copy's side of the world, in one of its lives.
#[derive(Clone)]
pub struct HostHandle {
    pub(super) ground: Rc<RefCell<Ground>>,
    pub(super) alive: Alive,
}

impl HostHandle {
    /// The command of this copy that the id names.
    fn own(&self, ground: &Ground, id: &Id) -> Option<u64> {
        let number = Ground::number(id)?;
        ground.cmds.get(number).filter(|cmd| cmd.copy == self.alive && cmd.id == *id)?;
        Some(number)
    }

    /// Seconds that a command of this verb would take to its answer at a server, by its true state and by nothing
    /// that a copy could know; none where no answer would come, or it would jam. For the true-state bound alone.
    pub fn true_wait(&self, server: &Id, verb: usize) -> Option<f64> {
        let ground = self.ground.borrow();
        let number = ground.server_number(server)?;
        let here = &ground.servers[number];
        let tier = &ground.plan.tiers[here.tier];
        let zone = ground.copies[self.alive.copy].zone;
        let away = here.standing != Standing::Up || here.draining || here.gone || ground.cut(zone, here.zone);
        let cores = tier.cores as f64;
        let jams = tier.congestion.as_ref().is_some_and(|jam| (here.jobs + 1) as f64 / cores >= jam.onset);
        if away || jams || ground.paused(here) {
            return None;
        }
        let speed = ground.speed(number).max(1e-9);
        let waits = (here.jobs as f64 + 1.0 - cores).max(0.0) * ground.mean_work(here.tier) / cores;
        Some((waits + ground.plan.request_classes.get(verb)?.mean_work(here.tier)) / speed)
    }
}

impl HostHandle {
    /// Sends a datagram of the fleet to another copy, by its number.
    pub fn send_datagram(&mut self, to: usize, bytes: &[u8]) {
        let ground = &mut *self.ground.borrow_mut();
        if to < ground.copies.len() {
            let (alive, bytes): (Alive, Rc<[u8]>) = (ground.as_alive(to), bytes.into());
            ground.carry(self.alive.copy, to, &|| Happening::Datagram(alive, bytes.clone()));
        }
    }

    /// All zones by name.
    pub fn zones(&self) -> Vec<String> {
        self.ground.borrow().plan.zones.clone()
    }

    /// What a copy's membership is told of itself and the others: its number, its zone's name, how many copies its tier
    /// has, and the number of the first of them.
    pub fn membership_identity(&self) -> (usize, String, usize, usize) {
        let ground = self.ground.borrow();
        let own = &ground.copies[self.alive.copy];
        let mut of_tier = (0..ground.copies.len()).filter(|copy| ground.copies[*copy].tier == own.tier);
        let first = of_tier.next().unwrap_or(0);
        (self.alive.copy, ground.plan.zones[own.zone as usize].clone(), of_tier.count() + 1, first)
    }
}

impl Host for HostHandle {
    fn start_attempt(&mut self, cmd: &Id, server: &Id, not_past: Duration) {
        let ground = &mut *self.ground.borrow_mut();
        let (Some(number), Some(to)) = (self.own(ground, cmd), ground.server_number(server)) else { return };
        let now = ground.now;
        let place = ground.servers[to].where_it_is(to);
        let off = ground.copies[self.alive.copy].off_since.get(&to).copied();
        ground.judge(number, |referee, facts| referee.attempt_started(now, facts, place, server, off));
        let (zone, other) = (ground.copies[self.alive.copy].zone, ground.servers[to].zone);
        let vain = ground.servers[to].standing != Standing::Up || ground.cut(zone, other);
        ground.tally.record_attempt(now, vain);
        let tier = ground.servers[to].tier;
        if let Some(cmd) = ground.cmds.get(number) {
            ground.tally.record_tier_attempt(tier, cmd.since, cmd.relays.last().map(|relay| relay.outcome));
        }
        let delay = ground.delay(zone, other);
        let fresh = ground.take_connection(self.alive.copy, to);
        let Some(cmd) = ground.cmds.get_mut(number) else { return };
        let until = if not_past.is_zero() { cmd.due } else { not_past.min(cmd.due) };
        let leg = Leg { cmd: number, relay: cmd.relays.len() as u32 };
        let moot = cmd.finished.is_some() || until <= now;
        let failed_below = false;
        cmd.relays.push(Relay {
            server: to,
            sent: now,
            until,
            delay,
            fresh,
            failed_below,
            outcome: None,
            job: None,
        });
        if moot {
            ground.put_in(Duration::ZERO, Happening::Ended(leg, Outcome::NotSent, LoadReport::default()));
            return;
        }
        let trips = if fresh { 3 } else { 1 };
        ground.put_in(delay * trips, Happening::Reach(leg));
        ground.put(until, Happening::OutOfTime(leg));
    }

    fn reject(&mut self, cmd: &Id, come_back: Option<Duration>) {
        let ground = &mut *self.ground.borrow_mut();
        if let Some(number) = self.own(ground, cmd) {
            ground.finish(number, FinalOutcome::Declined, come_back);
        }
    }

    fn fail(&mut self, cmd: &Id) {
        let ground = &mut *self.ground.borrow_mut();
        if let Some(number) = self.own(ground, cmd) {
            ground.finish(number, FinalOutcome::Terminated, None);
        }
    }

    fn cancel_attempt(&mut self, cmd: &Id, relay: u32) {
        let ground = &mut *self.ground.borrow_mut();
        let Some(number) = self.own(ground, cmd) else { return };
        if ground.plan.rules.cancellation {
            let leg = Leg { cmd: number, relay };
            ground.put_in(Duration::ZERO, Happening::Ended(leg, Outcome::Cancelled, LoadReport::default()));
        }
    }

    fn check_health(&mut self, server: &Id) {
        let ground = &mut *self.ground.borrow_mut();
        let Some(number) = ground.server_number(server) else { return };
        let zone = ground.copies[self.alive.copy].zone;
        let (after, outcome) = ground.check(zone, number);
        ground.put_in(after, Happening::Checked(self.alive, number, outcome));
    }

    fn wake_after(&mut self, after: Duration) {
        // A picker that asks for no time at all would keep the world at one moment for ever.
        let after = after.max(Duration::from_micros(100));
        self.ground.borrow_mut().put_in(after, Happening::Wake(self.alive));
    }

    fn poll_discovery(&mut self) {
        let ground = &mut *self.ground.borrow_mut();
        let zone = ground.copies[self.alive.copy].zone;
        let delay = ground.delay(zone, zone);
        ground.put_in(delay, Happening::ListCall(self.alive));
    }

    fn close_idle_connections(&mut self, server: &Id) {
        let ground = &mut *self.ground.borrow_mut();
        if let Some(number) = ground.server_number(server)
            && let Some(kept) = ground.copies[self.alive.copy].kept.get_mut(&number)
        {
            kept.idle = 0;
        }
    }

    fn send_to_peers(&mut self, peer: Option<u32>, words: &[u8]) {
        let ground = &mut *self.ground.borrow_mut();
        let own = &ground.copies[self.alive.copy];
        let (tier, ordinal) = (own.tier, own.ordinal);
        let wanted = |copy: &usize| {
            let other = &ground.copies[*copy];
            other.tier == tier && other.ordinal != ordinal && peer.is_none_or(|peer| peer == other.ordinal)
        };
        let to: Vec<usize> = (0..ground.copies.len()).filter(wanted).collect();
        let words: Rc<[u8]> = words.into();
        for copy in to {
            let alive = ground.as_alive(copy);
            ground.carry(self.alive.copy, copy, &|| Happening::Word(alive, ordinal, words.clone()));
        }
    }

    fn log(&mut self, event: &Event) {
        self.note(&event.to_string());
    }
}

impl HostHandle {
    /// Adds a line to the copy's notes.
    pub fn note(&self, text: &str) {
        let ground = &mut *self.ground.borrow_mut();
        let now = ground.now;
        ground.tally.record_note(now, self.alive.copy, text);
    }
}

impl Ground {
    /// Takes a kept connection, or says that a fresh one is needed.
    fn take_connection(&mut self, copy: usize, server: usize) -> bool {
        let here = &self.servers[server];
        let idle = to_duration(self.plan.tiers[here.tier].connections.idle_timeout);
        let (life, silent, now) = (here.life, here.standing == Standing::Silent, self.now);
        let Some(kept) = self.copies[copy].kept.get_mut(&server) else { return true };
        // One of an earlier life is known to be broken, but for those to a machine that has fallen silent.
        if kept.idle == 0 || (kept.life != life && !silent) || now > kept.last + idle {
            kept.idle = 0;
            return true;
        }
        kept.idle -= 1;
        false
    }

    fn give_connection(&mut self, copy: usize, server: usize) {
        const MOST: u32 = 64;
        let (life, now) = (self.servers[server].life, self.now);
        let kept = self.copies[copy].kept.entry(server).or_insert(Kept { idle: 0, last: now, life });
        if kept.life != life {
            *kept = Kept { idle: 0, last: now, life };
        }
        (kept.idle, kept.last) = ((kept.idle + 1).min(MOST), now);
    }

    /// What became of a relay comes to its copy: noted once, and told whether it is news.
    pub fn end_relay(&mut self, leg: Leg, outcome: Outcome) -> bool {
        let Some(cmd) = self.cmds.get_mut(leg.cmd) else { return false };
        let (copy, closed) = (cmd.copy, cmd.finished.is_some());
        let Some(relay) = cmd.relays.get_mut(leg.relay as usize) else { return false };
        if relay.outcome.is_some() {
            return false;
        }
        relay.outcome = Some(outcome);
        let (server, delay) = (relay.server, relay.delay);
        if !self.alive(copy) {
            return false;
        }
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Overloaded => self.give_connection(copy.copy, server),
            Outcome::Timeout | Outcome::Cancelled => self.put_in(delay, Happening::CalledOff(leg)),
            _ => {}
        }
        if outcome == Outcome::Ok && !closed {
            self.finish(leg.cmd, FinalOutcome::Answered, None);
        }
        true
    }
}
