//! Startup and settings reload of an instance.

use {
    crate::{
        crashes, follow, gossip,
        listen::{self, Role},
        placement,
        prelude::*,
        probe, rollouts,
        settings::Settings,
        shutdown, topic,
    },
    tokio::{
        signal::unix::{Signal, SignalKind, signal},
        sync::mpsc,
        task::{LocalSet, spawn_local},
    },
};

/// How often the settings file is checked, since it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(3);

/// Runs an instance until SIGTERM or SIGINT.
///
/// # Errors
///
/// The instance cannot listen on an address, receive signals or set up metrics.
pub async fn run(file: &str, settings: Settings) -> Result<(), Error> {
    LocalSet::new().run_until(serve(file, settings)).await
}

async fn serve(file: &str, settings: Settings) -> Result<(), Error> {
    let mut terminate = watch(SignalKind::terminate())?;
    let mut interrupt = watch(SignalKind::interrupt())?;
    let mut hangup = watch(SignalKind::hangup())?;
    let (abandoned, left) = mpsc::unbounded_channel();
    let shared = Shared::new(settings, abandoned)?;
    let instance = &shared.settings.instance;
    for (address, role) in [
        (instance.listen, Role::Callers),
        (instance.ready, Role::Ready),
        (instance.metrics, Role::Metrics),
    ] {
        let listener = listen::bind(address).map_err(|error| Error::Listen(address, error))?;
        let bound = listener
            .local_addr()
            .map_err(|error| Error::Listen(address, error))?;
        log::info!(role:?, address:% = bound; "listening");
        spawn_local(listen::accept(Rc::clone(&shared), listener, role));
    }
    for topic in topic::ALL {
        spawn_local(follow::follow(Rc::clone(&shared), topic));
    }
    spawn_local(crashes::publish(Rc::clone(&shared)));
    spawn_local(rollouts::run(Rc::clone(&shared)));
    spawn_local(gossip::run(Rc::clone(&shared)));
    spawn_local(follow::tick(Rc::clone(&shared)));
    spawn_local(probe::run(Rc::clone(&shared)));
    spawn_local(placement::run(Rc::clone(&shared), left));
    log::info!(
        listen:% = instance.listen, domain = instance.domain,
        version = env!("CARGO_PKG_VERSION"); "started"
    );
    let mut settings = shared.settings.clone();
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => {}
            () = sleep(SETTINGS_POLL_INTERVAL) => {}
        }
        settings = reload(&shared, file, settings);
    }
    shutdown::drain(&shared).await;
    Ok(())
}

/// Applies the shared limits and the failure domain of a changed settings file to decisions;
/// other settings keep their values from the start. An invalid file changes nothing: it may be
/// half written, and is read again later.
fn reload(shared: &Shared, file: &str, known: Settings) -> Settings {
    match Settings::load(file) {
        Ok(settings) if settings == known => known,
        Ok(settings) => {
            log::info!(settings:?; "settings changed");
            shared
                .state
                .borrow_mut()
                .update_settings(settings.decisions());
            settings
        }
        Err(error) => {
            log::warn!(error:%; "settings cannot be read again");
            known
        }
    }
}

fn watch(kind: SignalKind) -> Result<Signal, Error> {
    signal(kind).map_err(Error::Signals)
}
