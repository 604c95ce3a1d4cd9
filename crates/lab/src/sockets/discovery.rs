//! The test discovery of one tier: complete lists and watches in the platform's protocol, with injected faults.

use super::message::{HttpMessage, Peer, response_bytes};
use super::ports::bind_loopback;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// The longest wait of a watch; longer requested waits are shortened to it.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// One server's entry in the endpoint list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Id of the server.
    pub id: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// Name of the server's zone.
    pub zone: String,
    /// Index of the server's cell.
    pub cell: u32,
    /// `ready`, `draining`, or `gone`.
    pub state: &'static str,
    pub weight: f64,
    pub started: Option<SystemTime>,
}

impl Entry {
    pub(super) fn value(&self) -> Value {
        let unix_ms =
            |at: SystemTime| at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        json!({"instanceId": self.id, "hostPort": self.address.to_string(), "zone": self.zone,
            "machineType": "lab", "cell": self.cell, "lifecycle": self.state, "weight": self.weight,
            "startedAtMs": self.started.map_or(0, unix_ms)})
    }
}

/// An injected fault of discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryFault {
    /// No fault.
    #[default]
    None,
    /// Requests get a 503 and waiting watches end.
    Down,
    /// Watches get no changes, and complete lists are the one from the start of the fault.
    Stale,
    /// Complete lists are empty.
    Empty,
    /// Requests are accepted and not answered until the fault ends.
    Silent,
}

#[derive(Default)]
struct List {
    generation: u64,
    /// By server id: the generation of the entry's last change, and the entry.
    entries: BTreeMap<String, (u64, Entry)>,
    /// Generation and entries of the list that a stale discovery returns.
    stale: Option<(u64, Vec<Entry>)>,
    /// Watches from an earlier generation than this get a complete list.
    complete_before: u64,
    fault: DiscoveryFault,
    /// Generation and text of the list that a test has set; it replaces all entries.
    raw_list: Option<(u64, String)>,
    /// Number of requests received.
    requests: u64,
    /// Number of watches whose client left while they waited.
    abandoned_watches: u64,
}

/// A running test discovery, with a thread for each connection.
pub struct Discovery {
    /// Loopback address that the discovery listens at.
    pub address: SocketAddr,
    list: Mutex<List>,
    changed: Condvar,
    stopped: AtomicBool,
}

