//! Applies configuration versions to the running components of a sidecar.

use crate::configuration::{Configuration, RuntimeChange, RuntimeSettings};
use crate::net::clients::ClientSide;
use crate::net::owner::{Event, EventQueue};
use async_channel::{Receiver, Sender};
use landingspread_control::{ConfigError, ConfigHost, Contents, Version};
use std::net::SocketAddr;
use std::rc::Rc;

/// A host that applies a version asynchronously.
pub trait AsyncConfigHost: ConfigHost {
    /// Waits until every component uses the version that was applied last.
    async fn wait_until_applied(&mut self);
}

/// Handles to the components of the sidecar that the configuration can change.
pub struct SidecarHost {
    settings: RuntimeSettings,
    queue: EventQueue,
    clients: Rc<ClientSide>,
    discovery: Sender<Option<SocketAddr>>,
    /// Notified once the event loop has applied the last version.
    applied: Option<Receiver<()>>,
}

impl SidecarHost {
    /// Creates a host that applies versions on top of `configuration`. The event loop receives changes through `queue`,
    /// the watch of discovery receives the address through `discovery`.
    pub fn new(
        configuration: &Configuration,
        queue: EventQueue,
        clients: Rc<ClientSide>,
        discovery: Sender<Option<SocketAddr>>,
    ) -> SidecarHost {
        SidecarHost {
            settings: RuntimeSettings::new(configuration),
            queue,
            clients,
            discovery,
            applied: None,
        }
    }
}

impl ConfigHost for SidecarHost {
    fn check(&mut self, contents: &Contents) -> Result<(), ConfigError> {
        self.settings.read(contents).map(drop)
    }

    fn apply(&mut self, _version: &Version, contents: &Contents) {
        // The contents passed `check`, so reading them doesn't fail.
        let Ok(change) = self.settings.read(contents) else { return };
        let RuntimeChange { classes, discovery, .. } = &change;
        let (notify, applied) = async_channel::bounded(1);
        self.clients.set_time_limits(classes.iter().map(|class| class.time_limit).collect());
        let _ = self.discovery.try_send(*discovery);
        self.queue.push(Event::SettingsChanged(Box::new(change), notify));
        self.applied = Some(applied);
    }
}

impl AsyncConfigHost for SidecarHost {
    async fn wait_until_applied(&mut self) {
        if let Some(applied) = self.applied.take() {
            let _ = applied.recv().await;
        }
    }
}
