//! What the fleet decided of zones, taken in, and how they look from here. It owns what was sent to each zone and came of
//! it; the verdicts are the fleet's, and a server of a zone that is left is held marked: no draw takes it, and it is looked
//! at only when this copy has the turn. Nothing here costs anything before `zones_told` is first called.

use crate::fleet::{Server, Slot};
use crate::host::{Host, Outcome};
use crate::policy::Policy;
use std::time::Duration;

/// A relay is late past so many times the time in which nine of ten are answered, within these bounds.
const LATE: f64 = 4.0;
const LATE_LEAST: Duration = Duration::from_millis(100);
const LATE_MOST: Duration = Duration::from_millis(500);
/// What was lost longer ago says nothing of now.
const LOST_FOR: Duration = Duration::from_secs(2);
/// So many lost ones at once are no chance.
const LOST_ENOUGH: u32 = 2;
/// A check that fails so soon after a look is that look's.
const LOOK_FOR: Duration = Duration::from_secs(1);
/// A zone whose servers answer this many times as slowly as the mean is slow.
const SLOW: f64 = 1.4;

/// A zone's share of what it would get, as the fleet has it: 0 where it is left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneTraffic {
    pub zone: u32,
    pub fraction: f64,
    /// In a zone that is left: a number that changes with each trial that is this copy's to make. In one that is in use: the
    /// same for a look at it, as others find it silent.
    pub trial: Option<u64>,
}

/// How a zone looks from here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneObservation {
    pub zone: u32,
    /// Servers that the list tells as ready.
    pub ready: usize,
    /// How long ago the last that was answered had been sent.
    pub answered: Option<Duration>,
    /// Nothing sent since the last answer was answered, though it is late or lost; how long ago the last sign of that came.
    pub silent: Option<Duration>,
    pub slow: bool,
}

#[derive(Debug)]
struct Zone {
    zone: u32,
    share: f64,
    trial: Option<u64>,
    /// When the last that was answered had been sent.
    answered: Option<Duration>,
    /// The first that was sent since then, how many of those are out still, and how many are lost.
    waiting: Option<Duration>,
    open: u32,
    lost: u32,
    lost_at: Duration,
    /// When it was last looked at because others find it silent.
    looked_at: Option<Duration>,
}

#[derive(Debug, Default)]
pub(crate) struct Zones(Vec<Zone>);

impl Zones {
    fn at(&mut self, zone: u32) -> Option<&mut Zone> {
        self.0.iter_mut().find(|known| known.zone == zone)
    }

    pub fn share(&self, zone: u32) -> f64 {
        self.0.iter().find(|known| known.zone == zone).map_or(1.0, |known| known.share)
    }

    /// What a server's weight counts for. A marked one is drawn for trials only: its zone's share is no matter there.
    pub fn weight(&self, server: &Server) -> f64 {
        if server.mark().is_some() { 1.0 } else { self.share(server.zone) }
    }

    pub fn left(&self, zone: u32) -> bool {
        self.share(zone) <= 0.0
    }

    fn any_left(&self) -> bool {
        self.0.iter().any(|known| known.share <= 0.0)
    }

    /// Whether time alone may make any of them silent, or let it be so no longer.
    pub fn may_fall_silent(&self, now: Duration) -> bool {
        let waits = |zone: &Zone| zone.open > 0 && zone.waiting.is_some();
        let lost = |zone: &Zone| zone.lost > 0 && now < zone.lost_at + LOST_FOR;
        self.0.iter().any(|zone| waits(zone) || lost(zone))
    }

    pub fn sent(&mut self, zone: u32, now: Duration) {
        let Some(zone) = self.at(zone) else { return };
        if zone.open == 0 && zone.lost > 0 && zone.lost_at + LOST_FOR <= now {
            (zone.waiting, zone.lost) = (None, 0);
        }
        zone.open += 1;
        zone.waiting.get_or_insert(now);
    }

