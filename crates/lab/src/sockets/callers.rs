//! Callers: threads with one connection each, that send what a schedule intends. A command's time counts from the
//! moment it was meant to be sent, whether or not a connection was free then: what a slow answer keeps waiting is
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

const STACK: usize = 256 << 10;
const DIAL: Duration = Duration::from_millis(200);
/// How much later than its limit an answer is still waited for.
const SLACK: Duration = Duration::from_millis(150);

/// A verb as callers ask it.
#[derive(Clone, Debug)]
pub struct ClientRequestClass {
    pub name: String,
    pub retry_safety: RetrySafety,
    pub share: f64,
    pub time_limit: Duration,
}

#[derive(Clone, Debug)]
pub struct ClientPlan {
    pub targets: Vec<SocketAddr>,
    pub request_classes: Vec<ClientRequestClass>,
    pub tenants: Vec<(String, f64)>,
    pub connections: usize,
    pub duration: Duration,
    pub seed: u64,
    /// Names this plan's commands apart from others'.
    pub id_prefix: String,
    /// Whether an effectful command is asked again where a kept connection ends under it: its copy may have sent it on.
    pub retry_non_idempotent: bool,
}

/// How fast they send; it can be changed while they do. 0: each sends again as soon as it is answered.
pub struct RequestRate(AtomicU64);

impl RequestRate {
    pub fn new(per_s: f64) -> RequestRate {
        RequestRate(AtomicU64::new(per_s.to_bits()))
    }

    pub fn set(&self, per_s: f64) {
        self.0.store(per_s.to_bits(), Ordering::Relaxed);
    }

    fn per_s(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed))
    }
}

/// A command's end as its caller saw it.
pub struct CompletedRequest<'a> {
    pub request_id: &'a str,
    pub request_class: usize,
    pub tenant: usize,
    /// Since the start of the schedule.
    pub intended: Duration,
    /// When its caller had a connection free for it.
    pub sent: Duration,
    pub ended: Duration,
    pub outcome: FinalOutcome,
    /// Why it is lost, where it is.
    pub lost_reason: Option<&'static str>,
    /// Whom it was asked of last.
    pub target: SocketAddr,
}

/// What a thread tells of each command; made in that thread.
pub type Observer<'a> = &'a (dyn Fn() -> Box<dyn FnMut(&CompletedRequest) + 'a> + Sync);

struct Schedule {
    next: Duration,
    rng: ChaCha8Rng,
}

struct Shared<'a> {
    plan: &'a ClientPlan,
    pace: &'a RequestRate,
    stop: &'a AtomicBool,
    schedule: Mutex<Schedule>,
    began: Instant,
}

/// Sends until the plan's length is over or `stop` is set, and comes back when all have their ends.
pub fn run(plan: &ClientPlan, pace: &RequestRate, stop: &AtomicBool, began: Instant, watch: Observer) {
    let rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let schedule = Mutex::new(Schedule { next: began.elapsed(), rng });
    let shared = Shared { plan, pace, stop, schedule, began };
    thread::scope(|scope| {
        for number in 0..plan.connections {
            let shared = &shared;
            let talk = move || shared.talk(number, watch());
            // Without memory for a thread there are fewer connections, and the figures say so by their lateness.
            let _ = thread::Builder::new().stack_size(STACK).spawn_scoped(scope, talk);
        }
    });
}

