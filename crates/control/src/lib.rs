//! Distributes versioned service configuration from control machines to sidecars. A *scope* is one service's
//! configuration: a machine stores its last versions in a [`VersionStore`]; a sidecar is a [`Follower`] that polls,
//! applies each [`Delta`] through its [`ConfigHost`], and acknowledges or refuses it with the next [`Poll`]. Machines
//! exchange complete snapshots; the greater [`Version`] wins regardless of origin. The crate does no I/O (callers
//! pass in time, bytes and random seed) and doesn't interpret keys. `docs/control.md` explains the design.
#![warn(missing_docs)]

mod config;
mod delta;
mod follower;
mod poll;
mod rendezvous;
mod scope_status;
mod version;
mod version_store;

pub use config::{ConfigError, Contents, MAX_KEY_BYTES, MAX_KEYS, MAX_VALUE_BYTES};
pub use delta::{Delta, DeltaError, MAX_DELTA_BYTES, Snapshot};
pub use follower::{AnswerError, ApplyOutcome, ConfigHost, Follower, Refusal, RestoreError};
pub use poll::{MAX_NAME_BYTES, MAX_SCOPE_BYTES, MalformedPoll, Poll, ReportedRefusal, is_valid_scope};
pub use rendezvous::{ControlMachine, rendezvous_order};
pub use scope_status::{FollowerStatus, LaggingFollower, ScopeStatus};
pub use version::{Version, VersionParseError};
pub use version_store::{MAX_SCOPES, MergeOutcome, PublishError, VersionStore, VersionSummary};
