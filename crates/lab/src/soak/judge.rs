//! Judges a run by what was seen in it: the rules that sidecars keep whatever happens, as the operators' pages give them,
//! with a little more time for the rig's own threads.

use super::plan::Plan;
use super::processes::terms;
use super::record::{Asked, Attempt, Effect, End, ListChange, Seen, Signal};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// What the rig's own threads may be late by.
const RIG: Duration = Duration::from_millis(150);
/// An answer may come so long past its time.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// No attempt begins so long after its client left.
const LEFT_SLACK: Duration = Duration::from_millis(100);
/// The deadline passed on may be so much more than is left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// A client that stops is owed a word by then.
const STALLED: Duration = Duration::from_secs(3);
/// A change counts as told by then.
const TOLD: Duration = Duration::from_secs(6);
/// A request that crosses the end of a kept connection is sent again: the end of a process takes so long at most.
const ENDING: Duration = Duration::from_secs(5);
/// New connections go on coming so long after SIGTERM, and are owed their answers.
const COMING: Duration = Duration::from_millis(400);

/// A rule of the soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request that was read has its answer, in time.
    Answer,
    /// An answer was made for its request.
    OwnAnswer,
    /// No effect twice, nor one after a refusal.
    Effect,
    /// No attempt beside another where that is not allowed.
    OneAtATime,
    /// A keyed request is repeated only in its group and window.
    Repeat,
    /// Nothing begins for a client that has gone.
    Gone,
    /// The deadline passed on.
    Deadline,
    /// Nothing new to a server that drains.
    Drain,
    /// Slow start, for the sum of all processes.
    SlowStart,
    /// Clients that stop are told.
    Stalled,
    /// No process crashes, hangs in its start or its end, or counts a violated invariant.
    Process,
}

/// One broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub at: Duration,
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: {}", self.rule, self.at.as_secs_f64(), self.what)
    }
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Verdict {
    pub violations: Vec<Violation>,
    pub requests: usize,
    pub attempts: usize,
    pub answered: usize,
    pub refused: usize,
    pub failed: usize,
    pub left: usize,
    /// Requests whose connection ended under them, by the end of a process or a crowd.
    pub crossed: usize,
    pub faults: usize,
}

/// Judges a run; `crashes` is what the processes themselves said.
pub fn judge(plan: &Plan, seen: &Seen, crashes: Vec<String>) -> Verdict {
    let warm_rate = seen.attempts.len() as f64 / plan.servers as f64 / plan.length.as_secs_f64();
    let capacity = terms::ROOM * warm_rate;
    let mut judge = Judge { seen, capacity, attempts: BTreeMap::new(), violations: Vec::new() };
    for attempt in &seen.attempts {
        judge.attempts.entry(&attempt.request).or_default().push(attempt);
    }
    for what in crashes {
        judge.broken(Rule::Process, plan.length, what);
    }
    seen.asked.iter().for_each(|asked| judge.one(asked));
    judge.stalled();
    judge.drains();
    judge.slow_starts();
    let count = |end: &dyn Fn(&Asked) -> bool| seen.asked.iter().filter(|asked| end(asked)).count();
    let status = |asked: &Asked| match asked.end {
        End::Answered { status, .. } => Some(status),
        _ => None,
    };
    Verdict {
        requests: seen.asked.len(),
        attempts: seen.attempts.len(),
        answered: count(&|asked| status(asked) == Some(200)),
        refused: count(&|asked| matches!(status(asked), Some(429 | 503))),
        failed: count(&|asked| status(asked).is_some_and(|status| !matches!(status, 200 | 429 | 503))),
        left: count(&|asked| asked.end == End::Left),
        crossed: count(&|asked| matches!(asked.end, End::ConnectionEnded { .. })),
        faults: seen.troubles.len(),
        violations: judge.violations,
    }
}

struct Judge<'a> {
    seen: &'a Seen,
    /// What a warm server can do in a second.
    capacity: f64,
    /// By request, in the order in which they began.
    attempts: BTreeMap<&'a str, Vec<&'a Attempt>>,
    violations: Vec<Violation>,
}

impl<'a> Judge<'a> {
    fn broken(&mut self, rule: Rule, at: Duration, what: String) {
        self.violations.push(Violation { rule, at, what });
    }

    /// The last such signal to this sidecar before then.
    fn last(&self, sidecar: usize, signal: Signal, before: Duration) -> Option<Duration> {
        let signals = self.seen.signals.iter();
        let of = signals.filter(|(at, to, kind)| *to == sidecar && *kind == signal && *at <= before);
        of.map(|(at, ..)| *at).next_back()
    }

