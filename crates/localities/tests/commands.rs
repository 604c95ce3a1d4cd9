//! Operators' commands to fleets with more verdicts than a report holds, where a replica restarts and forgets them all.

use landingspread_localities::{
    FailoverConfig, Host, OperatorCommand, OwnObservation, PeerReport, RecoveryTimings, ZoneFailover,
    ZoneHealth, ZoneStage,
};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(50);
const SECOND: Duration = Duration::from_secs(1);
/// The time within which the whole fleet follows a command.
const FOLLOWED_WITHIN: Duration = Duration::from_secs(2);

struct NullHost;

impl Host for NullHost {}

/// Replicas in the first of several zones, all of which answer. A replica receives the reports of each peer at a fixed
/// interval, with a phase of its own.
struct Fleet {
    now: Duration,
    zones: Vec<String>,
    replicas: Vec<ZoneFailover<NullHost>>,
    /// The reports as each replica received them last, by receiver and sender, with the time of receipt.
    received: Vec<Vec<(Vec<u8>, Duration)>>,
    /// The number of ticks between two reports from the same peer.
    interval: u32,
    ticks: u32,
    /// Whether replicas receive reports at all.
    connected: bool,
}

impl Fleet {
    fn start(replicas: usize, zones: usize, interval: u32) -> Fleet {
        let zones: Vec<String> = (0..zones).map(|number| format!("zone-{number}")).collect();
        let mut fleet = Fleet {
            now: SECOND * 10,
            replicas: Vec::new(),
            received: vec![vec![(Vec::new(), Duration::ZERO); replicas]; replicas],
            zones,
            interval,
            ticks: 0,
            connected: true,
        };
        fleet.replicas = (0..replicas).map(|id| fleet.new_replica(id)).collect();
        fleet.run(SECOND * 3);
        fleet
    }

    fn new_replica(&self, id: usize) -> ZoneFailover<NullHost> {
        let config = FailoverConfig {
            id: id as u64,
            zone: self.zones[0].clone(),
            zones: self.zones.clone(),
            timings: RecoveryTimings::default(),
        };
        ZoneFailover::start(NullHost, config)
    }

    fn restart(&mut self, replica: usize) {
        self.replicas[replica] = self.new_replica(replica);
        self.received[replica].iter_mut().for_each(|(report, _)| report.clear());
    }

    fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now += TICK;
            self.ticks += 1;
            self.deliver_reports();
            for index in 0..self.replicas.len() {
                let health = ZoneHealth::Answering { sent_ago: Duration::ZERO, slow: false };
                let own = |zone| OwnObservation { zone, ready: 1, health };
                let own: Vec<OwnObservation> = (0..self.zones.len()).map(own).collect();
                let (now, zone) = (self.now, self.zones[0].as_str());
                let peers = self.received[index].iter().enumerate();
                let peers = peers.filter(|(other, _)| *other != index).map(|(other, (report, at))| {
                    let report = Some(report.as_slice()).filter(|report| !report.is_empty());
                    PeerReport { id: other as u64, name: "peer", zone, report, age: now - *at }
                });
                self.replicas[index].tick(now, &own, peers);
            }
        }
    }

    fn deliver_reports(&mut self) {
        for sender in (0..self.replicas.len()).filter(|_| self.connected) {
            for receiver in 0..self.replicas.len() {
                let phase = (sender * 7 + receiver * 3) as u32;
                if (self.ticks + phase).is_multiple_of(self.interval) {
                    let report = self.replicas[sender].report_bytes().to_vec();
                    self.received[receiver][sender] = (report, self.now - TICK);
                }
            }
        }
    }

    fn command(&mut self, replica: usize, zone: usize, command: OperatorCommand) {
        let zone = self.zones[zone].clone();
        assert!(self.replicas[replica].operator_command(self.now, &zone, command));
    }

    /// Evacuates and returns each zone by commands at the first replica.
    fn evacuate_and_return_all(&mut self) {
        for zone in 0..self.zones.len() {
            self.command(0, zone, OperatorCommand::Evacuate);
            self.run(FOLLOWED_WITHIN);
            self.command(0, zone, OperatorCommand::Return);
            self.run(SECOND * 6);
            assert_eq!(self.stages(zone), vec![ZoneStage::InService; self.replicas.len()], "zone {zone}");
        }
    }

    fn stages(&self, zone: usize) -> Vec<ZoneStage> {
        let stage = |replica: &ZoneFailover<NullHost>| {
            replica.statuses().nth(zone).expect("each zone has a status").stage
        };
        self.replicas.iter().map(stage).collect()
    }
}

/// Guards against reports that always leave out the same verdicts: a restarted replica then numbered an operator's command
/// lower than the command before, and the other replicas dropped it.
#[test]
fn command_at_a_restarted_replica_prevails_among_many_verdicts() {
    for zones in [2, 5, 12] {
        for interval in [1, 4, 10, 20] {
            let mut fleet = Fleet::start(3, zones, interval);
            fleet.evacuate_and_return_all();
            fleet.restart(0);
            fleet.run(SECOND * 5);
            fleet.command(0, 0, OperatorCommand::Evacuate);
            fleet.run(FOLLOWED_WITHIN);
            let stages = fleet.stages(0);
            assert_eq!(stages, vec![ZoneStage::Evacuated; 3], "{zones} zones, every {interval} ticks");
        }
    }
}

/// Guards against a command that a replica numbers before it knows the earlier ones, as it has just started or was cut off.
#[test]
fn newer_command_prevails_over_an_earlier_one_with_a_greater_number() {
    for interval in [1, 4, 10] {
        let mut fleet = Fleet::start(3, 3, interval);
        fleet.evacuate_and_return_all();
        fleet.connected = false;
        fleet.restart(2);
        fleet.run(SECOND);
        fleet.command(2, 1, OperatorCommand::Evacuate);
        fleet.run(SECOND);
        fleet.connected = true;
        fleet.run(FOLLOWED_WITHIN);
        assert_eq!(fleet.stages(1), vec![ZoneStage::Evacuated; 3], "every {interval} ticks");
    }
}

/// Guards against two replicas that renumber their commands against each other, and against an older command that prevails.
#[test]
fn commands_on_both_sides_of_a_partition_converge_on_the_newest() {
    for gap in [Duration::ZERO, TICK, SECOND] {
        let mut fleet = Fleet::start(3, 3, 4);
        fleet.connected = false;
        for command in [OperatorCommand::Evacuate, OperatorCommand::Return] {
            fleet.command(0, 1, command);
            fleet.run(gap);
        }
        fleet.command(1, 1, OperatorCommand::Evacuate);
        fleet.run(SECOND * 2);
        fleet.connected = true;
        fleet.run(FOLLOWED_WITHIN);
        let stages = fleet.stages(1);
        assert!(stages.iter().all(|stage| *stage == stages[0]), "{gap:?} apart: {stages:?}");
        // Commands that are close to each other count as concurrent: the greater number prevails.
        assert!(gap < SECOND || stages[0] == ZoneStage::Evacuated, "{gap:?} apart: {stages:?}");
        fleet.run(SECOND * 5);
        let later = fleet.stages(1);
        assert!(later.iter().all(|stage| *stage == later[0]), "{gap:?} apart: {later:?}");
    }
}
