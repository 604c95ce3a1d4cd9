//! Hosts many decision instances in one process, on the line protocol of the simulator (the wire). It translates lines into
//! calls on the instances and the instances' calls into lines, and must make no decisions of its own.

#![warn(missing_docs)]

mod dispatcher;
mod fields;
mod instance_host;
mod malformed;

pub use dispatcher::Dispatcher;
pub use malformed::MalformedLine;
