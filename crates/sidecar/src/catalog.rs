//! Parses endpoint lists, from discovery and from the configuration, into entries for the decision engine. This module
//! owns the JSON form of a list; it does not decide which servers are used.

use crate::clock::Clock;
use landingspread_decisions::host::{Lifecycle, ListedServer};
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;

/// An entry of the endpoint list: one server and the address of its socket.
pub struct CatalogEntry {
    pub listed: ListedServer,
    pub address: SocketAddr,
}

/// A complete endpoint list, or the entries that changed since an earlier one.
#[derive(Default)]
pub struct Catalog {
    pub generation: u64,
    /// Whether the list is complete, so that servers missing from it are removed.
    pub complete: bool,
    pub entries: Vec<CatalogEntry>,
}

/// Why an endpoint list is rejected.
#[derive(Debug)]
pub enum CatalogError {
    /// The field with this name is missing from the list, or has the wrong type.
    Missing(&'static str),
    /// The entry at this index is invalid.
    Entry(usize, EntryError),
}

/// Why one entry of the list is invalid.
#[derive(Debug)]
pub enum EntryError {
    /// The field with this name is missing, or is not a string.
    NotText(&'static str),
    /// The lifecycle is none of `ready`, `draining` and `gone`.
    UnknownLifecycle(String),
    /// `hostPort` is not an IP address with a port.
    InvalidAddress,
}

impl fmt::Display for CatalogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CatalogError::Missing(field) => write!(f, "{field} is missing"),
            CatalogError::Entry(index, error) => write!(f, "instances.{index}.{error}"),
        }
    }
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EntryError::NotText(field) => write!(f, "{field} is missing or not a string"),
            EntryError::UnknownLifecycle(text) => write!(f, "lifecycle is unknown: {text:?}"),
            EntryError::InvalidAddress => f.write_str("hostPort is not an address with a port"),
        }
    }
}

impl std::error::Error for CatalogError {}

impl Catalog {
    /// Parses a list. One invalid entry rejects the whole list, because a complete list without that entry would drain a
    /// server that is still in use.
    ///
    /// # Errors
    /// Returns the first fault, with the index of the entry and the name of the field.
    pub fn parse(value: &Value, zones: &[String], clock: &Clock) -> Result<Catalog, CatalogError> {
        let field = |name: &'static str| value.get(name).ok_or(CatalogError::Missing(name));
        let generation = field("generation")?.as_u64().ok_or(CatalogError::Missing("generation"))?;
        let complete = field("reset")?.as_bool().ok_or(CatalogError::Missing("reset"))?;
        let items = field("instances")?.as_array().ok_or(CatalogError::Missing("instances"))?;
        let entry = |(index, item): (usize, &Value)| {
            CatalogEntry::parse(item, zones, clock).map_err(|error| CatalogError::Entry(index, error))
        };
        let entries = items.iter().enumerate().map(entry).collect::<Result<_, _>>()?;
        Ok(Catalog { generation, complete, entries })
    }
}

impl CatalogEntry {
    fn parse(item: &Value, zones: &[String], clock: &Clock) -> Result<CatalogEntry, EntryError> {
        let text =
            |name: &'static str| item.get(name).and_then(Value::as_str).ok_or(EntryError::NotText(name));
        let zone = item.get("zone").and_then(Value::as_str);
        let lifecycle = match text("lifecycle")? {
            "ready" => Lifecycle::Ready,
            "draining" => Lifecycle::Draining,
            "gone" => Lifecycle::Removed,
            other => return Err(EntryError::UnknownLifecycle(other.to_string())),
        };
        let started_at = item.get("startedAtMs").and_then(Value::as_u64);
        let listed = ListedServer {
            server: text("instanceId")?.into(),
            // Zones that the configuration does not name share the index after the last configured zone.
            zone: zones.iter().position(|name| zone == Some(name)).unwrap_or(zones.len()) as u32,
            cell: item.get("cell").and_then(Value::as_u64).unwrap_or(0) as u32,
            lifecycle,
            nominal_capacity: item.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
            started_at: started_at.and_then(|ms| clock.at_unix_ms(ms)),
        };
        let address = text("hostPort")?.parse().map_err(|_| EntryError::InvalidAddress)?;
        Ok(CatalogEntry { listed, address })
    }
}
