//! The page `/zones`: the zones as text for operators, one per line, or as JSON. The JSON keys are a public interface.

use landingspread_localities::{Evidence, ZoneHealth, ZoneStatus};
use serde::Serialize;
use std::fmt::{self, Write};
use std::time::Duration;

/// The contents of the page.
#[derive(Serialize)]
struct ZonesPage<'a> {
    #[serde(rename = "cut_off")]
    isolated: bool,
    zones: Vec<ZoneRow<'a>>,
}

/// One zone on the page.
#[derive(Serialize)]
struct ZoneRow<'a> {
    zone: &'a str,
    #[serde(rename = "verdict")]
    stage: &'static str,
    #[serde(rename = "share")]
    traffic_fraction: f64,
    number: u32,
    #[serde(rename = "operators")]
    by_operator: bool,
    #[serde(rename = "departures")]
    evacuations: u8,
    /// The age of the verdict in seconds; `None` before the first verdict.
    since_s: Option<f64>,
    trial: bool,
    ready: usize,
    #[serde(rename = "looks")]
    health: &'static str,
    #[serde(rename = "near_silent")]
    same_zone_silent: u32,
    #[serde(rename = "near_answered")]
    same_zone_answered: u32,
    all_silent: u32,
    all_answered: u32,
}

/// The page as one line of JSON, or as text.
pub fn page<'a>(
    statuses: impl Iterator<Item = ZoneStatus<'a>>,
    isolated: bool,
    json: bool,
    now: Duration,
) -> String {
    let zones: Vec<ZoneRow> = statuses.map(|status| ZoneRow::of(&status, now)).collect();
    if json {
        return serde_json::to_string(&ZonesPage { isolated, zones }).unwrap_or_default() + "\n";
    }
    let mut text = String::new();
    if isolated {
        text += "this copy reaches no zone: it says nothing of any\n";
    }
    for zone in &zones {
        // Writing to a String cannot fail.
        let _ = writeln!(text, "{zone}");
    }
    text
}

fn health_name(health: ZoneHealth) -> &'static str {
    match health {
        ZoneHealth::Unknown => "unknown",
        ZoneHealth::Answering { slow: false, .. } => "answers",
        ZoneHealth::Answering { slow: true, .. } => "slow",
        ZoneHealth::Silent { .. } => "silent",
    }
}

impl<'a> ZoneRow<'a> {
    fn of(status: &ZoneStatus<'a>, now: Duration) -> ZoneRow<'a> {
        let Evidence { same_zone, all, .. } = status.evidence;
        let age_s = |at| (now.saturating_sub(at).as_secs_f64() * 100.0).round() / 100.0;
        ZoneRow {
            zone: status.zone,
            stage: status.stage.name(),
            traffic_fraction: status.traffic_fraction,
            number: status.number,
            by_operator: status.by_operator,
            evacuations: status.evacuations,
            since_s: status.since.map(age_s),
            trial: status.trial,
            ready: status.ready,
            health: health_name(status.health),
            same_zone_silent: same_zone.silent,
            same_zone_answered: same_zone.answered,
            all_silent: all.silent,
            all_answered: all.answered,
        }
    }
}

impl fmt::Display for ZoneRow<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ZoneRow { zone, stage, traffic_fraction, number, evacuations, ready, health, .. } = self;
        write!(
            f,
            "{stage:9} {zone:12} share {traffic_fraction:.2}, verdict {number}, {evacuations} departures"
        )?;
        match self.since_s {
            Some(since) => write!(f, ", for {since:.1} s")?,
            None => write!(f, ", as ever")?,
        }
        if self.by_operator {
            write!(f, ", by operators")?;
        }
        if self.trial {
            write!(f, ", this copy's turn to try")?;
        }
        write!(
            f,
            "; {ready} servers listed, {health} from here; silent to {} and answering {} of this zone, {} and {} of all",
            self.same_zone_silent, self.same_zone_answered, self.all_silent, self.all_answered
        )
    }
}
