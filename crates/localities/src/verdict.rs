//! A verdict on a zone, and which of two goes before the other. Verdicts on one zone are numbered: all copies pass through
//! them in the order of their numbers, some perhaps leaving out one, none going back.

/// How far a zone is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneStage {
    /// As ever.
    InService,
    /// Nothing goes there but trials in turn.
    Evacuated,
    /// On the way back, from 1 on.
    Recovering(u8),
}

impl ZoneStage {
    /// What a zone gets at each step, of what it would get.
    const RAMP_FRACTIONS: [f64; 2] = [0.2, 0.5];

    pub fn traffic_fraction(self) -> f64 {
        match self {
            ZoneStage::InService => 1.0,
            ZoneStage::Evacuated => 0.0,
            ZoneStage::Recovering(step) => {
                ZoneStage::RAMP_FRACTIONS
                    [usize::from(step.max(1) - 1).min(ZoneStage::RAMP_FRACTIONS.len() - 1)]
            }
        }
    }

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

    pub(crate) fn code(self) -> u8 {
        match self {
            ZoneStage::InService => 0,
            ZoneStage::Evacuated => 15,
            ZoneStage::Recovering(step) => step,
        }
    }

    pub(crate) fn from_code(code: u8) -> Option<ZoneStage> {
        match code {
            0 => Some(ZoneStage::InService),
            15 => Some(ZoneStage::Evacuated),
            step if usize::from(step) <= ZoneStage::RAMP_FRACTIONS.len() => Some(ZoneStage::Recovering(step)),
            _ => None,
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            ZoneStage::InService => "whole",
            ZoneStage::Evacuated => "left",
            ZoneStage::Recovering(_) => "returning",
        }
    }
}

/// What copies of one zone hold of another, or what operators said of it to all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    pub zone: u32,
    /// The first has 1.
    pub number: u32,
    pub stage: ZoneStage,
    pub by_operator: bool,
    /// How many times it has been left within the span in which that counts.
    pub evacuations: u8,
}

impl Verdict {
    fn order(&self) -> (u32, u8, u8) {
        (self.number, self.stage.code(), self.evacuations)
    }
}

/// Whether the one goes before the other. Of two with one number, passed by copies that did not hear of each other, the one
/// that sends less there does: everybody decides so, whichever came first.
pub fn supersedes(one: &Verdict, known: &Verdict) -> bool {
    let cautious = |verdict: &Verdict| match verdict.stage {
        ZoneStage::InService => (verdict.number, 0, verdict.evacuations),
        // A lesser step is the more cautious one.
        ZoneStage::Recovering(step) => (verdict.number, 15 - step, verdict.evacuations),
        ZoneStage::Evacuated => verdict.order(),
    };
    cautious(one) > cautious(known)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn of_one_number_the_more_cautious_goes_first_and_any_order_comes_to_the_same() {
        let of =
            |number, stage, evacuations| Verdict { zone: 1, number, stage, by_operator: false, evacuations };
        let all = [
            of(1, ZoneStage::Evacuated, 1),
            of(2, ZoneStage::InService, 1),
            of(2, ZoneStage::Recovering(2), 1),
            of(2, ZoneStage::Recovering(1), 1),
            of(2, ZoneStage::Evacuated, 1),
            of(2, ZoneStage::Evacuated, 2),
            of(3, ZoneStage::InService, 2),
        ];
        for (low, one) in all.iter().enumerate() {
            assert!(!supersedes(one, one));
            all[low + 1..]
                .iter()
                .for_each(|other| assert!(supersedes(other, one) && !supersedes(one, other)));
        }
        let mut stage = ZoneStage::Evacuated;
        let mut traffic = vec![stage.traffic_fraction()];
        while stage != ZoneStage::InService {
            stage = stage.next();
            traffic.push(stage.traffic_fraction());
        }
        assert_eq!(traffic, [0.0, 0.2, 0.5, 1.0]);
    }
}
