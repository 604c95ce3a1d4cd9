//! What a copy sends: news first, then what the reader may lack, within the budget.

use super::*;

const GOSSIP_INTERVAL: Duration = Duration::from_millis(50);
const GOSSIP_FANOUT: usize = 2;
const MAX_RECONNECTS: usize = 4;
/// News are sent while there is room for so many bytes of them; where views agree a message tells of so many in turn.
const MIN_GOSSIP_BYTES: usize = 320;
const ROTATION_MEMBERS: usize = 11;
/// Names go with one word of so many; all know them already.
const NAMES_ONE_IN: u32 = 8;
/// Members whose standing is told in one entry, and how many are looked through for them.
const STATES_PER_ENTRY: usize = 24;
const MAX_STATES_SCANNED: usize = 200;

impl<H: Host> Membership<H> {
    /// Some members that count, by chance; never this one.
    pub(super) fn random_live(&mut self, count: usize, but: Option<Address>) -> Vec<Address> {
        let live = self.members.live();
        let mut some: Vec<Address> = Vec::new();
        for _ in 0..4 * count {
            if live.is_empty() || some.len() >= count {
                break;
            }
            let member = self.members.get(live[self.rng.random_range(0..live.len())]);
            if Some(member.address()) != but && !some.contains(&member.address()) {
                some.push(member.address());
            }
        }
        some
    }

    pub(super) fn send_gossip(&mut self) {
        if self.next_gossip_at > self.now {
            return;
        }
        self.next_gossip_at = self.now + GOSSIP_INTERVAL;
        if !self.members.has_pending_gossip()
            && self.views_differ_until <= self.now
            && self.payload_transmissions_left == 0
        {
            return;
        }
        for to in self.random_live(GOSSIP_FANOUT, None) {
            self.payload_transmissions_left = self.payload_transmissions_left.saturating_sub(1);
            if self.send_budget.can_spare_datagram(self.now)
                && self.send_budget.gossip_allowance(self.now) >= MIN_GOSSIP_BYTES
            {
                self.send(to, MessageKind::Gossip, 0, None, false);
            }
        }
    }

    /// Looks for some who are away and for a seed that is no member: after a cut nobody else would.
    pub(super) fn reconnect(&mut self) {
        let absent = self.members.absent();
        let nobody = self.members.live().is_empty();
        let most = if nobody { 4 * MAX_RECONNECTS } else { MAX_RECONNECTS };
        let mut to: Vec<Address> = sample(&mut self.rng, absent.len(), most.min(absent.len()))
            .into_iter()
            .map(|at| self.members.get(absent[at]).address())
            .collect();
        let unknown = |seed: &&Address| self.members.slot(**seed).is_none();
        let seeds: Vec<Address> = self.seeds.iter().filter(unknown).copied().collect();
        let asked = if nobody { INDIRECT_PROBES } else { 1 }.min(seeds.len());
        to.extend(sample(&mut self.rng, seeds.len(), asked).into_iter().map(|at| seeds[at]));
        to.into_iter().for_each(|to| self.send(to, MessageKind::Ping, 0, None, false));
    }

    /// Tells one whose view differs what is known here of the parts that it differs in.
    pub(super) fn send_partitions(&mut self, to: Address, partitions: &[u16]) {
        let own = self.digests().truncated();
        let differs = |part: usize| partitions.get(part).is_some_and(|other| *other != own[part]);
        if !(0..Digests::PARTITIONS).any(differs) {
            return;
        }
        let from = self.rng.random_range(0..Digests::PARTITIONS);
        let mut writer = self.begin_message(MessageKind::Gossip, 0);
        self.members
            .for_each_in_partitions(differs, from, |member| write_rotation(&mut writer, member, false));
        self.transmit(to, writer);
    }

    pub(super) fn begin_message(&mut self, kind: MessageKind, number: u32) -> MessageWriter {
        self.own.sequence += 1;
        self.own.affirmed_epoch = self.epoch;
        let header = Header { kind, probe_number: number, epoch: self.epoch, digest: self.digest() };
        let mut writer = MessageWriter::new(header, &self.own, self.send_budget.gossip_allowance(self.now));
        if self.payload.version > 0 {
            writer.own_payload(&self.own, &self.payload);
        }
        writer
    }

    pub(super) fn transmit(&mut self, to: Address, writer: MessageWriter) {
        let bytes = writer.finish(&self.fleet);
        if !self.send_budget.try_spend(self.now, bytes.len()) {
            self.counters.suppressed += 1;
            return;
        }
        self.counters.datagrams += 1;
        self.counters.bytes += bytes.len() as u64;
        self.host.send(to, &bytes);
    }

