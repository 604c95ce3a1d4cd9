//! The thread on which this process takes part in the fleet's membership and zone failover. It is a separate thread so that
//! a busy data path does not make this process appear dead to other members. It binds the address at which members reach
//! this process and logs membership events. `landingspread_membership` implements the protocol, and the decision engine
//! uses the resulting fleet size and traffic fractions for its requests.

mod decision_link;
#[cfg(test)]
mod fixture_tests;
mod handle;
mod members_page;
mod socket_host;
mod state;
mod worker;
mod zone_failover;
mod zones_page;

pub use decision_link::DecisionLink;
pub use handle::{FleetHandle, ZoneCommandReply};
pub use zone_failover::{FailoverSettings, OBSERVATION_INTERVAL};

use crate::clock::Clock;
use crate::configuration::FleetSettings;
use crate::net::executor::Executor;
use async_channel::{Receiver, Sender};
use decision_link::{SharedObservations, SharedRequestRate};
use landingspread_membership::{MemberConfig, Membership};
use socket_host::SocketHost;
use state::{FleetState, ReceivedCounters};
use std::io;
use std::net::UdpSocket;
use std::time::SystemTime;
use worker::Worker;
use zone_failover::FleetZones;

/// Maximum number of datagrams received on the peers' socket that are queued for the fleet's thread; further ones are
/// dropped.
const MAX_FORWARDED_DATAGRAMS: usize = 256;

/// The peers' socket, for a fleet without a socket of its own. The fleet sends on it; the task that reads the socket
/// forwards the fleet's datagrams.
pub struct SharedSocket {
    /// The socket on which the fleet sends.
    pub socket: UdpSocket,
    /// The fleet's datagrams that were received on the socket.
    pub datagrams: Receiver<Vec<u8>>,
}

/// Creates the channel for the datagrams of a `SharedSocket`.
pub fn datagram_channel() -> (Sender<Vec<u8>>, Receiver<Vec<u8>>) {
    async_channel::bounded(MAX_FORWARDED_DATAGRAMS)
}

/// Starts to take part in the fleet, as a task on `executor` if given, otherwise on a thread of its own. Fails only if the
/// thread cannot be started; binding the address is retried until it succeeds.
pub fn start(
    settings: FleetSettings,
    name: &str,
    seed: u64,
    clock: Clock,
    shared_socket: Option<SharedSocket>,
    failover: Option<FailoverSettings>,
    executor: Option<&Executor>,
) -> io::Result<(FleetHandle, DecisionLink)> {
    let (handle, tasks) = handle::task_channel();
    let (size_updates, fleet_sizes) = async_channel::bounded(1);
    let (request_rate, observations) = (SharedRequestRate::default(), SharedObservations::default());
    let listen = settings.listen;
    let config = member_config(settings, name);
    let (zones, zone_traffic) = match failover {
        Some(failover) => {
            let (updates, zone_traffic) = async_channel::bounded(1);
            let zones = FleetZones::start(failover, &config, observations.clone(), updates);
            (Some(zones), Some(zone_traffic))
        }
        None => (None, None),
    };
    let link = DecisionLink { fleet_sizes, zone_traffic, request_rate: request_rate.clone(), observations };
    let run = async move || {
        let (own_socket, send_socket, forwarded) = match shared_socket {
            Some(SharedSocket { socket, datagrams }) => (None, socket.try_clone().ok(), Some(datagrams)),
            None => {
                let socket = worker::bind(listen).await;
                let send_socket = socket.get_ref().try_clone().ok();
                (Some(socket), send_socket, None)
            }
        };
        let membership = Membership::start(SocketHost::new(send_socket), config, seed, clock.now());
        let state = FleetState { membership, zones, received: ReceivedCounters::default() };
        Worker { state, clock, tasks, size_updates, request_rate }.run(own_socket, forwarded).await;
    };
    match executor {
        Some(executor) => executor.spawn(run()).detach(),
        None => {
            let run = move || Executor::new().block_on(run());
            std::thread::Builder::new().name("fleet".into()).spawn(run)?;
        }
    }
    Ok((handle, link))
}

fn member_config(settings: FleetSettings, name: &str) -> MemberConfig {
    let since_1970 = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    MemberConfig {
        address: settings.advertise,
        name: name.to_string(),
        zone: settings.zone,
        fleet: settings.name,
        incarnation: since_1970.as_millis() as u64,
        seeds: settings.seeds,
        budget: settings.budget,
        configured_members: settings.configured_replicas,
    }
}
