//! The output formats of consoles, control machines and the `followers` command, compared with fixtures: keys of JSON,
//! texts, response heads and files. Values that differ from run to run appear as `#` or as their type.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::bind_loopback_udp;
use serde_json::Value;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

const FIXTURE: &str = include_str!("fixtures/control/answers.txt");
const SNAPSHOT: &str = include_str!("fixtures/control/basket.json");

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_program(args: &[&str], file: &Path, config: &str) -> Process {
    std::fs::write(file, config).expect("failed to write the file");
    let log = std::fs::File::create(file.with_extension("log")).expect("failed to create the log file");
    let mut program = Command::new(env!("CARGO_BIN_EXE_landingspread"));
    program.args(args).arg(file).stderr(log).env_remove("TMPDIR");
    Process(program.spawn().expect("failed to start landingspread"))
}

/// The whole response as text, head included, up to the end of the connection.
fn raw_response(to: SocketAddr, head: &str, body: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&to, ms(1000)).ok()?;
    stream.set_read_timeout(Some(WAIT_BOUND)).ok()?;
    let length = body.len();
    let text =
        format!("{head} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    (!bytes.is_empty()).then(|| String::from_utf8_lossy(&bytes).into_owned())
}

fn json(to: SocketAddr, path: &str) -> Value {
    let answer = raw_response(to, &format!("GET {path} HTTP/1.1\r\nAccept: application/json\r\nX: y"), "");
    let answer = answer.expect("no response");
    let (_, body) = answer.split_once("\r\n\r\n").expect("response has a head");
    serde_json::from_str(body).unwrap_or_else(|_| panic!("{path}: {answer}"))
}

/// The keys of a JSON value with the types of their values; strings are kept, with digits masked.
fn shape(value: &Value) -> String {
    match value {
        Value::Null => "null".into(),
        Value::Bool(_) => "bool".into(),
        Value::Number(number) if number.is_f64() => "float".into(),
        Value::Number(_) => "int".into(),
        Value::String(text) => format!("{:?}", masked(text)),
        Value::Array(items) => format!("[{}]", items.iter().map(shape).collect::<Vec<_>>().join(", ")),
        Value::Object(entries) => {
            // These values are null until the sidecar has measured them.
            let value = |key: &str, value: &Value| match key {
                "place" | "since_s" => "null or number".into(),
                _ => shape(value),
            };
            let entry = |(key, text): (&String, &Value)| format!("{}: {}", masked(key), value(key, text));
            format!("{{{}}}", entries.iter().map(entry).collect::<Vec<_>>().join(", "))
        }
    }
}

/// Replaces each run of digits, and each digest, by one `#`.
fn masked(text: &str) -> String {
    let mut out = String::new();
    for run in text.split_inclusive(|c: char| !c.is_ascii_alphanumeric()) {
        let word = run.trim_end_matches(|c: char| !c.is_ascii_alphanumeric());
        if word.len() >= 16 && word.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            out.push('#');
        } else {
            let signs: String = word.chars().map(|c| if c.is_ascii_digit() { '#' } else { c }).collect();
            let mut last = ' ';
            out.extend(signs.chars().filter(|c| std::mem::replace(&mut last, *c) != '#' || *c != '#'));
        }
        out.push_str(&run[word.len()..]);
    }
    out
}

/// Replaces each run of spaces by one, as columns may be padded.
fn squeezed(text: &str) -> String {
    let words = |line: &str| line.split_whitespace().collect::<Vec<_>>().join(" ");
    text.lines().map(|line| words(line) + "\n").collect()
}

/// A control machine and a sidecar with the scope `basket`, each with the files of an earlier process.
struct Deployment {
    folder: PathBuf,
    machine: SocketAddr,
    console: SocketAddr,
    _processes: [Process; 2],
}

