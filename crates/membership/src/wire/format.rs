//! Sizes, entry tags, flags and the checksum of the wire format.

/// Maximum length of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1200;
/// The first byte of every message.
pub const MAGIC: u8 = 0xC5;
/// Maximum length of a member's application payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 200;

pub(super) const PROTOCOL_VERSION: u8 = 1;
pub(super) const HEADER_BYTES: usize = 26;

/// A member's announcement, with or without its names.
pub(super) const TAG_ANNOUNCEMENT: u8 = 1;
/// A suspicion of one member by another.
pub(super) const TAG_SUSPICION: u8 = 2;
/// Members declared dead up to one epoch: the epoch, then each member's address and the low 16 bits of its incarnation.
pub(super) const TAG_DEATHS: u8 = 3;
/// The member that a probe message is about.
pub(super) const TAG_SUBJECT: u8 = 4;
/// Members that affirmed one epoch, in the layout of `TAG_DEATHS`.
pub(super) const TAG_AFFIRMATIONS: u8 = 5;
/// The low 16 bits of the digest of each partition of the view.
pub(super) const TAG_PARTITION_DIGESTS: u8 = 6;
/// A member's application payload: its address, the low 16 bits of its incarnation, the payload's version, its age in units
/// of `AGE_UNIT_MS`, flags, and the bytes.
pub(super) const TAG_PAYLOAD: u8 = 7;

pub(super) const PAYLOAD_FIXED_BYTES: usize = 15;
pub(super) const AGE_UNIT_MS: u64 = 10;
/// Payload flag: receivers gossip the payload immediately.
pub(super) const FLAG_URGENT: u8 = 1;

pub(super) const COMPACT_ENTRY_BYTES: usize = 8;
/// The maximum number of compact entries whose total length, with their epoch, fits into the length byte.
pub(super) const MAX_COMPACT_ENTRIES: usize = 31;

/// Length of an announcement without its names, in bytes.
pub(super) const ANNOUNCEMENT_FIXED_BYTES: usize = 27;
/// Announcement flag: the member has left the fleet.
pub(super) const FLAG_LEFT: u8 = 1;
/// Announcement flag: the relaying member considers the member dead. Only receivers that do not know the member use it.
pub(super) const FLAG_CONSIDERED_DEAD: u8 = 2;

/// The CRC-32 over the fleet's name, so that messages of other fleets fail the check, and over all bytes of the message
/// except the checksum itself.
pub(super) fn checksum(fleet: &str, bytes: &[u8]) -> [u8; 4] {
    let mut sum = crc32fast::Hasher::new();
    sum.update(fleet.as_bytes());
    sum.update(&bytes[..4]);
    sum.update(&bytes[8..]);
    sum.finalize().to_be_bytes()
}
