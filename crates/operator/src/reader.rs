//! Reading of TOML that reports every fault with its line.
//!
//! Deserialising into a structure would stop at the first fault; operators want
//! the whole list at once.

use crate::prelude::*;

/// A file being read, and the faults found in it so far.
#[derive(Debug)]
pub struct Reader<'a> {
    faults: RefCell<Vec<Fault>>,
    file: &'a str,
    text: &'a str,
}

/// One table of the file.
#[derive(Debug)]
pub struct Section<'a> {
    line: usize,
    path: String,
    reader: &'a Reader<'a>,
    seen: RefCell<Vec<String>>,
    table: Option<&'a DeTable<'a>>,
}

impl<'a> Reader<'a> {
    /// Begins to read `text`, which is called `file` in faults.
    #[must_use]
    pub const fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            faults: RefCell::new(Vec::new()),
            file,
            text,
        }
    }

    /// Parses the text; syntax faults are noted.
    #[must_use]
    pub fn parse(&self) -> DeTable<'a> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let line = error.span().map_or(1, |span| self.line(span.start));
            self.note(
                line,
                "",
                &format!("a syntax error ({})", error.message()),
                "TOML 1.0",
            );
        }
        table.into_inner()
    }

    /// The outermost table.
    #[must_use]
    pub fn root(&'a self, table: &'a DeTable<'a>) -> Section<'a> {
        Section {
            line: 1,
            path: String::new(),
            reader: self,
            seen: RefCell::new(Vec::new()),
            table: Some(table),
        }
    }

    /// The faults found, sorted by line.
    #[must_use]
    pub fn faults(self) -> Vec<Fault> {
        let mut faults = self.faults.into_inner();
        faults.sort_by_key(|fault| fault.line);
        faults
    }

    fn line(&self, place: usize) -> usize {
        let before = self.text.get(..place).unwrap_or(self.text);
        before.bytes().filter(|byte| *byte == b'\n').count() + 1
    }

    fn note(&self, line: usize, key: &str, found: &str, allowed: &str) {
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
    /// Whether the table stands in the file.
    #[must_use]
    pub const fn present(&self) -> bool {
        self.table.is_some()
    }

    /// Full name of a key.
    #[must_use]
    pub fn name(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_string();
        }
        format!("{}.{key}", self.path)
    }

    /// Notes a fault of a key that was read.
    pub fn fault(&self, key: &str, found: &str, allowed: &str) {
        let line = self
            .get(key)
            .map_or(self.line, |value| self.reader.line(value.span().start));
        self.reader.note(line, &self.name(key), found, allowed);
    }

    /// A table below this one; an absent one reads as all defaults.
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
            path: self.name(key),
            reader: self.reader,
            seen: RefCell::new(Vec::new()),
            table,
        }
    }

    /// The tables below this one, by name.
    #[must_use]
    pub fn sections(&self) -> Vec<(String, Section<'a>)> {
        let names = self.table.iter().flat_map(|table| table.keys());
        names
            .map(|name| (name.get_ref().to_string(), self.section(name.get_ref())))
            .collect()
    }

    /// A text; absent and without a default it is a fault.
    pub fn string(&self, key: &str, default: Option<&str>) -> String {
        match self.get(key).map(Spanned::get_ref) {
            Some(DeValue::String(text)) => text.to_string(),
            Some(other) => {
                self.fault(key, &describe(other), "a text");
                String::new()
            }
            None => self.absent(key, default.map(str::to_string), "a text"),
        }
    }

    /// A text that may be absent.
    pub fn optional(&self, key: &str) -> Option<String> {
        self.get(key)?;
        Some(self.string(key, Some("")))
    }

    /// A list of texts, empty if absent.
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

    /// Tables in a list, empty if absent.
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
        for (place, value) in array.iter().enumerate() {
            let DeValue::Table(table) = value.get_ref() else {
                self.fault(key, &describe(value.get_ref()), "a list of tables");
                continue;
            };
            sections.push(Section {
                line: self.reader.line(value.span().start),
                path: format!("{}[{place}]", self.name(key)),
                reader: self.reader,
                seen: RefCell::new(Vec::new()),
                table: Some(table),
            });
        }
        sections
    }

    /// A truth value.
    pub fn flag(&self, key: &str, default: Option<bool>) -> bool {
        match self.get(key).map(Spanned::get_ref) {
            Some(DeValue::Boolean(flag)) => *flag,
            Some(other) => {
                self.fault(key, &describe(other), "true or false");
                false
            }
            None => self.absent(key, default, "true or false"),
        }
    }

    /// A whole number within bounds.
    pub fn integer(&self, key: &str, default: Option<u64>, range: RangeInclusive<u64>) -> u64 {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let Some(value) = self.get(key) else {
            return self.absent(key, default, &allowed);
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

    /// A whole number that may be absent.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.get(key)?;
        Some(self.integer(key, None, 0..=u64::MAX))
    }

    /// A whole number that fits 32 bits.
    pub fn small(&self, key: &str, default: Option<u32>, range: RangeInclusive<u32>) -> u32 {
        let wide = u64::from(*range.start())..=u64::from(*range.end());
        let number = self.integer(key, default.map(u64::from), wide);
        u32::try_from(number).unwrap_or(u32::MAX)
    }

    /// A length of time within bounds.
    pub fn span(&self, key: &str, default: Duration, range: RangeInclusive<Duration>) -> Duration {
        if self.get(key).is_none() {
            return self.absent(key, Some(default), "");
        }
        let text = self.string(key, Some(""));
        if let Some(span) = span::parse(&text).filter(|span| range.contains(span)) {
            span
        } else {
            let (least, most) = (span::render(*range.start()), span::render(*range.end()));
            self.fault(
                key,
                &format!("{text:?}"),
                &format!("a time from {least} to {most}, like \"3s\""),
            );
            default
        }
    }

    /// An IP address with a port.
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

    /// A name of letters, digits, `-`, `_` and `.`.
    pub fn label(&self, key: &str) -> String {
        let text = self.string(key, None);
        if self.get(key).is_some() && !is_label(&text) {
            self.fault(key, &format!("{text:?}"), LABEL);
        }
        text
    }

    /// Notes every key that was not read.
    pub fn close(self) {
        let Some(table) = self.table else {
            return;
        };
        let mut seen = self.seen.borrow().clone();
        seen.sort();
        seen.dedup();
        for key in table.keys() {
            if seen.iter().any(|name| name == key.get_ref()) {
                continue;
            }
            let line = self.reader.line(key.span().start);
            let allowed = format!("one of {}", seen.join(", "));
            self.reader
                .note(line, &self.name(key.get_ref()), "an unknown key", &allowed);
        }
    }

    fn absent<T: Default>(&self, key: &str, default: Option<T>, allowed: &str) -> T {
        default.unwrap_or_else(|| {
            self.reader
                .note(self.line, &self.name(key), "nothing", allowed);
            T::default()
        })
    }

    fn get(&self, key: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        let mut seen = self.seen.borrow_mut();
        if !seen.iter().any(|name| name == key) {
            seen.push(key.to_string());
        }
        self.table?.get(key)
    }
}

/// What [`is_label`] takes, for faults.
pub const LABEL: &str = "1 to 64 letters, digits, '-', '_' or '.'";

/// Whether a text can name something.
#[must_use]
pub fn is_label(text: &str) -> bool {
    let fits = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    (1..=64).contains(&text.len()) && text.chars().all(fits)
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
