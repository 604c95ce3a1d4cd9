//! What consoles, control machines and the `followers` command answer and write, against what was answered before: keys of
//! JSON, texts, heads and files. Figures that differ from run to run stand as `#` or by their type.

mod helpers;

use helpers::*;
use landingspread_lab::sockets::free_datagrams;
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

fn program(args: &[&str], file: &Path, config: &str) -> Process {
    std::fs::write(file, config).expect("a file");
    let log = std::fs::File::create(file.with_extension("log")).expect("a log");
    let mut program = Command::new(env!("CARGO_BIN_EXE_landingspread"));
    program.args(args).arg(file).stderr(log).env_remove("TMPDIR");
    Process(program.spawn().expect("the program starts"))
}

/// The whole answer as bytes; the other side closes.
fn raw(to: SocketAddr, head: &str, body: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&to, ms(1000)).ok()?;
    stream.set_read_timeout(Some(BOUNDED)).ok()?;
    let length = body.len();
    let text =
        format!("{head} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    (!bytes.is_empty()).then(|| String::from_utf8_lossy(&bytes).into_owned())
}

fn json(to: SocketAddr, path: &str) -> Value {
    let answer = raw(to, &format!("GET {path} HTTP/1.1\r\nAccept: application/json\r\nX: y"), "");
    let answer = answer.expect("an answer");
    let (_, body) = answer.split_once("\r\n\r\n").expect("a head");
    serde_json::from_str(body).unwrap_or_else(|_| panic!("{path}: {answer}"))
}

/// Keys with the types of their values; short texts as they are.
fn shape(value: &Value) -> String {
    match value {
        Value::Null => "null".into(),
        Value::Bool(_) => "bool".into(),
        Value::Number(number) if number.is_f64() => "float".into(),
        Value::Number(_) => "int".into(),
        Value::String(text) => format!("{:?}", masked(text)),
        Value::Array(items) => format!("[{}]", items.iter().map(shape).collect::<Vec<_>>().join(", ")),
        Value::Object(entries) => {
            // These are known only after a while.
            let value = |key: &str, value: &Value| match key {
                "place" | "since_s" => "null or number".into(),
                _ => shape(value),
            };
            let entry = |(key, text): (&String, &Value)| format!("{}: {}", masked(key), value(key, text));
            format!("{{{}}}", entries.iter().map(entry).collect::<Vec<_>>().join(", "))
        }
    }
}

/// Runs of digits as one sign, and digests too.
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

/// A text whose columns may be filled up with spaces.
fn squeezed(text: &str) -> String {
    let words = |line: &str| line.split_whitespace().collect::<Vec<_>>().join(" ");
    text.lines().map(|line| words(line) + "\n").collect()
}

/// A control machine, and a sidecar of the scope `basket`, each with the files of an earlier process.
struct World {
    folder: PathBuf,
    machine: SocketAddr,
    console: SocketAddr,
    _processes: [Process; 2],
}

