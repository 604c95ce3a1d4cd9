//! The report that this copy makes for the others.

use super::*;
use crate::report::ZoneObservation;
use std::mem::{Discriminant, discriminant};

/// The report is made anew at least this often, as the ages in it grow.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

impl<H: Host> ZoneFailover<H> {
    pub(super) fn reported_observations(&self) -> Vec<ZoneObservation> {
        let observation =
            |own: &OwnObservation| ZoneObservation { zone: self.zone_ids[own.zone], health: own.health };
        self.own_observations.iter().map(observation).collect()
    }

    /// Completes the report. `true`: the others should have it soon, as a zone is or was silent, or verdicts changed.
    pub(super) fn update_report(&mut self, now: Duration, previous: &ZoneReport) -> bool {
        let with_age = |known: &KnownVerdict| (known.verdict, now.saturating_sub(known.issued_at));
        let all = self.operator_verdicts.values().chain(self.verdicts.values());
        self.report.verdicts = all.map(with_age).collect();
        // Zones that are not in service matter most, where a report cannot hold all verdicts.
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
