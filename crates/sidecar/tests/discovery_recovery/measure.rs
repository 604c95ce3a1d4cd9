//! One run: the time from discovery's change until the program sends its requests by it.

use crate::helpers::*;
use crate::plan::Plan;
use crate::stand_in::DiscoveryStandIn;
use landingspread_lab::sockets::{Does, Peer, Scripted};
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Delays from the moment in which discovery had the change and could be reached.
pub struct Timing {
    pub plan: Plan,
    pub list_written: Duration,
    pub in_force: Duration,
}

pub fn measure(plan: Plan) -> Timing {
    measure_beside(plan, |_| {}, |_| ())
}

/// `change` edits the configuration; `once_down` is called when discovery has just failed, and what it returns is dropped
/// before the process is ended.
pub fn measure_beside<T>(
    plan: Plan,
    change: impl FnOnce(&mut Value),
    once_down: impl FnOnce(&Sidecar) -> T,
) -> Timing {
    let servers = [(); 2].map(|()| endpoint(Does::Answer));
    let source = DiscoveryStandIn::start(plan.clone(), [servers[0].address, servers[1].address]);
    let known = catalog(0, &[("s1", servers[0].address, "ready")]);
    let sidecar = Sidecar::start_as(&known, source.address, |config| {
        config["settings"]["Balancers"] = json!(plan.replicas);
        config["seed"] = json!(format!("{:x}", plan.seed));
        change(config);
    });
    within("the watch is open", || source.times().calls >= 2);
    thread::sleep(plan.watch_before);
    source.times().down = Some(Instant::now());
    let _guard = once_down(&sidecar);
    let mut caller = Peer::new(sidecar.open().expect("a connection"));
    let mut number = 0;
    let mut send_request = |servers: &[Scripted; 2]| {
        number += 1;
        let _ = caller.write(cmd("view", &format!("c{number}"), 1900).as_bytes());
        let status = caller.answer().ok().and_then(|heard| heard.status());
        if plan.crowded && status != Some(200) {
            caller = Peer::new(sidecar.open().expect("a connection"));
        } else {
            assert_eq!(status, Some(200), "{plan:?}");
        }
        servers[1].count() > 0
    };
    let begun = Instant::now();
    while !send_request(&servers) {
        assert!(begun.elapsed() < ms(45_000), "the change never came: {plan:?}");
        thread::sleep(ms(25));
    }
    let in_force = Instant::now();
    let before = servers[0].count();
    for _ in 0..5 {
        send_request(&servers);
    }
    assert_eq!(servers[0].count(), before, "the draining server gets no more requests: {plan:?}");
    source.over.store(true, Ordering::Relaxed);
    let changed_at = source.changed_at().expect("it was made");
    let times = source.times();
    let (back, list_written) =
        (times.back.expect("it came back"), times.list_written.expect("it was written"));
    let from = back.max(changed_at);
    Timing {
        plan,
        list_written: list_written.saturating_duration_since(from),
        in_force: in_force.saturating_duration_since(from),
    }
}
