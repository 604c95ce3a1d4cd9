//! Exhaustive check of the zone verdicts: a small model of replicas in one zone that run the program's own
//! `ZoneFailover`, explored to a given depth. Each transition can lose, delay or deliver messages selectively,
//! fail or restore the other zone, pause a replica, or apply an operator command. No transition is random.

use landingspread_localities::{
    FailoverConfig, Host, OperatorCommand, OwnObservation, PeerReport, RecoveryTimings, Verdict,
    ZoneFailover, ZoneHealth, ZoneStage, decode, encode,
};
use rayon::iter::{IntoParallelRefIterator, ParallelIterator};
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Virtual time that a transition takes.
const STEP_INTERVAL: Duration = Duration::from_millis(300);
/// The replicas' own zone and the other one.
const ZONES: [&str; 2] = ["here", "away"];
const OTHER_ZONE: usize = 1;
/// Transitions without faults after which all replicas must hold the same verdict.
const SETTLE_TRANSITIONS: usize = 3;
/// Transitions before the exploration starts.
const INITIAL_TRANSITIONS: usize = 8;
/// Bound on the violations that are described.
const MAX_VIOLATIONS: usize = 5;
/// States that are expanded at once.
const CHUNK_SIZE: usize = 2_000;
/// Bounds per sequence: how often the zone fails or recovers, and how many operator commands there are.
const MAX_ZONE_CHANGES: u8 = 2;
const MAX_OPERATOR_COMMANDS: u8 = 2;

/// Verdicts that a replica issued since they were last collected.
#[derive(Clone, Debug, Default)]
struct IssuedVerdicts(Vec<Verdict>);

impl Host for IssuedVerdicts {
    fn verdict_issued(&mut self, _: &str, verdict: &Verdict, _: &landingspread_localities::Evidence) {
        self.0.push(*verdict);
    }
}

/// The protocol under check: the program's own, or a faulty variant that the check must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// The program's own protocol.
    Production,
    /// The last verdict received wins, as if verdicts had no numbers.
    LastMessageWins,
    /// A message that is received four times counts as four reports.
    DuplicatesCounted,
}

#[derive(Clone, Debug)]
struct Replica {
    failover: ZoneFailover<IssuedVerdicts>,
    /// Time of the last request to the other zone that was answered.
    last_answered: Option<Duration>,
    /// Time of the last request to the other zone that was lost.
    last_lost: Option<Duration>,
    /// Latest report and the one before, each with its time.
    reports: [(Vec<u8>, Duration); 2],
    /// Latest report received from each other replica.
    received: Vec<Option<(Vec<u8>, Duration)>>,
    /// Number of the verdict in force.
    number: u32,
}

#[derive(Clone, Debug)]
struct State {
    now: Duration,
    replicas: Vec<Replica>,
    zone_is_down: bool,
    zone_changes: u8,
    operator_commands: u8,
    /// Bitmap of the replicas that ever observed a failure of the zone.
    observers: u8,
}

/// The faults and the operator command of one step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Transition {
    /// The zone fails, or recovers.
    zone_change: bool,
    /// Messages to and from this replica are lost.
    isolated: Option<usize>,
    /// Messages of the first replica to the second are lost.
    lost_path: Option<(usize, usize)>,
    /// All replicas receive the previous reports of the others instead of the latest ones.
    late: bool,
    /// This replica is paused.
    paused: Option<usize>,
    /// Only this replica has requests to send.
    only_sender: Option<usize>,
    /// An operator command: true to evacuate the zone, false to return it to service.
    operator_command: Option<bool>,
}

const NO_FAULT: Transition = Transition {
    zone_change: false,
    isolated: None,
    lost_path: None,
    late: false,
    paused: None,
    only_sender: None,
    operator_command: None,
};

