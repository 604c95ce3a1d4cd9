//! A test discovery that fails and recovers according to a plan.

use crate::helpers::{bind_unused_port, endpoint_list, ms};
use crate::plan::{ChangeTime, FailureMode, Plan, Recovery};
use landingspread_lab::sockets::{HttpMessage, Peer};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which threads check the state for which they wait.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Times of the events of a run, and counts of polls.
#[derive(Default)]
pub struct Times {
    pub down: Option<Instant>,
    pub back: Option<Instant>,
    pub failed_calls: usize,
    pub calls: usize,
    /// When the first list with the change had been written completely.
    pub list_written: Option<Instant>,
}

pub struct DiscoveryStandIn {
    pub address: SocketAddr,
    pub plan: Plan,
    pub servers: [SocketAddr; 2],
    pub times: Mutex<Times>,
    pub over: AtomicBool,
}

impl DiscoveryStandIn {
    pub fn start(plan: Plan, servers: [SocketAddr; 2]) -> Arc<DiscoveryStandIn> {
        let listener = bind_unused_port();
        let address = listener.local_addr().expect("listener has a local address");
        let (times, over) = (Mutex::default(), AtomicBool::new(false));
        let discovery = Arc::new(DiscoveryStandIn { address, plan, servers, times, over });
        let accepting = discovery.clone();
        thread::spawn(move || accepting.accept_calls(listener));
        discovery
    }

    pub fn times(&self) -> MutexGuard<'_, Times> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    pub fn is_down(&self) -> bool {
        let times = &mut *self.times();
        let Some(down) = times.down else { return false };
        if let (None, Recovery::After(span)) = (times.back, self.plan.recovery) {
            times.back = Some(down + span);
        }
        times.back.is_none_or(|back| Instant::now() < back)
    }

    pub fn changed_at(&self) -> Option<Instant> {
        let times = self.times();
        match self.plan.change_time {
            ChangeTime::AfterDown(span) => times.down.map(|at| at + span),
            ChangeTime::AfterReturn(span) => times.back.map(|at| at + span),
        }
    }

    /// The current generation and the list for a poll that has generation `after`.
    pub fn list(&self, after: u64) -> (u64, Value) {
        let ([old, new], changed) =
            (self.servers, self.changed_at().is_some_and(|time| time <= Instant::now()));
        let mut list = match changed {
            true => endpoint_list(2, &[("s1", old, "draining"), ("s2", new, "ready")]),
            false => endpoint_list(1, &[("s1", old, "ready")]),
        };
        list["reset"] = json!(after == 0 || self.plan.complete_lists);
        (1 + u64::from(changed), list)
    }

    /// Accepts connections. During an outage there is no listener, or one with a full accept queue, if the plan's mode asks
    /// for it.
    pub fn accept_calls(self: Arc<DiscoveryStandIn>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("failed to make the listener non-blocking");
        let (mut listener, mut fill) = (Some(listener), Vec::new());
        while !self.over() {
            match (self.plan.mode, self.is_down()) {
                (FailureMode::RefusesConnections, true) => listener = None,
                (FailureMode::RefusesConnections, false) if listener.is_none() => {
                    let again =
                        TcpListener::bind(self.address).expect("failed to bind to the same address again");
                    again.set_nonblocking(true).expect("failed to make the listener non-blocking");
                    listener = Some(again);
                }
                (FailureMode::BacklogFull, true) => {
                    if fill.is_empty() {
                        rustix::net::listen(listener.as_ref().expect("listener is open"), 0)
                            .expect("failed to set the length of the accept queue");
                        let connect = || TcpStream::connect_timeout(&self.address, ms(50)).ok();
                        fill = (0..2).filter_map(|_| connect()).collect();
                    }
                    thread::sleep(CHECK_INTERVAL);
                    continue;
                }
                (FailureMode::BacklogFull, false) if !fill.is_empty() => {
                    rustix::net::listen(listener.as_ref().expect("listener is open"), 64)
                        .expect("failed to set the length of the accept queue");
                    fill.clear();
                }
                _ => {}
            }
            match listener.as_ref().map(TcpListener::accept) {
                Some(Ok((stream, _))) => {
                    stream.set_nonblocking(false).expect("failed to make the connection blocking");
                    let discovery = self.clone();
                    thread::spawn(move || discovery.serve_calls(stream));
                }
                _ => thread::sleep(CHECK_INTERVAL),
            }
        }
    }

    pub fn serve_calls(&self, stream: TcpStream) {
        let mut peer = Peer::new(stream);
        while let Ok(Some(call)) = peer.read_request() {
            self.times().calls += 1;
            let parameter = |name| number(&call, name).unwrap_or(0);
            let (after, until) = (parameter("after"), Instant::now() + ms(parameter("wait_ms")));
            let (generation, list) = loop {
                if self.is_down() {
                    if self.plan.mode == FailureMode::StallsUntilBack {
                        self.wait_while(|| self.is_down());
                    } else {
                        return self.fail(&mut peer, after);
                    }
                }
                let (generation, list) = self.list(after);
                if generation > after {
                    break (generation, list);
                }
                if Instant::now() >= until {
                    break (after, json!({"generation": after, "reset": false, "instances": []}));
                }
                thread::sleep(CHECK_INTERVAL);
            };
            if self.times().back.is_some() {
                thread::sleep(self.plan.answer_delay);
            }
            if peer.write(&message(&list)).is_err() {
                return;
            }
            if generation == 2 {
                self.times().list_written.get_or_insert(Instant::now());
            }
        }
    }

    pub fn wait_while(&self, holds: impl Fn() -> bool) {
        while !self.over() && holds() {
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Fails one poll in the way that the plan's mode says.
    pub fn fail(&self, peer: &mut Peer, after: u64) {
        let failed_calls = {
            let times = &mut *self.times();
            times.failed_calls += 1;
            if let Recovery::AfterFailedPolls(count, span) = self.plan.recovery
                && times.failed_calls == count
            {
                times.back = Some(Instant::now() + span);
            }
            times.failed_calls as u64
        };
        let rng = &mut ChaCha8Rng::seed_from_u64(self.plan.seed ^ failed_calls << 32);
        let list = message(&self.list(after).1);
        let part = &list[..rng.random_range(1..list.len())];
        match self.plan.mode.for_a_poll(rng) {
            FailureMode::Silent => self.wait_while(|| true),
            FailureMode::SilentMidAnswer => {
                let _ = peer.write(part);
                self.wait_while(|| true);
            }
            FailureMode::Trickles => {
                for byte in part.chunks(1) {
                    if self.over() || peer.write(byte).is_err() {
                        return;
                    }
                    thread::sleep(ms(60));
                }
                self.wait_while(|| true);
            }
            FailureMode::Answers503 => {
                let _ = peer.write(b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n");
            }
            FailureMode::Resets => {
                rustix::net::sockopt::set_socket_linger(&peer.stream, Some(Duration::ZERO))
                    .expect("failed to set SO_LINGER");
            }
            FailureMode::CutsShort => drop(peer.write(part)),
            _ => {}
        }
    }
}

/// The HTTP response with this list.
pub fn message(list: &Value) -> Vec<u8> {
    let body = list.to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// The value of a numeric query parameter of a poll.
pub fn number(call: &HttpMessage, name: &str) -> Option<u64> {
    let query = call.path().split_once('?')?.1;
    query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}
