//! The settings an instance is handed at start, decoded once.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    Pure,
    Receipted(Group),
    Effectful,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

impl Group {
    /// Whether what drops repeats at one place, a zone and a cell in it, does so at another.
    pub fn holds(self, one: (u32, u32), other: (u32, u32)) -> bool {
        match self {
            Group::All => true,
            Group::Zone => one.0 == other.0,
            Group::Cell => one == other,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Verb {
    pub repeats: Repeats,
    pub memory: Duration,
    pub goal: Duration,
    pub limit: Duration,
    pub utility: f64,
    pub overdue_utility: f64,
}

impl Verb {
    /// Past this an answer earns nothing, to a command that came whole just now.
    pub fn good_until(&self, now: Duration, due: Duration) -> Duration {
        if self.overdue_utility > 0.0 { due } else { due.min(now + self.goal) }
    }
}

#[derive(Clone, Debug)]
pub struct Allowed {
    pub checks: bool,
    pub cancel: bool,
    pub parallel: bool,
    pub peers: bool,
    pub relays: u32,
    pub come_back: Option<Duration>,
}

#[derive(Clone, Debug)]
pub struct ColdRule {
    pub share: f64,
    pub warm_after: Duration,
    pub multiple: f64,
    pub window: Duration,
}

#[derive(Clone, Debug)]
pub struct Prices {
    pub crossing: f64,
    pub check: f64,
    pub peer: f64,
    pub connection: f64,
}

#[derive(Clone, Debug)]
pub struct GoalWeights {
    pub worst_verb: f64,
}

#[derive(Clone, Debug)]
pub struct Terms {
    pub balancers: f64,
    /// How many copies may send to a cold server: no less than the balancers.
    pub may_live: f64,
    pub ordinal: u32,
    pub tier: u32,
    /// Connections idle for longer are closed.
    pub conn_idle: Duration,
    pub zone: u32,
    pub must_ask: bool,
    pub ask_every: Duration,
    pub resolution: Duration,
    pub utility_by_work: bool,
    pub beyond_quota: f64,
    pub quotas: Vec<f64>,
    pub verbs: Vec<Verb>,
    pub allowed: Allowed,
    pub cold: ColdRule,
    pub prices: Prices,
    /// Checks alone tell how many commands a server holds.
    pub checks_tell: bool,
    pub goal: GoalWeights,
}

#[derive(Debug, PartialEq, Eq)]
pub struct Unreadable {
    pub path: String,
    pub value: Option<String>,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(f, "setting {} can't be read: {value:?}", self.path),
            None => write!(f, "setting {} is missing", self.path),
        }
    }
}

impl std::error::Error for Unreadable {}

struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl Pairs<'_> {
    fn need<T: FromStr>(&self, path: &str) -> Result<T, Unreadable> {
        self.maybe(path)?.ok_or(Unreadable { path: path.into(), value: None })
    }

    fn maybe<T: FromStr>(&self, path: &str) -> Result<Option<T>, Unreadable> {
        let Some(raw) = self.0.get(path).filter(|raw| **raw != "-") else { return Ok(None) };
        let parsed = raw.parse().map_err(|_| self.unreadable(path))?;
        Ok(Some(parsed))
    }

    fn figure(&self, path: &str, absent: f64) -> Result<f64, Unreadable> {
        match self.maybe::<f64>(path)? {
            Some(figure) if !figure.is_finite() || figure < 0.0 => Err(self.unreadable(path)),
            figure => Ok(figure.unwrap_or(absent)),
        }
    }

    /// A share or a multiple that has to be told.
    fn needed_figure(&self, path: &str, least: f64, most: f64) -> Result<f64, Unreadable> {
        let figure: f64 = self.need(path)?;
        if (least..=most).contains(&figure) { Ok(figure) } else { Err(self.unreadable(path)) }
    }

    fn flag(&self, path: &str) -> Result<bool, Unreadable> {
        match self.0.get(path) {
            None | Some(&"-" | &"false" | &"0") => Ok(false),
            Some(&"true" | &"1") => Ok(true),
            Some(_) => Err(self.unreadable(path)),
        }
    }

    fn span(&self, path: &str) -> Result<Duration, Unreadable> {
        Ok(Duration::from_micros(self.need(path)?))
    }

    fn maybe_span(&self, path: &str) -> Result<Option<Duration>, Unreadable> {
        Ok(self.maybe(path)?.map(Duration::from_micros))
    }

    fn count(&self, path: &str) -> Result<usize, Unreadable> {
        let count = self.maybe(path)?.unwrap_or(0);
        if count > 10_000 { Err(self.unreadable(path)) } else { Ok(count) }
    }

