//! Clients: threads with one connection each that send requests on a common schedule. The latency of a request counts
//! from its scheduled time, whether or not a connection was free then, so that requests delayed by a slow response are
//! slow too (Tene's "coordinated omission").

use super::message::{HttpMessage, Peer};
use crate::plan::RetrySafety;
use crate::referee::FinalOutcome;
use crate::world::exponential;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const THREAD_STACK_BYTES: usize = 256 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Responses are awaited this long past the time limit of the request.
const RESPONSE_GRACE: Duration = Duration::from_millis(150);

/// A request class as clients send it.
#[derive(Clone, Debug)]
pub struct ClientRequestClass {
    /// Name of the class.
    pub name: String,
    /// Whether a request of the class may run more than once.
    pub retry_safety: RetrySafety,
    /// Share of all requests, relative to the other classes.
    pub share: f64,
    /// Time limit of a request.
    pub time_limit: Duration,
}

/// The requests of a group of clients: where they are sent, which, for how long, and on how many connections.
#[derive(Clone, Debug)]
pub struct ClientPlan {
    /// Addresses that the clients send to.
    pub targets: Vec<SocketAddr>,
    /// Request classes that the clients send.
    pub request_classes: Vec<ClientRequestClass>,
    /// Name and relative share of each tenant.
    pub tenants: Vec<(String, f64)>,
    /// Number of client connections.
    pub connections: usize,
    /// Time during which requests are scheduled.
    pub duration: Duration,
    pub seed: u64,
    /// Distinguishes the request ids of this plan from those of other plans.
    pub id_prefix: String,
    /// Whether a non-idempotent request is sent again if a reused connection ends without a response. The sidecar may
    /// have forwarded the request before.
    pub retry_non_idempotent: bool,
}

/// The rate of all clients together, in requests per second; it can be changed while they run. At 0, each client sends
/// its next request as soon as the previous one is answered.
pub struct RequestRate(AtomicU64);

impl RequestRate {
    /// Creates a rate in requests per second.
    pub fn new(per_second: f64) -> RequestRate {
        RequestRate(AtomicU64::new(per_second.to_bits()))
    }

    /// Changes the rate, in requests per second, also for running clients.
    pub fn set(&self, per_second: f64) {
        self.0.store(per_second.to_bits(), Ordering::Relaxed);
    }

    fn per_second(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed))
    }
}

/// A finished request as its client saw it. Times count from the start of the schedule.
pub struct CompletedRequest<'a> {
    pub request_id: &'a str,
    pub request_class: usize,
    pub tenant: usize,
    /// Scheduled time of the request.
    pub intended: Duration,
    /// When a connection was free for the request.
    pub sent: Duration,
    pub ended: Duration,
    pub outcome: FinalOutcome,
    /// What happened to a lost request for which there was a connection.
    pub lost_reason: Option<&'static str>,
    /// The address that was tried last.
    pub target: SocketAddr,
}

/// Creates the callback of a client thread, in that thread; the callback gets each finished request of the thread.
pub type Observer<'a> = &'a (dyn Fn() -> Box<dyn FnMut(&CompletedRequest) + 'a> + Sync);

struct Schedule {
    next: Duration,
    rng: ChaCha8Rng,
}

struct Shared<'a> {
    plan: &'a ClientPlan,
    rate: &'a RequestRate,
    stop: &'a AtomicBool,
    schedule: Mutex<Schedule>,
    start: Instant,
}

/// Sends requests until the plan's duration is over or `stop` is set, and returns when all of them are finished.
pub fn run(plan: &ClientPlan, rate: &RequestRate, stop: &AtomicBool, start: Instant, observer: Observer) {
    let rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let schedule = Mutex::new(Schedule { next: start.elapsed(), rng });
    let shared = Shared { plan, rate, stop, schedule, start };
    thread::scope(|scope| {
        for number in 0..plan.connections {
            let shared = &shared;
            let run_client = move || shared.run_client(number, observer());
            // Without memory for a thread there are fewer connections, which shows in the latencies from the scheduled
            // times.
            let _ = thread::Builder::new().stack_size(THREAD_STACK_BYTES).spawn_scoped(scope, run_client);
        }
    });
}

