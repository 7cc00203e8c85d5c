//! `carawayhead explain`: classifies how requests ended.

use {
    crate::prelude::*,
    explain::{Requests, Table},
    std::io::BufRead as _,
};

/// Prints why requests ended as they did, according to the log lines in `files`.
///
/// # Errors
///
/// Returns an error if a file cannot be read.
pub fn run(files: &[String], as_json: bool) -> Result<(), Error> {
    let mut requests = Requests::default();
    for file in files {
        let to_error = |error| Error::Io(file.clone(), error);
        let reader = std::fs::File::open(file).map_err(to_error)?;
        for line in std::io::BufReader::new(reader).lines() {
            requests.read(&line.map_err(to_error)?);
        }
    }
    let table = Table::new(&requests);
    if as_json {
        println!("{}", json!(table));
    } else {
        print!("{table}");
    }
    Ok(())
}
