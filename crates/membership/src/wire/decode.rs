//! Decoding of message entries. The input is untrusted: decoding ends at the first truncated or out-of-range value.

use super::format::*;
use crate::member::{Address, Announcement, MAX_NAME_BYTES, Payload};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Receives the entries of a message in message order.
pub trait EntryVisitor {
    /// Called with a member's announcement.
    fn announcement(&mut self, announcement: Announcement);
    /// Called with the suspicion of `target` that `suspector` raised in `epoch`.
    fn suspicion(&mut self, target: Address, incarnation: u64, epoch: u64, suspector: Address);
    /// Called with the death of `target`, declared in `epoch`. Only the low 16 bits of the incarnation are sent.
    fn death(&mut self, target: Address, incarnation_low: u16, epoch: u64);
    /// Called with the member that a probe message is about.
    fn subject(&mut self, subject: Address);
    /// Called with the sender's digests by partition. A newer version may send more of them.
    fn partition_digests(&mut self, digests: Vec<u16>);
    /// Called if `target` affirmed in `epoch` or later that it is alive.
    fn affirmation(&mut self, target: Address, incarnation_low: u16, epoch: u64);
    /// Called with the application payload of `target`, published `age` ago.
    fn payload(&mut self, target: Address, incarnation_low: u16, payload: Payload, age: Duration);
}

/// The unread bytes of an entry. A read returns `None` if too few bytes are left.
pub(super) struct ByteReader<'a>(pub(super) &'a [u8]);

impl<'a> ByteReader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    /// Reads a big-endian unsigned integer of `count` bytes.
    pub(super) fn uint(&mut self, count: usize) -> Option<u64> {
        Some(self.take(count)?.iter().fold(0, |value, byte| value << 8 | u64::from(*byte)))
    }

    fn address(&mut self) -> Option<Address> {
        let ip = Ipv4Addr::from(self.uint(4)? as u32);
        Some(Address::new(ip, self.uint(2)? as u16))
    }

    /// Reads a name. Names with control characters are rejected, as they would corrupt logs and console pages.
    fn name(&mut self) -> Option<Box<str>> {
        let length = self.uint(1)? as usize;
        let text = std::str::from_utf8(self.take(length)?).ok()?;
        let acceptable = length <= MAX_NAME_BYTES && !text.chars().any(char::is_control);
        acceptable.then(|| text.into())
    }

    fn announcement(&mut self) -> Option<Announcement> {
        let mut announcement = Announcement {
            address: self.address()?,
            incarnation: self.uint(6)?,
            sequence: self.uint(4)? as u32,
            affirmed_epoch: self.uint(6)?,
            request_rate_tenths: self.uint(2)? as u16,
            ordinal: self.uint(2)? as u16,
            left: false,
            considered_dead: false,
            name: "".into(),
            zone: "".into(),
        };
        let flags = self.uint(1)? as u8;
        announcement.left = flags & FLAG_LEFT != 0;
        announcement.considered_dead = flags & FLAG_CONSIDERED_DEAD != 0;
        if !self.0.is_empty() {
            announcement.name = self.name()?;
            announcement.zone = self.name()?;
        }
        Some(announcement)
    }

    fn payload(&mut self, visitor: &mut impl EntryVisitor) -> Option<()> {
        let target = self.address()?;
        let incarnation_low = self.uint(2)? as u16;
        let version = self.uint(4)? as u32;
        let age = Duration::from_millis(self.uint(2)? * AGE_UNIT_MS);
        let flags = self.uint(1)? as u8;
        let payload = Payload { version, urgent: flags & FLAG_URGENT != 0, bytes: self.0.into() };
        visitor.payload(target, incarnation_low, payload, age);
        Some(())
    }

    /// Reads one epoch, then addresses and incarnations up to the end of the entry.
    fn compact_entries(&mut self, mut visit: impl FnMut(Address, u16, u64)) -> Option<()> {
        let epoch = self.uint(6)?;
        while !self.0.is_empty() {
            visit(self.address()?, self.uint(2)? as u16, epoch);
        }
        Some(())
    }

    fn partition_digests(&mut self) -> Option<Vec<u16>> {
        let mut digests = Vec::with_capacity(self.0.len() / 2);
        while !self.0.is_empty() {
            digests.push(self.uint(2)? as u16);
        }
        Some(digests)
    }
}

/// Decodes the first entry, which must be the sender's own announcement, and returns it with the bytes after it.
pub fn decode_sender(entries: &[u8]) -> Option<(Announcement, &[u8])> {
    let mut rest = ByteReader(entries);
    let (tag, length) = (rest.uint(1)?, rest.uint(1)? as usize);
    let mut entry = ByteReader(rest.take(length).filter(|_| tag == u64::from(TAG_ANNOUNCEMENT))?);
    Some((entry.announcement()?, rest.0))
}

/// Passes the entries to the visitor. Returns `None` at the first malformed entry; the entries after it are not decoded.
pub fn decode_entries(bytes: &[u8], visitor: &mut impl EntryVisitor) -> Option<()> {
    let mut rest = ByteReader(bytes);
    while !rest.0.is_empty() {
        let (tag, length) = (rest.uint(1)? as u8, rest.uint(1)? as usize);
        let mut entry = ByteReader(rest.take(length)?);
        match tag {
            TAG_ANNOUNCEMENT => visitor.announcement(entry.announcement()?),
            TAG_SUSPICION => {
                visitor.suspicion(entry.address()?, entry.uint(6)?, entry.uint(6)?, entry.address()?);
            }
            TAG_DEATHS => entry.compact_entries(|target, incarnation_low, epoch| {
                visitor.death(target, incarnation_low, epoch);
            })?,
            TAG_SUBJECT => visitor.subject(entry.address()?),
            TAG_AFFIRMATIONS => entry.compact_entries(|target, incarnation_low, epoch| {
                visitor.affirmation(target, incarnation_low, epoch);
            })?,
            TAG_PAYLOAD => entry.payload(visitor)?,
            TAG_PARTITION_DIGESTS => visitor.partition_digests(entry.partition_digests()?),
            // Entry types of newer versions are skipped.
            _ => {}
        }
    }
    Some(())
}
