//! A latch that tasks can wait for.

use async_channel::{Receiver, Sender};

/// A flag that is open at first and can be closed once.
pub(super) struct Latch {
    close: Sender<()>,
    closed: Receiver<()>,
}

impl Latch {
    pub(super) fn open() -> Latch {
        let (close, closed) = async_channel::bounded(1);
        Latch { close, closed }
    }

    pub(super) fn close(&self) {
        self.close.close();
    }

    pub(super) fn is_closed(&self) -> bool {
        self.close.is_closed()
    }

    /// Returns once the latch is closed.
    pub(super) async fn closed(&self) {
        let _ = self.closed.recv().await;
    }
}