impl Deployment {
    /// Whether the files of the machine (`stored`) and of the sidecar (`cached`) exist.
    fn start(stored: bool, cached: bool) -> Deployment {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("landingspread-formats-{}-{number}", std::process::id()));
        let (state, kept) = (folder.join("machine-state"), folder.join("n-1_.control"));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&state).expect("failed to create the directory");
        for (_, path) in [(stored, state.join("basket.json")), (cached, kept)].iter().filter(|(is, _)| *is) {
            std::fs::write(path, SNAPSHOT).expect("failed to write the file");
        }
        let [machine, listen, console] = std::array::from_fn(|_| unused_address());
        let (socket, fleet) = bind_loopback_udp().expect("failed to bind a UDP socket");
        drop(socket);
        let config = format!("listen = \"{machine}\"\nmachines = [\"{machine}\"]\nstate = {state:?}\n");
        let control = start_program(&["control"], &folder.join("machine.toml"), &config);
        wait_until("the control machine answers", || {
            raw_response(machine, "GET /control/v1/digest", "").is_some()
        });
        let config = format!(
            "name = \"n-1/\"\nlisten = \"{listen}\"\nconsole = \"{console}\"\nseed = 7\nstate = {folder:?}\n\
             zones = [\"a\", \"b\"]\n[fleet]\nlisten = \"{fleet}\"\n[localities]\n\
             [control]\nscope = \"basket\"\nmachines = [{{ address = \"{machine}\" }}]\n\
             [[verbs]]\nname = \"view\"\nrepeats = \"pure\"\ngoal = \"1s\"\nlimit = \"2s\"\n\
             [[servers]]\nid = \"s1\"\naddress = \"{listen}\"\n"
        );
        let sidecar = start_program(&["serve", "--file"], &folder.join("sidecar.toml"), &config);
        wait_until("the sidecar is ready", || {
            raw_response(console, "GET /status", "").is_some_and(|text| text.ends_with("\r\n\r\nserving\n"))
        });
        Deployment { folder, machine, console, _processes: [control, sidecar] }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The calls in order: the process called, whether JSON is accepted, request line and body. A call sees what earlier calls
/// have published.
const CALLS: [(&str, bool, &str, &str); 34] = [
    ("machine", false, "GET /control/v1/digest", ""),
    ("machine", false, "GET /control/v1/versions", ""),
    ("machine", false, "GET /control/v1/snapshot?scope=basket", ""),
    ("machine", false, "GET /control/v1/snapshot?scope=other", ""),
    ("machine", false, "GET /control/v1/changes?scope=basket&name=x&wait_ms=0", ""),
    ("machine", false, "GET /control/v1/changes?scope=other&name=x&wait_ms=0", ""),
    ("machine", false, "GET /control/v1/changes?scope=other", ""),
    ("machine", false, "GET /control/v1/status", ""),
    ("machine", false, "GET /control/v1/scopes/none", ""),
    ("machine", false, "GET /control/v1/scopes/none?own=1", ""),
    ("machine", false, "GET /control/v1/elsewhere", ""),
    ("machine", false, "PUT /control/v1/status", ""),
    ("machine", false, "PUT /control/v1/snapshot", "{"),
    ("machine", false, "PUT /control/v1/scopes/basket", "{}"),
    ("machine", false, "PUT /control/v1/scopes/basket?base=7", "{}"),
    ("machine", false, "PUT /control/v1/scopes/basket?base=none", "{}"),
    ("machine", false, "PUT /control/v1/scopes/new?base=none", "[]"),
    ("machine", false, "PUT /control/v1/scopes/new?base=none", "{\"a\": []}"),
    ("machine", false, "PUT /control/v1/scopes/new?base=none&back=2", ""),
    ("machine", true, "PUT /control/v1/scopes/new?base=none", "{\"a\": 1, \"b\": true, \"c\": \"x\"}"),
    ("machine", false, "GET /control/v1/scopes/basket", ""),
    ("machine", true, "GET /control/v1/scopes/basket", ""),
    ("machine", true, "GET /control/v1/scopes/basket?own=1", ""),
    ("console", false, "GET /status", ""),
    ("console", false, "GET /counters", ""),
    ("console", false, "PUT /maintenance/enter", "s1"),
    ("console", false, "GET /maintenance", ""),
    ("console", false, "GET /fleet", ""),
    ("console", true, "GET /fleet", ""),
    ("console", false, "PUT /zones/leave", "z"),
    ("console", false, "GET /zones", ""),
    ("console", true, "GET /zones", ""),
    ("console", false, "GET /control", ""),
    ("console", true, "GET /control", ""),
];

