//! The protocol: what a copy does when a message comes and when time passes. It acts through its host; the view that comes
//! of it is read by whoever asks.
//!
//! Each period a copy asks two members whether they are there: the next on the ring, so that everybody is looked at in
//! each period by somebody, and one in turn. One who doesn't answer is asked through three others. One whom nobody
//! reached is accused, in a new epoch; every word that it says after it has heard of that epoch, from anyone, clears it.
//! An accuser declares it dead once three accuse it (or all who can be heard, where they are fewer) and half a second
//! has brought no such word. A copy that hears nobody tells nobody what it thinks of them.

use crate::budget::SendBudget;
use crate::fleet_size::{FleetSize, FleetSizeEstimator};
use crate::member::{Address, Announcement, Member, MemberState, Payload};
use crate::member_table::{Digests, MemberTable};
use crate::ordinals;
use crate::probes::{Probe, ProbeSender, ProbeTracker};
use crate::wire::{self, EntryVisitor, Header, MessageError, MessageKind, MessageWriter};
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

mod dissemination;
mod host;
mod probing;
mod receive;

pub use host::{Counters, Host, MemberConfig};

use receive::EntryHandler;

/// What is told of a life has 48 bits; an epoch, which has as many, grows by no more than this in one message.
const MAX_INCARNATION: u64 = 0xffff_ffff_ffff;
const MAX_EPOCH_ADVANCE: u64 = 1 << 32;
const PROTOCOL_PERIOD: Duration = Duration::from_millis(250);
const INDIRECT_PROBES: usize = 3;
/// So many have to accuse a member before it is declared dead.
const DEATH_QUORUM: usize = 3;
/// So many of all who hear an accusation look for themselves, on average.
const EXPECTED_VERIFIERS: f64 = 3.0;
/// Who has not been heard for so long counts for no agreement.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(1);
/// One who is declared dead has so long from the first doubt, for its own word to come.
const REFUTATION_GRACE: Duration = Duration::from_millis(400);
/// Views that differed are brought together for so long after the last sign of it.
const ANTI_ENTROPY_DURATION: Duration = Duration::from_millis(500);
/// Members that are away, and seeds, are looked for this often.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(500);
const LEAVE_FANOUT: usize = 12;
/// A tick that comes so much later than the last shows that this copy was held up.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(150);
const MAX_HEALTH_PENALTY: u32 = 4;
/// So long after its start a copy takes a place.
const ORDINAL_DELAY: Duration = Duration::from_millis(1500);
const FLEET_SIZE_INTERVAL: Duration = Duration::from_millis(250);
/// Words of traffic older than this are not counted.
const TRAFFIC_REPORT_TTL: Duration = Duration::from_secs(60);
/// As long a dead member may be alive beyond a cut, and send to a cold server.
const POSSIBLY_LIVE_FOR: Duration = Duration::from_secs(30);

pub struct Membership<H: Host> {
    host: H,
    fleet: Box<str>,
    own: Announcement,
    /// Its own word beside, and how many times it is still told at once.
    payload: Payload,
    payload_transmissions_left: u32,
    seeds: Vec<Address>,
    members: MemberTable,
    rng: ChaCha8Rng,
    send_budget: SendBudget,
    probes: ProbeTracker,
    epoch: u64,
    started_at: Duration,
    now: Duration,
    last_tick: Duration,
    next_probe_at: Duration,
    next_suspect_ping_at: Duration,
    next_gossip_at: Duration,
    next_reconnect_at: Duration,
    next_size_update_at: Duration,
    views_differ_until: Duration,
    /// The last epoch that anybody was declared dead in: who affirmed it since is alive, whatever was declared.
    last_death_epoch: u64,
    /// Members still to be asked in this round.
    probe_round: Vec<Address>,
    /// Since when this copy accuses whom it accuses.
    own_suspicions: Vec<(Address, Duration)>,
    /// How far it doubts itself: it was held up, or accused who was alive.
    health_penalty: u32,
    size_estimator: FleetSizeEstimator,
    /// Copies by the configuration: as many may live, whatever is heard.
    configured_members: f64,
    fleet_size: FleetSize,
    counters: Counters,
    rejected_members: u64,
    any_member_heard: bool,
}

