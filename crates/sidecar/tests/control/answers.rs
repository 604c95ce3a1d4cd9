//! Control machines with unusable or stale answers: the version in force stays, and the sidecar polls another machine.

use crate::helpers::*;
use crate::rig::*;
use landingspread_control::{Contents, Snapshot};
use landingspread_lab::sockets::Peer;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;

/// A control machine that answers the calls with these bodies in turn, and leaves later calls unanswered.
fn scripted_machine(bodies: Vec<Vec<u8>>) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = bind_unused_port();
    let address = listener.local_addr().expect("listener has a local address");
    let (remaining, calls) = (Arc::new(Mutex::new(bodies.into_iter())), Arc::new(Mutex::new(Vec::new())));
    let recorded = calls.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (remaining, recorded) = (remaining.clone(), recorded.clone());
            thread::spawn(move || {
                let mut peer = Peer::new(stream);
                while let Ok(Some(call)) = peer.read_request() {
                    recorded.lock().expect("lock is not poisoned").push(call.path().to_string());
                    let Some(body) = remaining.lock().expect("lock is not poisoned").next() else {
                        thread::sleep(ms(30_000));
                        return;
                    };
                    let length = body.len();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes();
                    if peer.write(&[head, body].concat()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, calls)
}

fn snapshot(number: u64, pairs: &[(&str, &str)]) -> Snapshot {
    let contents: Contents = pairs.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect();
    Snapshot::new(SCOPE, 5, number, contents).expect("snapshot is within its bounds")
}

#[test]
fn unusable_answers_leave_the_version_in_force() {
    let _turn = take_turn();
    let folder = folder("odd");
    let (_endpoints, endpoints) = slow_endpoints();
    let short_limit = [("verbs.view.goal", "40ms"), ("verbs.view.limit", "40ms")];
    let good = snapshot(4, &short_limit);
    let old = snapshot(3, &[("verbs.view.goal", "1s")]);
    let next = snapshot(5, &[("verbs.view.goal", "1s")]);
    let text = |snapshot: &Snapshot| snapshot.full_delta().to_json();
    let unusable = [
        text(&next).as_bytes()[..60].to_vec(),
        text(&next).replace("1s", "2s").into_bytes(),
        text(&next).replace(SCOPE, "orders").into_bytes(),
        text(&old).into_bytes(),
        next.delta_since(&snapshot(2, &[])).to_json().into_bytes(),
        vec![b'x'; 150_000],
        Vec::new(),
    ];
    let status = [
        "it can't be read",
        "digest",
        "scope: \"orders\" is another",
        "older",
        "base: it is not what is here",
    ];
    for (at, body) in unusable.iter().enumerate() {
        let (machine, calls) =
            scripted_machine(vec![text(&good).into_bytes(), body.clone(), text(&next).into_bytes()]);
        let name = format!("n{at}");
        let sidecar = start_sidecar(&folder, &name, "", &machine_list(&[(machine, "")]), &endpoints);
        wait_until("the fourth call waits", || calls.lock().expect("lock is not poisoned").len() >= 4);
        assert_eq!(
            sidecar.in_force(),
            Some(next.version().to_string()),
            "{at}: the usable answer after it is in force"
        );
        assert_views(&[&sidecar], true);
        let rejection = sidecar.status()["turned_away"]["what"].as_str().unwrap_or("").to_string();
        let calls = calls.lock().expect("lock is not poisoned").clone();
        assert!(calls[2].contains(&format!("have={}", good.version())), "{at}: {calls:?}");
        if let Some(expected) = status.get(at) {
            assert!(rejection.contains(expected), "{at}: {rejection}");
        }
    }
    // The unusable answer is the last one: the version before it stays in force.
    for (at, body) in unusable.into_iter().enumerate() {
        let (machine, calls) = scripted_machine(vec![text(&good).into_bytes(), body]);
        let sidecar =
            start_sidecar(&folder, &format!("l{at}"), "", &machine_list(&[(machine, "")]), &endpoints);
        wait_until("the third call waits", || calls.lock().expect("lock is not poisoned").len() >= 3);
        assert_eq!(sidecar.in_force(), Some(good.version().to_string()), "{at}");
        assert_views(&[&sidecar], false);
    }
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn sidecar_leaves_a_stale_machine_for_a_current_one() {
    let _turn = take_turn();
    let folder = folder("behind");
    let (_endpoints, endpoints) = slow_endpoints();
    let short_limit = [("verbs.view.goal", "40ms"), ("verbs.view.limit", "40ms")];
    let (old, good, next) = (snapshot(3, &[]), snapshot(4, &short_limit), snapshot(5, &[]));
    let text = |snapshot: &Snapshot| snapshot.full_delta().to_json().into_bytes();
    // The machine of the sidecar's region answers with a good version, then with an older one; the other machine has the
    // next version.
    let (near, near_calls) = scripted_machine(vec![text(&good), text(&old)]);
    let (far, far_calls) = scripted_machine(vec![text(&next)]);
    let sidecar =
        start_sidecar(&folder, "n0", "here", &machine_list(&[(far, "there"), (near, "here")]), &endpoints);
    wait_until("the second call at the other machine waits", || {
        far_calls.lock().expect("lock is not poisoned").len() >= 2
    });
    assert_eq!(
        near_calls.lock().expect("lock is not poisoned").len(),
        2,
        "the stale machine was polled again"
    );
    assert_eq!(sidecar.in_force(), Some(next.version().to_string()));
    assert_eq!(sidecar.status()["machine"], json!(far.to_string()));
    assert_views(&[&sidecar], true);
    let _ = std::fs::remove_dir_all(folder);
}
