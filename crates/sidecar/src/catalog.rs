//! The list of servers as discovery and the configuration tell it, and as the module's entries. It owns the JSON
//! form of an entry; it must never decide which of them is used.

use crate::clock::Clock;
use landingspread_decisions::host::{Lifecycle, ListedServer};
use serde_json::Value;
use std::net::SocketAddr;

pub struct CatalogEntry {
    pub listed: ListedServer,
    pub address: SocketAddr,
}

#[derive(Default)]
pub struct Catalog {
    pub generation: u64,
    pub complete: bool,
    pub entries: Vec<CatalogEntry>,
}

impl Catalog {
    /// All of it or nothing: half a list would drain servers that nobody drained.
    pub fn parse(value: &Value, zones: &[String], clock: &Clock) -> Result<Catalog, String> {
        let generation = value.get("generation").and_then(Value::as_u64).ok_or("generation is missing")?;
        let whole = value.get("reset").and_then(Value::as_bool).ok_or("reset is missing")?;
        let items = value.get("instances").and_then(Value::as_array).ok_or("instances is missing")?;
        let entry = |(number, item): (usize, &Value)| {
            CatalogEntry::parse(item, zones, clock).map_err(|wrong| format!("instances.{number}.{wrong}"))
        };
        let entries = items.iter().enumerate().map(entry).collect::<Result<_, _>>()?;
        Ok(Catalog { generation, complete: whole, entries })
    }
}

impl CatalogEntry {
    fn parse(item: &Value, zones: &[String], clock: &Clock) -> Result<CatalogEntry, String> {
        let text = |key: &str| item.get(key).and_then(Value::as_str).ok_or(format!("{key} is no text"));
        let zone = item.get("zone").and_then(Value::as_str);
        let state = match text("lifecycle")? {
            "ready" => Lifecycle::Ready,
            "draining" => Lifecycle::Draining,
            "gone" => Lifecycle::Removed,
            other => return Err(format!("lifecycle is unknown: {other:?}")),
        };
        let listed = ListedServer {
            server: text("instanceId")?.into(),
            zone: zones.iter().position(|name| zone == Some(name)).unwrap_or(zones.len()) as u32,
            cell: item.get("cell").and_then(Value::as_u64).unwrap_or(0) as u32,
            lifecycle: state,
            nominal_capacity: item.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
            started_at: item.get("startedAtMs").and_then(Value::as_u64).and_then(|ms| clock.at_unix_ms(ms)),
        };
        let address =
            text("hostPort")?.parse().map_err(|_| "hostPort is no address with a port".to_string())?;
        Ok(CatalogEntry { listed, address })
    }
}
