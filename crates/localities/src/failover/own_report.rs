//! The report that this replica sends to its peers.

use super::*;
use crate::report::{MAX_VERDICTS, ZoneObservation};
use std::mem::{Discriminant, discriminant};

/// The report is encoded again after at most this time, because the ages in it grow.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// A verdict takes precedence in reports for this time after it was issued, in which all replicas should receive it.
const NEWS_AGE: Duration = Duration::from_secs(2);
/// The least number of places in a report that the verdicts without precedence share in turn, so that none is left out for
/// ever.
const SHARED_PLACES: usize = 2;

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
        self.report.verdicts.sort_by_key(|(verdict, age)| (verdict.stage == ZoneStage::InService, *age));
        let report = &self.report;
        let verdicts_changed = verdicts(report) != verdicts(previous);
        let changed = report.isolated != previous.isolated
            || health_kinds(report) != health_kinds(previous)
            || verdicts_changed;
        let urgent = changed && (any_silent(report) || any_silent(previous) || verdicts_changed);
        if changed || self.reported_at + REPORT_INTERVAL <= now {
            let verdicts = self.selected_verdicts(now);
            self.report_bytes = report::encode(&ZoneReport { verdicts, ..self.report.clone() });
            self.reported_at = now;
        }
        urgent
    }

    /// The verdicts for the next report. If there are too many, new ones and those on zones that are not in service take
    /// precedence, and the others share the remaining places at random: replicas that receive every n-th report only
    /// would miss some of them in any fixed order.
    fn selected_verdicts(&self, now: Duration) -> Vec<(Verdict, Duration)> {
        let mut selected = self.report.verdicts.clone();
        if selected.len() <= MAX_VERDICTS {
            return selected;
        }
        selected.sort_by_key(|(_, age)| *age >= NEWS_AGE);
        let precedes =
            |(verdict, age): &(Verdict, Duration)| *age < NEWS_AGE || verdict.stage != ZoneStage::InService;
        let preceding = selected.iter().filter(|verdict| precedes(verdict)).count();
        let others = &mut selected[preceding.min(MAX_VERDICTS - SHARED_PLACES)..];
        let first = mix_bits(&[self.config.id, now.as_micros() as u64]) % others.len() as u64;
        others.rotate_left(first as usize);
        selected.truncate(MAX_VERDICTS);
        selected
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
