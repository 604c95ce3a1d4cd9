//! A latch that tasks can wait for.

use async_channel::{Receiver, Sender};

/// Open until it is closed for good.
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

    /// Returns once it is closed.
    pub(super) async fn closed(&self) {
        let _ = self.closed.recv().await;
    }
}
