//! The exact texts of file errors, which operators and scripts rely on.

use landingspread_files::{FileError, parse_toml, read_text};
use std::path::Path;

#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(dead_code)] // The tests look only at the errors of parsing.
struct TwoKeys {
    size: u32,
    #[serde(default)]
    colour: Option<String>,
}

#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct OneKey {
    #[serde(rename = "size")]
    _size: u32,
}

#[test]
fn errors_have_their_exact_texts() {
    let cases = [
        ("\nsiez = 3\n", "f:2: unknown field `siez`, expected `size` or `colour`; did you mean `size`?"),
        ("weight = 3\n", "f:1: unknown field `weight`, expected `size` or `colour`"),
        ("size = -3\n", "f:1: invalid value: integer `-3`, expected u32"),
        ("colour = \"red\"\n", "f:1: missing field `size`"),
    ];
    for (text, message) in cases {
        assert_eq!(parse_toml::<TwoKeys>("f", text).expect_err("an error").to_string(), message);
    }
    let text = "top = 1\n[a]\nx = 1\n";
    assert_eq!(FileError::at_key("f", text, "a.x", "it is 1").to_string(), "f:3: a.x: it is 1");
    assert_eq!(FileError::at_key("f", text, "b", "it is gone").to_string(), "f: b: it is gone");
    let missing = read_text(Path::new("/nowhere/f.toml")).expect_err("no file").to_string();
    assert_eq!(missing, "/nowhere/f.toml: No such file or directory (os error 2)");
}

#[test]
fn errors_name_the_line_and_the_nearest_known_name() {
    let message = |text: &str| parse_toml::<OneKey>("f", text).expect_err("an error").to_string();
    assert!(message("\nsiez = 3\n").starts_with("f:2: unknown field `siez`"));
    assert!(message("\nsiez = 3\n").ends_with("did you mean `size`?"));
    assert!(!message("colour = 3\n").contains("did you mean"));
    assert!(message("size = -3\n").starts_with("f:1: "));
    assert!(message("size = [\n").starts_with("f:"));
}

#[test]
fn error_at_a_key_has_the_line_of_the_key() {
    let text = "top = 1\n[a]\nx = 1\n[[b]]\nx = 1\n[[b]]\nxy = 2\nx = 3\n";
    let line = |key: &str| FileError::at_key("f", text, key, "").line;
    assert_eq!(line("top"), Some(1));
    assert_eq!(line("a.x"), Some(3));
    assert_eq!(line("b.1.x"), Some(8), "the line of x, not of xy");
    assert_eq!(line("b.1.gone"), Some(6));
    assert_eq!(line("gone"), None);
}
