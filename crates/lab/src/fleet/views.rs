//! Checks the membership views of all replicas over time. A replica that has ended, is paused or is cut off
//! must leave every view within the plan's limits, and running replicas that reach each other must count each
//! other within the plan's limit after the last change, and keep doing so.

use serde::Serialize;
use std::time::Duration;

/// Bound on the violations that are described.
const MAX_VIOLATIONS: usize = 20;
/// Tolerance in seconds: the interval between snapshots and the time that taking one needs.
const TOLERANCE_S: f64 = 0.15;

/// A set of replicas, as a bitmap of their indices.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaSet(Vec<u64>);

impl ReplicaSet {
    /// Creates a set of these replicas.
    pub fn new(replicas: impl IntoIterator<Item = usize>) -> ReplicaSet {
        let mut set = ReplicaSet::default();
        replicas.into_iter().for_each(|replica| set.insert(replica));
        set
    }

    /// Adds the replica with this index.
    pub fn insert(&mut self, replica: usize) {
        if self.0.len() <= replica / 64 {
            self.0.resize(replica / 64 + 1, 0);
        }
        self.0[replica / 64] |= 1 << (replica % 64);
    }

    /// Whether the set contains the replica with this index.
    pub fn contains(&self, replica: usize) -> bool {
        self.0.get(replica / 64).is_some_and(|bits| bits >> (replica % 64) & 1 == 1)
    }

    /// Number of replicas in the set.
    pub fn len(&self) -> usize {
        self.0.iter().map(|bits| bits.count_ones() as usize).sum()
    }

    /// Whether the set has no replicas.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Replicas that are in exactly one of the two sets.
    pub fn symmetric_difference<'a>(&'a self, other: &'a ReplicaSet) -> impl Iterator<Item = usize> + 'a {
        let bits = |set: &ReplicaSet, at: usize| set.0.get(at).copied().unwrap_or(0);
        (0..self.0.len().max(other.0.len())).flat_map(move |at| {
            let difference = bits(self, at) ^ bits(other, at);
            (0..64).filter(move |bit| difference >> bit & 1 == 1).map(move |bit| at * 64 + bit)
        })
    }
}

/// Actual state of a replica's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ProcessState {
    /// The process has ended or was sent SIGTERM.
    Down,
    /// The process is paused.
    Still,
    /// The process runs.
    Runs,
}

/// The state of all replicas and their views at one moment.
pub struct ViewSnapshot {
    /// Seconds since the start of the run.
    pub at: f64,
    /// Actual state of each replica.
    pub states: Vec<ProcessState>,
    /// Partition of each replica under the active cuts; replicas of one partition reach each other.
    pub partitions: Vec<usize>,
    /// Replicas that each replica counts as members, itself included; `None` if it could not be queried.
    pub views: Vec<Option<ReplicaSet>>,
    /// Whether paths are so bad that views are not checked.
    pub is_too_lossy: bool,
    /// Whether messages are lost, corrupted or delayed; the limit for deaths is then that for other changes.
    pub is_degraded: bool,
    /// Whether an active cut is one-way. Replicas may go on counting members that they still receive messages
    /// from, though those don't receive theirs.
    pub has_one_way_cut: bool,
}

/// Outcome of a run. Durations are in seconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ViewResults {
    /// Time from each change until the last replica's view was right; a change followed by another one before
    /// that is left out.
    #[serde(rename = "agreed_after")]
    pub convergence_times: Vec<(String, f64)>,
    /// Median and maximum over changes in which replicas only ended or were paused.
    #[serde(rename = "death_median")]
    pub median_death_s: f64,
    #[serde(rename = "death_most")]
    pub max_death_s: f64,
    /// Maximum over all other changes except the start.
    #[serde(rename = "agree_most")]
    pub max_convergence_s: f64,
    /// Number of times that a replica's view lacked a running, reachable replica past the limit.
    pub false_deaths: usize,
    /// Descriptions of the first violations.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// Time after a change within which views must be right.
#[derive(Clone, Copy, Debug)]
pub struct ViewDeadlines {
    /// Limit for a death.
    pub death: Duration,
    /// Limit for any other change.
    pub other_change: Duration,
    /// Limit for each side of a partition to remove the other side.
    pub partition: Duration,
}

/// A change that not all views reflect yet.
struct Change {
    at: f64,
    description: String,
    only_deaths: bool,
}

/// Checks snapshots, which must come in order of time.
pub struct ViewChecker {
    deadlines: ViewDeadlines,
    results: ViewResults,
    death_times: Vec<f64>,
    /// Time of each replica's last state change; a replica that is alone in its partition counts as changing
    /// until it is not.
    state_changed_at: Vec<f64>,
    partitions_changed_at: f64,
    last_too_lossy_at: f64,
    states: Vec<ProcessState>,
    partitions: Vec<usize>,
    pending_change: Option<Change>,
    /// Pairs of observer and subject whose error is reported, until the view is right again.
    reported: Vec<(usize, usize)>,
}