    /// Killed outright between these moments.
    fn killed(&self, sidecar: usize, from: Duration, to: Duration) -> bool {
        self.last(sidecar, Signal::Kill, to + RIG).is_some_and(|at| at + RIG >= from)
    }

    /// Told to end so shortly before then.
    fn ending(&self, sidecar: usize, at: Duration) -> Option<Duration> {
        self.last(sidecar, Signal::Term, at + RIG).filter(|told| *told + ENDING >= at)
    }

    fn crowded(&self, sidecar: usize, at: Duration) -> bool {
        let came = self.last(sidecar, Signal::Crowd, at + RIG);
        let left = self.last(sidecar, Signal::CrowdLeft, at);
        came.is_some_and(|came| left.is_none_or(|left| left < came || at < left + ENDING))
    }

    /// How long the sidecar was held up in this time, at most.
    fn paused(&self, sidecar: usize, from: Duration, to: Duration) -> Duration {
        let stopped = self.last(sidecar, Signal::Stop, to).filter(|at| *at + ENDING >= from);
        let Some(stopped) = stopped else { return Duration::ZERO };
        let went_on = self
            .seen
            .signals
            .iter()
            .find(|(at, to, kind)| *to == sidecar && *kind == Signal::Cont && *at >= stopped);
        went_on.map_or(to, |(at, ..)| *at).saturating_sub(stopped)
    }

    fn one(&mut self, asked: &'a Asked) {
        let attempts: Vec<&Attempt> = self.attempts.get(asked.request.as_str()).cloned().unwrap_or_default();
        self.answered(asked, &attempts);
        self.effects(asked, &attempts);
        self.timely(asked, &attempts);
    }

    fn answered(&mut self, asked: &Asked, attempts: &[&Attempt]) {
        let Asked { request, sidecar, written, limit, ended, .. } = asked;
        let killed = self.killed(*sidecar, *written, *ended);
        let who = format!("{request} at n{sidecar}, written at {:.3} s", written.as_secs_f64());
        match &asked.end {
            End::Answered { own_body: false, .. } => {
                self.broken(Rule::OwnAnswer, *ended, format!("{who}: an answer made for another"));
            }
            End::Answered { status, .. } => {
                let held_up = self.paused(*sidecar, *written, *ended);
                if *ended > *written + *limit + ANSWER_SLACK + RIG + held_up {
                    let late = (*ended - *written - *limit).as_secs_f64();
                    self.broken(Rule::Answer, *ended, format!("{who}: {status}, {late:.3} s past its time"));
                }
            }
            End::NoAnswer if !killed => self.broken(Rule::Answer, *ended, format!("{who}: no answer")),
            End::ConnectionEnded { answer_begun: false } if !killed => {
                let ending = self.ending(*sidecar, *ended);
                // It was not read, or it was read and lost. What was sent on was read.
                let crossed = match ending {
                    Some(told) => asked.kept || asked.connected > told + COMING,
                    None => self.crowded(*sidecar, *ended),
                };
                if !crossed || !attempts.is_empty() {
                    let sent = attempts.len();
                    let what =
                        format!("{who}, kept: {}: closed with no answer, sent on {sent} times", asked.kept);
                    self.broken(Rule::Answer, *ended, what);
                }
            }
            _ => {}
        }
    }

    fn effects(&mut self, asked: &Asked, attempts: &[&Attempt]) {
        let ran: Vec<&&Attempt> = attempts.iter().filter(|attempt| attempt.ran).collect();
        let who = format!("{} at n{}", asked.request, asked.sidecar);
        if asked.effect == Effect::AtMostOnce && ran.len() > 1 {
            self.broken(Rule::Effect, ran[1].began, format!("{who}: it ran {} times", ran.len()));
        }
        let refused = matches!(asked.end, End::Answered { status: 429 | 503, .. });
        let one_group = terms::scope(asked.sidecar) != "all";
        let harmful =
            asked.effect == Effect::AtMostOnce || (asked.effect == Effect::Deduplicated && one_group);
        if refused && harmful && !ran.is_empty() {
            self.broken(Rule::Effect, ran[0].began, format!("{who}: it ran, and was refused"));
        }
        if asked.effect == Effect::Deduplicated
            && let Some((first, further)) = ran.split_first()
        {
            for attempt in further {
                let same = match terms::scope(asked.sidecar) {
                    "all" => true,
                    "zone" => attempt.zone == first.zone,
                    _ => attempt.cell == first.cell,
                };
                let late = attempt.began > first.began + terms::WINDOW + RIG;
                if !same || late {
                    let what =
                        format!("{who}: repeated at {}, same group: {same}, late: {late}", attempt.server);
                    self.broken(Rule::Repeat, attempt.began, what);
                }
            }
        }
        if !terms::parallel(asked.sidecar) {
            for pair in attempts.windows(2) {
                if pair[0].ended.is_some_and(|ended| pair[1].began + RIG < ended) {
                    let what = format!("{who}: at {} beside {}", pair[1].server, pair[0].server);
                    self.broken(Rule::OneAtATime, pair[1].began, what);
                }
            }
        }
    }

