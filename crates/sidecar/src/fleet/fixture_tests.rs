//! Comparison of texts with files under `tests/fixtures`.

/// Asserts that `text` equals the fixture file `name`. LANDINGSPREAD_WRITE_FIXTURES=1 rewrites the file first.
pub fn compare_with_fixture(name: &str, text: &str) {
    let path = format!("{}/tests/fixtures/{name}", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("LANDINGSPREAD_WRITE_FIXTURES").is_some() {
        std::fs::write(&path, text).expect("the fixture file is writable");
    }
    let fixture = std::fs::read_to_string(&path).expect("the fixture file is readable");
    text.lines().zip(fixture.lines()).for_each(|(actual, expected)| assert_eq!(actual, expected));
    assert_eq!(text.len(), fixture.len());
}
