//! Graceful shutdown of an instance.

use crate::{clock, exchange::Original, logging, prelude::*};

/// Time from a termination signal until idle connections are closed. The load balancer
/// removes an instance after two failed readiness checks, one second apart.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2600);

/// Time before the end of the grace period at which the process exits.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// How often a stopping instance checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Delay after closing idle connections, for requests that were just arriving on them.
const LAST_REQUESTS_DELAY: Duration = Duration::from_millis(300);

/// Shuts down once no request is in progress, or shortly before the grace period ends.
pub async fn drain(shared: &Shared) {
    let started_at = clock::now();
    let grace = Duration::from_secs_f64(shared.settings.instance.grace_s);
    let end = started_at.after(grace.saturating_sub(KILL_MARGIN));
    shared.draining.set(true);
    shared.stop_at(end);
    log::info!(in_progress = shared.in_progress.get(); "stopping");
    sleep(IDLE_CLOSE_DELAY).await;
    shared.stop.notify_waiters();
    sleep(LAST_REQUESTS_DELAY).await;
    while shared.in_progress.get() > 0 && clock::now() < end {
        shared.stop.notify_waiters();
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    // Requests that arrive from now on would be cut off by the exit.
    shared.stop_at(clock::now());
    log::info!(
        in_progress = shared.in_progress.get(), dropped_lines = logging::dropped(),
        ms = clock::now().since(started_at).as_millis(); "stopped"
    );
    // Give the logging thread time to write the last line.
    sleep(DRAIN_POLL_INTERVAL).await;
}

impl Shared {
    /// Sets the time at which the instance stops, and wakes the queued requests that may end later.
    fn stop_at(&self, stops_at: Time) {
        self.state.borrow_mut().stop(stops_at);
        self.stop_changed.notify_waiters();
    }

    /// Waits until a request that is not sent yet is to be refused: it crashes endpoints, or the
    /// instance stops before it has to end.
    pub async fn refused(&self, original: &Original, expires: Time) -> Refusal {
        tokio::select! {
            biased;
            () = self.stopped(original, 0) => Refusal::CrashesEndpoints,
            () = self.stops_before(expires) => Refusal::Stopping,
        }
    }

    async fn stops_before(&self, expires: Time) {
        loop {
            let changed = self.stop_changed.notified();
            if self.state.borrow().stops_before(expires) {
                return;
            }
            changed.await;
        }
    }
}
