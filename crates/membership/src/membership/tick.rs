//! Periodic work of a member.

use super::*;
use crate::member::MemberState;

impl<H: Host> Membership<H> {
    /// Performs all due work; must be called every `TICK_INTERVAL`.
    pub fn tick(&mut self, now: Duration) {
        self.detect_pause(now);
        if self.own.left {
            return;
        }
        self.advance_probes();
        self.advance_suspicions();
        if self.next_probe_at <= now {
            self.next_probe_at = now + PROTOCOL_PERIOD;
            self.probe_members();
        }
        self.send_gossip();
        if self.next_reconnect_at <= now {
            self.next_reconnect_at = now + RECONNECT_INTERVAL;
            self.reconnect();
            self.members.forget_absent(now);
        }
        if self.next_size_update_at <= now {
            self.next_size_update_at = now + FLEET_SIZE_INTERVAL;
            self.update_ordinal();
            self.update_fleet_size();
        }
        self.fleet_size.members = self.size_estimator.advance(now, self.live_estimate());
    }

    /// Detects by a late tick that the process was paused, and extends probes and suspicions by the pause, as answers of
    /// other members may not have been read yet.
    fn detect_pause(&mut self, now: Duration) {
        let before = self.last_tick;
        let late = now.saturating_sub(before + Self::TICK_INTERVAL);
        self.now = now;
        self.last_tick = now;
        if late <= PAUSE_THRESHOLD {
            return;
        }
        self.probes.exclude_pause(before, late);
        self.members.exclude_pause(before, late);
        for suspicion in self.own_suspicions.iter_mut().filter(|suspicion| suspicion.since <= before) {
            suspicion.since += late;
        }
        self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
    }

    /// The number of live members; the current estimate until another member is seen, so that the configured size holds.
    fn live_estimate(&self) -> f64 {
        if self.other_member_seen { self.live_count() as f64 } else { self.fleet_size.members }
    }

    fn update_ordinal(&mut self) {
        // While other members are still unknown, the local rank by age would be too low and belong to another member.
        if self.started_at + ORDINAL_DELAY > self.now {
            return;
        }
        let own = (self.own.incarnation, self.own.address);
        let random = self.rng.random_range(0..ordinals::ORDINAL_CANDIDATES);
        self.own.ordinal = ordinals::choose(own, self.own.ordinal, self.members.live_members(), random);
        self.fleet_size.ordinal = self.own.ordinal;
    }

    fn update_fleet_size(&mut self) {
        let now = self.now;
        if !self.other_member_seen {
            return;
        }
        let absent = self.members.absent().iter().map(|slot| self.members.get(*slot));
        let recently_dead = absent.filter(|member| {
            member.state == MemberState::Dead && member.state_since + POSSIBLY_LIVE_FOR > now
        });
        // An isolated member must not assume that it is the whole fleet: other members may be live but unreachable.
        let possibly_live = (self.live_count() + recently_dead.count()) as f64;
        self.fleet_size.possibly_live = possibly_live.max(self.configured_members);
        let reporting =
            self.members.live_members().filter(|member| member.last_heard + REQUEST_RATE_TTL > now);
        let (sum, count) =
            reporting.fold((0.0, 0.0), |(sum, count), member| (sum + member.requests_per_s(), count + 1.0));
        let own = f64::from(self.own.request_rate_tenths) / 10.0;
        self.fleet_size.mean_request_rate = (count > 0.0).then(|| (sum + own) / (count + 1.0));
    }
}
