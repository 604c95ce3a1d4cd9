//! The configuration of services as numbered versions: snapshots, deltas, acknowledgements, and how control machines agree.
//!
//! A *scope* is one service's configuration. A control machine keeps the last versions of each scope in its
//! [`VersionStore`]; a sidecar is the [`Follower`] of one scope: it polls a control machine, checks the [`Delta`] that
//! it is answered with, and applies it through its [`ConfigHost`]. The next [`Poll`] acknowledges the version, or reports
//! its refusal. Control machines exchange complete snapshots; the greater [`Version`] wins wherever it was published.
//!
//! The crate does no I/O: it reads no clock and no socket and draws no seed of its own, and it doesn't know what a key
//! means. The reasons behind the protocol are in `docs/control.md`.
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
