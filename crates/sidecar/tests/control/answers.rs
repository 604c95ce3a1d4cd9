//! Machines whose answers are of no use: the version in force stays so, and another machine is polled.

use crate::helpers::*;
use crate::rig::*;
use landingspread_control::{Contents, Snapshot};
use landingspread_lab::sockets::Peer;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;

/// A machine that answers each call with the next of these bodies, and then waits.
fn scripted_machine(bodies: Vec<Vec<u8>>) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = free();
    let own = listener.local_addr().expect("an address");
    let (left, calls) = (Arc::new(Mutex::new(bodies.into_iter())), Arc::new(Mutex::new(Vec::new())));
    let noted = calls.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (left, noted) = (left.clone(), noted.clone());
            thread::spawn(move || {
                let mut peer = Peer::new(stream);
                while let Ok(Some(heard)) = peer.command() {
                    noted.lock().expect("a lock").push(heard.path().to_string());
                    let Some(body) = left.lock().expect("a lock").next() else {
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
    (own, calls)
}

fn snapshot(number: u64, pairs: &[(&str, &str)]) -> Snapshot {
    let contents: Contents = pairs.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect();
    Snapshot::new(SCOPE, 5, number, contents).expect("it is bounded")
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
        let (own, calls) =
            scripted_machine(vec![text(&good).into_bytes(), body.clone(), text(&next).into_bytes()]);
        let name = format!("n{at}");
        let one = start_sidecar(&folder, &name, "", &machine_list(&[(own, "")]), &endpoints);
        within("the third call waits", || calls.lock().expect("a lock").len() >= 4);
        assert_eq!(one.in_force(), Some(next.version().to_string()), "{at}: what is good is taken after it");
        assert_views(&[&one], true);
        let turned = one.status()["turned_away"]["what"].as_str().unwrap_or("").to_string();
        let calls = calls.lock().expect("a lock").clone();
        assert!(calls[2].contains(&format!("have={}", good.version())), "{at}: {calls:?}");
        if let Some(wanted) = status.get(at) {
            assert!(turned.contains(wanted), "{at}: {turned}");
        }
    }
    // The bad answer is the last one: the good one before it holds.
    for (at, body) in unusable.into_iter().enumerate() {
        let (own, calls) = scripted_machine(vec![text(&good).into_bytes(), body]);
        let one = start_sidecar(&folder, &format!("l{at}"), "", &machine_list(&[(own, "")]), &endpoints);
        within("the third call waits", || calls.lock().expect("a lock").len() >= 3);
        assert_eq!(one.in_force(), Some(good.version().to_string()), "{at}");
        assert_views(&[&one], false);
    }
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn stale_machine_is_left_for_a_current_one() {
    let _turn = take_turn();
    let folder = folder("behind");
    let (_endpoints, endpoints) = slow_endpoints();
    let short_limit = [("verbs.view.goal", "40ms"), ("verbs.view.limit", "40ms")];
    let (old, good, next) = (snapshot(3, &[]), snapshot(4, &short_limit), snapshot(5, &[]));
    let text = |snapshot: &Snapshot| snapshot.full_delta().to_json().into_bytes();
    // The region's own machine begins well, then forgets what it had; the other one goes on.
    let (near, near_calls) = scripted_machine(vec![text(&good), text(&old)]);
    let (far, far_calls) = scripted_machine(vec![text(&next)]);
    let one =
        start_sidecar(&folder, "n0", "here", &machine_list(&[(far, "there"), (near, "here")]), &endpoints);
    within("the other one's call waits", || far_calls.lock().expect("a lock").len() >= 2);
    assert_eq!(near_calls.lock().expect("a lock").len(), 2, "it is asked no more");
    assert_eq!(one.in_force(), Some(next.version().to_string()));
    assert_eq!(one.status()["machine"], json!(far.to_string()));
    assert_views(&[&one], true);
    let _ = std::fs::remove_dir_all(folder);
}
