//! Restores and saves a cached snapshot that an earlier release wrote.

use super::*;
use landingspread_control::{ConfigError, ConfigHost, Contents};

/// A cached snapshot that an earlier release of the program wrote.
const EARLIER_RELEASE_SNAPSHOT: &str = include_str!("../../tests/fixtures/state/node_1__.control");

/// Accepts every version and records the contents that were applied.
#[derive(Default)]
struct RecordingHost(Option<Contents>);

impl ConfigHost for RecordingHost {
    fn check(&mut self, _contents: &Contents) -> Result<(), ConfigError> {
        Ok(())
    }

    fn apply(&mut self, _version: &Version, contents: &Contents) {
        self.0 = Some(contents.clone());
    }
}

fn restored() -> (Follower, RecordingHost, Version) {
    let mut follower = Follower::new("checkout", "node/1 é", &[], "", 7);
    let mut host = RecordingHost::default();
    let version = follower
        .restore(EARLIER_RELEASE_SNAPSHOT.as_bytes(), &mut host)
        .expect("the snapshot can be restored");
    (follower, host, version)
}

fn save_and_wait(cache: &mut SnapshotCache, follower: &Follower) {
    cache.save(follower);
    while cache.writer.is_busy() {
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
}

#[test]
fn snapshot_of_an_earlier_release_is_saved_byte_for_byte() {
    let folder = std::env::temp_dir().join(format!("landingspread-kept-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    let (follower, host, version) = restored();
    assert_eq!(version.to_string(), "1796287875.1.202ca9e9b95e75eb9fe3962381267ae0");
    let expected = [("tenants.acme.quota", "200.5"), ("verbs.view.goal", "250ms")];
    assert_eq!(host.0, Some(expected.map(|(key, value)| (key.to_string(), value.to_string())).into()));
    let mut cache = SnapshotCache::at(None, Some(&folder), "node/1 é").expect("a state folder is configured");
    save_and_wait(&mut cache, &follower);
    assert_eq!(
        std::fs::read_to_string(folder.join("node_1__.control")).expect("the file was written"),
        EARLIER_RELEASE_SNAPSHOT
    );
    // A folder with the name of the temporary file makes the write fail.
    let configured_file = folder.join("named.json");
    std::fs::create_dir(folder.join(format!("named.new{}", std::process::id())))
        .expect("the folder can be created");
    save_and_wait(
        &mut SnapshotCache::at(Some(&configured_file), Some(&folder), "n").expect("a file is configured"),
        &follower,
    );
    assert!(!configured_file.exists() && SnapshotCache::at(None, None, "n").is_none());
    let _ = std::fs::remove_dir_all(folder);
}
