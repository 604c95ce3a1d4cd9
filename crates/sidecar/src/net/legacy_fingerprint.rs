//! The fingerprint that the file of learned statistics bore before it was computed over named settings.
//!
//! That fingerprint hashed the debug text of the checked settings, names of types and fields included. This module
//! spells those texts out as literals, so that files written by earlier releases are still recognized after the types
//! are renamed. Nothing here may follow a rename: every literal is part of a stored format.

use crate::launch::Launch;
use landingspread_decisions::terms::{Allowed, ColdRule, Group, Prices, Repeats, Verb};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The identity of a deployment as earlier releases wrote it into the file.
pub fn deployment(launch: &Launch) -> String {
    let names: Vec<&str> = launch.verbs.iter().map(|verb| verb.name.as_str()).collect();
    let mut hasher = DefaultHasher::new();
    debug_text(launch).hash(&mut hasher);
    format!("tier {} of {}, set as {:016x}", launch.terms.tier, names.join(" "), hasher.finish())
}

fn debug_text(launch: &Launch) -> String {
    let terms = &launch.terms;
    let verbs: Vec<String> = terms.verbs.iter().map(verb).collect();
    format!(
        "[{}] {:?} {:?} {} {} {}",
        verbs.join(", "),
        launch.tenants,
        terms.quotas,
        allowed(&terms.allowed),
        cold(&terms.cold),
        prices(&terms.prices)
    )
}

fn verb(verb: &Verb) -> String {
    let Verb { repeats: kind, memory, goal, limit, utility, overdue_utility } = verb;
    let kind = repeats(*kind);
    format!(
        "Verb {{ repeats: {kind}, memory: {memory:?}, goal: {goal:?}, limit: {limit:?}, utility: {utility:?}, \
         overdue_utility: {overdue_utility:?} }}"
    )
}

fn repeats(repeats: Repeats) -> &'static str {
    match repeats {
        Repeats::Pure => "Pure",
        Repeats::Receipted(Group::All) => "Receipted(All)",
        Repeats::Receipted(Group::Zone) => "Receipted(Zone)",
        Repeats::Receipted(Group::Cell) => "Receipted(Cell)",
        Repeats::Effectful => "Effectful",
    }
}

fn allowed(allowed: &Allowed) -> String {
    let Allowed { checks, cancel, parallel, peers, relays, come_back } = allowed;
    format!(
        "Allowed {{ checks: {checks:?}, cancel: {cancel:?}, parallel: {parallel:?}, peers: {peers:?}, \
         relays: {relays:?}, come_back: {come_back:?} }}"
    )
}

fn cold(rule: &ColdRule) -> String {
    let ColdRule { share, warm_after, multiple, window } = rule;
    format!(
        "ColdRule {{ share: {share:?}, warm_after: {warm_after:?}, multiple: {multiple:?}, window: {window:?} }}"
    )
}

fn prices(prices: &Prices) -> String {
    let Prices { crossing, check, peer, connection } = prices;
    format!(
        "Prices {{ crossing: {crossing:?}, check: {check:?}, peer: {peer:?}, connection: {connection:?} }}"
    )
}
