//! What operators are told at a sidecar's console: which version is in force and since when, the machine that is asked, and
//! the last refusal with its key. The task writes it, the console's thread reads it.

use landingspread_control::{Contents, Follower, Refusal, Version};
use serde_json::json;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

struct InForce {
    version: Version,
    since: Instant,
    contents: Contents,
}

#[derive(Default)]
struct Now {
    in_force: Option<InForce>,
    machine: Option<SocketAddr>,
    answered: Option<Instant>,
    refused: Option<(Version, String, String, Instant)>,
    turned: Option<(SocketAddr, String, Instant)>,
    calls: u64,
    sent: u64,
    received: u64,
}

#[derive(Clone)]
pub struct Shared {
    scope: Arc<str>,
    now: Arc<Mutex<Now>>,
}

impl Shared {
    pub fn new(scope: &str) -> Shared {
        Shared { scope: scope.into(), now: Arc::default() }
    }

    fn now(&self) -> MutexGuard<'_, Now> {
        self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn asks(&self, machine: SocketAddr) {
        self.now().machine = Some(machine);
    }

    pub fn answered(&self) {
        self.now().answered = Some(Instant::now());
    }

    /// Bytes of one call and its answer, without the heads' fixed parts.
    pub fn counted(&self, sent: usize, received: usize) {
        let mut now = self.now();
        (now.calls, now.sent, now.received) =
            (now.calls + 1, now.sent + sent as u64, now.received + received as u64);
    }

    /// Calls, and bytes sent and received.
    pub fn counts(&self) -> (u64, u64, u64) {
        let now = self.now();
        (now.calls, now.sent, now.received)
    }

    pub fn enforced(&self, follower: &Follower) {
        let holds = follower.in_force().map(|holds| InForce {
            version: holds.version(),
            since: Instant::now(),
            contents: holds.contents().clone(),
        });
        self.now().in_force = holds;
    }

    pub fn refused(&self, refusal: &Refusal) {
        let (key, what) = (refusal.error.key.clone(), refusal.error.reason.clone());
        self.now().refused = Some((refusal.version, key, what, Instant::now()));
    }

    /// An answer that was none.
    pub fn turned(&self, machine: SocketAddr, wrong: &str) {
        self.now().turned = Some((machine, wrong.to_string(), Instant::now()));
    }

    pub fn said(&self, json: bool) -> String {
        let now = self.now();
        if json { self.json(&now) } else { self.text(&now) }
    }

    fn json(&self, now: &Now) -> String {
        let since = |at: &Instant| at.elapsed().as_millis() as u64;
        let in_force = now.in_force.as_ref().map(|InForce { version, since: at, contents }| {
            json!({"version": version, "epoch": version.epoch, "number": version.number, "for_ms": since(at),
                "contents": contents})
        });
        let refused = now.refused.as_ref().map(|(version, key, what, at)| {
            json!({"version": version.to_string(), "number": version.number, "key": key, "what": what,
                "ms_ago": since(at)})
        });
        let turned = now.turned.as_ref().map(
            |(machine, what, at)| json!({"machine": machine.to_string(), "what": what, "ms_ago": since(at)}),
        );
        let told = json!({"scope": &*self.scope, "in_force": in_force,
            "machine": now.machine.map(|machine| machine.to_string()),
            "answered_ms_ago": now.answered.as_ref().map(since), "refused": refused, "turned_away": turned,
            "calls": now.calls, "bytes_sent": now.sent, "bytes_received": now.received});
        told.to_string() + "\n"
    }

    fn text(&self, now: &Now) -> String {
        let since = |at: &Instant| format!("{:.1} s", at.elapsed().as_secs_f64());
        let mut text = format!("scope       {}\n", self.scope);
        // Writing to a String cannot fail.
        let _ = match &now.in_force {
            Some(InForce { version, since: at, .. }) => {
                writeln!(text, "in force    {version}, for {}", since(at))
            }
            None => writeln!(text, "in force    nothing but the file"),
        };
        if let Some(machine) = now.machine {
            let answered = now.answered.as_ref().map_or("never".into(), |at| format!("{} ago", since(at)));
            let _ = writeln!(text, "machine     {machine}, answered {answered}");
        }
        if let Some((version, key, what, at)) = &now.refused {
            let _ = writeln!(text, "refused     {version}, {} ago: {key}: {what}", since(at));
        }
        if let Some((machine, what, at)) = &now.turned {
            let _ = writeln!(text, "turned away an answer of {machine}, {} ago: {what}", since(at));
        }
        for (key, value) in now.in_force.iter().flat_map(|holds| &holds.contents) {
            let _ = writeln!(text, "    {key} = {value}");
        }
        text
    }
}
