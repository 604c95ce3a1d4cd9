//! Handlers of the console's requests. They query the owner or the fleet, record operators' orders and reply.

use super::reply::Reply;
use super::request::Request;
use super::{ConsoleServer, MaintenanceOrder, OWNER_TIMEOUT};
use crate::clock::unix_ms;
use crate::counters;
use crate::fleet::ZoneCommandReply;
use crate::handover::CHECK_INTERVAL;
use crate::handover::maintenance_record::{MAX_ENTRIES, MaintenanceEntry};
use crate::net::timeout::timeout;
use async_io::Timer;
use landingspread_localities::OperatorCommand;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const NO_FLEET: &str = "this copy is one of no fleet";
const FLEET_SILENT: &str = "the fleet's thread does not answer";
const NO_ZONES: &str = "the fleet leaves no zones";

impl ConsoleServer {
    /// Handles a parsed request and returns the reply to it.
    pub(super) async fn handle(&self, request: Request) -> Reply {
        match request {
            Request::Status if self.serving.load(Ordering::Acquire) => Reply::text(200, "serving\n"),
            Request::Status => Reply::text(503, "not serving\n"),
            Request::Counters => Reply::text(200, &counters::text()),
            Request::ListMaintenance => self.list_maintenance(),
            Request::Members { json } => self.members(json).await,
            Request::Zones { json } => self.zones(json).await,
            Request::Control { json } => match &self.control {
                None => Reply::error(404, "configuration comes from the file alone"),
                Some(status) => Reply::report(&status.report(json), json),
            },
            Request::SetZone { zone, command } => self.set_zone(zone, command).await,
            Request::SetMaintenance { server, in_maintenance } => {
                self.set_maintenance(server, in_maintenance).await
            }
        }
    }

    fn list_maintenance(&self) -> Reply {
        let entries = self.entries_in_force.borrow();
        let servers =
            entries.iter().filter(|(_, entry)| entry.in_maintenance).map(|(server, _)| format!("{server}\n"));
        Reply::text(200, &servers.collect::<String>())
    }

    async fn members(&self, json: bool) -> Reply {
        let Some(fleet) = &self.fleet else { return Reply::error(404, NO_FLEET) };
        match fleet.members(json, OWNER_TIMEOUT).await {
            Some(text) => Reply::report(&text, json),
            None => Reply::error(503, FLEET_SILENT),
        }
    }

    async fn zones(&self, json: bool) -> Reply {
        let Some(fleet) = &self.fleet else { return Reply::error(404, NO_FLEET) };
        match fleet.zones(json, OWNER_TIMEOUT).await {
            Some(text) if text.is_empty() => Reply::error(404, NO_ZONES),
            Some(text) => Reply::report(&text, json),
            None => Reply::error(503, FLEET_SILENT),
        }
    }

    /// Passes a zone command to the fleet. Once accepted, the command stays in force even if this process ends.
    async fn set_zone(&self, zone: String, command: OperatorCommand) -> Reply {
        let Some(fleet) = &self.fleet else { return Reply::error(404, NO_FLEET) };
        match fleet.zone_command(zone.clone(), command, OWNER_TIMEOUT).await {
            ZoneCommandReply::Unavailable => Reply::error(503, FLEET_SILENT),
            ZoneCommandReply::FailoverOff => Reply::error(404, NO_ZONES),
            ZoneCommandReply::UnknownZone => Reply::error(404, "there is no such zone"),
            ZoneCommandReply::Accepted => {
                let action = match command {
                    OperatorCommand::Evacuate => "evacuated",
                    OperatorCommand::Return => "returned",
                };
                tracing::info!("console: zone {zone} {action} by an operator");
                Reply::text(200, "yes\n")
            }
        }
    }

    async fn set_maintenance(&self, server: String, in_maintenance: bool) -> Reply {
        if in_maintenance && self.entries_in_force.borrow().len() >= MAX_ENTRIES {
            return Reply::error(507, "too many endpoints are out");
        }
        let ordered = async {
            let record = self.record.lock().await;
            Some((record, self.send_order(&server, in_maintenance, None).await?))
        };
        let Some((mut record, known)) = timeout(OWNER_TIMEOUT, ordered).await.flatten() else {
            return Reply::error(503, "the sidecar does not answer");
        };
        if !known {
            return Reply::error(404, "no list ever named this endpoint");
        }
        if let Some(record) = &mut *record
            && let Err(error) = record.set(&server, in_maintenance)
        {
            tracing::error!("console: maintenance of {server} is not recorded: {error}");
            return Reply::error(500, "it holds for this process alone: it could not be recorded");
        }
        tracing::info!("console: {server} {} maintenance", if in_maintenance { "entered" } else { "exited" });
        let at_unix_ms = unix_ms();
        let mut entries = self.entries_in_force.borrow_mut();
        entries.insert(server, MaintenanceEntry { in_maintenance, at_unix_ms });
        entries.retain(|_, entry| entry.is_relevant());
        Reply::text(200, "yes\n")
    }

    /// Sends an order to the owner. Returns whether any endpoint list has named the server, or None if the owner does not
    /// reply within [`OWNER_TIMEOUT`].
    async fn send_order(
        &self,
        server: &str,
        in_maintenance: bool,
        recorded_age: Option<Duration>,
    ) -> Option<bool> {
        let (responder, reply) = async_channel::bounded(1);
        let order = MaintenanceOrder { server: server.to_string(), in_maintenance, recorded_age, responder };
        self.orders.send(order).await.ok()?;
        timeout(OWNER_TIMEOUT, reply.recv()).await?.ok()
    }

    /// Applies the orders that the other process of an upgrade records. Returns only if this process has no
    /// maintenance record, because no state folder is configured.
    pub(super) async fn follow_record(self: Rc<Self>) {
        loop {
            Timer::after(CHECK_INTERVAL).await;
            let mut record = self.record.lock().await;
            let Some(record) = &mut *record else { return };
            if !record.refresh() {
                continue;
            }
            let recorded = record.entries.clone();
            let previous = std::mem::replace(&mut *self.entries_in_force.borrow_mut(), recorded.clone());
            for (server, entry) in recorded {
                if previous
                    .get(&server)
                    .is_none_or(|previous| previous.in_maintenance != entry.in_maintenance)
                {
                    let _ = self.send_order(&server, entry.in_maintenance, Some(entry.age())).await;
                }
            }
        }
    }
}
