//! Measures the request rate that one sidecar can carry, by connections and servers. The servers respond at once, and
//! the clients send the next request as soon as one is answered. A run without a sidecar shows the limit of the lab.

use super::child::Sidecar;
use super::discovery::{Discovery, Entry};
use super::fleet::{ServedRequestClass, ServerConfig, ServerGroup};
use super::ledger::RuleChecker;
use super::load::{LoadPlan, LoadResults, load};
use super::ports::unused_address_v4;
use super::settings::{SidecarParameters, sidecar_config};
use crate::plan::{RetrySafety, Scenario, WorkDistribution};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PLAN: &str = "name = \"bench\"\nseconds = 10\nload = { rate = 1 }\n\
    verbs = [{ name = \"view\", goal = 1, limit = 2, work = [0.001] }]\n[[tiers]]\nservers = 1\nreports = \"none\"\n";

/// One row of the table.
pub struct Point {
    /// Number of servers; 0 if the clients send to one server directly.
    pub servers: usize,
    pub results: LoadResults,
    /// Seconds of processor time that the sidecar used per second.
    pub cores_used: f64,
}

fn instant_request_classes() -> Arc<Vec<ServedRequestClass>> {
    let (name, work_distribution) = ("view".into(), WorkDistribution::Fixed);
    Arc::new(vec![ServedRequestClass {
        name,
        retry_safety: RetrySafety::Idempotent,
        mean_work: 0.0,
        work_distribution,
        downstream_calls: 0,
    }])
}

/// Starts servers that respond at once.
pub fn start_servers(count: usize) -> Result<ServerGroup, String> {
    let rule_checker = Arc::new(RuleChecker::new(Instant::now()));
    let mut server_group = ServerGroup::empty();
    for index in 0..count {
        let config = ServerConfig {
            name: format!("t0s{index}"),
            cores: 256,
            queue_limit: 10_000,
            speed: 1.0,
            initial_fraction: 1.0,
            warmup: Duration::ZERO,
            overload_limit: None,
            drain_grace: Duration::MAX,
            reports_load: false,
            next_tier: None,
            seed: 1,
        };
        server_group
            .add(config, instant_request_classes(), rule_checker.clone())
            .map_err(|error| error.to_string())?;
    }
    Ok(server_group)
}

/// Warm-up, which is not counted, and measured time.
type Spans = (Duration, Duration);

fn load_plan(targets: Vec<SocketAddr>, connections: usize, (settle, length): Spans) -> LoadPlan {
    LoadPlan {
        targets,
        request_class: "view".into(),
        connections,
        rate: 0.0,
        time_limit: Duration::from_secs(2),
        warmup: settle,
        duration: length,
        seed: 1,
    }
}

/// Measures clients that send to one server directly.
pub fn direct(connections: usize, spans: Spans) -> Result<Point, String> {
    let server_group = start_servers(1)?;
    let targets = vec![server_group.servers[0].address];
    Ok(Point { servers: 0, results: load(&load_plan(targets, connections, spans)), cores_used: 0.0 })
}

/// A sidecar and servers that respond at once.
pub struct SidecarBench {
    pub servers: ServerGroup,
    pub sidecar: Sidecar,
    discovery: Arc<Discovery>,
}

impl Drop for SidecarBench {
    fn drop(&mut self) {
        self.discovery.stop();
    }
}

/// Starts the servers and a sidecar for them.
pub fn start_bench(program: &Path, dir: &Path, servers: usize) -> Result<SidecarBench, String> {
    let server_group = start_servers(servers)?;
    let discovery = Discovery::start().map_err(|error| error.to_string())?;
    for server in &server_group.servers {
        discovery.publish(Entry {
            id: server.config.name.clone(),
            address: server.address,
            zone: "a".into(),
            cell: 0,
            state: "ready",
            weight: 1.0,
            started: None,
        });
    }
    let plan: Scenario = crate::plan::parse("bench", PLAN).map_err(|error| error.to_string())?;
    let listen = unused_address_v4().into();
    let parameters = SidecarParameters {
        name: "bench",
        listen,
        discovery: discovery.address,
        initial_endpoints: discovery.snapshot(),
        tier: 0,
        replicas: 1,
        ordinal: 0,
        zone: 0,
        seed: 1,
        sockets: 4096,
        memory_mb: 512,
    };
    let sidecar = Sidecar::start(program, dir, "bench", &sidecar_config(&plan, &parameters))?;
    Ok(SidecarBench { servers: server_group, sidecar, discovery })
}

/// Measures clients that send through a sidecar.
pub fn via_sidecar(
    program: &Path,
    dir: &Path,
    servers: usize,
    connections: usize,
    spans: Spans,
) -> Result<Point, String> {
    let mut bench = start_bench(program, dir, servers)?;
    let before = processor_time(bench.sidecar.pid());
    let began = Instant::now();
    let results = load(&load_plan(vec![bench.sidecar.address], connections, spans));
    let cores_used = (processor_time(bench.sidecar.pid()) - before) / began.elapsed().as_secs_f64();
    bench.sidecar.check_running()?;
    Ok(Point { servers, results, cores_used })
}

/// Processor time that a process has used, in seconds, by proc(5); 0 if the system does not report it.
fn processor_time(pid: u32) -> f64 {
    const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name in brackets may contain spaces; user and system time are the 12th and 13th field after it.
    let after = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_SECOND
}
