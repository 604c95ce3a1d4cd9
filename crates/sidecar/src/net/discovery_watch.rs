//! Runs the watch of the endpoint list, and moves it to another discovery when the configuration file or the control
//! machines change the address.

use super::discovery::Discovery;
use super::executor::Executor;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use futures_lite::future::pending;
use std::net::SocketAddr;

/// The task that polls discovery, and the sources of its address.
pub(super) struct DiscoveryWatch {
    client: Option<Discovery>,
    task: Option<Task<()>>,
    /// The address in the configuration file.
    file_address: Option<SocketAddr>,
    /// The address that the control machines give; it takes precedence over the file's.
    control_address: Option<SocketAddr>,
    control_addresses: Receiver<Option<SocketAddr>>,
    poll: Sender<()>,
    poll_requests: Receiver<()>,
}

/// The channels of a watch: requests for polls, and the addresses that the control machines give.
pub(super) struct WatchChannels {
    pub(super) poll: Sender<()>,
    pub(super) poll_requests: Receiver<()>,
    pub(super) control_addresses: Receiver<Option<SocketAddr>>,
}

impl DiscoveryWatch {
    /// Creates a watch that is not started. An address that the control machines gave before the restart is used from
    /// the first poll on.
    pub(super) fn new(
        mut client: Option<Discovery>,
        file_address: Option<SocketAddr>,
        channels: WatchChannels,
    ) -> DiscoveryWatch {
        let WatchChannels { poll, poll_requests, control_addresses } = channels;
        let control_address = control_addresses.try_recv().ok().flatten();
        if let (Some(address), Some(client)) = (control_address, &mut client) {
            client.set_address(address);
        }
        DiscoveryWatch {
            client,
            task: None,
            file_address,
            control_address,
            control_addresses,
            poll,
            poll_requests,
        }
    }

    /// Starts to poll, if a discovery is configured.
    pub(super) fn start(&mut self, executor: &Executor) {
        let client = self.client.clone();
        self.task = client.map(|client| executor.spawn(client.follow(self.poll_requests.clone())));
    }

    /// Whether a discovery is configured, from which the watch can be moved.
    pub(super) fn is_configured(&self) -> bool {
        self.client.is_some()
    }

    /// Waits for the next address that the control machines give; None means that they give none. Never returns where
    /// the configuration comes from the file alone.
    pub(super) async fn next_control_address(&self) -> Option<SocketAddr> {
        match self.control_addresses.recv().await {
            Ok(address) => address,
            Err(_) => pending().await,
        }
    }

    /// Sets the address of the configuration file.
    pub(super) fn set_file_address(&mut self, address: SocketAddr) {
        self.file_address = Some(address);
    }

    /// Sets the address that the control machines give. Returns whether it has changed.
    pub(super) fn set_control_address(&mut self, address: Option<SocketAddr>) -> bool {
        let changed = address != self.control_address;
        self.control_address = address;
        changed
    }

    /// Restarts the watch at the address that is in force.
    pub(super) async fn apply_address(&mut self, executor: &Executor) {
        let address = self.control_address.or(self.file_address);
        let (Some(address), true) = (address, self.client.is_some()) else { return };
        if self.control_address.is_some() {
            tracing::info!(discovery = %address, "control: discovery moved to this address");
        }
        // Cancelling a pending poll closes its connection.
        if let Some(task) = self.task.take() {
            task.cancel().await;
        }
        self.client.iter_mut().for_each(|client| client.set_address(address));
        let _ = self.poll.try_send(());
        self.start(executor);
    }
}
