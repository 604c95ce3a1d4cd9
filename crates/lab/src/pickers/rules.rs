//! The checks by which the baselines keep rule 2 of the referee: whether a further attempt is safe, and whether a
//! request may be rejected.

use landingspread_decisions::host::Outcome;
use landingspread_decisions::settings::{DedupScope, RetrySafety, Settings};
use std::time::Duration;

/// An attempt of a request, as a baseline records it.
pub struct SentAttempt {
    pub server: usize,
    pub zone: u32,
    pub cell: u32,
    pub sent_at: Duration,
    pub outcome: Option<Outcome>,
}

impl SentAttempt {
    /// Whether the server may have executed the request.
    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

fn retry_safety(settings: &Settings, class: usize) -> RetrySafety {
    settings.classes.get(class).map_or(RetrySafety::NonIdempotent, |class| class.retry_safety)
}

/// Whether a further attempt at a server in this zone and cell is safe.
pub fn may_send(
    settings: &Settings,
    class: usize,
    attempts: &[SentAttempt],
    zone: u32,
    cell: u32,
    now: Duration,
) -> bool {
    let dedup_window = settings.classes.get(class).map_or(Duration::ZERO, |class| class.dedup_window);
    attempts.iter().filter(|attempt| attempt.may_have_run()).all(|attempt| {
        match retry_safety(settings, class) {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => false,
            RetrySafety::IdempotencyKeyed(scope) => {
                let in_scope = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => attempt.zone == zone,
                    DedupScope::Cell => attempt.zone == zone && attempt.cell == cell,
                };
                in_scope && now < attempt.sent_at + dedup_window
            }
        }
    })
}

/// Whether the request may be rejected, which tells the client that a retry is safe.
pub fn may_reject(settings: &Settings, class: usize, attempts: &[SentAttempt]) -> bool {
    let safe_to_repeat = matches!(
        retry_safety(settings, class),
        RetrySafety::Idempotent | RetrySafety::IdempotencyKeyed(DedupScope::All)
    );
    safe_to_repeat || !attempts.iter().any(SentAttempt::may_have_run)
}
