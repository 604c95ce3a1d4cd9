//! Tests of the sub-command `capacity`: the page has the current output, and errors in input files are reported with
//! line and key.

use landingspread_capacity::{BUDGET_BYTES_PER_S, BUILT_IN, BUILT_IN_SLOPES};
use landingspread_membership::Budget;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn run_capacity(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_landingspread-lab");
    Command::new(program).arg("capacity").args(args).output().expect("the lab program starts")
}

fn docs_path(page: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(page)
}

/// Name and text of each section between a pair of capacity marks.
fn marked_sections(text: &str) -> Vec<(String, String)> {
    let section = |rest: &str| {
        let (name, rest) =
            rest.split_once(" -->\n").expect("the opening mark ends with ` -->` and a line break");
        let end = format!("<!-- /capacity {name} -->");
        (name.to_string(), rest.split_once(&end).expect("the section has a closing mark").0.to_string())
    };
    text.split("<!-- capacity ").skip(1).map(section).collect()
}

fn write_temp_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("landingspread-capacity-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the temporary file can be written");
    path
}

#[test]
fn capacity_page_matches_command_output() {
    let page = std::fs::read_to_string(docs_path("CAPACITY.md")).expect("docs/CAPACITY.md can be read");
    let output = run_capacity(&[]);
    assert!(output.status.success(), "{output:?}");
    let (printed, documented) =
        (marked_sections(&String::from_utf8_lossy(&output.stdout)), marked_sections(&page));
    assert!(printed.len() >= 10, "{} sections printed, expected at least 10", printed.len());
    let names = |sections: &[(String, String)]| {
        let mut names: Vec<String> = sections.iter().map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    };
    assert_eq!(
        names(&documented),
        names(&printed),
        "`landingspread-lab capacity --into docs/CAPACITY.md` writes these sections"
    );
    for (name, text) in &printed {
        let found = documented.iter().find(|(other, _)| other == name).map(|(_, text)| text);
        assert_eq!(
            found,
            Some(text),
            "{name}: `landingspread-lab capacity --into docs/CAPACITY.md` updates the page"
        );
    }
}

#[test]
fn stale_page_is_updated_and_page_without_marks_is_unchanged() {
    let page = std::fs::read_to_string(docs_path("CAPACITY.md")).expect("docs/CAPACITY.md can be read");
    let stale = write_temp_file("stale.md", &page.replacen("| sidecar |", "| sidecart |", 1));
    let output = run_capacity(&["--into", &stale.display().to_string()]);
    assert!(output.status.success(), "{output:?}");
    assert!(std::fs::read_to_string(&stale).expect("the temporary page can be read") == page);
    std::fs::write(&stale, "# No marks\n").expect("the temporary file can be written");
    let output = run_capacity(&["--into", &stale.display().to_string()]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("expected the marks of"), "{output:?}");
    assert_eq!(std::fs::read_to_string(&stale).expect("the temporary page can be read"), "# No marks\n");
    std::fs::remove_file(&stale).expect("the temporary file can be removed");
}

#[test]
fn given_files_replace_built_in_files() {
    let size = write_temp_file("size.toml", BUILT_IN);
    let slopes = write_temp_file("slopes.toml", BUILT_IN_SLOPES);
    let (size_path, slopes_path) = (size.display().to_string(), slopes.display().to_string());
    let output = run_capacity(&["--size", &size_path, "--slopes", &slopes_path]);
    assert!(output.status.success() && output.stdout == run_capacity(&[]).stdout);
    // An empty file has no slopes: its writer measured none.
    std::fs::write(&slopes, "").expect("the temporary file can be written");
    let output = run_capacity(&["--slopes", &slopes_path]);
    assert!(
        output.status.success() && String::from_utf8_lossy(&output.stdout).contains("No slope was measured")
    );
    [size, slopes]
        .iter()
        .for_each(|path| std::fs::remove_file(path).expect("the temporary file can be removed"));
}

#[test]
fn invalid_files_are_reported_with_line_and_key() {
    let error_output = |option: &str, text: &str| {
        let path = write_temp_file("faulty.toml", text);
        let output = run_capacity(&[option, &path.display().to_string()]);
        assert_eq!(output.status.code(), Some(1), "{option} {text}");
        assert!(output.stdout.is_empty());
        std::fs::remove_file(&path).expect("the temporary file can be removed");
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    let endpoints_line = 1 + BUILT_IN
        .lines()
        .position(|line| line == "endpoints = 8100")
        .expect("the built-in file has the line `endpoints = 8100`");
    assert!(error_output("--size", "").contains("operators"));
    let errors = error_output("--size", &BUILT_IN.replace("endpoints = 8100", "endpoints = 0"));
    assert!(errors.contains(&format!(":{endpoints_line}: operators.endpoints: 0; expected")), "{errors}");
    let errors = error_output("--size", &BUILT_IN.replace("endpoints = 8100", "endpoint = 8100"));
    assert!(errors.contains("did you mean `endpoints`?"), "{errors}");
    assert!(error_output("--size", &BUILT_IN[..BUILT_IN.len() / 3]).contains(": "), "truncated file");
    assert!(error_output("--slopes", "[[slope]]\nrole = \"moon\"\n").contains(":2: unknown variant `moon`"));
    assert!(error_output("--slopes", "[[slop]]\n").contains("did you mean `slope`?"));
    assert!(error_output("--after", "[[slope]]\n").contains("missing field"));
    let output = run_capacity(&["--slopes", "no/such/file"]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("no/such/file: "), "{output:?}");
}

#[test]
fn page_budget_equals_default_membership_budget() {
    assert_eq!(BUDGET_BYTES_PER_S, f64::from(Budget::default().bytes_per_s));
}
