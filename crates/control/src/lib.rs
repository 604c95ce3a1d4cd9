//! Configuration of services as numbered versions: snapshots, deltas, acknowledgements, and how control machines agree. It
//! owns what a version is and which of two goes first; it must never read a clock, a socket or a seed of its own, nor know
//! what a key means: the host that puts contents in force checks them.
//!
//! `follower.rs` is a sidecar's side, `board.rs` a control machine's; `change.rs` and `poll.rs` are what passes between
//! them. Why it is so stands in `docs/control.md`.

mod board;
mod change;
mod contents;
mod follower;
mod machines;
mod poll;
mod version;

pub use board::{Board, Merged, Rejected, SCOPES_MOST, Standing, Summary, View};
pub use change::{CHANGE_MOST, Change, Snapshot, Unfit};
pub use contents::{Contents, Fault, KEY_MOST, KEYS_MOST, VALUE_MOST};
pub use follower::{Follower, Host, Refusal, Took, Wrong};
pub use machines::{Machine, ordered};
pub use poll::{NAME_MOST, Odd, Poll, SCOPE_MOST, is_scope};
pub use version::Version;
