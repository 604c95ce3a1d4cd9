//! Reports for operators: the status of a scope, merged from all machines that answer, and the status of this machine.

use super::super::client::{ControlClient, Request};
use super::Server;
use super::peers::Peer;
use super::reply::Reply;
use landingspread_control::{LaggingFollower, ScopeStatus, Version};
use serde_json::json;
use std::fmt::Write;
use std::time::Duration;

/// The maximum time for a peer's answer with the followers that it knows.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// The number of buffers for one machine's status of a scope.
const STATUS_BUFFERS: usize = 256;
/// The maximum number of follower names per list in a text report; JSON lists all.
const MAX_NAMES: usize = 50;

impl Server {
    /// The status of a scope as this machine alone knows it, for other machines.
    pub(super) fn own_scope_status(&self, scope: &str) -> Reply {
        match self.store.borrow().scope_status(self.clock.now(), scope) {
            Some(status) => Reply::json(200, serde_json::to_string(&status).unwrap_or_default()),
            None => Reply::error(404, "nobody asked for this scope here"),
        }
    }

    /// The status of a scope merged from all machines that answer, as JSON or as text.
    pub(super) async fn scope_status(&self, scope: &str, json: bool) -> Reply {
        let mut status = self.store.borrow().scope_status(self.clock.now(), scope);
        let mut answered = 1;
        for peer in self.peers.iter().filter(|peer| peer.is_available()) {
            let Ok(peer_status) = self.peer_scope_status(peer, scope).await else { continue };
            answered += 1;
            status = match (status, peer_status) {
                (Some(mut merged), Some(peer_status)) => {
                    merged.merge(peer_status);
                    Some(merged)
                }
                (status, peer_status) => status.or(peer_status),
            };
        }
        match status {
            None => Reply::error(404, "nobody published or asked for this scope"),
            Some(status) if json => Reply::json(200, self.status_json(&status, answered)),
            Some(status) => Reply::text(200, self.status_text(&status, answered)),
        }
    }

    /// Requests a peer's status of a scope; `None` if the peer doesn't know the scope.
    async fn peer_scope_status(
        &self,
        peer: &Peer,
        scope: &str,
    ) -> Result<Option<ScopeStatus>, super::super::client::CallError> {
        let target = format!("GET /control/v1/scopes/{scope}?own=1");
        let request =
            Request { target: &target, body: b"", max_buffers: STATUS_BUFFERS, timeout: PEER_TIMEOUT };
        let response = ControlClient::default().call(peer.address, &request, &self.resources).await?;
        Ok(serde_json::from_slice(&response.body).ok().filter(|_| response.status == 200))
    }

    fn status_json(&self, status: &ScopeStatus, answered: usize) -> String {
        let refused: serde_json::Map<_, _> =
            status.refusals().map(|(name, reason)| (name.clone(), reason.as_str().into())).collect();
        let lagging: serde_json::Map<_, _> =
            status.lagging().map(|follower| (follower.name.into(), follower.silent.into())).collect();
        let history: Vec<String> = status.history.iter().map(Version::to_string).collect();
        let report = json!({
            "scope": status.scope,
            "version": status.version,
            "contents": status.contents,
            "acknowledged": status.acknowledged(),
            "refused": refused,
            "behind_and_silent": lagging,
            "kept": history,
            "machines": self.peers.len() + 1,
            "machines_heard": answered,
        });
        report.to_string() + "\n"
    }

    fn status_text(&self, status: &ScopeStatus, answered: usize) -> String {
        let version = status.version.map_or("none".into(), |version| version.to_string());
        let (refused, lagging): (Vec<_>, Vec<_>) = (status.refusals().collect(), status.lagging().collect());
        let mut text = format!("scope         {}\nversion       {version}\n", status.scope);
        // Writing to a String cannot fail.
        let _ = writeln!(text, "machines      {answered} of {} heard", self.peers.len() + 1);
        let _ = writeln!(text, "acknowledged  {}", status.acknowledged());
        let _ = writeln!(text, "refused       {}", refused.len());
        for (name, reason) in refused.iter().take(MAX_NAMES) {
            let _ = writeln!(text, "    {name}: {reason}");
        }
        let _ = writeln!(text, "behind        {}", lagging.len());
        for LaggingFollower { name, silent } in lagging.iter().take(MAX_NAMES) {
            let _ = writeln!(text, "    {name}{}", if *silent { ", silent" } else { "" });
        }
        for (key, value) in &status.contents {
            let _ = writeln!(text, "    {key} = {value}");
        }
        for version in status.history.iter().rev().skip(1) {
            let _ = writeln!(text, "kept          {version}");
        }
        text
    }

    /// The status of this machine as text.
    pub(super) fn machine_status(&self) -> String {
        let scopes = self.store.borrow().summary().len();
        let connections = self.connections.get();
        let mut text = format!("machine       {}\nscopes        {scopes}\n", self.listen);
        // Writing to a String cannot fail.
        let _ = writeln!(text, "connections   {connections} of {}", self.max_connections);
        let _ = writeln!(text, "digest        {:032x}", self.digest());
        for peer in &self.peers {
            let age = peer
                .last_answer_age()
                .map_or("never".into(), |age| format!("{:.1} s ago", age.as_secs_f64()));
            let _ = writeln!(text, "other         {}, answered {age}", peer.address);
        }
        text
    }
}
