//! Time intervals and limits of the protocol.

use std::time::Duration;

/// The greatest incarnation: incarnations have 48 bits on the wire.
pub(super) const MAX_INCARNATION: u64 = 0xffff_ffff_ffff;
/// The most by which a message may raise the epoch, as an erroneously high epoch could never be lowered again.
pub(super) const MAX_EPOCH_ADVANCE: u64 = 1 << 32;
/// The interval at which a member probes others (SWIM's protocol period).
pub(super) const PROTOCOL_PERIOD: Duration = Duration::from_millis(250);
/// The number of members that are asked for an indirect probe (SWIM's k).
pub(super) const INDIRECT_PROBES: usize = 3;
/// The number of suspectors required to declare a member dead; if fewer members are reachable, all of them.
pub(super) const DEATH_QUORUM: usize = 3;
/// The average number of members that probe a suspect themselves after receiving a suspicion of it.
pub(super) const EXPECTED_VERIFIERS: f64 = 3.0;
/// A member from which no message has arrived directly for this time is not counted as reachable.
pub(super) const CONTACT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a member must have been suspect before a declared death takes effect.
pub(super) const REFUTATION_GRACE: Duration = Duration::from_millis(400);
/// How long anti-entropy continues after the last message that showed a different view.
pub(super) const ANTI_ENTROPY_DURATION: Duration = Duration::from_millis(500);
/// The interval at which absent members and seeds are pinged.
pub(super) const RECONNECT_INTERVAL: Duration = Duration::from_millis(500);
/// The number of members that a leaving member notifies.
pub(super) const LEAVE_FANOUT: usize = 12;
/// A tick that is late by more than this indicates that the process was paused.
pub(super) const PAUSE_THRESHOLD: Duration = Duration::from_millis(150);
/// The greatest health penalty (the maximum of Lifeguard's local health multiplier).
pub(super) const MAX_HEALTH_PENALTY: u32 = 4;
/// The delay after the start before a member chooses its ordinal, so that it knows the other members by then.
pub(super) const ORDINAL_DELAY: Duration = Duration::from_millis(1500);
/// The interval at which the ordinal and the fleet size are recomputed.
pub(super) const FLEET_SIZE_INTERVAL: Duration = Duration::from_millis(250);
/// The age beyond which a member's reported request rate is ignored.
pub(super) const REQUEST_RATE_TTL: Duration = Duration::from_secs(60);
/// How long a dead member is counted as possibly live: it may be on the other side of a partition and send to servers that
/// are warming up.
pub(super) const POSSIBLY_LIVE_FOR: Duration = Duration::from_secs(30);
/// The limit of the extra probes per protocol period that a member sends for its suspicions, one for each.
pub(super) const MAX_EXTRA_PROBES: usize = 3;
/// One further extra probe, not subject to `MAX_EXTRA_PROBES`, is sent for each group of this many suspicions.
pub(super) const SUSPICIONS_PER_EXTRA_PROBE: usize = 8;
/// The interval at which a suspector pings its suspects.
pub(super) const SUSPECT_PING_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of suspects that are pinged at a time.
pub(super) const MAX_SUSPECT_PINGS: usize = 3;
/// The minimum age of a suspicion before the suspector may declare the suspect dead.
pub(super) const SUSPICION_TIMEOUT: Duration = Duration::from_millis(500);
/// The age of a suspicion after which other members probe the suspect, as its suspectors may have failed themselves.
pub(super) const SUSPICION_ORPHANED_AFTER: Duration = Duration::from_secs(1);
/// The age of a suspicion after which a member that reaches no other member declares the suspect dead, in its own view only.
pub(super) const ISOLATED_SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);
/// The interval at which pending gossip is sent.
pub(super) const GOSSIP_INTERVAL: Duration = Duration::from_millis(50);
/// The number of members to which pending gossip is sent at a time.
pub(super) const GOSSIP_FANOUT: usize = 2;
/// The maximum number of absent members that are pinged at a time; four times as many if no other member is live.
pub(super) const MAX_RECONNECTS: usize = 4;
/// The minimum number of bytes that the budget must allow for gossip for a gossip message to be sent.
pub(super) const MIN_GOSSIP_BYTES: usize = 320;
/// One more than the maximum number of rotation members written into a message while views agree.
pub(super) const ROTATION_MEMBERS: usize = 11;
/// On average, the rotation entries of one message in this many carry names.
pub(super) const MESSAGES_PER_NAMED_ROTATION: u32 = 8;
/// The maximum number of states written at a time into compact entries.
pub(super) const STATES_PER_ENTRY: usize = 24;
/// The maximum number of members examined at a time for compact entries.
pub(super) const MAX_STATES_SCANNED: usize = 200;
