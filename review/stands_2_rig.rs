//! The parts that the cases share: processes, a temporary folder, an HTTP client and server, a discovery, and the record.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The programs that are running; all are killed at the end, whatever ends the case.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static RECORD: Mutex<Option<File>> = Mutex::new(None);
static FOLDER: OnceLock<PathBuf> = OnceLock::new();
static BEGAN: OnceLock<Instant> = OnceLock::new();

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn since_start() -> Duration {
    BEGAN.get_or_init(Instant::now).elapsed()
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Opens the record and the temporary folder, and ends the case after `limit` at the latest.
pub fn begin(case_folder: &Path, limit: Duration) {
    let _ = since_start();
    let record = File::create(case_folder.join("record.txt")).expect("record.txt is created");
    *RECORD.lock().unwrap() = Some(record);
    let folder = std::env::temp_dir().join(format!("landingspread-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder is created");
    let _ = FOLDER.set(folder);
    note(&format!("trouble: {}", trouble()));
    // A fault of the case itself must not leave processes behind.
    std::panic::set_hook(Box::new(|fault| {
        say(&format!("the case itself failed: {fault}"));
        end(NOT_RUN);
    }));
    thread::spawn(move || {
        thread::sleep(limit);
        note("the case took too long");
        end(NOT_RUN);
    });
}

pub fn folder() -> &'static Path {
    FOLDER.get().expect("begin was called")
}

/// Adds a line to the record.
pub fn note(text: &str) {
    let line = format!("{:9.3} {text}\n", since_start().as_secs_f64());
    if let Some(file) = RECORD.lock().unwrap().as_mut() {
        let _ = file.write_all(line.as_bytes());
    }
}

/// Adds a line to the record and to standard output.
pub fn say(text: &str) {
    note(text);
    println!("{text}");
}

/// Kills what was started, removes the temporary folder and ends the case.
pub fn end(code: i32) -> ! {
    for child in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = FOLDER.get() {
        let _ = std::fs::remove_dir_all(folder);
    }
    note(&format!("exit {code}"));
    std::process::exit(code)
}

pub fn free_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

/// The repository's root: this program stands in target/review-2.
pub fn root() -> PathBuf {
    let exe = std::env::current_exe().expect("the path of this program");
    exe.ancestors().nth(3).expect("the root").to_path_buf()
}

/// Starts the project's program as `run` of the deploy file does, with these arguments and variables. Its log goes to a
/// file in the temporary folder.
pub fn start(log: &str, arguments: &[&str], variables: &[(&str, String)]) -> u32 {
    let program = root().join("target/release/landingspread");
    let out = File::create(folder().join(log)).expect("the log is created");
    let mut command = Command::new(program);
    command.current_dir(root()).args(arguments).stdin(Stdio::null()).stdout(Stdio::null()).stderr(out);
    for (name, _) in std::env::vars().filter(|(name, _)| name.starts_with("NODE_")) {
        command.env_remove(name);
    }
    command.env("TMPDIR", folder());
    command.envs(variables.iter().map(|(name, value)| (*name, value.as_str())));
    let child = match command.spawn() {
        Ok(child) => child,
        Err(error) => {
            say(&format!("the program cannot be started: {error}"));
            end(NOT_RUN);
        }
    };
    let id = child.id();
    CHILDREN.lock().unwrap().push(child);
    note(&format!("started {} {} as {id}", log, arguments.join(" ")));
    id
}

/// Sends a signal to a process that this case started.
pub fn signal(id: u32, name: &str) {
    note(&format!("signal {name} to {id}"));
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {id}")]).status();
}

/// The exit code of a process that this case started, if it has ended.
pub fn ended(id: u32) -> Option<String> {
    let mut children = CHILDREN.lock().unwrap();
    let child = children.iter_mut().find(|child| child.id() == id)?;
    child.try_wait().ok().flatten().map(|status| status.to_string())
}

pub fn log_of(log: &str) -> String {
    std::fs::read_to_string(folder().join(log)).unwrap_or_default()
}

/// Copies the lines of a log that contain one of the words into the record.
pub fn note_log(log: &str, words: &[&str]) {
    for line in log_of(log).lines().filter(|line| words.iter().any(|word| line.contains(word))) {
        note(&format!("log {log}: {line}"));
    }
}

/// A whole HTTP message.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a connection, with the bytes of the next one kept.
pub struct Reader {
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        let _ = stream.set_nodelay(true);
        Reader { stream, bytes: Vec::new() }
    }

    /// Whether bytes have come that belong to no message yet.
    pub fn has_more(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let waits = matches!(self.stream.peek(&mut [0]), Ok(1..));
        let _ = self.stream.set_nonblocking(false);
        waits || !self.bytes.is_empty()
    }

    fn more(&mut self) -> std::io::Result<()> {
        let mut chunk = [0; 65536];
        match self.stream.read(&mut chunk)? {
            0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.bytes.extend_from_slice(&chunk[..count]);
                Ok(())
            }
        }
    }

    fn find(&self, from: usize, what: &[u8]) -> Option<usize> {
        self.bytes.get(from..)?.windows(what.len()).position(|window| window == what).map(|at| from + at)
    }

    /// Reads the next message, with a length, chunks or no body.
    pub fn message(&mut self) -> std::io::Result<Message> {
        let head_end = loop {
            match self.find(0, b"\r\n\r\n") {
                Some(at) => break at + 4,
                None => self.more()?,
            }
        };
        let head = String::from_utf8_lossy(&self.bytes[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_string();
        let headers: BTreeMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        let mut body = Vec::new();
        let mut at = head_end;
        if headers.get("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
            loop {
                let line_end = loop {
                    match self.find(at, b"\r\n") {
                        Some(end) => break end,
                        None => self.more()?,
                    }
                };
                let line = String::from_utf8_lossy(&self.bytes[at..line_end]).into_owned();
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| std::io::Error::other("a chunk size"))?;
                at = line_end + 2;
                while self.bytes.len() < at + size + 2 {
                    self.more()?;
                }
                body.extend_from_slice(&self.bytes[at..at + size]);
                at += size + 2;
                if size == 0 {
                    break;
                }
            }
        } else {
            let length: usize = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            while self.bytes.len() < at + length {
                self.more()?;
            }
            body.extend_from_slice(&self.bytes[at..at + length]);
            at += length;
        }
        self.bytes.drain(..at);
        Ok(Message { first, headers, body })
    }
}

