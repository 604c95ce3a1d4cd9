//! The wire format: a header, then entries with a length each, so that a decoder can skip unknown entry types. This module
//! makes no protocol decisions.
//!
//! | bytes | contents |
//! | --- | --- |
//! | 0 | 0xC5; no message between decision engines begins with this byte |
//! | 1, 2 | the sender's protocol version, and the oldest version that can decode the message |
//! | 3 | the message kind |
//! | 4 to 7 | the CRC-32 of the fleet's name and of all other bytes |
//! | 8 to 11 | the number of the probe that the message belongs to |
//! | 12 to 17 | the sender's epoch |
//! | 18 to 25 | the digest of the sender's view |
//! | from 26 | entries: a tag byte, a length byte, and data of that length; the first is the sender's own announcement |

mod compatibility;
mod decode;
mod encode;
mod error;
mod format;
mod header;

pub use compatibility::{as_newer_version, is_well_formed};
pub use decode::{EntryVisitor, decode_entries, decode_sender};
pub use encode::{MessageWriter, truncated_name};
pub use error::MessageError;
pub use format::{MAGIC, MAX_MESSAGE_BYTES, MAX_PAYLOAD_BYTES};
pub use header::{Header, MessageKind, decode_header};

#[cfg(test)]
#[path = "fixture_tests.rs"]
mod fixture_tests;

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
