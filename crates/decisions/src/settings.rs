//! The settings an instance is handed at start, decoded once.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// The most classes or tenants that settings may name.
const MAX_COUNT: usize = 10_000;

/// Whether a request that may have run may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Running it again does no harm.
    Idempotent,
    /// Its idempotency key lets servers drop repeats, within this scope.
    IdempotencyKeyed(DedupScope),
    /// It may run once at the most.
    NonIdempotent,
}

/// Which servers drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

impl DedupScope {
    /// Whether a server at one place, a zone and a cell in it, drops repeats of what ran at another.
    pub fn covers(self, one: (u32, u32), other: (u32, u32)) -> bool {
        match self {
            DedupScope::All => true,
            DedupScope::Zone => one.0 == other.0,
            DedupScope::Cell => one == other,
        }
    }
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Whether a request that may have run may be sent again.
    pub retry_safety: RetrySafety,
    /// How long servers remember idempotency keys.
    pub dedup_window: Duration,
    /// An answer within this time earns the full value.
    pub latency_objective: Duration,
    /// The time after which a request must have its final response.
    pub time_limit: Duration,
    /// What an answer within the objective is worth.
    pub value: f64,
    /// What a later answer is worth.
    pub late_value: f64,
}

impl RequestClass {
    /// Past this time an answer earns nothing, for a request that is complete at `now`.
    pub fn useful_until(&self, now: Duration, deadline: Duration) -> Duration {
        if self.late_value > 0.0 { deadline } else { deadline.min(now + self.latency_objective) }
    }
}

/// What the decisions may make use of.
#[derive(Clone, Debug)]
pub struct Capabilities {
    /// Health checks.
    pub health_checks: bool,
    /// Cancelling attempts.
    pub cancellation: bool,
    /// Two attempts of one request at a time.
    pub hedging: bool,
    /// Messages between replicas.
    pub peer_messages: bool,
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// The longest Retry-After; none where clients do not heed it.
    pub max_retry_after: Option<Duration>,
}

/// The slow start of servers.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// The fraction of its full share with which a server begins.
    pub initial_fraction: f64,
    /// The time until it gets its full share.
    pub duration: Duration,
    /// A server that gets this many times the initial fraction is overloaded by it.
    pub overload_multiple: f64,
    /// The time over which that is measured.
    pub overload_window: Duration,
}

/// Prices, in points of the objective per request.
#[derive(Clone, Debug)]
pub struct Costs {
    /// Of an attempt to a server in another zone.
    pub cross_zone: f64,
    /// Of a health check.
    pub health_check: f64,
    /// Of a full message to one replica.
    pub peer_message: f64,
    /// Of an open connection.
    pub connection: f64,
}

/// How the objective weighs its parts.
#[derive(Clone, Debug)]
pub struct ObjectiveWeights {
    /// The weight of the class that falls furthest short.
    pub worst_class: f64,
}

/// All settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many replicas share the servers.
    pub replicas: f64,
    /// How many replicas may send to a server in slow start: no less than `replicas`.
    pub max_live_replicas: f64,
    /// This replica's number among them.
    pub ordinal: u32,
    /// The tier of this replica; 0 takes the clients' requests.
    pub tier: u32,
    /// Connections idle for longer are closed.
    pub idle_connection_timeout: Duration,
    /// The zone of this replica.
    pub zone: u32,
    /// The endpoint list has to be asked for.
    pub polls_discovery: bool,
    /// The time between two polls.
    pub poll_interval: Duration,
    /// The host's timers are no finer than this.
    pub timer_resolution: Duration,
    /// Answers are worth as much as the work that they take.
    pub value_by_work: bool,
    /// What requests beyond their tenant's quota are worth, as a fraction.
    pub over_quota_value: f64,
    /// By tenant, requests per second over all replicas.
    pub quotas: Vec<f64>,
    /// The request classes, by number.
    pub classes: Vec<RequestClass>,
    /// What the decisions may make use of.
    pub capabilities: Capabilities,
    /// The slow start of servers.
    pub slow_start: SlowStart,
    /// Prices.
    pub costs: Costs,
    /// Health checks alone tell how many requests a server holds.
    pub health_checks_report_load: bool,
    /// How the objective weighs its parts.
    pub objective: ObjectiveWeights,
}

