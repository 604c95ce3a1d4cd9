//! The settings an instance is handed at start, decoded once.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    Idempotent,
    IdempotencyKeyed(DedupScope),
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

impl DedupScope {
    /// Whether what drops repeats at one place, a zone and a cell in it, does so at another.
    pub fn covers(self, one: (u32, u32), other: (u32, u32)) -> bool {
        match self {
            DedupScope::All => true,
            DedupScope::Zone => one.0 == other.0,
            DedupScope::Cell => one == other,
        }
    }
}

#[derive(Clone, Debug)]
pub struct RequestClass {
    pub retry_safety: RetrySafety,
    pub dedup_window: Duration,
    pub latency_objective: Duration,
    pub time_limit: Duration,
    pub value: f64,
    pub late_value: f64,
}

impl RequestClass {
    /// Past this an answer earns nothing, to a command that came whole just now.
    pub fn useful_until(&self, now: Duration, due: Duration) -> Duration {
        if self.late_value > 0.0 { due } else { due.min(now + self.latency_objective) }
    }
}

#[derive(Clone, Debug)]
pub struct Capabilities {
    pub health_checks: bool,
    pub cancellation: bool,
    pub hedging: bool,
    pub peer_messages: bool,
    pub max_attempts: u32,
    pub max_retry_after: Option<Duration>,
}

#[derive(Clone, Debug)]
pub struct SlowStart {
    pub initial_fraction: f64,
    pub duration: Duration,
    pub overload_multiple: f64,
    pub overload_window: Duration,
}

#[derive(Clone, Debug)]
pub struct Costs {
    pub cross_zone: f64,
    pub health_check: f64,
    pub peer_message: f64,
    pub connection: f64,
}

#[derive(Clone, Debug)]
pub struct ObjectiveWeights {
    pub worst_class: f64,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub replicas: f64,
    /// How many copies may send to a cold server: no less than the balancers.
    pub max_live_replicas: f64,
    pub ordinal: u32,
    pub tier: u32,
    /// Connections idle for longer are closed.
    pub idle_connection_timeout: Duration,
    pub zone: u32,
    pub polls_discovery: bool,
    pub poll_interval: Duration,
    pub timer_resolution: Duration,
    pub value_by_work: bool,
    pub over_quota_value: f64,
    pub quotas: Vec<f64>,
    pub classes: Vec<RequestClass>,
    pub capabilities: Capabilities,
    pub slow_start: SlowStart,
    pub costs: Costs,
    /// Checks alone tell how many commands a server holds.
    pub health_checks_report_load: bool,
    pub objective: ObjectiveWeights,
}

#[derive(Debug, PartialEq, Eq)]
pub struct SettingError {
    pub path: String,
    pub value: Option<String>,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(f, "setting {} can't be read: {value:?}", self.path),
            None => write!(f, "setting {} is missing", self.path),
        }
    }
}

impl std::error::Error for SettingError {}

struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl Pairs<'_> {
    fn need<T: FromStr>(&self, path: &str) -> Result<T, SettingError> {
        self.maybe(path)?.ok_or(SettingError { path: path.into(), value: None })
    }

    fn maybe<T: FromStr>(&self, path: &str) -> Result<Option<T>, SettingError> {
        let Some(raw) = self.0.get(path).filter(|raw| **raw != "-") else { return Ok(None) };
        let parsed = raw.parse().map_err(|_| self.unreadable(path))?;
        Ok(Some(parsed))
    }

    fn figure(&self, path: &str, absent: f64) -> Result<f64, SettingError> {
        match self.maybe::<f64>(path)? {
            Some(figure) if !figure.is_finite() || figure < 0.0 => Err(self.unreadable(path)),
            figure => Ok(figure.unwrap_or(absent)),
        }
    }

    /// A share or a multiple that has to be told.
    fn needed_figure(&self, path: &str, least: f64, most: f64) -> Result<f64, SettingError> {
        let figure: f64 = self.need(path)?;
        if (least..=most).contains(&figure) { Ok(figure) } else { Err(self.unreadable(path)) }
    }

    fn flag(&self, path: &str) -> Result<bool, SettingError> {
        match self.0.get(path) {
            None | Some(&"-" | &"false" | &"0") => Ok(false),
            Some(&"true" | &"1") => Ok(true),
            Some(_) => Err(self.unreadable(path)),
        }
    }

    fn span(&self, path: &str) -> Result<Duration, SettingError> {
        Ok(Duration::from_micros(self.need(path)?))
    }

    fn maybe_span(&self, path: &str) -> Result<Option<Duration>, SettingError> {
        Ok(self.maybe(path)?.map(Duration::from_micros))
    }

    fn count(&self, path: &str) -> Result<usize, SettingError> {
        let count = self.maybe(path)?.unwrap_or(0);
        if count > 10_000 { Err(self.unreadable(path)) } else { Ok(count) }
    }

    fn unreadable(&self, path: &str) -> SettingError {
        SettingError { path: path.into(), value: self.0.get(path).map(|raw| (*raw).into()) }
    }

    fn class(&self, at: usize) -> Result<RequestClass, SettingError> {
        let path = |leaf: &str| format!("Verbs.{at}.{leaf}");
        let repeats = match self.need::<String>(&path("Effect"))?.as_str() {
            "idempotent" => RetrySafety::Idempotent,
            "deduplicated" => RetrySafety::IdempotencyKeyed(self.dedup_scope(&path("KeyScope"))?),
            "at_most_once" => RetrySafety::NonIdempotent,
            _ => return Err(self.unreadable(&path("Effect"))),
        };
        let memory = match repeats {
            RetrySafety::IdempotencyKeyed(_) => self.span(&path("MemorySpan"))?,
            _ => Duration::ZERO,
        };
        let limit = self.span(&path("TimeLimit"))?;
        Ok(RequestClass {
            retry_safety: repeats,
            dedup_window: memory,
            time_limit: limit,
            latency_objective: self.maybe_span(&path("ResponseGoal"))?.unwrap_or(limit),
            value: self.figure(&path("Utility"), 1.0)?,
            late_value: self.figure(&path("OverdueUtility"), 0.0)?,
        })
    }

    fn dedup_scope(&self, path: &str) -> Result<DedupScope, SettingError> {
        match self.need::<String>(path)?.as_str() {
            "all" => Ok(DedupScope::All),
            "zone" => Ok(DedupScope::Zone),
            "cell" => Ok(DedupScope::Cell),
            _ => Err(self.unreadable(path)),
        }
    }

    /// The commands that a server holds are what load checks go by; what waits alone hides those at work.
    fn checks_tell(&self) -> Result<bool, SettingError> {
        let fields = self.maybe::<String>("Report.Fields")?.unwrap_or_default();
        let how = self.maybe::<String>("Report.How")?;
        Ok(how.as_deref() == Some("probe") && fields.split(',').any(|field| field == "active"))
    }

    fn capabilities(&self) -> Result<Capabilities, SettingError> {
        let come_back = self.maybe_span("PolicyLimits.MaxRetryAfter")?.filter(|span| !span.is_zero());
        let heard = self.flag("PolicyLimits.RetryAfter")?;
        Ok(Capabilities {
            health_checks: self.flag("PolicyLimits.Probes")?,
            cancellation: self.flag("PolicyLimits.MayCancel")?,
            hedging: self.flag("PolicyLimits.ParallelTries")?,
            peer_messages: self.flag("PolicyLimits.Peers")?,
            max_attempts: self.maybe("PolicyLimits.MostRelays")?.unwrap_or(1),
            max_retry_after: come_back.filter(|_| heard),
        })
    }
}

impl Settings {
    /// Reads `path=value` pairs; keys that nothing here uses are skipped.
    pub fn decode(text: &str) -> Result<Settings, SettingError> {
        let pairs = Pairs(text.split(' ').filter_map(|pair| pair.split_once('=')).collect());
        let verbs = pairs.count("Verbs.count")?;
        let tenants = pairs.count("Tenants.count")?;
        let quota = |at| pairs.figure(&format!("Tenants.{at}.QuotaRps"), f64::MAX);
        let must_ask = match pairs.need::<String>("Discovery")?.as_str() {
            "automatic" => false,
            "subscribe" => true,
            _ => return Err(pairs.unreadable("Discovery")),
        };
        let balancers = pairs.figure("Balancers", 1.0)?.max(1.0);
        Ok(Settings {
            replicas: balancers,
            max_live_replicas: balancers,
            ordinal: pairs.maybe("Ordinal")?.unwrap_or(0),
            tier: pairs.maybe("Tier")?.unwrap_or(0),
            idle_connection_timeout: pairs.maybe_span("PolicyLimits.ConnIdle")?.unwrap_or(Duration::MAX),
            zone: pairs.maybe("MyZone")?.unwrap_or(0),
            polls_discovery: must_ask,
            poll_interval: pairs.maybe_span("Rules.AskEvery")?.unwrap_or(Duration::MAX),
            timer_resolution: pairs.maybe_span("Resolution")?.unwrap_or(Duration::ZERO),
            value_by_work: pairs.maybe::<String>("UtilityBasis")?.as_deref() == Some("work"),
            over_quota_value: pairs.figure("BeyondShareUtility", 1.0)?,
            quotas: (0..tenants).map(quota).collect::<Result<_, _>>()?,
            classes: (0..verbs).map(|at| pairs.class(at)).collect::<Result<_, _>>()?,
            capabilities: pairs.capabilities()?,
            slow_start: SlowStart {
                initial_fraction: pairs.needed_figure("Rules.ColdShare", 0.0, 1.0)?,
                duration: pairs.span("Rules.Cold")?,
                overload_multiple: pairs.needed_figure("Rules.TipMultiple", 0.0, f64::MAX)?,
                overload_window: pairs.span("Rules.Fall")?,
            },
            costs: Costs {
                cross_zone: pairs.figure("Costs.CrossZone", 0.0)?,
                health_check: pairs.figure("Costs.Probe", 0.0)?,
                peer_message: pairs.figure("Costs.Peer", 0.0)?,
                connection: pairs.figure("Costs.Connection", 0.0)?,
            },
            health_checks_report_load: pairs.checks_tell()?,
            objective: ObjectiveWeights { worst_class: pairs.figure("Goal.WorstClass", 0.0)? },
        })
    }
}
