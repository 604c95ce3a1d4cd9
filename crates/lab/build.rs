//! Sets `LAB_BUILD` to the description of the commit; results record it.

use std::process::Command;

fn main() {
    println!("cargo:rerun-if-changed=../../.git/HEAD");
    println!("cargo:rerun-if-changed=../../.git/logs/HEAD");
    let describe = Command::new("git").args(["describe", "--always", "--dirty"]).output();
    let describe = describe.ok().filter(|output| output.status.success());
    let description = describe.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_string());
    println!("cargo:rustc-env=LAB_BUILD={}", description.unwrap_or_else(|| "unknown".into()));
}
