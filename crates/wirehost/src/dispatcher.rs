//! Reads the wire's lines and dispatches each message to the decision instance that it names.

use crate::fields::Fields;
use crate::instance_host::{InstanceHost, Reply};
use crate::malformed::MalformedLine;
use landingspread_decisions::host::{AttemptEnd, ListedServer};
use landingspread_decisions::policy::Policy;
use landingspread_decisions::settings::Settings;
use std::collections::BTreeMap;
use std::time::Duration;

/// The endpoint list that the next entries belong to, and the number of entries still expected.
#[derive(Default)]
struct CurrentList {
    number: usize,
    entries_remaining: usize,
}

/// The decision instances of the process, and the endpoint lists that they share.
#[derive(Default)]
pub struct Dispatcher {
    now: Duration,
    reply: Reply,
    instances: BTreeMap<String, Policy<InstanceHost>>,
    lists: BTreeMap<usize, Vec<ListedServer>>,
    current_list: CurrentList,
}

impl Dispatcher {
    /// Processes one line, without its line terminator. The line that ends a batch returns the complete reply to it.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is malformed. The line then has no effect, except that a malformed list entry still
    /// counts as one of its list's entries, and that unreadable settings are answered with GIVE_IN.
    pub fn read_line(&mut self, line: &str) -> Result<Option<String>, MalformedLine> {
        let mut fields = Fields::of(line);
        match fields.next_text().unwrap_or("") {
            "" => {}
            "TURN" => self.now = fields.span("Moment")?,
            "END" => return Ok(Some(self.take_reply())),
            "MANIFEST" => self.begin_list(&mut fields)?,
            "ITEM" => self.add_entry(&mut fields)?,
            message => self.dispatch(message, &mut fields)?,
        }
        Ok(None)
    }

    fn take_reply(&mut self) -> String {
        let mut reply = std::mem::take(&mut *self.reply.borrow_mut());
        reply.push_str("DONE\n");
        reply
    }

    fn begin_list(&mut self, fields: &mut Fields<'_>) -> Result<(), MalformedLine> {
        let number = fields.required("List")?;
        let entries_remaining = fields.required("Members")?;
        self.current_list = CurrentList { number, entries_remaining };
        self.lists.insert(number, Vec::new());
        Ok(())
    }

    fn add_entry(&mut self, fields: &mut Fields<'_>) -> Result<(), MalformedLine> {
        // Counted before it is parsed, so that a malformed entry does not take the place of a later list's entry.
        let entries_remaining =
            self.current_list.entries_remaining.checked_sub(1).ok_or(MalformedLine::ItemOutsideList)?;
        self.current_list.entries_remaining = entries_remaining;
        let entry = fields.listed_server()?;
        self.lists.entry(self.current_list.number).or_default().push(entry);
        Ok(())
    }

    fn dispatch(&mut self, message: &str, fields: &mut Fields<'_>) -> Result<(), MalformedLine> {
        let name = fields.text("SidecarId")?;
        match message {
            "BORN" => return self.start_instance(name, fields),
            "KILL" => {
                self.instances.remove(name);
                return Ok(());
            }
            _ => {}
        }
        let now = self.now;
        let Some(instance) = self.instances.get_mut(name) else {
            return Err(MalformedLine::NoSuchInstance(message.into()));
        };
        match message {
            "TOPOLOGY" => endpoint_list(instance, now, &self.lists, fields)?,
            "REPLY" => attempt_ended(instance, now, fields)?,
            "PONG" => health_check_ended(instance, now, fields)?,
            "REQUEST" => instance.request_arrived(now, fields.request_arrival()?),
            "FIRST_BYTE" => instance.response_started(now, &fields.id("Req")?),
            "VANISHED" => instance.client_disconnected(now, &fields.id("Req")?),
            "ELAPSED" => instance.timer_fired(now),
            "FROM_PEER" => {
                let peer = fields.required("Neighbour")?;
                instance.peer_message_received(now, peer, &fields.bytes("Data")?);
            }
            _ => return Err(MalformedLine::UnknownMessage(message.into())),
        }
        Ok(())
    }

    fn start_instance(&mut self, name: &str, fields: &mut Fields<'_>) -> Result<(), MalformedLine> {
        let seed = fields.required("Prng")?;
        let pairs = fields.remaining().join(" ");
        let host = InstanceHost::new(name, self.reply.clone());
        match Settings::decode(&pairs) {
            Ok(settings) => {
                self.instances.insert(name.into(), Policy::start(host, settings, seed, self.now));
                Ok(())
            }
            Err(error) => {
                host.write("GIVE_IN", format_args!(" {error}"));
                Err(MalformedLine::Settings(error))
            }
        }
    }
}

/// Passes the result of a discovery poll to the instance: `Mode` says whether the poll failed, or how the list was obtained.
fn endpoint_list(
    instance: &mut Policy<InstanceHost>,
    now: Duration,
    lists: &BTreeMap<usize, Vec<ListedServer>>,
    fields: &mut Fields<'_>,
) -> Result<(), MalformedLine> {
    let mode = fields.text("Mode")?;
    fields.text("Index")?;
    if mode == "0" {
        instance.discovery_poll_failed(now);
        return Ok(());
    }
    let entries = lists.get(&fields.required("List")?).ok_or(MalformedLine::UnknownList)?;
    match mode {
        "2" => instance.endpoint_list_cached(now, entries),
        "3" => instance.endpoint_list_changed(now, entries),
        "4" => instance.endpoint_list_received(now, entries),
        _ => return Err(MalformedLine::UnknownValue { field: "Mode", text: mode.into() }),
    }
    Ok(())
}

fn attempt_ended(
    instance: &mut Policy<InstanceHost>,
    now: Duration,
    fields: &mut Fields<'_>,
) -> Result<(), MalformedLine> {
    let end = AttemptEnd {
        request: fields.id("Req")?,
        request_closed: fields.flag("Terminal")?,
        outcome: fields.outcome()?,
        attempt: fields.required("Shot")?,
        latency: fields.span("Latency")?,
        server: fields.id("Endpoint")?,
        load: fields.load_report(),
        body_consumed: false,
    };
    instance.attempt_ended(now, end);
    Ok(())
}

fn health_check_ended(
    instance: &mut Policy<InstanceHost>,
    now: Duration,
    fields: &mut Fields<'_>,
) -> Result<(), MalformedLine> {
    let outcome = fields.outcome()?;
    let server = fields.id("Endpoint")?;
    fields.span("Latency")?;
    instance.health_check_ended(now, outcome, &server, fields.load_report());
    Ok(())
}
