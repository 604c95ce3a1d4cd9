//! The stand-in discovery: serves the endpoint list, and watches of it by long polls.

use crate::http::read_message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub cell: u32,
    pub lifecycle: &'static str,
    /// Unix time in milliseconds; 0 for long ago.
    pub started_at_ms: u64,
}

struct List {
    generation: u64,
    entries: Vec<Entry>,
    /// Whether `entries` is the complete list, or what changed last.
    complete: bool,
}

pub struct Discovery {
    pub address: SocketAddr,
    list: Mutex<List>,
    changed: Condvar,
}

fn json(generation: u64, complete: bool, entries: &[Entry]) -> String {
    let entry = |entry: &Entry| {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"front-mid\",\
             \"cell\":{},\"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":{}}}",
            entry.id, entry.address, entry.zone, entry.cell, entry.lifecycle, entry.started_at_ms
        )
    };
    let entries: Vec<String> = entries.iter().map(entry).collect();
    format!("{{\"generation\":{generation},\"reset\":{complete},\"instances\":[{}]}}", entries.join(","))
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> std::io::Result<Arc<Discovery>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let list = Mutex::new(List { generation: 41, entries, complete: true });
        let discovery = Arc::new(Discovery { address, list, changed: Condvar::new() });
        let shared = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = shared.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        Ok(discovery)
    }

    /// The whole list, as a sidecar last had it.
    pub fn known(&self) -> String {
        let list = self.list.lock().unwrap();
        let listed: Vec<Entry> =
            list.entries.iter().filter(|entry| entry.lifecycle != "gone").cloned().collect();
        json(list.generation, true, &listed)
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
            let number = |name: &str| -> Option<u64> {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
            };
            let body = match (path, number("after")) {
                ("/catalog/members", None) => self.known(),
                ("/catalog/members", Some(after)) => self.wait(after, number("wait_ms").unwrap_or(0)),
                _ => return None,
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            writer.write_all((head + &body).as_bytes()).ok()?;
        }
        None
    }

    /// Waits until there is a list newer than `after`, or the time is over.
    fn wait(&self, after: u64, wait_ms: u64) -> String {
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(60_000));
        let mut list = self.list.lock().unwrap();
        loop {
            if list.generation == after + 1 && !list.complete {
                return json(list.generation, false, &list.entries);
            }
            if list.generation != after {
                drop(list);
                return self.known();
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return json(list.generation, false, &[]);
            }
            list = self.changed.wait_timeout(list, left).unwrap().0;
        }
    }
}
