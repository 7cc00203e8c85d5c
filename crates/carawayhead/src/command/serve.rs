//! `carawayhead serve`: runs an entry instance.

use {
    super::check::read_file,
    crate::{daemon, prelude::*},
    tokio::signal::unix::{SignalKind, signal},
};

/// Runs an entry instance until it is drained after a signal.
///
/// # Errors
///
/// Returns an error if the settings have faults or an address cannot be bound.
pub fn run(file: &str) -> Result<(), Error> {
    let settings = Settings::parse(file, &read_file(file)?)?;
    init_logging("info");
    super::block(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let mut terminate = signal_stream(SignalKind::terminate())?;
    let mut interrupt = signal_stream(SignalKind::interrupt())?;
    let running = daemon::start(settings).await?;
    let peer = running.peer.map(|address| format!(" fellow={address}"));
    println!(
        "listening caller={} operator={}{}",
        running.caller,
        running.operator,
        peer.unwrap_or_default()
    );
    let mut task = running.task;
    tokio::select! {
      _ = terminate.recv() => {}
      _ = interrupt.recv() => {}
      _ = &mut task => return Ok(()),
    }
    if running.drain.send(()).is_err() {
        return Ok(());
    }
    // A second signal ends draining at once, also with requests in progress.
    tokio::select! {
      _ = terminate.recv() => log::warn!("second signal received: stopping with requests in progress"),
      _ = interrupt.recv() => log::warn!("second signal received: stopping with requests in progress"),
      _ = task => {}
    }
    Ok(())
}

fn signal_stream(kind: SignalKind) -> Result<tokio::signal::unix::Signal, Error> {
    signal(kind).map_err(|error| Error::Io("signals".to_string(), error))
}

/// Starts structured logging to standard error, at `level` unless `RUST_LOG` is set.
pub fn init_logging(level: &str) {
    let environment = env_logger::Env::default().default_filter_or(level);
    env_logger::Builder::from_env(environment)
        .format_timestamp_micros()
        .init();
}
