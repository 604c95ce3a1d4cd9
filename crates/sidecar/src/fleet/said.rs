//! The members as operators read them: one a line, or as JSON.

use super::Heard;
use landingspread_membership::{Host, Member, Membership};
use serde::Serialize;
use std::fmt::Write;
use std::time::Duration;

#[derive(Serialize)]
struct Row<'a> {
    name: &'a str,
    address: String,
    zone: &'a str,
    standing: &'static str,
    /// For how long it has stood so, and how old the last word of it is, in seconds.
    since_s: f64,
    heard_s: f64,
    life: u64,
    affirmed: u64,
    place: u16,
    commands_per_s: f64,
}

#[derive(Serialize)]
struct Fleet<'a> {
    own: String,
    live: usize,
    copies: f64,
    may_live: f64,
    place: Option<u16>,
    epoch: u64,
    digest: String,
    doubt: u32,
    hears_anybody: bool,
    sent_datagrams: u64,
    sent_bytes: u64,
    heard_datagrams: u64,
    heard_bytes: u64,
    held_back: u64,
    strange: u64,
    later: u64,
    members: Vec<Row<'a>>,
}

fn seconds(from: Duration, now: Duration) -> f64 {
    (now.saturating_sub(from).as_secs_f64() * 1000.0).round() / 1000.0
}

fn row(member: &Member, now: Duration) -> Row<'_> {
    Row {
        name: member.name(),
        address: member.address().to_string(),
        zone: member.zone(),
        standing: member.state().name(),
        since_s: seconds(member.state_since(), now),
        heard_s: seconds(member.last_heard(), now),
        life: member.incarnation(),
        affirmed: member.affirmed_epoch(),
        place: member.ordinal(),
        commands_per_s: member.commands_per_s(),
    }
}

fn fleet<H: Host>(membership: &Membership<H>, heard: Heard, now: Duration) -> Fleet<'_> {
    let (size, counters) = (membership.fleet_size(), membership.counters());
    Fleet {
        own: membership.address().to_string(),
        live: membership.live_count(),
        copies: size.members,
        may_live: size.possibly_live,
        place: size.ordinal(),
        epoch: membership.epoch(),
        digest: format!("{:016x}", membership.digest()),
        doubt: membership.health_penalty(),
        hears_anybody: membership.has_recent_contact(),
        sent_datagrams: counters.datagrams,
        sent_bytes: counters.bytes,
        heard_datagrams: heard.datagrams,
        heard_bytes: heard.bytes,
        held_back: counters.suppressed,
        strange: counters.unrecognized,
        later: counters.newer_version,
        members: membership.members().map(|member| row(member, now)).collect(),
    }
}

pub fn json<H: Host>(membership: &Membership<H>, heard: Heard, now: Duration) -> String {
    serde_json::to_string(&fleet(membership, heard, now)).unwrap_or_default() + "\n"
}

pub fn text<H: Host>(membership: &Membership<H>, now: Duration) -> String {
    let fleet = fleet(membership, Heard::default(), now);
    let place = fleet.place.map_or("none yet".to_string(), |place| place.to_string());
    let mut text = format!(
        "this copy {}, place {place}; {} live, parts by {:.2}; epoch {}, digest {}, doubt {}\n",
        fleet.own, fleet.live, fleet.copies, fleet.epoch, fleet.digest, fleet.doubt
    );
    for row in &fleet.members {
        let (name, zone) = (or_unknown(row.name), or_unknown(row.zone));
        // Writing to a String cannot fail.
        let _ = writeln!(
            text,
            "{:8} {name:16} {:21} zone {zone:8} for {:.1} s, heard {:.1} s ago, life {}, epoch {}, place {}, {:.1}/s",
            row.standing,
            row.address,
            row.since_s,
            row.heard_s,
            row.life,
            row.affirmed,
            row.place,
            row.commands_per_s
        );
    }
    text
}

fn or_unknown(text: &str) -> &str {
    if text.is_empty() { "?" } else { text }
}

#[cfg(test)]
#[path = "said_tests.rs"]
mod tests;
