//! Clients: they send at a rate that nothing slows down, go away, and try again. It owns what a final word means
//! to whoever asked, a client or a server of the tier before.

use super::dice::{exponential, weighted_index, work_multiple};
use super::ground::{CMDS_MOST, Cmd, Ground, Origin};
use super::happening::{Happening, Leg};
use crate::plan::{FaultKind, RetrySafety, to_duration};
use crate::referee::FinalOutcome;
use landingspread_decisions::host::Outcome;
use rand::Rng;
use std::time::Duration;

impl Ground {
    /// Commands a second that clients send now.
    fn rate(&self) -> f64 {
        let surges =
            self.faults().filter(|fault| fault.kind == FaultKind::Surge).filter_map(|fault| fault.factor);
        self.plan.load.rate * surges.product::<f64>()
    }

    /// The next client sends: Poisson arrivals, thinned from the highest rate there will be, so that a surge
    /// changes nothing of what came before it.
    pub fn arrival(&mut self) {
        let most = self.rate_most();
        if most <= 0.0 || self.now >= to_duration(self.plan.seconds) {
            return;
        }
        let gap = to_duration(exponential(&mut self.dice.arrivals) / most);
        self.put_in(gap, Happening::Arrival);
        let dice = &mut self.dice.arrivals;
        let (kept, zone, tenant, verb) = (dice.random(), dice.random(), dice.random(), dice.random());
        if self.now.is_zero() || self.rate() / most <= kept {
            return;
        }
        let plan = self.plan.clone();
        let zones = &plan.front.zone_shares;
        let zone = match zones.is_empty() {
            true => weighted_index(plan.zones.iter().map(|_| 1.0), zone),
            false => weighted_index(zones.iter().copied(), zone),
        };
        let tenant = weighted_index(plan.tenants.iter().map(|tenant| tenant.share), tenant);
        let verb = weighted_index(plan.request_classes.iter().map(|verb| verb.share), verb);
        let size = work_multiple(plan.request_classes[verb].work_distribution, &mut self.dice.arrivals);
        let beyond = self.beyond_quota(tenant);
        let origin =
            Origin { verb, tenant, zone: zone as u32, size, tries: 0, beyond, ran: Vec::new(), live: 1 };
        let utility = self.utility(&origin, plan.request_classes[verb].utility);
        self.tally.record_arrival(self.now, utility, tenant);
        let origin = self.origins.add(origin);
        self.send(origin);
    }

    fn rate_most(&self) -> f64 {
        let surge = |fault: &&crate::plan::Fault| fault.kind == FaultKind::Surge;
        let factors = self.plan.faults.iter().filter(surge).filter_map(|fault| fault.factor);
        self.plan.load.rate * factors.map(|factor| factor.max(1.0)).product::<f64>()
    }

    /// Whether a tenant has sent more than its quota within this second.
    fn beyond_quota(&mut self, tenant: usize) -> bool {
        let Some(quota) = self.plan.tenants[tenant].quota else { return false };
        let (second, count) = &mut self.tenants[tenant];
        if *second != self.now.as_secs() {
            (*second, *count) = (self.now.as_secs(), 0.0);
        }
        *count += 1.0;
        *count > quota
    }

    fn utility(&self, origin: &Origin, full: f64) -> f64 {
        full * if origin.beyond { self.plan.rules.over_quota_value } else { 1.0 }
    }

