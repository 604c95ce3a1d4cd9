//! `/zones` as JSON and as text, compared with `tests/fixtures/zones.txt`. LANDINGSPREAD_WRITE_FIXTURES=1 rewrites the file.

use super::*;
use landingspread_membership::Budget;

#[test]
fn zones_page_and_traffic_updates_match_the_fixture() {
    let ms = Duration::from_millis;
    let member = MemberConfig {
        address: "10.0.3.17:7946".parse().expect("the member's address is valid"),
        name: "c1".into(),
        zone: "a".into(),
        fleet: "f".into(),
        incarnation: 7,
        seeds: Vec::new(),
        budget: Budget::default(),
        configured_members: 1.0,
    };
    let mut membership = Membership::start(SocketHost::new(None), member.clone(), 1, ms(0));
    let (updates, traffic_updates) = async_channel::bounded(1);
    let observations = SharedObservations::default();
    let zones = ["a", "b", "c"].map(String::from).to_vec();
    let settings = FailoverSettings { timings: RecoveryTimings::default(), zones };
    let mut zones = FleetZones::start(settings, &member, observations.clone(), updates);
    let observation = |zone, silent: Option<u64>, answered: Option<u64>, slow| EngineObservation {
        zone,
        ready: zone as usize + 2,
        unanswered_ago: silent.map(ms),
        answered_ago: answered.map(ms),
        slow,
    };
    let mut text = String::new();
    let mut add_page = |zones: &FleetZones, now| {
        text += &zones.page(true, now);
        text += &zones.page(false, now);
        if let Ok(update) = traffic_updates.try_recv() {
            let traffic_text = |traffic: &EngineTraffic| {
                format!("{} {} {:?}", traffic.zone, traffic.fraction, traffic.trial)
            };
            text += &format!("{}\n", update.iter().map(traffic_text).collect::<Vec<_>>().join("; "));
        }
    };
    add_page(&zones, ms(0));
    let answering = vec![observation(0, None, Some(20), false), observation(1, None, Some(1500), true)];
    observations.set(ms(3000), answering);
    zones.tick(ms(3100), &mut membership);
    add_page(&zones, ms(3105));
    assert!(!zones.operator_command(ms(3200), "unknown", OperatorCommand::Evacuate));
    assert!(zones.operator_command(ms(3200), "b", OperatorCommand::Evacuate));
    zones.tick(ms(3250), &mut membership);
    add_page(&zones, ms(4321));
    let silent = vec![observation(0, Some(300), None, false), observation(1, Some(2500), Some(1), false)];
    observations.set(ms(5000), silent);
    assert!(zones.operator_command(ms(5000), "b", OperatorCommand::Return));
    zones.tick(ms(5050), &mut membership);
    add_page(&zones, ms(5060));
    crate::fleet::fixture_tests::compare_with_fixture("zones.txt", &text);
}
