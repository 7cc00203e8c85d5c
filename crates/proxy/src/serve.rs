//! Startup, settings reload and graceful shutdown of an instance.

use {
    crate::{
        clock, crashes, follow, gossip,
        listen::{self, Role},
        logging,
        prelude::*,
        probe, rollouts,
        settings::Settings,
        topic,
    },
    tokio::{
        signal::unix::{Signal, SignalKind, signal},
        task::{LocalSet, spawn_local},
    },
};

/// Time from a termination signal until idle connections are closed. The load balancer
/// removes an instance after two failed readiness checks, one second apart.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2600);

/// Time before the end of the grace period at which the process exits.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// How often the settings file is checked, since it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(3);

/// How often a stopping instance checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Delay after closing idle connections, for requests that were just arriving on them.
const LAST_REQUESTS_DELAY: Duration = Duration::from_millis(300);

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
    let shared = Shared::new(settings)?;
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
    drain(&shared).await;
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

/// Shuts down once no request is in progress, or shortly before the grace period ends.
async fn drain(shared: &Shared) {
    let started_at = clock::now();
    let grace = Duration::from_secs_f64(shared.settings.instance.grace_s);
    let end = started_at.after(grace.saturating_sub(KILL_MARGIN));
    shared.draining.set(true);
    shared.state.borrow_mut().stop(end);
    log::info!(in_progress = shared.in_progress.get(); "stopping");
    sleep(IDLE_CLOSE_DELAY).await;
    shared.stop.notify_waiters();
    sleep(LAST_REQUESTS_DELAY).await;
    while shared.in_progress.get() > 0 && clock::now() < end {
        shared.stop.notify_waiters();
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    // Requests that arrive from now on would be cut off by the exit.
    shared.state.borrow_mut().stop(clock::now());
    log::info!(
        in_progress = shared.in_progress.get(), dropped_lines = logging::dropped(),
        ms = clock::now().since(started_at).as_millis(); "stopped"
    );
    // Give the logging thread time to write the last line.
    sleep(DRAIN_POLL_INTERVAL).await;
}

fn watch(kind: SignalKind) -> Result<Signal, Error> {
    signal(kind).map_err(Error::Signals)
}
