//! Limits of JSON texts that strangers may send.

use desired::prelude::*;

const BOUNDS: Bounds = Bounds { bytes: 8 << 20, depth: 8 };

#[test]
fn a_text_of_very_many_small_values_is_refused() {
    for item in ["0,", "[],", "{},", r#"{"a":1,"b":[0,0,0,0]},"#] {
        let text = format!("[{}0]", item.repeat((7 << 20) / item.len()));
        let refusal = parse_bounded(&text, BOUNDS).unwrap_err();
        assert!(refusal.reason.starts_with("too many values"), "{item}: {refusal}");
    }
}

#[test]
fn commas_and_brackets_within_strings_are_no_values() {
    let text = format!(r#"{{"note":"{}"}}"#, "[,{".repeat(1 << 20));
    assert!(parse_bounded(&text, BOUNDS).is_ok());
}
