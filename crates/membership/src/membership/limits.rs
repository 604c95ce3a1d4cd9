//! Timings and bounds of the protocol.

use std::time::Duration;

/// Incarnations have 48 bits on the wire.
pub(super) const MAX_INCARNATION: u64 = 0xffff_ffff_ffff;
/// A message may raise the epoch by no more than this: a false one would be believed for ever.
pub(super) const MAX_EPOCH_ADVANCE: u64 = 1 << 32;
/// How often a member probes (SWIM's protocol period).
pub(super) const PROTOCOL_PERIOD: Duration = Duration::from_millis(250);
/// How many members are asked for an indirect probe (SWIM's k).
pub(super) const INDIRECT_PROBES: usize = 3;
/// A member is declared dead once so many suspect it, or all who are reachable where they are fewer.
pub(super) const DEATH_QUORUM: usize = 3;
/// How many of those who hear of a suspicion probe the suspect themselves, on average.
pub(super) const EXPECTED_VERIFIERS: f64 = 3.0;
/// A member not heard directly for this time is not counted on for agreement.
pub(super) const CONTACT_TIMEOUT: Duration = Duration::from_secs(1);
/// A declared death takes effect once the member has been suspect for this time.
pub(super) const REFUTATION_GRACE: Duration = Duration::from_millis(400);
/// Anti-entropy goes on for this time after the last sign that views differ.
pub(super) const ANTI_ENTROPY_DURATION: Duration = Duration::from_millis(500);
/// How often absent members and seeds are pinged.
pub(super) const RECONNECT_INTERVAL: Duration = Duration::from_millis(500);
/// How many members a leaving one notifies.
pub(super) const LEAVE_FANOUT: usize = 12;
/// A tick later than this shows that the process was paused.
pub(super) const PAUSE_THRESHOLD: Duration = Duration::from_millis(150);
/// The greatest health penalty (Lifeguard's local health multiplier).
pub(super) const MAX_HEALTH_PENALTY: u32 = 4;
/// A member chooses its ordinal this long after its start, once its view has filled.
pub(super) const ORDINAL_DELAY: Duration = Duration::from_millis(1500);
/// How often the fleet size is recomputed.
pub(super) const FLEET_SIZE_INTERVAL: Duration = Duration::from_millis(250);
/// Older reports of traffic are ignored.
pub(super) const REQUEST_RATE_TTL: Duration = Duration::from_secs(60);
/// A dead member may be alive beyond a partition, and send to servers that are warming up, for this time.
pub(super) const POSSIBLY_LIVE_FOR: Duration = Duration::from_secs(30);
/// More probes a period while this member suspects others: up to so many,
pub(super) const MAX_EXTRA_PROBES: usize = 3;
/// and one for each so many suspicions.
pub(super) const SUSPICIONS_PER_EXTRA_PROBE: usize = 8;
/// How often a suspector pings its suspects.
pub(super) const SUSPECT_PING_INTERVAL: Duration = Duration::from_millis(100);
/// How many suspects are pinged at a time.
pub(super) const MAX_SUSPECT_PINGS: usize = 3;
/// How long a suspicion stands before the suspector may declare the suspect dead.
pub(super) const SUSPICION_TIMEOUT: Duration = Duration::from_millis(500);
/// The suspectors of a member suspect for this time may themselves be unreachable: others probe it.
pub(super) const SUSPICION_ORPHANED_AFTER: Duration = Duration::from_secs(1);
/// A member that reaches nobody declares its suspects dead after this time, for itself alone.
pub(super) const ISOLATED_SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);
/// How often pending gossip is sent.
pub(super) const GOSSIP_INTERVAL: Duration = Duration::from_millis(50);
/// To how many members pending gossip is sent.
pub(super) const GOSSIP_FANOUT: usize = 2;
/// How many absent members are pinged at a time; four times as many where nobody is live.
pub(super) const MAX_RECONNECTS: usize = 4;
/// Gossip is sent while the budget leaves so many bytes for it.
pub(super) const MIN_GOSSIP_BYTES: usize = 320;
/// Members written in rotation into a message where views agree, plus one.
pub(super) const ROTATION_MEMBERS: usize = 11;
/// Rotation entries carry names in one message of so many.
pub(super) const MESSAGES_PER_NAMES: u32 = 8;
/// States written in one compact entry.
pub(super) const STATES_PER_ENTRY: usize = 24;
/// Members looked through for one compact entry.
pub(super) const MAX_STATES_SCANNED: usize = 200;
