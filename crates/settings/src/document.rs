//! Reader for objects in JSON with comments. It reads field by field and collects everything that is wrong.

use crate::finding::{Finding, Findings, nearest};
use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, Value},
    common::{Range, Ranged},
    parse_to_ast,
};
use std::{cell::RefCell, ops::RangeInclusive, str::FromStr};

/// File that is being read.
pub struct Document<'a> {
    file: &'a str,
    text: &'a str,
    findings: RefCell<Vec<Finding>>,
}

impl<'a> Document<'a> {
    /// Returns the document with this text, which the operator knows as `file`.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            findings: RefCell::default(),
        }
    }

    /// Parses the text, passes its top-level object to `read` and returns the result.
    ///
    /// # Errors
    ///
    /// Returns all findings of the parser and of `read`.
    pub fn read<T>(&self, read: impl FnOnce(&Fields<'_>) -> T) -> Result<T, Findings> {
        let value = self.parse();
        let result = match &value {
            Some(Value::Object(object)) => Some(self.read_object(object, read)),
            Some(other) => {
                self.report(other.range(), "", "the file must hold one object".into());
                None
            }
            None => None,
        };
        let findings = self.findings.take();
        match result {
            Some(result) if findings.is_empty() => Ok(result),
            _ => Err(Findings(findings)),
        }
    }

    fn read_object<T>(&self, object: &Object<'_>, read: impl FnOnce(&Fields<'_>) -> T) -> T {
        let fields = Fields::new(self, object, String::new());
        let result = read(&fields);
        fields.finish();
        result
    }

    fn parse(&self) -> Option<Value<'a>> {
        let options = ParseOptions {
            allow_loose_object_property_names: false,
            allow_missing_commas: false,
            allow_single_quoted_strings: false,
            ..ParseOptions::default()
        };
        match parse_to_ast(self.text, &CollectOptions::default(), &options) {
            Ok(parsed) if parsed.value.is_some() => parsed.value,
            Ok(_) => {
                self.report(Range::new(0, 0), "", "the file is empty".into());
                None
            }
            Err(error) => {
                self.report(error.range(), "", error.kind().to_string());
                None
            }
        }
    }

    fn report(&self, range: Range, path: &str, message: String) {
        let before = &self.text[..range.start.min(self.text.len())];
        let start = before.rfind('\n').map_or(0, |at| at + 1);
        self.findings.borrow_mut().push(Finding {
            file: self.file.to_owned(),
            line: before.matches('\n').count() + 1,
            column: before[start..].chars().count() + 1,
            path: path.to_owned(),
            message,
        });
    }
}

/// Fields of one object. It records which keys were requested, so that all others are reported as unknown.
pub struct Fields<'d> {
    document: &'d Document<'d>,
    object: &'d Object<'d>,
    path: String,
    requested: RefCell<Vec<&'static str>>,
}

impl<'d> Fields<'d> {
    fn new(document: &'d Document<'d>, object: &'d Object<'d>, path: String) -> Self {
        let fields = Self {
            document,
            object,
            path,
            requested: RefCell::default(),
        };
        fields.check_duplicates();
        fields
    }

    /// Reports a finding at the value of `key`, or at the object if it has no such key.
    pub fn report(&self, key: &str, message: impl Into<String>) {
        let range = self
            .value(key)
            .map_or(self.object.range, |value| value.range());
        self.document.report(range, &self.join(key), message.into());
    }

    /// Reads a string.
    pub fn text(&self, key: &'static str) -> Option<String> {
        match self.request(key)? {
            Value::StringLit(text) => Some(text.value.clone().into_owned()),
            _ => self.mismatch(key, "a text in quotes"),
        }
    }

    /// Reads a string and parses it as a type such as an address.
    pub fn parsed<T: FromStr>(&self, key: &'static str, expected: &str) -> Option<T> {
        let text = self.text(key)?;
        text.parse().ok().or_else(|| self.mismatch(key, expected))
    }

    /// Reads `true` or `false`.
    pub fn flag(&self, key: &'static str) -> Option<bool> {
        match self.request(key)? {
            Value::BooleanLit(flag) => Some(flag.value),
            _ => self.mismatch(key, "true or false"),
        }
    }

    /// Reads a whole number in `range`.
    pub fn number(&self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let Value::NumberLit(number) = self.request(key)? else {
            return self.mismatch(key, &expected_number(&range));
        };
        match number.value.parse() {
            Ok(value) if range.contains(&value) => Some(value),
            _ => self.mismatch(key, &expected_number(&range)),
        }
    }

    /// Reads a share above 0 and below 1.
    pub fn share(&self, key: &'static str) -> Option<f64> {
        const EXPECTED: &str = "a number above 0 and below 1";
        let Value::NumberLit(number) = self.request(key)? else {
            return self.mismatch(key, EXPECTED);
        };
        match number.value.parse() {
            Ok(value) if value > 0.0 && value < 1.0 => Some(value),
            _ => self.mismatch(key, EXPECTED),
        }
    }