    pub fn ended(&mut self, zone: u32, sent: Duration, now: Duration, outcome: Outcome) {
        let Some(zone) = self.at(zone) else { return };
        match outcome {
            // Whatever it answers, it is there.
            Outcome::Ok | Outcome::Error | Outcome::Overloaded => zone.answer(sent),
            _ if zone.answered.is_some_and(|answered| sent <= answered) => {}
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => zone.lose(now),
            Outcome::Cancelled | Outcome::NotSent if sent + LATE_LEAST <= now => zone.lose(now),
            Outcome::Cancelled | Outcome::NotSent => {
                zone.open = zone.open.saturating_sub(1);
                if zone.open == 0 && zone.lost == 0 {
                    zone.waiting = None;
                }
            }
        }
    }

    pub fn checked(&mut self, zone: u32, now: Duration, outcome: Outcome) {
        let Some(zone) = self.at(zone) else { return };
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Overloaded => zone.answer(now),
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset
                if zone.share <= 0.0 || zone.looked_at.is_some_and(|at| now <= at + LOOK_FOR) =>
            {
                // A trial that nobody answers is as good as several commands.
                zone.waiting.get_or_insert(now);
                (zone.lost, zone.lost_at) = (zone.lost.max(LOST_ENOUGH), now);
            }
            _ => {}
        }
    }
}

impl Zone {
    fn answer(&mut self, sent: Duration) {
        self.answered = self.answered.max(Some(sent));
        (self.waiting, self.open, self.lost) = (None, 0, 0);
    }

    fn lose(&mut self, now: Duration) {
        self.open = self.open.saturating_sub(1);
        (self.lost, self.lost_at) = (self.lost.saturating_add(1), now);
    }

    fn silent(&self, now: Duration, late: Duration) -> Option<Duration> {
        let waited = self.waiting.is_some_and(|since| since + late <= now);
        if self.open > 0 && waited {
            return Some(Duration::ZERO);
        }
        let lost = self.lost >= LOST_ENOUGH || (self.lost > 0 && waited);
        let ago = now.saturating_sub(self.lost_at);
        (lost && ago < LOST_FOR).then_some(ago)
    }
}

impl<H: Host> Policy<H> {
    /// What share each zone has by now. Those that are not named keep what they had.
    pub fn zone_traffic_changed(&mut self, now: Duration, told: &[ZoneTraffic]) {
        self.now = now;
        for ZoneTraffic { zone, fraction: share, trial } in told {
            let share = if share.is_finite() { share.clamp(0.0, 1.0) } else { 1.0 };
            if self.zones.at(*zone).is_none() {
                let new = Zone {
                    zone: *zone,
                    share: 1.0,
                    trial: None,
                    answered: None,
                    waiting: None,
                    open: 0,
                    lost: 0,
                    lost_at: now,
                    looked_at: None,
                };
                self.zones.0.push(new);
            }
            let Some(known) = self.zones.at(*zone) else { continue };
            let before = std::mem::replace(&mut known.share, share);
            let new = trial.filter(|trial| known.trial != Some(*trial));
            let turn = new.filter(|_| share <= 0.0);
            let look = new.filter(|_| share > 0.0 && before > 0.0);
            known.trial = *trial;
            if look.is_some() {
                known.looked_at = Some(now);
            }
            if before <= 0.0 && share > 0.0 {
                (known.waiting, known.open, known.lost) = (None, 0, 0);
                self.take_back(*zone);
            } else if before > 0.0 && share <= 0.0 {
                self.leave_zone(*zone);
            }
            turn.into_iter().for_each(|turn| self.try_one(*zone, turn));
            look.into_iter().for_each(|look| self.look_at_one(*zone, look));
        }
    }