    fn timely(&mut self, asked: &Asked, attempts: &[&Attempt]) {
        let gone = (asked.end == End::Left).then_some(asked.ended);
        for attempt in attempts {
            let who = format!("{} at n{} to {}", asked.request, asked.sidecar, attempt.server);
            let held_up = self.paused(asked.sidecar, asked.written, attempt.began);
            if let Some(gone) = gone.filter(|gone| attempt.began > *gone + LEFT_SLACK + RIG + held_up) {
                let late = (attempt.began - gone).as_secs_f64();
                self.broken(Rule::Gone, attempt.began, format!("{who}: {late:.3} s after its client left"));
            }
            let left = (asked.written + asked.limit).saturating_sub(attempt.began);
            let told = Duration::from_millis(attempt.told_ms.unwrap_or(u64::from(u32::MAX)));
            if told > left + DEADLINE_SLACK + RIG / 3 + held_up {
                let what = format!("{who}: told {told:?}, {left:?} were left");
                self.broken(Rule::Deadline, attempt.began, what);
            }
        }
    }

    fn stalled(&mut self) {
        for stalled in &self.seen.stalled {
            let until = stalled.since + STALLED + RIG;
            let ended = stalled.told.unwrap_or(until + RIG);
            let held_up = self.paused(stalled.sidecar, stalled.since, until);
            if ended > until + held_up && !self.killed(stalled.sidecar, stalled.since, ended) {
                let what = format!("n{}: told {:?}", stalled.sidecar, stalled.told);
                self.broken(Rule::Stalled, stalled.since, what);
            }
        }
    }

    /// Until when discovery could not be reached, if that was so between these moments.
    fn reachable_again(&self, from: Duration, to: Duration) -> Duration {
        use super::plan::FaultKind::{DiscoveryDown, DiscoverySilent, DiscoveryStale, Reload};
        let outages = self.seen.troubles.iter().filter(|(at, trouble)| {
            let away = matches!(trouble.kind, DiscoveryDown | DiscoveryStale | DiscoverySilent | Reload);
            away && *at <= to && *at + trouble.lasts + TOLD >= from
        });
        outages.map(|(at, trouble)| *at + trouble.lasts).max().unwrap_or(from).max(from)
    }

    fn drains(&mut self) {
        let seen = self.seen;
        for (at, server, change) in &seen.list {
            if *change != ListChange::Draining {
                continue;
            }
            let told = self.reachable_again(*at, *at + TOLD) + TOLD;
            let until = told + terms::DRAIN_GRACE + RIG;
            let late =
                seen.attempts.iter().find(|attempt| attempt.server == *server && attempt.began > until);
            if let Some(late) = late {
                let what =
                    format!("{} to {server}, which drains since {:.3} s", late.request, at.as_secs_f64());
                self.broken(Rule::Drain, late.began, what);
            }
        }
    }

    /// No window of the settings' span holds more attempts at a cold server than it stands.
    fn slow_starts(&mut self) {
        let seen = self.seen;
        for (at, server, change) in &seen.list {
            if *change != ListChange::Started {
                continue;
            }
            let cold = seen.attempts.iter().filter(|attempt| attempt.server == *server);
            let began: Vec<Duration> =
                cold.map(|attempt| attempt.began).filter(|began| began >= at).collect();
            for (number, end) in began.iter().enumerate() {
                let age = end.saturating_sub(*at);
                if age >= terms::COLD {
                    break;
                }
                let from = end.saturating_sub(terms::FALL);
                let count = began[..=number].iter().filter(|began| **began > from).count() as f64;
                let warmed = age.as_secs_f64() / terms::COLD.as_secs_f64();
                let share = terms::COLD_SHARE + (1.0 - terms::COLD_SHARE) * warmed;
                let allowed = terms::TIP_MULTIPLE * self.capacity * share * terms::FALL.as_secs_f64();
                if count > budget(allowed) {
                    let what =
                        format!("{server}: {count} attempts within {:?}, {allowed:.1} allowed", terms::FALL);
                    self.broken(Rule::SlowStart, *end, what);
                    break;
                }
            }
        }
    }
}

