//! `carawayhead forward`.

use crate::prelude::*;

/// Runs one instance that forwards requests until it is told to stop.
///
/// # Errors
///
/// The settings have faults, or an address cannot be bound.
pub fn run(file: &str) -> Result<(), Error> {
    let settings = proxy::Settings::load(file)?;
    proxy::logging::start(log::LevelFilter::Info, &settings.instance.name);
    super::block(async { Ok(proxy::run(file, settings).await?) })
}
