//! The event loop of the fleet's thread, which handles datagrams, tasks of other threads and the protocol's ticks.

use super::decision_link::SharedRequestRate;
use super::handle::Task;
use super::socket_host::SocketHost;
use super::state::FleetState;
use crate::clock::Clock;
use crate::net::socket;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future::{or, pending};
use landingspread_decisions::host::ReplicaView;
use landingspread_membership::{Address, FleetSize, MAX_MESSAGE_BYTES, Membership};
use std::net::UdpSocket;
use std::time::Duration;

/// The interval at which a failed bind is retried.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// The delay after a failed read, so that a socket that fails on each read does not keep the thread busy.
const READ_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The interval at which an unchanged fleet size is sent to the decision engine, which tracks the mean request rate in it.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// The size of the receive buffer: one byte more than the longest message, so that longer datagrams are detected.
const RECEIVE_BYTES: usize = MAX_MESSAGE_BYTES + 1;

/// The event loop of the fleet's thread and its inputs and outputs.
pub(super) struct Worker {
    pub state: FleetState,
    pub clock: Clock,
    pub tasks: Receiver<Task>,
    /// Updates of the fleet size for the decision engine.
    pub size_updates: Sender<ReplicaView>,
    pub request_rate: SharedRequestRate,
}

/// An event that the event loop handles.
enum Event {
    /// A datagram of this length is in the receive buffer.
    Datagram(usize),
    /// A datagram was received on the peers' socket.
    Forwarded(Vec<u8>),
    Task(Task),
    TickDue,
}

/// The fleet size that was last sent to the decision engine, and when.
#[derive(Default)]
struct LastUpdate {
    size: Option<ReplicaView>,
    at: Duration,
}

impl Worker {
    /// Handles datagrams, tasks and ticks, one at a time. Never returns.
    pub async fn run(mut self, socket: Option<Async<UdpSocket>>, forwarded: Option<Receiver<Vec<u8>>>) {
        let mut buffer = [0; RECEIVE_BYTES];
        let mut tick_at = self.clock.now();
        let mut last_update = LastUpdate::default();
        loop {
            let event = self.wait(tick_at, socket.as_ref(), forwarded.as_ref(), &mut buffer).await;
            let now = self.clock.now();
            match event {
                Event::Datagram(length) => self.state.receive(now, &buffer[..length]),
                Event::Forwarded(datagram) => self.state.receive(now, &datagram),
                Event::Task(task) => task(&mut self.state, now),
                Event::TickDue => {}
            }
            // Under a flood of datagrams the tick may never be the next event, so its deadline is checked after every event.
            if tick_at <= now {
                tick_at = now + Membership::<SocketHost>::TICK_INTERVAL;
                self.tick(now, &mut last_update);
            }
        }
    }

    fn tick(&mut self, now: Duration, last_update: &mut LastUpdate) {
        let FleetState { membership, zones, .. } = &mut self.state;
        membership.set_request_rate(self.request_rate.get());
        if let Some(zones) = zones {
            zones.tick(now, membership);
        }
        membership.tick(now);
        let size = replica_view(&membership.fleet_size());
        let due = last_update.size != Some(size) || last_update.at + UPDATE_INTERVAL <= now;
        // If the channel still holds an older update, the next tick sends the newer one.
        if due && self.size_updates.try_send(size).is_ok() {
            *last_update = LastUpdate { size: Some(size), at: now };
        }
    }

    async fn wait(
        &self,
        tick_at: Duration,
        socket: Option<&Async<UdpSocket>>,
        forwarded: Option<&Receiver<Vec<u8>>>,
        buffer: &mut [u8],
    ) -> Event {
        let datagram = async {
            let Some(socket) = socket else { return pending().await };
            loop {
                match socket::receive_from(socket, buffer).await {
                    Ok((length, _)) => return Event::Datagram(length),
                    Err(_) => Timer::after(READ_RETRY_DELAY).await,
                };
            }
        };
        let forwarded = async {
            let Some(forwarded) = forwarded else { return pending().await };
            match forwarded.recv().await {
                Ok(datagram) => Event::Forwarded(datagram),
                Err(_) => pending().await,
            }
        };
        let task = async {
            match self.tasks.recv().await {
                Ok(task) => Event::Task(task),
                Err(_) => pending().await,
            }
        };
        let tick = async {
            Timer::at(self.clock.instant(tick_at)).await;
            Event::TickDue
        };
        or(task, or(tick, or(datagram, forwarded))).await
    }
}

fn replica_view(size: &FleetSize) -> ReplicaView {
    ReplicaView {
        count: size.members,
        max_alive: size.possibly_live,
        ordinal: size.ordinal().map(u32::from),
        mean_request_rate: size.mean_request_rate,
    }
}

/// Binds the fleet's address. The process that this one replaces may still have it bound: a failure is retried, and logged
/// only once.
pub(super) async fn bind(address: Address) -> Async<UdpSocket> {
    let mut logged = false;
    loop {
        match Async::<UdpSocket>::bind(address) {
            Ok(socket) => {
                tracing::info!("fleet: listening for members at {address}");
                return socket;
            }
            Err(error) if !std::mem::replace(&mut logged, true) => {
                tracing::warn!("fleet: binding {address} failed: {error}; retrying");
            }
            Err(_) => {}
        }
        Timer::after(BIND_RETRY_INTERVAL).await;
    }
}