/// One call on a connection of its own; None if it fails or takes longer than `limit`.
pub fn call(to: SocketAddr, text: &str, limit: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&to, limit).ok()?;
    let _ = stream.set_read_timeout(Some(limit));
    let mut reader = Reader::new(stream);
    reader.stream.write_all(text.as_bytes()).ok()?;
    reader.message().ok()
}

pub fn get(to: SocketAddr, path: &str) -> Option<Message> {
    call(to, &format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"), ms(1500))
}

pub fn put(to: SocketAddr, path: &str, body: &str) -> Option<Message> {
    let length = body.len();
    let head =
        format!("PUT {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
    call(to, &(head + body), ms(3000))
}

/// Waits until `done` holds; false if it does not within `limit`.
pub fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < limit {
        if done() {
            return true;
        }
        thread::sleep(ms(20));
    }
    false
}

/// Waits until a sidecar answers 200 to /_health, or ends the case.
pub fn wait_ready(address: SocketAddr) {
    if !wait_until(ms(10_000), || get(address, "/_health").is_some_and(|answer| answer.status() == 200)) {
        say("a sidecar is not ready");
        end(NOT_RUN);
    }
}

pub fn answer(status: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves connections with `serve` on a thread each.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("its address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// A discovery that tells one list, which stays as it is: the whole list where it is asked for, else no changes.
pub fn discovery(instances: String) -> SocketAddr {
    listen(move |stream| {
        let mut reader = Reader::new(stream);
        while let Ok(asked) = reader.message() {
            let target = asked.target().to_string();
            let value = |name: &str| {
                let query = target.split('?').nth(1)?;
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?
                    .parse::<u64>()
                    .ok()
            };
            let body = match value("after") {
                Some(after) if after >= 1 => {
                    thread::sleep(ms(value("wait_ms").unwrap_or(0).min(60_000)));
                    "{\"generation\":1,\"reset\":false,\"instances\":[]}".to_string()
                }
                _ => format!("{{\"generation\":1,\"reset\":true,\"instances\":{instances}}}"),
            };
            if reader.stream.write_all(&answer("200 OK", body.as_bytes())).is_err() {
                return;
            }
        }
    })
}

/// The entries of a list in discovery's form, all ready.
pub fn instances(servers: &[(String, SocketAddr)]) -> String {
    let entry = |(id, address): &(String, SocketAddr)| {
        format!(
            "{{\"instanceId\":\"{id}\",\"hostPort\":\"{address}\",\"zone\":\"here\",\"machineType\":\"m\",\"cell\":1,\
             \"lifecycle\":\"ready\",\"weight\":1.0,\"startedAtMs\":0}}"
        )
    };
    format!("[{}]", servers.iter().map(entry).collect::<Vec<_>>().join(","))
}

/// Writes the platform's configuration of one sidecar and returns its path.
pub fn platform_file(listen: SocketAddr, discovery: SocketAddr, instances: &str) -> PathBuf {
    let verb = |name: &str, effect: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Effect\":\"{effect}\",\"KeyScope\":\"all\",\"MemorySpan\":2500000,\
             \"TimeLimit\":2000000,\"ResponseGoal\":800000,\"Utility\":1.0,\"OverdueUtility\":0.0}}"
        )
    };
    let verbs = [verb("view", "idempotent"), verb("hold", "deduplicated"), verb("confirm", "at_most_once")];
    let text = format!(
        "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
         \"known\":{{\"generation\":1,\"reset\":true,\"instances\":{instances}}},\
         \"settings\":{{\"Balancers\":1,\"Discovery\":\"subscribe\",\"Localities\":[\"here\"],\"MyZone\":0,\"Tier\":0,\
         \"Resolution\":1000,\"Verbs\":[{}],\"Tenants\":[{{\"Name\":\"acme\",\"QuotaRps\":1000.0,\"Share\":1.0}}],\
         \"PolicyLimits\":{{\"MayCancel\":true,\"Probes\":true,\"MostRelays\":6,\"ConnIdle\":30000000,\
         \"DialTimeout\":100000,\"RetryAfter\":true,\"MaxRetryAfter\":2500000,\"MaxOpen\":20000}},\
         \"Rules\":{{\"ColdShare\":0.31,\"Cold\":8800000,\"TipMultiple\":3.0,\"Fall\":2000000,\
         \"DrainGrace\":2500000,\"AskEvery\":10000000,\"AnswerSlack\":20000}}}}}}",
        verbs.join(",")
    );
    let path = folder().join("config.json");
    std::fs::write(&path, text).expect("the configuration is written");
    path
}

/// What became of one request of a usual client.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub at: Duration,
    pub status: u16,
    pub took: Duration,
    pub body: String,
}

