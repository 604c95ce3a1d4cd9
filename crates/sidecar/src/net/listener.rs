//! Opens the listener for clients: an inherited one, or one bound at the configured address.

use super::local_failure::{FailureCause, FailureLog, failure_cause};
use crate::configuration::Configuration;
use crate::handover;
use async_io::{Async, Timer};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// How long binding is retried, as an earlier process may still hold the address.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the inherited listener, which all processes of the sidecar share, or binds one for this process.
pub(super) async fn open(configuration: &Configuration) -> io::Result<Async<TcpListener>> {
    match handover::inherited_listener(configuration.inherited_listener, configuration.listen) {
        Some(listener) => Async::new(listener),
        None => bind(configuration.listen).await,
    }
}

/// Binds the address. For up to `BIND_TIMEOUT` it retries if the address is in use or this machine lacks resources: an
/// earlier process may not have ended yet, and a shortage may pass.
async fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let started_at = Instant::now();
    let failures = FailureLog::default();
    loop {
        let error = match Async::<TcpListener>::bind(address) {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        let may_pass =
            error.kind() == io::ErrorKind::AddrInUse || failure_cause(&error) != FailureCause::Remote;
        if !may_pass || started_at.elapsed() >= BIND_TIMEOUT {
            return Err(io::Error::new(error.kind(), format!("{address}: {error}")));
        }
        failures.record("listen", &error);
        Timer::after(BIND_RETRY_INTERVAL).await;
    }
}
