//! One run: the time from a change of discovery's list until the sidecar routes requests by it.

use crate::helpers::*;
use crate::plan::Plan;
use crate::stand_in::DiscoveryStandIn;
use landingspread_lab::sockets::{Peer, ScriptedBehavior, ScriptedServer};
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Delays from the moment at which discovery had the change and was reachable.
pub struct Timing {
    pub plan: Plan,
    pub list_written: Duration,
    pub in_force: Duration,
}

pub fn measure(plan: Plan) -> Timing {
    measure_beside(plan, |_| {}, |_| ())
}

/// Measures one run. `change` edits the configuration. `once_down` is called right after discovery failed; its result is
/// dropped before the sidecar process ends.
pub fn measure_beside<T>(
    plan: Plan,
    change: impl FnOnce(&mut Value),
    once_down: impl FnOnce(&Sidecar) -> T,
) -> Timing {
    let servers = [(); 2].map(|()| start_endpoint(ScriptedBehavior::Respond));
    let discovery = DiscoveryStandIn::start(plan.clone(), [servers[0].address, servers[1].address]);
    let known = endpoint_list(0, &[("s1", servers[0].address, "ready")]);
    let sidecar = Sidecar::start_as(&known, discovery.address, |config| {
        config["settings"]["Balancers"] = json!(plan.replicas);
        config["seed"] = json!(format!("{:x}", plan.seed));
        change(config);
    });
    wait_until("the watch is open", || discovery.times().calls >= 2);
    thread::sleep(plan.watch_before);
    discovery.times().down = Some(Instant::now());
    let _guard = once_down(&sidecar);
    let mut client = Peer::new(sidecar.connect().expect("failed to connect to the sidecar"));
    let mut number = 0;
    let mut send_request = |servers: &[ScriptedServer; 2]| {
        number += 1;
        let _ = client.write(request_text("view", &format!("c{number}"), 1900).as_bytes());
        let status = client.read_response().ok().and_then(|response| response.status());
        if plan.crowded && status != Some(200) {
            client = Peer::new(sidecar.connect().expect("failed to connect to the sidecar"));
        } else {
            assert_eq!(status, Some(200), "{plan:?}");
        }
        servers[1].request_count() > 0
    };
    let begun = Instant::now();
    while !send_request(&servers) {
        assert!(begun.elapsed() < ms(45_000), "no request reached the new server within 45 s: {plan:?}");
        thread::sleep(ms(25));
    }
    let in_force = Instant::now();
    let before = servers[0].request_count();
    for _ in 0..5 {
        send_request(&servers);
    }
    assert_eq!(servers[0].request_count(), before, "the draining server got another request: {plan:?}");
    discovery.over.store(true, Ordering::Relaxed);
    let changed_at = discovery.changed_at().expect("list change was made");
    let times = discovery.times();
    let (back_at, list_written) = (
        times.back.expect("discovery recovered"),
        times.list_written.expect("list with the change was written"),
    );
    let from = back_at.max(changed_at);
    Timing {
        plan,
        list_written: list_written.saturating_duration_since(from),
        in_force: in_force.saturating_duration_since(from),
    }
}
