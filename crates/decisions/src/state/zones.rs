//! What came of the attempts that were sent to each zone for which the fleet tells a fraction of traffic. A zone with a fraction of 0 is
//! drained: its servers are held ejected and are checked only when this replica has the turn. Nothing here costs
//! anything before fractions are first told.

use crate::host::Outcome;
use crate::state::server_set::Server;
use std::time::Duration;

/// An attempt is late past so many times the time in which nine of ten are answered, within the bounds below.
const LATE_FACTOR: f64 = 4.0;
const MIN_LATE_AFTER: Duration = Duration::from_millis(100);
const MAX_LATE_AFTER: Duration = Duration::from_millis(500);
/// Attempts that were lost longer ago say nothing of now.
const LOSS_MEMORY: Duration = Duration::from_secs(2);
/// So many lost attempts at once are no chance.
const MIN_LOSSES: u32 = 2;
/// A health check that fails so soon after it was asked for is counted as that one.
const REQUESTED_CHECK_WINDOW: Duration = Duration::from_secs(1);

/// What came of the attempts that were sent to one zone.
#[derive(Debug)]
pub struct Zone {
    /// The zone.
    pub id: u32,
    /// The fraction of its usual traffic that it gets.
    pub fraction: f64,
    /// The last trial number that was told.
    pub trial: Option<u64>,
    /// When the last attempt that was answered had been sent.
    pub answered: Option<Duration>,
    /// When the first attempt since then was sent.
    waiting_since: Option<Duration>,
    /// How many attempts since then are in flight.
    in_flight: u32,
    /// How many attempts since then are lost.
    lost: u32,
    lost_at: Duration,
    /// When a health check was last made because other replicas get no answers.
    pub check_requested_at: Option<Duration>,
}

/// The zones for which fractions were told.
#[derive(Debug, Default)]
pub struct Zones(Vec<Zone>);

impl Zones {
    /// A zone for which a fraction was told.
    pub fn get_mut(&mut self, zone: u32) -> Option<&mut Zone> {
        self.0.iter_mut().find(|known| known.id == zone)
    }

    /// The zone, which is added with its full traffic if it is new.
    pub fn get_or_add(&mut self, zone: u32, now: Duration) -> &mut Zone {
        let known = self.0.iter().position(|known| known.id == zone);
        let at = known.unwrap_or_else(|| {
            self.0.push(Zone::new(zone, now));
            self.0.len() - 1
        });
        &mut self.0[at]
    }

    /// All of them, in the order in which they were first told.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Zone> {
        self.0.iter()
    }

    /// The fraction of its usual traffic that the zone gets; 1 where none was told.
    pub fn fraction(&self, zone: u32) -> f64 {
        self.0.iter().find(|known| known.id == zone).map_or(1.0, |known| known.fraction)
    }

    /// What a server's weight is multiplied by. An ejected one is drawn for trials only, whatever its zone's fraction.
    pub fn weight_factor(&self, server: &Server) -> f64 {
        if server.ejection().is_some() { 1.0 } else { self.fraction(server.zone) }
    }

    /// Whether the zone is drained.
    pub fn is_drained(&self, zone: u32) -> bool {
        self.fraction(zone) <= 0.0
    }

    /// Whether any zone is drained.
    pub fn any_drained(&self) -> bool {
        self.0.iter().any(|known| known.fraction <= 0.0)
    }

    /// Whether time alone may make any zone silent, or end its silence.
    pub fn silence_may_change(&self, now: Duration) -> bool {
        let waits = |zone: &Zone| zone.in_flight > 0 && zone.waiting_since.is_some();
        let lost = |zone: &Zone| zone.lost > 0 && now < zone.lost_at + LOSS_MEMORY;
        self.0.iter().any(|zone| waits(zone) || lost(zone))
    }

    /// An attempt is sent there.
    pub fn attempt_sent(&mut self, zone: u32, now: Duration) {
        let Some(zone) = self.get_mut(zone) else { return };
        if zone.in_flight == 0 && zone.lost > 0 && zone.lost_at + LOSS_MEMORY <= now {
            zone.waiting_since = None;
            zone.lost = 0;
        }
        zone.in_flight += 1;
        zone.waiting_since.get_or_insert(now);
    }

    /// An attempt that was sent there at `sent_at` is over.
    pub fn attempt_ended(&mut self, zone: u32, sent_at: Duration, now: Duration, outcome: Outcome) {
        let Some(zone) = self.get_mut(zone) else { return };
        match outcome {
            // Whatever it answers, it is there.
            Outcome::Ok | Outcome::Error | Outcome::Overloaded => zone.count_answer(sent_at),
            _ if zone.answered.is_some_and(|answered| sent_at <= answered) => {}
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => zone.count_loss(now),
            Outcome::Cancelled | Outcome::NotSent if sent_at + MIN_LATE_AFTER <= now => zone.count_loss(now),
            Outcome::Cancelled | Outcome::NotSent => zone.discount_cancelled(),
        }
    }

    /// A health check there is over.
    pub fn check_ended(&mut self, zone: u32, now: Duration, outcome: Outcome) {
        let Some(zone) = self.get_mut(zone) else { return };
        let requested = zone.check_requested_at.is_some_and(|at| now <= at + REQUESTED_CHECK_WINDOW);
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Overloaded => zone.count_answer(now),
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset
                if zone.fraction <= 0.0 || requested =>
            {
                // A trial that nobody answers says as much as several requests.
                zone.waiting_since.get_or_insert(now);
                zone.lost = zone.lost.max(MIN_LOSSES);
                zone.lost_at = now;
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
            answered: None,
            waiting_since: None,
            in_flight: 0,
            lost: 0,
            lost_at: now,
            check_requested_at: None,
        }
    }

    /// The zone is in use again: what was lost before says nothing.
    pub fn forget_losses(&mut self) {
        self.waiting_since = None;
        self.in_flight = 0;
        self.lost = 0;
    }

    fn count_answer(&mut self, sent_at: Duration) {
        self.answered = self.answered.max(Some(sent_at));
        self.forget_losses();
    }

    fn count_loss(&mut self, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.lost = self.lost.saturating_add(1);
        self.lost_at = now;
    }

    fn discount_cancelled(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 && self.lost == 0 {
            self.waiting_since = None;
        }
    }

    /// How long ago the last sign came that the zone gives no answers; none where it does.
    pub fn unanswered_ago(&self, now: Duration, late_after: Duration) -> Option<Duration> {
        let late = self.waiting_since.is_some_and(|since| since + late_after <= now);
        if self.in_flight > 0 && late {
            return Some(Duration::ZERO);
        }
        let lost = self.lost >= MIN_LOSSES || (self.lost > 0 && late);
        let since_loss = now.saturating_sub(self.lost_at);
        (lost && since_loss < LOSS_MEMORY).then_some(since_loss)
    }
}

/// After how long an attempt is late, where nine of ten are answered within `usual_seconds`.
pub fn late_after(usual_seconds: f64) -> Duration {
    Duration::from_secs_f64(LATE_FACTOR * usual_seconds).clamp(MIN_LATE_AFTER, MAX_LATE_AFTER)
}