impl World {
    /// `stored` by the machine, `cached` by the sidecar.
    fn start(stored: bool, cached: bool) -> World {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("landingspread-formats-{}-{number}", std::process::id()));
        let (state, kept) = (folder.join("machine-state"), folder.join("n-1_.control"));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&state).expect("a folder");
        for (_, path) in [(stored, state.join("basket.json")), (cached, kept)].iter().filter(|(is, _)| *is) {
            std::fs::write(path, SNAPSHOT).expect("a file");
        }
        let [machine, listen, console] = std::array::from_fn(|_| nobody());
        let (held, fleet) = free_datagrams().expect("a port");
        drop(held);
        let config = format!("listen = \"{machine}\"\nmachines = [\"{machine}\"]\nstate = {state:?}\n");
        let control = program(&["control"], &folder.join("machine.toml"), &config);
        within("the machine answers", || raw(machine, "GET /control/v1/digest", "").is_some());
        let config = format!(
            "name = \"n-1/\"\nlisten = \"{listen}\"\nconsole = \"{console}\"\nseed = 7\nstate = {folder:?}\n\
             zones = [\"a\", \"b\"]\n[fleet]\nlisten = \"{fleet}\"\n[localities]\n\
             [control]\nscope = \"basket\"\nmachines = [{{ address = \"{machine}\" }}]\n\
             [[verbs]]\nname = \"view\"\nrepeats = \"pure\"\ngoal = \"1s\"\nlimit = \"2s\"\n\
             [[servers]]\nid = \"s1\"\naddress = \"{listen}\"\n"
        );
        let sidecar = program(&["serve", "--file"], &folder.join("sidecar.toml"), &config);
        within("the sidecar is ready", || {
            raw(console, "GET /status", "").is_some_and(|text| text.ends_with("\r\n\r\nserving\n"))
        });
        World { folder, machine, console, _processes: [control, sidecar] }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The calls in their order; what is published by one is seen by the next ones.
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
fn answers_have_the_form_of_the_fixture() {
    let world = World::start(true, true);
    within("the sidecar has called", || json(world.console, "/control")["answered_ms_ago"].is_u64());
    let mut told = String::new();
    for (whom, as_json, call, body) in CALLS {
        let to = if whom == "machine" { world.machine } else { world.console };
        let accept = if as_json { " HTTP/1.1\r\nAccept: application/json\r\nX: y" } else { "" };
        let answer = raw(to, &format!("{call}{accept}"), body).expect("an answer");
        let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
        let body = match serde_json::from_str::<Value>(body) {
            Ok(value) if !value.is_number() => shape(&value) + "\n",
            _ if call.ends_with("/fleet") => squeezed(&masked(body)).replace("none yet", "#"),
            _ => masked(body),
        };
        // Writing to a String cannot fail.
        let _ = writeln!(
            told,
            "> {whom} {call}{}\n{}\n{body}",
            if as_json { " as JSON" } else { "" },
            masked(head)
        );
    }
    let told = told.replace("\r\n", "\n");
    if std::env::var_os("WRITE_FIXTURES").is_some() {
        std::fs::write("tests/fixtures/control/answers.txt", &told).expect("it is written");
        return;
    }
    for (now, before) in told.lines().zip(FIXTURE.lines()) {
        assert_eq!(now, before, "all of it: {told}");
    }
    assert_eq!(told.lines().count(), FIXTURE.lines().count());
}

#[test]
fn stored_files_of_the_fixture_are_restored_and_new_ones_have_their_form() {
    let snapshot: Value = serde_json::from_str(SNAPSHOT).expect("JSON");
    let cached = World::start(false, true);
    let told = json(cached.console, "/control");
    let in_force = (&told["in_force"]["version"], &told["in_force"]["contents"]);
    assert_eq!(in_force, (&snapshot["version"], &snapshot["set"]));
    drop(cached);
    let world = World::start(true, false);
    let answer = raw(world.machine, "GET /control/v1/snapshot?scope=basket", "").expect("an answer");
    assert!(answer.ends_with(&format!("\r\n\r\n{SNAPSHOT}")), "{answer}");
    let put = format!("PUT /control/v1/scopes/basket?base={}", snapshot["version"].as_str().expect("one"));
    let answer = raw(world.machine, &put, "{\"verbs.view.goal\": \"300ms\"}").expect("an answer");
    assert!(answer.contains("\"machines\":1"), "{answer}");
    let stored = world.folder.join("machine-state/basket.json");
    within("it is stored", || std::fs::read_to_string(&stored).is_ok_and(|text| text.contains("300ms")));
    let stored = std::fs::read_to_string(&stored).expect("a file");
    let answer = raw(world.machine, "GET /control/v1/snapshot?scope=basket", "").expect("an answer");
    assert!(answer.ends_with(&format!("\r\n\r\n{stored}")), "{answer}");
    let cached = world.folder.join("n-1_.control");
    within("the sidecar caches it", || std::fs::read_to_string(&cached).is_ok_and(|text| text == stored));
}

#[test]
fn followers_print_the_lines_that_the_lab_reads() {
    let world = World::start(false, false);
    let machines = format!("{}=north", world.machine);
    let mut command = Command::new(env!("CARGO_BIN_EXE_landingspread"));
    command.args(["followers", "--count", "1", "--scopes", "1", "--machines", &machines]);
    raw(world.machine, "PUT /control/v1/scopes/s0?base=none", "{\"a\": \"1\"}").expect("an answer");
    let child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null()).spawn();
    let mut process = Process(child.expect("the program starts"));
    let lines = BufReader::new(process.0.stdout.take().expect("a pipe")).lines().map_while(Result::ok);
    let mut forms: Vec<String> = lines.take(3).map(|line| masked(&line)).collect();
    forms.sort();
    forms.dedup();
    assert_eq!(forms, ["counted # # #", "enforced # # #.#.#"]);
}
