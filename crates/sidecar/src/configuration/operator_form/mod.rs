//! The operators' form: one TOML file, `landingspread.toml`. It owns this form's names, every default and every
//! check of them; a fault names the file, the line and the key.

pub mod control;
mod fleet;
mod localities;

use super::settings::{
    CONN_IDLE, ConfigError, Configuration, DIAL_TIMEOUT, MAX_OPEN, MEMORY_MB, MEMORY_MB_LEAST, SOCKETS,
    SOCKETS_LEAST, inherited, verb_fault,
};
use crate::catalog::{Catalog, CatalogEntry};
use crate::clock::Clock;
use landingspread_decisions::host::{Lifecycle, ListedServer};
use landingspread_decisions::settings::{
    self, Capabilities, Costs, DedupScope, ObjectiveWeights, RetrySafety as Repeated, Settings, SlowStart,
};
use landingspread_files::{Wrong, from_toml, text_of};
use serde::Deserialize;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What `landingspread init` prints.
pub const EXAMPLE: &str = include_str!("example.toml");

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    listen: SocketAddr,
    seed: Option<u64>,
    #[serde(default = "one_zone")]
    zones: Vec<String>,
    zone: Option<String>,
    #[serde(default)]
    tier: u32,
    #[serde(default = "one")]
    copies: u32,
    #[serde(default)]
    ordinal: u32,
    /// Every copy's address for words between them, by its ordinal.
    #[serde(default)]
    peers: Vec<SocketAddr>,
    fleet: Option<fleet::Part>,
    localities: Option<localities::Part>,
    control: Option<control::Part>,
    cost_header: Option<String>,
    learnt: Option<PathBuf>,
    console: Option<SocketAddr>,
    state: Option<PathBuf>,
    discovery: Option<Discovered>,
    #[serde(default)]
    servers: Vec<Server>,
    verbs: Vec<Verb>,
    #[serde(default)]
    tenants: Vec<Tenant>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    rules: Rules,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Discovered {
    address: SocketAddr,
    #[serde(default)]
    begins: Begins,
}

