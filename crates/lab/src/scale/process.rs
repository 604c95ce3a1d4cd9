//! Resource usage of a process, from proc(5). Usage that can't be read counts as zero, for instance that of a
//! process that has ended.

use std::fs;
use std::time::Duration;

/// Usage since the process started.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Processor time of all threads.
    pub cpu: Duration,
    /// Processor time of the threads with the selected name.
    pub named_threads_cpu: Duration,
    /// Time in which threads were ready to run and waited for a processor.
    pub queued: Duration,
    /// Number of voluntary context switches; each is followed by a wake-up.
    pub wake_ups: u64,
}

/// Usage of a process. `name` selects the threads whose time is also counted apart.
pub fn process_usage(pid: u32, name: &str) -> ProcessUsage {
    let mut total = ProcessUsage::default();
    let Ok(tasks) = fs::read_dir(format!("/proc/{pid}/task")) else { return total };
    for task in tasks.flatten().map(|task| task.path()) {
        let text = |file: &str| fs::read_to_string(task.join(file)).unwrap_or_default();
        let times = text("schedstat");
        let mut nanos =
            times.split_whitespace().map(|text| text.parse().map_or(Duration::ZERO, Duration::from_nanos));
        let (running, queued) = (nanos.next().unwrap_or_default(), nanos.next().unwrap_or_default());
        (total.cpu, total.queued) = (total.cpu + running, total.queued + queued);
        if text("comm").trim() == name {
            total.named_threads_cpu += running;
        }
        let status = text("status");
        let line = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
        total.wake_ups += line.and_then(|rest| rest.trim().parse::<u64>().ok()).unwrap_or(0);
    }
    total
}

/// Resident memory of a process, in MB; 0 if it can't be read.
pub fn memory_mb(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1024.0
}
