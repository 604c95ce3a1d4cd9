//! Helpers for tests of the decoder and of fleets with mixed protocol versions.

use super::decode::{EntryVisitor, decode_entries, decode_sender};
use super::error::MessageError;
use super::format::{MAX_MESSAGE_BYTES, PROTOCOL_VERSION, checksum};
use super::header::decode_header;
use crate::member::{Address, Announcement, Payload};
use std::time::Duration;

/// Converts a message to the form that the next protocol version might send: with that version's number and, if it fits,
/// with an entry of an unknown type. Returns `None` if the bytes are not a message of the fleet.
pub fn as_newer_version(bytes: &[u8], fleet: &str) -> Option<Vec<u8>> {
    const UNKNOWN_ENTRY: [u8; 5] = [200, 3, 1, 2, 3];
    decode_header(bytes, fleet).ok()?;
    let mut newer = bytes.to_vec();
    newer[1] = PROTOCOL_VERSION + 1;
    if newer.len() + UNKNOWN_ENTRY.len() <= MAX_MESSAGE_BYTES {
        newer.extend(UNKNOWN_ENTRY);
    }
    let sum = checksum(fleet, &newer);
    newer[4..8].copy_from_slice(&sum);
    Some(newer)
}

/// Whether all entries of the message can be decoded; an error if the header is not that of a message of the fleet.
pub fn is_well_formed(bytes: &[u8], fleet: &str) -> Result<bool, MessageError> {
    struct Ignore;
    impl EntryVisitor for Ignore {
        fn announcement(&mut self, _: Announcement) {}
        fn suspicion(&mut self, _: Address, _: u64, _: u64, _: Address) {}
        fn death(&mut self, _: Address, _: u16, _: u64) {}
        fn subject(&mut self, _: Address) {}
        fn partition_digests(&mut self, _: Vec<u16>) {}
        fn affirmation(&mut self, _: Address, _: u16, _: u64) {}
        fn payload(&mut self, _: Address, _: u16, _: Payload, _: Duration) {}
    }
    let (_, entries) = decode_header(bytes, fleet)?;
    Ok(decode_sender(entries).is_some_and(|(_, rest)| decode_entries(rest, &mut Ignore).is_some()))
}
