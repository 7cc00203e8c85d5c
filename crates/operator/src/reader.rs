//! TOML reader that reports every fault with its line number.
//!
//! `serde` deserialization would stop at the first fault.

use crate::prelude::*;

/// A file and the faults found in it so far.
#[derive(Debug)]
pub struct Reader<'a> {
    faults: RefCell<Vec<Fault>>,
    file: &'a str,
    text: &'a str,
}

/// A table of the file.
#[derive(Debug)]
pub struct Section<'a> {
    line: usize,
    path: String,
    reader: &'a Reader<'a>,
    read_keys: RefCell<Vec<String>>,
    table: Option<&'a DeTable<'a>>,
}

impl<'a> Reader<'a> {
    /// Creates a reader for `text`; faults name it `file`.
    #[must_use]
    pub const fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            faults: RefCell::new(Vec::new()),
            file,
            text,
        }
    }

    /// Parses the text and records syntax errors as faults.
    #[must_use]
    pub fn parse(&self) -> DeTable<'a> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let line = error.span().map_or(1, |span| self.line(span.start));
            self.report(
                line,
                "",
                &format!("a syntax error ({})", error.message()),
                "TOML 1.0",
            );
        }
        table.into_inner()
    }

    /// Returns the root table.
    #[must_use]
    pub fn root(&'a self, table: &'a DeTable<'a>) -> Section<'a> {
        Section {
            line: 1,
            path: String::new(),
            reader: self,
            read_keys: RefCell::new(Vec::new()),
            table: Some(table),
        }
    }

    /// Returns the faults found, sorted by line.
    #[must_use]
    pub fn faults(self) -> Vec<Fault> {
        let mut faults = self.faults.into_inner();
        faults.sort_by_key(|fault| fault.line);
        faults
    }

    fn line(&self, offset: usize) -> usize {
        let before = self.text.get(..offset).unwrap_or(self.text);
        before.bytes().filter(|byte| *byte == b'\n').count() + 1
    }

    fn report(&self, line: usize, key: &str, found: &str, allowed: &str) {
        self.faults.borrow_mut().push(Fault {
            allowed: allowed.to_string(),
            file: self.file.to_string(),
            found: found.to_string(),
            key: key.to_string(),
            line,
        });
    }
}

impl<'a> Section<'a> {
    /// Whether the table is present in the file.
    #[must_use]
    pub const fn is_present(&self) -> bool {
        self.table.is_some()
    }

