use super::*;

#[test]
fn two_processes_words_meet_and_a_torn_file_ends_nothing() {
    let folder = std::env::temp_dir().join(format!("landingspread-record-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (mut one, mut other) = (Record::open(&folder, "n"), Record::open(&folder, "n"));
    one.say("s1", true).expect("written");
    other.say("s2", true).expect("written");
    assert!(one.look() && one.words.len() == 2 && one.words["s2"].out);
    one.say("s1", false).expect("written");
    assert!(other.look() && !other.words["s1"].out && !other.look());
    assert!(Record::open(&folder, "n").words["s2"].out, "a later process finds it");
    std::fs::write(&one.path, "{\"version\":1,\"wor").expect("written");
    one.look();
    assert!(one.words["s2"].out);
    assert!(one.say("s3", true).is_err(), "what could not be read is not written over");
    let _ = std::fs::remove_dir_all(folder);
}

/// Written by an earlier release of the program.
const EARLIER: &str = include_str!("../../tests/fixtures/state/node_1__.maintenance");

#[test]
fn the_record_of_an_earlier_release_is_read_and_written_byte_for_byte() {
    let folder = std::env::temp_dir().join(format!("landingspread-record-earlier-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join("node_1__.maintenance"), EARLIER).expect("written");
    let mut record = Record::open(&folder, "node/1 é");
    let word = |out, at_unix_ms| Word { out, at_unix_ms };
    let wanted = [("s\"2\" é", word(true, 1_796_287_876_087)), ("s1", word(false, 1_796_287_876_304))];
    assert_eq!(record.words, wanted.map(|(server, word)| (server.to_string(), word)).into());
    let saved = Saved { version: VERSION, words: record.words.clone() };
    assert_eq!(serde_json::to_string(&saved).expect("JSON"), EARLIER);
    // The files aside have these names: where a folder stands in the place of one, nothing is written.
    std::fs::create_dir(folder.join("node_1__.maintenance.new")).expect("a folder");
    assert!(record.say("s3", true).is_err());
    std::fs::remove_dir(folder.join("node_1__.maintenance.new")).expect("removed");
    record.say("s3", true).expect("written");
    assert!(
        folder.join("node_1__.maintenance.lock").exists()
            && !folder.join("node_1__.maintenance.new").exists()
    );
    let _ = std::fs::remove_dir_all(folder);
}
