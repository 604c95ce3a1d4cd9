//! Dissemination: the contents of messages and the receivers of gossip. A message carries pending gossip first, then the
//! states of members in rotation, which the receiver may lack (anti-entropy), all within the send budget.

use super::entries::{write_full_state, write_payload, write_state};
use super::*;
use crate::member::MemberState;
use crate::wire::{Header, MessageWriter};
use rand::seq::index::sample;

/// The parameters of a message to be sent.
struct Outgoing {
    kind: MessageKind,
    probe_number: u32,
    /// For messages of indirect probes, the member that they are about.
    subject: Option<Address>,
    /// Whether every announcement carries its names, for a receiver that joins.
    all_names: bool,
}

impl<H: Host> Membership<H> {
    pub(super) fn send_message(&mut self, to: Address, kind: MessageKind, probe_number: u32) {
        self.send(to, Outgoing { kind, probe_number, subject: None, all_names: false });
    }

    /// Sends a message with the names of all members in it, for a receiver that has just joined.
    pub(super) fn send_with_names(&mut self, to: Address, kind: MessageKind, probe_number: u32) {
        self.send(to, Outgoing { kind, probe_number, subject: None, all_names: true });
    }

    pub(super) fn send_with_subject(
        &mut self,
        to: Address,
        kind: MessageKind,
        probe_number: u32,
        subject: Address,
    ) {
        self.send(to, Outgoing { kind, probe_number, subject: Some(subject), all_names: false });
    }

    /// The addresses of up to `count` random live members.
    pub(super) fn random_live(&mut self, count: usize, except: Option<Address>) -> Vec<Address> {
        let live = self.members.live();
        let mut chosen: Vec<Address> = Vec::new();
        for _ in 0..4 * count {
            if live.is_empty() || chosen.len() >= count {
                break;
            }
            let member = self.members.get(live[self.rng.random_range(0..live.len())]);
            if Some(member.address()) != except && !chosen.contains(&member.address()) {
                chosen.push(member.address());
            }
        }
        chosen
    }

    /// Sends pending gossip to random live members, if it is due and the budget allows it.
    pub(super) fn send_gossip(&mut self) {
        if self.next_gossip_at > self.now {
            return;
        }
        self.next_gossip_at = self.now + GOSSIP_INTERVAL;
        let views_differ = self.views_differ_until > self.now;
        if !self.members.has_pending_gossip() && !views_differ && self.payload_transmissions_left == 0 {
            return;
        }
        for to in self.random_live(GOSSIP_FANOUT, None) {
            self.payload_transmissions_left = self.payload_transmissions_left.saturating_sub(1);
            let can_send = self.send_budget.can_spare_datagram(self.now);
            if can_send && self.send_budget.gossip_allowance(self.now) >= MIN_GOSSIP_BYTES {
                self.send_message(to, MessageKind::Gossip, 0);
            }
        }
    }

    /// Pings some absent members, and a seed that is not a known member. Without these pings the sides of a partition
    /// would not find each other after it heals, as all other messages go to live members.
    pub(super) fn reconnect(&mut self) {
        let absent = self.members.absent();
        let isolated = self.members.live().is_empty();
        let limit = if isolated { 4 * MAX_RECONNECTS } else { MAX_RECONNECTS };
        let mut to: Vec<Address> = sample(&mut self.rng, absent.len(), limit.min(absent.len()))
            .into_iter()
            .map(|index| self.members.get(absent[index]).address())
            .collect();
        let unknown = |seed: &&Address| self.members.slot(**seed).is_none();
        let seeds: Vec<Address> = self.seeds.iter().filter(unknown).copied().collect();
        let seed_count = if isolated { INDIRECT_PROBES } else { 1 }.min(seeds.len());
        to.extend(sample(&mut self.rng, seeds.len(), seed_count).into_iter().map(|index| seeds[index]));
        to.into_iter().for_each(|to| self.send_message(to, MessageKind::Ping, 0));
    }

