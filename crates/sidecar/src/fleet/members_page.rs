//! The page `/fleet`: the members as text for operators, one per line, or as JSON. The JSON keys are a public interface.

use super::state::ReceivedCounters;
use landingspread_membership::{Host, Member, Membership};
use serde::Serialize;
use std::fmt::Write;
use std::time::Duration;

/// One member on the page. Fields that end in `_s`, except `requests_per_s`, are durations in seconds.
#[derive(Serialize)]
struct MemberRow<'a> {
    name: &'a str,
    address: String,
    zone: &'a str,
    #[serde(rename = "standing")]
    state: &'static str,
    #[serde(rename = "since_s")]
    in_state_s: f64,
    #[serde(rename = "heard_s")]
    last_heard_s: f64,
    #[serde(rename = "life")]
    incarnation: u64,
    #[serde(rename = "affirmed")]
    affirmed_epoch: u64,
    #[serde(rename = "place")]
    ordinal: u16,
    #[serde(rename = "commands_per_s")]
    requests_per_s: f64,
}

/// The contents of the page.
#[derive(Serialize)]
struct FleetPage<'a> {
    own: String,
    #[serde(rename = "live")]
    live_count: usize,
    #[serde(rename = "copies")]
    members_sharing: f64,
    #[serde(rename = "may_live")]
    possibly_live: f64,
    #[serde(rename = "place")]
    ordinal: Option<u16>,
    epoch: u64,
    digest: String,
    #[serde(rename = "doubt")]
    health_penalty: u32,
    #[serde(rename = "hears_anybody")]
    has_recent_contact: bool,
    sent_datagrams: u64,
    sent_bytes: u64,
    #[serde(rename = "heard_datagrams")]
    received_datagrams: u64,
    #[serde(rename = "heard_bytes")]
    received_bytes: u64,
    #[serde(rename = "held_back")]
    suppressed: u64,
    #[serde(rename = "strange")]
    unrecognized: u64,
    #[serde(rename = "later")]
    newer_version: u64,
    members: Vec<MemberRow<'a>>,
}

/// The time from `since` to `now` in seconds, rounded to milliseconds.
fn elapsed_s(since: Duration, now: Duration) -> f64 {
    (now.saturating_sub(since).as_secs_f64() * 1000.0).round() / 1000.0
}

fn member_row(member: &Member, now: Duration) -> MemberRow<'_> {
    MemberRow {
        name: member.name(),
        address: member.address().to_string(),
        zone: member.zone(),
        state: member.state().name(),
        in_state_s: elapsed_s(member.state_since(), now),
        last_heard_s: elapsed_s(member.last_heard(), now),
        incarnation: member.incarnation(),
        affirmed_epoch: member.affirmed_epoch(),
        ordinal: member.ordinal(),
        requests_per_s: member.requests_per_s(),
    }
}

fn fleet_page<H: Host>(
    membership: &Membership<H>,
    received: ReceivedCounters,
    now: Duration,
) -> FleetPage<'_> {
    let (size, counters) = (membership.fleet_size(), membership.counters());
    FleetPage {
        own: membership.address().to_string(),
        live_count: membership.live_count(),
        members_sharing: size.members,
        possibly_live: size.possibly_live,
        ordinal: size.ordinal(),
        epoch: membership.epoch(),
        digest: format!("{:016x}", membership.digest()),
        health_penalty: membership.health_penalty(),
        has_recent_contact: membership.has_recent_contact(),
        sent_datagrams: counters.datagrams,
        sent_bytes: counters.bytes,
        received_datagrams: received.datagrams,
        received_bytes: received.bytes,
        suppressed: counters.suppressed,
        unrecognized: counters.unrecognized,
        newer_version: counters.newer_version,
        members: membership.members().map(|member| member_row(member, now)).collect(),
    }
}

/// The page as one line of JSON.
pub fn json<H: Host>(membership: &Membership<H>, received: ReceivedCounters, now: Duration) -> String {
    serde_json::to_string(&fleet_page(membership, received, now)).unwrap_or_default() + "\n"
}

/// The page as text: a line about the local member, then one line per other member.
pub fn text<H: Host>(membership: &Membership<H>, now: Duration) -> String {
    let page = fleet_page(membership, ReceivedCounters::default(), now);
    let ordinal = page.ordinal.map_or("none yet".to_string(), |ordinal| ordinal.to_string());
    let mut text = format!(
        "this copy {}, place {ordinal}; {} live, parts by {:.2}; epoch {}, digest {}, doubt {}\n",
        page.own, page.live_count, page.members_sharing, page.epoch, page.digest, page.health_penalty
    );
    for row in &page.members {
        let (name, zone) = (or_unknown(row.name), or_unknown(row.zone));
        // Writing to a String cannot fail.
        let _ = writeln!(
            text,
            "{:8} {name:16} {:21} zone {zone:8} for {:.1} s, heard {:.1} s ago, life {}, epoch {}, place {}, {:.1}/s",
            row.state,
            row.address,
            row.in_state_s,
            row.last_heard_s,
            row.incarnation,
            row.affirmed_epoch,
            row.ordinal,
            row.requests_per_s
        );
    }
    text
}

fn or_unknown(text: &str) -> &str {
    if text.is_empty() { "?" } else { text }
}

#[cfg(test)]
#[path = "members_page_tests.rs"]
mod tests;
