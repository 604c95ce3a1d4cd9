//! A machine's calls as text: what a message asks for, and what is said to it.

use super::super::call::Line;
use super::Machine;
use crate::clock::unix_time;
use crate::net::http;
use async_io::Async;
use landingspread_control::{Change, Contents, Fault, Rejected, Standing, Version};
use serde_json::{Value, json};
use std::fmt::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long other machines have to tell whom they know.
const OTHERS_WITHIN: Duration = Duration::from_millis(800);
/// Buffers for whom one machine knows of a scope.
const STANDING: usize = 256;
/// Names in a text; JSON has all of them.
const NAMES_MOST: usize = 50;

pub struct Said {
    pub status: u16,
    pub body: String,
    json: bool,
}

pub fn turned(status: u16, why: &str) -> Said {
    Said::text(status, format!("no: {why}\n"))
}

impl Said {
    pub fn text(status: u16, body: String) -> Said {
        Said { status, body, json: false }
    }

    pub fn json(status: u16, body: String) -> Said {
        Said { status, body, json: true }
    }

    pub fn nothing() -> Said {
        Said::text(204, String::new())
    }

    pub fn head(&self, keep: bool) -> Vec<u8> {
        let (status, reason, length) = (self.status, http::reason(self.status), self.body.len());
        let end = if keep { "" } else { "Connection: close\r\n" };
        if status == 204 {
            return format!("HTTP/1.1 204 {reason}\r\n{end}\r\n").into_bytes();
        }
        let kind = if self.json { "application/json" } else { "text/plain" };
        let head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\n");
        format!("{head}Content-Length: {length}\r\n{end}\r\n").into_bytes()
    }
}

fn rejected(rejected: &Rejected) -> Said {
    let status = match rejected {
        Rejected::Base(_) => 409,
        Rejected::Unknown(_) => 404,
        Rejected::Fault(_) => 400,
        Rejected::Full => 507,
    };
    turned(status, &rejected.to_string())
}

/// Texts by key; figures and flags are texts too.
fn contents(body: &[u8]) -> Result<Contents, Fault> {
    let read = serde_json::from_slice::<serde_json::Map<String, Value>>(body);
    let keys = read.map_err(|wrong| Fault::of("body", format_args!("it is no JSON object: {wrong}")))?;
    let text = |(key, value): (String, Value)| match value {
        Value::String(text) => Ok((key, text)),
        Value::Number(_) | Value::Bool(_) => Ok((key, value.to_string())),
        _ => Err(Fault::of(&key, "it is no text, figure or flag")),
    };
    keys.into_iter().map(text).collect()
}