#[test]
fn responses_have_the_format_of_the_fixture() {
    let deployment = Deployment::start(true, true);
    wait_until("the sidecar has polled the control machine", || {
        json(deployment.console, "/control")["answered_ms_ago"].is_u64()
    });
    let mut transcript = String::new();
    for (process, as_json, call, body) in CALLS {
        let to = if process == "machine" { deployment.machine } else { deployment.console };
        let accept = if as_json { " HTTP/1.1\r\nAccept: application/json\r\nX: y" } else { "" };
        let answer = raw_response(to, &format!("{call}{accept}"), body).expect("no response");
        let (head, body) = answer.split_once("\r\n\r\n").expect("response has a head");
        let body = match serde_json::from_str::<Value>(body) {
            Ok(value) if !value.is_number() => shape(&value) + "\n",
            _ if call.ends_with("/fleet") => squeezed(&masked(body)).replace("none yet", "#"),
            _ => masked(body),
        };
        // Writing to a String cannot fail.
        let _ = writeln!(
            transcript,
            "> {process} {call}{}\n{}\n{body}",
            if as_json { " as JSON" } else { "" },
            masked(head)
        );
    }
    let transcript = transcript.replace("\r\n", "\n");
    if std::env::var_os("WRITE_FIXTURES").is_some() {
        std::fs::write("tests/fixtures/control/answers.txt", &transcript)
            .expect("failed to write the fixture");
        return;
    }
    for (line, expected) in transcript.lines().zip(FIXTURE.lines()) {
        assert_eq!(line, expected, "whole transcript: {transcript}");
    }
    assert_eq!(transcript.lines().count(), FIXTURE.lines().count());
}

#[test]
fn stored_files_are_restored_and_rewritten_in_the_same_format() {
    let snapshot: Value = serde_json::from_str(SNAPSHOT).expect("body is valid JSON");
    let cached = Deployment::start(false, true);
    let status = json(cached.console, "/control");
    let in_force = (&status["in_force"]["version"], &status["in_force"]["contents"]);
    assert_eq!(in_force, (&snapshot["version"], &snapshot["set"]));
    drop(cached);
    let deployment = Deployment::start(true, false);
    let answer =
        raw_response(deployment.machine, "GET /control/v1/snapshot?scope=basket", "").expect("no response");
    assert!(answer.ends_with(&format!("\r\n\r\n{SNAPSHOT}")), "{answer}");
    let put = format!(
        "PUT /control/v1/scopes/basket?base={}",
        snapshot["version"].as_str().expect("version is a string")
    );
    let answer =
        raw_response(deployment.machine, &put, "{\"verbs.view.goal\": \"300ms\"}").expect("no response");
    assert!(answer.contains("\"machines\":1"), "{answer}");
    let stored = deployment.folder.join("machine-state/basket.json");
    wait_until("the control machine stores the new version", || {
        std::fs::read_to_string(&stored).is_ok_and(|text| text.contains("300ms"))
    });
    let stored = std::fs::read_to_string(&stored).expect("failed to read the stored file");
    let answer =
        raw_response(deployment.machine, "GET /control/v1/snapshot?scope=basket", "").expect("no response");
    assert!(answer.ends_with(&format!("\r\n\r\n{stored}")), "{answer}");
    let cached = deployment.folder.join("n-1_.control");
    wait_until("the sidecar caches the new version", || {
        std::fs::read_to_string(&cached).is_ok_and(|text| text == stored)
    });
}

#[test]
fn followers_print_the_lines_that_the_lab_reads() {
    let deployment = Deployment::start(false, false);
    let machines = format!("{}=north", deployment.machine);
    let mut command = Command::new(env!("CARGO_BIN_EXE_landingspread"));
    command.args(["followers", "--count", "1", "--scopes", "1", "--machines", &machines]);
    raw_response(deployment.machine, "PUT /control/v1/scopes/s0?base=none", "{\"a\": \"1\"}")
        .expect("no response");
    let child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null()).spawn();
    let mut process = Process(child.expect("failed to start landingspread"));
    let lines = BufReader::new(process.0.stdout.take().expect("standard output is a pipe"))
        .lines()
        .map_while(Result::ok);
    let mut formats: Vec<String> = lines.take(3).map(|line| masked(&line)).collect();
    formats.sort();
    formats.dedup();
    assert_eq!(formats, ["counted # # #", "enforced # # #.#.#"]);
}