    fn unreadable(&self, path: &str) -> Unreadable {
        Unreadable { path: path.into(), value: self.0.get(path).map(|raw| (*raw).into()) }
    }

    fn verb(&self, at: usize) -> Result<Verb, Unreadable> {
        let path = |leaf: &str| format!("Verbs.{at}.{leaf}");
        let repeats = match self.need::<String>(&path("Effect"))?.as_str() {
            "idempotent" => Repeats::Pure,
            "deduplicated" => Repeats::Receipted(self.group(&path("KeyScope"))?),
            "at_most_once" => Repeats::Effectful,
            _ => return Err(self.unreadable(&path("Effect"))),
        };
        let memory = match repeats {
            Repeats::Receipted(_) => self.span(&path("MemorySpan"))?,
            _ => Duration::ZERO,
        };
        let limit = self.span(&path("TimeLimit"))?;
        Ok(Verb {
            repeats,
            memory,
            limit,
            goal: self.maybe_span(&path("ResponseGoal"))?.unwrap_or(limit),
            utility: self.figure(&path("Utility"), 1.0)?,
            overdue_utility: self.figure(&path("OverdueUtility"), 0.0)?,
        })
    }

    fn group(&self, path: &str) -> Result<Group, Unreadable> {
        match self.need::<String>(path)?.as_str() {
            "all" => Ok(Group::All),
            "zone" => Ok(Group::Zone),
            "cell" => Ok(Group::Cell),
            _ => Err(self.unreadable(path)),
        }
    }

    /// The commands that a server holds are what load checks go by; what waits alone hides those at work.
    fn checks_tell(&self) -> Result<bool, Unreadable> {
        let fields = self.maybe::<String>("Report.Fields")?.unwrap_or_default();
        let how = self.maybe::<String>("Report.How")?;
        Ok(how.as_deref() == Some("probe") && fields.split(',').any(|field| field == "active"))
    }

    fn allowed(&self) -> Result<Allowed, Unreadable> {
        let come_back = self.maybe_span("PolicyLimits.MaxRetryAfter")?.filter(|span| !span.is_zero());
        let heard = self.flag("PolicyLimits.RetryAfter")?;
        Ok(Allowed {
            checks: self.flag("PolicyLimits.Probes")?,
            cancel: self.flag("PolicyLimits.MayCancel")?,
            parallel: self.flag("PolicyLimits.ParallelTries")?,
            peers: self.flag("PolicyLimits.Peers")?,
            relays: self.maybe("PolicyLimits.MostRelays")?.unwrap_or(1),
            come_back: come_back.filter(|_| heard),
        })
    }
}

impl Terms {
    /// Reads `path=value` pairs; keys that nothing here uses are skipped.
    pub fn decode(text: &str) -> Result<Terms, Unreadable> {
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
        Ok(Terms {
            balancers,
            may_live: balancers,
            ordinal: pairs.maybe("Ordinal")?.unwrap_or(0),
            tier: pairs.maybe("Tier")?.unwrap_or(0),
            conn_idle: pairs.maybe_span("PolicyLimits.ConnIdle")?.unwrap_or(Duration::MAX),
            zone: pairs.maybe("MyZone")?.unwrap_or(0),
            must_ask,
            ask_every: pairs.maybe_span("Rules.AskEvery")?.unwrap_or(Duration::MAX),
            resolution: pairs.maybe_span("Resolution")?.unwrap_or(Duration::ZERO),
            utility_by_work: pairs.maybe::<String>("UtilityBasis")?.as_deref() == Some("work"),
            beyond_quota: pairs.figure("BeyondShareUtility", 1.0)?,
            quotas: (0..tenants).map(quota).collect::<Result<_, _>>()?,
            verbs: (0..verbs).map(|at| pairs.verb(at)).collect::<Result<_, _>>()?,
            allowed: pairs.allowed()?,
            cold: ColdRule {
                share: pairs.needed_figure("Rules.ColdShare", 0.0, 1.0)?,
                warm_after: pairs.span("Rules.Cold")?,
                multiple: pairs.needed_figure("Rules.TipMultiple", 0.0, f64::MAX)?,
                window: pairs.span("Rules.Fall")?,
            },
            prices: Prices {
                crossing: pairs.figure("Costs.CrossZone", 0.0)?,
                check: pairs.figure("Costs.Probe", 0.0)?,
                peer: pairs.figure("Costs.Peer", 0.0)?,
                connection: pairs.figure("Costs.Connection", 0.0)?,
            },
            checks_tell: pairs.checks_tell()?,
            goal: GoalWeights { worst_verb: pairs.figure("Goal.WorstClass", 0.0)? },
        })
    }
}
