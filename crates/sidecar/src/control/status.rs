//! The status of the followed configuration for the console: the version in force and its age, the polled machine and
//! the last refusal. The task that follows the configuration writes it, and the console's thread reads it.

use landingspread_control::{Contents, Follower, Refusal, Version};
use serde_json::{Value, json};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

struct InForce {
    version: Version,
    since: Instant,
    contents: Contents,
}

struct RefusedVersion {
    version: Version,
    key: String,
    reason: String,
    at: Instant,
}

struct RejectedAnswer {
    machine: SocketAddr,
    reason: String,
    at: Instant,
}

#[derive(Default)]
struct State {
    in_force: Option<InForce>,
    machine: Option<SocketAddr>,
    answered_at: Option<Instant>,
    refused: Option<RefusedVersion>,
    rejected: Option<RejectedAnswer>,
    traffic: Traffic,
}

/// The network traffic of following the configuration.
#[derive(Clone, Copy, Default)]
pub struct Traffic {
    /// The number of answered polls.
    pub calls: u64,
    /// Bytes of the answered polls, with an estimate for their heads.
    pub sent: u64,
    /// Bytes of the answers, with an estimate for their heads.
    pub received: u64,
}

/// A handle to the status, which all clones share.
#[derive(Clone)]
pub struct ControlStatus {
    scope: Arc<str>,
    state: Arc<Mutex<State>>,
}

impl ControlStatus {
    /// Creates the status of a scope without a version or a poll.
    pub fn new(scope: &str) -> ControlStatus {
        ControlStatus { scope: scope.into(), state: Arc::default() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the machine that is polled from now on.
    pub fn set_machine(&self, machine: SocketAddr) {
        self.state().machine = Some(machine);
    }

    /// Records that the polled machine has just answered.
    pub fn record_answer(&self) {
        self.state().answered_at = Some(Instant::now());
    }

    /// Counts an answered poll with its sent and received bytes.
    pub fn record_call(&self, sent: usize, received: usize) {
        let traffic = &mut self.state().traffic;
        traffic.calls += 1;
        traffic.sent += sent as u64;
        traffic.received += received as u64;
    }

    /// The number of answered polls since the start, with their bytes.
    pub fn traffic(&self) -> Traffic {
        self.state().traffic
    }

    /// Records the follower's version, which is in force from now on.
    pub fn record_applied(&self, follower: &Follower) {
        let in_force = follower.in_force().map(|snapshot| InForce {
            version: snapshot.version(),
            since: Instant::now(),
            contents: snapshot.contents().clone(),
        });
        self.state().in_force = in_force;
    }

    /// Records that the host refused a version.
    pub fn record_refusal(&self, refusal: &Refusal) {
        let (key, reason) = (refusal.error.key.clone(), refusal.error.reason.clone());
        let refused = RefusedVersion { version: refusal.version, key, reason, at: Instant::now() };
        self.state().refused = Some(refused);
    }

    /// Records that a machine's answer was unusable.
    pub fn record_rejected_answer(&self, machine: SocketAddr, reason: &str) {
        let rejected = RejectedAnswer { machine, reason: reason.to_string(), at: Instant::now() };
        self.state().rejected = Some(rejected);
    }

    /// The response body of `GET /control`, as JSON or as text.
    pub fn report(&self, json: bool) -> String {
        let state = self.state();
        if json { self.to_json(&state) } else { self.to_text(&state) }
    }

    fn to_json(&self, state: &State) -> String {
        let report = json!({
            "scope": &*self.scope,
            "in_force": state.in_force.as_ref().map(InForce::to_json),
            "machine": state.machine.map(|machine| machine.to_string()),
            "answered_ms_ago": state.answered_at.map(ms_since),
            "refused": state.refused.as_ref().map(RefusedVersion::to_json),
            "turned_away": state.rejected.as_ref().map(RejectedAnswer::to_json),
            "calls": state.traffic.calls,
            "bytes_sent": state.traffic.sent,
            "bytes_received": state.traffic.received,
        });
        report.to_string() + "\n"
    }

    fn to_text(&self, state: &State) -> String {
        let mut text = format!("scope       {}\n", self.scope);
        // Writing to a String cannot fail.
        let _ = match &state.in_force {
            Some(InForce { version, since, .. }) => {
                writeln!(text, "in force    {version}, for {}", seconds_since(*since))
            }
            None => writeln!(text, "in force    nothing but the file"),
        };
        if let Some(machine) = state.machine {
            let answered =
                state.answered_at.map_or("never".into(), |at| format!("{} ago", seconds_since(at)));
            let _ = writeln!(text, "machine     {machine}, answered {answered}");
        }
        if let Some(RefusedVersion { version, key, reason, at }) = &state.refused {
            let _ = writeln!(text, "refused     {version}, {} ago: {key}: {reason}", seconds_since(*at));
        }
        if let Some(RejectedAnswer { machine, reason, at }) = &state.rejected {
            let ago = seconds_since(*at);
            let _ = writeln!(text, "turned away an answer of {machine}, {ago} ago: {reason}");
        }
        for (key, value) in state.in_force.iter().flat_map(|in_force| &in_force.contents) {
            let _ = writeln!(text, "    {key} = {value}");
        }
        text
    }
}

impl InForce {
    fn to_json(&self) -> Value {
        let InForce { version, since, contents } = self;
        json!({"version": version, "epoch": version.epoch, "number": version.number,
            "for_ms": ms_since(*since), "contents": contents})
    }
}

impl RefusedVersion {
    fn to_json(&self) -> Value {
        json!({"version": self.version.to_string(), "number": self.version.number, "key": self.key,
            "what": self.reason, "ms_ago": ms_since(self.at)})
    }
}

impl RejectedAnswer {
    fn to_json(&self) -> Value {
        json!({"machine": self.machine.to_string(), "what": self.reason, "ms_ago": ms_since(self.at)})
    }
}

fn ms_since(at: Instant) -> u64 {
    at.elapsed().as_millis() as u64
}

fn seconds_since(at: Instant) -> String {
    format!("{:.1} s", at.elapsed().as_secs_f64())
}
