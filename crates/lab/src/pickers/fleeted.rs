//! The decision module together with fleet membership, as the sidecar runs them where `[fleet]` is configured. This
//! module only connects the two, as the fleet thread of the sidecar does.

use crate::fleet::emulated::{address_of, replica_of};
use crate::picker::LoadBalancer;
use crate::world::HostHandle;
use landingspread_decisions::host::{
    AttemptEnd, Id, ListedServer, LoadReport, Outcome, ReplicaView, RequestArrival,
};
use landingspread_decisions::policy::Policy;
use landingspread_decisions::settings::Settings;
use landingspread_decisions::zones::{ZoneObservation, ZoneTraffic};
use landingspread_localities::{
    self as localities, OwnObservation, PeerReport, RecoveryTimings, ZoneFailover, ZoneHealth,
};
use landingspread_membership::{Address, Budget, Host, MemberConfig, Membership};
use std::time::Duration;

/// Count of replicas that a starting member contacts first.
const SEED_MEMBERS: usize = 3;
/// One in this many replicas sends false reports.
const FALSE_REPORTER_SPACING: usize = 7;
/// Unix time at the start of the simulation, in milliseconds.
const START_UNIX_MS: u64 = 1_800_000_000_000;

/// Sends the datagrams of membership through the simulated network.
struct DatagramSender(HostHandle);

impl Host for DatagramSender {
    fn send(&mut self, to: Address, bytes: &[u8]) {
        replica_of(to).into_iter().for_each(|replica| self.0.send_datagram(replica, bytes));
    }
}

/// Records the replica's verdicts on zones as notes, next to those on ejections.
struct VerdictNotes(HostHandle);

impl localities::Host for VerdictNotes {
    fn verdict_issued(&mut self, zone: &str, verdict: &localities::Verdict, _: &localities::Evidence) {
        self.0.note(&format!("mark zone {zone} {}", verdict.stage.name()));
    }
}

/// The decision module of a replica with its fleet membership and, if enabled, zone failover.
pub struct FleetBalancer {
    policy: Policy<HostHandle>,
    membership: Membership<DatagramSender>,
    zones: Option<ZoneFailover<VerdictNotes>>,
    /// Whether this replica sends false reports of zones.
    reports_falsely: bool,
    next_tick: Duration,
}

fn zone_health(observation: &ZoneObservation) -> ZoneHealth {
    match (observation.unanswered_ago, observation.answered_ago) {
        (Some(since), _) => ZoneHealth::Silent { since },
        (None, Some(sent)) => ZoneHealth::Answering { sent_ago: sent, slow: observation.slow },
        (None, None) => ZoneHealth::Unknown,
    }
}

fn replica_id(address: Address) -> u64 {
    replica_of(address).unwrap_or(0) as u64
}

impl FleetBalancer {
    /// `zones` enables zone failover; `reports_falsely` lets one in `FALSE_REPORTER_SPACING` replicas send false
    /// reports of zones.
    pub fn start(
        host: HostHandle,
        settings: Settings,
        seed: u64,
        now: Duration,
        zones: bool,
        reports_falsely: bool,
    ) -> FleetBalancer {
        let (replica, zone, replicas, first) = host.membership_identity();
        let failover_config = localities::FailoverConfig {
            id: replica as u64,
            zone: zone.clone(),
            zones: host.zones(),
            timings: RecoveryTimings::default(),
        };
        let zones = zones.then(|| ZoneFailover::start(VerdictNotes(host.clone()), failover_config));
        let reports_falsely = reports_falsely && replica % FALSE_REPORTER_SPACING == 0;
        let config = MemberConfig {
            address: address_of(replica),
            name: format!("n{replica}"),
            zone,
            fleet: format!("tier {}", settings.tier),
            incarnation: START_UNIX_MS + now.as_millis() as u64,
            seeds: (first..first + replicas.min(SEED_MEMBERS)).map(address_of).collect(),
            budget: Budget::default(),
            configured_members: settings.replicas,
        };
        let membership = Membership::start(DatagramSender(host.clone()), config, seed ^ 0x6d65_6d62, now);
        FleetBalancer {
            policy: Policy::start(host, settings, seed, now),
            membership,
            zones,
            reports_falsely,
            next_tick: now,
        }
    }

