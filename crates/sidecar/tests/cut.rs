//! Requests, responses, endpoint lists and configurations that are truncated at any byte: each ends with a response or an
//! error, and no descriptor stays open for it.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::{Peer, ScriptedBehavior};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Number of open descriptors of the sidecar.
fn open_descriptors(sidecar: &Sidecar) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", sidecar.child.id())).map_or(0, Iterator::count)
}

/// A server that answers each request with the first `length` bytes of `whole`, and closes the connection if that is not
/// all of it.
fn start_truncating_server(length: Arc<AtomicUsize>, whole: &'static [u8]) -> SocketAddr {
    let listener = bind_unused_port();
    let address = listener.local_addr().expect("listener has a local address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let length = length.clone();
            thread::spawn(move || {
                let mut peer = Peer::new(stream);
                while let Ok(Some(_)) = peer.read_request() {
                    let end = length.load(Ordering::Relaxed);
                    if peer.write(&whole[..end]).is_err() || end < whole.len() {
                        return;
                    }
                }
            });
        }
    });
    address
}

#[test]
fn truncated_response_ends_its_request_with_one_error() {
    const WHOLE: &[u8] =
        b"HTTP/1.1 200 OK\r\nX-Kept: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwhat\r\n0\r\n\r\n";
    let length = Arc::new(AtomicUsize::new(WHOLE.len()));
    let at = start_truncating_server(length.clone(), WHOLE);
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", at)]);
    assert_eq!(sidecar.send_request("confirm", "w", 1500), 200);
    let before = open_descriptors(&sidecar);
    for end in 0..WHOLE.len() {
        length.store(end, Ordering::Relaxed);
        let (id, began) = (format!("c{end}"), std::time::Instant::now());
        // The request may have run, so its error is 502. Once the server is ejected for its failures, it is 503 at once.
        let status = sidecar.send_request("confirm", &id, 1500);
        assert!([502, 503].contains(&status), "cut at {end}: {status}");
        assert!(began.elapsed() < ms(1000), "cut at {end}: {:?}", began.elapsed());
    }
    length.store(WHOLE.len(), Ordering::Relaxed);
    wait_until("requests are answered again", || sidecar.send_request("view", "again", 1500) == 200);
    wait_until("no descriptor stays open for truncated messages", || {
        open_descriptors(&sidecar) <= before + 1
    });
}

#[test]
fn truncated_request_reaches_no_server_and_is_closed() {
    let endpoint = start_endpoint(ScriptedBehavior::Respond);
    let (sidecar, _discovery) = Sidecar::start_with_servers(&[("s1", endpoint.address)]);
    assert_eq!(sidecar.send_request("hold", "first", 1500), 200);
    let before = open_descriptors(&sidecar);
    let whole = request_text("hold", "cut", 1500);
    let chunked = whole.replace("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
    let chunked = chunked.replace("\r\n\r\nbody", "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    for text in [whole, chunked] {
        for end in 1..text.len() {
            let mut stream = TcpStream::connect(sidecar.address).expect("failed to connect to the sidecar");
            stream.write_all(&text.as_bytes()[..end]).expect("failed to write to the connection");
        }
    }
    wait_until("no descriptor stays open for truncated messages", || open_descriptors(&sidecar) <= before);
    assert_eq!(sidecar.send_request("hold", "last", 1500), 200);
    assert_eq!(endpoint.request_count(), 2, "a truncated request reached the server");
}

#[test]
fn truncated_configuration_is_rejected_with_line_and_column() {
    let known = endpoint_list(1, &[("s1", unused_address(), "ready")]);
    let text = sidecar_config(&known, unused_address(), unused_address()).to_string();
    let file = std::env::temp_dir().join(format!("landingspread-cut-{}.json", std::process::id()));
    for end in (0..text.len()).step_by(11) {
        std::fs::write(&file, &text[..end]).expect("failed to write the file");
        let mut program = Command::new(env!("CARGO_BIN_EXE_landingspread"));
        let run =
            program.arg("check").arg("--file").arg(&file).env_remove("NODE_CONFIG").stdin(Stdio::null());
        let run = run.output().expect("failed to run landingspread");
        let output =
            String::from_utf8_lossy(&run.stderr).into_owned() + &String::from_utf8_lossy(&run.stdout);
        assert!(!run.status.success() && output.contains("line 1 column"), "cut at {end}: {output}");
    }
    let _ = std::fs::remove_file(&file);
}

#[test]
fn truncated_list_leaves_the_previous_one_in_force() {
    let (first, second) =
        (start_endpoint(ScriptedBehavior::Respond), start_endpoint(ScriptedBehavior::Respond));
    let (sidecar, discovery) = Sidecar::start_with_servers(&[("s1", first.address)]);
    let whole = endpoint_list(3, &[("s2", second.address, "ready")]).to_string();
    for (round, part) in [whole.len() / 3, whole.len() - 1].into_iter().enumerate() {
        let before = discovery.call_counts().0;
        discovery.set_raw_list(2 + round as u64, whole[..part].to_string());
        wait_until("discovery is polled again", || discovery.call_counts().0 > before);
        assert_eq!(sidecar.send_request("confirm", &format!("l{round}"), 1500), 200);
    }
    assert_eq!((first.request_count(), second.request_count()), (2, 0));
    discovery.set_raw_list(9, whole);
    wait_until("a complete list is in force", || {
        assert_eq!(sidecar.send_request("view", "n", 1500), 200);
        second.request_count() > 0
    });
}