    /// A client sends what it wants, once more or for the first time.
    pub fn send(&mut self, number: u64) {
        let Some(origin) = self.origins.get(number) else { return };
        let (verb, tenant, zone) = (origin.verb, origin.tenant, origin.zone);
        let copy = self.pick_copy(zone).filter(|_| self.cmds.live() < CMDS_MOST);
        let Some(copy) = copy else {
            self.tally.record_not_accepted(self.now);
            self.try_again(number, true, None);
            self.origin_lets_go(number);
            return;
        };
        let limit = to_duration(self.plan.request_classes[verb].time_limit);
        let cmd = Cmd {
            id: "".into(),
            copy: self.as_alive(copy),
            verb,
            tenant,
            came: self.now,
            since: self.now,
            due: self.now + limit,
            origin: number,
            finished: None,
            relays: Vec::new(),
            jobs: 0,
            parent: None,
        };
        let cmd = self.cmds.add(cmd);
        self.put_in(Duration::ZERO, Happening::Come(cmd));
        if self.plan.load.disconnect_fraction > 0.0
            && self.dice.clients.random::<f64>() < self.plan.load.disconnect_fraction
        {
            let after = limit.mul_f64(self.dice.clients.random::<f64>());
            self.put_in(after, Happening::Quit(cmd));
        }
    }

    /// One of the zone's copies that are up, else any that is.
    fn pick_copy(&mut self, zone: u32) -> Option<usize> {
        let point: f64 = self.dice.clients.random();
        let count = self.plan.front.replicas;
        let traffic = &self.plan.front.traffic_shares;
        if !traffic.is_empty() {
            let up = |copy: usize, near: bool| {
                let here = &self.copies[copy];
                here.up && (!near || here.zone == zone)
            };
            let near = (0..count).any(|copy| up(copy, true));
            let share = |copy: usize| if up(copy, near) { traffic[copy % traffic.len()] } else { 0.0 };
            let copy = weighted_index((0..count).map(share), point);
            return Some(copy).filter(|copy| up(*copy, near));
        }
        let pick = |here: &dyn Fn(usize) -> bool| {
            let fitting = (0..count).filter(|copy| self.copies[*copy].up && here(*copy)).count();
            let place = (point * fitting as f64) as usize;
            (0..count).filter(|copy| self.copies[*copy].up && here(*copy)).nth(place)
        };
        pick(&|copy| self.copies[copy].zone == zone).or_else(|| pick(&|_| true))
    }

    /// Gives a command its id at its copy, or none where the copy is no longer there.
    pub fn come(&mut self, number: u64) -> bool {
        let Some(cmd) = self.cmds.get(number) else { return false };
        let (copy, due) = (cmd.copy, cmd.due);
        let slack = to_duration(self.plan.rules.deadline_slack);
        self.put(due + slack + Duration::from_nanos(1), Happening::Due(number));
        if !self.alive(copy) {
            self.finish(number, FinalOutcome::Lost, None);
            return false;
        }
        if let Some(cmd) = self.cmds.get_mut(number) {
            cmd.id = format!("c{number}").into();
        }
        true
    }

    /// A command's final word: to the referee, to the books, and to whoever asked.
    pub fn finish(&mut self, number: u64, word: FinalOutcome, come_back: Option<Duration>) {
        let now = self.now;
        self.judge(number, |referee, facts| referee.request_finished(now, facts, word));
        let Some(cmd) = self.cmds.get_mut(number) else { return };
        if cmd.finished.is_some() {
            return;
        }
        cmd.finished = Some(word);
        let (origin, parent, came, verb) = (cmd.origin, cmd.parent, cmd.came, cmd.verb);
        if let Some(key) = parent {
            self.put_in(Duration::ZERO, Happening::CallEnded(key, word == FinalOutcome::Answered));
            return;
        }
        self.tally.record_final_outcome(now, came, word);
        match word {
            FinalOutcome::Answered => self.earn(origin, came),
            FinalOutcome::Declined => self.try_again(origin, true, come_back),
            FinalOutcome::Lost | FinalOutcome::Terminated => {
                self.try_again(origin, self.repeats(verb) == RetrySafety::Idempotent, None);
            }
            FinalOutcome::Left => {}
        }
    }

    fn earn(&mut self, number: u64, came: Duration) {
        let Some(origin) = self.origins.get(number) else { return };
        let verb = &self.plan.request_classes[origin.verb];
        let took = self.now.saturating_sub(came).as_secs_f64();
        let full = if took <= verb.latency_objective { verb.utility } else { verb.late_utility };
        let (utility, tenant) = (self.utility(origin, full), origin.tenant);
        self.tally.record_utility(self.now, came, utility, tenant);
    }

