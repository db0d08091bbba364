//! Typed access to `tinyjson` values.
//!
//! An [`ObjectReader`] removes the members it is asked for from a JSON object and collects every error with its path;
//! the members that remain at the end are unknown keys. Both the desired state and settings files are read this way.

use crate::prelude::*;

/// Reads the members of one JSON object.
pub struct ObjectReader<'a> {
    path: String,
    members: BTreeMap<&'a str, &'a JsonValue>,
    errors: &'a mut Vec<ValidationError>,
}

impl<'a> ObjectReader<'a> {
    /// A reader of `value`; if that is no object, reports an error and returns nothing.
    pub fn open(path: &str, value: &'a JsonValue, errors: &'a mut Vec<ValidationError>) -> Option<ObjectReader<'a>> {
        let JsonValue::Object(members) = value else {
            errors.push(ValidationError::at(path, format!("wrong type: expected object, found {}", type_of(value))));
            return None;
        };
        let members = members.iter().map(|(key, member)| (key.as_str(), member)).collect();
        Some(ObjectReader { path: path.to_owned(), members, errors })
    }

    /// The path of a member from the root of the document.
    pub fn path_to(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Reports an error at a member.
    pub fn report(&mut self, key: &str, reason: impl Into<String>) {
        let path = self.path_to(key);
        self.errors.push(ValidationError::at(&path, reason));
    }

    /// Removes a member and returns its raw value.
    pub fn take(&mut self, key: &str) -> Option<&'a JsonValue> {
        self.members.remove(key)
    }

    fn take_as<T>(&mut self, key: &str, expected: &str, read: impl Fn(&JsonValue) -> Option<T>) -> Option<T> {
        let value = self.take(key)?;
        let typed_value = read(value);
        if typed_value.is_none() {
            self.report(key, format!("wrong type: expected {expected}, found {}", type_of(value)));
        }
        typed_value
    }

    /// Removes a member that is a string.
    pub fn text(&mut self, key: &str) -> Option<String> {
        self.take_as(key, "string", |value| match value {
            JsonValue::String(text) => Some(text.clone()),
            _ => None,
        })
    }

    /// Removes a member that is a boolean.
    pub fn flag(&mut self, key: &str) -> Option<bool> {
        self.take_as(key, "true or false", |value| match value {
            JsonValue::Boolean(flag) => Some(*flag),
            _ => None,
        })
    }

    /// Removes a member that is a number in this inclusive range.
    pub fn number(&mut self, key: &str, lowest: f64, highest: f64) -> Option<f64> {
        let number = self.take_as(key, "number", |value| match value {
            JsonValue::Number(number) => Some(*number),
            _ => None,
        })?;
        if !(lowest..=highest).contains(&number) {
            self.report(key, format!("out of range: {number}, allowed {lowest} to {highest}"));
            return None;
        }
        Some(number)
    }

    /// Removes a member that is a whole number in this inclusive range.
    pub fn integer(&mut self, key: &str, lowest: u64, highest: u64) -> Option<u64> {
        let number = self.number(key, lowest as f64, highest as f64)?;
        if number.fract() != 0.0 {
            self.report(key, format!("wrong type: expected a whole number, found {number}"));
            return None;
        }
        Some(number as u64)
    }

    /// Removes a member that is an array of strings.
    pub fn texts(&mut self, key: &str) -> Option<Vec<String>> {
        self.take_as(key, "array of strings", |value| {
            let JsonValue::Array(items) = value else { return None };
            items
                .iter()
                .map(|item| match item {
                    JsonValue::String(text) => Some(text.clone()),
                    _ => None,
                })
                .collect()
        })
    }

    /// Removes a member that is an object, and returns its reader.
    pub fn member(&mut self, key: &str) -> Option<ObjectReader<'_>> {
        let value = self.take(key)?;
        let path = self.path_to(key);
        ObjectReader::open(&path, value, self.errors)
    }

    /// Removes a member that is an object of named objects, and visits each of them; invalid names are errors.
    pub fn for_each_entry(&mut self, key: &str, mut visit: impl FnMut(&str, ObjectReader<'_>)) {
        let Some(value) = self.take(key) else { return };
        let path = self.path_to(key);
        let Some(named) = ObjectReader::open(&path, value, self.errors) else { return };
        for (name, member) in named.members {
            let member_path = format!("{path}.{name}");
            if !is_valid_name(name) {
                named.errors.push(ValidationError::at(&member_path, "not a name: 1 to 64 of a-z A-Z 0-9 - _ ."));
                continue;
            }
            if let Some(member_reader) = ObjectReader::open(&member_path, member, named.errors) {
                visit(name, member_reader);
            }
        }
    }

    /// Removes a member that is an object of named strings; invalid names are errors.
    pub fn string_map(&mut self, key: &str) -> BTreeMap<String, String> {
        let mut found = BTreeMap::new();
        let Some(value) = self.take(key) else { return found };
        let path = self.path_to(key);
        let Some(mut named) = ObjectReader::open(&path, value, self.errors) else { return found };
        let names: Vec<String> = named.members.keys().map(|name| (*name).to_owned()).collect();
        for name in names {
            if !is_valid_name(&name) {
                named.report(&name, "not a name: 1 to 64 of a-z A-Z 0-9 - _ .");
            }
            if let Some(text) = named.text(&name) {
                found.insert(name, text);
            }
        }
        found
    }

    /// Removes a member that is an array of objects, and visits each of them.
    pub fn for_each_item(&mut self, key: &str, mut visit: impl FnMut(ObjectReader<'_>)) {
        let Some(value) = self.take(key) else { return };
        let path = self.path_to(key);
        let JsonValue::Array(items) = value else {
            self.report(key, format!("wrong type: expected array, found {}", type_of(value)));
            return;
        };
        for (index, item) in items.iter().enumerate() {
            if let Some(item_reader) = ObjectReader::open(&format!("{path}[{index}]"), item, self.errors) {
                visit(item_reader);
            }
        }
    }

    /// Reports every member that was not removed as an unknown key.
    pub fn finish(mut self) {
        let unknown_keys: Vec<String> = self.members.keys().map(|key| (*key).to_owned()).collect();
        for key in unknown_keys {
            self.report(&key, "unknown key");
        }
    }
}

fn type_of(value: &JsonValue) -> &'static str {
    match value {
        JsonValue::Object(_) => "object",
        JsonValue::Array(_) => "array",
        JsonValue::String(_) => "string",
        JsonValue::Number(_) => "number",
        JsonValue::Boolean(_) => "boolean",
        JsonValue::Null => "null",
    }
}
