//! `carawayhead forward`: runs a forwarding instance.

use crate::prelude::*;

/// Runs a forwarding instance until it is drained after a signal.
///
/// # Errors
///
/// Returns an error if the settings have faults or an address cannot be bound.
pub fn run(file: &str) -> Result<(), Error> {
    let settings = proxy::Settings::load(file)?;
    proxy::logging::start(log::LevelFilter::Info, &settings.instance.name);
    super::block(async { Ok(proxy::run(file, settings).await?) })
}
