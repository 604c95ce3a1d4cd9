//! Runs one case of the review: the project's programs as processes, with stand-ins for clients, servers and the platform.

mod client;
mod cut_bodies;
mod discovery;
mod http;
mod maintenance;
mod record;
mod server;
mod settings;
mod sidecar;
mod uploads;

use record::Record;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Whether the rule held in a run.
pub enum Verdict {
    Held,
    Broken,
}

pub type Run = Result<Verdict, Box<dyn std::error::Error>>;

/// What each case is given.
pub struct Context {
    pub record: Arc<Record>,
    pub folder: sidecar::Folder,
    /// Whether the disruption is played.
    pub trouble: bool,
}

/// No run takes longer than this.
const MAX_TIME: Duration = Duration::from_secs(110);

fn run(case: &str) -> Run {
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Arc::new(Record::create()?);
    let context = Context { record: record.clone(), folder: sidecar::Folder::create()?, trouble };
    record.say(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    match case {
        "uploads" => uploads::run(&context),
        "cut-bodies" => cut_bodies::run(&context),
        "maintenance" => maintenance::run(&context),
        _ => Err(format!("there is no case {case:?}").into()),
    }
}

fn main() {
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        eprintln!("the case took too long");
        sidecar::kill_all();
        std::process::exit(2);
    });
    let case = std::env::args().nth(1).unwrap_or_default();
    let status = match std::panic::catch_unwind(|| run(&case)) {
        Ok(Ok(Verdict::Held)) => {
            println!("held");
            0
        }
        Ok(Ok(Verdict::Broken)) => {
            println!("broken");
            1
        }
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error}");
            2
        }
        Err(_) => 2,
    };
    sidecar::kill_all();
    std::process::exit(status);
}