    /// Anti-entropy: sends the members of the ring partitions in which the receiver's view differs.
    pub(super) fn send_differing_partitions(&mut self, to: Address, digests: &[u16]) {
        let own = self.digests().truncated();
        let differs = |partition: usize| digests.get(partition).is_some_and(|other| *other != own[partition]);
        if !(0..Digests::PARTITIONS).any(differs) {
            return;
        }
        let from = self.rng.random_range(0..Digests::PARTITIONS);
        let mut writer = self.begin_message(MessageKind::Gossip, 0);
        let write = |member: &Member| write_full_state(&mut writer, member, false);
        self.members.for_each_in_partitions(differs, from, write);
        self.transmit(to, writer);
    }

    fn begin_message(&mut self, kind: MessageKind, probe_number: u32) -> MessageWriter {
        self.own.sequence += 1;
        self.own.affirmed_epoch = self.epoch;
        let header = Header { kind, probe_number, epoch: self.epoch, digest: self.digest() };
        let allowance = self.send_budget.gossip_allowance(self.now);
        let mut writer = MessageWriter::new(header, &self.own, allowance);
        if self.payload.version > 0 {
            writer.own_payload(&self.own, &self.payload);
        }
        writer
    }

    fn transmit(&mut self, to: Address, writer: MessageWriter) {
        let bytes = writer.finish(&self.fleet);
        if !self.send_budget.try_spend(self.now, bytes.len()) {
            self.counters.suppressed += 1;
            return;
        }
        self.counters.datagrams += 1;
        self.counters.bytes += bytes.len() as u64;
        self.host.send(to, &bytes);
    }

    fn send(&mut self, to: Address, message: Outgoing) {
        let Outgoing { kind, probe_number, subject, all_names } = message;
        let views_differ = self.views_differ_until > self.now || all_names;
        let mut writer = self.begin_message(kind, probe_number);
        if views_differ && kind == MessageKind::Gossip {
            writer.partition_digests(&self.digests().truncated());
        }
        if let Some(subject) = subject {
            let slot = self.members.slot(subject);
            writer.subject(subject, slot.map(|slot| &self.members.get(slot).announcement));
        }
        if let Some(slot) = self.members.slot(to) {
            // The receiver can refute a suspicion or death only once it has received it.
            let member = self.members.get(slot);
            if member.state != MemberState::Alive {
                write_state(&mut writer, member, false);
            }
        }
        self.write_pending_gossip(&mut writer, views_differ, all_names);
        self.write_rotation(&mut writer, views_differ, all_names);
        self.transmit(to, writer);
    }

    fn write_pending_gossip(&mut self, writer: &mut MessageWriter, views_differ: bool, all_names: bool) {
        let now = self.now;
        // The names of a recent joiner are included in a third of the messages: receivers can count it without them.
        let some_names = self.rng.random_ratio(1, 3);
        let names =
            |member: &Member| all_names || (some_names && member.state_since + 4 * PROTOCOL_PERIOD > now);
        let available = writer.remaining_bytes();
        self.members.drain_gossip(|member| {
            // While views differ, half of the message is left to the rotation.
            if views_differ && 2 * writer.remaining_bytes() < available {
                return false;
            }
            if member.payload_only && member.state == MemberState::Alive {
                write_payload(writer, member, now)
            } else {
                write_state(writer, member, names(member))
            }
        });
    }

    fn write_rotation(&mut self, writer: &mut MessageWriter, views_differ: bool, all_names: bool) {
        let now = self.now;
        if self.members.rotation_len() > 0 && self.rng.random_ratio(1, 4) {
            // If all members kept the same order, they would send each other the same entries.
            let position = self.rng.random_range(0..self.members.rotation_len());
            self.members.set_rotation(position);
        }
        if views_differ && !all_names && self.rng.random_ratio(1, 2) {
            self.write_compact_states(writer);
        }
        let names = all_names || self.rng.random_ratio(1, MESSAGES_PER_NAMED_ROTATION);
        let mut remaining_members = if views_differ { usize::MAX } else { ROTATION_MEMBERS };
        self.members.for_each_in_rotation(|member| {
            if !member.state.is_live() && !views_differ {
                return true;
            }
            remaining_members -= 1;
            remaining_members > 0
                && write_full_state(writer, member, names)
                && write_payload(writer, member, now)
        });
    }
}
