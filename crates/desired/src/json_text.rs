//! Parsing, writing and merging of JSON.
//!
//! Size, nesting depth and duplicate keys are checked before `tinyjson` parses a text, because the library recurses
//! without a limit and keeps the last of two equal keys. Values are written with sorted keys, so that equal states
//! have equal texts.

use crate::prelude::*;

/// An error in a document, with the path of the member it is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidationError {
    pub path: String,
    pub reason: String,
}

impl ValidationError {
    /// An error at a path; the empty path stands for the whole document and is shown as `$`.
    pub fn at(path: &str, reason: impl Into<String>) -> ValidationError {
        ValidationError { path: if path.is_empty() { "$".into() } else { path.to_owned() }, reason: reason.into() }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}: {}", self.path, self.reason)
    }
}

/// Limits on the size and the nesting depth of a JSON text.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub bytes: usize,
    pub depth: usize,
}

/// The limits of the operators' document.
pub const DOCUMENT_BOUNDS: Bounds = Bounds { bytes: 1 << 20, depth: 16 };
/// The limits of a document translated from a whole configuration, which may be larger.
pub const CONFIGURATION_BOUNDS: Bounds = Bounds { bytes: 4 << 20, depth: 32 };

/// The most values of a JSON text: each takes many times its size as text, the smallest ones the most.
const MAX_VALUES: usize = 700_000;

/// Parses a JSON text that must be within bounds.
pub fn parse_bounded(text: &str, bounds: Bounds) -> Result<JsonValue, ValidationError> {
    if text.len() > bounds.bytes {
        return Err(ValidationError::at("", format!("too large: {} bytes, at most {}", text.len(), bounds.bytes)));
    }
    check_structure(text, bounds.depth)?;
    text.parse::<JsonValue>().map_err(|error| ValidationError::at("", error.to_string().replace('\n', " ")))
}

/// An open object or array during the structure check.
struct Level {
    /// The keys seen so far; none for an array.
    keys: Option<BTreeSet<String>>,
    last_key: String,
    expects_key: bool,
}

/// Checks nesting depth, the number of values and duplicate keys.
fn check_structure(text: &str, depth_limit: usize) -> Result<(), ValidationError> {
    let mut levels: Vec<Level> = Vec::new();
    let text_bytes = text.as_bytes();
    let mut position = 0;
    // Commas and opening brackets: at least as many as there are values within the document.
    let mut value_count = 0;
    let path_of = |levels: &[Level]| {
        let named: Vec<&str> =
            levels.iter().filter(|level| level.keys.is_some()).map(|level| level.last_key.as_str()).collect();
        named.join(".")
    };
    while position < text_bytes.len() {
        value_count += usize::from(matches!(text_bytes[position], b'{' | b'[' | b','));
        if value_count > MAX_VALUES {
            return Err(ValidationError::at("", format!("too many values: more than {MAX_VALUES}")));
        }
        match text_bytes[position] {
            opening @ (b'{' | b'[') => {
                if levels.len() == depth_limit {
                    return Err(ValidationError::at(
                        &path_of(&levels),
                        format!("too deep: more than {depth_limit} levels"),
                    ));
                }
                let keys = (opening == b'{').then(BTreeSet::new);
                levels.push(Level { expects_key: keys.is_some(), keys, last_key: String::new() });
            }
            b'}' | b']' => {
                levels.pop();
            }
            b',' => {
                if let Some(level) = levels.last_mut() {
                    level.expects_key = level.keys.is_some();
                }
            }
            b'"' => {
                let string_start = position + 1;
                position = string_start;
                while position < text_bytes.len() && text_bytes[position] != b'"' {
                    position += if text_bytes[position] == b'\\' { 2 } else { 1 };
                }
                let raw_string = text.get(string_start..position.min(text.len())).unwrap_or("");
                if let Some(level) = levels.last_mut().filter(|level| level.expects_key) {
                    level.expects_key = false;
                    level.last_key = unescape(raw_string);
                    let new_key = level.last_key.clone();
                    if !level.keys.as_mut().is_some_and(|keys| keys.insert(new_key)) {
                        return Err(ValidationError::at(&path_of(&levels), "duplicate key"));
                    }
                }
            }
            _ => {}
        }
        position += 1;
    }
    Ok(())
}

