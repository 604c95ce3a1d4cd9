//! The protocol: what a member does when a message comes and when time passes. It acts through its host; whoever needs the
//! view reads it here.
//!
//! In each period a member probes two others: the next on the ring, so that each member is probed by somebody in each
//! period, and one of a shuffled round. Who does not ack is probed through three others. Who is not reached by them either
//! is suspected, under a new epoch; every announcement that the suspect makes once it has heard of that epoch, from anyone,
//! refutes the suspicion. A suspector declares it dead once three suspect it (or all who are reachable, where they are
//! fewer) and half a second has brought no refutation. A member that hears nobody gossips none of its conclusions.

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

/// A suspicion that this member raised.
#[derive(Clone, Copy, Debug)]
struct OwnSuspicion {
    target: Address,
    since: Duration,
}

/// One member's side of the protocol, and its view of the fleet.
pub struct Membership<H: Host> {
    host: H,
    fleet: Box<str>,
    /// The announcement that it makes of itself.
    own: Announcement,
    payload: Payload,
    /// How many times an urgent payload is still to be gossiped at once.
    payload_transmissions_left: u32,
    seeds: Vec<Address>,
    members: MemberTable,
    rng: ChaCha8Rng,
    send_budget: SendBudget,
    probes: ProbeTracker,
    /// The highest epoch that it has heard of; each suspicion is a new one.
    epoch: u64,
    started_at: Duration,
    now: Duration,
    last_tick: Duration,
    next_probe_at: Duration,
    next_suspect_ping_at: Duration,
    next_gossip_at: Duration,
    next_reconnect_at: Duration,
    next_size_update_at: Duration,
    /// Anti-entropy goes on until then.
    views_differ_until: Duration,
    /// The last epoch in which any member was declared dead: who affirmed a later one is alive, whatever was declared.
    last_death_epoch: u64,
    /// Members not probed yet in this shuffled round.
    probe_round: Vec<Address>,
    /// The suspicions that this member itself has raised.
    own_suspicions: Vec<OwnSuspicion>,
    /// Lifeguard's local health: it grows where the process was paused, or suspected a member that was alive.
    health_penalty: u32,
    size_estimator: FleetSizeEstimator,
    configured_members: f64,
    fleet_size: FleetSize,
    counters: Counters,
    rejected_members: u64,
    other_member_seen: bool,
}

impl<H: Host> Membership<H> {
    /// How often `tick` is to be called.
    pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

    /// Starts a member. All random choices are drawn from `seed`.
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
        // Members that start together must not probe in step for ever.
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

    /// The highest epoch that this member has heard of.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The address at which others reach this member.
    pub fn address(&self) -> Address {
        self.own.address
    }

    /// All other members that are known, absent ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.all()
    }

    /// How many members are live, this one included.
    pub fn live_count(&self) -> usize {
        self.members.live().len() + usize::from(!self.own.left)
    }

    /// The digest of the view: equal where two members hold the same members live.
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

    /// The fleet's size for the decision engine.
    pub fn fleet_size(&self) -> FleetSize {
        self.fleet_size
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// How much this member distrusts its own failure detection, from 0 to 4.
    pub fn health_penalty(&self) -> u32 {
        self.health_penalty
    }

    /// Whether some live member was heard directly of late.
    pub fn has_recent_contact(&self) -> bool {
        self.members.live_members().any(|member| self.is_reachable(member))
    }

    /// The host that it acts through.
    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    /// Sets the commands a second that this member reports.
    pub fn set_request_rate(&mut self, per_s: f64) {
        self.own.request_rate_tenths = (per_s * 10.0).clamp(0.0, 65535.0) as u16;
    }

    /// Publishes a payload of at most `MAX_PAYLOAD_BYTES` in place of the previous one. It goes with every message, and
    /// receivers relay it; at once where it is urgent. An empty payload is not sent.
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

    /// Announces to some members, who gossip it, that this one leaves; nothing is waited for.
    pub fn leave(&mut self, now: Duration) {
        self.now = now;
        self.own.left = true;
        for to in self.random_live(LEAVE_FANOUT, None) {
            self.send_message(to, MessageKind::Gossip, 0);
        }
    }
}
