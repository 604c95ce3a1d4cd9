//! The settings of an instance, decoded once at start.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Maximum number of request classes, and of tenants, in the settings.
const MAX_CLASSES_OR_TENANTS: usize = 10_000;

/// Whether a request that a server may have run may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Running the request again does no harm.
    Idempotent,
    /// The request's idempotency key lets servers deduplicate it, within this scope.
    IdempotencyKeyed(DedupScope),
    /// The request must run at most once.
    NonIdempotent,
}

/// The scope within which servers share idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers share the keys.
    All,
    /// The servers of one zone share the keys.
    Zone,
    /// The servers of one cell share the keys.
    Cell,
}

impl DedupScope {
    /// Whether a server at one of these places deduplicates a request that ran at the other. A place is a zone and a
    /// cell in it.
    pub fn covers(self, first: (u32, u32), second: (u32, u32)) -> bool {
        match self {
            DedupScope::All => true,
            DedupScope::Zone => first.0 == second.0,
            DedupScope::Cell => first == second,
        }
    }
}

/// A request class and the value of its answers.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Whether a request that may have run may be sent again.
    pub retry_safety: RetrySafety,
    /// How long servers remember idempotency keys; zero for classes without keys.
    pub dedup_window: Duration,
    /// An answer within this time earns the full `value`.
    pub latency_objective: Duration,
    /// Time from the arrival of a request to the deadline of its final response.
    pub time_limit: Duration,
    /// Value of an answer within the latency objective.
    pub value: f64,
    /// Value of an answer after the latency objective and before the deadline.
    pub late_value: f64,
}

impl RequestClass {
    /// The time after which an answer earns nothing, for a request that is complete at `now`.
    pub fn useful_until(&self, now: Duration, deadline: Duration) -> Duration {
        if self.late_value > 0.0 { deadline } else { deadline.min(now + self.latency_objective) }
    }
}

/// The actions that the decision engine may use.
#[derive(Clone, Debug)]
pub struct Capabilities {
    /// Whether servers may be checked by health checks.
    pub health_checks: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether two attempts of one request may be in flight at the same time.
    pub hedging: bool,
    /// Whether replicas may send messages to each other.
    pub peer_messages: bool,
    /// Maximum number of attempts per request, the first included.
    pub max_attempts: u32,
    /// Upper bound of Retry-After; `None` where clients do not honor the header.
    pub max_retry_after: Option<Duration>,
}

/// The slow start of servers that are new, were restarted or return from an ejection.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// Fraction of its full share of requests that a server gets at the beginning.
    pub initial_fraction: f64,
    /// Time from the beginning until the server gets its full share.
    pub duration: Duration,
    /// A server is overloaded when it gets this multiple of the initial fraction.
    pub overload_multiple: f64,
    /// Time over which the multiple is measured.
    pub overload_window: Duration,
}

/// Prices of actions, in points of the objective per request.
#[derive(Clone, Debug)]
pub struct Costs {
    /// Price of an attempt to a server in another zone.
    pub cross_zone: f64,
    /// Price of one health check.
    pub health_check: f64,
    /// Price of a message of full length to one replica.
    pub peer_message: f64,
    /// Price of an open connection.
    pub connection: f64,
}

/// Weights of the parts of the objective.
#[derive(Clone, Debug)]
pub struct ObjectiveWeights {
    /// Weight of the class with the largest shortfall.
    pub worst_class: f64,
}

/// The settings of one replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of replicas that share the servers, this one included.
    pub replicas: f64,
    /// Upper bound of the replicas that may be alive and send to a server in slow start; at least `replicas`.
    pub max_live_replicas: f64,
    /// The ordinal of this replica, from 0.
    pub ordinal: u32,
    /// The tier of this replica; tier 0 receives the requests of the clients.
    pub tier: u32,
    /// Connections that are idle for longer than this are closed.
    pub idle_connection_timeout: Duration,
    /// The zone of this replica.
    pub zone: u32,
    /// Whether the endpoint list is polled; otherwise it arrives without a poll.
    pub polls_discovery: bool,
    /// Time between two polls.
    pub poll_interval: Duration,
    /// Resolution of the host's timers.
    pub timer_resolution: Duration,
    /// Whether the value of an answer is proportional to the work that it takes.
    pub value_by_work: bool,
    /// Value of a request beyond its tenant's quota, as a fraction of its normal value.
    pub over_quota_value: f64,
    /// Quotas by tenant number, in requests per second over all replicas.
    pub quotas: Vec<f64>,
    /// The request classes, by class number.
    pub classes: Vec<RequestClass>,
    /// The actions that the decision engine may use.
    pub capabilities: Capabilities,
    /// The slow start of servers.
    pub slow_start: SlowStart,
    /// Prices of actions, in points of the objective.
    pub costs: Costs,
    /// Whether health checks alone report the load of a server.
    pub health_checks_report_load: bool,
    /// Weights of the parts of the objective.
    pub objective: ObjectiveWeights,
}

/// A setting that is missing or has an invalid value.
#[derive(Debug, PartialEq, Eq)]
pub struct SettingError {
    /// Path of the setting.
    pub path: String,
    /// Value of the setting; `None` if it is missing.
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

/// Settings as paths and values. The value `-` counts as missing.
struct SettingPairs<'a>(BTreeMap<&'a str, &'a str>);

impl SettingPairs<'_> {
    fn required<T: FromStr>(&self, path: &str) -> Result<T, SettingError> {
        self.optional(path)?.ok_or(SettingError { path: path.into(), value: None })
    }

