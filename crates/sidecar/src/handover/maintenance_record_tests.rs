use super::*;

#[test]
fn entries_of_two_processes_meet_and_a_torn_file_ends_nothing() {
    let folder = std::env::temp_dir().join(format!("landingspread-record-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (mut one, mut other) = (MaintenanceRecord::open(&folder, "n"), MaintenanceRecord::open(&folder, "n"));
    one.set("s1", true).expect("written");
    other.set("s2", true).expect("written");
    assert!(one.refresh() && one.entries.len() == 2 && one.entries["s2"].in_maintenance);
    one.set("s1", false).expect("written");
    assert!(other.refresh() && !other.entries["s1"].in_maintenance && !other.refresh());
    assert!(MaintenanceRecord::open(&folder, "n").entries["s2"].in_maintenance, "a later process finds it");
    std::fs::write(&one.path, "{\"version\":1,\"wor").expect("written");
    one.refresh();
    assert!(one.entries["s2"].in_maintenance);
    assert!(one.set("s3", true).is_err(), "what could not be read is not written over");
    let _ = std::fs::remove_dir_all(folder);
}

/// Written by an earlier release of the program.
const EARLIER: &str = include_str!("../../tests/fixtures/state/node_1__.maintenance");

#[test]
fn the_record_of_an_earlier_release_is_read_and_written_byte_for_byte() {
    let folder = std::env::temp_dir().join(format!("landingspread-record-earlier-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join("node_1__.maintenance"), EARLIER).expect("written");
    let mut record = MaintenanceRecord::open(&folder, "node/1 é");
    let entry = |in_maintenance, at_unix_ms| MaintenanceEntry { in_maintenance, at_unix_ms };
    let wanted = [("s\"2\" é", entry(true, 1_796_287_876_087)), ("s1", entry(false, 1_796_287_876_304))];
    assert_eq!(record.entries, wanted.map(|(server, entry)| (server.to_string(), entry)).into());
    let saved = RecordFile { version: FORMAT_VERSION, entries: record.entries.clone() };
    assert_eq!(serde_json::to_string(&saved).expect("JSON"), EARLIER);
    // The files aside have these names: where a folder stands in the place of one, nothing is written.
    std::fs::create_dir(folder.join("node_1__.maintenance.new")).expect("a folder");
    assert!(record.set("s3", true).is_err());
    std::fs::remove_dir(folder.join("node_1__.maintenance.new")).expect("removed");
    record.set("s3", true).expect("written");
    assert!(
        folder.join("node_1__.maintenance.lock").exists()
            && !folder.join("node_1__.maintenance.new").exists()
    );
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn errors_show_what_is_wrong_with_the_file() {
    let folder = std::env::temp_dir().join(format!("landingspread-record-errors-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut record = MaintenanceRecord::open(&folder, "n");
    for (text, wanted) in [
        ("{\"version\":2,\"words\":{}}", "version: 2 is not 1"),
        ("{\"version\":1,\"wor", "EOF while parsing a string at line 1 column 17"),
        ("[]", "invalid length 0, expected struct RecordFile with 2 elements at line 1 column 2"),
    ] {
        std::fs::write(&record.path, text).expect("written");
        assert_eq!(record.set("s1", true).expect_err("an error").to_string(), wanted);
    }
    let full: Vec<String> =
        (0..MAX_ENTRIES).map(|number| format!("\"s{number}\":{{\"out\":true,\"at_unix_ms\":0}}")).collect();
    std::fs::write(&record.path, format!("{{\"version\":1,\"words\":{{{}}}}}", full.join(",")))
        .expect("written");
    assert!(record.set("s0", true).is_ok(), "it has an entry already");
    let error = record.set("another", true).expect_err("an error");
    assert_eq!(error.to_string(), "over 4096 servers are in maintenance");
    let _ = std::fs::remove_dir_all(folder);
}
