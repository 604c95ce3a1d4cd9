//! What `landingspread check` prints of every configuration under `fixtures/check`, valid and faulty, byte for byte.
//! A `.env` file holds the environment of a case, one `NAME=value` a line; any other input is a configuration file.

use std::path::{Path, PathBuf};
use std::process::Command;

fn environment(input: &Path) -> Vec<(String, String)> {
    let name = input.file_name().and_then(|name| name.to_str()).expect("a name");
    if input.extension().is_none_or(|ending| ending != "env") {
        return vec![("NODE_CONFIG".into(), name.into())];
    }
    let text = std::fs::read_to_string(input).expect("a fixture");
    let pair = |line: &str| line.split_once('=').map(|(name, value)| (name.into(), value.into()));
    text.lines().filter_map(pair).collect()
}

fn printed(folder: &Path, input: &Path) -> String {
    let mut check = Command::new(env!("CARGO_BIN_EXE_landingspread"));
    check.arg("check").current_dir(folder).env_clear().envs(environment(input));
    let output = check.output().expect("it runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    let code = output.status.code().expect("an exit code");
    format!("exit {code}\n{}{}", text(output.stdout), text(output.stderr))
}

#[test]
fn check_prints_each_configuration_and_each_fault_as_the_fixtures_show() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/check");
    let paths =
        std::fs::read_dir(&folder).expect("the fixtures").map(|entry| entry.expect("an entry").path());
    let mut inputs: Vec<PathBuf> =
        paths.filter(|path| path.extension().is_none_or(|ending| ending != "txt")).collect();
    inputs.sort();
    assert_eq!(inputs.len(), 94, "cases");
    for input in inputs {
        let wanted = std::fs::read_to_string(input.with_extension("txt")).expect("its output");
        assert_eq!(printed(&folder, &input), wanted, "{}", input.display());
    }
}