impl Machine {
    /// None where the other side has left meanwhile.
    pub(super) async fn answer(&self, stream: &Async<TcpStream>, head: &[u8], body: &[u8]) -> Option<Said> {
        let mut headers = http::no_headers();
        let mut cmd = httparse::Request::new(&mut headers);
        if cmd.parse(head).is_err() {
            return Some(turned(400, "this is no HTTP/1.1 message"));
        }
        let method = cmd.method.unwrap_or("");
        let path = http::path_of(cmd.path.unwrap_or(""));
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let json = http::header(cmd.headers, "accept").is_some_and(|text| text.contains("application/json"));
        let part = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_string()).next()
        };
        let scope = path.strip_prefix("/control/v1/scopes/");
        Some(match (method, path, scope) {
            ("GET", "/control/v1/changes", _) => return self.changes(stream, query).await,
            ("GET", "/control/v1/digest", _) => Said::text(200, format!("{:032x}", self.digest())),
            ("GET", "/control/v1/versions", _) => {
                Said::json(200, serde_json::to_string(&self.board.borrow().summary()).unwrap_or_default())
            }
            ("GET", "/control/v1/snapshot", _) => {
                let board = self.board.borrow();
                match part("scope").and_then(|scope| Some(board.holds(&scope)?.whole())) {
                    Some(change) => Said::json(200, change.text()),
                    None => turned(404, "nothing was published of this scope"),
                }
            }
            ("PUT", "/control/v1/snapshot", _) => {
                let from = part("from").and_then(|from| from.parse().ok());
                let from = from.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)));
                match Change::read(body).and_then(|change| self.merge(change, from)) {
                    Ok(()) => Said::nothing(),
                    Err(unfit) => turned(400, &unfit.to_string()),
                }
            }
            ("GET", "/control/v1/status", _) => Said::text(200, self.status()),
            ("PUT", _, Some(scope)) => self.publish(scope, part("base"), part("back"), body).await,
            ("GET", _, Some(scope)) => self.standing(scope, part("own").is_some(), json).await,
            (_, "/control/v1/changes" | "/control/v1/status" | "/control/v1/snapshot", _)
            | (_, _, Some(_)) => turned(405, "the call takes another method"),
            _ => turned(404, "no such call"),
        })
    }

    async fn publish(&self, scope: &str, base: Option<String>, back: Option<String>, body: &[u8]) -> Said {
        // Nobody may publish over what he has not seen: a first version says so.
        let base = match base.as_deref() {
            Some("none") => None,
            Some(text) => match text.parse::<Version>() {
                Ok(version) => Some(version),
                Err(wrong) => return turned(400, &format!("base: {wrong}")),
            },
            None => return turned(400, "base: a version is wanted, or none for the first"),
        };
        let epoch = unix_time().as_secs();
        let done = match back {
            None => match contents(body) {
                Ok(contents) => self.board.borrow_mut().publish(scope, base, contents, epoch),
                Err(fault) => return turned(400, &fault.to_string()),
            },
            Some(text) => match text.parse::<Version>() {
                Ok(back) => self.board.borrow_mut().go_back(scope, base, back, epoch),
                Err(wrong) => return turned(400, &format!("back: {wrong}")),
            },
        };
        match done {
            Ok(version) => {
                let machines = self.published(scope, version).await;
                Said::json(200, json!({"version": version, "machines": machines}).to_string() + "\n")
            }
            Err(why) => rejected(&why),
        }
    }

    async fn standing(&self, scope: &str, own: bool, json: bool) -> Said {
        let known = self.board.borrow().standing(self.clock.now(), scope);
        if own {
            return match known {
                Some(standing) => Said::json(200, serde_json::to_string(&standing).unwrap_or_default()),
                None => turned(404, "nobody asked for this scope here"),
            };
        }
        let (mut standing, mut heard) = (known, 1);
        let head = format!("GET /control/v1/scopes/{scope}?own=1");
        for peer in self.peers.iter().filter(|peer| peer.answers()) {
            let asked =
                Line::default().call(peer.address, &head, b"", &self.stock, STANDING, OTHERS_WITHIN).await;
            let Ok((status, bytes)) = asked else { continue };
            heard += 1;
            let theirs = serde_json::from_slice::<Standing>(&bytes).ok().filter(|_| status == 200);
            standing = match (standing, theirs) {
                (Some(mut mine), Some(theirs)) => {
                    mine.join(theirs);
                    Some(mine)
                }
                (mine, theirs) => mine.or(theirs),
            };
        }
        match standing {
            None => turned(404, "nobody published or asked for this scope"),
            Some(standing) if json => Said::json(200, self.in_json(&standing, heard)),
            Some(standing) => Said::text(200, self.in_text(&standing, heard)),
        }
    }

    fn in_json(&self, standing: &Standing, heard: usize) -> String {
        let refused: serde_json::Map<_, _> =
            standing.refused().map(|(name, why)| (name.clone(), why.as_str().into())).collect();
        let behind: serde_json::Map<_, _> =
            standing.behind().map(|(name, silent)| (name.clone(), silent.into())).collect();
        let kept: Vec<String> = standing.kept.iter().map(Version::to_string).collect();
        let told = json!({"scope": standing.scope, "version": standing.version, "contents": standing.contents,
            "acknowledged": standing.acknowledged(), "refused": refused, "behind_and_silent": behind,
            "kept": kept, "machines": self.peers.len() + 1, "machines_heard": heard});
        told.to_string() + "\n"
    }

    fn in_text(&self, standing: &Standing, heard: usize) -> String {
        let version = standing.version.map_or("none".into(), |version| version.to_string());
        let (refused, behind): (Vec<_>, Vec<_>) = (standing.refused().collect(), standing.behind().collect());
        let mut text = format!("scope         {}\nversion       {version}\n", standing.scope);
        // Writing to a String cannot fail.
        let _ = writeln!(text, "machines      {heard} of {} heard", self.peers.len() + 1);
        let _ = writeln!(text, "acknowledged  {}", standing.acknowledged());
        let _ = writeln!(text, "refused       {}", refused.len());
        for (name, why) in refused.iter().take(NAMES_MOST) {
            let _ = writeln!(text, "    {name}: {why}");
        }
        let _ = writeln!(text, "behind        {}", behind.len());
        for (name, silent) in behind.iter().take(NAMES_MOST) {
            let _ = writeln!(text, "    {name}{}", if *silent { ", silent" } else { "" });
        }
        for (key, value) in &standing.contents {
            let _ = writeln!(text, "    {key} = {value}");
        }
        for kept in standing.kept.iter().rev().skip(1) {
            let _ = writeln!(text, "kept          {kept}");
        }
        text
    }

    fn status(&self) -> String {
        let scopes = self.board.borrow().summary().len();
        let connections = self.connections.get();
        let mut text = format!("machine       {}\nscopes        {scopes}\n", self.listen);
        let _ = writeln!(text, "connections   {connections} of {}", self.connections_most);
        let _ = writeln!(text, "digest        {:032x}", self.digest());
        for peer in &self.peers {
            let age = peer.age().map_or("never".into(), |age| format!("{:.1} s ago", age.as_secs_f64()));
            let _ = writeln!(text, "other         {}, answered {age}", peer.address);
        }
        text
    }
}
