//! The loop of the fleet's thread: datagrams, tasks of other threads, and the protocol's ticks.

use super::decision_link::SharedRequestRate;
use super::handle::Task;
use super::socket_host::SocketHost;
use super::state::FleetState;
use crate::clock::Clock;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future::{or, pending};
use landingspread_decisions::host::ReplicaView;
use landingspread_membership::{Address, FleetSize, MAX_MESSAGE_BYTES, Membership};
use std::net::UdpSocket;
use std::time::Duration;

/// How often binding an address in use is retried.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// A socket that fails at each read must not take all of the thread's time.
const READ_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The decision engine hears of an unchanged fleet size this often, as the traffic in it is followed.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// One byte more than a message holds, so that a longer datagram is recognized.
const RECEIVE_BYTES: usize = MAX_MESSAGE_BYTES + 1;

/// The fleet's thread.
pub(super) struct Worker {
    pub state: FleetState,
    pub clock: Clock,
    pub tasks: Receiver<Task>,
    /// To the decision engine.
    pub size_updates: Sender<ReplicaView>,
    pub request_rate: SharedRequestRate,
}

/// What the thread waited for.
enum Event {
    /// So many bytes are in the receive buffer.
    Datagram(usize),
    /// A datagram that came by the peers' socket.
    Forwarded(Vec<u8>),
    Task(Task),
    TickDue,
}

/// The fleet size that the decision engine was sent last.
#[derive(Default)]
struct LastUpdate {
    size: Option<ReplicaView>,
    at: Duration,
}

impl Worker {
    /// Serves the fleet: datagrams, tasks and ticks, one after the other. Never returns.
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
            // Under a flood of datagrams the event is never the tick: time goes on all the same.
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
        // Where an older update still waits, the next tick sends the newer one.
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
                match socket.recv_from(buffer).await {
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

/// Binds the fleet's address. The process that this one replaces may still hold it: that is logged once, and retried.
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
