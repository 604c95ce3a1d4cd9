//! What a process has used, by proc(5). A process that is gone, or of which the system does not tell, has used nothing.

use std::fs;
use std::time::Duration;

/// Since the process began.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    /// On a processor, all threads.
    pub cpu: Duration,
    /// The same, of the threads of one name.
    pub named: Duration,
    /// Ready to run and waiting for a processor.
    pub queued: Duration,
    /// How often its threads gave their processor up by themselves: each is a wake-up.
    pub wake_ups: u64,
}

/// `name` is the threads' that are told apart.
pub fn spent(pid: u32, name: &str) -> Spent {
    let mut all = Spent::default();
    let Ok(tasks) = fs::read_dir(format!("/proc/{pid}/task")) else { return all };
    for task in tasks.flatten().map(|task| task.path()) {
        let text = |file: &str| fs::read_to_string(task.join(file)).unwrap_or_default();
        let times = text("schedstat");
        let mut nanos =
            times.split_whitespace().map(|text| text.parse().map_or(Duration::ZERO, Duration::from_nanos));
        let (ran, queued) = (nanos.next().unwrap_or_default(), nanos.next().unwrap_or_default());
        (all.cpu, all.queued) = (all.cpu + ran, all.queued + queued);
        if text("comm").trim() == name {
            all.named += ran;
        }
        let status = text("status");
        let line = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
        all.wake_ups += line.and_then(|rest| rest.trim().parse::<u64>().ok()).unwrap_or(0);
    }
    all
}

/// Memory that it holds, in MB.
pub fn memory_mb(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1024.0
}