    /// How the zones look that shares were told of.
    pub fn zone_observations(&mut self, now: Duration) -> Vec<ZoneObservation> {
        let late = self.late_after();
        let mut seen: Vec<ZoneObservation> = Vec::with_capacity(self.zones.0.len());
        for zone in &self.zones.0 {
            let answered = zone.answered.map(|sent| now.saturating_sub(sent));
            let silent = zone.silent(now, late);
            seen.push(ZoneObservation { zone: zone.zone, ready: 0, answered, silent, slow: false });
        }
        for server in self.fleet.ready_ones() {
            let zone = seen.iter_mut().find(|seen| seen.zone == server.zone);
            zone.into_iter().for_each(|seen| seen.ready += 1);
        }
        for seen in &mut seen {
            let window = self.fleet.window().iter().map(|slot| &self.fleet[*slot]);
            let known = window.filter(|server| server.zone == seen.zone && server.mark().is_none());
            let (sum, count) = known.fold((0.0, 0.0), |(sum, n), server| (sum + server.slowness, n + 1.0));
            seen.slow = count > 0.0 && sum / count > SLOW;
        }
        seen
    }

    /// Ready servers but for those of zones that are left: these are no part of what may be marked.
    pub(crate) fn in_use(&self) -> usize {
        if !self.zones.any_left() {
            return self.fleet.ready();
        }
        self.fleet.ready_ones().filter(|server| !self.zones.left(server.zone)).count()
    }

    /// Those of this copy's own zone, if it is in use.
    pub(crate) fn near_in_use(&self) -> usize {
        if self.zones.left(self.terms.zone) { 0 } else { self.fleet.near() }
    }

    fn late_after(&self) -> Duration {
        let usual = self.verbs.iter().filter_map(|verb| verb.latency.quantile(0.9)).fold(0.0, f64::max);
        Duration::from_secs_f64(LATE * usual).clamp(LATE_LEAST, LATE_MOST)
    }

    fn in_zone(&self, zone: u32) -> Vec<Slot> {
        let ready = self.fleet.ready_ones().filter(|server| server.zone == zone);
        let mut slots: Vec<Slot> = ready.filter_map(|server| self.fleet.slot(&server.id)).collect();
        slots.sort_by(|one, other| self.fleet[*one].id.cmp(&self.fleet[*other].id));
        slots
    }

    /// Marked or not, each is held from now on.
    fn leave_zone(&mut self, zone: u32) {
        self.in_zone(zone).into_iter().for_each(|slot| self.fleet.set_mark(slot, self.new_mark(slot)));
    }

    /// Servers that came or were restarted meanwhile are held like the others.
    pub(crate) fn hold_left(&mut self) {
        if !self.zones.any_left() {
            return;
        }
        let free = |server: &&Server| self.zones.left(server.zone) && server.mark().is_none();
        let slots = self.fleet.ready_ones().filter(free).filter_map(|server| self.fleet.slot(&server.id));
        for slot in slots.collect::<Vec<_>>() {
            self.fleet.set_mark(slot, self.new_mark(slot));
        }
    }

    /// A zone that comes back counts as started anew: what its caches hold nobody knows, and all copies come at once.
    fn take_back(&mut self, zone: u32) {
        let now = self.now;
        self.in_zone(zone).into_iter().for_each(|slot| self.restarted(slot, now));
    }

    /// One server is checked at once, another with each look: others find the zone silent, and this copy does not know.
    fn look_at_one(&mut self, zone: u32, look: u64) {
        let slots = self.in_zone(zone);
        if slots.is_empty() || !self.terms.capabilities.health_checks {
            return;
        }
        let slot = slots[(look % slots.len() as u64) as usize];
        if !std::mem::replace(&mut self.fleet[slot].checking, true) {
            let server = self.fleet[slot].id.clone();
            self.host.check_health(&server);
        }
    }

    /// One server is due to be looked at, another with each turn.
    fn try_one(&mut self, zone: u32, turn: u64) {
        let (slots, now) = (self.in_zone(zone), self.now);
        if !slots.is_empty() {
            let slot = slots[(turn % slots.len() as u64) as usize];
            self.fleet[slot].mark_mut().into_iter().for_each(|mark| (mark.next, mark.trying) = (now, false));
        }
    }
}
