//! Digests of the view. Members are ordered on a ring by a hash of their addresses. The ring has 64 partitions, each with a
//! digest over its live members, so that two members with different views exchange only the partitions that differ.

use crate::member::{Address, Announcement};

/// Mixes the bits of a value (the finalizer of SplitMix64, Steele, Lea, Flood, OOPSLA 2014). Members compare digests
/// computed with this function, so it must be the same in every build.
pub fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// The position on the ring of the member with this address.
pub fn ring_position(address: Address) -> u64 {
    mix_bits(u64::from(address.ip().to_bits()) << 16 | u64::from(address.port()) | 1 << 62)
}

fn digest_contribution(announcement: &Announcement) -> u64 {
    let incarnation = announcement.incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mix_bits(ring_position(announcement.address) ^ incarnation)
}

/// One digest for each partition of the ring.
#[derive(Clone, Debug)]
pub struct Digests([u64; Digests::PARTITIONS]);

impl Default for Digests {
    fn default() -> Digests {
        Digests([0; Digests::PARTITIONS])
    }
}

impl Digests {
    /// The number of partitions of the ring.
    pub const PARTITIONS: usize = 64;
    const PARTITION_SHIFT: u32 = 58;

    /// The first and the last ring position of a partition, both inclusive.
    pub fn partition_bounds(partition: usize) -> (u64, u64) {
        let first = (partition as u64) << Digests::PARTITION_SHIFT;
        (first, first | ((1 << Digests::PARTITION_SHIFT) - 1))
    }

    /// Adds a live member to the digest of its partition, or removes it if the digest contains it.
    pub fn toggle(&mut self, announcement: &Announcement) {
        let partition = (ring_position(announcement.address) >> Digests::PARTITION_SHIFT) as usize;
        self.0[partition] ^= digest_contribution(announcement);
    }

    /// The digest over all partitions.
    pub fn combined(&self) -> u64 {
        self.0.iter().fold(0, |combined, digest| combined ^ digest)
    }

    /// The low 16 bits of each partition's digest, as sent in messages.
    pub fn truncated(&self) -> [u16; Digests::PARTITIONS] {
        self.0.map(|digest| digest as u16)
    }
}
