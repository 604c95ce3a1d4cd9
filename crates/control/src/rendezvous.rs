//! The order in which a sidecar tries the control machines: rendezvous hashing, so that each machine serves its part of
//! the sidecars, and those of a lost machine spread over all others.

use crate::version::Digest;
use std::net::SocketAddr;

/// A control machine that sidecars can poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlMachine {
    /// Where it listens.
    pub address: SocketAddr,
    /// Empty where regions are not configured.
    pub region: String,
}

/// The rendezvous order for a sidecar's name (the highest hash of name and address first), the machines of its region
/// before all others.
pub fn rendezvous_order(machines: &[ControlMachine], name: &str, region: &str) -> Vec<SocketAddr> {
    let weight = |machine: &ControlMachine| {
        let mut digest = Digest::new();
        digest.add(name.as_bytes());
        digest.add(machine.address.to_string().as_bytes());
        mix64((digest.value() ^ (digest.value() >> 64)) as u64)
    };
    let mut ordered: Vec<&ControlMachine> = machines.iter().collect();
    ordered.sort_by_cached_key(|machine| {
        (machine.region != region, u64::MAX - weight(machine), machine.address)
    });
    ordered.into_iter().map(|machine| machine.address).collect()
}

/// The finalizer of SplitMix64: names and addresses that differ in one character must not hash near each other.
pub(crate) fn mix64(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
