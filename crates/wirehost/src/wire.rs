//! Reads the wire's lines into calls on the instances and writes what they ask for. Decides nothing.

use landingspread_decisions::host::{
    AttemptEnd, Event, Host, Id, Lifecycle, ListedServer, LoadReport, Outcome, RequestArrival,
};
use landingspread_decisions::policy::Policy;
use landingspread_decisions::settings::Settings;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

type Reply = Rc<RefCell<String>>;

#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn malformed<T>(what: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed(what.into()))
}

/// Writes one instance's messages; all instances of the process write to one reply.
pub struct WireHost {
    name: String,
    reply: Reply,
}

impl WireHost {
    fn say(&self, message: &str, rest: fmt::Arguments<'_>) {
        let mut reply = self.reply.borrow_mut();
        // Writing to a String cannot fail.
        let _ = writeln!(reply, "{message} {}{rest}", self.name);
    }
}

impl Host for WireHost {
    fn start_attempt(&mut self, cmd: &Id, server: &Id, not_past: Duration) {
        self.say("ROUTE", format_args!(" {cmd} {} {server}", not_past.as_micros()));
    }

    fn reject(&mut self, cmd: &Id, come_back: Option<Duration>) {
        self.say("DECLINE", format_args!(" {cmd} {}", come_back.unwrap_or_default().as_micros()));
    }

    fn fail(&mut self, cmd: &Id) {
        self.say("ABORT", format_args!(" {cmd}"));
    }

    fn cancel_attempt(&mut self, cmd: &Id, relay: u32) {
        self.say("UNDO_SEND", format_args!(" {cmd} {relay}"));
    }

    fn check_health(&mut self, server: &Id) {
        self.say("TOUCH", format_args!(" {server}"));
    }

    fn wake_after(&mut self, span: Duration) {
        self.say("DEFER", format_args!(" {} sweep", span.as_micros()));
    }

    fn poll_discovery(&mut self) {
        self.say("SUBSCRIBE", format_args!(" 1"));
    }

    fn close_idle_connections(&mut self, server: &Id) {
        self.say("RELEASE", format_args!(" {server}"));
    }

    fn send_to_peers(&mut self, peer: Option<u32>, words: &[u8]) {
        let to = peer.map_or_else(|| "all".to_string(), |peer| peer.to_string());
        let hex: String = words.iter().map(|byte| format!("{byte:02x}")).collect();
        self.say("BROADCAST_TO", format_args!(" {to} {hex}"));
    }

    fn log(&mut self, event: &Event) {
        self.say("TRACE", format_args!(" {event}"));
    }
}

struct Fields<'a>(std::str::Split<'a, char>);

