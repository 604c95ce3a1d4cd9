//! Configuration distributed by control machines, with real processes and faults between them. Which version is in force
//! shows in how sidecars treat requests and in what their consoles report.

#[path = "../helpers/mod.rs"]
mod helpers;

mod answers;
mod outages;
mod paths;
mod rig;
mod settings;
mod versions;