/// Expected view of each partition: its running replicas.
fn expected_views(snapshot: &ViewSnapshot) -> Vec<(usize, ReplicaSet)> {
    let mut expected_views: Vec<(usize, ReplicaSet)> = Vec::new();
    for (replica, partition) in snapshot.partitions.iter().enumerate() {
        if snapshot.states[replica] != ProcessState::Runs {
            continue;
        }
        match expected_views.iter_mut().find(|(current, _)| current == partition) {
            Some((_, set)) => set.insert(replica),
            None => expected_views.push((*partition, ReplicaSet::new([replica]))),
        }
    }
    expected_views
}

impl ViewChecker {
    /// Creates a checker with the plan's limits, before the first snapshot.
    pub fn new(deadlines: ViewDeadlines) -> ViewChecker {
        ViewChecker {
            deadlines,
            results: ViewResults::default(),
            death_times: Vec::new(),
            state_changed_at: Vec::new(),
            partitions_changed_at: 0.0,
            last_too_lossy_at: f64::NEG_INFINITY,
            states: Vec::new(),
            partitions: Vec::new(),
            pending_change: Some(Change { at: 0.0, description: "start".into(), only_deaths: false }),
            reported: Vec::new(),
        }
    }

    /// Checks a snapshot and returns the number of errors in each replica's view.
    pub fn observe(&mut self, snapshot: &ViewSnapshot) -> Vec<usize> {
        self.note_changes(snapshot);
        let expected_views = expected_views(snapshot);
        let mut errors = vec![0; snapshot.states.len()];
        let mut all_agree = true;
        for (replica, view) in snapshot.views.iter().enumerate() {
            if snapshot.states[replica] != ProcessState::Runs {
                continue;
            }
            let Some((_, expected)) =
                expected_views.iter().find(|(partition, _)| *partition == snapshot.partitions[replica])
            else {
                continue;
            };
            // A replica that is alone in its partition has no other replica to agree with.
            let alone = expected.len() == 1 && snapshot.states.len() > 1;
            if alone {
                self.state_changed_at[replica] = snapshot.at;
            }
            let Some(view) = view else {
                all_agree &= alone;
                continue;
            };
            let is_heard_one_way = |other: &usize| {
                let runs = snapshot.states[*other] == ProcessState::Runs;
                snapshot.has_one_way_cut
                    && runs
                    && view.contains(*other)
                    && snapshot.partitions[*other] != snapshot.partitions[replica]
            };
            let mismatched: Vec<usize> =
                view.symmetric_difference(expected).filter(|other| !is_heard_one_way(other)).collect();
            errors[replica] = mismatched.len();
            all_agree &= alone || mismatched.is_empty();
            if !self.reported.is_empty() {
                self.reported
                    .retain(|(observer, subject)| *observer != replica || mismatched.contains(subject));
            }
            for other in mismatched {
                if !alone && !snapshot.is_too_lossy {
                    self.record_error(snapshot, replica, other, view.contains(other));
                }
            }
        }
        if all_agree {
            self.record_agreement(snapshot.at);
        }
        errors
    }

    /// Records what has changed since the last snapshot.
    fn note_changes(&mut self, snapshot: &ViewSnapshot) {
        if self.states.is_empty() {
            (self.states, self.partitions) = (snapshot.states.clone(), snapshot.partitions.clone());
            self.state_changed_at = vec![0.0; snapshot.states.len()];
        }
        let mut changes = Vec::new();
        let mut only_deaths = true;
        for replica in 0..snapshot.states.len() {
            if snapshot.states[replica] != self.states[replica] {
                self.state_changed_at[replica] = snapshot.at;
                only_deaths &= snapshot.states[replica] != ProcessState::Runs;
                changes.push(format!("c{replica} {:?}", snapshot.states[replica]).to_lowercase());
            }
        }
        if snapshot.partitions != self.partitions {
            (self.partitions_changed_at, only_deaths) = (snapshot.at, false);
            changes.push("parts".into());
        }
        if snapshot.is_too_lossy {
            (self.last_too_lossy_at, self.pending_change) = (snapshot.at, None);
        }
        if !changes.is_empty() && !snapshot.is_too_lossy {
            let more = changes.len().saturating_sub(3);
            changes.truncate(3);
            let more = if more > 0 { format!(" and {more} more") } else { String::new() };
            self.pending_change =
                Some(Change { at: snapshot.at, description: changes.join(", ") + &more, only_deaths });
        }
        (self.states, self.partitions) = (snapshot.states.clone(), snapshot.partitions.clone());
    }

