//! Graceful shutdown of an instance.

use {
    crate::{clock, exchange::Original, logging, prelude::*},
    forward::stop::Schedule,
};

/// Time from a termination signal until idle connections are closed. The load balancer
/// removes an instance after two failed readiness checks, one second apart.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2600);

/// Maximum time for writing the responses to these requests.
const LAST_WRITES_TIMEOUT: Duration = Duration::from_millis(150);

/// How often a stopping instance checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How often a stopping instance checks whether the last responses have been written.
const LAST_WRITES_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Delay after closing idle connections, for requests that were just arriving on them.
const LAST_REQUESTS_DELAY: Duration = Duration::from_millis(300);

/// Shuts down once all responses have been written, or shortly before the grace period ends. Requests that
/// are in progress then get a response that says whether they may have run.
pub async fn drain(shared: &Shared) {
    let started_at = clock::now();
    let grace = Duration::from_secs_f64(shared.settings.instance.grace_s);
    let signalled_at = {
        let state = shared.state.borrow();
        state.lateness.earliest_arrival(started_at)
    };
    let schedule = Schedule::new(started_at, signalled_at, grace);
    let end = schedule.ends_at;
    shared.draining.set(true);
    shared.stop_at(schedule.admits_until);
    log::info!(
        in_progress = shared.in_progress.get(), late_ms = started_at.since(signalled_at).as_millis();
        "stopping"
    );
    sleep(IDLE_CLOSE_DELAY.min(end.since(clock::now()))).await;
    shared.stop.notify_waiters();
    sleep(LAST_REQUESTS_DELAY.min(end.since(clock::now()))).await;
    while shared.has_work() && clock::now() < end {
        shared.stop.notify_waiters();
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    let in_progress = shared.in_progress.get();
    shared.end_requests();
    let exit_at = clock::now().after(LAST_WRITES_TIMEOUT);
    while shared.has_work() && clock::now() < exit_at {
        sleep(LAST_WRITES_POLL_INTERVAL).await;
    }
    log::info!(
        in_progress, unanswered = shared.in_progress.get(), connections = shared.connections.get(), dropped_lines = logging::dropped(),
        ms = clock::now().since(started_at).as_millis(); "stopped"
    );
    // Give the logging thread time to write the last line.
    sleep(DRAIN_POLL_INTERVAL).await;
}

impl Shared {
    /// Whether requests or tunnels are in progress, or connections of callers are open. A response has
    /// been written once its connection is closed, which follows at once while the instance stops.
    fn has_work(&self) -> bool {
        self.in_progress.get() > 0 || self.connections.get() > 0
    }

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

    /// Waits until a request that was sent is to be given up: it crashes endpoints, or the instance
    /// exits.
    pub async fn given_up(&self, original: &Original) -> Refusal {
        tokio::select! {
            biased;
            () = self.stopped(original, 0) => Refusal::CrashesEndpoints,
            () = self.exits() => Refusal::Stopping,
        }
    }

    /// Refuses all requests from now on, and ends those that are in progress.
    fn end_requests(&self) {
        self.exiting.set(true);
        self.stop_at(clock::now());
    }

    /// Waits until the instance is about to exit.
    pub async fn exits(&self) {
        loop {
            let changed = self.stop_changed.notified();
            if self.exiting.get() {
                return;
            }
            changed.await;
        }
    }

    async fn stops_before(&self, expires: Time) {
        loop {
            let changed = self.stop_changed.notified();
            if self.state.borrow().stops_before(clock::now(), expires) {
                return;
            }
            changed.await;
        }
    }
}