fn unescape(raw_string: &str) -> String {
    if !raw_string.contains('\\') {
        return raw_string.to_owned();
    }
    match format!("\"{raw_string}\"").parse::<JsonValue>() {
        Ok(JsonValue::String(unescaped)) => unescaped,
        _ => raw_string.to_owned(),
    }
}

/// Writes a value as JSON text with sorted keys.
pub fn write_sorted(value: &JsonValue) -> String {
    let mut out = String::new();
    write_into(value, &mut out);
    out
}

fn write_into(value: &JsonValue, out: &mut String) {
    match value {
        JsonValue::Object(members) => {
            out.push('{');
            let sorted_members: BTreeMap<_, _> = members.iter().collect();
            for (position, (key, member)) in sorted_members.into_iter().enumerate() {
                if position > 0 {
                    out.push(',');
                }
                out.push_str(&JsonValue::String(key.clone()).stringify().unwrap_or_default());
                out.push(':');
                write_into(member, out);
            }
            out.push('}');
        }
        JsonValue::Array(items) => {
            out.push('[');
            for (position, item) in items.iter().enumerate() {
                if position > 0 {
                    out.push(',');
                }
                write_into(item, out);
            }
            out.push(']');
        }
        JsonValue::Number(number) if number.fract() == 0.0 && number.abs() < 9e15 => {
            out.push_str(&format!("{}", *number as i64));
        }
        other => out.push_str(&other.stringify().unwrap_or_else(|_| "null".into())),
    }
}

/// Applies a JSON merge patch (RFC 7396).
pub fn merge(target: &mut JsonValue, patch: &JsonValue) {
    let JsonValue::Object(patch_members) = patch else {
        *target = patch.clone();
        return;
    };
    if !matches!(target, JsonValue::Object(_)) {
        *target = JsonValue::Object(Default::default());
    }
    let JsonValue::Object(target_members) = target else { return };
    for (key, member) in patch_members {
        if matches!(member, JsonValue::Null) {
            target_members.remove(key);
        } else {
            merge(target_members.entry(key.clone()).or_insert(JsonValue::Null), member);
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn structure_errors_have_their_path() {
        let refused_texts = [
            (r#"{"a":{"b":1,"b":2}}"#, "a.b", "duplicate key"),
            (r#"{"a":1,"\u0061":2}"#, "a", "duplicate key"),
            (r#"{"a":[[[[1]]]]}"#, "a", "too deep"),
        ];
        for (text, path, reason) in refused_texts {
            let error = parse_bounded(text, Bounds { bytes: 100, depth: 4 }).unwrap_err();
            assert_eq!(error.path, path, "{text}");
            assert!(error.reason.starts_with(reason), "{error}");
        }
        assert!(parse_bounded("{\"a\":", DOCUMENT_BOUNDS).is_err());
        assert!(parse_bounded("{\"a\\", DOCUMENT_BOUNDS).is_err());
        assert!(parse_bounded(&" ".repeat(101), Bounds { bytes: 100, depth: 4 }).is_err());
    }

    #[test]
    fn merge_patch_follows_rfc_7396() {
        let mut target = parse_bounded(r#"{"a":{"b":1,"c":[1,2]},"d":"x"}"#, DOCUMENT_BOUNDS).unwrap();
        let patch = parse_bounded(r#"{"a":{"b":null,"c":[3],"e":{"f":null,"g":1}},"d":2}"#, DOCUMENT_BOUNDS).unwrap();
        merge(&mut target, &patch);
        assert_eq!(write_sorted(&target), r#"{"a":{"c":[3],"e":{"g":1}},"d":2}"#);
    }
}
