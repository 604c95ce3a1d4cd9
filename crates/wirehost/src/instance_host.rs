//! The host of one decision instance: writes the instance's calls as lines of the wire.

use landingspread_decisions::host::{Event, Host, Id};
use std::cell::RefCell;
use std::fmt::{self, Write};
use std::rc::Rc;
use std::time::Duration;

/// The reply to the current batch so far, shared by all instances of the process.
pub type Reply = Rc<RefCell<String>>;

/// The host of one decision instance.
pub struct InstanceHost {
    name: String,
    reply: Reply,
}

impl InstanceHost {
    /// Creates a host that writes lines with this instance name to the shared reply.
    pub fn new(name: &str, reply: Reply) -> InstanceHost {
        InstanceHost { name: name.into(), reply }
    }

    /// Writes one line: the message, the instance's name, and the fields, each with a leading space.
    pub fn write(&self, message: &str, fields: fmt::Arguments<'_>) {
        let mut reply = self.reply.borrow_mut();
        // Writing to a String cannot fail.
        let _ = writeln!(reply, "{message} {}{fields}", self.name);
    }
}

impl Host for InstanceHost {
    fn start_attempt(&mut self, request: &Id, server: &Id, deadline: Duration) {
        self.write("ROUTE", format_args!(" {request} {} {server}", deadline.as_micros()));
    }

    fn reject(&mut self, request: &Id, retry_after: Option<Duration>) {
        self.write("DECLINE", format_args!(" {request} {}", retry_after.unwrap_or_default().as_micros()));
    }

    fn fail(&mut self, request: &Id) {
        self.write("ABORT", format_args!(" {request}"));
    }

    fn cancel_attempt(&mut self, request: &Id, attempt: u32) {
        self.write("UNDO_SEND", format_args!(" {request} {attempt}"));
    }

    fn check_health(&mut self, server: &Id) {
        self.write("TOUCH", format_args!(" {server}"));
    }

    fn wake_after(&mut self, span: Duration) {
        self.write("DEFER", format_args!(" {} sweep", span.as_micros()));
    }

    fn poll_discovery(&mut self) {
        self.write("SUBSCRIBE", format_args!(" 1"));
    }

    fn close_idle_connections(&mut self, server: &Id) {
        self.write("RELEASE", format_args!(" {server}"));
    }

    fn send_to_peers(&mut self, peer: Option<u32>, message: &[u8]) {
        let to = peer.map_or_else(|| "all".to_string(), |peer| peer.to_string());
        let hex: String = message.iter().map(|byte| format!("{byte:02x}")).collect();
        self.write("BROADCAST_TO", format_args!(" {to} {hex}"));
    }

    fn log(&mut self, event: &Event) {
        self.write("TRACE", format_args!(" {event}"));
    }
}