    /// Reads a string or a whole number, as a string.
    pub fn text_or_number(&self, key: &'static str, expected: &str) -> Option<String> {
        match self.request(key)? {
            Value::StringLit(text) => Some(text.value.clone().into_owned()),
            Value::NumberLit(number) => Some(number.value.to_owned()),
            _ => self.mismatch(key, expected),
        }
    }

    /// Reads a list of strings.
    pub fn texts(&self, key: &'static str) -> Option<Vec<String>> {
        const EXPECTED: &str = "a list of texts";
        let Value::Array(array) = self.request(key)? else {
            return self.mismatch(key, EXPECTED);
        };
        let text = |element: &Value<'_>| match element {
            Value::StringLit(text) => Some(text.value.clone().into_owned()),
            _ => None,
        };
        let texts: Option<Vec<String>> = array.elements.iter().map(text).collect();
        texts.or_else(|| self.mismatch(key, EXPECTED))
    }

    /// Reads the object at `key`.
    pub fn object<T>(&self, key: &'static str, read: impl FnOnce(&Fields<'_>) -> T) -> Option<T> {
        match self.request(key)? {
            Value::Object(object) => Some(self.nested(object, self.join(key), read)),
            _ => self.mismatch(key, "an object"),
        }
    }

    /// Reads the list of objects at `key`.
    pub fn list<T>(&self, key: &'static str, mut read: impl FnMut(&Fields<'_>) -> T) -> Vec<T> {
        let Some(value) = self.request(key) else {
            return Vec::new();
        };
        let Value::Array(array) = value else {
            self.mismatch::<()>(key, "a list of objects");
            return Vec::new();
        };
        let mut items = Vec::new();
        for (index, element) in array.elements.iter().enumerate() {
            let path = format!("{}[{index}]", self.join(key));
            match element {
                Value::Object(object) => items.push(self.nested(object, path, &mut read)),
                other => self
                    .document
                    .report(other.range(), &path, "must be an object".into()),
            }
        }
        items
    }

    /// Reads every field of this object as an object. The operator chooses the names of the fields.
    pub fn each(&self, mut read: impl FnMut(&str, &Fields<'_>)) {
        for property in &self.object.properties {
            let name = property.name.as_str();
            let path = self.join(name);
            if !is_name(name) {
                let message = "names hold only a-z, 0-9 and '-'".to_owned();
                self.document.report(property.range, &path, message);
                continue;
            }
            match &property.value {
                Value::Object(object) => {
                    self.nested(object, path, |fields| read(name, fields));
                }
                other => self
                    .document
                    .report(other.range(), &path, "must be an object".into()),
            }
        }
        self.requested.borrow_mut().push("");
    }

    fn nested<T>(
        &self,
        object: &Object<'_>,
        path: String,
        read: impl FnOnce(&Fields<'_>) -> T,
    ) -> T {
        let fields = Fields::new(self.document, object, path);
        let result = read(&fields);
        fields.finish();
        result
    }

    fn value(&self, key: &str) -> Option<&Value<'d>> {
        let property = self
            .object
            .properties
            .iter()
            .find(|property| property.name.as_str() == key)?;
        Some(&property.value)
    }

    fn request(&self, key: &'static str) -> Option<&Value<'d>> {
        self.requested.borrow_mut().push(key);
        self.value(key)
    }

    fn mismatch<T>(&self, key: &str, expected: &str) -> Option<T> {
        self.report(key, format!("must be {expected}"));
        None
    }

    fn join(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn check_duplicates(&self) {
        for (index, property) in self.object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let earlier = &self.object.properties[..index];
            if earlier.iter().any(|other| other.name.as_str() == name) {
                let message = "is set twice in this object".to_owned();
                self.document
                    .report(property.range, &self.join(name), message);
            }
        }
    }

    /// Reports the keys that were not requested, each with the most similar known key.
    fn finish(&self) {
        let requested = self.requested.borrow();
        if requested.contains(&"") {
            return;
        }
        for property in &self.object.properties {
            let name = property.name.as_str();
            if requested.contains(&name) {
                continue;
            }
            let message = match nearest(name, requested.iter().copied()) {
                Some(known) => format!("unknown key; did you mean `{known}`?"),
                None => format!("unknown key; known here: {}", requested.join(", ")),
            };
            self.document
                .report(property.range, &self.join(name), message);
        }
    }
}

fn expected_number(range: &RangeInclusive<u64>) -> String {
    format!("a whole number from {} to {}", range.start(), range.end())
}

fn is_name(name: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.bytes().all(fits)
}