impl<H: Host> Membership<H> {
    /// How often `tick` is to be called.
    pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

    pub fn start(host: H, config: MemberConfig, seed: u64, now: Duration) -> Membership<H> {
        let own = Announcement {
            address: config.address,
            incarnation: config.incarnation.min(MAX_INCARNATION),
            sequence: 0,
            affirmed_epoch: 1,
            traffic_tenths: 0,
            ordinal: ordinals::UNASSIGNED,
            left: false,
            considered_dead: false,
            name: wire::truncated_name(&config.name).into(),
            zone: wire::truncated_name(&config.zone).into(),
        };
        let seeds = config.seeds.into_iter().filter(|seed| *seed != config.address).collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Copies that start together must not ask together for ever.
        let first = PROTOCOL_PERIOD.mul_f64(rng.random());
        let (copies, possibly_live) = (config.configured_members, config.configured_members);
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
            next_probe_at: now + first,
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
            fleet_size: FleetSize {
                members: copies,
                possibly_live,
                ordinal: ordinals::UNASSIGNED,
                mean_traffic: None,
            },
            counters: Counters::default(),
            rejected_members: 0,
            any_member_heard: false,
        }
    }

    // What others may ask

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn address(&self) -> Address {
        self.own.address
    }

    /// All other members that are known, those that are away among them.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.all()
    }

    /// How many count, this copy among them.
    pub fn live_count(&self) -> usize {
        self.members.live().len() + usize::from(!self.own.left)
    }

    /// Two copies that count the same members have the same digest.
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

    pub fn fleet_size(&self) -> FleetSize {
        self.fleet_size
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// How far this copy doubts itself, from 0 to 4.
    pub fn health_penalty(&self) -> u32 {
        self.health_penalty
    }

    /// Whether anybody was heard lately.
    pub fn has_recent_contact(&self) -> bool {
        self.members.live_members().any(|member| self.is_reachable(member))
    }

    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    // What happens

    /// Commands a second that come to this copy.
    pub fn set_traffic(&mut self, per_s: f64) {
        self.own.traffic_tenths = (per_s * 10.0).clamp(0.0, 65535.0) as u16;
    }

    /// What else this copy says, at most 200 bytes: it goes with all that it sends, and others pass it on; at once where it
    /// presses. Each replaces the one before; no bytes say nothing.
    pub fn set_payload(&mut self, bytes: &[u8], urgent: bool) {
        let bytes = &bytes[..bytes.len().min(wire::MAX_PAYLOAD_BYTES)];
        if *self.payload.bytes == *bytes && !urgent {
            return;
        }
        self.payload = Payload { version: self.payload.version.wrapping_add(1), urgent, bytes: bytes.into() };
        if urgent {
            self.payload_transmissions_left = self.members.transmission_limit();
        }
    }

    /// It ends: told to some, who tell it on; nobody is waited for.
    pub fn leave(&mut self, now: Duration) {
        self.now = now;
        self.own.left = true;
        let to: Vec<Address> = self.random_live(LEAVE_FANOUT, None);
        to.into_iter().for_each(|to| self.send(to, MessageKind::Gossip, 0, None, false));
    }

    pub fn receive(&mut self, now: Duration, bytes: &[u8]) {
        self.now = now;
        let (header, entries) = match wire::decode_header(bytes, &self.fleet) {
            Ok(read) => read,
            Err(MessageError::Unrecognized) => return self.counters.unrecognized += 1,
            Err(MessageError::NewerVersion) => return self.counters.newer_version += 1,
        };
        let Some((announcement, rest)) = wire::decode_sender(entries) else {
            return self.counters.unrecognized += 1;
        };
        let from = announcement.address;
        if from == self.own.address {
            // Its own, come back; or another process's under its address.
            return self.receive_own_announcement(&announcement);
        }
        if !self.accepts_epoch(header.epoch) || !self.accepts_epoch(announcement.affirmed_epoch) {
            return self.counters.unrecognized += 1;
        }
        self.epoch = self.epoch.max(header.epoch);
        if header.digest != self.digest() {
            self.views_differ_until = now + ANTI_ENTROPY_DURATION;
        }
        let known = self.members.slot(from).is_some_and(|slot| self.members.get(slot).state.is_live());
        self.receive_announcement(announcement, true);
        let mut handler = EntryHandler { membership: self, subject: None, partitions: Vec::new() };
        if wire::decode_entries(rest, &mut handler).is_none() {
            handler.membership.counters.unrecognized += 1;
        }
        let (subject, partitions) = (handler.subject, std::mem::take(&mut handler.partitions));
        if !partitions.is_empty() && self.send_budget.can_spare_datagram(now) {
            self.send_partitions(from, &partitions);
        }
        match (header.kind, subject) {
            (MessageKind::Ping, _) => self.send(from, MessageKind::Ack, header.probe_number, None, !known),
            (MessageKind::Ack, subject) => self.handle_ack(header.probe_number, subject.unwrap_or(from)),
            (MessageKind::PingReq, Some(subject)) => self.handle_ping_req(from, header.probe_number, subject),
            // Its helper does not reach the subject, but answers: the fault is not this copy's own.
            (MessageKind::Nack, _) => self.health_penalty = self.health_penalty.saturating_sub(1),
            (MessageKind::PingReq, None) | (MessageKind::Gossip, _) => {}
        }
    }

    pub fn tick(&mut self, now: Duration) {
        let (before, late) = (self.last_tick, now.saturating_sub(self.last_tick + Self::TICK_INTERVAL));
        (self.now, self.last_tick) = (now, now);
        if late > PAUSE_THRESHOLD {
            // Whoever was silent meanwhile may have spoken.
            self.probes.exclude_pause(before, late);
            self.members.exclude_pause(before, late);
            let suspicions = self.own_suspicions.iter_mut().filter(|(_, since)| *since <= before);
            suspicions.for_each(|(_, since)| *since += late);
            self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
        }
        if self.own.left {
            return;
        }
        let patience = 1 + self.health_penalty + self.probes.latency_factor();
        for probe in self.probes.take_expired(now, patience) {
            self.probe_failed(&probe);
        }
        let mut probes = std::mem::take(&mut self.probes);
        probes.send_due(now, patience, self);
        self.probes = probes;
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
            self.update_fleet_size();
        }
        self.fleet_size.members = self.size_estimator.advance(now, self.live_estimate());
    }

    // What is known

    /// Until anybody was heard, what is configured holds.
    fn live_estimate(&self) -> f64 {
        if self.any_member_heard { self.live_count() as f64 } else { self.fleet_size.members }
    }

    fn update_fleet_size(&mut self) {
        let now = self.now;
        // Before the view has filled its rank would be another's.
        if self.started_at + ORDINAL_DELAY <= now {
            let (own, rng) = (
                (self.own.incarnation, self.own.address),
                self.rng.random_range(0..ordinals::ORDINAL_CANDIDATES),
            );
            self.own.ordinal = ordinals::choose(own, self.own.ordinal, self.members.live_members(), rng);
            self.fleet_size.ordinal = self.own.ordinal;
        }
        if !self.any_member_heard {
            return;
        }
        let considered_dead = self.members.absent().iter().map(|slot| self.members.get(*slot));
        let possibly_live = considered_dead.filter(|member| {
            member.state == MemberState::Dead && member.state_since + POSSIBLY_LIVE_FOR > now
        });
        // One that hears nobody for long is no fleet of its own: others may be cut off as it is.
        self.fleet_size.possibly_live =
            ((self.live_count() + possibly_live.count()) as f64).max(self.configured_members);
        let reporting =
            self.members.live_members().filter(|member| member.last_heard + TRAFFIC_REPORT_TTL > now);
        let (sum, count) =
            reporting.fold((0.0, 0.0), |(sum, count), member| (sum + member.commands_per_s(), count + 1.0));
        let own = f64::from(self.own.traffic_tenths) / 10.0;
        self.fleet_size.mean_traffic = (count > 0.0).then(|| (sum + own) / (count + 1.0));
    }

    /// No fleet comes so far within one message; a word that says so would be believed for ever.
    fn accepts_epoch(&self, epoch: u64) -> bool {
        epoch <= self.epoch + MAX_EPOCH_ADVANCE
    }

    fn receive_own_announcement(&mut self, announcement: &Announcement) {
        if (announcement.incarnation, announcement.sequence) <= (self.own.incarnation, self.own.sequence) {
            return;
        }
        // Another process had the address, with a clock ahead of this one's.
        (self.own.incarnation, self.own.sequence) = ((announcement.incarnation + 1).min(MAX_INCARNATION), 0);
        self.host.presumed_dead();
    }

    fn receive_announcement(&mut self, announcement: Announcement, direct: bool) {
        let (address, now) = (announcement.address, self.now);
        if address == self.own.address {
            return self.receive_own_announcement(&announcement);
        }
        if !self.accepts_epoch(announcement.affirmed_epoch) {
            return;
        }
        self.epoch = self.epoch.max(announcement.affirmed_epoch);
        self.any_member_heard = true;
        let Some(slot) = self.members.slot(address) else {
            return self.add_member(announcement, direct);
        };
        let incarnation = self.members.get(slot).incarnation();
        if direct {
            self.members.get_mut(slot).last_direct = Some(now);
        }
        let changed = self
            .members
            .update(slot, now, REFUTATION_GRACE, |member| member.merge_announcement(announcement, now));
        let Some((before, after)) = changed else { return };
        self.state_changed(slot, before, after);
        if self.members.get(slot).incarnation() != incarnation && after.is_live() {
            self.members.enqueue_gossip(slot);
            if before == after {
                self.host.returned(self.members.get(slot));
            }
        }
    }

    fn add_member(&mut self, announcement: Announcement, direct: bool) {
        let (now, is_live) = (self.now, !announcement.left && !announcement.considered_dead);
        let Some(slot) = self.members.add(announcement, now) else {
            self.rejected_members += 1;
            if self.rejected_members.is_power_of_two() {
                self.host.table_full(self.rejected_members as usize);
            }
            return;
        };
        if direct {
            self.members.get_mut(slot).last_direct = Some(now);
        }
        if is_live {
            self.members.enqueue_gossip(slot);
            let member = self.members.get(slot);
            self.host.joined(member);
            let twin = self.members.live_members().find(|other| {
                other.name() == member.name()
                    && !other.name().is_empty()
                    && other.address() != member.address()
            });
            twin.into_iter().for_each(|twin| self.host.duplicate_name(twin, member));
        }
    }

    /// What is told on and to whom it matters, after a member's standing may have changed.
    fn state_changed(&mut self, slot: usize, before: MemberState, after: MemberState) {
        if before == after {
            return;
        }
        self.members.enqueue_gossip(slot);
        let member = self.members.get(slot);
        match (before, after) {
            (_, MemberState::Suspect) => self.host.suspected(member),
            (MemberState::Suspect, MemberState::Alive) => self.host.refuted(member),
            (_, MemberState::Alive) => self.host.returned(member),
            (_, MemberState::Dead) => self.host.died(member, !member.local_only),
            (_, MemberState::Left) => {
                self.host.left(member);
                self.size_estimator.member_left();
            }
        }
    }

    /// Whether a member can be counted on to answer.
    fn is_reachable(&self, member: &Member) -> bool {
        let recently_heard = member.last_direct.is_some_and(|at| at + CONTACT_TIMEOUT > self.now);
        recently_heard && member.state == MemberState::Alive
    }

    /// How many can be counted on, up to the number that has to agree.
    fn reachable_count(&self) -> usize {
        self.members.live_members().filter(|member| self.is_reachable(member)).take(DEATH_QUORUM).count()
    }

    /// The chance with which one who hears an accusation looks for itself: where few are left, all have to.
    fn verification_chance(&self) -> f64 {
        if self.reachable_count() < DEATH_QUORUM {
            1.0
        } else {
            EXPECTED_VERIFIERS / self.members.live().len() as f64
        }
    }
}
