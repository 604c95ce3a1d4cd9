//! Zones that the fleet drains and uses again, and this replica's observations of them.

use super::Policy;
use crate::host::Host;
use crate::state::server_set::{Server, Slot};
use crate::state::zones::late_after;
use crate::zones::{ZoneObservation, ZoneTraffic};
use std::time::Duration;

/// A zone is slow if the mean slowness of its servers, a multiple of the overall mean, exceeds this.
const SLOW_ZONE_SLOWNESS: f64 = 1.4;
/// Latency quantile from which the time until an attempt counts as late is derived.
const LATE_QUANTILE: f64 = 0.9;

impl<H: Host> Policy<H> {
    /// Applies the traffic fractions of zones. Zones that are not named keep theirs.
    pub fn zone_traffic_changed(&mut self, now: Duration, traffic: &[ZoneTraffic]) {
        self.now = now;
        for change in traffic {
            self.apply_zone_traffic(change);
        }
    }

    fn apply_zone_traffic(&mut self, change: &ZoneTraffic) {
        let fraction = if change.fraction.is_finite() { change.fraction.clamp(0.0, 1.0) } else { 1.0 };
        let zone = self.zones.get_or_add(change.zone, self.now);
        let previous_fraction = std::mem::replace(&mut zone.fraction, fraction);
        let new_trial = change.trial.filter(|trial| zone.trial != Some(*trial));
        zone.trial = change.trial;
        let drained = fraction <= 0.0;
        let was_drained = previous_fraction <= 0.0;
        if !drained && !was_drained && new_trial.is_some() {
            zone.check_requested_at = Some(self.now);
        }
        if was_drained && !drained {
            zone.reset_losses();
            self.restart_zone(change.zone);
        } else if !was_drained && drained {
            self.drain_zone(change.zone);
        }
        let Some(trial) = new_trial else { return };
        if drained {
            self.schedule_zone_trial(change.zone, trial);
        } else if !was_drained {
            self.check_zone(change.zone, trial);
        }
    }

    /// Observations of the zones whose traffic fractions were received.
    pub fn zone_observations(&mut self, now: Duration) -> Vec<ZoneObservation> {
        let late_after = self.late_after();
        let mut observations: Vec<ZoneObservation> = Vec::with_capacity(self.zones.iter().len());
        for zone in self.zones.iter() {
            observations.push(ZoneObservation {
                zone: zone.id,
                ready: 0,
                answered_ago: zone.last_answered_sent_at.map(|sent_at| now.saturating_sub(sent_at)),
                unanswered_ago: zone.unanswered_ago(now, late_after),
                slow: false,
            });
        }
        for server in self.servers.ready_servers() {
            if let Some(zone) = observations.iter_mut().find(|observed| observed.zone == server.zone) {
                zone.ready += 1;
            }
        }
        for zone in &mut observations {
            zone.slow = self.is_slow_zone(zone.zone);
        }
        observations
    }

    fn is_slow_zone(&self, zone: u32) -> bool {
        let window = self.servers.window().iter().map(|slot| &self.servers[*slot]);
        let available = window.filter(|server| server.zone == zone && server.ejection().is_none());
        let (sum, count) =
            available.fold((0.0, 0.0), |(sum, count), server| (sum + server.slowness, count + 1.0));
        count > 0.0 && sum / count > SLOW_ZONE_SLOWNESS
    }

    /// Number of ready servers outside drained zones. Servers of drained zones do not count toward the ejection limit.
    pub(super) fn servers_in_use(&self) -> usize {
        if !self.zones.any_drained() {
            return self.servers.ready_count();
        }
        self.servers.ready_servers().filter(|server| !self.zones.is_drained(server.zone)).count()
    }

    /// Number of ready servers in this replica's own zone; 0 if the zone is drained.
    pub(super) fn local_servers_in_use(&self) -> usize {
        if self.zones.is_drained(self.settings.zone) { 0 } else { self.servers.local_count() }
    }

    fn late_after(&self) -> Duration {
        let latencies = self.classes.iter().filter_map(|class| class.latency.quantile(LATE_QUANTILE));
        late_after(latencies.fold(0.0, f64::max))
    }

    /// The ready servers of a zone, ordered by id.
    fn servers_of_zone(&self, zone: u32) -> Vec<Slot> {
        let ready = self.servers.ready_servers().filter(|server| server.zone == zone);
        let mut slots: Vec<Slot> = ready.filter_map(|server| self.servers.slot(&server.id)).collect();
        slots.sort_by(|first, second| self.servers[*first].id.cmp(&self.servers[*second].id));
        slots
    }

    /// Ejects all servers of a zone that is drained; ejections in force start again.
    fn drain_zone(&mut self, zone: u32) {
        for slot in self.servers_of_zone(zone) {
            self.restart_ejection(slot);
        }
    }

    /// Ejects servers that joined a drained zone or were restarted in it.
    pub(super) fn eject_drained_servers(&mut self) {
        if !self.zones.any_drained() {
            return;
        }
        let is_not_ejected =
            |server: &&Server| self.zones.is_drained(server.zone) && server.ejection().is_none();
        let not_ejected = self.servers.ready_servers().filter(is_not_ejected);
        let slots = not_ejected.filter_map(|server| self.servers.slot(&server.id)).collect::<Vec<_>>();
        for slot in slots {
            self.restart_ejection(slot);
        }
    }

    /// Starts the slow start of all servers of a zone that is used again: the state of their caches is unknown, and all
    /// replicas return at once.
    fn restart_zone(&mut self, zone: u32) {
        let now = self.now;
        for slot in self.servers_of_zone(zone) {
            self.restart_server(slot, now);
        }
    }

    /// Starts a health check of one server, a different one for each trial number: other replicas find the zone silent,
    /// and this replica may have no observation of it.
    fn check_zone(&mut self, zone: u32, trial: u64) {
        if !self.settings.capabilities.health_checks {
            return;
        }
        let slots = self.servers_of_zone(zone);
        if let Some(slot) = round_robin_slot(&slots, trial) {
            self.start_health_check(slot);
        }
    }

    /// Makes the next trial of one server due, of a different one for each trial number.
    fn schedule_zone_trial(&mut self, zone: u32, trial: u64) {
        let now = self.now;
        let slots = self.servers_of_zone(zone);
        let Some(slot) = round_robin_slot(&slots, trial) else { return };
        if let Some(ejection) = self.servers[slot].ejection_mut() {
            ejection.next_trial = now;
            ejection.trial_in_flight = false;
        }
    }
}

/// The slot whose turn it is in a round robin.
fn round_robin_slot(slots: &[Slot], turn: u64) -> Option<Slot> {
    let count = u64::try_from(slots.len()).ok().filter(|count| *count > 0)?;
    slots.get((turn % count) as usize).copied()
}