    /// Returns the dotted path of a key.
    #[must_use]
    pub fn key_path(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_string();
        }
        format!("{}.{key}", self.path)
    }

    /// Reports a fault at a key of this table.
    pub fn fault(&self, key: &str, found: &str, allowed: &str) {
        let line = self
            .get(key)
            .map_or(self.line, |value| self.reader.line(value.span().start));
        self.reader
            .report(line, &self.key_path(key), found, allowed);
    }

    /// Returns a subtable; if it is absent, every key reads as absent.
    #[must_use]
    pub fn section(&self, key: &str) -> Section<'a> {
        let value = self.get(key);
        let table = value.and_then(|value| match value.get_ref() {
            DeValue::Table(table) => Some(table),
            other => {
                self.fault(key, &describe(other), "a table");
                None
            }
        });
        Section {
            line: value.map_or(self.line, |value| self.reader.line(value.span().start)),
            path: self.key_path(key),
            reader: self.reader,
            read_keys: RefCell::new(Vec::new()),
            table,
        }
    }

    /// Returns all subtables by name.
    #[must_use]
    pub fn sections(&self) -> Vec<(String, Section<'a>)> {
        let names = self.table.iter().flat_map(|table| table.keys());
        names
            .map(|name| (name.get_ref().to_string(), self.section(name.get_ref())))
            .collect()
    }

    /// Reads a string; if it is absent and has no default, that is a fault.
    pub fn string(&self, key: &str, default: Option<&str>) -> String {
        match self.get(key).map(Spanned::get_ref) {
            Some(DeValue::String(text)) => text.to_string(),
            Some(other) => {
                self.fault(key, &describe(other), "a text");
                String::new()
            }
            None => self.default_or_fault(key, default.map(str::to_string), "a text"),
        }
    }

    /// Reads an optional string.
    pub fn optional_string(&self, key: &str) -> Option<String> {
        self.get(key)?;
        Some(self.string(key, Some("")))
    }

    /// Reads a list of strings, empty if absent.
    pub fn strings(&self, key: &str) -> Vec<String> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let DeValue::Array(array) = value.get_ref() else {
            self.fault(key, &describe(value.get_ref()), "a list of texts");
            return Vec::new();
        };
        let mut texts = Vec::new();
        for value in array {
            match value.get_ref() {
                DeValue::String(text) => texts.push(text.to_string()),
                other => self.fault(key, &describe(other), "a list of texts"),
            }
        }
        texts
    }

    /// Reads a list of tables, empty if absent.
    #[must_use]
    pub fn list(&self, key: &str) -> Vec<Section<'a>> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let DeValue::Array(array) = value.get_ref() else {
            self.fault(key, &describe(value.get_ref()), "a list of tables");
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (index, value) in array.iter().enumerate() {
            let DeValue::Table(table) = value.get_ref() else {
                self.fault(key, &describe(value.get_ref()), "a list of tables");
                continue;
            };
            sections.push(Section {
                line: self.reader.line(value.span().start),
                path: format!("{}[{index}]", self.key_path(key)),
                reader: self.reader,
                read_keys: RefCell::new(Vec::new()),
                table: Some(table),
            });
        }
        sections
    }

    /// Reads a boolean.
    pub fn boolean(&self, key: &str, default: Option<bool>) -> bool {
        match self.get(key).map(Spanned::get_ref) {
            Some(DeValue::Boolean(flag)) => *flag,
            Some(other) => {
                self.fault(key, &describe(other), "true or false");
                false
            }
            None => self.default_or_fault(key, default, "true or false"),
        }
    }

    /// Reads an integer within `range`.
    pub fn integer(&self, key: &str, default: Option<u64>, range: RangeInclusive<u64>) -> u64 {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let Some(value) = self.get(key) else {
            return self.default_or_fault(key, default, &allowed);
        };
        let number = match value.get_ref() {
            DeValue::Integer(number) => u64::from_str_radix(number.as_str(), number.radix()).ok(),
            _ => None,
        };
        if let Some(number) = number.filter(|number| range.contains(number)) {
            number
        } else {
            self.fault(key, &describe(value.get_ref()), &allowed);
            *range.start()
        }
    }

    /// Reads an optional integer.
    pub fn optional_integer(&self, key: &str) -> Option<u64> {
        self.get(key)?;
        Some(self.integer(key, None, 0..=u64::MAX))
    }

    /// Reads a 32-bit integer within `range`.
    pub fn integer_u32(&self, key: &str, default: Option<u32>, range: RangeInclusive<u32>) -> u32 {
        let wide = u64::from(*range.start())..=u64::from(*range.end());
        let number = self.integer(key, default.map(u64::from), wide);
        u32::try_from(number).unwrap_or(u32::MAX)
    }

    /// Reads a duration within `range`.
    pub fn duration(
        &self,
        key: &str,
        default: Duration,
        range: RangeInclusive<Duration>,
    ) -> Duration {
        if self.get(key).is_none() {
            return self.default_or_fault(key, Some(default), "");
        }
        let text = self.string(key, Some(""));
        if let Some(duration) = duration::parse(&text).filter(|duration| range.contains(duration)) {
            duration
        } else {
            let (min, max) = (
                duration::render(*range.start()),
                duration::render(*range.end()),
            );
            self.fault(
                key,
                &format!("{text:?}"),
                &format!("a time from {min} to {max}, like \"3s\""),
            );
            default
        }
    }

    /// Reads an IP address with a port.
    pub fn address(&self, key: &str, default: Option<&str>) -> String {
        let text = self.string(key, default);
        if self.get(key).is_some() && text.parse::<SocketAddr>().is_err() {
            self.fault(
                key,
                &format!("{text:?}"),
                "an IP address with a port, like \"127.0.0.1:8080\"",
            );
        }
        text
    }

    /// Reads an identifier, as accepted by [`is_identifier`].
    pub fn identifier(&self, key: &str) -> String {
        let text = self.string(key, None);
        if self.get(key).is_some() && !is_identifier(&text) {
            self.fault(key, &format!("{text:?}"), IDENTIFIER_RULE);
        }
        text
    }

    /// Reports every key that was not read as unknown.
    pub fn finish(self) {
        let Some(table) = self.table else {
            return;
        };
        let mut known_keys = self.read_keys.borrow().clone();
        known_keys.sort();
        known_keys.dedup();
        for key in table.keys() {
            if known_keys.iter().any(|name| name == key.get_ref()) {
                continue;
            }
            let line = self.reader.line(key.span().start);
            let allowed = format!("one of {}", known_keys.join(", "));
            self.reader.report(
                line,
                &self.key_path(key.get_ref()),
                "an unknown key",
                &allowed,
            );
        }
    }

    fn default_or_fault<T: Default>(&self, key: &str, default: Option<T>, allowed: &str) -> T {
        default.unwrap_or_else(|| {
            self.reader
                .report(self.line, &self.key_path(key), "nothing", allowed);
            T::default()
        })
    }

    fn get(&self, key: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        let mut read_keys = self.read_keys.borrow_mut();
        if !read_keys.iter().any(|name| name == key) {
            read_keys.push(key.to_string());
        }
        self.table?.get(key)
    }
}

/// Describes the identifiers that [`is_identifier`] accepts, for faults.
pub const IDENTIFIER_RULE: &str = "1 to 64 letters, digits, '-', '_' or '.'";

/// Whether `text` is a valid identifier.
#[must_use]
pub fn is_identifier(text: &str) -> bool {
    let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    (1..=64).contains(&text.len()) && text.chars().all(is_allowed)
}

fn describe(value: &DeValue) -> String {
    match value {
        DeValue::Array(_) => "a list".to_string(),
        DeValue::Boolean(flag) => flag.to_string(),
        DeValue::Datetime(time) => time.to_string(),
        DeValue::Float(number) => number.to_string(),
        DeValue::Integer(number) => number.to_string(),
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Table(_) => "a table".to_string(),
    }
}
