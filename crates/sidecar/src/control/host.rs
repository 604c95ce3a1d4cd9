//! Applies versions to the parts of a sidecar that run.

use crate::configuration::{Configuration, RuntimeChange, RuntimeSettings};
use crate::net::clients::ClientSide;
use crate::net::owner::{Event, EventQueue};
use async_channel::{Receiver, Sender};
use landingspread_control::{ConfigError, ConfigHost, Contents, Version};
use std::net::SocketAddr;
use std::rc::Rc;

/// A host that may take a while until a version has reached all who go by it.
pub trait AsyncConfigHost: ConfigHost {
    /// Waits until the version that was applied last is in force everywhere.
    async fn settled(&mut self);
}

/// The parts of the sidecar that go by the configuration.
pub struct SidecarHost {
    live: RuntimeSettings,
    queue: EventQueue,
    clients: Rc<ClientSide>,
    discovery: Sender<Option<SocketAddr>>,
    /// Notified once the owner has taken the last version.
    applied: Option<Receiver<()>>,
}

impl SidecarHost {
    /// Versions apply on top of `configuration`; the owner hears of them by `queue`, and the watch on discovery by `discovery`.
    pub fn new(
        configuration: &Configuration,
        queue: EventQueue,
        clients: Rc<ClientSide>,
        discovery: Sender<Option<SocketAddr>>,
    ) -> SidecarHost {
        SidecarHost { live: RuntimeSettings::new(configuration), queue, clients, discovery, applied: None }
    }
}

impl ConfigHost for SidecarHost {
    fn check(&mut self, contents: &Contents) -> Result<(), ConfigError> {
        self.live.read(contents).map(drop)
    }

    fn apply(&mut self, _version: &Version, contents: &Contents) {
        // It was checked just now.
        let Ok(changed) = self.live.read(contents) else { return };
        let RuntimeChange { classes, discovery, .. } = &changed;
        let (notify, applied) = async_channel::bounded(1);
        self.clients.set_time_limits(classes.iter().map(|class| class.time_limit).collect());
        let _ = self.discovery.try_send(*discovery);
        self.queue.push(Event::SettingsChanged(Box::new(changed), notify));
        self.applied = Some(applied);
    }
}

impl AsyncConfigHost for SidecarHost {
    async fn settled(&mut self) {
        if let Some(applied) = self.applied.take() {
            let _ = applied.recv().await;
        }
    }
}
