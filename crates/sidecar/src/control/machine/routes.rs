//! The HTTP routes of a control machine: parses a call into a typed request and handles it.

use super::Server;
use super::reply::Reply;
use crate::net::http;
use async_io::Async;
use landingspread_control::{ConfigError, Contents, Delta, PublishError, Version};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpStream};
use std::time::SystemTime;

/// A parsed call with its parameters.
enum Request<'a> {
    /// A sidecar's poll, which may wait for a newer version.
    Poll { query: &'a str },
    /// Requests the digest over all versions, for other machines.
    Digest,
    /// Requests the current version of each scope, for other machines.
    Versions,
    /// Requests a scope's current snapshot, for other machines.
    GetSnapshot { scope: Option<&'a str> },
    /// Pushes a snapshot of another machine, whose address is `from`.
    PutSnapshot { from: Option<&'a str> },
    /// Requests the status of this machine.
    MachineStatus,
    /// Publishes an operator's contents, or those of the stored version `target`, in place of the version `base`.
    Publish { scope: &'a str, base: Option<&'a str>, target: Option<&'a str> },
    /// Requests the status of a scope: this machine's if `own`, else merged from all machines that answer.
    ScopeStatus { scope: &'a str, own: bool, json: bool },
}

impl<'a> Request<'a> {
    fn parse(method: &str, target: &'a str, accepts_json: bool) -> Result<Request<'a>, Reply> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
        };
        let scope = path.strip_prefix("/control/v1/scopes/");
        match (method, path, scope) {
            ("GET", "/control/v1/changes", _) => Ok(Request::Poll { query }),
            ("GET", "/control/v1/digest", _) => Ok(Request::Digest),
            ("GET", "/control/v1/versions", _) => Ok(Request::Versions),
            ("GET", "/control/v1/snapshot", _) => Ok(Request::GetSnapshot { scope: parameter("scope") }),
            ("PUT", "/control/v1/snapshot", _) => Ok(Request::PutSnapshot { from: parameter("from") }),
            ("GET", "/control/v1/status", _) => Ok(Request::MachineStatus),
            ("PUT", _, Some(scope)) => {
                Ok(Request::Publish { scope, base: parameter("base"), target: parameter("back") })
            }
            ("GET", _, Some(scope)) => {
                Ok(Request::ScopeStatus { scope, own: parameter("own").is_some(), json: accepts_json })
            }
            (_, "/control/v1/changes" | "/control/v1/status" | "/control/v1/snapshot", _)
            | (_, _, Some(_)) => Err(Reply::error(405, "the call takes another method")),
            _ => Err(Reply::error(404, "no such call")),
        }
    }
}

impl From<PublishError> for Reply {
    fn from(error: PublishError) -> Reply {
        let status = match error {
            PublishError::BaseMismatch(_) => 409,
            PublishError::UnknownVersion(_) => 404,
            PublishError::Config(_) => 400,
            PublishError::TooLong(_) => 413,
            PublishError::TooManyScopes => 507,
        };
        Reply::error(status, &error.to_string())
    }
}

/// Parses an operator's JSON object into contents. Numbers and booleans become texts.
fn parse_contents(body: &[u8]) -> Result<Contents, ConfigError> {
    let entries = serde_json::from_slice::<serde_json::Map<String, Value>>(body);
    let not_an_object = |error| ConfigError::new("body", format_args!("it is no JSON object: {error}"));
    let entry = |(key, value): (String, Value)| match value {
        Value::String(text) => Ok((key, text)),
        Value::Number(_) | Value::Bool(_) => Ok((key, value.to_string())),
        _ => Err(ConfigError::new(&key, "it is no text, figure or flag")),
    };
    entries.map_err(not_an_object)?.into_iter().map(entry).collect()
}

/// Parses the version in `parameter`, the name for the error.
fn parse_version(parameter: &str, text: &str) -> Result<Version, Reply> {
    text.parse::<Version>().map_err(|error| Reply::error(400, &format!("{parameter}: {error}")))
}

/// Parses the version that a publication replaces; `None` for the first version of a scope.
fn parse_base(base: Option<&str>) -> Result<Option<Version>, Reply> {
    match base {
        Some("none") => Ok(None),
        Some(text) => parse_version("base", text).map(Some),
        // The base is mandatory, so that an operator can't overwrite a version without having seen it.
        None => Err(Reply::error(400, "base: a version is wanted, or none for the first")),
    }
}

impl Server {
    /// Handles one call; `None` if the client disconnects while its poll waits.
    pub(super) async fn handle(&self, stream: &Async<TcpStream>, head: &[u8], body: &[u8]) -> Option<Reply> {
        let mut headers = http::empty_headers();
        let mut parsed = httparse::Request::new(&mut headers);
        if parsed.parse(head).is_err() {
            return Some(Reply::error(400, "this is no HTTP/1.1 message"));
        }
        let target = http::path_of_target(parsed.path.unwrap_or(""));
        let accepts_json =
            http::header(parsed.headers, "accept").is_some_and(|text| text.contains("application/json"));
        match Request::parse(parsed.method.unwrap_or(""), target, accepts_json) {
            Err(reply) => Some(reply),
            Ok(Request::Poll { query }) => self.answer_poll(stream, query).await,
            Ok(Request::Digest) => Some(Reply::text(200, format!("{:032x}", self.digest()))),
            Ok(Request::Versions) => Some(self.versions()),
            Ok(Request::GetSnapshot { scope }) => Some(self.get_snapshot(scope)),
            Ok(Request::PutSnapshot { from }) => Some(self.put_snapshot(from, body)),
            Ok(Request::MachineStatus) => Some(Reply::text(200, self.machine_status())),
            Ok(Request::Publish { scope, base, target }) => {
                Some(self.publish(scope, base, target, body).await.unwrap_or_else(|reply| reply))
            }
            Ok(Request::ScopeStatus { scope, own: true, .. }) => Some(self.own_scope_status(scope)),
            Ok(Request::ScopeStatus { scope, own: false, json }) => {
                Some(self.scope_status(scope, json).await)
            }
        }
    }

    fn versions(&self) -> Reply {
        let summary = self.store.borrow().summary();
        Reply::json(200, serde_json::to_string(&summary).unwrap_or_default())
    }

    fn get_snapshot(&self, scope: Option<&str>) -> Reply {
        let store = self.store.borrow();
        match scope.and_then(|scope| store.current(scope)) {
            Some(snapshot) => Reply::json(200, snapshot.full_delta().to_json()),
            None => Reply::error(404, "nothing was published of this scope"),
        }
    }

    fn put_snapshot(&self, from: Option<&str>, body: &[u8]) -> Reply {
        let from = from.and_then(|from| from.parse().ok());
        let from = from.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)));
        match Delta::from_json(body).and_then(|delta| self.merge(delta, from)) {
            Ok(()) => Reply::no_content(),
            Err(error) => Reply::error(400, &error.to_string()),
        }
    }

    async fn publish(
        &self,
        scope: &str,
        base: Option<&str>,
        target: Option<&str>,
        body: &[u8],
    ) -> Result<Reply, Reply> {
        let base = parse_base(base)?;
        let epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs();
        let published = match target {
            None => {
                let contents = parse_contents(body).map_err(|error| Reply::error(400, &error.to_string()))?;
                self.store.borrow_mut().publish(scope, base, contents, epoch)
            }
            Some(text) => {
                let target = parse_version("back", text)?;
                self.store.borrow_mut().roll_back(scope, base, target, epoch)
            }
        };
        let version = published?;
        let machines = self.distribute(scope, version).await;
        Ok(Reply::json(200, json!({"version": version, "machines": machines}).to_string() + "\n"))
    }
}
