//! Zones that the fleet drains and uses again, and what this replica tells of them.

use super::Policy;
use crate::host::Host;
use crate::state::server_set::{Server, Slot};
use crate::state::zones::late_after;
use crate::zones::{ZoneObservation, ZoneTraffic};
use std::time::Duration;

/// A zone whose servers answer this many times as slowly as the mean is slow.
const SLOW_ZONE_SLOWNESS: f64 = 1.4;
/// The fraction of answers that late attempts are compared with.
const USUAL_QUANTILE: f64 = 0.9;

impl<H: Host> Policy<H> {
    /// The fraction of its usual traffic that each zone gets by now. Zones that are not named keep theirs.
    pub fn zone_traffic_changed(&mut self, now: Duration, traffic: &[ZoneTraffic]) {
        self.now = now;
        for told in traffic {
            self.take_zone_traffic(told);
        }
    }

    fn take_zone_traffic(&mut self, told: &ZoneTraffic) {
        let fraction = if told.fraction.is_finite() { told.fraction.clamp(0.0, 1.0) } else { 1.0 };
        let zone = self.zones.get_or_add(told.zone, self.now);
        let before = std::mem::replace(&mut zone.fraction, fraction);
        let new_trial = told.trial.filter(|trial| zone.trial != Some(*trial));
        zone.trial = told.trial;
        let drained = fraction <= 0.0;
        let was_drained = before <= 0.0;
        if !drained && !was_drained && new_trial.is_some() {
            zone.check_requested_at = Some(self.now);
        }
        if was_drained && !drained {
            zone.forget_losses();
            self.restart_zone(told.zone);
        } else if !was_drained && drained {
            self.drain_zone(told.zone);
        }
        let Some(trial) = new_trial else { return };
        if drained {
            self.schedule_zone_trial(told.zone, trial);
        } else if !was_drained {
            self.check_zone(told.zone, trial);
        }
    }

    /// How the zones look for which fractions were told.
    pub fn zone_observations(&mut self, now: Duration) -> Vec<ZoneObservation> {
        let late_after = self.late_after();
        let mut seen: Vec<ZoneObservation> = Vec::with_capacity(self.zones.iter().len());
        for zone in self.zones.iter() {
            seen.push(ZoneObservation {
                zone: zone.id,
                ready: 0,
                answered_ago: zone.answered.map(|sent_at| now.saturating_sub(sent_at)),
                unanswered_ago: zone.unanswered_ago(now, late_after),
                slow: false,
            });
        }
        for server in self.servers.ready_servers() {
            if let Some(zone) = seen.iter_mut().find(|seen| seen.zone == server.zone) {
                zone.ready += 1;
            }
        }
        for zone in &mut seen {
            zone.slow = self.is_slow_zone(zone.zone);
        }
        seen
    }

    fn is_slow_zone(&self, zone: u32) -> bool {
        let window = self.servers.window().iter().map(|slot| &self.servers[*slot]);
        let available = window.filter(|server| server.zone == zone && server.ejection().is_none());
        let (sum, count) =
            available.fold((0.0, 0.0), |(sum, count), server| (sum + server.slowness, count + 1.0));
        count > 0.0 && sum / count > SLOW_ZONE_SLOWNESS
    }

    /// Ready servers but for those of drained zones: these are no part of what may be ejected.
    pub(super) fn servers_in_use(&self) -> usize {
        if !self.zones.any_drained() {
            return self.servers.ready_count();
        }
        self.servers.ready_servers().filter(|server| !self.zones.is_drained(server.zone)).count()
    }

    /// Ready servers of this replica's own zone, if it is in use.
    pub(super) fn local_servers_in_use(&self) -> usize {
        if self.zones.is_drained(self.settings.zone) { 0 } else { self.servers.local_count() }
    }

    fn late_after(&self) -> Duration {
        let usual = self.classes.iter().filter_map(|class| class.latency.quantile(USUAL_QUANTILE));
        late_after(usual.fold(0.0, f64::max))
    }

    /// The ready servers of a zone, in the order of their ids.
    fn servers_of_zone(&self, zone: u32) -> Vec<Slot> {
        let ready = self.servers.ready_servers().filter(|server| server.zone == zone);
        let mut slots: Vec<Slot> = ready.filter_map(|server| self.servers.slot(&server.id)).collect();
        slots.sort_by(|one, other| self.servers[*one].id.cmp(&self.servers[*other].id));
        slots
    }

    /// Ejected or not, each server is held ejected from now on.
    fn drain_zone(&mut self, zone: u32) {
        for slot in self.servers_of_zone(zone) {
            self.restart_ejection(slot);
        }
    }

    /// Servers that joined a drained zone or were restarted meanwhile are held ejected like the others.
    pub(super) fn eject_drained_servers(&mut self) {
        if !self.zones.any_drained() {
            return;
        }
        let is_free = |server: &&Server| self.zones.is_drained(server.zone) && server.ejection().is_none();
        let free = self.servers.ready_servers().filter(is_free);
        let slots = free.filter_map(|server| self.servers.slot(&server.id)).collect::<Vec<_>>();
        for slot in slots {
            self.restart_ejection(slot);
        }
    }

    /// A zone that is used again counts as started anew: what its caches hold nobody knows, and all replicas come at
    /// once.
    fn restart_zone(&mut self, zone: u32) {
        let now = self.now;
        for slot in self.servers_of_zone(zone) {
            self.restart_server(slot, now);
        }
    }

    /// Checks one server at once, another with each number: other replicas get no answers from the zone, and this one
    /// does not know.
    fn check_zone(&mut self, zone: u32, number: u64) {
        if !self.settings.capabilities.health_checks {
            return;
        }
        let slots = self.servers_of_zone(zone);
        if let Some(slot) = nth_in_turn(&slots, number) {
            self.start_health_check(slot);
        }
    }

    /// Makes one server's next trial due, another's with each number.
    fn schedule_zone_trial(&mut self, zone: u32, number: u64) {
        let now = self.now;
        let slots = self.servers_of_zone(zone);
        let Some(slot) = nth_in_turn(&slots, number) else { return };
        if let Some(ejection) = self.servers[slot].ejection_mut() {
            ejection.next_trial = now;
            ejection.trial_in_flight = false;
        }
    }
}

/// The slot whose turn it is.
fn nth_in_turn(slots: &[Slot], number: u64) -> Option<Slot> {
    let count = u64::try_from(slots.len()).ok().filter(|count| *count > 0)?;
    slots.get((number % count) as usize).copied()
}
