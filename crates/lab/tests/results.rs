//! Compares the lab's results as JSON lines and the output of its subcommands with fixtures, for small runs in virtual
//! time. `UPDATE_FIXTURES=1` rewrites the fixtures.

use std::path::{Path, PathBuf};
use std::process::Command;

const PLAN: &str = r#"name = "pinned"
about = "a short run of all kinds of verbs"
seconds = 3
settle = 1
load = { rate = 60, retries = 1, backoff = 0.25, quits = 0.02 }
front = { copies = 2, notice = 1 }
verbs = [
    { name = "view", share = 0.6, repeats = "pure", goal = 0.15, limit = 1.0, work = [0.02], spread = "exponential" },
    { name = "hold", share = 0.3, repeats = "receipted_all", memory = 30, goal = 0.3, limit = 1.5, utility = 3, work = [0.03] },
    { name = "confirm", share = 0.1, repeats = "effectful", goal = 0.5, limit = 2.0, utility = 5, work = [0.04] },
]
tiers = [{ servers = 3, cores = 1, queue = 16 }]
faults = [{ kind = "crash", at = 1.5, for = 1, servers = [0] }]
"#;

fn lab_output(args: &[&str]) -> String {
    let output =
        Command::new(env!("CARGO_BIN_EXE_landingspread-lab")).args(args).output().expect("running the lab");
    String::from_utf8(output.stdout).expect("UTF-8 text")
}

/// Replaces the build and durations of real time with `#`.
fn normalized(text: &str) -> String {
    let without_build = |line: &str| {
        let Some(rest) = line.strip_prefix(r#"{"build":""#) else { return line.to_string() };
        String::from("{\"build\":\"#\",") + rest.split_once(r#"","#).expect("the build in the header").1
    };
    let without_duration = |line: String| match line.split_once("played in ") {
        Some((before, rest)) => {
            format!("{before}played in # s{}", rest.split_once(" s").expect("a duration in seconds").1)
        }
        None if line.starts_with("held: ") || line.starts_with("broken: verdicts") => {
            match line.rsplit_once(", ") {
                Some((before, last)) if last.ends_with(" s") => format!("{before}, # s"),
                _ => line,
            }
        }
        None => line,
    };
    text.lines().map(|line| without_duration(without_build(line)) + "\n").collect()
}

fn compare_with_fixture(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    let text = normalized(text);
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        std::fs::write(&path, &text).expect("access to the fixture");
    }
    let expected = std::fs::read_to_string(&path).expect("access to the fixture");
    for (number, (line, expected)) in (1..).zip(text.lines().zip(expected.lines())) {
        assert_eq!(line, expected, "line {number} of {name}");
    }
    assert_eq!(text.lines().count(), expected.lines().count(), "lines of {name}");
}

fn temporary(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("landingspread-{}-{name}", std::process::id()))
}

#[test]
fn sweep_output_matches_the_fixtures() {
    let (plan, out) = (temporary("pinned.toml"), temporary("pinned.jsonl"));
    std::fs::write(&plan, PLAN).expect("writing the plan");
    let (plan_at, out_at) = (plan.to_str().expect("UTF-8 text"), out.to_str().expect("UTF-8 text"));
    let pickers = ["--picker", "landingspread", "--picker", "random"];
    let printed = lab_output(&[&["sweep", plan_at, "--seeds", "2", "--out", out_at], &pickers[..]].concat());
    let lines = std::fs::read_to_string(&out).expect("reading the results");
    let compared = lab_output(&["compare", out_at]);
    let run = lab_output(&["run", plan_at, "--seconds"]);
    let _ = (std::fs::remove_file(&plan), std::fs::remove_file(&out));
    compare_with_fixture("sweep.jsonl", &lines);
    compare_with_fixture("printed.txt", &format!("== sweep\n{printed}== compare\n{compared}== run\n{run}"));
}

#[test]
fn printed_verdicts_match_the_fixture() {
    let runs: [&[&str]; 4] = [
        &["check", "--copies", "2", "--depth", "3"],
        &["check", "--variant", "counted-often", "--copies", "3", "--depth", "4"],
        &["fleet", "quiet", "--emulated", "1", "--processes", "4"],
        &["list"],
    ];
    let all: String =
        runs.iter().map(|args| format!("== {}\n{}", args.join(" "), lab_output(args))).collect();
    compare_with_fixture("verdicts.txt", &all);
}
