use super::*;

#[test]
fn each_process_sees_whether_another_is_alive_and_the_last_one_serves() {
    let folder = std::env::temp_dir().join(format!("landingspread-presence-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let register = || Presence::register(&folder, "n/0").expect("its files");
    let mut first = register();
    assert!(!first.another_process());
    let mut second = register();
    assert!(first.another_process() && second.another_process());
    let mut third = register();
    assert!(third.another_process());
    drop(first);
    assert!(!second.another_process() || third.another_process(), "one of them serves");
    assert!(third.another_process());
    assert!(second.another_process(), "the third is the successor now");
    drop(third);
    assert!(!second.another_process(), "the successor died: this one has all again");
    drop(second);
    assert!(!register().another_process(), "files of the dead are no sign of life");
    let _ = std::fs::remove_dir_all(folder);
}
