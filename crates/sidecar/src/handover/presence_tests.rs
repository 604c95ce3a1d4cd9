use super::*;

#[test]
fn processes_detect_each_other_until_they_end() {
    let folder = std::env::temp_dir().join(format!("landingspread-presence-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the test folder is created");
    let register = || Presence::register(&folder, "n/0").expect("the lock files are opened");
    let mut first = register();
    assert!(!first.another_process());
    let mut second = register();
    assert!(first.another_process() && second.another_process());
    let mut third = register();
    assert!(third.another_process());
    drop(first);
    assert!(!second.another_process() || third.another_process(), "one of the two takes the serving lock");
    assert!(third.another_process());
    assert!(second.another_process(), "the third process holds the successor's lock");
    drop(third);
    assert!(!second.another_process(), "the successor ended");
    drop(second);
    assert!(!register().another_process(), "lock files of ended processes are free");
    let _ = std::fs::remove_dir_all(folder);
}
