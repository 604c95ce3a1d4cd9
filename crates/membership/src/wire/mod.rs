//! The wire format: one header, then entries that each carry their length, so that a decoder skips entry types that it
//! does not know. This module makes no protocol decision.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0 | 0xC5; no message between decision engines begins with this byte |
//! | 1, 2 | the sender's protocol version, and the oldest version that can decode the message |
//! | 3 | the message kind |
//! | 4 to 7 | CRC-32 of the fleet's name and of all other bytes |
//! | 8 to 11 | the number of the probe that the message belongs to |
//! | 12 to 17 | the sender's epoch |
//! | 18 to 25 | the digest of the sender's view |
//! | then | entries: a tag, a length, so many bytes; the first is the sender's own announcement |

mod compatibility;
mod decode;
mod encode;
mod error;
mod header;

pub use compatibility::{as_newer_version, is_well_formed};
pub use decode::{EntryVisitor, decode_entries, decode_sender};
pub use encode::{MessageWriter, truncated_name};
pub use error::MessageError;
pub use header::{Header, MessageKind, decode_header};

/// The longest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1200;
/// The first byte of every message.
pub const MAGIC: u8 = 0xC5;
/// The longest application payload of a member, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 200;

const PROTOCOL_VERSION: u8 = 1;
const HEADER_BYTES: usize = 26;

/// A member's announcement.
const TAG_ANNOUNCEMENT: u8 = 1;
/// One member's suspicion of another.
const TAG_SUSPICION: u8 = 2;
/// Several members declared dead up to one epoch: the epoch, then for each its address and the low 16 bits of its
/// incarnation.
const TAG_DEATHS: u8 = 3;
/// The member that a probe message is about.
const TAG_SUBJECT: u8 = 4;
/// Several members that affirmed one epoch, laid out like `TAG_DEATHS`.
const TAG_AFFIRMATIONS: u8 = 5;
/// The low 16 bits of the digest of each partition of the view.
const TAG_PARTITION_DIGESTS: u8 = 6;
/// A member's application payload: its address, the low 16 bits of its incarnation, the payload's version, its age in units
/// of `AGE_UNIT_MS`, flags, and the bytes.
const TAG_PAYLOAD: u8 = 7;

const PAYLOAD_FIXED_BYTES: usize = 15;
const AGE_UNIT_MS: u64 = 10;
/// Payload flag: receivers pass it on at once.
const FLAG_URGENT: u8 = 1;

const COMPACT_ENTRY_BYTES: usize = 8;
/// As many compact entries fit into the one length byte beside their epoch.
const MAX_COMPACT_ENTRIES: usize = 31;

/// An announcement without its names.
const ANNOUNCEMENT_FIXED_BYTES: usize = 27;
/// Announcement flag: the member's last message.
const FLAG_LEFT: u8 = 1;
/// Announcement flag: whoever relays it considers the member dead; it matters only to those who never heard of it.
const FLAG_CONSIDERED_DEAD: u8 = 2;

/// Covers the fleet's name, so that messages of another fleet fail the check, and all bytes but the checksum itself.
fn checksum(fleet: &str, bytes: &[u8]) -> [u8; 4] {
    let mut sum = crc32fast::Hasher::new();
    sum.update(fleet.as_bytes());
    sum.update(&bytes[..4]);
    sum.update(&bytes[8..]);
    sum.finalize().to_be_bytes()
}

#[cfg(test)]
#[path = "fixture_tests.rs"]
mod fixture_tests;

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
