//! The texts by which a file's fault is told, word for word: operators and scripts read them.

use landingspread_files::{Wrong, from_toml, text_of};
use std::path::Path;

#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(dead_code)] // only what can't be read is of interest
struct Small {
    size: u32,
    #[serde(default)]
    colour: Option<String>,
}

#[test]
fn faults_are_told_word_for_word() {
    let cases = [
        ("\nsiez = 3\n", "f:2: unknown field `siez`, expected `size` or `colour`; did you mean `size`?"),
        ("weight = 3\n", "f:1: unknown field `weight`, expected `size` or `colour`"),
        ("size = -3\n", "f:1: invalid value: integer `-3`, expected u32"),
        ("colour = \"red\"\n", "f:1: missing field `size`"),
    ];
    for (text, told) in cases {
        assert_eq!(from_toml::<Small>("f", text).expect_err("a fault").to_string(), told);
    }
    let text = "top = 1\n[a]\nx = 1\n";
    assert_eq!(Wrong::at_key("f", text, "a.x", "it is 1").to_string(), "f:3: a.x: it is 1");
    assert_eq!(Wrong::at_key("f", text, "b", "it is gone").to_string(), "f: b: it is gone");
    let missing = text_of(Path::new("/nowhere/f.toml")).expect_err("no file").to_string();
    assert_eq!(missing, "/nowhere/f.toml: No such file or directory (os error 2)");
}
