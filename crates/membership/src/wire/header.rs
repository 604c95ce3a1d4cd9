//! The message header: kind, probe number, epoch and view digest.

use super::decode::ByteReader;
use super::error::MessageError;
use super::format::{HEADER_BYTES, MAGIC, MAX_MESSAGE_BYTES, PROTOCOL_VERSION, checksum};

/// The purpose of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum MessageKind {
    /// A direct probe of the receiver.
    Ping = 1,
    /// Confirms that the sender, or the subject that it was asked to probe, is alive.
    Ack = 2,
    /// Asks the receiver to probe the subject (SWIM's ping-req).
    PingReq = 3,
    /// Carries gossip only; no ack is expected.
    Gossip = 4,
    /// Reports that the subject did not ack an indirect probe by the sender (Lifeguard).
    Nack = 5,
}

impl MessageKind {
    fn from_code(code: u8) -> Option<MessageKind> {
        match code {
            1 => Some(MessageKind::Ping),
            2 => Some(MessageKind::Ack),
            3 => Some(MessageKind::PingReq),
            4 => Some(MessageKind::Gossip),
            5 => Some(MessageKind::Nack),
            _ => None,
        }
    }
}

/// The fixed part of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The purpose of the message.
    pub kind: MessageKind,
    /// The prober's number of the probe that the message belongs to; 0 if it belongs to none.
    pub probe_number: u32,
    /// The highest epoch that the sender has seen.
    pub epoch: u64,
    /// The digest of the sender's view.
    pub digest: u64,
}

/// Decodes the header and returns it with the bytes of the entries. The checksum is verified before any field except the
/// magic byte is interpreted.
pub fn decode_header<'a>(bytes: &'a [u8], fleet: &str) -> Result<(Header, &'a [u8]), MessageError> {
    if !(HEADER_BYTES..=MAX_MESSAGE_BYTES).contains(&bytes.len()) || bytes[0] != MAGIC {
        return Err(MessageError::Unrecognized);
    }
    if checksum(fleet, bytes) != bytes[4..8] {
        return Err(MessageError::Unrecognized);
    }
    let kind = MessageKind::from_code(bytes[3]).ok_or(MessageError::NewerVersion)?;
    if bytes[2] > PROTOCOL_VERSION {
        return Err(MessageError::NewerVersion);
    }
    let mut rest = ByteReader(&bytes[8..]);
    let fields = (rest.uint(4), rest.uint(6), rest.uint(8));
    let (Some(probe_number), Some(epoch), Some(digest)) = fields else {
        return Err(MessageError::Unrecognized);
    };
    Ok((Header { kind, probe_number: probe_number as u32, epoch, digest }, rest.0))
}
