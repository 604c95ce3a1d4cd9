//! The order in which a sidecar tries the control machines. Rendezvous hashing gives each machine its share of the
//! sidecars and spreads the sidecars of a failed machine over all others.

use crate::version::Digest;
use std::net::SocketAddr;

/// A control machine that sidecars can poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlMachine {
    /// The address at which the machine listens.
    pub address: SocketAddr,
    /// The machine's region; empty if regions are not configured.
    pub region: String,
}

/// The addresses of the machines in the order in which the sidecar `name` tries them: machines of its region first,
/// then by descending hash of name and address.
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

/// The finalizer of SplitMix64, which spreads the similar hashes of names and addresses that differ in one character.
pub(crate) fn mix64(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