/// A setting that cannot be used.
#[derive(Debug, PartialEq, Eq)]
pub struct SettingError {
    /// The setting's path.
    pub path: String,
    /// Its value; none where the setting is missing.
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

/// Settings as paths and values. A value of `-` counts as missing.
struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl Pairs<'_> {
    fn required<T: FromStr>(&self, path: &str) -> Result<T, SettingError> {
        self.optional(path)?.ok_or(SettingError { path: path.into(), value: None })
    }

    fn optional<T: FromStr>(&self, path: &str) -> Result<Option<T>, SettingError> {
        let Some(raw) = self.0.get(path).filter(|raw| **raw != "-") else { return Ok(None) };
        let parsed = raw.parse().map_err(|_| self.invalid(path))?;
        Ok(Some(parsed))
    }

    /// A number that is not negative.
    fn number(&self, path: &str, default: f64) -> Result<f64, SettingError> {
        match self.optional::<f64>(path)? {
            Some(number) if !number.is_finite() || number < 0.0 => Err(self.invalid(path)),
            number => Ok(number.unwrap_or(default)),
        }
    }

    /// A number from `min` to `max` that must be there.
    fn required_number(&self, path: &str, min: f64, max: f64) -> Result<f64, SettingError> {
        let number: f64 = self.required(path)?;
        if (min..=max).contains(&number) { Ok(number) } else { Err(self.invalid(path)) }
    }

    fn flag(&self, path: &str) -> Result<bool, SettingError> {
        match self.0.get(path) {
            None | Some(&"-" | &"false" | &"0") => Ok(false),
            Some(&"true" | &"1") => Ok(true),
            Some(_) => Err(self.invalid(path)),
        }
    }

    fn span(&self, path: &str) -> Result<Duration, SettingError> {
        Ok(Duration::from_micros(self.required(path)?))
    }

    fn optional_span(&self, path: &str) -> Result<Option<Duration>, SettingError> {
        Ok(self.optional(path)?.map(Duration::from_micros))
    }

    fn count(&self, path: &str) -> Result<usize, SettingError> {
        let count = self.optional(path)?.unwrap_or(0);
        if count > MAX_COUNT { Err(self.invalid(path)) } else { Ok(count) }
    }

    fn invalid(&self, path: &str) -> SettingError {
        SettingError { path: path.into(), value: self.0.get(path).map(|raw| (*raw).into()) }
    }

    fn class(&self, at: usize) -> Result<RequestClass, SettingError> {
        let path = |leaf: &str| format!("Verbs.{at}.{leaf}");
        let retry_safety = match self.required::<String>(&path("Effect"))?.as_str() {
            "idempotent" => RetrySafety::Idempotent,
            "deduplicated" => RetrySafety::IdempotencyKeyed(self.dedup_scope(&path("KeyScope"))?),
            "at_most_once" => RetrySafety::NonIdempotent,
            _ => return Err(self.invalid(&path("Effect"))),
        };
        let dedup_window = match retry_safety {
            RetrySafety::IdempotencyKeyed(_) => self.span(&path("MemorySpan"))?,
            _ => Duration::ZERO,
        };
        let time_limit = self.span(&path("TimeLimit"))?;
        Ok(RequestClass {
            retry_safety,
            dedup_window,
            time_limit,
            latency_objective: self.optional_span(&path("ResponseGoal"))?.unwrap_or(time_limit),
            value: self.number(&path("Utility"), 1.0)?,
            late_value: self.number(&path("OverdueUtility"), 0.0)?,
        })
    }

    fn dedup_scope(&self, path: &str) -> Result<DedupScope, SettingError> {
        match self.required::<String>(path)?.as_str() {
            "all" => Ok(DedupScope::All),
            "zone" => Ok(DedupScope::Zone),
            "cell" => Ok(DedupScope::Cell),
            _ => Err(self.invalid(path)),
        }
    }

