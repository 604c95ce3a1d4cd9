//! The stand-in list source: whole lists and watches by the platform's protocol, for one tier, with its troubles.

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

/// The longest that a watch may ask to wait.
const WAIT_MOST: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u32,
    /// `ready`, `draining`, or `gone`.
    pub state: &'static str,
    pub weight: f64,
    pub started: Option<SystemTime>,
}

impl Entry {
    pub(super) fn value(&self) -> Value {
        let unix =
            |at: SystemTime| at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        json!({"instanceId": self.id, "hostPort": self.address.to_string(), "zone": self.zone,
            "machineType": "lab", "cell": self.cell, "lifecycle": self.state, "weight": self.weight,
            "startedAtMs": self.started.map_or(0, unix)})
    }
}

/// What ails the source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryFault {
    #[default]
    None,
    /// Calls end with 503, watches break.
    Down,
    /// Nothing new is told; a whole list is the one of the moment when it began.
    Stale,
    /// The whole list is empty.
    Empty,
    /// Calls are taken and nothing is said until it is over.
    Silent,
}

#[derive(Default)]
struct List {
    generation: u64,
    entries: BTreeMap<String, (u64, Entry)>,
    stale: Option<(u64, Vec<Entry>)>,
    /// Watches that began before this generation are told a whole list.
    whole_before: u64,
    fault: DiscoveryFault,
    /// A list as somebody wrote it, and its generation, in place of all else.
    written: Option<(u64, String)>,
    calls: u64,
    left: u64,
}

pub struct Discovery {
    pub address: SocketAddr,
    list: Mutex<List>,
    news: Condvar,
    over: AtomicBool,
}

impl Discovery {
    pub fn start() -> io::Result<Arc<Discovery>> {
        let listener = bind_loopback()?;
        let discovery = Arc::new(Discovery {
            address: listener.local_addr()?,
            list: Mutex::default(),
            news: Condvar::new(),
            over: AtomicBool::new(false),
        });
        let own = discovery.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                if own.over.load(Ordering::Relaxed) {
                    return;
                }
                let own = own.clone();
                thread::spawn(move || own.talk(stream));
            }
        });
        Ok(discovery)
    }

    /// One that tells what `write` gives it, word for word; until then every call waits.
    pub fn with_raw_lists() -> io::Result<Arc<Discovery>> {
        let discovery = Discovery::start()?;
        discovery.set_raw_list(0, String::new());
        Ok(discovery)
    }

    /// The next list, whether or not it can be read; it is told to whoever knows an older generation.
    pub fn set_raw_list(&self, generation: u64, list: String) {
        self.list().written = Some((generation, list));
        self.news.notify_all();
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a server's entry in; watches hear of it.
    pub fn publish(&self, entry: Entry) {
        let mut list = self.list();
        list.generation += 1;
        let generation = list.generation;
        list.entries.insert(entry.id.clone(), (generation, entry));
        self.news.notify_all();
    }

    pub fn entry(&self, id: &str) -> Option<Entry> {
        self.list().entries.get(id).map(|(_, entry)| entry.clone())
    }

    pub fn set_fault_if_changed(&self, fault: DiscoveryFault) {
        let now = self.list().fault;
        if now != fault {
            self.set_fault(fault);
        }
    }

    pub fn set_fault(&self, fault: DiscoveryFault) {
        let mut list = self.list();
        list.generation += 1;
        let whole: Vec<Entry> = list.entries.values().map(|(_, entry)| entry.clone()).collect();
        list.stale = (fault == DiscoveryFault::Stale).then_some((list.generation, whole));
        list.fault = fault;
        // What was not told meanwhile is told whole.
        list.whole_before = list.generation;
        self.news.notify_all();
    }

    /// The list as a sidecar may know it at its start.
    pub fn snapshot(&self) -> Value {
        self.list().whole()
    }

    /// Calls that have come, and watches that were left while they waited.
    pub fn call_counts(&self) -> (u64, u64) {
        let list = self.list();
        (list.calls, list.left)
    }

    pub fn stop(&self) {
        self.over.store(true, Ordering::Relaxed);
        self.news.notify_all();
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
    }

    fn talk(&self, stream: TcpStream) {
        let mut peer = Peer::new(stream);
        while let Ok(Some(heard)) = peer.read_request() {
            let Some(list) = self.answer_to(&heard, &peer) else {
                let _ = peer.write(&response_bytes(503, "Connection: close\r\n", b""));
                return;
            };
            if peer.write(&response_bytes(200, "", list.as_bytes())).is_err() {
                return;
            }
        }
    }

    /// None where the source is down, or the watch was left.
    fn answer_to(&self, heard: &HttpMessage, peer: &Peer) -> Option<String> {
        let query = heard.path().split_once('?').map_or("", |(_, query)| query);
        let figure = |name: &str| {
            let pair = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
            pair.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let until = Instant::now() + Duration::from_millis(figure("wait_ms").unwrap_or(0)).min(WAIT_MOST);
        let mut list = self.list();
        list.calls += 1;
        let after = figure("after");
        if after.is_none() && list.written.is_none() && list.fault != DiscoveryFault::Silent {
            return (list.fault != DiscoveryFault::Down).then(|| list.whole().to_string());
        }
        let after = after.unwrap_or(0);
        let _ = peer.stream.set_nonblocking(true);
        let told = loop {
            if list.fault == DiscoveryFault::Down || self.over.load(Ordering::Relaxed) {
                break None;
            }
            let silent = list.fault == DiscoveryFault::Silent;
            match &list.written {
                _ if silent => {}
                Some((generation, text)) if *generation > after => break Some(text.clone()),
                Some(_) => {}
                None if list.news_after(after) || Instant::now() >= until => {
                    break Some(list.changes(after).to_string());
                }
                None => {}
            }
            // Looks now and then whether anybody still waits.
            list = self
                .news
                .wait_timeout(list, Duration::from_millis(10))
                .unwrap_or_else(PoisonError::into_inner)
                .0;
            if matches!(peer.stream.peek(&mut [0]), Ok(0)) {
                list.left += 1;
                break None;
            }
        };
        let _ = peer.stream.set_nonblocking(false);
        told
    }
}

impl List {
    fn news_after(&self, after: u64) -> bool {
        self.generation != after && self.fault != DiscoveryFault::Stale
    }

    fn whole(&self) -> Value {
        let (generation, entries) = match (&self.fault, &self.stale) {
            (DiscoveryFault::Empty, _) => (self.generation, Vec::new()),
            (DiscoveryFault::Stale, Some((generation, entries))) => (*generation, entries.clone()),
            _ => (self.generation, self.entries.values().map(|(_, entry)| entry.clone()).collect()),
        };
        let there = entries.iter().filter(|entry| entry.state != "gone").map(Entry::value);
        json!({"generation": generation, "reset": true, "instances": there.collect::<Vec<_>>()})
    }

    /// What is newer than a generation, or all of it where that can't be told.
    fn changes(&self, after: u64) -> Value {
        if self.fault == DiscoveryFault::Stale {
            return json!({"generation": after, "reset": false, "instances": []});
        }
        if after < self.whole_before || after > self.generation {
            return self.whole();
        }
        let newer = self.entries.values().filter(|(generation, _)| *generation > after);
        let newer: Vec<Value> = newer.map(|(_, entry)| entry.value()).collect();
        json!({"generation": self.generation, "reset": false, "instances": newer})
    }
}