/// What a cold server stands where so many are allowed, with the operators' room for chance.
fn budget(allowed: f64) -> f64 {
    let room = if allowed < 30.0 { 3.0 * allowed.sqrt() + 3.0 } else { 2.0 * allowed.sqrt() + 2.0 };
    allowed + room
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn asked(effect: Effect, end: End, ended: u64) -> Asked {
        Asked {
            request: "r".into(),
            effect,
            sidecar: 1,
            connected: at(0),
            kept: true,
            written: at(1000),
            limit: at(500),
            end,
            ended: at(ended),
        }
    }

    fn attempt(server: &str, began: u64, ended: u64, told_ms: u64) -> Attempt {
        Attempt {
            request: "r".into(),
            server: server.into(),
            zone: 0,
            cell: 0,
            began: at(began),
            told_ms: Some(told_ms),
            ended: Some(at(ended)),
            ran: true,
        }
    }

    fn broken(asked: Asked, attempts: Vec<Attempt>) -> Vec<Rule> {
        let plan = Plan::sized(1, at(5000), 2, 2);
        let seen = Seen { asked: vec![asked], attempts, ..Seen::default() };
        judge(&plan, &seen, Vec::new()).violations.iter().map(|violation| violation.rule).collect()
    }

    #[test]
    fn each_rule_is_seen_to_be_broken_and_a_plain_exchange_breaks_none() {
        let ok = || End::Answered { status: 200, own_body: true };
        let once = || vec![attempt("s1", 1002, 1020, 497)];
        assert_eq!(broken(asked(Effect::AtMostOnce, ok(), 1025), once()), []);
        let other = End::Answered { status: 200, own_body: false };
        assert_eq!(broken(asked(Effect::Idempotent, other, 1025), once()), [Rule::OwnAnswer]);
        assert_eq!(broken(asked(Effect::Idempotent, ok(), 2300), once()), [Rule::Answer]);
        assert_eq!(broken(asked(Effect::Idempotent, End::NoAnswer, 3000), once()), [Rule::Answer]);
        let closed = End::ConnectionEnded { answer_begun: false };
        assert_eq!(broken(asked(Effect::Idempotent, closed, 1100), Vec::new()), [Rule::Answer]);
        let refused = End::Answered { status: 503, own_body: true };
        assert_eq!(broken(asked(Effect::AtMostOnce, refused, 1100), once()), [Rule::Effect]);
        let again = vec![attempt("s1", 1002, 1020, 497), attempt("s2", 1030, 1040, 470)];
        assert_eq!(broken(asked(Effect::AtMostOnce, ok(), 1100), again), [Rule::Effect]);
        let beside = vec![attempt("s1", 1002, 1400, 497), attempt("s2", 1030, 1040, 470)];
        assert_eq!(broken(asked(Effect::Idempotent, ok(), 1100), beside), [Rule::OneAtATime]);
        let late = vec![attempt("s1", 1500, 1510, 10)];
        assert_eq!(broken(asked(Effect::Idempotent, End::Left, 1050), late), [Rule::Gone]);
        let told = vec![attempt("s1", 1400, 1410, 499)];
        assert_eq!(broken(asked(Effect::Idempotent, ok(), 1450), told), [Rule::Deadline]);
    }

    #[test]
    fn more_than_a_cold_server_stands_is_seen() {
        let plan = Plan::sized(1, at(5000), 2, 2);
        let judged = |every_ms: u64| {
            // The other server is warm, and has as many over the whole run as make 60 a second possible at each.
            let warm = (0..420).map(|number| attempt("s0", number * 11, 1001, 1));
            let cold = (0..60).map(|number| attempt("s1", 1000 + number * every_ms, 1001, 1));
            let attempts = warm.chain(cold).collect();
            let list = vec![(at(1000), "s1".to_string(), ListChange::Started)];
            let seen = Seen { attempts, list, ..Seen::default() };
            judge(&plan, &seen, Vec::new()).violations.len()
        };
        assert_eq!((judged(15), judged(60)), (1, 0));
    }
}
