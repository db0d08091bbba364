//! A first pass over a text before `tinyjson` sees it: size, nesting and duplicate keys are judged
//! here, because the library recurses without bound and keeps the last of two equal keys. Also the
//! way back: a value written with sorted keys, so that equal states have equal texts.

use crate::prelude::*;

/// One thing wrong with a text, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidationError {
    pub path: String,
    pub reason: String,
}

impl ValidationError {
    pub fn at(path: &str, reason: impl Into<String>) -> ValidationError {
        ValidationError { path: if path.is_empty() { "$".into() } else { path.to_owned() }, reason: reason.into() }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}: {}", self.path, self.reason)
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub bytes: usize,
    pub depth: usize,
}

pub const DOCUMENT_BOUNDS: Bounds = Bounds { bytes: 1 << 20, depth: 16 };
/// What is made of a whole configuration under a revision of the operators' own may be larger.
pub const CONFIGURATION_BOUNDS: Bounds = Bounds { bytes: 4 << 20, depth: 32 };

/// Parses a text within bounds; every error names the path it is about.
pub fn parse_bounded(text: &str, bounds: Bounds) -> Result<JsonValue, ValidationError> {
    if text.len() > bounds.bytes {
        return Err(ValidationError::at("", format!("too large: {} bytes, at most {}", text.len(), bounds.bytes)));
    }
    check_structure(text, bounds.depth)?;
    text.parse::<JsonValue>().map_err(|fault| ValidationError::at("", fault.to_string().replace('\n', " ")))
}

struct Level {
    keys: Option<BTreeSet<String>>,
    last_key: String,
    expects_key: bool,
}

fn check_structure(text: &str, depth_limit: usize) -> Result<(), ValidationError> {
    let mut levels: Vec<Level> = Vec::new();
    let text_bytes = text.as_bytes();
    let mut place = 0;
    let path_of = |levels: &[Level]| {
        let named: Vec<&str> =
            levels.iter().filter(|level| level.keys.is_some()).map(|level| level.last_key.as_str()).collect();
        named.join(".")
    };
    while place < text_bytes.len() {
        match text_bytes[place] {
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
                let string_start = place + 1;
                place = string_start;
                while place < text_bytes.len() && text_bytes[place] != b'"' {
                    place += if text_bytes[place] == b'\\' { 2 } else { 1 };
                }
                let raw_string = text.get(string_start..place.min(text.len())).unwrap_or("");
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
        place += 1;
    }
    Ok(())
}

fn unescape(raw_string: &str) -> String {
    if !raw_string.contains('\\') {
        return raw_string.to_owned();
    }
    match format!("\"{raw_string}\"").parse::<JsonValue>() {
        Ok(JsonValue::String(plain_string)) => plain_string,
        _ => raw_string.to_owned(),
    }
}

/// A value as text with sorted keys.
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
            for (place, (key, member)) in sorted_members.into_iter().enumerate() {
                if place > 0 {
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
            for (place, item) in items.iter().enumerate() {
                if place > 0 {
                    out.push(',');
                }
                write_into(item, out);
            }
            out.push(']');
        }
        JsonValue::Number(number) if number.fract() == 0.0 && number.abs() < 9e15 => {
            out.push_str(&format!("{}", *number as i64));
        }
        plain => out.push_str(&plain.stringify().unwrap_or_else(|_| "null".into())),
    }
}

/// Merge patch of RFC 7396.
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
    fn shape_faults_name_their_path() {
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
    fn merge_patch_follows_its_rfc() {
        let mut target = parse_bounded(r#"{"a":{"b":1,"c":[1,2]},"d":"x"}"#, DOCUMENT_BOUNDS).unwrap();
        let patch = parse_bounded(r#"{"a":{"b":null,"c":[3],"e":{"f":null,"g":1}},"d":2}"#, DOCUMENT_BOUNDS).unwrap();
        merge(&mut target, &patch);
        assert_eq!(write_sorted(&target), r#"{"a":{"c":[3],"e":{"g":1}},"d":2}"#);
    }
}
