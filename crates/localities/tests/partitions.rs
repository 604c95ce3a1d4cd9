//! Clusters of replicas whose reports the test delivers: a partition with opposite verdicts that heals, idle replicas,
//! trials in turn where a replica stops, and operators' commands.

use landingspread_localities::{
    FailoverConfig, Host, OperatorCommand, OwnObservation, PeerReport, RecoveryTimings, ZoneFailover,
    ZoneHealth, ZoneStage,
};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(50);
const REMOTE_ZONE: usize = 1;

#[derive(Debug)]
struct NullHost;

impl Host for NullHost {}

struct Cluster {
    now: Duration,
    replicas: Vec<ZoneFailover<NullHost>>,
    /// The report of each replica as of the previous tick.
    reports: Vec<Vec<u8>>,
    /// How the last request of each replica to the remote zone ended, and when.
    last_outcomes: Vec<(ZoneHealth, Duration)>,
    stopped: Vec<bool>,
    /// Replicas that send nothing to the remote zone except trials and verifications.
    idle: Vec<bool>,
}

impl Cluster {
    fn new(replicas: u64) -> Cluster {
        let config = |id: u64| FailoverConfig {
            id,
            zone: "here".into(),
            zones: vec!["here".into(), "away".into()],
            timings: RecoveryTimings::default(),
        };
        Cluster {
            now: Duration::from_secs(10),
            replicas: (0..replicas).map(|id| ZoneFailover::start(NullHost, config(id))).collect(),
            reports: vec![Vec::new(); replicas as usize],
            last_outcomes: vec![(ZoneHealth::Unknown, Duration::ZERO); replicas as usize],
            stopped: vec![false; replicas as usize],
            idle: vec![false; replicas as usize],
        }
    }

    /// Advances the time. `delivers(sender, receiver)` selects the reports that arrive, `silent` the replicas that the remote
    /// zone does not answer.
    fn run(
        &mut self,
        duration: Duration,
        delivers: &dyn Fn(usize, usize) -> bool,
        silent: &dyn Fn(usize) -> bool,
    ) {
        let until = self.now + duration;
        while self.now < until {
            self.now += TICK;
            let reports = self.reports.clone();
            for index in (0..self.replicas.len()).filter(|index| !self.stopped[*index]) {
                let traffic = self.replicas[index].traffic()[REMOTE_ZONE];
                if (traffic.traffic_fraction > 0.0 && !self.idle[index]) || traffic.trial.is_some() {
                    let health = match silent(index) {
                        true => ZoneHealth::Silent { since: Duration::ZERO },
                        false => ZoneHealth::Answering { sent_ago: Duration::ZERO, slow: false },
                    };
                    self.last_outcomes[index] = (health, self.now);
                }
                let age = self.now - self.last_outcomes[index].1;
                let health = match self.last_outcomes[index].0 {
                    ZoneHealth::Silent { .. } => ZoneHealth::Silent { since: age },
                    ZoneHealth::Answering { slow, .. } => ZoneHealth::Answering { sent_ago: age, slow },
                    ZoneHealth::Unknown => ZoneHealth::Unknown,
                };
                let answering = ZoneHealth::Answering { sent_ago: Duration::ZERO, slow: false };
                let own = [
                    OwnObservation { zone: 0, ready: 2, health: answering },
                    OwnObservation { zone: REMOTE_ZONE, ready: 2, health },
                ];
                let peers = (0..reports.len()).filter(|other| *other != index && !self.stopped[*other]);
                let peers = peers.filter(|other| delivers(*other, index)).map(|other| PeerReport {
                    id: other as u64,
                    name: "peer",
                    zone: "here",
                    report: Some(reports[other].as_slice()).filter(|report| !report.is_empty()),
                    age: TICK,
                });
                self.replicas[index].tick(self.now, &own, peers);
                self.reports[index] = self.replicas[index].report_bytes().to_vec();
            }
        }
    }

    fn stages(&self) -> Vec<ZoneStage> {
        self.replicas
            .iter()
            .map(|replica| replica.statuses().nth(REMOTE_ZONE).expect("the remote zone has a status").stage)
            .collect()
    }

    fn trial_count(&self) -> usize {
        self.replicas.iter().filter(|replica| replica.traffic()[REMOTE_ZONE].trial.is_some()).count()
    }
}

fn all_connected(_: usize, _: usize) -> bool {
    true
}