impl Discovery {
    /// Starts a discovery with an empty list on an unused loopback port; an error if the port cannot be bound.
    pub fn start() -> io::Result<Arc<Discovery>> {
        let listener = bind_loopback()?;
        let discovery = Arc::new(Discovery {
            address: listener.local_addr()?,
            list: Mutex::default(),
            changed: Condvar::new(),
            stopped: AtomicBool::new(false),
        });
        let shared = discovery.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                if shared.stopped.load(Ordering::Relaxed) {
                    return;
                }
                let shared = shared.clone();
                thread::spawn(move || shared.serve_connection(stream));
            }
        });
        Ok(discovery)
    }

    /// Starts a discovery that returns the texts set by `set_raw_list` unchanged. Requests wait for the first text.
    pub fn with_raw_lists() -> io::Result<Arc<Discovery>> {
        let discovery = Discovery::start()?;
        discovery.set_raw_list(0, String::new());
        Ok(discovery)
    }

    /// Sets the text of the next list, valid or not; it is sent to clients with an older generation.
    pub fn set_raw_list(&self, generation: u64, list: String) {
        self.list().raw_list = Some((generation, list));
        self.changed.notify_all();
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds or replaces a server's entry and sends it to all watches.
    pub fn publish(&self, entry: Entry) {
        let mut list = self.list();
        list.generation += 1;
        let generation = list.generation;
        list.entries.insert(entry.id.clone(), (generation, entry));
        self.changed.notify_all();
    }

    /// The entry of the server with this id.
    pub fn entry(&self, id: &str) -> Option<Entry> {
        self.list().entries.get(id).map(|(_, entry)| entry.clone())
    }

    /// Sets the fault unless it is already in force.
    pub fn set_fault_if_changed(&self, fault: DiscoveryFault) {
        let now = self.list().fault;
        if now != fault {
            self.set_fault(fault);
        }
    }

    /// Sets the fault and wakes all watches; changes that were not sent before are then sent as a complete list.
    pub fn set_fault(&self, fault: DiscoveryFault) {
        let mut list = self.list();
        list.generation += 1;
        let entries: Vec<Entry> = list.entries.values().map(|(_, entry)| entry.clone()).collect();
        list.stale = (fault == DiscoveryFault::Stale).then_some((list.generation, entries));
        list.fault = fault;
        // Changes that were not sent during the previous fault are sent as a complete list.
        list.complete_before = list.generation;
        self.changed.notify_all();
    }

    /// The current list as JSON, for the initial endpoints of a sidecar's configuration.
    pub fn snapshot(&self) -> Value {
        self.list().complete_list()
    }

    /// Number of requests received, and number of watches whose client left while they waited.
    pub fn call_counts(&self) -> (u64, u64) {
        let list = self.list();
        (list.requests, list.abandoned_watches)
    }

    /// Ends all watches and stops accepting connections.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.changed.notify_all();
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
    }

    fn serve_connection(&self, stream: TcpStream) {
        let mut peer = Peer::new(stream);
        while let Ok(Some(request)) = peer.read_request() {
            let Some(list) = self.list_for(&request, &peer) else {
                let _ = peer.write(&response_bytes(503, "Connection: close\r\n", b""));
                return;
            };
            if peer.write(&response_bytes(200, "", list.as_bytes())).is_err() {
                return;
            }
        }
    }

    /// The list to send. None if discovery is down or stopped, or the client has left its watch.
    fn list_for(&self, request: &HttpMessage, peer: &Peer) -> Option<String> {
        let query = request.path().split_once('?').map_or("", |(_, query)| query);
        let number_parameter = |name: &str| {
            let pair = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
            pair.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let until =
            Instant::now() + Duration::from_millis(number_parameter("wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let mut list = self.list();
        list.requests += 1;
        let after = number_parameter("after");
        if after.is_none() && list.raw_list.is_none() && list.fault != DiscoveryFault::Silent {
            return (list.fault != DiscoveryFault::Down).then(|| list.complete_list().to_string());
        }
        let after = after.unwrap_or(0);
        let _ = peer.stream.set_nonblocking(true);
        let answer = loop {
            if list.fault == DiscoveryFault::Down || self.stopped.load(Ordering::Relaxed) {
                break None;
            }
            let silent = list.fault == DiscoveryFault::Silent;
            match &list.raw_list {
                _ if silent => {}
                Some((generation, text)) if *generation > after => break Some(text.clone()),
                Some(_) => {}
                None if list.has_changes_after(after) || Instant::now() >= until => {
                    break Some(list.changes(after).to_string());
                }
                None => {}
            }
            // Wakes regularly to check whether the client is still connected.
            list = self
                .changed
                .wait_timeout(list, Duration::from_millis(10))
                .unwrap_or_else(PoisonError::into_inner)
                .0;
            if matches!(peer.stream.peek(&mut [0]), Ok(0)) {
                list.abandoned_watches += 1;
                break None;
            }
        };
        let _ = peer.stream.set_nonblocking(false);
        answer
    }
}

impl List {
    fn has_changes_after(&self, after: u64) -> bool {
        self.generation != after && self.fault != DiscoveryFault::Stale
    }

    /// The complete list without removed servers.
    fn complete_list(&self) -> Value {
        let (generation, entries) = match (&self.fault, &self.stale) {
            (DiscoveryFault::Empty, _) => (self.generation, Vec::new()),
            (DiscoveryFault::Stale, Some((generation, entries))) => (*generation, entries.clone()),
            _ => (self.generation, self.entries.values().map(|(_, entry)| entry.clone()).collect()),
        };
        let listed = entries.iter().filter(|entry| entry.state != "gone").map(Entry::value);
        json!({"generation": generation, "reset": true, "instances": listed.collect::<Vec<_>>()})
    }

    /// The changes since a generation, or the complete list if they are unknown.
    fn changes(&self, after: u64) -> Value {
        if self.fault == DiscoveryFault::Stale {
            return json!({"generation": after, "reset": false, "instances": []});
        }
        if after < self.complete_before || after > self.generation {
            return self.complete_list();
        }
        let newer = self.entries.values().filter(|(generation, _)| *generation > after);
        let newer: Vec<Value> = newer.map(|(_, entry)| entry.value()).collect();
        json!({"generation": self.generation, "reset": false, "instances": newer})
    }
}