    fn optional<T: FromStr>(&self, path: &str) -> Result<Option<T>, SettingError> {
        let Some(raw) = self.0.get(path).filter(|raw| **raw != "-") else { return Ok(None) };
        let parsed = raw.parse().map_err(|_| self.invalid(path))?;
        Ok(Some(parsed))
    }

    /// A finite number that is not negative; `default` if the setting is missing.
    fn number(&self, path: &str, default: f64) -> Result<f64, SettingError> {
        match self.optional::<f64>(path)? {
            Some(number) if !number.is_finite() || number < 0.0 => Err(self.invalid(path)),
            number => Ok(number.unwrap_or(default)),
        }
    }

    /// A required number from `min` to `max`.
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

    fn duration(&self, path: &str) -> Result<Duration, SettingError> {
        Ok(Duration::from_micros(self.required(path)?))
    }

    fn optional_duration(&self, path: &str) -> Result<Option<Duration>, SettingError> {
        Ok(self.optional(path)?.map(Duration::from_micros))
    }

    fn count(&self, path: &str) -> Result<usize, SettingError> {
        let count = self.optional(path)?.unwrap_or(0);
        if count > MAX_CLASSES_OR_TENANTS { Err(self.invalid(path)) } else { Ok(count) }
    }

    fn invalid(&self, path: &str) -> SettingError {
        SettingError { path: path.into(), value: self.0.get(path).map(|raw| (*raw).into()) }
    }

    fn class(&self, index: usize) -> Result<RequestClass, SettingError> {
        let path = |field: &str| format!("Verbs.{index}.{field}");
        let retry_safety = match self.required::<String>(&path("Effect"))?.as_str() {
            "idempotent" => RetrySafety::Idempotent,
            "deduplicated" => RetrySafety::IdempotencyKeyed(self.dedup_scope(&path("KeyScope"))?),
            "at_most_once" => RetrySafety::NonIdempotent,
            _ => return Err(self.invalid(&path("Effect"))),
        };
        let dedup_window = match retry_safety {
            RetrySafety::IdempotencyKeyed(_) => self.duration(&path("MemorySpan"))?,
            _ => Duration::ZERO,
        };
        let time_limit = self.duration(&path("TimeLimit"))?;
        Ok(RequestClass {
            retry_safety,
            dedup_window,
            time_limit,
            latency_objective: self.optional_duration(&path("ResponseGoal"))?.unwrap_or(time_limit),
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

    /// Whether health checks serve as the source of load. They do only where they report the requests that a server
    /// works on: the number of queued requests does not include those.
    fn health_checks_report_load(&self) -> Result<bool, SettingError> {
        let report_fields = self.optional::<String>("Report.Fields")?.unwrap_or_default();
        let report_source = self.optional::<String>("Report.How")?;
        Ok(report_source.as_deref() == Some("probe")
            && report_fields.split(',').any(|field| field == "active"))
    }

    fn capabilities(&self) -> Result<Capabilities, SettingError> {
        let max_retry_after =
            self.optional_duration("PolicyLimits.MaxRetryAfter")?.filter(|duration| !duration.is_zero());
        let clients_honor_it = self.flag("PolicyLimits.RetryAfter")?;
        Ok(Capabilities {
            health_checks: self.flag("PolicyLimits.Probes")?,
            cancellation: self.flag("PolicyLimits.MayCancel")?,
            hedging: self.flag("PolicyLimits.ParallelTries")?,
            peer_messages: self.flag("PolicyLimits.Peers")?,
            max_attempts: self.optional("PolicyLimits.MostRelays")?.unwrap_or(1),
            max_retry_after: max_retry_after.filter(|_| clients_honor_it),
        })
    }
}

impl Settings {
    /// Decodes `path=value` pairs, separated by spaces. Unknown keys are ignored.
    pub fn decode(text: &str) -> Result<Settings, SettingError> {
        let pairs = SettingPairs(text.split(' ').filter_map(|pair| pair.split_once('=')).collect());
        let classes = pairs.count("Verbs.count")?;
        let tenants = pairs.count("Tenants.count")?;
        let quota = |index| pairs.number(&format!("Tenants.{index}.QuotaRps"), f64::MAX);
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
            idle_connection_timeout: pairs
                .optional_duration("PolicyLimits.ConnIdle")?
                .unwrap_or(Duration::MAX),
            zone: pairs.optional("MyZone")?.unwrap_or(0),
            polls_discovery,
            poll_interval: pairs.optional_duration("Rules.AskEvery")?.unwrap_or(Duration::MAX),
            timer_resolution: pairs.optional_duration("Resolution")?.unwrap_or(Duration::ZERO),
            value_by_work: pairs.optional::<String>("UtilityBasis")?.as_deref() == Some("work"),
            over_quota_value: pairs.number("BeyondShareUtility", 1.0)?,
            quotas: (0..tenants).map(quota).collect::<Result<_, _>>()?,
            classes: (0..classes).map(|index| pairs.class(index)).collect::<Result<_, _>>()?,
            capabilities: pairs.capabilities()?,
            slow_start: SlowStart {
                initial_fraction: pairs.required_number("Rules.ColdShare", 0.0, 1.0)?,
                duration: pairs.duration("Rules.Cold")?,
                overload_multiple: pairs.required_number("Rules.TipMultiple", 0.0, f64::MAX)?,
                overload_window: pairs.duration("Rules.Fall")?,
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
