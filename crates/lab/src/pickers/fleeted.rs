//! The decisions with the fleet's membership beside them, as the program has them where `[fleet]` is configured. It owns
//! only what joins the two: the program's own thread does the same.

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

const SEEDS: usize = 3;
const LIARS_EACH: usize = 7;
/// The time of day at the world's start, in milliseconds.
const BEGAN: u64 = 1_800_000_000_000;

struct Mail(HostHandle);

impl Host for Mail {
    fn send(&mut self, to: Address, bytes: &[u8]) {
        replica_of(to).into_iter().for_each(|copy| self.0.send_datagram(copy, bytes));
    }
}

/// Verdicts that a copy passed go to its notes, beside its marks.
struct Notes(HostHandle);

impl localities::Host for Notes {
    fn verdict_issued(&mut self, zone: &str, verdict: &localities::Verdict, _: &localities::Evidence) {
        self.0.note(&format!("mark zone {zone} {}", verdict.stage.name()));
    }
}

pub struct Fleeted {
    policy: Policy<HostHandle>,
    membership: Membership<Mail>,
    zones: Option<ZoneFailover<Notes>>,
    /// What this copy says of zones is made up.
    lies: bool,
    tick_at: Duration,
}

fn looks(seen: &ZoneObservation) -> ZoneHealth {
    match (seen.unanswered_ago, seen.answered_ago) {
        (Some(since), _) => ZoneHealth::Silent { since },
        (None, Some(sent)) => ZoneHealth::Answering { sent_ago: sent, slow: seen.slow },
        (None, None) => ZoneHealth::Unknown,
    }
}

fn id_of(address: Address) -> u64 {
    replica_of(address).unwrap_or(0) as u64
}

impl Fleeted {
    /// `zones`: whether the fleet leaves any; `lies`: whether a seventh of the copies says of them what is not so.
    pub fn start(
        hand: HostHandle,
        terms: Settings,
        seed: u64,
        now: Duration,
        zones: bool,
        lies: bool,
    ) -> Fleeted {
        let (copy, zone, copies, first) = hand.membership_identity();
        let of_zones = localities::FailoverConfig {
            id: copy as u64,
            zone: zone.clone(),
            zones: hand.zones(),
            timings: RecoveryTimings::default(),
        };
        let zones = zones.then(|| ZoneFailover::start(Notes(hand.clone()), of_zones));
        let lies = lies && copy % LIARS_EACH == 0;
        let config = MemberConfig {
            address: address_of(copy),
            name: format!("n{copy}"),
            zone,
            fleet: format!("tier {}", terms.tier),
            incarnation: BEGAN + now.as_millis() as u64,
            seeds: (first..first + copies.min(SEEDS)).map(address_of).collect(),
            budget: Budget::default(),
            configured_members: terms.replicas,
        };
        let membership = Membership::start(Mail(hand.clone()), config, seed ^ 0x6d65_6d62, now);
        Fleeted { policy: Policy::start(hand, terms, seed, now), membership, zones, lies, tick_at: now }
    }

    fn tick_zones(&mut self, now: Duration) {
        let Some(zones) = &mut self.zones else { return };
        let seen = self.policy.zone_observations(now);
        let own = |seen: &ZoneObservation| OwnObservation {
            zone: seen.zone as usize,
            ready: seen.ready,
            health: looks(seen),
        };
        let mut own: Vec<OwnObservation> = seen.iter().map(own).collect();
        for own in own.iter_mut().filter(|_| self.lies) {
            // Now silent, now not, for a second or so at a time.
            let lie =
                (now.as_millis() as u64 / 700 + own.zone as u64 * 5 + id_of(self.membership.address())) % 3;
            own.health = match lie {
                0 => own.health,
                _ => ZoneHealth::Silent { since: Duration::ZERO },
            };
        }
        let live = self.membership.members().filter(|member| member.state().is_live());
        let urgent = zones.tick(
            now,
            &own,
            live.map(|member| PeerReport {
                id: id_of(member.address()),
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

impl LoadBalancer for Fleeted {
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

    fn client_disconnected(&mut self, now: Duration, cmd: &Id) {
        self.policy.client_disconnected(now, cmd);
    }

    fn attempt_ended(&mut self, now: Duration, ended: AttemptEnd) {
        self.policy.attempt_ended(now, ended);
    }

    fn health_check_ended(&mut self, now: Duration, outcome: Outcome, server: &Id, load: LoadReport) {
        self.policy.health_check_ended(now, outcome, server, load);
    }

    fn timer_fired(&mut self, now: Duration) {
        if self.tick_at <= now {
            self.tick_at = now + Membership::<Mail>::TICK_INTERVAL;
            self.membership.set_request_rate(self.policy.request_rate());
            self.tick_zones(now);
            self.membership.tick(now);
            let size = self.membership.fleet_size();
            let copies = ReplicaView {
                count: size.members,
                max_alive: size.possibly_live,
                ordinal: size.ordinal().map(u32::from),
                mean_request_rate: size.mean_request_rate,
            };
            self.policy.replicas_changed(now, &copies);
        }
        self.policy.timer_fired(now);
    }

    fn peer_message_received(&mut self, now: Duration, peer: u32, words: &[u8]) {
        self.policy.peer_message_received(now, peer, words);
    }

    fn datagram_received(&mut self, now: Duration, bytes: &[u8]) {
        self.membership.receive(now, bytes);
    }
}
