//! `carawayhead check`: validates settings and record files.

use crate::prelude::*;

/// Validates every file and reports all faults.
///
/// # Errors
///
/// Returns an error if a file cannot be read or has faults.
pub fn run(files: &[String]) -> Result<(), Error> {
    let mut faults = Vec::new();
    for file in files {
        let text = read_file(file)?;
        if is_forward_settings(&text) {
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

/// Reads a text file.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub fn read_file(file: &str) -> Result<String, Error> {
    std::fs::read_to_string(file).map_err(|error| Error::Io(file.to_string(), error))
}

/// Whether `text` is the settings of a forwarding instance, which alone have a `joint` table.
fn is_forward_settings(text: &str) -> bool {
    text.lines().any(|line| line.trim() == "[joint]")
}

fn check(file: &str, text: &str) -> Vec<Fault> {
    let is_record = text
        .lines()
        .any(|line| line.trim_start().starts_with("schema"));
    if is_record {
        return operator::record::parse(file, text)
            .err()
            .unwrap_or_default();
    }
    Settings::parse(file, text).err().unwrap_or_default()
}
