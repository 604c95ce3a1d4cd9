//! Rules 1 and 2 as any baseline keeps them: which server a command may still go to, and what its end may be.

use landingspread_decisions::host::Outcome;
use landingspread_decisions::settings::{DedupScope, RetrySafety, Settings};
use std::time::Duration;

/// A relay as a baseline remembers it.
pub struct Sent {
    pub server: usize,
    pub zone: u32,
    pub cell: u32,
    pub at: Duration,
    pub outcome: Option<Outcome>,
}

impl Sent {
    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

fn repeats(terms: &Settings, verb: usize) -> RetrySafety {
    terms.classes.get(verb).map_or(RetrySafety::NonIdempotent, |verb| verb.retry_safety)
}

/// Whether a further relay to a server in this zone and cell is harmless.
pub fn may_go(terms: &Settings, verb: usize, sent: &[Sent], zone: u32, cell: u32, now: Duration) -> bool {
    let memory = terms.classes.get(verb).map_or(Duration::ZERO, |verb| verb.dedup_window);
    sent.iter().filter(|sent| sent.may_have_run()).all(|sent| match repeats(terms, verb) {
        RetrySafety::Idempotent => true,
        RetrySafety::NonIdempotent => false,
        RetrySafety::IdempotencyKeyed(group) => {
            let within = match group {
                DedupScope::All => true,
                DedupScope::Zone => sent.zone == zone,
                DedupScope::Cell => sent.zone == zone && sent.cell == cell,
            };
            within && now < sent.at + memory
        }
    })
}

/// Whether giving it up may be told as harmless to try again.
pub fn may_decline(terms: &Settings, verb: usize, sent: &[Sent]) -> bool {
    let harmless = matches!(
        repeats(terms, verb),
        RetrySafety::Idempotent | RetrySafety::IdempotencyKeyed(DedupScope::All)
    );
    harmless || !sent.iter().any(Sent::may_have_run)
}
