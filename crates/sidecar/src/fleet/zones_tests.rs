//! `/zones` as JSON and as text, compared with `tests/fixtures/zones.txt`; LANDINGSPREAD_WRITE_FIXTURES=1 writes that file
//! anew.

use super::*;
use landingspread_membership::Budget;

#[test]
fn the_page_of_the_zones_is_the_text_of_the_fixture() {
    let ms = Duration::from_millis;
    let about = MemberConfig {
        address: "10.0.3.17:7946".parse().expect("an address"),
        name: "c1".into(),
        zone: "a".into(),
        fleet: "f".into(),
        incarnation: 7,
        seeds: Vec::new(),
        budget: Budget::default(),
        configured_members: 1.0,
    };
    let mut membership = Membership::start(Wire { socket: None }, about.clone(), 1, ms(0));
    let (tell, shares) = async_channel::bounded(1);
    let seen = Seen::default();
    let names = ["a", "b", "c"].map(String::from).to_vec();
    let mut zones = Zones::start(RecoveryTimings::default(), names, &about, seen.clone(), tell);
    let looks = |zone, silent: Option<u64>, answered: Option<u64>, slow| ZoneObservation {
        zone,
        ready: zone as usize + 2,
        silent: silent.map(ms),
        answered: answered.map(ms),
        slow,
    };
    let mut text = String::new();
    let mut page = |zones: &Zones, now| {
        text += &zones.told(true, now);
        text += &zones.told(false, now);
        if let Ok(shares) = shares.try_recv() {
            let share = |share: &ZoneTraffic| format!("{} {} {:?}", share.zone, share.fraction, share.trial);
            text += &format!("{}\n", shares.iter().map(share).collect::<Vec<_>>().join("; "));
        }
    };
    page(&zones, ms(0));
    let answering = vec![looks(0, None, Some(20), false), looks(1, None, Some(1500), true)];
    *seen.lock().expect("it is free") = (ms(3000), answering);
    zones.tick(ms(3100), &mut membership);
    page(&zones, ms(3105));
    assert!(!zones.operator_command(ms(3200), "nowhere", true));
    assert!(zones.operator_command(ms(3200), "b", true));
    zones.tick(ms(3250), &mut membership);
    page(&zones, ms(4321));
    let silent = vec![looks(0, Some(300), None, false), looks(1, Some(2500), Some(1), false)];
    *seen.lock().expect("it is free") = (ms(5000), silent);
    assert!(zones.operator_command(ms(5000), "b", false));
    zones.tick(ms(5050), &mut membership);
    page(&zones, ms(5060));
    crate::fleet::fixture_tests::compare("zones.txt", &text);
}
