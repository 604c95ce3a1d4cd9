//! Which control machine a sidecar goes to: an order of its own among all of them, so that each machine has its part of the
//! sidecars, and those of one that is lost spread over all others.

use crate::version::Digest;
use std::net::SocketAddr;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    pub address: SocketAddr,
    /// Empty where regions are not told apart.
    pub region: String,
}

/// The rendezvous order for this name (the highest hash of name and address first), machines of its region before others.
pub fn ordered(machines: &[Machine], name: &str, region: &str) -> Vec<SocketAddr> {
    let weight = |machine: &Machine| {
        let mut digest = Digest::new();
        digest.part(name.as_bytes());
        digest.part(machine.address.to_string().as_bytes());
        mixed((digest.value() ^ (digest.value() >> 64)) as u64)
    };
    let mut all: Vec<&Machine> = machines.iter().collect();
    all.sort_by_cached_key(|machine| (machine.region != region, u64::MAX - weight(machine), machine.address));
    all.into_iter().map(|machine| machine.address).collect()
}

/// The finisher of SplitMix64: names and addresses that differ in one sign must not come out near each other.
pub(crate) fn mixed(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