    /// Writes a message with the news there are, and what else there is room for, and sends it.
    pub(super) fn send(
        &mut self,
        to: Address,
        kind: MessageKind,
        number: u32,
        about: Option<Address>,
        all_names: bool,
    ) {
        let differ = self.views_differ_until > self.now || all_names;
        let mut writer = self.begin_message(kind, number);
        if differ && kind == MessageKind::Gossip {
            writer.partitions(&self.digests().truncated());
        }
        if let Some(subject) = about {
            let slot = self.members.slot(subject);
            writer.subject(subject, slot.map(|slot| &self.members.get(slot).announcement));
        }
        if let Some(slot) =
            self.members.slot(to).filter(|slot| self.members.get(*slot).state != MemberState::Alive)
        {
            // Whoever is doubted hears of it first.
            write(&mut writer, self.members.get(slot), false);
        }
        let now = self.now;
        // Who has just joined is told with its name now and then: to be counted it needs none.
        let some_names = self.rng.random_ratio(1, 3);
        let names =
            |member: &Member| all_names || (some_names && member.state_since + 4 * PROTOCOL_PERIOD > now);
        let room = writer.remaining_bytes();
        self.members.drain_gossip(|member| {
            // Where views differ much, news alone would take too long: half of the room is for the whole.
            let full = differ && 2 * writer.remaining_bytes() < room;
            let told = |writer: &mut MessageWriter| match member.payload_only
                && member.state == MemberState::Alive
            {
                true => write_payload(writer, member, now),
                false => write(writer, member, names(member)),
            };
            !full && told(&mut writer)
        });
        if self.members.rotation_len() > 0 && self.rng.random_ratio(1, 4) {
            // Copies that all told on in one order would tell each other the same.
            let at = self.rng.random_range(0..self.members.rotation_len());
            self.members.set_rotation(at);
        }
        if differ && !all_names && self.rng.random_ratio(1, 2) {
            self.write_states(&mut writer);
        }
        let with_names = all_names || self.rng.random_ratio(1, NAMES_ONE_IN);
        let mut left = if differ { usize::MAX } else { ROTATION_MEMBERS };
        self.members.for_each_in_rotation(|member| {
            let told = member.state.is_live() || differ;
            left -= usize::from(told);
            !told
                || (left > 0
                    && write_rotation(&mut writer, member, with_names)
                    && write_payload(&mut writer, member, now))
        });
        self.transmit(to, writer);
    }
}

impl<H: Host> Membership<H> {
    /// How members stand, in few bytes each: after a cut, that is what views differ in.
    fn write_states(&mut self, writer: &mut MessageWriter) {
        let epoch = self.last_death_epoch;
        while epoch > 0 && writer.remaining_compact_entries() > 0 {
            let most = writer.remaining_compact_entries();
            let (mut alive, mut dead, mut seen) = (Vec::new(), Vec::new(), 0);
            self.members.for_each_in_rotation(|member| {
                let one = (member.address(), member.incarnation());
                if member.state == MemberState::Alive && member.announcement.affirmed_epoch >= epoch {
                    alive.push(one);
                } else if member.state == MemberState::Dead && !member.local_only {
                    dead.push((one, member.dead_epoch));
                }
                seen += 1;
                alive.len() + dead.len() < most.min(STATES_PER_ENTRY) && seen <= MAX_STATES_SCANNED
            });
            let last = dead.iter().map(|(_, epoch)| *epoch).max().unwrap_or(0);
            let dead: Vec<(Address, u64)> = dead.into_iter().map(|(one, _)| one).collect();
            if dead.is_empty() && alive.is_empty() {
                return;
            }
            if !writer.deaths(last, &dead) || !writer.affirmations(epoch, &alive) {
                return;
            }
        }
    }
}

/// What is known of a member with its word, which may be the first or the last that the reader hears of it.
fn write_rotation(writer: &mut MessageWriter, member: &Member, names: bool) -> bool {
    let considered_dead = member.state == MemberState::Dead;
    let told = match member.state {
        MemberState::Alive | MemberState::Left => true,
        MemberState::Suspect => writer.announcement(&member.announcement, names),
        MemberState::Dead => {
            writer.announcement(&Announcement { considered_dead, ..member.announcement.clone() }, names)
        }
    };
    told && write(writer, member, names)
}

/// What is known of a member, if there is room for it. Whoever is doubted or dead is known to all who can be told.
fn write(writer: &mut MessageWriter, member: &Member, names: bool) -> bool {
    let (address, incarnation) = (member.address(), member.incarnation());
    if member.dead_epoch > member.announcement.affirmed_epoch && !member.local_only {
        return writer.deaths(member.dead_epoch, &[(address, incarnation)]);
    }
    let mut suspectors = member.suspectors.iter().take(DEATH_QUORUM);
    if member.state == MemberState::Suspect && !member.suspectors.is_empty() {
        return suspectors
            .all(|(suspector, epoch)| writer.suspicion(address, incarnation, *epoch, *suspector));
    }
    writer.announcement(&member.announcement, names)
}

/// What it says beside, if there is room for it. Of one who is gone nothing is passed on.
fn write_payload(writer: &mut MessageWriter, member: &Member, now: Duration) -> bool {
    let Some((payload, at)) = member.payload.as_ref().filter(|_| member.state.is_live()) else { return true };
    writer.payload(member.address(), member.incarnation(), payload, now.saturating_sub(*at))
}
