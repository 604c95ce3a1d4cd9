//! The output of `landingspread check` for every configuration under `fixtures/check`, valid and invalid, byte for byte.
//! A `.env` file holds the environment of a case, one `NAME=value` per line; any other input is a configuration file.

use std::path::{Path, PathBuf};
use std::process::Command;

fn environment(input: &Path) -> Vec<(String, String)> {
    let name = input.file_name().and_then(|name| name.to_str()).expect("fixture file name is UTF-8");
    if input.extension().is_none_or(|ending| ending != "env") {
        return vec![("NODE_CONFIG".into(), name.into())];
    }
    let text = std::fs::read_to_string(input).expect("failed to read the fixture");
    let pair = |line: &str| line.split_once('=').map(|(name, value)| (name.into(), value.into()));
    text.lines().filter_map(pair).collect()
}

fn check_output(folder: &Path, input: &Path) -> String {
    let mut check = Command::new(env!("CARGO_BIN_EXE_landingspread"));
    check.arg("check").current_dir(folder).env_clear().envs(environment(input));
    let output = check.output().expect("failed to run landingspread");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("output is UTF-8");
    let code = output.status.code().expect("check ended by a signal, without an exit code");
    format!("exit {code}\n{}{}", text(output.stdout), text(output.stderr))
}

#[test]
fn check_output_matches_the_fixtures() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/check");
    let paths = std::fs::read_dir(&folder)
        .expect("failed to list the fixtures")
        .map(|entry| entry.expect("failed to read a directory entry").path());
    let mut inputs: Vec<PathBuf> =
        paths.filter(|path| path.extension().is_none_or(|ending| ending != "txt")).collect();
    inputs.sort();
    assert_eq!(inputs.len(), 95, "number of fixtures");
    for input in inputs {
        let expected =
            std::fs::read_to_string(input.with_extension("txt")).expect("failed to read the expected output");
        assert_eq!(check_output(&folder, &input), expected, "{}", input.display());
    }
}
