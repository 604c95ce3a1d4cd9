//! The steps of this process's start, and how long after its beginning each was done.
//!
//! It owns the log line that shows what a start waited for. It must never hold a step up; a step counts the first time
//! alone.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The time from the beginning of the process until a step; None until it is done.
type Step = Cell<Option<Duration>>;

/// The times of the steps.
pub struct StartupTimes {
    began: Instant,
    configuration: Step,
    listener: Step,
    stored_files: Step,
    discovery_polled: Step,
    first_list: Step,
    ready: Step,
}

/// How the main thread was scheduled so far.
struct Scheduling {
    ran: Duration,
    /// The time it stood in the queue for a processor.
    queued: Duration,
}

impl Scheduling {
    /// By proc(5); None where the system does not tell.
    fn of_main_thread() -> Option<Scheduling> {
        let text = std::fs::read_to_string("/proc/self/schedstat").ok()?;
        let mut fields = text.split_whitespace().map(|field| field.parse().ok().map(Duration::from_nanos));
        Some(Scheduling { ran: fields.next()??, queued: fields.next()?? })
    }
}

fn ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl StartupTimes {
    /// The process begins now.
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

    /// Notes that a step is done. Whether this was the first time.
    fn done(&self, step: &Step) -> bool {
        let first = step.get().is_none();
        if first {
            step.set(Some(self.began.elapsed()));
        }
        first
    }

    /// The configuration is read and checked.
    pub fn configuration_read(&self) {
        self.done(&self.configuration);
    }

    /// The callers' listener is bound or inherited.
    pub fn listener_bound(&self) {
        self.done(&self.listener);
    }

    /// What an earlier process stored is read, or there is nothing.
    pub fn stored_files_read(&self) {
        self.done(&self.stored_files);
    }

    /// The first poll of discovery is written.
    pub fn discovery_polled(&self) {
        self.done(&self.discovery_polled);
    }

    /// An endpoint list has come.
    pub fn list_received(&self) {
        if self.done(&self.first_list) && self.ready.get().is_some() {
            tracing::info!(first_list_ms = self.first_list.get().map(ms), "the first endpoint list has come");
        }
    }

    /// The first answer of 200 to `/_health` is written.
    pub fn health_check_answered(&self) {
        if !self.done(&self.ready) {
            return;
        }
        let at = |step: &Step| step.get().map(ms);
        let scheduling = Scheduling::of_main_thread();
        tracing::info!(
            configuration_ms = at(&self.configuration),
            listener_ms = at(&self.listener),
            kept_files_ms = at(&self.stored_files),
            discovery_called_ms = at(&self.discovery_polled),
            first_list_ms = at(&self.first_list),
            ready_ms = at(&self.ready),
            ran_ms = scheduling.as_ref().map(|scheduling| ms(scheduling.ran)),
            queued_ms = scheduling.as_ref().map(|scheduling| ms(scheduling.queued)),
            "ready"
        );
    }
}
