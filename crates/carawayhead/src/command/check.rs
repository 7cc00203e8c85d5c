//! `carawayhead check`.

use crate::prelude::*;

/// Checks every file and reports all faults.
///
/// # Errors
///
/// A file cannot be read, or has faults.
pub fn run(files: &[String]) -> Result<(), Error> {
    let mut faults = Vec::new();
    for file in files {
        let text = text(file)?;
        if forwards(&text) {
            proxy::Settings::parse(file, &text)?;
            continue;
        }
        faults.extend(check(file, &text));
    }
    if !faults.is_empty() {
        return Err(faults.into());
    }
    println!("{} files without fault", files.len());
    Ok(())
}

/// Reads a file.
///
/// # Errors
///
/// It cannot be read.
pub fn text(file: &str) -> Result<String, Error> {
    std::fs::read_to_string(file).map_err(|error| Error::Io(file.to_string(), error))
}

/// Whether a file holds settings of an instance that forwards: only they have joint bounds.
fn forwards(text: &str) -> bool {
    text.lines().any(|line| line.trim() == "[joint]")
}

fn check(file: &str, text: &str) -> Vec<Fault> {
    let record = text
        .lines()
        .any(|line| line.trim_start().starts_with("schema"));
    if record {
        return operator::record::parse(file, text)
            .err()
            .unwrap_or_default();
    }
    Settings::parse(file, text).err().unwrap_or_default()
}
