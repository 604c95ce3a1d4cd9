use super::*;

fn test_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("landingspread-storage-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the test folder is created");
    folder
}

#[test]
fn temporary_names_match_earlier_releases() {
    let with_process_id = format!("/s/n.new{}", std::process::id());
    for (name, expected) in [
        (TemporaryName::Extension, "/s/n.new"),
        (TemporaryName::ExtensionOfProcess, with_process_id.as_str()),
        (TemporaryName::Suffix, "/s/n.control.new"),
    ] {
        assert_eq!(name.path_for(Path::new("/s/n.control")), Path::new(expected), "{name:?}");
    }
}

#[test]
fn sidecar_name_becomes_a_plain_file_name() {
    assert_eq!(file_name_of("node/1 é-a"), "node_1__-a");
}

#[test]
fn failed_replacement_keeps_the_old_contents() {
    let folder = test_folder("replace");
    let path = folder.join("n.learnt");
    replace(&path, TemporaryName::Extension, b"one").expect("the file is written");
    assert_eq!(read_if_present(&path).expect("read"), Some(b"one".to_vec()));
    std::fs::create_dir(folder.join("n.new")).expect("a folder blocks the temporary file's name");
    assert!(replace(&path, TemporaryName::Extension, b"two").is_err());
    assert_eq!(read_if_present(&path).expect("read"), Some(b"one".to_vec()));
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn reads_respect_their_size_limit() {
    let folder = test_folder("bounds");
    let path = folder.join("f");
    assert_eq!(read_if_present(&path).expect("no error"), None);
    assert!(matches!(read_within(&path, 3), Err(StorageError::Io(_))));
    std::fs::write(&path, b"abc").expect("the file is written");
    assert_eq!(read_within(&path, 3).expect("read"), b"abc");
    let error = read_within(&path, 2).expect_err("the file is too long");
    assert_eq!(error.to_string(), "the file is longer than 2 bytes");
    assert_eq!(read_prefix(&path, 2).expect("read"), b"ab");
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn only_one_write_is_permitted_at_a_time() {
    let writer = BackgroundWriter::default();
    let permit = writer.permit().expect("no write is in progress");
    assert!(writer.permit().is_none());
    drop(permit);
    assert!(!writer.is_busy() && writer.permit().is_some());
}