impl<'a> Fields<'a> {
    fn text(&mut self, name: &str) -> Result<&'a str, Malformed> {
        match self.0.next().filter(|part| !part.is_empty()) {
            Some(part) => Ok(part),
            None => malformed(format!("{name} is missing")),
        }
    }

    fn maybe<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, Malformed> {
        match self.0.next() {
            None | Some("-" | "") => Ok(None),
            Some(part) => match part.parse() {
                Ok(value) => Ok(Some(value)),
                Err(_) => malformed(format!("{name} can't be read: {part:?}")),
            },
        }
    }

    fn need<T: FromStr>(&mut self, name: &str) -> Result<T, Malformed> {
        match self.maybe(name)? {
            Some(value) => Ok(value),
            None => malformed(format!("{name} is missing")),
        }
    }

    fn span(&mut self, name: &str) -> Result<Duration, Malformed> {
        Ok(Duration::from_micros(self.need(name)?))
    }

    fn id(&mut self, name: &str) -> Result<Id, Malformed> {
        Ok(self.text(name)?.into())
    }

    fn flag(&mut self, name: &str) -> Result<bool, Malformed> {
        match self.text(name)? {
            "1" => Ok(true),
            "0" => Ok(false),
            part => malformed(format!("{name} can't be read: {part:?}")),
        }
    }

    fn outcome(&mut self) -> Result<Outcome, Malformed> {
        Ok(match self.text("Rc")? {
            "10" => Outcome::Ok,
            "20" => Outcome::Error,
            "30" => Outcome::Overloaded,
            "40" => Outcome::Timeout,
            "50" => Outcome::ConnectFailed,
            "60" => Outcome::Reset,
            "70" => Outcome::Cancelled,
            "80" => Outcome::NotSent,
            part => return malformed(format!("Rc is unknown: {part:?}")),
        })
    }

    /// Hex digits; `-` is none at all.
    fn bytes(&mut self, name: &str) -> Result<Vec<u8>, Malformed> {
        let text = self.text(name)?;
        let digits = if text == "-" { "" } else { text };
        let byte = |pair: &[u8]| {
            let pair = std::str::from_utf8(pair).ok().filter(|pair| pair.len() == 2)?;
            u8::from_str_radix(pair, 16).ok()
        };
        let bytes: Option<Vec<u8>> = digits.as_bytes().chunks(2).map(byte).collect();
        bytes.map_or_else(|| malformed(format!("{name} is no hex: {text:?}")), Ok)
    }

    fn load(&mut self) -> LoadReport {
        let mut load = LoadReport::default();
        for pair in self.0.next().unwrap_or("-").split(',') {
            let Some((key, value)) = pair.split_once(':') else { continue };
            let value = value.parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0);
            match key {
                "waiting" => load.queued = value,
                "active" => load.in_flight = value,
                "cpu" => load.utilization = value,
                _ => {}
            }
        }
        load
    }
}

#[derive(Default)]
struct OpenList {
    number: usize,
    left: usize,
}

#[derive(Default)]
pub struct Hosting {
    now: Duration,
    reply: Reply,
    instances: BTreeMap<String, Policy<WireHost>>,
    lists: BTreeMap<usize, Vec<ListedServer>>,
    open: OpenList,
}

impl Hosting {
    /// Takes one line; the line that ends a batch gives the whole reply back.
    pub fn read_line(&mut self, line: &str) -> Result<Option<String>, Malformed> {
        let mut fields = Fields(line.split(' '));
        let message = fields.0.next().unwrap_or("");
        match message {
            "" => {}
            "TURN" => self.now = fields.span("Moment")?,
            "END" => {
                let mut reply = std::mem::take(&mut *self.reply.borrow_mut());
                reply.push_str("DONE\n");
                return Ok(Some(reply));
            }
            "MANIFEST" => self.open_list(&mut fields)?,
            "ITEM" => self.add_entry(&mut fields)?,
            _ => self.tell_instance(message, &mut fields)?,
        }
        Ok(None)
    }

    fn open_list(&mut self, fields: &mut Fields<'_>) -> Result<(), Malformed> {
        let (number, left) = (fields.need("List")?, fields.need("Members")?);
        self.open = OpenList { number, left };
        self.lists.insert(number, Vec::new());
        Ok(())
    }

    fn add_entry(&mut self, fields: &mut Fields<'_>) -> Result<(), Malformed> {
        if self.open.left == 0 {
            return malformed("ITEM outside a list");
        }
        // Counted before it is read: an entry that can't be read must not swallow the next list's.
        self.open.left -= 1;
        let entry = read_entry(fields)?;
        self.lists.entry(self.open.number).or_default().push(entry);
        Ok(())
    }

