use super::*;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("landingspread-storage-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

#[test]
fn temporary_names_are_those_of_earlier_releases() {
    let process = format!("/s/n.new{}", std::process::id());
    for (name, wanted) in [
        (TemporaryName::Extension, "/s/n.new"),
        (TemporaryName::ExtensionOfProcess, process.as_str()),
        (TemporaryName::Suffix, "/s/n.control.new"),
    ] {
        assert_eq!(name.beside(Path::new("/s/n.control")), Path::new(wanted), "{name:?}");
    }
}

#[test]
fn names_of_sidecars_become_plain_names_of_files() {
    assert_eq!(file_name_of("node/1 é-a"), "node_1__-a");
}

#[test]
fn a_file_is_replaced_as_a_whole_or_stays() {
    let folder = folder("replace");
    let path = folder.join("n.learnt");
    replace(&path, TemporaryName::Extension, b"one").expect("written");
    assert_eq!(read_if_present(&path).expect("read"), Some(b"one".to_vec()));
    std::fs::create_dir(folder.join("n.new")).expect("a folder in the place of the temporary file");
    assert!(replace(&path, TemporaryName::Extension, b"two").is_err());
    assert_eq!(read_if_present(&path).expect("read"), Some(b"one".to_vec()));
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn reads_are_bounded() {
    let folder = folder("bounds");
    let path = folder.join("f");
    assert_eq!(read_if_present(&path).expect("no error"), None);
    assert!(matches!(read_within(&path, 3), Err(StorageError::Io(_))));
    std::fs::write(&path, b"abc").expect("written");
    assert_eq!(read_within(&path, 3).expect("read"), b"abc");
    let long = read_within(&path, 2).expect_err("too long");
    assert_eq!(long.to_string(), "it is longer than 2 bytes");
    assert_eq!(read_prefix(&path, 2).expect("read"), b"ab");
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn one_write_at_a_time_is_permitted() {
    let writer = BackgroundWriter::default();
    let permit = writer.permit().expect("free");
    assert!(writer.permit().is_none());
    drop(permit);
    assert!(!writer.is_busy() && writer.permit().is_some());
}
