//! The protocol that distributes versioned service configuration from control machines to sidecars.
//!
//! A *scope* is one service's configuration. A control machine stores the last versions of each scope in its
//! [`VersionStore`]. A sidecar is the [`Follower`] of one scope: it polls a control machine, checks the [`Delta`] in
//! the answer and applies it through its [`ConfigHost`]. Its next [`Poll`] acknowledges the version or reports its
//! refusal. Control machines exchange complete snapshots; the greater [`Version`] wins regardless of where it was
//! published.
//!
//! The crate does no I/O: callers pass in the time, the bytes and the random seed. It doesn't interpret keys. The
//! design of the protocol is explained in `docs/control.md`.
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
