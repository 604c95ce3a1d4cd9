//! How much one sidecar carries: stand-ins that answer at once, callers that send again as soon as they are
//! answered, by connections and servers. First without the sidecar, so that it is known what the lab can do itself.

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

/// One figure of the table.
pub struct Point {
    /// 0: callers speak to one stand-in with no sidecar between.
    pub servers: usize,
    pub results: LoadResults,
    /// Seconds of processor time that the sidecar used for each second.
    pub cores_used: f64,
}

fn at_once() -> Arc<Vec<ServedRequestClass>> {
    let (name, spread) = ("view".into(), WorkDistribution::Fixed);
    Arc::new(vec![ServedRequestClass {
        name,
        retry_safety: RetrySafety::Idempotent,
        mean_work: 0.0,
        work_distribution: spread,
        downstream_calls: 0,
    }])
}

/// Stand-ins that answer at once.
pub fn start_servers(count: usize) -> Result<ServerGroup, String> {
    let ledger = Arc::new(RuleChecker::new(Instant::now()));
    let mut fleet = ServerGroup::empty();
    for place in 0..count {
        let make = ServerConfig {
            name: format!("t0s{place}"),
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
        fleet.add(make, at_once(), ledger.clone()).map_err(|wrong| wrong.to_string())?;
    }
    Ok(fleet)
}

/// What is not counted at the start, and what is after it.
type Spans = (Duration, Duration);

fn plan_of(targets: Vec<SocketAddr>, connections: usize, (settle, length): Spans) -> LoadPlan {
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

pub fn direct(connections: usize, spans: Spans) -> Result<Point, String> {
    let fleet = start_servers(1)?;
    let targets = vec![fleet.servers[0].address];
    Ok(Point { servers: 0, results: load(&plan_of(targets, connections, spans)), cores_used: 0.0 })
}

/// One sidecar before stand-ins that answer at once.
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

pub fn start_bench(program: &Path, dir: &Path, servers: usize) -> Result<SidecarBench, String> {
    let fleet = start_servers(servers)?;
    let discovery = Discovery::start().map_err(|wrong| wrong.to_string())?;
    for server in &fleet.servers {
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
    let plan: Scenario = crate::plan::parse("bench", PLAN).map_err(|wrong| wrong.to_string())?;
    let listen = unused_address_v4().into();
    let told = SidecarParameters {
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
    let sidecar = Sidecar::start(program, dir, "bench", &sidecar_config(&plan, &told))?;
    Ok(SidecarBench { servers: fleet, sidecar, discovery })
}

pub fn via_sidecar(
    program: &Path,
    dir: &Path,
    servers: usize,
    connections: usize,
    spans: Spans,
) -> Result<Point, String> {
    let mut rig = start_bench(program, dir, servers)?;
    let before = processor_time(rig.sidecar.pid());
    let began = Instant::now();
    let figures = load(&plan_of(vec![rig.sidecar.address], connections, spans));
    let busy = (processor_time(rig.sidecar.pid()) - before) / began.elapsed().as_secs_f64();
    rig.sidecar.check_running()?;
    Ok(Point { servers, results: figures, cores_used: busy })
}

/// Seconds of processor time that a process has used, by proc(5); 0 where the system tells none.
fn processor_time(pid: u32) -> f64 {
    const TICKS_A_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name in brackets may hold spaces; user and system time are the 12th and 13th field after it.
    let after = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_A_SECOND
}