fn transitions(replicas: usize) -> Vec<Transition> {
    let mut transitions = vec![NO_FAULT, Transition { late: true, ..NO_FAULT }];
    transitions.extend((0..replicas).map(|replica| Transition { isolated: Some(replica), ..NO_FAULT }));
    transitions.extend((0..replicas).map(|replica| Transition { paused: Some(replica), ..NO_FAULT }));
    transitions.extend((0..replicas).map(|replica| Transition { only_sender: Some(replica), ..NO_FAULT }));
    for from in 0..replicas {
        transitions.extend(
            (0..replicas)
                .filter(|to| *to != from)
                .map(|to| Transition { lost_path: Some((from, to)), ..NO_FAULT }),
        );
    }
    let with_zone_change: Vec<Transition> =
        transitions.iter().map(|transition| Transition { zone_change: true, ..*transition }).collect();
    transitions.extend(with_zone_change);
    transitions.extend([true, false].map(|leave| Transition { operator_command: Some(leave), ..NO_FAULT }));
    transitions
}

impl Replica {
    fn start(id: usize, replicas: usize) -> Replica {
        let config = FailoverConfig {
            id: id as u64,
            zone: ZONES[0].into(),
            zones: ZONES.map(String::from).into(),
            timings: RecoveryTimings { min_evacuation: STEP_INTERVAL, min_ramp_step: STEP_INTERVAL },
        };
        Replica {
            failover: ZoneFailover::start(IssuedVerdicts::default(), config),
            last_answered: None,
            last_lost: None,
            reports: Default::default(),
            received: vec![None; replicas],
            number: 0,
        }
    }

    fn observed_health(&self, now: Duration) -> ZoneHealth {
        match (self.last_lost, self.last_answered) {
            (Some(lost), answered) if answered.is_none_or(|at| at < lost) => {
                ZoneHealth::Silent { since: now - lost }
            }
            (_, Some(at)) => ZoneHealth::Answering { sent_ago: now - at, slow: false },
            _ => ZoneHealth::Unknown,
        }
    }

    fn stage(&self) -> ZoneStage {
        self.failover.statuses().nth(OTHER_ZONE).map_or(ZoneStage::InService, |status| status.stage)
    }

    /// Sends a request to the other zone if the verdict allows it, and records whether it was answered or lost.
    fn send(&mut self, now: Duration, zone_is_down: bool) {
        let share = self.failover.traffic()[OTHER_ZONE];
        if share.traffic_fraction > 0.0 || share.trial.is_some() {
            if zone_is_down { self.last_lost = Some(now) } else { self.last_answered = Some(now) }
        }
    }
}

impl State {
    fn start(replicas: usize) -> State {
        let now = Duration::from_secs(100);
        let mut state = State {
            now,
            replicas: (0..replicas).map(|id| Replica::start(id, replicas)).collect(),
            zone_is_down: false,
            zone_changes: 0,
            operator_commands: 0,
            observers: 0,
        };
        // Replicas issue no verdict in their first seconds.
        (0..INITIAL_TRANSITIONS).for_each(|_| drop(state.apply(NO_FAULT, Variant::Production)));
        state
    }

    fn allows(&self, next: &Transition) -> bool {
        (!next.zone_change || self.zone_changes < MAX_ZONE_CHANGES)
            && (next.operator_command.is_none() || self.operator_commands < MAX_OPERATOR_COMMANDS)
    }

    /// Applies a transition and returns the violations.
    fn apply(&mut self, next: Transition, variant: Variant) -> Vec<String> {
        self.now += STEP_INTERVAL;
        self.zone_is_down ^= next.zone_change;
        (self.zone_changes, self.operator_commands) = (
            self.zone_changes + u8::from(next.zone_change),
            self.operator_commands + u8::from(next.operator_command.is_some()),
        );
        self.deliver_reports(next);
        if let Some(leave) = next.operator_command {
            let command = if leave { OperatorCommand::Evacuate } else { OperatorCommand::Return };
            // Commands reach different replicas, which may not know of each other's command.
            let receiver = usize::from(self.operator_commands - 1) % self.replicas.len();
            self.replicas[receiver].failover.operator_command(self.now, ZONES[OTHER_ZONE], command);
        }
        let mut violations = Vec::new();
        for number in 0..self.replicas.len() {
            if next.paused == Some(number) {
                continue;
            }
            if next.only_sender.is_none_or(|only| only == number) {
                self.replicas[number].send(self.now, self.zone_is_down);
                self.observers |= u8::from(self.zone_is_down) << number;
            }
            self.tick(number, variant, &mut violations);
        }
        violations
    }

