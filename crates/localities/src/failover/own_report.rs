//! The report that this replica sends to its peers.

use super::*;
use crate::report::ZoneObservation;
use std::mem::{Discriminant, discriminant};

/// The report is encoded again after at most this time, because the ages in it grow.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

impl<H: Host> ZoneFailover<H> {
    pub(super) fn reported_observations(&self) -> Vec<ZoneObservation> {
        let observation =
            |own: &OwnObservation| ZoneObservation { zone: self.zone_ids[own.zone], health: own.health };
        self.own_observations.iter().map(observation).collect()
    }

    /// Adds the verdicts to the report, and encodes it if it changed or is due. Returns `true` if the peers should receive
    /// it soon: it changed, and a zone is or was silent or the verdicts differ.
    pub(super) fn update_report(&mut self, now: Duration, previous: &ZoneReport) -> bool {
        let with_age = |known: &KnownVerdict| (known.verdict, now.saturating_sub(known.issued_at));
        let all = self.operator_verdicts.values().chain(self.verdicts.values());
        self.report.verdicts = all.map(with_age).collect();
        // A report may be too short for all verdicts; those on zones that are not in service take precedence.
        self.report.verdicts.sort_by_key(|(verdict, age)| (verdict.stage == ZoneStage::InService, *age));
        let report = &self.report;
        let verdicts_changed = verdicts(report) != verdicts(previous);
        let changed = report.isolated != previous.isolated
            || health_kinds(report) != health_kinds(previous)
            || verdicts_changed;
        let urgent = changed && (any_silent(report) || any_silent(previous) || verdicts_changed);
        if changed || self.reported_at + REPORT_INTERVAL <= now {
            self.report_bytes = report::encode(report);
            self.reported_at = now;
        }
        urgent
    }
}

fn verdicts(report: &ZoneReport) -> Vec<Verdict> {
    report.verdicts.iter().map(|(verdict, _)| *verdict).collect()
}

fn health_kinds(report: &ZoneReport) -> Vec<Discriminant<ZoneHealth>> {
    report.observations.iter().map(|observation| discriminant(&observation.health)).collect()
}

fn any_silent(report: &ZoneReport) -> bool {
    report.observations.iter().any(|observation| matches!(observation.health, ZoneHealth::Silent { .. }))
}
