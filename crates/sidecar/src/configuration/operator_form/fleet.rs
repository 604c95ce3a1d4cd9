//! The `[fleet]` table of the operators' form: its keys, defaults and checks.

use crate::configuration::error::{BrokenRule, Problem, Refusal};
use crate::configuration::settings::FleetSettings;
use landingspread_membership::{Address, Budget, MAX_NAME_BYTES};
use serde::Deserialize;
use std::net::SocketAddr;

/// The keys of the `[fleet]` table.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Part")]
pub struct FleetTable {
    #[serde(default = "default_name")]
    name: String,
    listen: Option<Address>,
    advertise: Option<Address>,
    #[serde(default)]
    seeds: Vec<Address>,
    #[serde(rename = "datagrams", default = "default_datagrams")]
    datagrams_per_s: u32,
    #[serde(rename = "kilobytes", default = "default_kilobytes")]
    kilobytes_per_s: u32,
}

/// The minimum of the key `datagrams`. A smaller budget can't carry the probes alone.
const MIN_DATAGRAMS_PER_S: u32 = 40;
/// The minimum of the key `kilobytes`.
const MIN_KILOBYTES_PER_S: u32 = 16;
/// The maximum of both keys.
const MAX_PER_S: u32 = 100_000;

fn default_name() -> String {
    "fleet".into()
}

fn default_datagrams() -> u32 {
    Budget::default().datagrams_per_s
}

fn default_kilobytes() -> u32 {
    Budget::default().bytes_per_s >> 10
}

fn ipv4(address: &SocketAddr) -> Option<Address> {
    match address {
        SocketAddr::V4(address) => Some(*address),
        SocketAddr::V6(_) => None,
    }
}

impl FleetTable {
    /// The first key whose value is refused. `own_peer` is this replica's address in `peers`, if the list has one.
    pub fn first_refusal(&self, peers: &[SocketAddr], own_peer: Option<&SocketAddr>) -> Option<Refusal> {
        let refuse = |key: &str, rule: BrokenRule| Some(Refusal::new(format!("fleet.{key}"), rule));
        if self.name.is_empty() || self.name.len() > MAX_NAME_BYTES {
            return refuse("name", BrokenRule::FleetName);
        }
        let Some(listen) = self.listen.or(own_peer.and_then(ipv4)) else {
            return refuse("listen", BrokenRule::FleetAddressWithoutPeers);
        };
        let advertised = self.advertise.unwrap_or(listen);
        if advertised.ip().is_unspecified() || advertised.port() == 0 {
            let key = if self.advertise.is_some() { "advertise" } else { "listen" };
            return refuse(key, BrokenRule::ReachableFleetAddress);
        }
        if self.listen.is_none() && peers.iter().any(|peer| ipv4(peer).is_none()) {
            return refuse("listen", BrokenRule::PeersOverIpv4);
        }
        per_second("fleet.datagrams", self.datagrams_per_s, MIN_DATAGRAMS_PER_S)
            .or_else(|| per_second("fleet.kilobytes", self.kilobytes_per_s, MIN_KILOBYTES_PER_S))
    }

    /// Converts a table in which no key was refused into settings; `None` if there is no listening address, which
    /// `first_refusal` refuses.
    pub fn checked(
        self,
        peers: &[SocketAddr],
        own_peer: Option<&SocketAddr>,
        zone: &str,
        replicas: u32,
    ) -> Option<FleetSettings> {
        let uses_peer_socket = self.listen.is_none();
        let listen = self.listen.or(own_peer.and_then(ipv4))?;
        let seeds = if uses_peer_socket {
            peers.iter().filter_map(ipv4).chain(self.seeds).collect()
        } else {
            self.seeds
        };
        Some(FleetSettings {
            name: self.name,
            listen,
            advertise: self.advertise.unwrap_or(listen),
            uses_peer_socket,
            seeds,
            zone: zone.to_string(),
            budget: Budget { datagrams_per_s: self.datagrams_per_s, bytes_per_s: self.kilobytes_per_s << 10 },
            configured_replicas: f64::from(replicas),
        })
    }
}

fn per_second(key: &str, value: u32, minimum: u32) -> Option<Refusal> {
    if (minimum..=MAX_PER_S).contains(&value) {
        return None;
    }
    Some(Refusal::new(key, Problem::OutsideBounds { value, minimum, maximum: MAX_PER_S }))
}