    fn deliver_reports(&mut self, next: Transition) {
        let count = self.replicas.len();
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                let is_cut_off =
                    next.isolated == Some(from) || next.isolated == Some(to) || next.paused == Some(to);
                if !is_cut_off && next.lost_path != Some((from, to)) {
                    let report = self.replicas[from].reports[usize::from(next.late)].clone();
                    // The membership drops a report that is older than one received before.
                    let is_newer = |held: &(Vec<u8>, Duration)| held.1 < report.1;
                    if !report.0.is_empty() && self.replicas[to].received[from].as_ref().is_none_or(is_newer)
                    {
                        self.replicas[to].received[from] = Some(report);
                    }
                }
            }
        }
    }

    fn tick(&mut self, number: usize, variant: Variant, violations: &mut Vec<String>) {
        let now = self.now;
        let replica = &mut self.replicas[number];
        let reports: Vec<(usize, Vec<u8>, Duration)> = replica
            .received
            .iter()
            .enumerate()
            .filter_map(|(from, report)| report.clone().map(|(bytes, at)| (from, bytes, now - at)))
            .map(|(from, bytes, age)| match variant {
                Variant::LastMessageWins => (from, without_numbers(&bytes, replica.number), age),
                _ => (from, bytes, age),
            })
            .collect();
        let repetitions = if variant == Variant::DuplicatesCounted { 4 } else { 1 };
        let peers = reports.iter().flat_map(|(from, bytes, age)| {
            (0..repetitions).map(move |repetition| PeerReport {
                id: (from + repetition * 100) as u64,
                name: "peer",
                zone: ZONES[0],
                report: Some(bytes.as_slice()),
                age: *age,
            })
        });
        let observations = [
            OwnObservation {
                zone: 0,
                ready: 3,
                health: ZoneHealth::Answering { sent_ago: Duration::ZERO, slow: false },
            },
            OwnObservation { zone: OTHER_ZONE, ready: 3, health: replica.observed_health(now) },
        ];
        let previous = (replica.number, replica.stage());
        replica.failover.tick(now, &observations, peers);
        let stage = replica.stage();
        replica.reports = [(replica.failover.report_bytes().to_vec(), now), replica.reports[0].clone()];
        replica.number = replica.failover.statuses().nth(OTHER_ZONE).map_or(0, |status| status.number);
        let verdicts = std::mem::take(&mut replica.failover.host().0);
        let commanded = self.operator_commands > 0;
        if replica.number < previous.0 && !commanded {
            violations.push(format!("c{number} went back from verdict {} to {}", previous.0, replica.number));
        }
        for verdict in verdicts.iter().filter(|verdict| !verdict.by_operator) {
            let (observers, all) = (self.observers.count_ones() as usize, self.replicas.len());
            if verdict.stage == ZoneStage::Evacuated && observers < 3.min(all).max(all.div_ceil(2)) {
                violations
                    .push(format!("c{number} left the zone, which {observers} copies ever found silent"));
            }
        }
        let in_service = verdicts.iter().any(|verdict| verdict.stage == ZoneStage::InService);
        if previous.1 == ZoneStage::Evacuated && stage == ZoneStage::InService && in_service && !commanded {
            violations.push(format!("c{number} took the zone back at one go"));
        }
    }

    /// Returns a violation if the replicas don't agree on a verdict after some transitions without faults.
    fn disagreement(&self, variant: Variant) -> Option<String> {
        let mut settled = self.clone();
        for _ in 0..SETTLE_TRANSITIONS {
            settled.apply(NO_FAULT, variant);
        }
        let verdicts: Vec<(ZoneStage, u32)> =
            settled.replicas.iter().map(|replica| (replica.stage(), replica.number)).collect();
        // During a sequence of verdicts a replica may be one transition ahead of the others.
        let is_ahead = |one: &(ZoneStage, u32), other: &(ZoneStage, u32)| one.1.abs_diff(other.1) > 1;
        let disagrees = verdicts.iter().any(|one| verdicts.iter().any(|other| is_ahead(one, other)));
        disagrees.then(|| format!("after calm they hold {verdicts:?}"))
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// Outcome of a check.
#[derive(Clone, Debug, Default)]
pub struct CheckResults {
    /// Distinct states that were reached.
    pub states: usize,
    /// Transitions that were applied.
    pub transitions: usize,
    /// Transitions after which at least one replica has evacuated the zone.
    pub evacuated: usize,
    /// The first violations, each with the transitions that lead to it.
    pub violations: Vec<String>,
}

/// Explores every sequence of `depth` transitions; a state that was reached before is not explored again.
pub fn check(replicas: usize, depth: usize, variant: Variant) -> CheckResults {
    let transitions = transitions(replicas);
    let mut results = CheckResults { states: 1, ..CheckResults::default() };
    let mut known_states = HashSet::new();
    let mut frontier: Vec<(State, Vec<usize>)> = vec![(State::start(replicas), Vec::new())];
    for moment in 1..=depth {
        let expand = |(state, path): &(State, Vec<usize>)| {
            let mut successors = Vec::new();
            for (number, transition) in
                transitions.iter().enumerate().filter(|(_, transition)| state.allows(transition))
            {
                let mut after = state.clone();
                let mut violations = after.apply(*transition, variant);
                violations.extend(after.disagreement(variant));
                let mut path = path.clone();
                path.push(number);
                successors.push((after.digest(), after, path, violations));
            }
            successors
        };
        let mut next_frontier = Vec::new();
        // In chunks, because the states reached need much more memory than those that are kept.
        for chunk in frontier.chunks(CHUNK_SIZE) {
            let reached: Vec<_> = chunk.par_iter().flat_map_iter(expand).collect();
            results.transitions += reached.len();
            for (digest, state, path, violations) in reached {
                results.evacuated +=
                    usize::from(state.replicas.iter().any(|replica| replica.stage() == ZoneStage::Evacuated));
                for violation in violations {
                    if results.violations.len() < MAX_VIOLATIONS {
                        let steps: Vec<String> =
                            path.iter().map(|number| transitions[*number].describe()).collect();
                        results.violations.push(format!("{violation}, after: {}", steps.join("; ")));
                    }
                }
                if known_states.insert(digest) && moment < depth {
                    next_frontier.push((state, path));
                }
            }
        }
        frontier = next_frontier;
        results.states = known_states.len() + 1;
        if !results.violations.is_empty() {
            return results;
        }
    }
    results
}

impl Transition {
    fn describe(&self) -> String {
        let mut parts = Vec::new();
        self.zone_change.then(|| parts.push("the zone is lost or found".to_string()));
        self.late.then(|| parts.push("all words are late".into()));
        self.isolated.into_iter().for_each(|replica| parts.push(format!("c{replica} hears nobody")));
        self.only_sender.into_iter().for_each(|replica| parts.push(format!("only c{replica} sends")));
        self.paused.into_iter().for_each(|replica| parts.push(format!("c{replica} stands still")));
        self.lost_path.into_iter().for_each(|(from, to)| parts.push(format!("c{to} does not hear c{from}")));
        let describe_command =
            |leave| parts.push(format!("operators say {}", if leave { "leave" } else { "return" }));
        self.operator_command.into_iter().for_each(describe_command);
        if parts.is_empty() { "time passes".into() } else { parts.join(", ") }
    }
}

/// A report as the variant `LastMessageWins` reads it: each verdict gets the number after the reader's own.
fn without_numbers(bytes: &[u8], own_number: u32) -> Vec<u8> {
    let Some(mut report) = decode(bytes) else { return bytes.to_vec() };
    for (verdict, _) in &mut report.verdicts {
        verdict.number = own_number + 1;
    }
    encode(&report)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn three_replicas_keep_all_invariants_to_depth_four() {
        let results = check(3, 4, Variant::Production);
        assert!(results.violations.is_empty(), "{:#?}", results.violations);
        assert!(results.states > 1000 && results.evacuated > 100, "{} {}", results.states, results.evacuated);
    }

    #[test]
    fn faulty_variants_are_detected() {
        for variant in [Variant::LastMessageWins, Variant::DuplicatesCounted] {
            assert!(!check(3, 4, variant).violations.is_empty(), "{variant:?}");
        }
    }
}
