//! The cached snapshot as an earlier release wrote it, read and written again.

use super::*;
use landingspread_control::{ConfigError, ConfigHost, Contents};

/// Written by an earlier release of the program.
const EARLIER: &str = include_str!("../../tests/fixtures/state/node_1__.control");

/// The contents that were applied.
#[derive(Default)]
struct Applied(Option<Contents>);

impl ConfigHost for Applied {
    fn check(&mut self, _contents: &Contents) -> Result<(), ConfigError> {
        Ok(())
    }

    fn apply(&mut self, _version: &Version, contents: &Contents) {
        self.0 = Some(contents.clone());
    }
}

fn restored() -> (Follower, Applied, Version) {
    let mut follower = Follower::new("checkout", "node/1 é", &[], "", 7);
    let mut host = Applied::default();
    let version = follower.restore(EARLIER.as_bytes(), &mut host).expect("it can be read");
    (follower, host, version)
}

fn saved(cache: &mut SnapshotCache, follower: &Follower) {
    cache.save(follower);
    while cache.writer.is_busy() {
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
}

#[test]
fn the_snapshot_of_an_earlier_release_is_read_and_written_byte_for_byte() {
    let folder = std::env::temp_dir().join(format!("landingspread-kept-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (follower, host, version) = restored();
    assert_eq!(version.to_string(), "1796287875.1.202ca9e9b95e75eb9fe3962381267ae0");
    let wanted = [("tenants.acme.quota", "200.5"), ("verbs.view.goal", "250ms")];
    assert_eq!(host.0, Some(wanted.map(|(key, value)| (key.to_string(), value.to_string())).into()));
    let mut cache = SnapshotCache::at(None, Some(&folder), "node/1 é").expect("a folder is named");
    saved(&mut cache, &follower);
    assert_eq!(std::fs::read_to_string(folder.join("node_1__.control")).expect("a file"), EARLIER);
    // The file aside has this name: where a folder stands in its place, nothing is written.
    let named = folder.join("named.json");
    std::fs::create_dir(folder.join(format!("named.new{}", std::process::id()))).expect("a folder");
    saved(&mut SnapshotCache::at(Some(&named), Some(&folder), "n").expect("a file is named"), &follower);
    assert!(!named.exists() && SnapshotCache::at(None, None, "n").is_none());
    let _ = std::fs::remove_dir_all(folder);
}
