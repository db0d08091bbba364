//! Reading `tinyjson` values by hand. A `Reader` walks an object, takes the fields it knows, and
//! gathers every complaint with its path; what was not taken is an unknown key. Serves the desired
//! state and the settings files alike.

use crate::prelude::*;

pub struct Reader<'a> {
    path: String,
    members: BTreeMap<&'a str, &'a JsonValue>,
    complaints: &'a mut Vec<Complaint>,
}

impl<'a> Reader<'a> {
    pub fn open(path: &str, value: &'a JsonValue, complaints: &'a mut Vec<Complaint>) -> Option<Reader<'a>> {
        let JsonValue::Object(members) = value else {
            complaints.push(Complaint::at(path, format!("wrong type: expected object, found {}", type_of(value))));
            return None;
        };
        let members = members.iter().map(|(key, member)| (key.as_str(), member)).collect();
        Some(Reader { path: path.to_owned(), members, complaints })
    }

    pub fn path_to(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    pub fn complain(&mut self, key: &str, reason: impl Into<String>) {
        let path = self.path_to(key);
        self.complaints.push(Complaint::at(&path, reason));
    }

    pub fn take(&mut self, key: &str) -> Option<&'a JsonValue> {
        self.members.remove(key)
    }

    fn take_as<T>(&mut self, key: &str, wanted: &str, read: impl Fn(&JsonValue) -> Option<T>) -> Option<T> {
        let value = self.take(key)?;
        let taken = read(value);
        if taken.is_none() {
            self.complain(key, format!("wrong type: expected {wanted}, found {}", type_of(value)));
        }
        taken
    }

    pub fn text(&mut self, key: &str) -> Option<String> {
        self.take_as(key, "string", |value| match value {
            JsonValue::String(text) => Some(text.clone()),
            _ => None,
        })
    }

    pub fn flag(&mut self, key: &str) -> Option<bool> {
        self.take_as(key, "true or false", |value| match value {
            JsonValue::Boolean(flag) => Some(*flag),
            _ => None,
        })
    }

    pub fn number(&mut self, key: &str, lowest: f64, highest: f64) -> Option<f64> {
        let number = self.take_as(key, "number", |value| match value {
            JsonValue::Number(number) => Some(*number),
            _ => None,
        })?;
        if !(lowest..=highest).contains(&number) {
            self.complain(key, format!("out of range: {number}, allowed {lowest} to {highest}"));
            return None;
        }
        Some(number)
    }

    pub fn whole(&mut self, key: &str, lowest: u64, highest: u64) -> Option<u64> {
        let number = self.number(key, lowest as f64, highest as f64)?;
        if number.fract() != 0.0 {
            self.complain(key, format!("wrong type: expected a whole number, found {number}"));
            return None;
        }
        Some(number as u64)
    }

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

    /// A member that is an object of its own.
    pub fn member(&mut self, key: &str) -> Option<Reader<'_>> {
        let value = self.take(key)?;
        let path = self.path_to(key);
        Reader::open(&path, value, self.complaints)
    }

    /// Walks each member of an object of named things; a name that cannot be one is a complaint.
    pub fn each(&mut self, key: &str, mut walk: impl FnMut(&str, Reader<'_>)) {
        let Some(value) = self.take(key) else { return };
        let path = self.path_to(key);
        let Some(named) = Reader::open(&path, value, self.complaints) else { return };
        for (name, member) in named.members {
            let member_path = format!("{path}.{name}");
            if !is_valid_name(name) {
                named.complaints.push(Complaint::at(&member_path, "not a name: 1 to 64 of a-z A-Z 0-9 - _ ."));
                continue;
            }
            if let Some(member_reader) = Reader::open(&member_path, member, named.complaints) {
                walk(name, member_reader);
            }
        }
    }

    /// A map of names to strings.
    pub fn named_texts(&mut self, key: &str) -> BTreeMap<String, String> {
        let mut found = BTreeMap::new();
        let Some(value) = self.take(key) else { return found };
        let path = self.path_to(key);
        let Some(mut named) = Reader::open(&path, value, self.complaints) else { return found };
        let names: Vec<String> = named.members.keys().map(|name| (*name).to_owned()).collect();
        for name in names {
            if !is_valid_name(&name) {
                named.complain(&name, "not a name: 1 to 64 of a-z A-Z 0-9 - _ .");
            }
            if let Some(text) = named.text(&name) {
                found.insert(name, text);
            }
        }
        found
    }

    /// Walks each object of an array.
    pub fn items(&mut self, key: &str, mut walk: impl FnMut(Reader<'_>)) {
        let Some(value) = self.take(key) else { return };
        let path = self.path_to(key);
        let JsonValue::Array(items) = value else {
            self.complain(key, format!("wrong type: expected array, found {}", type_of(value)));
            return;
        };
        for (place, item) in items.iter().enumerate() {
            if let Some(item_reader) = Reader::open(&format!("{path}[{place}]"), item, self.complaints) {
                walk(item_reader);
            }
        }
    }

    /// Ends the walk: whatever was not taken is unknown.
    pub fn close(mut self) {
        let left_keys: Vec<String> = self.members.keys().map(|key| (*key).to_owned()).collect();
        for key in left_keys {
            self.complain(&key, "unknown key");
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
