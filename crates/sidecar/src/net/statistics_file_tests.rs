//! Statistics files: the fingerprints of a deployment, files of earlier releases, and the bounds of the file.

use super::*;
use crate::configuration;

/// The fixtures of earlier releases: the name of a statistics file and the configuration it was written under, one for
/// each form of configuration.
const DEPLOYMENTS: [(&str, &str); 3] =
    [("every_kind", "every_kind.toml"), ("plain", "plain.toml"), ("platform", "platform.json")];

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/state").join(name)
}

fn configuration_of(configuration: &str) -> Configuration {
    configuration::read(Some(&fixture(configuration))).expect("the fixture can be read")
}

/// The fixture file of an earlier release, with its save time set to now.
fn earlier_file(name: &str) -> serde_json::Value {
    let text = std::fs::read(fixture(&format!("{name}.learnt.json"))).expect("a fixture");
    let mut file: serde_json::Value = serde_json::from_slice(&text).expect("JSON");
    file["saved_unix_ms"] = unix_ms().into();
    file
}

fn temporary_file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("landingspread-learnt-{name}-{}", std::process::id()))
}

fn read_back(file: &serde_json::Value, name: &str, deployment: &Deployment) -> RestoredState {
    let path = temporary_file(name);
    std::fs::write(&path, file.to_string()).expect("written");
    let restored = restore(&path, deployment, &Clock::start());
    let _ = std::fs::remove_file(path);
    restored
}

#[test]
fn legacy_fingerprints_match_earlier_releases() {
    for (name, configuration) in DEPLOYMENTS {
        let written = earlier_file(name)["deployment"].clone();
        assert_eq!(Deployment::of(&configuration_of(configuration)).legacy, written, "{name}");
    }
}

#[test]
fn settings_fingerprints_are_stable() {
    let fingerprints =
        DEPLOYMENTS.map(|(_, configuration)| Deployment::of(&configuration_of(configuration)).settings);
    assert_eq!(fingerprints, ["a9ce1ea9c1782c22", "16680f64c24d927e", "fbe98b271861532a"]);
}

#[test]
fn files_of_earlier_releases_are_read() {
    let servers = |restored: &RestoredState| {
        restored.statistics.iter().map(|statistics| statistics.server.to_string()).collect::<Vec<_>>()
    };
    for (name, configuration) in DEPLOYMENTS {
        let deployment = Deployment::of(&configuration_of(configuration));
        let restored = read_back(&earlier_file(name), name, &deployment);
        let expected: &[&str] = if name == "every_kind" { &["s1", "s\"2\" é"] } else { &["s1"] };
        assert_eq!(servers(&restored), expected, "{name}");
        let named: Vec<String> = restored.known_ids.iter().map(ToString::to_string).collect();
        assert_eq!(named, expected, "{name}");
        let first = &restored.statistics[0];
        assert_eq!((first.started_at, first.slowness, first.ejected), (None, 1.0, false), "{name}");
        for (_, other) in DEPLOYMENTS.iter().filter(|(other, _)| *other != name) {
            let other = Deployment::of(&configuration_of(other));
            assert!(
                read_back(&earlier_file(name), name, &other).statistics.is_empty(),
                "{name}: another deployment"
            );
        }
    }
}

#[test]
fn settings_fingerprint_overrides_legacy_fingerprint() {
    let deployment = Deployment::of(&configuration_of("plain.toml"));
    let mut file = earlier_file("plain");
    file["settings"] = deployment.settings.clone().into();
    file["deployment"] = "set as something else".into();
    assert_eq!(read_back(&file, "named", &deployment).statistics.len(), 1);
    file["settings"] = "0000000000000000".into();
    assert!(read_back(&file, "other", &deployment).statistics.is_empty());
}

#[test]
fn written_file_has_both_fingerprints() {
    let deployment = Deployment::of(&configuration_of("plain.toml"));
    let mut expected = earlier_file("plain");
    expected["settings"] = deployment.settings.clone().into();
    let (path, clock) = (temporary_file("written"), Clock::start());
    let statistics =
        [ServerStatistics { server: "s1".into(), started_at: None, slowness: 1.0, ejected: false }];
    let statistics_writer = StatisticsWriter::new(deployment);
    statistics_writer.save(path.clone(), &statistics, vec!["s1".into()], &clock);
    while statistics_writer.writer.is_busy() {
        std::thread::sleep(Duration::from_millis(1));
    }
    let mut written: serde_json::Value =
        serde_json::from_slice(&std::fs::read(&path).expect("a file")).expect("JSON");
    let _ = std::fs::remove_file(path);
    written["saved_unix_ms"] = expected["saved_unix_ms"].clone();
    assert_eq!(written.to_string(), expected.to_string());
}

#[test]
fn temporary_file_is_dot_new_and_file_size_is_limited() {
    let deployment = Deployment::of(&configuration_of("plain.toml"));
    let (path, clock) = (temporary_file("aside").with_extension("json"), Clock::start());
    std::fs::create_dir(path.with_extension("new")).expect("a folder");
    let statistics_writer = StatisticsWriter::new(deployment.clone());
    statistics_writer.save(path.clone(), &[], Vec::new(), &clock);
    while statistics_writer.writer.is_busy() {
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(!path.exists());
    std::fs::remove_dir(path.with_extension("new")).expect("removed");
    let padded = |length: usize| earlier_file("plain").to_string() + &" ".repeat(length);
    let fill = MAX_FILE_BYTES as usize - padded(0).len();
    for (spaces, servers) in [(fill, 1), (fill + 1, 0)] {
        std::fs::write(&path, padded(spaces)).expect("written");
        assert_eq!(restore(&path, &deployment, &clock).statistics.len(), servers, "{spaces}");
    }
    let _ = std::fs::remove_file(path);
}
