//! Texts that are compared with files under `tests/fixtures`.

/// LANDINGSPREAD_WRITE_FIXTURES=1 writes the file anew.
pub fn compare(name: &str, text: &str) {
    let path = format!("{}/tests/fixtures/{name}", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("LANDINGSPREAD_WRITE_FIXTURES").is_some() {
        std::fs::write(&path, text).expect("the fixture is written");
    }
    let fixture = std::fs::read_to_string(&path).expect("the fixture");
    text.lines().zip(fixture.lines()).for_each(|(now, then)| assert_eq!(now, then));
    assert_eq!(text.len(), fixture.len());
}
