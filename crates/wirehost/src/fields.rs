//! Parses the fields of one line. Fields are separated by single spaces and have a fixed order; an absent optional field is
//! `-`.

use crate::malformed::MalformedLine;
use landingspread_decisions::host::{Id, Lifecycle, ListedServer, LoadReport, Outcome, RequestArrival};
use std::str::FromStr;
use std::time::Duration;

/// The bit of a request's `Options` that marks its `CostGuess` as declared.
const COST_DECLARED: u32 = 1;

/// The fields of a line that are not read yet.
pub struct Fields<'a>(std::str::Split<'a, char>);

impl<'a> Fields<'a> {
    /// Splits a line, given without its line terminator, into fields.
    pub fn of(line: &'a str) -> Fields<'a> {
        Fields(line.split(' '))
    }

    /// The text of the next field; `None` at the end of the line.
    pub fn next_text(&mut self) -> Option<&'a str> {
        self.0.next()
    }

    /// The texts of all fields that are not read yet.
    pub fn remaining(&mut self) -> Vec<&'a str> {
        self.0.by_ref().collect()
    }

    fn skip(&mut self) {
        self.0.next();
    }

    /// The text of the next field; an error if the field is missing or empty.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, MalformedLine> {
        self.0.next().filter(|text| !text.is_empty()).ok_or(MalformedLine::MissingField(field))
    }

    fn optional<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, MalformedLine> {
        match self.0.next() {
            None | Some("-" | "") => Ok(None),
            Some(text) => match text.parse() {
                Ok(value) => Ok(Some(value)),
                Err(_) => Err(MalformedLine::UnreadableField { field, text: text.into() }),
            },
        }
    }

    /// The value of the next field; an error if the field is missing, empty, `-` or unreadable.
    pub fn required<T: FromStr>(&mut self, field: &'static str) -> Result<T, MalformedLine> {
        self.optional(field)?.ok_or(MalformedLine::MissingField(field))
    }

    /// A time or a duration, in microseconds on the wire.
    pub fn span(&mut self, field: &'static str) -> Result<Duration, MalformedLine> {
        Ok(Duration::from_micros(self.required(field)?))
    }

    /// The id of a request or a server.
    pub fn id(&mut self, field: &'static str) -> Result<Id, MalformedLine> {
        Ok(self.text(field)?.into())
    }

    /// A boolean: `1` for true, `0` for false.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, MalformedLine> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            text => Err(MalformedLine::UnreadableField { field, text: text.into() }),
        }
    }

    /// The outcome of an attempt or a health check, by its number on the wire.
    pub fn outcome(&mut self) -> Result<Outcome, MalformedLine> {
        Ok(match self.text("Rc")? {
            "10" => Outcome::Ok,
            "20" => Outcome::Error,
            "30" => Outcome::Overloaded,
            "40" => Outcome::Timeout,
            "50" => Outcome::ConnectFailed,
            "60" => Outcome::Reset,
            "70" => Outcome::Cancelled,
            "80" => Outcome::NotSent,
            text => return Err(MalformedLine::UnknownValue { field: "Rc", text: text.into() }),
        })
    }

    /// Bytes as pairs of hexadecimal digits; `-` stands for no bytes.
    pub fn bytes(&mut self, field: &'static str) -> Result<Vec<u8>, MalformedLine> {
        let text = self.text(field)?;
        let digits = if text == "-" { "" } else { text };
        let byte = |pair: &[u8]| {
            let pair = std::str::from_utf8(pair).ok().filter(|pair| pair.len() == 2)?;
            u8::from_str_radix(pair, 16).ok()
        };
        let bytes: Option<Vec<u8>> = digits.as_bytes().chunks(2).map(byte).collect();
        bytes.ok_or_else(|| MalformedLine::NotHex { field, text: text.into() })
    }

    /// A load report as `name:value` pairs separated by commas. A value that is unreadable, negative or not finite counts as
    /// not reported.
    pub fn load_report(&mut self) -> LoadReport {
        let mut report = LoadReport::default();
        for pair in self.0.next().unwrap_or("-").split(',') {
            let Some((name, value)) = pair.split_once(':') else { continue };
            let value = value.parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0);
            match name {
                "waiting" => report.queued = value,
                "active" => report.in_flight = value,
                "cpu" => report.utilization = value,
                _ => {}
            }
        }
        report
    }

    /// The fields of REQUEST that follow the instance's name.
    pub fn request_arrival(&mut self) -> Result<RequestArrival, MalformedLine> {
        let id = self.id("Req")?;
        let class = self.required("Grade")?;
        let deadline = self.span("Due")?;
        self.skip();
        let tenant = self.optional("Team")?.unwrap_or(0);
        let cost = self.optional("CostGuess")?.map(Duration::from_micros);
        let options = self.optional::<u32>("Options")?.unwrap_or(0);
        let declared_work = cost.filter(|_| options & COST_DECLARED != 0);
        Ok(RequestArrival { id, class, deadline, body_incomplete: false, tenant, declared_work })
    }

    /// The fields of ITEM, an entry of an endpoint list.
    pub fn listed_server(&mut self) -> Result<ListedServer, MalformedLine> {
        let server = self.id("Endpoint")?;
        let zone = self.required("Locality")?;
        self.skip();
        let cell = self.optional("Group")?.unwrap_or(0);
        let lifecycle = match self.text("Health")? {
            "1" => Lifecycle::Ready,
            "2" => Lifecycle::Draining,
            "0" => Lifecycle::Removed,
            text => return Err(MalformedLine::UnknownValue { field: "Health", text: text.into() }),
        };
        let nominal_capacity = self.optional("Nominal")?.unwrap_or(1.0);
        let started_at = self.optional("CameUp")?.filter(|at| *at != 0).map(Duration::from_micros);
        Ok(ListedServer { server, zone, cell, lifecycle, nominal_capacity, started_at })
    }
}
