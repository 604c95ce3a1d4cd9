//! Control settings of sidecars and machines: off by default, and errors name the line and the key.

use crate::helpers::*;
use crate::rig::*;
use std::path::Path;
use std::process::Command;

/// The output of `landingspread check` for a file: the resolved settings, or the error.
fn checked(folder: &Path, text: &str) -> Result<String, String> {
    let file = folder.join("checked.toml");
    std::fs::write(&file, text).expect("failed to write the file");
    let mut program = Command::new(env!("CARGO_BIN_EXE_landingspread"));
    let out = program.args(["check", "--file"]).arg(&file).output().expect("failed to run landingspread");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    if out.status.success() { Ok(text(out.stdout)) } else { Err(text(out.stderr)) }
}

#[test]
fn control_is_off_by_default_and_errors_name_line_and_key() {
    let folder = folder("faults");
    let init = Command::new(env!("CARGO_BIN_EXE_landingspread"))
        .arg("init")
        .output()
        .expect("failed to run landingspread");
    let plain = String::from_utf8_lossy(&init.stdout).into_owned();
    assert!(!checked(&folder, &plain).expect("configuration is valid").contains("control"));
    let with = |part: &str| plain.replacen("# [control]", &format!("[control]\n{part}"), 1);
    let good = "scope = \"a\"\nmachines = [{ address = \"127.0.0.1:1\" }]";
    assert!(
        checked(&folder, &with(good))
            .expect("configuration is valid")
            .contains("configuration of a at 1 control")
    );
    for (part, expected) in [
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
        let error = checked(&folder, &with(part)).expect_err("configuration is invalid");
        assert!(error.contains(expected) && error.contains("checked.toml:"), "{part}: {error}");
    }
    // The console of a sidecar without control answers 404.
    let (listen, console) = (address(), address());
    let text = plain.replacen(
        "listen = \"127.0.0.1:8080\"",
        &format!("listen = \"{listen}\"\nconsole = \"{console}\""),
        1,
    );
    let process = Process::start(&folder, "plain", &["serve", "--file"], &text);
    wait_until("the console answers", || call(console, "GET /status", "").is_some());
    assert_eq!(call(console, "GET /control", "").map(|(status, _)| status), Some(404));
    drop(process);
    // Errors in a control machine's file name the key as well.
    for (text, expected) in [
        ("listen = \"127.0.0.1:1\"\nmachines = [\"127.0.0.1:2\"]", "machines: `listen` is not among them"),
        (
            "listen = \"127.0.0.1:1\"\nmachines = [\"127.0.0.1:1\"]\nconnections = 0",
            "connections: 0 is under 1",
        ),
        ("listen = \"127.0.0.1:1\"\nmachine = []", "did you mean `machines`"),
    ] {
        let file = folder.join("machine.toml");
        std::fs::write(&file, text).expect("failed to write the file");
        let mut program = Command::new(env!("CARGO_BIN_EXE_landingspread"));
        let out = program.arg("control").arg(&file).output().expect("failed to run landingspread");
        let error = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success() && error.contains(expected), "{text}: {error}");
    }
    let _ = std::fs::remove_dir_all(folder);
}
