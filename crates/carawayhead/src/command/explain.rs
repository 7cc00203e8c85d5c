//! `carawayhead explain`.

use {
    crate::prelude::*,
    explain::{Requests, Table},
    std::io::BufRead as _,
};

/// Prints why requests ended as they did, from the log lines in files.
///
/// # Errors
///
/// A file cannot be read.
pub fn run(files: &[String], as_json: bool) -> Result<(), Error> {
    let mut requests = Requests::default();
    for file in files {
        let failed = |error| Error::Io(file.clone(), error);
        let opened = std::fs::File::open(file).map_err(failed)?;
        for line in std::io::BufReader::new(opened).lines() {
            requests.read(&line.map_err(failed)?);
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