    fn tick_zones(&mut self, now: Duration) {
        let Some(zones) = &mut self.zones else { return };
        let observation = self.policy.zone_observations(now);
        let own = |observation: &ZoneObservation| OwnObservation {
            zone: observation.zone as usize,
            ready: observation.ready,
            health: zone_health(observation),
        };
        let mut own: Vec<OwnObservation> = observation.iter().map(own).collect();
        for own in own.iter_mut().filter(|_| self.reports_falsely) {
            // Reports each zone as silent two times out of three, changing every 700 ms.
            let false_pattern =
                (now.as_millis() as u64 / 700 + own.zone as u64 * 5 + replica_id(self.membership.address()))
                    % 3;
            own.health = match false_pattern {
                0 => own.health,
                _ => ZoneHealth::Silent { since: Duration::ZERO },
            };
        }
        let live = self.membership.members().filter(|member| member.state().is_live());
        let urgent = zones.tick(
            now,
            &own,
            live.map(|member| PeerReport {
                id: replica_id(member.address()),
                name: member.name(),
                zone: member.zone(),
                report: member.payload().map(|(report, _)| report),
                age: member.payload().map_or(Duration::ZERO, |(_, at)| now.saturating_sub(at)),
            }),
        );
        self.membership.set_payload(zones.report_bytes(), urgent);
        let share = |traffic: localities::ZoneTraffic| ZoneTraffic {
            zone: traffic.zone as u32,
            fraction: traffic.traffic_fraction,
            trial: traffic.trial,
        };
        let shares: Vec<ZoneTraffic> = zones.traffic().into_iter().map(share).collect();
        self.policy.zone_traffic_changed(now, &shares);
    }
}

impl LoadBalancer for FleetBalancer {
    fn endpoint_list_cached(&mut self, now: Duration, entries: &[ListedServer]) {
        self.policy.endpoint_list_cached(now, entries);
    }

    fn endpoint_list_received(&mut self, now: Duration, entries: &[ListedServer]) {
        self.policy.endpoint_list_received(now, entries);
    }

    fn endpoint_list_changed(&mut self, now: Duration, entries: &[ListedServer]) {
        self.policy.endpoint_list_changed(now, entries);
    }

    fn discovery_poll_failed(&mut self, now: Duration) {
        self.policy.discovery_poll_failed(now);
    }

    fn request_arrived(&mut self, now: Duration, arrival: RequestArrival) {
        self.policy.request_arrived(now, arrival);
    }

    fn client_disconnected(&mut self, now: Duration, request: &Id) {
        self.policy.client_disconnected(now, request);
    }

    fn attempt_ended(&mut self, now: Duration, attempt_end: AttemptEnd) {
        self.policy.attempt_ended(now, attempt_end);
    }

    fn health_check_ended(&mut self, now: Duration, outcome: Outcome, server: &Id, load: LoadReport) {
        self.policy.health_check_ended(now, outcome, server, load);
    }

    fn timer_fired(&mut self, now: Duration) {
        if self.next_tick <= now {
            self.next_tick = now + Membership::<DatagramSender>::TICK_INTERVAL;
            self.membership.set_request_rate(self.policy.request_rate());
            self.tick_zones(now);
            self.membership.tick(now);
            let size = self.membership.fleet_size();
            let replicas = ReplicaView {
                count: size.members,
                max_alive: size.possibly_live,
                ordinal: size.ordinal().map(u32::from),
                mean_request_rate: size.mean_request_rate,
            };
            self.policy.replicas_changed(now, &replicas);
        }
        self.policy.timer_fired(now);
    }

    fn peer_message_received(&mut self, now: Duration, peer: u32, message: &[u8]) {
        self.policy.peer_message_received(now, peer, message);
    }

    fn datagram_received(&mut self, now: Duration, bytes: &[u8]) {
        self.membership.receive(now, bytes);
    }
}
