//! The sub-command `capacity`: the page agrees with it, and files that can't be read are told by line and key.

use landingspread_capacity::{BUDGET_BYTES_PER_S, BUILT_IN, BUILT_IN_SLOPES};
use landingspread_membership::Budget;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn capacity(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_landingspread-lab");
    Command::new(program).arg("capacity").args(args).output().expect("the lab runs")
}

fn docs(page: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(page)
}

/// Every text between marks, with its name.
fn parts(text: &str) -> Vec<(String, String)> {
    let part = |rest: &str| {
        let (name, rest) = rest.split_once(" -->\n").expect("a mark ends");
        let end = format!("<!-- /capacity {name} -->");
        (name.to_string(), rest.split_once(&end).expect("a part ends").0.to_string())
    };
    text.split("<!-- capacity ").skip(1).map(part).collect()
}

fn scratch(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("landingspread-capacity-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a scratch file");
    path
}

#[test]
fn the_page_and_the_command_agree() {
    let page = std::fs::read_to_string(docs("CAPACITY.md")).expect("the page");
    let output = capacity(&[]);
    assert!(output.status.success(), "{output:?}");
    let (told, stand) = (parts(&String::from_utf8_lossy(&output.stdout)), parts(&page));
    assert!(told.len() >= 10, "{} parts", told.len());
    let names = |parts: &[(String, String)]| {
        let mut names: Vec<String> = parts.iter().map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    };
    assert_eq!(
        names(&stand),
        names(&told),
        "`landingspread-lab capacity --into docs/CAPACITY.md` fills the parts"
    );
    for (name, text) in &told {
        let found = stand.iter().find(|(other, _)| other == name).map(|(_, text)| text);
        assert_eq!(
            found,
            Some(text),
            "{name}: `landingspread-lab capacity --into docs/CAPACITY.md` renews the page"
        );
    }
}

#[test]
fn a_page_is_renewed_in_place_and_one_without_marks_is_left_alone() {
    let page = std::fs::read_to_string(docs("CAPACITY.md")).expect("the page");
    let stale = scratch("stale.md", &page.replacen("| sidecar |", "| sidecart |", 1));
    let output = capacity(&["--into", &stale.display().to_string()]);
    assert!(output.status.success(), "{output:?}");
    assert!(std::fs::read_to_string(&stale).expect("the page") == page);
    std::fs::write(&stale, "# No marks\n").expect("a scratch file");
    let output = capacity(&["--into", &stale.display().to_string()]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("expected the marks of"), "{output:?}");
    assert_eq!(std::fs::read_to_string(&stale).expect("the page"), "# No marks\n");
    std::fs::remove_file(&stale).expect("a scratch file");
}

#[test]
fn files_named_are_read_in_place_of_the_built_in_ones() {
    let size = scratch("size.toml", BUILT_IN);
    let slopes = scratch("slopes.toml", BUILT_IN_SLOPES);
    let (size_path, slopes_path) = (size.display().to_string(), slopes.display().to_string());
    let output = capacity(&["--size", &size_path, "--slopes", &slopes_path]);
    assert!(output.status.success() && output.stdout == capacity(&[]).stdout);
    // A program that writes a file of 0 slopes has measured nothing.
    std::fs::write(&slopes, "").expect("a scratch file");
    let output = capacity(&["--slopes", &slopes_path]);
    assert!(
        output.status.success() && String::from_utf8_lossy(&output.stdout).contains("No slope was measured")
    );
    [size, slopes].iter().for_each(|path| std::fs::remove_file(path).expect("a scratch file"));
}

#[test]
fn files_that_cannot_be_read_are_told_by_line_and_key() {
    let told = |option: &str, text: &str| {
        let path = scratch("faulty.toml", text);
        let output = capacity(&[option, &path.display().to_string()]);
        assert_eq!(output.status.code(), Some(1), "{option} {text}");
        assert!(output.stdout.is_empty());
        std::fs::remove_file(&path).expect("a scratch file");
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    let endpoints = 1 + BUILT_IN.lines().position(|line| line == "endpoints = 8100").expect("the line");
    assert!(told("--size", "").contains("operators"));
    let wrong = told("--size", &BUILT_IN.replace("endpoints = 8100", "endpoints = 0"));
    assert!(wrong.contains(&format!(":{endpoints}: operators.endpoints: 0; expected")), "{wrong}");
    let wrong = told("--size", &BUILT_IN.replace("endpoints = 8100", "endpoint = 8100"));
    assert!(wrong.contains("did you mean `endpoints`?"), "{wrong}");
    assert!(told("--size", &BUILT_IN[..BUILT_IN.len() / 3]).contains(": "), "cut");
    assert!(told("--slopes", "[[slope]]\nrole = \"moon\"\n").contains(":2: unknown variant `moon`"));
    assert!(told("--slopes", "[[slop]]\n").contains("did you mean `slope`?"));
    assert!(told("--after", "[[slope]]\n").contains("missing field"));
    let output = capacity(&["--slopes", "no/such/file"]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("no/such/file: "), "{output:?}");
}

#[test]
fn the_budget_of_the_page_is_the_one_that_the_program_has() {
    assert_eq!(BUDGET_BYTES_PER_S, f64::from(Budget::default().bytes_per_s));
}
