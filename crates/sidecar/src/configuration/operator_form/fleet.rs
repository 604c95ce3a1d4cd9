//! The `[fleet]` part of the operators' form: its names, defaults and checks.

use super::super::settings::Fleet;
use landingspread_membership::{Address, Budget, NAME_MOST};
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    #[serde(default = "any_name")]
    pub name: String,
    pub listen: Option<Address>,
    pub advertise: Option<Address>,
    #[serde(default)]
    pub seeds: Vec<Address>,
    #[serde(default = "datagrams")]
    pub datagrams: u32,
    #[serde(default = "kilobytes")]
    pub kilobytes: u32,
}

/// Less than this, and probes alone would not fit.
const DATAGRAMS_LEAST: u32 = 40;
const KILOBYTES_LEAST: u32 = 16;
const MOST: u32 = 100_000;

fn any_name() -> String {
    "fleet".into()
}

fn datagrams() -> u32 {
    Budget::default().datagrams_per_s
}

fn kilobytes() -> u32 {
    Budget::default().bytes_per_s >> 10
}

fn of_v4(address: &SocketAddr) -> Option<Address> {
    match address {
        SocketAddr::V4(address) => Some(*address),
        SocketAddr::V6(_) => None,
    }
}

impl Part {
    /// The first key whose value can't be gone by; `own` is this copy's address among the peers, where it has any.
    pub fn first_fault(&self, peers: &[SocketAddr], own: Option<&SocketAddr>) -> Option<(String, String)> {
        let found = |key: &str, what: &str| Some((format!("fleet.{key}"), what.to_string()));
        if self.name.is_empty() || self.name.len() > NAME_MOST {
            return found("name", "it is empty or longer than 64 bytes");
        }
        let Some(listen) = self.listen.or(own.and_then(of_v4)) else {
            return found("listen", "an IPv4 address is wanted where there are no peers");
        };
        let advertised = self.advertise.unwrap_or(listen);
        if advertised.ip().is_unspecified() || advertised.port() == 0 {
            let key = if self.advertise.is_some() { "advertise" } else { "listen" };
            return found(key, "others can send nothing to this address: advertise another");
        }
        if self.listen.is_none() && peers.iter().any(|peer| of_v4(peer).is_none()) {
            return found("listen", "copies hear each other over IPv4 alone, and a peer has another address");
        }
        if !(DATAGRAMS_LEAST..=MOST).contains(&self.datagrams) {
            return found(
                "datagrams",
                &format!("{} does not lie from {DATAGRAMS_LEAST} to {MOST}", self.datagrams),
            );
        }
        if !(KILOBYTES_LEAST..=MOST).contains(&self.kilobytes) {
            return found(
                "kilobytes",
                &format!("{} does not lie from {KILOBYTES_LEAST} to {MOST}", self.kilobytes),
            );
        }
        None
    }

    /// None where `first_fault` would have found one.
    pub fn checked(
        self,
        peers: &[SocketAddr],
        own: Option<&SocketAddr>,
        zone: &str,
        copies: u32,
    ) -> Option<Fleet> {
        let by_peers = self.listen.is_none();
        let listen = self.listen.or(own.and_then(of_v4))?;
        let seeds =
            if by_peers { peers.iter().filter_map(of_v4).chain(self.seeds).collect() } else { self.seeds };
        Some(Fleet {
            name: self.name,
            listen,
            advertise: self.advertise.unwrap_or(listen),
            uses_peer_socket: by_peers,
            seeds,
            zone: zone.to_string(),
            budget: Budget { datagrams_per_s: self.datagrams, bytes_per_s: self.kilobytes << 10 },
            configured_replicas: f64::from(copies),
        })
    }
}
