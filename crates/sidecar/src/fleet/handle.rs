//! The handle by which other threads run tasks on the fleet's thread.

use super::members_page;
use super::state::FleetState;
use crate::net::timeout::timeout;
use async_channel::{Receiver, Sender};
use landingspread_localities::OperatorCommand;
use std::time::Duration;

/// Maximum number of queued tasks; further ones are refused.
const MAX_QUEUED_TASKS: usize = 64;
/// How long a terminating process waits until its leave messages have been sent.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(100);

/// A closure that runs on the fleet's thread, given its state and the current time.
pub(super) type Task = Box<dyn FnOnce(&mut FleetState, Duration) + Send>;

/// A handle to the fleet's thread.
#[derive(Clone)]
pub struct FleetHandle(Sender<Task>);

/// The result of an operator's command for a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneCommandReply {
    /// The command was accepted for the whole fleet.
    Accepted,
    /// No zone has this name.
    UnknownZone,
    /// Zone failover is off.
    FailoverOff,
    /// The fleet's thread did not reply in time, or its task queue is full.
    Unavailable,
}

pub(super) fn task_channel() -> (FleetHandle, Receiver<Task>) {
    let (sender, tasks) = async_channel::bounded(MAX_QUEUED_TASKS);
    (FleetHandle(sender), tasks)
}

impl FleetHandle {
    /// Runs `operation` on the fleet's thread and returns its result; `None` if the task queue is full or there is no reply
    /// within `time_limit`.
    async fn call<T: Send + 'static>(
        &self,
        time_limit: Duration,
        operation: impl FnOnce(&mut FleetState, Duration) -> T + Send + 'static,
    ) -> Option<T> {
        let (reply, replies) = async_channel::bounded(1);
        let task: Task = Box::new(move |state, now| {
            // The caller may have timed out and dropped its receiver.
            let _ = reply.try_send(operation(state, now));
        });
        self.0.try_send(task).ok()?;
        timeout(time_limit, replies.recv()).await?.ok()
    }

    /// The page `/fleet` as text or as JSON; `None` if the fleet's thread does not reply within `time_limit`.
    pub async fn members(&self, json: bool, time_limit: Duration) -> Option<String> {
        let page = move |state: &mut FleetState, now: Duration| match json {
            true => members_page::json(&state.membership, state.received, now),
            false => members_page::text(&state.membership, now),
        };
        self.call(time_limit, page).await
    }

    /// The page `/zones` as text or as JSON, empty if zone failover is off; `None` if the fleet's thread does not reply
    /// within `time_limit`.
    pub async fn zones(&self, json: bool, time_limit: Duration) -> Option<String> {
        let page = move |state: &mut FleetState, now: Duration| {
            state.zones.as_ref().map(|zones| zones.page(json, now)).unwrap_or_default()
        };
        self.call(time_limit, page).await
    }

    /// Executes an operator's command for a zone, for the whole fleet.
    pub async fn zone_command(
        &self,
        zone: String,
        command: OperatorCommand,
        time_limit: Duration,
    ) -> ZoneCommandReply {
        let execute = move |state: &mut FleetState, now: Duration| match &mut state.zones {
            None => ZoneCommandReply::FailoverOff,
            Some(zones) => match zones.operator_command(now, &zone, command) {
                true => ZoneCommandReply::Accepted,
                false => ZoneCommandReply::UnknownZone,
            },
        };
        self.call(time_limit, execute).await.unwrap_or(ZoneCommandReply::Unavailable)
    }

    /// Announces to other members that this process leaves the fleet, without waiting for their acks.
    pub async fn leave(&self) {
        let leave = |state: &mut FleetState, now: Duration| state.membership.leave(now);
        self.call(LEAVE_TIMEOUT, leave).await;
    }
}
