//! Tells the late copy of a response from the response to the next request on the same connection. Nothing in a response
//! names its request, but a copy is equal to a response that the connection has carried shortly before.

use crate::net::http::IncomingMessage;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// The bytes of a body that count towards its digest, besides its length.
const DIGESTED_BODY_BYTES: usize = 4096;

/// A digest of a complete response: its head, its length and the beginning of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ResponseDigest(u64);

impl ResponseDigest {
    /// Computes the digest of a response, if it is complete and was buffered as a whole.
    pub(super) fn of(response: &IncomingMessage) -> Option<ResponseDigest> {
        if !response.is_complete() {
            return None;
        }
        let mut hasher = DefaultHasher::new();
        response.head.hash(&mut hasher);
        response.buffered_len().hash(&mut hasher);
        let mut remaining = DIGESTED_BODY_BYTES;
        for part in response.buffered() {
            let digested = &part[..part.len().min(remaining)];
            hasher.write(digested);
            remaining -= digested.len();
        }
        Some(ResponseDigest(hasher.finish()))
    }
}

/// The digests of the latest responses on a connection.
#[derive(Default)]
pub(super) struct RecentResponses {
    responses: VecDeque<(ResponseDigest, Instant)>,
    /// Whether the last response has no digest, so that a copy of it would not be recognized.
    last_is_unknown: bool,
}

impl RecentResponses {
    /// The most digests that are kept. A connection carries fewer responses within the time that a copy may take.
    const MAX_RESPONSES: usize = 8;

    /// Records the response that the connection has carried now.
    pub(super) fn record(&mut self, digest: Option<ResponseDigest>) {
        self.last_is_unknown = digest.is_none();
        let Some(digest) = digest else { return };
        if self.responses.len() >= Self::MAX_RESPONSES {
            self.responses.pop_front();
        }
        self.responses.push_back((digest, Instant::now()));
    }

    /// Whether a copy of any response of this connection would be recognized.
    pub(super) fn recognizes_copies(&self) -> bool {
        !self.last_is_unknown
    }

    /// Whether the connection has carried an equal response within this time.
    pub(super) fn contain(&self, digest: ResponseDigest, within: Duration) -> bool {
        self.responses.iter().any(|(recent, at)| *recent == digest && at.elapsed() <= within)
    }
}

/// How the successive responses of a server compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Variety {
    /// Too few responses were compared, or some are equal and others differ.
    Unclear,
    /// All responses differ, so an equal one is a copy.
    AllDiffer,
    /// All responses are equal, so a copy is equal to the response that it is taken for.
    AllEqual,
}

/// Compares the responses of a server that were certainly made for their requests.
#[derive(Default)]
pub(super) struct ResponseVariety {
    last: Option<ResponseDigest>,
    equal: u32,
    different: u32,
}

impl ResponseVariety {
    /// The fewest comparisons that say anything.
    const MIN_COMPARISONS: u32 = 8;
    /// Both counts are halved at this sum, so that old comparisons lose weight.
    const MAX_COMPARISONS: u32 = 256;

    /// Compares a response with the one before it.
    pub(super) fn record(&mut self, digest: ResponseDigest) {
        match self.last.replace(digest) {
            Some(last) if last == digest => self.equal += 1,
            Some(_) => self.different += 1,
            None => {}
        }
        if self.equal + self.different >= Self::MAX_COMPARISONS {
            (self.equal, self.different) = (self.equal / 2, self.different / 2);
        }
    }

    /// How the responses compare.
    pub(super) fn get(&self) -> Variety {
        match (self.equal, self.different) {
            (equal, different) if equal + different < Self::MIN_COMPARISONS => Variety::Unclear,
            (0, _) => Variety::AllDiffer,
            (_, 0) => Variety::AllEqual,
            _ => Variety::Unclear,
        }
    }
}

#[cfg(test)]
#[path = "response_digest_tests.rs"]
mod tests;
