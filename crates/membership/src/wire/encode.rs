//! Encoding of a message: its header, its entries and its checksum.

use super::format::*;
use super::header::Header;
use crate::member::{Address, Announcement, MAX_NAME_BYTES, Payload};
use std::time::Duration;

/// A message under construction. Entries that do not fit are omitted.
pub struct MessageWriter {
    bytes: Vec<u8>,
    /// The current maximum length of the message, in bytes.
    limit: usize,
}

fn put_u48(bytes: &mut Vec<u8>, value: u64) {
    bytes.extend(&value.to_be_bytes()[2..]);
}

fn put_address(bytes: &mut Vec<u8>, address: Address) {
    bytes.extend(address.ip().octets());
    bytes.extend(address.port().to_be_bytes());
}

impl MessageWriter {
    /// Starts a message with the sender's own announcement. Entries of up to `gossip_bytes` may follow.
    pub fn new(header: Header, own: &Announcement, gossip_bytes: usize) -> MessageWriter {
        let mut bytes = Vec::with_capacity(MAX_MESSAGE_BYTES);
        bytes.extend([MAGIC, PROTOCOL_VERSION, PROTOCOL_VERSION, header.kind as u8, 0, 0, 0, 0]);
        bytes.extend(header.probe_number.to_be_bytes());
        put_u48(&mut bytes, header.epoch);
        bytes.extend(header.digest.to_be_bytes());
        let mut writer = MessageWriter { bytes, limit: MAX_MESSAGE_BYTES };
        writer.announcement(own, true);
        writer.limit = (writer.bytes.len() + gossip_bytes).min(MAX_MESSAGE_BYTES);
        writer
    }

    /// Writes one entry. Returns `false` if it does not fit.
    pub(super) fn entry(&mut self, tag: u8, length: usize, put: impl FnOnce(&mut Vec<u8>)) -> bool {
        let fits = self.bytes.len() + 2 + length <= self.limit;
        if fits {
            self.bytes.extend([tag, length as u8]);
            put(&mut self.bytes);
        }
        fits
    }

    /// Writes a member's announcement, with its name and zone if `names`. Returns `false` if it does not fit.
    pub fn announcement(&mut self, announcement: &Announcement, names: bool) -> bool {
        let (name, zone) = (truncated_name(&announcement.name), truncated_name(&announcement.zone));
        let names = names && !name.is_empty();
        let length = ANNOUNCEMENT_FIXED_BYTES + if names { 2 + name.len() + zone.len() } else { 0 };
        let left = if announcement.left { FLAG_LEFT } else { 0 };
        let considered_dead = if announcement.considered_dead { FLAG_CONSIDERED_DEAD } else { 0 };
        self.entry(TAG_ANNOUNCEMENT, length, |bytes| {
            put_address(bytes, announcement.address);
            put_u48(bytes, announcement.incarnation);
            bytes.extend(announcement.sequence.to_be_bytes());
            put_u48(bytes, announcement.affirmed_epoch);
            bytes.extend(announcement.request_rate_tenths.to_be_bytes());
            bytes.extend(announcement.ordinal.to_be_bytes());
            bytes.push(left | considered_dead);
            if names {
                for text in [name, zone] {
                    bytes.push(text.len() as u8);
                    bytes.extend(text.as_bytes());
                }
            }
        })
    }

    /// Writes the suspicion of `target` that `suspector` raised in `epoch`. Returns `false` if it does not fit.
    pub fn suspicion(&mut self, target: Address, incarnation: u64, epoch: u64, suspector: Address) -> bool {
        self.entry(TAG_SUSPICION, 24, |bytes| {
            put_address(bytes, target);
            put_u48(bytes, incarnation);
            put_u48(bytes, epoch);
            put_address(bytes, suspector);
        })
    }

    /// Writes the sender's own payload, which does not count against the gossip allowance.
    pub fn own_payload(&mut self, own: &Announcement, payload: &Payload) {
        self.limit = (self.limit + 2 + PAYLOAD_FIXED_BYTES + payload.bytes.len()).min(MAX_MESSAGE_BYTES);
        self.payload(own.address, own.incarnation, payload, Duration::ZERO);
    }