    fn record_error(&mut self, snapshot: &ViewSnapshot, replica: usize, other: usize, counted: bool) {
        let (own_change, other_change) = (self.state_changed_at[replica], self.state_changed_at[other]);
        let disrupted = own_change.max(self.partitions_changed_at).max(self.last_too_lossy_at);
        let limit = match () {
            () if counted && snapshot.states[other] == ProcessState::Runs => self.deadlines.partition,
            () if counted && self.partitions_changed_at >= other_change.max(own_change) => {
                self.deadlines.partition
            }
            () if counted && other_change >= disrupted && !snapshot.is_degraded => self.deadlines.death,
            () => self.deadlines.other_change,
        };
        let since = snapshot.at - other_change.max(disrupted);
        if since <= limit.as_secs_f64() + TOLERANCE_S || self.reported.contains(&(replica, other)) {
            return;
        }
        self.reported.push((replica, other));
        self.results.false_deaths += usize::from(!counted);
        if self.results.violations.len() < MAX_VIOLATIONS {
            let verb = if counted { "counts" } else { "does not count" };
            let state = format!("{:?}", snapshot.states[other]).to_lowercase();
            let text = format!(
                "{:.1} s: c{replica} {verb} c{other}, which is {state}, {since:.1} s after the last change",
                snapshot.at
            );
            self.results.violations.push(text);
        }
    }

    fn record_agreement(&mut self, at: f64) {
        let Some(change) = self.pending_change.take() else { return };
        let elapsed = at - change.at;
        if change.only_deaths {
            self.death_times.push(elapsed);
        } else if change.description != "start" {
            self.results.max_convergence_s = self.results.max_convergence_s.max(elapsed);
        }
        self.results.convergence_times.push((change.description, elapsed));
    }

    /// Ends the checks and computes the median and maximum.
    pub fn finish(mut self) -> ViewResults {
        self.death_times.sort_by(f64::total_cmp);
        self.results.max_death_s = self.death_times.last().copied().unwrap_or(0.0);
        self.results.median_death_s =
            self.death_times.get(self.death_times.len() / 2).copied().unwrap_or(0.0);
        self.results
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ProcessState::{Down, Runs};

    const DEADLINES: ViewDeadlines = ViewDeadlines {
        death: Duration::from_secs(2),
        other_change: Duration::from_secs(3),
        partition: Duration::from_secs(4),
    };

    fn snapshot(at: u32, states: [ProcessState; 3], views: [&[usize]; 3]) -> ViewSnapshot {
        let views = views.iter().map(|view| Some(ReplicaSet::new(view.iter().copied()))).collect();
        ViewSnapshot {
            at: f64::from(at) * 0.1,
            states: states.to_vec(),
            partitions: vec![0; 3],
            views,
            is_too_lossy: false,
            is_degraded: false,
            has_one_way_cut: false,
        }
    }

    fn results_of_a_death(noticed_after: u32) -> ViewResults {
        let mut checker = ViewChecker::new(DEADLINES);
        (0..100).for_each(|at| drop(checker.observe(&snapshot(at, [Runs; 3], [&[0, 1, 2]; 3]))));
        for at in 100..180 {
            let last: &[usize] = if at < 100 + noticed_after { &[0, 1, 2] } else { &[0, 1] };
            checker.observe(&snapshot(at, [Runs, Runs, Down], [last, &[0, 1], &[]]));
        }
        checker.finish()
    }

    #[test]
    fn a_death_missed_by_a_view_past_the_limit_is_a_violation() {
        let in_time = results_of_a_death(15);
        assert!(in_time.violations.is_empty(), "{:?}", in_time.violations);
        assert!((in_time.max_death_s - 1.5).abs() < 0.01);
        assert_eq!(results_of_a_death(40).violations.len(), 1);
        assert_eq!(results_of_a_death(1000).violations.len(), 1);
    }

    #[test]
    fn a_missing_running_replica_is_an_error_except_after_a_change() {
        let mut checker = ViewChecker::new(DEADLINES);
        for at in 0..100 {
            let first: &[usize] = if at == 60 || at == 61 { &[0, 1] } else { &[0, 1, 2] };
            checker.observe(&snapshot(at, [Runs; 3], [first, &[0, 1, 2], &[0, 1, 2]]));
        }
        let results = checker.finish();
        assert_eq!((results.false_deaths, results.violations.len()), (1, 1));
        // After a partition it may be missing until the limit.
        let mut checker = ViewChecker::new(DEADLINES);
        for at in 0..100 {
            let partition = (20..60).contains(&at);
            let first: &[usize] = if (30..80).contains(&at) { &[0, 1] } else { &[0, 1, 2] };
            let last: &[usize] = if (30..80).contains(&at) { &[2] } else { &[0, 1, 2] };
            let mut snapshot = snapshot(at, [Runs; 3], [first, first, last]);
            snapshot.partitions = if partition { vec![0, 0, 1] } else { vec![0; 3] };
            checker.observe(&snapshot);
        }
        let results = checker.finish();
        assert!(results.violations.is_empty(), "{:?}", results.violations);
        assert!((results.max_convergence_s - 2.0).abs() < 0.01, "{}", results.max_convergence_s);
    }
}
