use super::*;

#[test]
fn processes_share_entries_and_keep_them_if_file_is_truncated() {
    let folder = std::env::temp_dir().join(format!("landingspread-record-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the test folder is created");
    let (mut first, mut second) =
        (MaintenanceRecord::open(&folder, "n"), MaintenanceRecord::open(&folder, "n"));
    first.set("s1", true).expect("the entry is written");
    second.set("s2", true).expect("the entry is written");
    assert!(first.refresh() && first.entries.len() == 2 && first.entries["s2"].in_maintenance);
    first.set("s1", false).expect("the entry is written");
    assert!(second.refresh() && !second.entries["s1"].in_maintenance && !second.refresh());
    assert!(
        MaintenanceRecord::open(&folder, "n").entries["s2"].in_maintenance,
        "a later process reads the entry"
    );
    std::fs::write(&first.path, "{\"version\":1,\"wor").expect("the file is written");
    first.refresh();
    assert!(first.entries["s2"].in_maintenance);
    assert!(first.set("s3", true).is_err(), "an unreadable record is not overwritten");
    let _ = std::fs::remove_dir_all(folder);
}

/// A process that records an order right after the other one did must still see the other's order as new, or it would
/// never apply it.
#[test]
fn own_order_does_not_hide_one_that_the_other_process_recorded_before() {
    let folder = std::env::temp_dir().join(format!("landingspread-record-both-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the test folder is created");
    let (mut first, mut second) =
        (MaintenanceRecord::open(&folder, "n"), MaintenanceRecord::open(&folder, "n"));
    for in_maintenance in [true, false, true] {
        first.set("s1", in_maintenance).expect("the entry is written");
        second.set("s2", in_maintenance).expect("the entry is written");
        for record in [&mut first, &mut second] {
            assert!(record.refresh(), "the record has changed");
            assert!(["s1", "s2"].iter().all(|id| record.entries[*id].in_maintenance == in_maintenance));
            assert!(!record.refresh());
        }
    }
    let _ = std::fs::remove_dir_all(folder);
}

/// A state of the file that could not be read must not count as read, or its entries would wait for the next change.
#[test]
fn record_that_cannot_be_read_is_read_at_the_next_look() {
    let folder = std::env::temp_dir().join(format!("landingspread-record-again-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the test folder is created");
    let mut record = MaintenanceRecord::open(&folder, "n");
    record.set("s1", true).expect("the entry is written");
    record.refresh();
    // A folder in the place of the file cannot be read.
    std::fs::remove_file(&record.path).expect("the record is removed");
    std::fs::create_dir(&record.path).expect("the folder is created");
    assert!(!record.refresh() && record.last_stamp != record.stamp());
    assert!(record.entries["s1"].in_maintenance, "the entries read last stay");
    let _ = std::fs::remove_dir_all(folder);
}

/// A record written by an earlier release.
const EARLIER_RECORD: &str = include_str!("../../tests/fixtures/state/node_1__.maintenance");

#[test]
fn earlier_release_record_round_trips_byte_for_byte() {
    let folder = std::env::temp_dir().join(format!("landingspread-record-earlier-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the test folder is created");
    std::fs::write(folder.join("node_1__.maintenance"), EARLIER_RECORD).expect("the record is written");
    let mut record = MaintenanceRecord::open(&folder, "node/1 é");
    let entry = |in_maintenance, at_unix_ms| MaintenanceEntry { in_maintenance, at_unix_ms };
    let expected = [("s\"2\" é", entry(true, 1_796_287_876_087)), ("s1", entry(false, 1_796_287_876_304))];
    assert_eq!(record.entries, expected.map(|(server, entry)| (server.to_string(), entry)).into());
    let file = RecordFile { version: FORMAT_VERSION, entries: record.entries.clone() };
    assert_eq!(serde_json::to_string(&file).expect("the record is serialized"), EARLIER_RECORD);
    // A folder with the name of the temporary file makes the write fail.
    std::fs::create_dir(folder.join("node_1__.maintenance.new")).expect("the folder is created");
    assert!(record.set("s3", true).is_err());
    std::fs::remove_dir(folder.join("node_1__.maintenance.new")).expect("the folder is removed");
    record.set("s3", true).expect("the entry is written");
    assert!(
        folder.join("node_1__.maintenance.lock").exists()
            && !folder.join("node_1__.maintenance.new").exists()
    );
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn errors_describe_faults_of_the_file() {
    let folder = std::env::temp_dir().join(format!("landingspread-record-errors-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the test folder is created");
    let mut record = MaintenanceRecord::open(&folder, "n");
    for (text, expected) in [
        ("{\"version\":2,\"words\":{}}", "version: 2 is not 1"),
        ("{\"version\":1,\"wor", "EOF while parsing a string at line 1 column 17"),
        ("[]", "invalid length 0, expected struct RecordFile with 2 elements at line 1 column 2"),
    ] {
        std::fs::write(&record.path, text).expect("the file is written");
        assert_eq!(record.set("s1", true).expect_err("the record is invalid").to_string(), expected);
    }
    let entries: Vec<String> =
        (0..MAX_ENTRIES).map(|number| format!("\"s{number}\":{{\"out\":true,\"at_unix_ms\":0}}")).collect();
    std::fs::write(&record.path, format!("{{\"version\":1,\"words\":{{{}}}}}", entries.join(",")))
        .expect("the file is written");
    assert!(record.set("s0", true).is_ok(), "the server already has an entry");
    let error = record.set("another", true).expect_err("the record is full");
    assert_eq!(error.to_string(), "over 4096 servers are in maintenance");
    let _ = std::fs::remove_dir_all(folder);
}