impl Shared<'_> {
    /// When the next command is meant to be sent, what, and by whom.
    fn next(&self) -> (Duration, usize, usize) {
        let mut schedule = self.schedule.lock().unwrap_or_else(PoisonError::into_inner);
        let per_s = self.pace.per_s();
        let now = self.began.elapsed();
        if per_s > 0.0 {
            let gap = exponential(&mut schedule.rng) / per_s;
            schedule.next += Duration::from_secs_f64(gap.min(10.0));
        } else {
            schedule.next = now;
        }
        let (verb, tenant) = (schedule.rng.random(), schedule.rng.random());
        let verb =
            crate::world::weighted_index(self.plan.request_classes.iter().map(|verb| verb.share), verb);
        let tenant = crate::world::weighted_index(self.plan.tenants.iter().map(|(_, share)| *share), tenant);
        (schedule.next, verb, tenant)
    }

    fn over(&self) -> bool {
        self.stop.load(Ordering::Relaxed) || self.began.elapsed() >= self.plan.duration
    }

    fn talk(&self, number: usize, mut watch: Box<dyn FnMut(&CompletedRequest) + '_>) {
        let mut conn: Option<Peer> = None;
        let mut target = number;
        let mut count = 0u64;
        while !self.over() {
            let (intended, verb, tenant) = self.next();
            while self.began.elapsed() < intended && !self.over() {
                thread::sleep((intended.saturating_sub(self.began.elapsed())).min(Duration::from_millis(50)));
            }
            if self.over() || intended >= self.plan.duration {
                return;
            }
            count += 1;
            let cmd = format!("{}{number}x{count}", self.plan.id_prefix);
            let until = intended + self.plan.request_classes[verb].time_limit;
            let sent = self.began.elapsed();
            let (word, lost) = self.ask(&cmd, verb, tenant, until, &mut conn, &mut target);
            let ended = self.began.elapsed();
            let to = self.plan.targets[target % self.plan.targets.len()];
            watch(&CompletedRequest {
                request_id: &cmd,
                request_class: verb,
                tenant,
                intended,
                sent,
                ended,
                outcome: word,
                lost_reason: lost,
                target: to,
            });
        }
    }

    fn bytes(&self, cmd: &str, verb: usize, tenant: usize, left: Duration) -> String {
        let ClientRequestClass { name, retry_safety, .. } = &self.plan.request_classes[verb];
        let tenant = self.plan.tenants.get(tenant).map_or("", |(name, _)| name.as_str());
        let left = left.as_millis().max(1);
        let common =
            format!("Host: lab\r\nX-Trace-Id: {cmd}\r\nX-Customer: {tenant}\r\nX-Expires-In-Ms: {left}\r\n");
        match retry_safety {
            RetrySafety::Idempotent => format!("GET /{name} HTTP/1.1\r\n{common}\r\n"),
            RetrySafety::NonIdempotent => {
                format!("POST /{name} HTTP/1.1\r\n{common}Content-Length: 4\r\n\r\nbody")
            }
            _ => format!(
                "POST /{name} HTTP/1.1\r\n{common}Idempotency-Key: k{cmd}\r\nContent-Length: 4\r\n\r\nbody"
            ),
        }
    }

    fn ask(
        &self,
        cmd: &str,
        verb: usize,
        tenant: usize,
        until: Duration,
        conn: &mut Option<Peer>,
        target: &mut usize,
    ) -> (FinalOutcome, Option<&'static str>) {
        // Once for a kept connection that was closed meanwhile, and once for each copy that may be gone.
        for _ in 0..=self.plan.targets.len() {
            let left = until.saturating_sub(self.began.elapsed());
            if left.is_zero() {
                return (FinalOutcome::Lost, None);
            }
            // One that its copy closed while it was idle has carried nothing of this command: a client dials anew.
            conn.take_if(|peer| peer.is_closed());
            let kept = conn.is_some();
            let to = self.plan.targets[*target % self.plan.targets.len()];
            let Some(mut peer) =
                conn.take().or_else(|| TcpStream::connect_timeout(&to, DIAL).ok().map(Peer::new))
            else {
                *target += 1;
                continue;
            };
            peer.set_read_timeout(Some(left + SLACK));
            let heard = peer
                .write(self.bytes(cmd, verb, tenant, left).as_bytes())
                .and_then(|()| peer.read_response());
            match heard {
                Ok(heard) => {
                    let word = Self::word(&heard);
                    let ends =
                        heard.header("connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
                    *conn = (!ends).then_some(peer);
                    return (word, None);
                }
                Err(wrong) if matches!(wrong.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return (FinalOutcome::Lost, Some("no final answer in time"));
                }
                Err(_) if kept && self.may_ask_again(verb) => {}
                Err(_) => return (FinalOutcome::Lost, Some("its connection ended with no answer")),
            }
        }
        (FinalOutcome::Lost, None)
    }

    fn may_ask_again(&self, verb: usize) -> bool {
        self.plan.retry_non_idempotent
            || self.plan.request_classes[verb].retry_safety != RetrySafety::NonIdempotent
    }

    fn word(heard: &HttpMessage) -> FinalOutcome {
        match heard.status() {
            Some(200) => FinalOutcome::Answered,
            Some(429 | 503) => FinalOutcome::Declined,
            _ => FinalOutcome::Terminated,
        }
    }
}
