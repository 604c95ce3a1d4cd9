//! The watch of the endpoint list while the process runs: which discovery it polls, and moving it to another one.

use super::discovery::Discovery;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use futures_lite::future::pending;
use std::net::SocketAddr;

/// The task that polls discovery, and what decides which discovery that is.
pub(super) struct DiscoveryWatch {
    client: Option<Discovery>,
    task: Option<Task<()>>,
    /// The address in the configuration file.
    file_address: Option<SocketAddr>,
    /// The address that the control machines give; it goes before the file's.
    control_address: Option<SocketAddr>,
    control_moves: Receiver<Option<SocketAddr>>,
    poll: Sender<()>,
    poll_requests: Receiver<()>,
}

/// The channels of a watch: where polls are asked for, and where the control machines move it.
pub(super) struct WatchChannels {
    pub(super) poll: Sender<()>,
    pub(super) poll_requests: Receiver<()>,
    pub(super) control_moves: Receiver<Option<SocketAddr>>,
}

impl DiscoveryWatch {
    /// A watch that is not started. What the control machines gave before the restart is in force from the first poll on.
    pub(super) fn new(
        mut client: Option<Discovery>,
        file_address: Option<SocketAddr>,
        channels: WatchChannels,
    ) -> DiscoveryWatch {
        let WatchChannels { poll, poll_requests, control_moves } = channels;
        let control_address = control_moves.try_recv().ok().flatten();
        if let (Some(address), Some(client)) = (control_address, &mut client) {
            client.set_address(address);
        }
        DiscoveryWatch {
            client,
            task: None,
            file_address,
            control_address,
            control_moves,
            poll,
            poll_requests,
        }
    }

    /// Starts to poll, where there is a discovery.
    pub(super) fn start(&mut self, executor: &LocalExecutor<'static>) {
        let client = self.client.clone();
        self.task = client.map(|client| executor.spawn(client.follow(self.poll_requests.clone())));
    }

    /// Whether there is a discovery that the watch can be moved from.
    pub(super) fn is_configured(&self) -> bool {
        self.client.is_some()
    }

    /// The next address that the control machines give; waits for ever where configuration comes from the file alone.
    pub(super) async fn next_control_move(&self) -> Option<SocketAddr> {
        match self.control_moves.recv().await {
            Ok(address) => address,
            Err(_) => pending().await,
        }
    }

    /// The file gives this address now.
    pub(super) fn set_file_address(&mut self, address: SocketAddr) {
        self.file_address = Some(address);
    }

    /// The control machines give this address now. `false`: they gave it before.
    pub(super) fn set_control_address(&mut self, address: Option<SocketAddr>) -> bool {
        let changed = address != self.control_address;
        self.control_address = address;
        changed
    }

    /// Moves the watch to the discovery that is in force.
    pub(super) async fn apply_move(&mut self, executor: &LocalExecutor<'static>) {
        let address = self.control_address.or(self.file_address);
        let (Some(address), true) = (address, self.client.is_some()) else { return };
        if self.control_address.is_some() {
            tracing::info!(discovery = %address, "control: discovery moved to this address");
        }
        // Cancelled, a poll that waits closes its connection.
        if let Some(task) = self.task.take() {
            task.cancel().await;
        }
        self.client.iter_mut().for_each(|client| client.set_address(address));
        let _ = self.poll.try_send(());
        self.start(executor);
    }
}
