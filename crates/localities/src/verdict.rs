//! Verdicts on zones and their order. The verdicts on one zone are numbered: all copies pass through them in the order of
//! the numbers, some perhaps skipping one, none going back.

/// How far a zone is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneStage {
    /// It gets all of its traffic.
    InService,
    /// It gets nothing but trial requests.
    Evacuated,
    /// It is on a step of the recovery ramp, the first being 1.
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

    /// The stage that follows on the way back into service.
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

    /// The stage on the wire.
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

    /// The stage as operators read it.
    pub fn name(self) -> &'static str {
        match self {
            ZoneStage::InService => "whole",
            ZoneStage::Evacuated => "left",
            ZoneStage::Recovering(_) => "returning",
        }
    }
}

/// What the copies of one zone hold of a zone, or what operators commanded for all copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The id of the zone that it is about.
    pub zone: u32,
    /// Its number; the first verdict on a zone has 1.
    pub number: u32,
    /// The stage that the zone is in by this verdict.
    pub stage: ZoneStage,
    /// An operator commanded it.
    pub by_operator: bool,
    /// How many times the zone was evacuated of late.
    pub evacuations: u8,
}

impl Verdict {
    /// The greater one prevails: the later one, and of one number the one that sends less traffic to the zone.
    fn precedence(&self) -> (u32, u8, u8) {
        let caution = match self.stage {
            ZoneStage::InService => 0,
            ZoneStage::Recovering(step) => ZoneStage::EVACUATED_CODE - step,
            ZoneStage::Evacuated => ZoneStage::EVACUATED_CODE,
        };
        (self.number, caution, self.evacuations)
    }
}

/// Whether a verdict prevails over the known one. Copies that had not heard of each other may issue different verdicts under
/// one number: all come to the same one, in whichever order they hear them.
pub fn supersedes(one: &Verdict, known: &Verdict) -> bool {
    one.precedence() > known.precedence()
}

#[cfg(test)]
#[path = "verdict_tests.rs"]
mod tests;
