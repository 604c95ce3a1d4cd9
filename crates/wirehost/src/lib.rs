//! The simulator's wire for landingspread: many decision instances in one process. It translates lines into calls on the instances
//! and their calls into lines; it must never decide anything.

#![warn(missing_docs)]

mod dispatcher;
mod fields;
mod instance_host;
mod malformed;

pub use dispatcher::Dispatcher;
pub use malformed::MalformedLine;