fn none_silent(_: usize) -> bool {
    false
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn healed_partition_with_opposite_verdicts_returns_zone() {
    for replicas in [4, 8, 16, 40] {
        let mut cluster = Cluster::new(replicas);
        cluster.run(SECOND * 3, &all_connected, &none_silent);
        let half = replicas as usize / 2;
        let same_side = |one: usize, other: usize| (one < half) == (other < half);
        cluster.run(SECOND * 5, &same_side, &|replica| replica < half);
        let stages = cluster.stages();
        assert!(stages[..half].iter().all(|stage| *stage == ZoneStage::Evacuated), "{replicas}: {stages:?}");
        assert!(stages[half..].iter().all(|stage| *stage == ZoneStage::InService), "{replicas}: {stages:?}");
        // The partition heals, and the zone answers all replicas.
        cluster.run(SECOND, &all_connected, &none_silent);
        let stages = cluster.stages();
        assert!(stages.iter().all(|stage| *stage == stages[0]), "{replicas}: {stages:?}");
        cluster.run(SECOND * 2, &all_connected, &none_silent);
        assert!(
            cluster.stages().iter().all(|stage| *stage != ZoneStage::Evacuated),
            "{replicas}: {:?}",
            cluster.stages()
        );
        cluster.run(SECOND * 4, &all_connected, &none_silent);
        assert!(
            cluster.stages().iter().all(|stage| *stage == ZoneStage::InService),
            "{replicas}: {:?}",
            cluster.stages()
        );
    }
}

#[test]
fn idle_replica_verifies_and_does_not_delay_a_verdict() {
    let mut cluster = Cluster::new(3);
    cluster.idle[2] = true;
    cluster.run(SECOND * 3, &all_connected, &none_silent);
    assert_eq!(cluster.trial_count(), 0, "no verification while no replica finds the zone silent");
    cluster.run(TICK * 6, &all_connected, &|_| true);
    let stages = cluster.stages();
    assert!(stages.iter().all(|stage| *stage == ZoneStage::Evacuated), "{stages:?}");
    // The observation of one replica alone is verified, and causes no evacuation.
    let mut cluster = Cluster::new(3);
    cluster.idle[2] = true;
    cluster.run(SECOND * 3, &all_connected, &none_silent);
    cluster.run(SECOND * 3, &all_connected, &|replica| replica == 0);
    let stages = cluster.stages();
    assert!(stages.iter().all(|stage| *stage == ZoneStage::InService), "{stages:?}");
}

#[test]
fn trials_rotate_and_a_stopped_replica_costs_one_turn() {
    let mut cluster = Cluster::new(6);
    cluster.run(SECOND * 3, &all_connected, &none_silent);
    cluster.run(SECOND * 2, &all_connected, &|_| true);
    let mut senders = Vec::new();
    for _ in 0..60 {
        cluster.run(TICK * 2, &all_connected, &|_| true);
        assert!(cluster.trial_count() <= 2, "at most two trials at the boundary of two turns");
        let sender =
            cluster.replicas.iter().position(|replica| replica.traffic()[REMOTE_ZONE].trial.is_some());
        sender.into_iter().for_each(|sender| senders.push(sender));
    }
    senders.dedup();
    assert!(senders.len() >= 9, "{senders:?}");
    let stopped_replica = senders[senders.len() - 1];
    cluster.stopped[stopped_replica] = true;
    cluster.run(SECOND * 3, &all_connected, &|_| true);
    let others = (0..6).filter(|replica| *replica != stopped_replica);
    assert!(
        others
            .map(|replica| cluster.replicas[replica].traffic()[REMOTE_ZONE])
            .all(|traffic| traffic.traffic_fraction == 0.0)
    );
    // The turn of the stopped replica passes, and the zone returns by the other replicas' trials.
    cluster.run(SECOND * 6, &all_connected, &none_silent);
    let stages = cluster.stages();
    assert!(
        (0..6)
            .filter(|replica| *replica != stopped_replica)
            .all(|replica| stages[replica] == ZoneStage::InService),
        "{stages:?}"
    );
}

#[test]
fn operator_commands_override_evidence_until_withdrawn() {
    let mut cluster = Cluster::new(5);
    cluster.run(SECOND * 3, &all_connected, &none_silent);
    assert!(!cluster.replicas[0].operator_command(cluster.now, "nowhere", OperatorCommand::Evacuate));
    assert!(cluster.replicas[2].operator_command(cluster.now, "away", OperatorCommand::Evacuate));
    cluster.run(TICK * 4, &all_connected, &none_silent);
    assert!(cluster.stages().iter().all(|stage| *stage == ZoneStage::Evacuated), "{:?}", cluster.stages());
    // The replica that received the command stops; the others keep the verdict.
    cluster.stopped[2] = true;
    cluster.run(SECOND * 70, &all_connected, &none_silent);
    let evacuated_count = |cluster: &Cluster| {
        (0..5).filter(|replica| cluster.stages()[*replica] == ZoneStage::Evacuated).count()
    };
    assert_eq!(evacuated_count(&cluster), 5);
    assert_eq!(cluster.trial_count(), 0, "a zone that operators evacuated gets no trials");
    assert!(cluster.replicas[4].operator_command(cluster.now, "away", OperatorCommand::Return));
    cluster.run(SECOND * 3, &all_connected, &none_silent);
    assert_eq!(evacuated_count(&cluster), 1, "{:?}", cluster.stages());
}
