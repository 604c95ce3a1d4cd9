//! The steps of this process's start and how long after its beginning each was done. It owns the one line that tells
//! operators what a start waited for; it must never hold a step up, and a step counts the first time alone.

use std::cell::Cell;
use std::time::{Duration, Instant};

type Step = Cell<Option<Duration>>;

/// Spans since `main` began; a step that is not done yet has none.
pub struct Start {
    began: Instant,
    configuration: Step,
    listener: Step,
    kept_files: Step,
    discovery_called: Step,
    first_list: Step,
    ready: Step,
}

/// How long the main thread has run and how long it stood in the queue for a processor, by proc(5); nothing where the
/// system does not tell.
fn scheduled() -> Option<(Duration, Duration)> {
    let text = std::fs::read_to_string("/proc/self/schedstat").ok()?;
    let mut nanos = text.split_whitespace().map(|field| field.parse().ok().map(Duration::from_nanos));
    Some((nanos.next()??, nanos.next()??))
}

fn ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl Start {
    pub fn begin() -> Start {
        Start {
            began: Instant::now(),
            configuration: Cell::default(),
            listener: Cell::default(),
            kept_files: Cell::default(),
            discovery_called: Cell::default(),
            first_list: Cell::default(),
            ready: Cell::default(),
        }
    }

    /// Whether this was the first time.
    fn done(&self, step: &Step) -> bool {
        let first = step.get().is_none();
        if first {
            step.set(Some(self.began.elapsed()));
        }
        first
    }

    pub fn configuration_read(&self) {
        self.done(&self.configuration);
    }

    pub fn listener_bound(&self) {
        self.done(&self.listener);
    }

    /// What an earlier process left is read, or there is nothing.
    pub fn kept_files_read(&self) {
        self.done(&self.kept_files);
    }

    /// The first call to discovery is written.
    pub fn discovery_called(&self) {
        self.done(&self.discovery_called);
    }

    pub fn list_came(&self) {
        if self.done(&self.first_list) && self.ready.get().is_some() {
            tracing::info!(first_list_ms = self.first_list.get().map(ms), "the first list has come");
        }
    }

    /// The first answer of 200 to `/_health` is written.
    pub fn health_answered(&self) {
        if !self.done(&self.ready) {
            return;
        }
        let at = |step: &Step| step.get().map(ms);
        let scheduled = scheduled();
        tracing::info!(
            configuration_ms = at(&self.configuration),
            listener_ms = at(&self.listener),
            kept_files_ms = at(&self.kept_files),
            discovery_called_ms = at(&self.discovery_called),
            first_list_ms = at(&self.first_list),
            ready_ms = at(&self.ready),
            ran_ms = scheduled.map(|(ran, _)| ms(ran)),
            queued_ms = scheduled.map(|(_, queued)| ms(queued)),
            "ready"
        );
    }
}
