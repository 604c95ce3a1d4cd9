//! Outcomes of the attempts in each zone for which the fleet has set a traffic fraction. A zone with a fraction of 0 is
//! drained: its servers stay ejected and are checked only when the fleet assigns a trial to this replica. Nothing is
//! recorded before the first fractions arrive.

use crate::host::Outcome;
use crate::state::server_set::Server;
use std::time::Duration;

/// An attempt is late after this multiple of the 0.9 quantile of latencies, within the bounds below.
const LATE_FACTOR: f64 = 4.0;
const MIN_LATE_AFTER: Duration = Duration::from_millis(100);
const MAX_LATE_AFTER: Duration = Duration::from_millis(500);
/// Attempts that were lost longer ago than this are ignored.
const LOSS_MEMORY: Duration = Duration::from_secs(2);
/// Number of lost attempts since the last answer from which a zone counts as silent. A single loss may be a
/// coincidence, and counts only once the first attempt since that answer is late.
const MIN_LOSSES: u32 = 2;
/// A health check that fails within this time after one was requested counts as the requested one.
const REQUESTED_CHECK_WINDOW: Duration = Duration::from_secs(1);

/// Outcomes of the attempts in one zone.
#[derive(Debug)]
pub struct Zone {
    /// Number of the zone.
    pub id: u32,
    /// Fraction of its normal traffic that the zone gets.
    pub fraction: f64,
    /// Last trial number that was received.
    pub trial: Option<u64>,
    /// Send time of the latest answered attempt.
    pub last_answered_sent_at: Option<Duration>,
    /// Send time of the first attempt since then.
    waiting_since: Option<Duration>,
    /// Number of attempts since then that are in flight.
    in_flight: u32,
    /// Number of attempts since then that were lost.
    losses: u32,
    last_loss_at: Duration,
    /// Time at which the fleet last requested a health check, because other replicas get no answers.
    pub check_requested_at: Option<Duration>,
}

/// The zones for which traffic fractions were received.
#[derive(Debug, Default)]
pub struct Zones(Vec<Zone>);

impl Zones {
    /// The zone, if a traffic fraction was received for it.
    pub fn get_mut(&mut self, zone: u32) -> Option<&mut Zone> {
        self.0.iter_mut().find(|other| other.id == zone)
    }

    /// The zone, which is added with its full traffic if it is new.
    pub fn get_or_add(&mut self, zone: u32, now: Duration) -> &mut Zone {
        let position = self.0.iter().position(|other| other.id == zone);
        let index = position.unwrap_or_else(|| {
            self.0.push(Zone::new(zone, now));
            self.0.len() - 1
        });
        &mut self.0[index]
    }

