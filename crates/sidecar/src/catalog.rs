//! The endpoint list as discovery and the configuration give it, and as the decisions' entries. It owns the JSON form of an
//! entry; it does not decide which servers are used.

use crate::clock::Clock;
use landingspread_decisions::host::{Lifecycle, ListedServer};
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;

/// A server of the endpoint list.
pub struct CatalogEntry {
    pub listed: ListedServer,
    pub address: SocketAddr,
}

/// An endpoint list: all of it, or what has changed.
#[derive(Default)]
pub struct Catalog {
    pub generation: u64,
    /// Servers that are not in the list are gone.
    pub complete: bool,
    pub entries: Vec<CatalogEntry>,
}

/// Why an endpoint list is not taken.
#[derive(Debug)]
pub enum CatalogError {
    /// A field of the list is missing, or has another type.
    Missing(&'static str),
    /// The entry with this index is faulty.
    Entry(usize, EntryError),
}

/// What is wrong with one entry.
#[derive(Debug)]
pub enum EntryError {
    NotText(&'static str),
    UnknownLifecycle(String),
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
            EntryError::NotText(field) => write!(f, "{field} is no text"),
            EntryError::UnknownLifecycle(text) => write!(f, "lifecycle is unknown: {text:?}"),
            EntryError::InvalidAddress => f.write_str("hostPort is no address with a port"),
        }
    }
}

impl std::error::Error for CatalogError {}

impl Catalog {
    /// Parses a list, all of it or nothing: a part of a list would drain servers that nobody drained.
    ///
    /// # Errors
    /// The first fault, with the entry and the field.
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
            // A zone that the configuration does not name counts as one behind the others.
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