    /// Writes a member's payload and its age. Returns `false` if it does not fit.
    pub fn payload(&mut self, target: Address, incarnation: u64, payload: &Payload, age: Duration) -> bool {
        let bytes = &payload.bytes[..payload.bytes.len().min(MAX_PAYLOAD_BYTES)];
        let age_units = (age.as_millis() as u64 / AGE_UNIT_MS).min(u64::from(u16::MAX)) as u16;
        self.entry(TAG_PAYLOAD, PAYLOAD_FIXED_BYTES + bytes.len(), |out| {
            put_address(out, target);
            out.extend((incarnation as u16).to_be_bytes());
            out.extend(payload.version.to_be_bytes());
            out.extend(age_units.to_be_bytes());
            out.push(if payload.urgent { FLAG_URGENT } else { 0 });
            out.extend(bytes);
        })
    }

    /// Writes the digests of all partitions, which do not count against the gossip allowance.
    pub fn partition_digests(&mut self, digests: &[u16]) {
        self.limit = (self.limit + 2 + 2 * digests.len()).min(MAX_MESSAGE_BYTES);
        self.entry(TAG_PARTITION_DIGESTS, 2 * digests.len(), |bytes| {
            digests.iter().for_each(|digest| bytes.extend(digest.to_be_bytes()));
        });
    }

    /// The number of bytes left for entries.
    pub fn remaining_bytes(&self) -> usize {
        self.limit.saturating_sub(self.bytes.len())
    }

    /// The number of members that fit into one further `deaths` or `affirmations` entry.
    pub fn remaining_compact_entries(&self) -> usize {
        let remaining = self.limit.saturating_sub(self.bytes.len() + 2 + 6);
        (remaining / COMPACT_ENTRY_BYTES).min(MAX_COMPACT_ENTRIES)
    }

    /// Writes that these members, each with its incarnation, were declared dead up to `epoch`. Returns `false` if the entry
    /// does not fit.
    pub fn deaths(&mut self, epoch: u64, members: &[(Address, u64)]) -> bool {
        self.compact_entries(TAG_DEATHS, epoch, members)
    }

    /// Writes that these members, each with its incarnation, affirmed `epoch`. Returns `false` if the entry does not fit.
    pub fn affirmations(&mut self, epoch: u64, members: &[(Address, u64)]) -> bool {
        self.compact_entries(TAG_AFFIRMATIONS, epoch, members)
    }

    fn compact_entries(&mut self, tag: u8, epoch: u64, members: &[(Address, u64)]) -> bool {
        if members.is_empty() {
            return true;
        }
        self.entry(tag, 6 + COMPACT_ENTRY_BYTES * members.len(), |bytes| {
            put_u48(bytes, epoch);
            for (address, incarnation) in members {
                put_address(bytes, *address);
                bytes.extend((*incarnation as u16).to_be_bytes());
            }
        })
    }

    /// Writes the member that a probe message is about, with its announcement if known. Neither counts against the gossip
    /// allowance.
    pub fn subject(&mut self, subject: Address, announcement: Option<&Announcement>) {
        self.limit += 8 + 2 + ANNOUNCEMENT_FIXED_BYTES;
        self.entry(TAG_SUBJECT, 6, |bytes| put_address(bytes, subject));
        if let Some(announcement) = announcement {
            self.announcement(announcement, false);
        }
        self.limit = self.limit.min(MAX_MESSAGE_BYTES);
    }

    /// Writes the checksum, which covers the fleet's name, and returns the message.
    pub fn finish(mut self, fleet: &str) -> Vec<u8> {
        let sum = checksum(fleet, &self.bytes);
        self.bytes[4..8].copy_from_slice(&sum);
        self.bytes
    }
}

/// The longest prefix of whole characters that fits into `MAX_NAME_BYTES`.
pub fn truncated_name(text: &str) -> &str {
    let mut end = text.len().min(MAX_NAME_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