    /// Health checks are used for load only where they report the requests that a server works on; those that wait
    /// hide them.
    fn health_checks_report_load(&self) -> Result<bool, SettingError> {
        let fields = self.optional::<String>("Report.Fields")?.unwrap_or_default();
        let how = self.optional::<String>("Report.How")?;
        Ok(how.as_deref() == Some("probe") && fields.split(',').any(|field| field == "active"))
    }

    fn capabilities(&self) -> Result<Capabilities, SettingError> {
        let max_retry_after =
            self.optional_span("PolicyLimits.MaxRetryAfter")?.filter(|span| !span.is_zero());
        let is_heeded = self.flag("PolicyLimits.RetryAfter")?;
        Ok(Capabilities {
            health_checks: self.flag("PolicyLimits.Probes")?,
            cancellation: self.flag("PolicyLimits.MayCancel")?,
            hedging: self.flag("PolicyLimits.ParallelTries")?,
            peer_messages: self.flag("PolicyLimits.Peers")?,
            max_attempts: self.optional("PolicyLimits.MostRelays")?.unwrap_or(1),
            max_retry_after: max_retry_after.filter(|_| is_heeded),
        })
    }
}

impl Settings {
    /// Reads `path=value` pairs; keys that nothing here uses are skipped.
    pub fn decode(text: &str) -> Result<Settings, SettingError> {
        let pairs = Pairs(text.split(' ').filter_map(|pair| pair.split_once('=')).collect());
        let classes = pairs.count("Verbs.count")?;
        let tenants = pairs.count("Tenants.count")?;
        let quota = |at| pairs.number(&format!("Tenants.{at}.QuotaRps"), f64::MAX);
        let polls_discovery = match pairs.required::<String>("Discovery")?.as_str() {
            "automatic" => false,
            "subscribe" => true,
            _ => return Err(pairs.invalid("Discovery")),
        };
        let replicas = pairs.number("Balancers", 1.0)?.max(1.0);
        Ok(Settings {
            replicas,
            max_live_replicas: replicas,
            ordinal: pairs.optional("Ordinal")?.unwrap_or(0),
            tier: pairs.optional("Tier")?.unwrap_or(0),
            idle_connection_timeout: pairs.optional_span("PolicyLimits.ConnIdle")?.unwrap_or(Duration::MAX),
            zone: pairs.optional("MyZone")?.unwrap_or(0),
            polls_discovery,
            poll_interval: pairs.optional_span("Rules.AskEvery")?.unwrap_or(Duration::MAX),
            timer_resolution: pairs.optional_span("Resolution")?.unwrap_or(Duration::ZERO),
            value_by_work: pairs.optional::<String>("UtilityBasis")?.as_deref() == Some("work"),
            over_quota_value: pairs.number("BeyondShareUtility", 1.0)?,
            quotas: (0..tenants).map(quota).collect::<Result<_, _>>()?,
            classes: (0..classes).map(|at| pairs.class(at)).collect::<Result<_, _>>()?,
            capabilities: pairs.capabilities()?,
            slow_start: SlowStart {
                initial_fraction: pairs.required_number("Rules.ColdShare", 0.0, 1.0)?,
                duration: pairs.span("Rules.Cold")?,
                overload_multiple: pairs.required_number("Rules.TipMultiple", 0.0, f64::MAX)?,
                overload_window: pairs.span("Rules.Fall")?,
            },
            costs: Costs {
                cross_zone: pairs.number("Costs.CrossZone", 0.0)?,
                health_check: pairs.number("Costs.Probe", 0.0)?,
                peer_message: pairs.number("Costs.Peer", 0.0)?,
                connection: pairs.number("Costs.Connection", 0.0)?,
            },
            health_checks_report_load: pairs.health_checks_report_load()?,
            objective: ObjectiveWeights { worst_class: pairs.number("Goal.WorstClass", 0.0)? },
        })
    }
}
