//! The membership protocol: a member's reactions to messages and to the passage of time, and its view of the fleet.

mod dissemination;
mod entries;
mod host;
mod limits;
mod probing;
mod receive;
mod suspicion;
mod tick;

pub use host::{Counters, Host, MemberConfig};

use crate::budget::SendBudget;
use crate::digests::Digests;
use crate::fleet_size::{FleetSize, FleetSizeEstimator};
use crate::member::{Address, Announcement, Member, Payload};
use crate::member_table::MemberTable;
use crate::ordinals;
use crate::probes::ProbeTracker;
use crate::wire::{self, MessageKind};
use limits::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A suspicion that the local member raised.
#[derive(Clone, Copy, Debug)]
struct OwnSuspicion {
    target: Address,
    since: Duration,
}

/// The local member's protocol state and its view of the fleet.
///
/// In each protocol period a member probes two others: the next on the ring, so that every member is probed in each period,
/// and one from a shuffled round. A member that does not ack is probed indirectly through three others, and suspected under
/// a new epoch if that fails too. Any announcement that the suspect makes after it has seen that epoch refutes the
/// suspicion. A suspector declares the suspect dead once three members suspect it (or all reachable ones, if they are
/// fewer) and at least 0.5 s has passed without a refutation. A member that receives no messages does not gossip the deaths
/// that it declares.
pub struct Membership<H: Host> {
    host: H,
    fleet: Box<str>,
    /// The local member's announcement of itself.
    own: Announcement,
    payload: Payload,
    /// The number of immediate gossip messages still to be sent for an urgent payload.
    payload_transmissions_left: u32,
    seeds: Vec<Address>,
    members: MemberTable,
    rng: ChaCha8Rng,
    send_budget: SendBudget,
    probes: ProbeTracker,
    /// The highest epoch seen; each suspicion starts a new one.
    epoch: u64,
    started_at: Duration,
    now: Duration,
    last_tick: Duration,
    next_probe_at: Duration,
    next_suspect_ping_at: Duration,
    next_gossip_at: Duration,
    next_reconnect_at: Duration,
    next_size_update_at: Duration,
    /// The time until which anti-entropy continues.
    views_differ_until: Duration,
    /// The last epoch in which any member was declared dead. An affirmation of this epoch or a later one refutes every
    /// declared death.
    last_death_epoch: u64,
    /// Members not probed yet in this shuffled round.
    probe_round: Vec<Address>,
    /// The suspicions raised by the local member itself.
    own_suspicions: Vec<OwnSuspicion>,
    /// Lifeguard's local health: it increases after a pause of the process, and after a suspicion that was refuted.
    health_penalty: u32,
    size_estimator: FleetSizeEstimator,
    configured_members: f64,
    fleet_size: FleetSize,
    counters: Counters,
    rejected_members: u64,
    other_member_seen: bool,
}

impl<H: Host> Membership<H> {
    /// The interval at which `tick` must be called.
    pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

    /// Starts a member. All random choices derive from `seed`.
    pub fn start(host: H, config: MemberConfig, seed: u64, now: Duration) -> Membership<H> {
        let own = Announcement {
            address: config.address,
            incarnation: config.incarnation.min(MAX_INCARNATION),
            sequence: 0,
            affirmed_epoch: 1,
            request_rate_tenths: 0,
            ordinal: ordinals::UNASSIGNED,
            left: false,
            considered_dead: false,
            name: wire::truncated_name(&config.name).into(),
            zone: wire::truncated_name(&config.zone).into(),
        };
        let seeds = config.seeds.into_iter().filter(|seed| *seed != config.address).collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // A random phase keeps members that start together from probing at the same times.
        let first_probe = PROTOCOL_PERIOD.mul_f64(rng.random());
        let fleet_size = FleetSize {
            members: config.configured_members,
            possibly_live: config.configured_members,
            ordinal: ordinals::UNASSIGNED,
            mean_request_rate: None,
        };
        Membership {
            host,
            fleet: config.fleet.into(),
            own,
            payload: Payload::default(),
            payload_transmissions_left: 0,
            seeds,
            members: MemberTable::default(),
            rng,
            send_budget: SendBudget::new(config.budget, now),
            probes: ProbeTracker::default(),
            epoch: 1,
            started_at: now,
            now,
            last_tick: now,
            next_probe_at: now + first_probe,
            next_suspect_ping_at: now,
            next_gossip_at: now,
            next_reconnect_at: now,
            next_size_update_at: now,
            views_differ_until: now,
            last_death_epoch: 0,
            probe_round: Vec::new(),
            own_suspicions: Vec::new(),
            health_penalty: 0,
            size_estimator: FleetSizeEstimator::new(config.configured_members, now),
            configured_members: config.configured_members,
            fleet_size,
            counters: Counters::default(),
            rejected_members: 0,
            other_member_seen: false,
        }
    }

    /// The highest epoch that this member has seen.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The address at which other members reach this one.
    pub fn address(&self) -> Address {
        self.own.address
    }

    /// All other known members, including absent ones.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.all()
    }

    /// The number of live members, including this one.
    pub fn live_count(&self) -> usize {
        self.members.live().len() + usize::from(!self.own.left)
    }

    /// The digest of the view, which is equal for two members that consider the same members live.
    pub fn digest(&self) -> u64 {
        self.digests().combined()
    }

    fn digests(&self) -> Digests {
        let mut digests = self.members.digests().clone();
        if !self.own.left {
            digests.toggle(&self.own);
        }
        digests
    }

    /// The fleet size for the decision engine.
    pub fn fleet_size(&self) -> FleetSize {
        self.fleet_size
    }

    /// The message counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The penalty by which this member extends its timeouts, from 0 (healthy) to 4.
    pub fn health_penalty(&self) -> u32 {
        self.health_penalty
    }

    /// Whether a message from an alive member has arrived directly within `CONTACT_TIMEOUT`.
    pub fn has_recent_contact(&self) -> bool {
        self.members.live_members().any(|member| self.is_reachable(member))
    }

    /// The host through which this member sends messages and reports events.
    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    /// Sets the request rate that this member reports, in requests per second.
    pub fn set_request_rate(&mut self, per_s: f64) {
        self.own.request_rate_tenths = (per_s * 10.0).clamp(0.0, 65535.0) as u16;
    }

    /// Publishes a payload in place of the previous one, truncated to `MAX_PAYLOAD_BYTES`. Every message carries it, and
    /// receivers relay it, immediately if it is urgent. A payload equal to the previous one is published again only if it
    /// is urgent; the initial payload is empty and not sent.
    pub fn set_payload(&mut self, bytes: &[u8], urgent: bool) {
        let bytes = &bytes[..bytes.len().min(wire::MAX_PAYLOAD_BYTES)];
        if *self.payload.bytes == *bytes && !urgent {
            return;
        }
        let version = self.payload.version.wrapping_add(1);
        self.payload = Payload { version, urgent, bytes: bytes.into() };
        if urgent {
            self.payload_transmissions_left = self.members.transmission_limit();
        }
    }

    /// Announces to `LEAVE_FANOUT` members, which gossip it, that this one leaves, without waiting for acks.
    pub fn leave(&mut self, now: Duration) {
        self.now = now;
        self.own.left = true;
        for to in self.random_live(LEAVE_FANOUT, None) {
            self.send_message(to, MessageKind::Gossip, 0);
        }
    }
}