impl Shared<'_> {
    /// The scheduled time, the request class and the tenant of the next request.
    fn next_request(&self) -> (Duration, usize, usize) {
        let mut schedule = self.schedule.lock().unwrap_or_else(PoisonError::into_inner);
        let per_second = self.rate.per_second();
        let now = self.start.elapsed();
        if per_second > 0.0 {
            let gap = exponential(&mut schedule.rng) / per_second;
            schedule.next += Duration::from_secs_f64(gap.min(10.0));
        } else {
            schedule.next = now;
        }
        let (request_class, tenant) = (schedule.rng.random(), schedule.rng.random());
        let request_class = crate::world::weighted_index(
            self.plan.request_classes.iter().map(|class| class.share),
            request_class,
        );
        let tenant = crate::world::weighted_index(self.plan.tenants.iter().map(|(_, share)| *share), tenant);
        (schedule.next, request_class, tenant)
    }

    fn is_over(&self) -> bool {
        self.stop.load(Ordering::Relaxed) || self.start.elapsed() >= self.plan.duration
    }

    fn run_client(&self, number: usize, mut observer: Box<dyn FnMut(&CompletedRequest) + '_>) {
        let mut conn: Option<Peer> = None;
        let mut target_number = number;
        let mut count = 0u64;
        while !self.is_over() {
            let (intended, request_class, tenant) = self.next_request();
            while self.start.elapsed() < intended && !self.is_over() {
                thread::sleep((intended.saturating_sub(self.start.elapsed())).min(Duration::from_millis(50)));
            }
            if self.is_over() || intended >= self.plan.duration {
                return;
            }
            count += 1;
            let request_id = format!("{}{number}x{count}", self.plan.id_prefix);
            let deadline = intended + self.plan.request_classes[request_class].time_limit;
            let sent = self.start.elapsed();
            let (outcome, lost_reason) = self.send_request(
                &request_id,
                request_class,
                tenant,
                deadline,
                &mut conn,
                &mut target_number,
            );
            let ended = self.start.elapsed();
            let target = self.plan.targets[target_number % self.plan.targets.len()];
            observer(&CompletedRequest {
                request_id: &request_id,
                request_class,
                tenant,
                intended,
                sent,
                ended,
                outcome,
                lost_reason,
                target,
            });
        }
    }

    fn request_bytes(
        &self,
        request_id: &str,
        request_class: usize,
        tenant: usize,
        remaining: Duration,
    ) -> String {
        let ClientRequestClass { name, retry_safety, .. } = &self.plan.request_classes[request_class];
        let tenant = self.plan.tenants.get(tenant).map_or("", |(name, _)| name.as_str());
        let remaining = remaining.as_millis().max(1);
        let common = format!(
            "Host: lab\r\nX-Trace-Id: {request_id}\r\nX-Customer: {tenant}\r\nX-Expires-In-Ms: {remaining}\r\n"
        );
        match retry_safety {
            RetrySafety::Idempotent => format!("GET /{name} HTTP/1.1\r\n{common}\r\n"),
            RetrySafety::NonIdempotent => {
                format!("POST /{name} HTTP/1.1\r\n{common}Content-Length: 4\r\n\r\nbody")
            }
            _ => format!(
                "POST /{name} HTTP/1.1\r\n{common}Idempotency-Key: k{request_id}\r\nContent-Length: 4\r\n\r\nbody"
            ),
        }
    }

    /// Sends a request and waits for its response until the time limit.
    fn send_request(
        &self,
        request_id: &str,
        request_class: usize,
        tenant: usize,
        deadline: Duration,
        conn: &mut Option<Peer>,
        target_number: &mut usize,
    ) -> (FinalOutcome, Option<&'static str>) {
        // Once for a reused connection that was closed meanwhile, and once for each target that may be down.
        for _ in 0..=self.plan.targets.len() {
            let remaining = deadline.saturating_sub(self.start.elapsed());
            if remaining.is_zero() {
                return (FinalOutcome::Lost, None);
            }
            // A connection that was closed while idle has carried nothing of this request: it is replaced by a new one.
            conn.take_if(|peer| peer.is_closed());
            let reused = conn.is_some();
            let address = self.plan.targets[*target_number % self.plan.targets.len()];
            let Some(mut peer) = conn
                .take()
                .or_else(|| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok().map(Peer::new))
            else {
                *target_number += 1;
                continue;
            };
            peer.set_read_timeout(Some(remaining + RESPONSE_GRACE));
            let response = peer
                .write(self.request_bytes(request_id, request_class, tenant, remaining).as_bytes())
                .and_then(|()| peer.read_response());
            match response {
                Ok(response) => {
                    let outcome = Self::outcome(&response);
                    let closes =
                        response.header("connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
                    *conn = (!closes).then_some(peer);
                    return (outcome, None);
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return (FinalOutcome::Lost, Some("no final answer in time"));
                }
                Err(_) if reused && self.may_send_again(request_class) => {}
                Err(_) => return (FinalOutcome::Lost, Some("its connection ended with no answer")),
            }
        }
        (FinalOutcome::Lost, None)
    }

    fn may_send_again(&self, request_class: usize) -> bool {
        self.plan.retry_non_idempotent
            || self.plan.request_classes[request_class].retry_safety != RetrySafety::NonIdempotent
    }

    fn outcome(response: &HttpMessage) -> FinalOutcome {
        match response.status() {
            Some(200) => FinalOutcome::Answered,
            Some(429 | 503) => FinalOutcome::Declined,
            _ => FinalOutcome::Terminated,
        }
    }
}
