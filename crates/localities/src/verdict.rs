//! Verdicts on zones and their order. The verdicts on one zone are numbered. A replica adopts them in ascending order: it
//! may skip a number, but never goes back to an earlier one.

/// The stage of a zone between full service and evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneStage {
    /// The zone gets all of its traffic.
    InService,
    /// The zone gets no traffic except trials.
    Evacuated,
    /// The zone is on this step of the recovery ramp, counted from 1.
    Recovering(u8),
}

impl ZoneStage {
    /// The fraction of its traffic that a zone gets on each step of the recovery ramp.
    const RAMP_FRACTIONS: [f64; 2] = [0.2, 0.5];

    const IN_SERVICE_CODE: u8 = 0;
    const EVACUATED_CODE: u8 = 15;

    /// The fraction of its traffic that a zone gets at this stage.
    pub fn traffic_fraction(self) -> f64 {
        match self {
            ZoneStage::InService => 1.0,
            ZoneStage::Evacuated => 0.0,
            ZoneStage::Recovering(step) => {
                let index = usize::from(step.max(1) - 1);
                ZoneStage::RAMP_FRACTIONS[index.min(ZoneStage::RAMP_FRACTIONS.len() - 1)]
            }
        }
    }

    /// The next stage on the way back into service; `InService` stays.
    pub fn next(self) -> ZoneStage {
        match self {
            ZoneStage::InService => ZoneStage::InService,
            ZoneStage::Evacuated => ZoneStage::Recovering(1),
            ZoneStage::Recovering(step) if usize::from(step) < ZoneStage::RAMP_FRACTIONS.len() => {
                ZoneStage::Recovering(step + 1)
            }
            ZoneStage::Recovering(_) => ZoneStage::InService,
        }
    }

    /// The stage's code in zone reports.
    pub(crate) fn code(self) -> u8 {
        match self {
            ZoneStage::InService => ZoneStage::IN_SERVICE_CODE,
            ZoneStage::Evacuated => ZoneStage::EVACUATED_CODE,
            ZoneStage::Recovering(step) => step,
        }
    }

    pub(crate) fn from_code(code: u8) -> Option<ZoneStage> {
        match code {
            ZoneStage::IN_SERVICE_CODE => Some(ZoneStage::InService),
            ZoneStage::EVACUATED_CODE => Some(ZoneStage::Evacuated),
            step if usize::from(step) <= ZoneStage::RAMP_FRACTIONS.len() => Some(ZoneStage::Recovering(step)),
            _ => None,
        }
    }

    /// The stage's name in logs and on the console page.
    pub fn name(self) -> &'static str {
        match self {
            ZoneStage::InService => "whole",
            ZoneStage::Evacuated => "left",
            ZoneStage::Recovering(_) => "returning",
        }
    }
}

/// A decision on a zone, which one replica issued for all replicas of its own zone, or an operator commanded for the
/// whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The id of the zone that the verdict is about.
    pub zone: u32,
    /// The verdict's number; the first verdict on a zone has 1.
    pub number: u32,
    /// The stage that the verdict puts the zone into.
    pub stage: ZoneStage,
    /// Whether an operator commanded the verdict.
    pub by_operator: bool,
    /// The number of recent evacuations of the zone, which lengthen the next one.
    pub evacuations: u8,
}

impl Verdict {
    /// The key by which verdicts are compared; the greatest prevails. The higher number decides, then the stage with less
    /// traffic, then the higher count of evacuations.
    fn precedence(&self) -> (u32, u8, u8) {
        let caution = match self.stage {
            ZoneStage::InService => 0,
            ZoneStage::Recovering(step) => ZoneStage::EVACUATED_CODE - step,
            ZoneStage::Evacuated => ZoneStage::EVACUATED_CODE,
        };
        (self.number, caution, self.evacuations)
    }
}

/// Whether a verdict prevails over the known one. Replicas that have not received each other's reports may issue different
/// verdicts with the same number; this total order makes all replicas converge on one, in any order of receipt.
pub fn supersedes(verdict: &Verdict, known: &Verdict) -> bool {
    verdict.precedence() > known.precedence()
}

#[cfg(test)]
#[path = "verdict_tests.rs"]
mod tests;