/// The usual clients of a sidecar: each sends one request at a time on a connection that it keeps.
pub struct Clients {
    pub stop: Arc<AtomicBool>,
    pub sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id(prefix: &str) -> String {
    format!("{prefix}{:012x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// A request of a verb, as a usual client writes it.
pub fn request(verb: &str, id: &str, limit: Duration) -> String {
    let own = match verb {
        "view" => format!("GET /view?q={id} HTTP/1.1\r\n"),
        "hold" => format!("POST /hold HTTP/1.1\r\nIdempotency-Key: {id}\r\nContent-Length: 2\r\n"),
        other => format!("POST /{other} HTTP/1.1\r\nContent-Length: 2\r\n"),
    };
    let body = if verb == "view" { "" } else { "ok" };
    let limit = limit.as_millis();
    format!(
        "{own}Host: app.svc\r\nX-Trace-Id: {id}\r\nX-Customer: acme\r\nX-Expires-In-Ms: {limit}\r\n\r\n{body}"
    )
}

impl Clients {
    /// Starts `count` clients that pause for `pause` between two requests and wait for an answer for `patience` at most.
    pub fn start(
        to: SocketAddr,
        count: usize,
        verbs: &'static [&'static str],
        limit: Duration,
        patience: Duration,
        pause: Duration,
    ) -> Clients {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let threads = (0..count).map(|number| {
            let (stop, sent) = (stop.clone(), sent.clone());
            thread::spawn(move || {
                let mut kept: Option<Reader> = None;
                let mut turn = number;
                while !stop.load(Ordering::Relaxed) {
                    let verb = verbs[turn % verbs.len()];
                    turn += 1;
                    let id = new_id("c");
                    let text = request(verb, &id, limit);
                    let fresh = || TcpStream::connect_timeout(&to, patience).ok().map(Reader::new);
                    let Some(mut reader) = kept.take().or_else(fresh) else {
                        thread::sleep(pause);
                        continue;
                    };
                    let _ = reader.stream.set_read_timeout(Some(patience));
                    let (began, at) = (Instant::now(), since_start());
                    let answered = match reader.stream.write_all(text.as_bytes()) {
                        Ok(()) => reader.message().ok(),
                        Err(_) => None,
                    };
                    let took = began.elapsed();
                    let sent_request = Sent {
                        id,
                        at,
                        status: answered.as_ref().map_or(0, Message::status),
                        took,
                        body: answered.as_ref().map(Message::text).unwrap_or_default(),
                    };
                    let keep = answered.is_some_and(|found| found.header("connection") != "close");
                    kept = keep.then_some(reader);
                    sent.lock().unwrap().push(sent_request);
                    thread::sleep(pause);
                }
            })
        });
        let threads = threads.collect();
        Clients { stop, sent, threads }
    }

    /// Stops the clients once their last requests have ended, and returns all that they sent.
    pub fn finish(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let mut sent = std::mem::take(&mut *self.sent.lock().unwrap());
        sent.sort_by_key(|request| request.at);
        sent
    }
}