    /// The zones in the order in which their fractions were first received.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Zone> {
        self.0.iter()
    }

    /// Fraction of its normal traffic that the zone gets; 1 if none was received.
    pub fn fraction(&self, zone: u32) -> f64 {
        self.0.iter().find(|other| other.id == zone).map_or(1.0, |other| other.fraction)
    }

    /// Factor on a server's weight. An ejected server is selected for trials only, regardless of its zone's fraction.
    pub fn weight_factor(&self, server: &Server) -> f64 {
        if server.ejection().is_some() { 1.0 } else { self.fraction(server.zone) }
    }

    /// Whether the zone is drained.
    pub fn is_drained(&self, zone: u32) -> bool {
        self.fraction(zone) <= 0.0
    }

    /// Whether any zone is drained.
    pub fn any_drained(&self) -> bool {
        self.0.iter().any(|other| other.fraction <= 0.0)
    }

    /// Whether time alone may change whether a zone counts as silent.
    pub fn silence_may_change(&self, now: Duration) -> bool {
        let waits = |zone: &Zone| zone.in_flight > 0 && zone.waiting_since.is_some();
        let recent_loss = |zone: &Zone| zone.losses > 0 && now < zone.last_loss_at + LOSS_MEMORY;
        self.0.iter().any(|zone| waits(zone) || recent_loss(zone))
    }

    /// Records an attempt that is sent to the zone.
    pub fn attempt_sent(&mut self, zone: u32, now: Duration) {
        let Some(zone) = self.get_mut(zone) else { return };
        if zone.in_flight == 0 && zone.losses > 0 && zone.last_loss_at + LOSS_MEMORY <= now {
            zone.waiting_since = None;
            zone.losses = 0;
        }
        zone.in_flight += 1;
        zone.waiting_since.get_or_insert(now);
    }

    /// Records the end of an attempt that was sent to the zone at `sent_at`.
    pub fn attempt_ended(&mut self, zone: u32, sent_at: Duration, now: Duration, outcome: Outcome) {
        let Some(zone) = self.get_mut(zone) else { return };
        match outcome {
            // Any answer, even an error, shows that the zone is reachable.
            Outcome::Ok | Outcome::Error | Outcome::Overloaded => zone.count_answer(sent_at),
            _ if zone.last_answered_sent_at.is_some_and(|answered| sent_at <= answered) => {}
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => zone.count_loss(now),
            Outcome::Cancelled | Outcome::NotSent if sent_at + MIN_LATE_AFTER <= now => zone.count_loss(now),
            Outcome::Cancelled | Outcome::NotSent => zone.discount_cancelled(),
        }
    }

    /// Records the end of a health check in the zone.
    pub fn check_ended(&mut self, zone: u32, now: Duration, outcome: Outcome) {
        let Some(zone) = self.get_mut(zone) else { return };
        let requested = zone.check_requested_at.is_some_and(|at| now <= at + REQUESTED_CHECK_WINDOW);
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Overloaded => zone.count_answer(now),
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset
                if zone.fraction <= 0.0 || requested =>
            {
                // A trial without an answer is as significant as several lost requests.
                zone.waiting_since.get_or_insert(now);
                zone.losses = zone.losses.max(MIN_LOSSES);
                zone.last_loss_at = now;
            }
            _ => {}
        }
    }
}

impl Zone {
    fn new(id: u32, now: Duration) -> Self {
        Zone {
            id,
            fraction: 1.0,
            trial: None,
            last_answered_sent_at: None,
            waiting_since: None,
            in_flight: 0,
            losses: 0,
            last_loss_at: now,
            check_requested_at: None,
        }
    }

    /// Resets the counts of attempts without an answer, which are no longer significant.
    pub fn reset_losses(&mut self) {
        self.waiting_since = None;
        self.in_flight = 0;
        self.losses = 0;
    }

    fn count_answer(&mut self, sent_at: Duration) {
        self.last_answered_sent_at = self.last_answered_sent_at.max(Some(sent_at));
        self.reset_losses();
    }

    fn count_loss(&mut self, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.losses = self.losses.saturating_add(1);
        self.last_loss_at = now;
    }

    fn discount_cancelled(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 && self.losses == 0 {
            self.waiting_since = None;
        }
    }

    /// Time since the latest evidence that the zone does not answer; `None` if it answers.
    pub fn unanswered_ago(&self, now: Duration, late_after: Duration) -> Option<Duration> {
        let is_late = self.waiting_since.is_some_and(|since| since + late_after <= now);
        if self.in_flight > 0 && is_late {
            return Some(Duration::ZERO);
        }
        let is_lost = self.losses >= MIN_LOSSES || (self.losses > 0 && is_late);
        let since_loss = now.saturating_sub(self.last_loss_at);
        (is_lost && since_loss < LOSS_MEMORY).then_some(since_loss)
    }
}

/// Time after which an attempt is late, if 0.9 of the attempts are answered within `p90_seconds`.
pub fn late_after(p90_seconds: f64) -> Duration {
    Duration::from_secs_f64(LATE_FACTOR * p90_seconds).clamp(MIN_LATE_AFTER, MAX_LATE_AFTER)
}