    fn try_again(&mut self, number: u64, harmless: bool, come_back: Option<Duration>) {
        let Some(origin) = self.origins.get_mut(number) else { return };
        let over = self.now >= to_duration(self.plan.seconds);
        if !harmless || over || origin.tries >= self.plan.load.retries {
            return;
        }
        origin.tries += 1;
        origin.live += 1;
        let wait = match come_back.filter(|_| self.plan.rules.max_retry_after > 0.0) {
            Some(told) => told.mul_f64(1.0 + 0.2 * self.dice.clients.random::<f64>()),
            None => to_duration(self.plan.load.backoff * exponential(&mut self.dice.clients)),
        };
        self.put_in(wait, Happening::Again(number));
    }

    /// The time limit is over: nothing may be open; what nothing holds any more is forgotten.
    pub fn due(&mut self, number: u64) {
        let now = self.now;
        self.judge(number, |referee, facts| referee.deadline_passed(now, facts));
        if self.cmds.get(number).is_some_and(|cmd| cmd.finished.is_none()) {
            self.tally_unfinished(number);
        }
        self.forget(number);
    }

    /// A command without a final word counts as lost; the referee has told the breach.
    fn tally_unfinished(&mut self, number: u64) {
        let now = self.now;
        let Some(cmd) = self.cmds.get_mut(number) else { return };
        cmd.finished = Some(FinalOutcome::Lost);
        let (parent, came) = (cmd.parent, cmd.came);
        match parent {
            Some(key) => self.put_in(Duration::ZERO, Happening::CallEnded(key, false)),
            None => self.tally.record_final_outcome(now, came, FinalOutcome::Lost),
        }
    }

    /// Kept while a relay is out or a server holds a job of it; looked at again a little later.
    fn forget(&mut self, number: u64) {
        const LATER: Duration = Duration::from_millis(500);
        let Some(cmd) = self.cmds.get(number) else { return };
        let out = self.alive(cmd.copy) && cmd.relays.iter().any(|relay| relay.outcome.is_none());
        let (origin, jobs) = (cmd.origin, cmd.jobs);
        if out || jobs > 0 {
            self.put_in(LATER, Happening::Due(number));
            return;
        }
        self.cmds.remove(number);
        self.origin_lets_go(origin);
    }

    pub fn origin_lets_go(&mut self, number: u64) {
        let Some(origin) = self.origins.get_mut(number) else { return };
        origin.live -= 1;
        if origin.live == 0 {
            self.origins.remove(number);
        }
    }

    /// A process of a copy ends: what it had taken is lost, and its relays' connections close.
    pub fn copy_dies(&mut self, number: usize) {
        let gone = self.as_alive(number);
        let copy = &mut self.copies[number];
        if !copy.up {
            return;
        }
        (copy.up, copy.life) = (false, copy.life + 1);
        copy.kept.clear();
        let mine: Vec<u64> =
            self.cmds.iter().filter(|(_, cmd)| cmd.copy == gone).map(|(number, _)| number).collect();
        for cmd in mine {
            self.close_relays(cmd);
            if self.cmds.get(cmd).is_some_and(|cmd| cmd.finished.is_none()) {
                self.finish(cmd, FinalOutcome::Lost, None);
            }
        }
    }

    fn close_relays(&mut self, number: u64) {
        let Some(cmd) = self.cmds.get_mut(number) else { return };
        let mut closed = Vec::new();
        for (at, relay) in (0u32..).zip(&mut cmd.relays) {
            if relay.outcome.is_none() {
                relay.outcome = Some(Outcome::Cancelled);
                closed.push((Leg { cmd: number, relay: at }, relay.delay));
            }
        }
        closed.into_iter().for_each(|(leg, delay)| self.put_in(delay, Happening::CalledOff(leg)));
    }
}
