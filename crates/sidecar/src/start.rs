//! Measures when each start-up step of this process is completed.
//!
//! This module owns the log line that shows how long each step took. It must never delay a step, and only the first
//! completion of a step counts.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The time from the start of the process to the completion of a step; None until the step is completed.
type Step = Cell<Option<Duration>>;

/// The completion times of the start-up steps.
pub struct StartupTimes {
    began: Instant,
    configuration: Step,
    listener: Step,
    stored_files: Step,
    discovery_polled: Step,
    first_list: Step,
    ready: Step,
}

/// CPU scheduling times of the main thread since the start of the process.
struct Scheduling {
    /// The time spent running on a CPU.
    ran: Duration,
    /// The time spent runnable, waiting for a CPU.
    queued: Duration,
}

impl Scheduling {
    /// Reads the times from `/proc/self/schedstat`, as described in proc(5). Returns None if the file is not available.
    fn of_main_thread() -> Option<Scheduling> {
        let text = std::fs::read_to_string("/proc/self/schedstat").ok()?;
        let mut fields = text.split_whitespace().map(|field| field.parse().ok().map(Duration::from_nanos));
        Some(Scheduling { ran: fields.next()??, queued: fields.next()?? })
    }
}

fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl StartupTimes {
    /// Starts the measurement; called at the start of the process.
    pub fn begin() -> StartupTimes {
        StartupTimes {
            began: Instant::now(),
            configuration: Cell::default(),
            listener: Cell::default(),
            stored_files: Cell::default(),
            discovery_polled: Cell::default(),
            first_list: Cell::default(),
            ready: Cell::default(),
        }
    }

    /// Records the completion of a step. Returns whether this was the step's first completion.
    fn complete(&self, step: &Step) -> bool {
        let first = step.get().is_none();
        if first {
            step.set(Some(self.began.elapsed()));
        }
        first
    }

    /// Records that the configuration is read and checked.
    pub fn configuration_read(&self) {
        self.complete(&self.configuration);
    }

    /// Records that the listener for clients is bound or inherited.
    pub fn listener_bound(&self) {
        self.complete(&self.listener);
    }

    /// Records that the files stored by an earlier process are read, or that there are none.
    pub fn stored_files_read(&self) {
        self.complete(&self.stored_files);
    }

    /// Records that the first discovery poll is written.
    pub fn discovery_polled(&self) {
        self.complete(&self.discovery_polled);
    }

    /// Records that an endpoint list has arrived, and logs it if the process became ready before the first list.
    pub fn list_received(&self) {
        if self.complete(&self.first_list) && self.ready.get().is_some() {
            tracing::info!(first_list_ms = self.first_list.get().map(ms), "the first endpoint list has come");
        }
    }

    /// Records that a response 200 to `/_health` is written, and logs all times at the first one.
    pub fn health_check_answered(&self) {
        if !self.complete(&self.ready) {
            return;
        }
        let completed_ms = |step: &Step| step.get().map(ms);
        let scheduling = Scheduling::of_main_thread();
        tracing::info!(
            configuration_ms = completed_ms(&self.configuration),
            listener_ms = completed_ms(&self.listener),
            kept_files_ms = completed_ms(&self.stored_files),
            discovery_called_ms = completed_ms(&self.discovery_polled),
            first_list_ms = completed_ms(&self.first_list),
            ready_ms = completed_ms(&self.ready),
            ran_ms = scheduling.as_ref().map(|scheduling| ms(scheduling.ran)),
            queued_ms = scheduling.as_ref().map(|scheduling| ms(scheduling.queued)),
            "ready"
        );
    }
}
