//! `carawayhead serve`.

use {
    super::check::text,
    crate::{daemon, prelude::*},
    tokio::signal::unix::{SignalKind, signal},
};

/// Runs one instance until it is told to leave.
///
/// # Errors
///
/// The settings have faults, or an address cannot be bound.
pub fn run(file: &str) -> Result<(), Error> {
    let settings = Settings::parse(file, &text(file)?)?;
    logs("info");
    super::block(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let mut terminate = watch(SignalKind::terminate())?;
    let mut interrupt = watch(SignalKind::interrupt())?;
    let running = daemon::start(settings).await?;
    let fellow = running.peer.map(|address| format!(" fellow={address}"));
    println!(
        "listening caller={} operator={}{}",
        running.caller,
        running.operator,
        fellow.unwrap_or_default()
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
    // A second signal ends the process at once: an operator who repeats it means it.
    tokio::select! {
      _ = terminate.recv() => log::warn!("stopped before the last request ended"),
      _ = interrupt.recv() => log::warn!("stopped before the last request ended"),
      _ = task => {}
    }
    Ok(())
}

fn watch(kind: SignalKind) -> Result<tokio::signal::unix::Signal, Error> {
    signal(kind).map_err(|error| Error::Io("signals".to_string(), error))
}

/// Structured log lines on standard error, `level` and above unless `RUST_LOG` says otherwise.
pub fn logs(level: &str) {
    let environment = env_logger::Env::default().default_filter_or(level);
    env_logger::Builder::from_env(environment)
        .format_timestamp_micros()
        .init();
}
