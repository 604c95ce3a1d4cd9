//! Configuration that control machines hand out, over processes of the program with faults between them: what is in force
//! is shown by what sidecars do with requests and by what their consoles report.

#[path = "../helpers/mod.rs"]
mod helpers;

mod answers;
mod outages;
mod paths;
mod rig;
mod settings;
mod versions;