#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Begins {
    #[default]
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Server {
    id: String,
    address: SocketAddr,
    zone: Option<String>,
    #[serde(default)]
    cell: u32,
    #[serde(default = "full")]
    weight: f64,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Repeats {
    Pure,
    Receipted,
    Effectful,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Among {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Verb {
    name: String,
    repeats: Repeats,
    group: Option<Among>,
    #[serde(default, with = "humantime_serde")]
    memory: Option<Duration>,
    #[serde(with = "humantime_serde")]
    goal: Duration,
    #[serde(with = "humantime_serde")]
    limit: Duration,
    #[serde(default = "full")]
    utility: f64,
    #[serde(default)]
    overdue_utility: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Tenant {
    name: String,
    quota: Option<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Limits {
    sockets: u64,
    memory_mb: u64,
    max_open: u64,
    #[serde(with = "humantime_serde")]
    conn_idle: Duration,
    #[serde(with = "humantime_serde")]
    dial: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        let (conn_idle, dial) = (CONN_IDLE, DIAL_TIMEOUT);
        Limits { sockets: SOCKETS, memory_mb: MEMORY_MB, max_open: MAX_OPEN, conn_idle, dial }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Rules {
    relays: u32,
    checks: bool,
    cancel: bool,
    parallel: bool,
    #[serde(with = "humantime_serde")]
    come_back: Duration,
    cold_share: f64,
    #[serde(with = "humantime_serde")]
    warm_after: Duration,
    crossing: f64,
    utility_by_work: bool,
    worst_verb: f64,
    check: f64,
    peer: f64,
    connection: f64,
    checks_tell: bool,
    beyond_quota: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            relays: 3,
            checks: true,
            cancel: true,
            parallel: false,
            come_back: Duration::from_secs(1),
            cold_share: 0.3,
            warm_after: Duration::from_secs(8),
            crossing: 0.0,
            utility_by_work: false,
            worst_verb: 0.0,
            check: 0.0,
            peer: 0.0,
            connection: 0.0,
            checks_tell: false,
            beyond_quota: 1.0,
        }
    }
}

fn one_zone() -> Vec<String> {
    vec!["a".into()]
}

fn one() -> u32 {
    1
}

fn full() -> f64 {
    1.0
}

impl From<Wrong> for ConfigError {
    fn from(wrong: Wrong) -> ConfigError {
        ConfigError(wrong.to_string())
    }
}

pub fn read(path: &Path, told: &dyn Fn(&str) -> Option<String>) -> Result<Configuration, ConfigError> {
    let (name, text) = text_of(path)?;
    take(&name, &text, told)
}

pub fn take(
    name: &str,
    text: &str,
    told: &dyn Fn(&str) -> Option<String>,
) -> Result<Configuration, ConfigError> {
    let mut file: File = from_toml(name, text)?;
    for (variable, into) in [("NODE_LISTEN", &mut file.listen)] {
        if let Some(address) = told(variable) {
            *into = parsed(variable, &address)?;
        }
    }
    if let Some(address) = told("NODE_CONSOLE") {
        file.console = Some(parsed("NODE_CONSOLE", &address)?);
    }
    if let Some(address) = told("NODE_DISCOVERY") {
        let begins = file.discovery.take().map_or(Begins::Automatic, |discovery| discovery.begins);
        file.discovery = Some(Discovered { address: parsed("NODE_DISCOVERY", &address)?, begins });
    }
    file.name = told("NODE_NAME").unwrap_or(file.name);
    if let Some((key, what)) = first_fault(&file) {
        return Err(Wrong::at_key(name, text, &key, what).into());
    }
    Ok(Configuration { inherited_listener: inherited(told)?, ..launch(file) })
}

fn parsed(variable: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| {
        super::settings::config_error(variable, format_args!("{text:?} is no address with a port"))
    })
}

type Found = Option<(String, String)>;

/// The first key whose value can't be gone by.
fn first_fault(file: &File) -> Found {
    whole(file)
        .or_else(|| file.verbs.iter().enumerate().find_map(|(at, verb)| of_verb(file, at, verb)))
        .or_else(|| file.servers.iter().enumerate().find_map(|(at, server)| of_server(file, at, server)))
        .or_else(|| file.tenants.iter().enumerate().find_map(|(at, tenant)| of_tenant(file, at, tenant)))
}

fn found(key: &str, what: impl Into<String>) -> Found {
    Some((key.into(), what.into()))
}

fn share(key: &str, figure: f64, most: f64) -> Found {
    let within = figure.is_finite() && (0.0..=most).contains(&figure);
    if within { None } else { found(key, format!("{figure} does not lie from 0 to {most}")) }
}

fn least(key: &str, figure: u64, least: u64) -> Found {
    if figure >= least { None } else { found(key, format!("{figure} is under {least}")) }
}

fn whole(file: &File) -> Found {
    let Limits { sockets, memory_mb, max_open, .. } = file.limits;
    if let Some(zone) = file.zone.as_ref().filter(|zone| !file.zones.contains(zone)) {
        return found("zone", format!("{zone:?} is none of the zones"));
    }
    if file.zones.is_empty() {
        return found("zones", "at least one is wanted");
    }
    if file.verbs.is_empty() {
        return found("verbs", "at least one is wanted");
    }
    if file.discovery.is_none() && file.servers.is_empty() {
        return found("servers", "without a discovery at least one is wanted");
    }
    let copies = file.copies as usize;
    if !file.peers.is_empty() && (file.peers.len() != copies || file.ordinal >= file.copies) {
        return found("peers", format!("{} addresses for {copies} copies", file.peers.len()));
    }
    let own = file.peers.get(file.ordinal as usize);
    if let Some(fault) = file.fleet.as_ref().and_then(|fleet| fleet.first_fault(&file.peers, own)) {
        return Some(fault);
    }
    let localities = file.localities.as_ref();
    if let Some(fault) = localities.and_then(|part| part.first_fault(file.fleet.is_some(), &file.zones)) {
        return Some(fault);
    }
    if let Some(fault) = file.control.as_ref().and_then(|part| part.first_fault(&file.name)) {
        return Some(fault);
    }
    if file.cost_header.as_ref().is_some_and(|name| name.is_empty() || name.contains([':', ' '])) {
        return found("cost_header", "it is no header's name");
    }
    least("limits.sockets", sockets, SOCKETS_LEAST)
        .or_else(|| least("limits.memory_mb", memory_mb, MEMORY_MB_LEAST))
        .or_else(|| least("limits.max_open", max_open, 1))
        .or_else(|| least("copies", u64::from(file.copies), 1))
        .or_else(|| least("rules.relays", u64::from(file.rules.relays), 1))
        .or_else(|| share("rules.cold_share", file.rules.cold_share, 1.0))
        .or_else(|| share("rules.crossing", file.rules.crossing, 1.0))
        .or_else(|| share("rules.worst_verb", file.rules.worst_verb, 1.0))
        .or_else(|| share("rules.check", file.rules.check, 1.0))
        .or_else(|| share("rules.connection", file.rules.connection, 1.0))
        .or_else(|| share("rules.peer", file.rules.peer, 1.0))
        .or_else(|| share("rules.beyond_quota", file.rules.beyond_quota, 1.0))
}

fn of_verb(file: &File, at: usize, verb: &Verb) -> Found {
    let key = |leaf: &str| format!("verbs.{at}.{leaf}");
    let receipted = verb.repeats == Repeats::Receipted;
    let plain = !verb.name.is_empty() && !verb.name.contains(['/', '?', ' ']);
    if !plain || file.verbs[..at].iter().any(|other| other.name == verb.name) {
        return found(&key("name"), format!("{:?} is no part of a path, or stands here twice", verb.name));
    }
    if let Some((leaves, what)) = verb_fault(verb.goal, verb.limit, verb.utility, verb.overdue_utility) {
        return found(&key(leaves[0]), what);
    }
    if receipted && (verb.group.is_none() || verb.memory.is_none()) {
        let missing = if verb.group.is_none() { "group" } else { "memory" };
        return found(&key(missing), "a receipted verb needs it");
    }
    if !receipted && (verb.group.is_some() || verb.memory.is_some()) {
        let odd = if verb.group.is_some() { "group" } else { "memory" };
        return found(&key(odd), "it belongs to receipted verbs alone");
    }
    None
}

fn of_server(file: &File, at: usize, server: &Server) -> Found {
    let key = |leaf: &str| format!("servers.{at}.{leaf}");
    if server.id.is_empty() || file.servers[..at].iter().any(|other| other.id == server.id) {
        return found(&key("id"), format!("{:?} is empty or stands here twice", server.id));
    }
    if let Some(zone) = server.zone.as_ref().filter(|zone| !file.zones.contains(zone)) {
        return found(&key("zone"), format!("{zone:?} is none of the zones"));
    }
    share(&key("weight"), server.weight, 1e6)
}

fn of_tenant(file: &File, at: usize, tenant: &Tenant) -> Found {
    if file.tenants[..at].iter().any(|other| other.name == tenant.name) {
        return found(&format!("tenants.{at}.name"), format!("{:?} stands here twice", tenant.name));
    }
    tenant.quota.and_then(|quota| share(&format!("tenants.{at}.quota"), quota, 1e9))
}

fn launch(mut file: File) -> Configuration {
    let own = file.peers.get(file.ordinal as usize).copied();
    let own_zone = file.zone.as_ref().or(file.zones.first()).cloned().unwrap_or_default();
    let fleet = file.fleet.take();
    let fleet = fleet.and_then(|part| part.checked(&file.peers, own.as_ref(), &own_zone, file.copies));
    let zone = |name: &Option<String>| {
        let place = name.as_ref().and_then(|name| file.zones.iter().position(|zone| zone == name));
        place.unwrap_or(0) as u32
    };
    let entry = |server: &Server| CatalogEntry {
        listed: ListedServer {
            server: server.id.as_str().into(),
            zone: zone(&server.zone),
            cell: server.cell,
            lifecycle: Lifecycle::Ready,
            nominal_capacity: server.weight,
            started_at: None,
        },
        address: server.address,
    };
    let terms = terms_of(&file, zone(&file.zone));
    let known = Catalog { generation: 0, complete: true, entries: file.servers.iter().map(entry).collect() };
    Configuration {
        listen: file.listen,
        discovery: file.discovery.as_ref().map(|discovery| discovery.address),
        // No two sidecars that start together may draw alike.
        seed: file.seed.unwrap_or_else(|| RandomState::new().hash_one(std::process::id())),
        max_sockets: file.limits.sockets as usize,
        memory_mb: file.limits.memory_mb as usize,
        clock: Clock::start(),
        initial_catalog: known,
        classes: file.verbs.iter().map(front_verb).collect(),
        tenants: file.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        idle_connection_timeout: file.limits.conn_idle,
        connect_timeout: file.limits.dial,
        max_open_requests: file.limits.max_open as usize,
        policy: terms,
        fleet,
        localities: file.localities.map(localities::Part::checked),
        control: file.control.map(control::Part::checked),
        peers: file.peers,
        work_header: file.cost_header,
        statistics_file: file.learnt,
        console: file.console,
        inherited_listener: None,
        state_folder: file.state,
        name: file.name,
        zones: file.zones,
    }
}

fn front_verb(verb: &Verb) -> super::settings::RequestClass {
    super::settings::RequestClass {
        name: verb.name.clone(),
        method: if verb.repeats == Repeats::Pure { "GET" } else { "POST" },
        idempotency_keyed: verb.repeats == Repeats::Receipted,
        time_limit: verb.limit,
    }
}

fn terms_of(file: &File, zone: u32) -> Settings {
    let rules = &file.rules;
    Settings {
        replicas: f64::from(file.copies),
        max_live_replicas: f64::from(file.copies),
        ordinal: file.ordinal,
        tier: file.tier,
        idle_connection_timeout: file.limits.conn_idle,
        zone,
        polls_discovery: file
            .discovery
            .as_ref()
            .is_some_and(|discovery| discovery.begins == Begins::Subscribe),
        poll_interval: Duration::MAX,
        timer_resolution: Duration::ZERO,
        value_by_work: rules.utility_by_work,
        over_quota_value: rules.beyond_quota,
        quotas: file.tenants.iter().map(|tenant| tenant.quota.unwrap_or(f64::MAX)).collect(),
        classes: file.verbs.iter().map(verb_terms).collect(),
        capabilities: Capabilities {
            health_checks: rules.checks,
            cancellation: rules.cancel,
            hedging: rules.parallel,
            peer_messages: !file.peers.is_empty(),
            max_attempts: rules.relays,
            max_retry_after: Some(rules.come_back).filter(|most| !most.is_zero()),
        },
        slow_start: SlowStart {
            initial_fraction: rules.cold_share,
            duration: rules.warm_after,
            overload_multiple: 3.0,
            overload_window: Duration::from_secs(2),
        },
        costs: Costs {
            cross_zone: rules.crossing,
            health_check: rules.check,
            peer_message: rules.peer,
            connection: rules.connection,
        },
        health_checks_report_load: rules.checks_tell,
        objective: ObjectiveWeights { worst_class: rules.worst_verb },
    }
}

fn verb_terms(verb: &Verb) -> settings::RequestClass {
    let group = match verb.group {
        None | Some(Among::All) => DedupScope::All,
        Some(Among::Zone) => DedupScope::Zone,
        Some(Among::Cell) => DedupScope::Cell,
    };
    settings::RequestClass {
        retry_safety: match verb.repeats {
            Repeats::Pure => Repeated::Idempotent,
            Repeats::Receipted => Repeated::IdempotencyKeyed(group),
            Repeats::Effectful => Repeated::NonIdempotent,
        },
        dedup_window: verb.memory.unwrap_or_default(),
        latency_objective: verb.goal,
        time_limit: verb.limit,
        value: verb.utility,
        late_value: verb.overdue_utility,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn taken(text: &str) -> Result<Configuration, String> {
        take("l.toml", text, &|_| None).map_err(|wrong| wrong.to_string())
    }

    fn told(from: &str, to: &str) -> String {
        assert!(EXAMPLE.contains(from), "{from}");
        taken(&EXAMPLE.replacen(from, to, 1)).err().expect("a fault")
    }

    #[test]
    fn the_example_can_be_gone_by_and_shows_the_defaults() {
        let launch = taken(EXAMPLE).expect("it can be read");
        assert_eq!((launch.initial_catalog.entries.len(), launch.classes.len()), (2, 3));
        assert_eq!(launch.policy.classes[1].retry_safety, Repeated::IdempotencyKeyed(DedupScope::All));
        // Each key that is commented out, as the default that its comment shows.
        let opened: Vec<&str> = EXAMPLE
            .lines()
            .map(|line| match line.strip_prefix("# ") {
                Some(rest) if rest.contains(" = ") && !rest.contains(". ") => rest,
                Some("[discovery]") => "[discovery]",
                Some("[fleet]") => "[fleet]",
                Some("[localities]") => "[localities]",
                Some("[control]") => "[control]",
                Some("[[tenants]]") => "[[tenants]]",
                _ => line,
            })
            .collect();
        // There is nothing to leave where there is one zone.
        let opened = opened.join("\n").replacen("zones = [\"a\"]", "zones = [\"a\", \"b\"]", 1);
        let shown = taken(&opened).expect("its comments can be read");
        assert_eq!(shown.localities, Some(landingspread_localities::Paces::default()));
        assert!(launch.control.is_none() && shown.control.is_some_and(|control| control.machines.len() == 2));
        assert_eq!(shown.policy.capabilities.max_attempts, launch.policy.capabilities.max_attempts);
        assert_eq!(format!("{:?}", shown.policy.slow_start), format!("{:?}", launch.policy.slow_start));
        assert_eq!(
            (shown.max_sockets, shown.memory_mb, shown.max_open_requests),
            (launch.max_sockets, launch.memory_mb, launch.max_open_requests)
        );
        assert_eq!(
            (shown.idle_connection_timeout, shown.connect_timeout),
            (launch.idle_connection_timeout, launch.connect_timeout)
        );
        assert!(shown.discovery.is_some() && shown.policy.quotas == [100.0]);
    }

    #[test]
    fn faults_name_the_line_and_the_key() {
        let unknown = told("listen = ", "lisen = ");
        assert!(unknown.starts_with("l.toml:8: ") && unknown.contains("did you mean `listen`"), "{unknown}");
        let goal = told("goal = \"300ms\"", "goal = \"3s\"");
        assert!(goal.contains("verbs.0.goal: it is nothing, or longer"), "{goal}");
        let span = told("limit = \"1s\"", "limit = \"soon\"");
        assert!(span.starts_with("l.toml:"), "{span}");
        assert!(told("group = \"all\"", "").contains("verbs.1.group: a receipted verb needs it"));
        assert!(
            told("id = \"s2\"", "id = \"s1\"").contains("servers.1.id: \"s1\" is empty or stands here twice")
        );
        assert!(told("# sockets = 1024", "sockets = 3").contains("limits.sockets: 3 is under 40"));
        assert!(told("# zone = \"a\"", "zone = \"z\"").contains("none of the zones"));
        let peers = told("# peers = []", "peers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]");
        assert!(peers.contains("peers: 2 addresses for 1 copies"), "{peers}");
        assert!(told("# cost_header = \"x-cost-ms\"", "cost_header = \"a b\"").contains("cost_header: "));
        for (key, figure) in
            [("check", "nan"), ("connection", "inf"), ("worst_verb", "2.0"), ("cold_share", "nan")]
        {
            let line = EXAMPLE.lines().find(|line| line.starts_with(&format!("# {key} = "))).expect(key);
            let said = told(line, &format!("{key} = {figure}"));
            assert!(said.contains(&format!("rules.{key}: ")) && said.starts_with("l.toml:"), "{said}");
        }
        assert!(told("# weight = 1.0", "weight = nan").contains("servers.0.weight: "));
        assert!(told("# check = 0.0", "check = -1.0").contains("rules.check: -1 does not lie"));
    }

    #[test]
    fn a_fleet_is_taken_with_its_defaults_and_faults_of_it_name_the_line_and_the_key() {
        assert!(taken(EXAMPLE).expect("it can be read").fleet.is_none(), "off where it is not configured");
        let with = |part: &str| EXAMPLE.replacen("# [fleet]", &format!("[fleet]\n{part}"), 1);
        let fleet =
            taken(&with("listen = \"127.0.0.1:7946\"")).expect("it can be read").fleet.expect("a fleet");
        assert_eq!(
            (fleet.listen, fleet.advertise, fleet.uses_peer_socket),
            (fleet.listen, fleet.listen, false)
        );
        assert_eq!(
            (fleet.name.as_str(), fleet.zone.as_str(), fleet.configured_replicas),
            ("fleet", "a", 1.0)
        );
        assert_eq!(fleet.budget, landingspread_membership::Budget::default());
        let told = |part: &str| taken(&with(part)).err().expect("a fault");
        let line = 1 + EXAMPLE.lines().position(|line| line == "# [fleet]").expect("a line");
        for (part, wanted) in [
            ("name = \"f\"", "fleet.listen: an IPv4 address is wanted"),
            ("listen = \"0.0.0.0:7946\"", "fleet.listen: others can send nothing"),
            (
                "advertise = \"10.0.0.1:0\"\nlisten = \"0.0.0.0:7946\"",
                "fleet.advertise: others can send nothing",
            ),
            ("name = \"\"\nlisten = \"127.0.0.1:7946\"", "fleet.name: it is empty"),
            ("kilobytes = 3\nlisten = \"127.0.0.1:7946\"", "fleet.kilobytes: 3 does not lie"),
        ] {
            let said = told(part);
            let named: Option<usize> = said.split(':').nth(1).and_then(|text| text.parse().ok());
            assert!(said.contains(wanted) && named.is_some_and(|named| named >= line), "{part:?}: {said}");
        }
        assert!(told("listen = \"[::1]:7946\"").starts_with("l.toml:"), "IPv4 alone");
        assert!(told("sead = 3").contains("did you mean `seeds`"));
        // With peers their socket is used, and they are the seeds.
        let peers = "peers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\ncopies = 2\nordinal = 1";
        let text = with("name = \"f\"").replacen("# peers = []", peers, 1);
        let fleet = taken(&text).expect("it can be read").fleet.expect("a fleet");
        assert_eq!((fleet.listen.port(), fleet.uses_peer_socket, fleet.seeds.len()), (2, true, 2));
    }

    #[test]
    fn what_the_module_reads_of_prices_peers_and_checks_can_be_given() {
        let mut text = EXAMPLE.to_string();
        for (key, value) in [
            ("peers", "[\"127.0.0.1:1\", \"127.0.0.1:2\"]"),
            ("copies", "2"),
            ("ordinal", "1"),
            ("checks_tell", "true"),
            ("check", "0.002"),
            ("peer", "0.01"),
            ("connection", "0.04"),
            ("utility_by_work", "true"),
            ("worst_verb", "0.3"),
        ] {
            let line =
                text.lines().find(|line| line.starts_with(&format!("# {key} = "))).expect(key).to_string();
            text = text.replacen(&line, &format!("{key} = {value}"), 1);
        }
        let plain = taken(EXAMPLE).expect("it can be read").policy;
        assert!(
            !plain.capabilities.peer_messages
                && !plain.health_checks_report_load
                && plain.costs.health_check == 0.0
        );
        let terms = taken(&text).expect("it can be read").policy;
        assert!(terms.capabilities.peer_messages && terms.health_checks_report_load && terms.value_by_work);
        let prices = &terms.costs;
        assert_eq!((prices.health_check, prices.peer_message, prices.connection), (0.002, 0.01, 0.04));
        assert_eq!((terms.objective.worst_class, terms.ordinal), (0.3, 1));
    }
}