    fn tell_instance(&mut self, message: &str, fields: &mut Fields<'_>) -> Result<(), Malformed> {
        let name = fields.text("SidecarId")?;
        match message {
            "BORN" => return self.born(name, fields),
            "KILL" => {
                self.instances.remove(name);
                return Ok(());
            }
            _ => {}
        }
        let now = self.now;
        let Some(instance) = self.instances.get_mut(name) else {
            return malformed(format!("{message} for an instance that does not run"));
        };
        match message {
            "TOPOLOGY" => {
                let mode = fields.text("Mode")?;
                fields.text("Index")?;
                if mode == "0" {
                    instance.discovery_poll_failed(now);
                    return Ok(());
                }
                let Some(entries) = self.lists.get(&fields.need("List")?) else {
                    return malformed("TOPOLOGY names a list that was never given");
                };
                match mode {
                    "2" => instance.endpoint_list_cached(now, entries),
                    "3" => instance.endpoint_list_changed(now, entries),
                    "4" => instance.endpoint_list_received(now, entries),
                    _ => return malformed(format!("Mode is unknown: {mode:?}")),
                }
            }
            "REQUEST" => {
                let (id, verb, due) = (fields.id("Req")?, fields.need("Grade")?, fields.span("Due")?);
                fields.0.next();
                let tenant = fields.maybe("Team")?.unwrap_or(0);
                let cost = fields.maybe("CostGuess")?.map(Duration::from_micros);
                let said = fields.maybe::<u32>("Options")?.unwrap_or(0) & 1 == 1;
                instance.request_arrived(
                    now,
                    RequestArrival {
                        id,
                        class: verb,
                        deadline: due,
                        body_incomplete: false,
                        tenant,
                        declared_work: cost.filter(|_| said),
                    },
                );
            }
            "REPLY" => {
                let (cmd, closed, outcome) = (fields.id("Req")?, fields.flag("Terminal")?, fields.outcome()?);
                let (relay, latency) = (fields.need("Shot")?, fields.span("Latency")?);
                let (server, load) = (fields.id("Endpoint")?, fields.load());
                instance.attempt_ended(
                    now,
                    AttemptEnd {
                        request: cmd,
                        request_closed: closed,
                        body_consumed: false,
                        outcome,
                        attempt: relay,
                        latency,
                        server,
                        load,
                    },
                );
            }
            "FIRST_BYTE" => instance.response_started(now, &fields.id("Req")?),
            "ELAPSED" => instance.timer_fired(now),
            "VANISHED" => instance.client_disconnected(now, &fields.id("Req")?),
            "PONG" => {
                let (outcome, server) = (fields.outcome()?, fields.id("Endpoint")?);
                fields.span("Latency")?;
                instance.health_check_ended(now, outcome, &server, fields.load());
            }
            "FROM_PEER" => {
                let (peer, words) = (fields.need("Neighbour")?, fields.bytes("Data")?);
                instance.peer_message_received(now, peer, &words);
            }
            _ => return malformed(format!("unknown message {message:?}")),
        }
        Ok(())
    }

    fn born(&mut self, name: &str, fields: &mut Fields<'_>) -> Result<(), Malformed> {
        let seed = fields.need("Prng")?;
        let info: Vec<&str> = fields.0.by_ref().collect();
        let host = WireHost { name: name.into(), reply: self.reply.clone() };
        match Settings::decode(&info.join(" ")) {
            Ok(terms) => {
                self.instances.insert(name.into(), Policy::start(host, terms, seed, self.now));
                Ok(())
            }
            Err(wrong) => {
                host.say("GIVE_IN", format_args!(" {wrong}"));
                malformed(wrong.to_string())
            }
        }
    }
}

fn read_entry(fields: &mut Fields<'_>) -> Result<ListedServer, Malformed> {
    let (server, zone) = (fields.id("Endpoint")?, fields.need("Locality")?);
    fields.0.next();
    let cell = fields.maybe("Group")?.unwrap_or(0);
    let state = match fields.text("Health")? {
        "1" => Lifecycle::Ready,
        "2" => Lifecycle::Draining,
        "0" => Lifecycle::Removed,
        part => return malformed(format!("Health is unknown: {part:?}")),
    };
    let nominal = fields.maybe("Nominal")?.unwrap_or(1.0);
    let up_since = fields.maybe("CameUp")?.filter(|at| *at != 0).map(Duration::from_micros);
    Ok(ListedServer { server, zone, cell, lifecycle: state, nominal_capacity: nominal, started_at: up_since })
}
