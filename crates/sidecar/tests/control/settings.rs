//! The settings of sidecars and machines: off by default, and errors with the line and the key.

use crate::helpers::*;
use crate::rig::*;
use std::path::Path;
use std::process::Command;

/// What `landingspread check` says of a file: nothing wrong, or the fault.
fn checked(folder: &Path, text: &str) -> Result<String, String> {
    let file = folder.join("checked.toml");
    std::fs::write(&file, text).expect("a file");
    let mut program = Command::new(env!("CARGO_BIN_EXE_landingspread"));
    let out = program.args(["check", "--file"]).arg(&file).output().expect("the program runs");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    if out.status.success() { Ok(text(out.stdout)) } else { Err(text(out.stderr)) }
}

#[test]
fn control_is_off_by_default_and_errors_name_the_line_and_the_key() {
    let folder = folder("faults");
    let init = Command::new(env!("CARGO_BIN_EXE_landingspread")).arg("init").output().expect("it runs");
    let plain = String::from_utf8_lossy(&init.stdout).into_owned();
    assert!(!checked(&folder, &plain).expect("it can be gone by").contains("control"));
    let with = |part: &str| plain.replacen("# [control]", &format!("[control]\n{part}"), 1);
    let good = "scope = \"a\"\nmachines = [{ address = \"127.0.0.1:1\" }]";
    assert!(
        checked(&folder, &with(good)).expect("it can be gone by").contains("configuration of a at 1 control")
    );
    for (part, wanted) in [
        (
            "scope = \"A b\"\nmachines = [{ address = \"127.0.0.1:1\" }]",
            "control.scope: it is empty, too long",
        ),
        ("scope = \"a\"\nmachines = []", "control.machines: from one to 64"),
        (
            "scope = \"a\"\nmachines = [{ address = \"127.0.0.1:1\" }, { address = \"127.0.0.1:1\" }]",
            "control.machines: one address stands there twice",
        ),
        ("scope = \"a\"\nmachins = []", "did you mean `machines`"),
        ("scope = \"a\"", "machines"),
    ] {
        let said = checked(&folder, &with(part)).expect_err("a fault");
        assert!(said.contains(wanted) && said.contains("checked.toml:"), "{part}: {said}");
    }
    // A sidecar without it tells so at its console, and a machine's file has its faults told alike.
    let (listen, console) = (address(), address());
    let text = plain.replacen(
        "listen = \"127.0.0.1:8080\"",
        &format!("listen = \"{listen}\"\nconsole = \"{console}\""),
        1,
    );
    let process = Process::start(&folder, "plain", &["serve", "--file"], &text);
    within("the console answers", || call(console, "GET /status", "").is_some());
    assert_eq!(call(console, "GET /control", "").map(|(status, _)| status), Some(404));
    drop(process);
    for (text, wanted) in [
        ("listen = \"127.0.0.1:1\"\nmachines = [\"127.0.0.1:2\"]", "machines: `listen` is not among them"),
        (
            "listen = \"127.0.0.1:1\"\nmachines = [\"127.0.0.1:1\"]\nconnections = 0",
            "connections: 0 is under 1",
        ),
        ("listen = \"127.0.0.1:1\"\nmachine = []", "did you mean `machines`"),
    ] {
        let file = folder.join("machine.toml");
        std::fs::write(&file, text).expect("a file");
        let mut program = Command::new(env!("CARGO_BIN_EXE_landingspread"));
        let out = program.arg("control").arg(&file).output().expect("the program runs");
        let said = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success() && said.contains(wanted), "{text}: {said}");
    }
    let _ = std::fs::remove_dir_all(folder);
}
