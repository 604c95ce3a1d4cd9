//! How other threads reach the fleet's thread.

use super::members_page;
use super::state::FleetState;
use crate::net::timeout::timeout;
use async_channel::{Receiver, Sender};
use landingspread_localities::OperatorCommand;
use std::time::Duration;

/// Tasks of other threads that wait for the fleet's thread at most.
const MAX_QUEUED_TASKS: usize = 64;
/// How long a process that ends waits until its leaving has been sent.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Runs on the fleet's thread.
pub(super) type Task = Box<dyn FnOnce(&mut FleetState, Duration) + Send>;

/// A handle on the fleet's thread.
#[derive(Clone)]
pub struct FleetHandle(Sender<Task>);

/// What became of an operator's command for a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneCommandReply {
    /// The fleet carries it out.
    Accepted,
    /// No zone has this name.
    UnknownZone,
    /// Zone failover is off.
    FailoverOff,
    /// The fleet's thread does not answer.
    Unavailable,
}

pub(super) fn task_channel() -> (FleetHandle, Receiver<Task>) {
    let (sender, tasks) = async_channel::bounded(MAX_QUEUED_TASKS);
    (FleetHandle(sender), tasks)
}

impl FleetHandle {
    /// Runs `read` on the fleet's thread; `None` where that does not answer within the time.
    async fn call<T: Send + 'static>(
        &self,
        within: Duration,
        read: impl FnOnce(&mut FleetState, Duration) -> T + Send + 'static,
    ) -> Option<T> {
        let (reply, replied) = async_channel::bounded(1);
        let task: Task = Box::new(move |state, now| {
            // Whoever asked may have given up.
            let _ = reply.try_send(read(state, now));
        });
        self.0.try_send(task).ok()?;
        timeout(within, replied.recv()).await?.ok()
    }

    /// The members as text, or as JSON; `None` where the fleet's thread does not answer.
    pub async fn members(&self, json: bool, within: Duration) -> Option<String> {
        let page = move |state: &mut FleetState, now: Duration| match json {
            true => members_page::json(&state.membership, state.received, now),
            false => members_page::text(&state.membership, now),
        };
        self.call(within, page).await
    }

    /// The zones as text, or as JSON; `None` where the fleet's thread does not answer, empty where zone failover is off.
    pub async fn zones(&self, json: bool, within: Duration) -> Option<String> {
        let page = move |state: &mut FleetState, now: Duration| {
            state.zones.as_ref().map(|zones| zones.page(json, now)).unwrap_or_default()
        };
        self.call(within, page).await
    }

    /// An operator's command for a zone, for the whole fleet.
    pub async fn zone_command(
        &self,
        zone: String,
        command: OperatorCommand,
        within: Duration,
    ) -> ZoneCommandReply {
        let execute = move |state: &mut FleetState, now: Duration| match &mut state.zones {
            None => ZoneCommandReply::FailoverOff,
            Some(zones) => match zones.operator_command(now, &zone, command) {
                true => ZoneCommandReply::Accepted,
                false => ZoneCommandReply::UnknownZone,
            },
        };
        self.call(within, execute).await.unwrap_or(ZoneCommandReply::Unavailable)
    }

    /// The process ends: announced to other members, whose acks are not waited for.
    pub async fn leave(&self) {
        let leave = |state: &mut FleetState, now: Duration| state.membership.leave(now);
        self.call(LEAVE_TIMEOUT, leave).await;
    }
}
