//! Rules 1 and 2 as any baseline keeps them: which server a command may still go to, and what its end may be.

use landingspread_decisions::host::Outcome;
use landingspread_decisions::terms::{Group, Repeats, Terms};
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

fn repeats(terms: &Terms, verb: usize) -> Repeats {
    terms.verbs.get(verb).map_or(Repeats::Effectful, |verb| verb.repeats)
}

/// Whether a further relay to a server in this zone and cell is harmless.
pub fn may_go(terms: &Terms, verb: usize, sent: &[Sent], zone: u32, cell: u32, now: Duration) -> bool {
    let memory = terms.verbs.get(verb).map_or(Duration::ZERO, |verb| verb.memory);
    sent.iter().filter(|sent| sent.may_have_run()).all(|sent| match repeats(terms, verb) {
        Repeats::Pure => true,
        Repeats::Effectful => false,
        Repeats::Receipted(group) => {
            let within = match group {
                Group::All => true,
                Group::Zone => sent.zone == zone,
                Group::Cell => sent.zone == zone && sent.cell == cell,
            };
            within && now < sent.at + memory
        }
    })
}

/// Whether giving it up may be told as harmless to try again.
pub fn may_decline(terms: &Terms, verb: usize, sent: &[Sent]) -> bool {
    let harmless = matches!(repeats(terms, verb), Repeats::Pure | Repeats::Receipted(Group::All));
    harmless || !sent.iter().any(Sent::may_have_run)
}
