//! Control machines: one is killed, misses a version, and is started again, while another service has a long configuration.

use crate::rig::*;
use std::net::SocketAddr;

/// "It fetches what it missed within a second or two"; five times as long is allowed here.
const FETCHED_WITHIN_MS: u64 = 10_000;

/// The tenants of the service with the long configuration, and the length of their names.
const TENANTS: usize = 1000;
const NAME_LENGTH: usize = 76;

/// A configuration with a quota for each tenant, as an operator writes it.
fn quotas() -> String {
    let entry = |number: usize| {
        let name = format!("tenant-{number:04}-");
        format!("\"tenants.{name:x<NAME_LENGTH$}.quota\":{}", 100 + number % 900)
    };
    format!("{{{}}}", (0..TENANTS).map(entry).collect::<Vec<_>>().join(","))
}

fn start_machine(number: usize, machines: &[SocketAddr], log: &str) -> u32 {
    let state = folder().join(format!("machine-{number}"));
    let list: Vec<String> = machines.iter().map(|machine| format!("\"{machine}\"")).collect();
    let text = format!(
        "listen = \"{}\"\nmachines = [{}]\nstate = \"{}\"\n",
        machines[number],
        list.join(", "),
        state.display()
    );
    let path = folder().join(format!("machine-{number}.toml"));
    std::fs::write(&path, text).expect("the machine's file is written");
    start(log, &["control", &path.display().to_string()], &[])
}

fn start_sidecar(name: &str, machines: &[SocketAddr]) -> SocketAddr {
    let (listen, console) = (free_port(), free_port());
    let state = folder().join(format!("{name}-state"));
    std::fs::create_dir_all(&state).expect("the state folder is created");
    let text = format!(
        "name = \"{name}\"\nlisten = \"{listen}\"\nconsole = \"{console}\"\nzones = [\"a\"]\nstate = \"{}\"\n\n\
         [control]\nscope = \"checkout\"\nregion = \"south\"\n\
         machines = [{{ address = \"{}\", region = \"north\" }}, {{ address = \"{}\", region = \"south\" }}]\n\n\
         [[servers]]\nid = \"s1\"\naddress = \"127.0.0.1:9\"\n\n\
         [[verbs]]\nname = \"view\"\nrepeats = \"pure\"\ngoal = \"300ms\"\nlimit = \"1s\"\n",
        state.display(),
        machines[0],
        machines[1]
    );
    let path = folder().join(format!("{name}.toml"));
    std::fs::write(&path, text).expect("the sidecar's file is written");
    let _ = start(&format!("{name}.log"), &["serve", "--file", &path.display().to_string()], &[]);
    wait_ready(listen);
    console
}

fn in_force(console: SocketAddr) -> String {
    let page = get(console, "/control").map(|page| page.text()).unwrap_or_default();
    let line = page.lines().find_map(|line| line.strip_prefix("in force")).unwrap_or("nothing");
    line.trim().split(',').next().unwrap_or("").to_string()
}

/// Publishes and returns the version; None where it is refused.
fn publish(machine: SocketAddr, scope: &str, base: &str, body: &str) -> Option<String> {
    let answered = put(machine, &format!("/control/v1/scopes/{scope}?base={base}"), body);
    let (status, text) = answered.map_or((0, String::new()), |found| (found.status(), found.text()));
    note(&format!("PUT {scope} ({} bytes) base={base} at {machine}: {status} {}", body.len(), text.trim()));
    let version = text.split("\"version\":\"").nth(1)?.split('"').next()?.to_string();
    (status == 200).then_some(version)
}

pub fn case() -> ! {
    let machines = [free_port(), free_port()];
    let _north = start_machine(0, &machines, "north.log");
    let south = start_machine(1, &machines, "south.log");
    let status =
        |machine: SocketAddr| get(machine, "/control/v1/status").map(|page| page.text()).unwrap_or_default();
    let meets = |machine: &SocketAddr| status(*machine).contains("s ago");
    if !wait_until(ms(10_000), || machines.iter().all(meets)) {
        say("the control machines do not meet");
        end(NOT_RUN);
    }
    let long = publish(machines[0], "accounts", "none", &quotas());
    let Some(first) = publish(machines[0], "checkout", "none", "{\"verbs.view.goal\": \"250ms\"}") else {
        say("the first version was refused");
        end(NOT_RUN);
    };
    let old_sidecar = start_sidecar("n0", &machines);
    if !wait_until(ms(10_000), || in_force(old_sidecar) == first) {
        say("the first version is not in force");
        end(NOT_RUN);
    }
    if trouble() {
        signal(south, "KILL");
        std::thread::sleep(ms(6000));
    }
    let Some(second) = publish(machines[0], "checkout", &first, "{\"verbs.view.goal\": \"200ms\"}") else {
        say("the second version was refused");
        end(NOT_RUN);
    };
    std::thread::sleep(ms(2000));
    if trouble() {
        let _ = start_machine(1, &machines, "south-again.log");
    }
    if !wait_until(ms(5000), || !status(machines[1]).is_empty()) {
        say("the machine did not start again");
        end(NOT_RUN);
    }
    std::thread::sleep(ms(FETCHED_WITHIN_MS));
    let current = |machine| {
        let page = get(machine, "/control/v1/scopes/checkout").map(|page| page.text()).unwrap_or_default();
        page.lines().find_map(|line| line.strip_prefix("version")).unwrap_or("none").trim().to_string()
    };
    let (at_north, at_south) = (current(machines[0]), current(machines[1]));
    // A sidecar that starts now follows the machine of its region first.
    let new_sidecar = start_sidecar("n1", &machines);
    std::thread::sleep(ms(10_000));
    let (at_old, at_new) = (in_force(old_sidecar), in_force(new_sidecar));
    for machine in machines {
        note(&format!("status of {machine}:\n{}", status(machine)));
    }
    ["north.log", "south.log", "south-again.log", "n0.log", "n1.log"]
        .iter()
        .for_each(|log| note_log(log, &["control"]));
    say(&format!(
        "long configuration of another service: {long:?}; first {first}, second {second}; {FETCHED_WITHIN_MS} ms after the \
         restart: {at_north} at north, {at_south} at south; in force at a sidecar of before {at_old}, at a new one {at_new}"
    ));
    end(if at_south != second || at_new != second { BROKEN } else { HELD })
}
