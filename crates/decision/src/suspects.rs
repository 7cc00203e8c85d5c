//! Requests that may crash the endpoints that run them.
//!
//! When the connection to an endpoint breaks, each request in progress there becomes a suspect.
//! Harmless ones complete later, or are never seen again. A request under which several endpoints
//! have been lost is refused, under whatever id and at whichever instance it arrives: without a
//! limit over all instances, it would take down one endpoint after another. If all endpoints were
//! lost before its first event, runs that have not got there either are stopped, and requests that did
//! get there, and lost no other endpoints, are not refused.
//!
//! Instances share crashes through the log, whose records are kept there until they expire, so that
//! an instance that has just started knows of them as well.

use {
    crate::{fingerprint::Fingerprint, outbox::Outbox, prelude::*},
    std::cmp::Reverse,
};

/// Number of endpoints lost under a request from which on it is refused.
pub const MAX_CRASHES: usize = 3;

/// Time after the last crash for which a request is refused. After it the request is passed on
/// again, and refused anew after one more crash.
pub const REFUSAL_PERIOD: Duration = Duration::from_mins(10);

/// Time after the last crash for which the crashes of a request are remembered.
pub const RETENTION: Duration = Duration::from_hours(1);

/// Maximum number of suspects; those with the fewest and oldest crashes beyond it are dropped.
pub const MAX_SUSPECTS: usize = 1024;

/// Time for which a request that completed cannot become a suspect.
const COMPLETION_TTL: Duration = Duration::from_secs(30);

/// Maximum number of completed requests that are remembered.
const MAX_COMPLETIONS: usize = 4096;

/// An endpoint that was lost while it ran a request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The endpoint's run of its process, or the attempt where that is not known.
    pub endpoint: String,
    /// Number of events or tokens that the request had produced there.
    pub events: u32,
}

impl Crash {
    /// Whether this is the same endpoint, lost under the same request.
    fn is_same(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && self.fingerprint == other.fingerprint
    }
}

/// A change of the suspects that other instances have to learn.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The request completed after all, or the crash has expired.
    Cleared(Crash),
    /// An endpoint was lost.
    Crashed(Crash),
}

impl Change {
    const fn crash(&self) -> &Crash {
        let (Self::Cleared(crash) | Self::Crashed(crash)) = self;
        crash
    }

    /// Whether a record of `other` in the store makes this change known to all instances.
    fn is_confirmed_by(&self, other: &Self) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
            && self.crash().is_same(other.crash())
    }
}

/// A request under which endpoints were lost.
#[derive(Clone, Debug)]
struct Suspect {
    crashed_at: Time,
    endpoints: Vec<String>,
    /// Maximum number of events that a run had produced when its endpoint was lost.
    events: u32,
    fingerprint: Fingerprint,
}

/// All suspects, as far as this instance knows.
#[derive(Debug)]
pub struct Suspects {
    completions: VecDeque<(Time, Fingerprint)>,
    /// Sorted by fingerprint.
    entries: Vec<Suspect>,
    outbox: Outbox<Change>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            completions: VecDeque::new(),
            entries: Vec::new(),
            outbox: Outbox::new(MAX_SUSPECTS),
        }
    }
}

impl Suspects {
    /// Whether a request is refused, since too many endpoints were lost under it that no other request
    /// accounts for.
    #[must_use]
    pub fn refuses(&self, now: Time, fingerprint: Fingerprint) -> bool {
        self.find(fingerprint).is_ok_and(|index| {
            let suspect = &self.entries[index];
            suspect.is_refused(now) && !self.is_explained(suspect)
        })
    }

    /// Whether a run of a request that has produced `events` events is to be stopped: the request
    /// is refused, and neither this run nor any that lost its endpoint has got to the first event.
    ///
    /// Requests that have got further may only have shared endpoints with the one at fault. Their runs
    /// clear them if they complete, which no new one can do.
    #[must_use]
    pub fn stops(&self, now: Time, fingerprint: Fingerprint, events: u32) -> bool {
        self.find(fingerprint).is_ok_and(|index| {
            let suspect = &self.entries[index];
            suspect.is_refused(now) && events == 0 && suspect.events == 0
        })
    }

    /// The endpoints that were lost under each refused request that has not got to its first event anywhere, so
    /// that others that ran there need not be at fault.
    pub fn refused_endpoints(&self, now: Time) -> impl Iterator<Item = &[String]> {
        let refused = self.entries.iter();
        let refused = refused.filter(move |suspect| suspect.is_refused(now) && suspect.events == 0);
        refused.map(|suspect| suspect.endpoints.as_slice())
    }

    /// Time since the last endpoint was lost under a request that is refused although it has got to its first event
    /// somewhere, as harmless ones do.
    #[must_use]
    pub fn doubted_for(&self, now: Time, fingerprint: Fingerprint) -> Option<Duration> {
        let index = self.find(fingerprint).ok()?;
        let suspect = &self.entries[index];
        let is_doubted = suspect.events > 0 && self.refuses(now, fingerprint);
        is_doubted.then(|| now.since(suspect.crashed_at))
    }

    /// Number of endpoints that were lost under a request.
    #[must_use]
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        let index = self.find(fingerprint);
        index.map_or(0, |index| self.entries[index].endpoints.len())
    }

    /// Records that an endpoint was lost while it ran a request of this instance; returns whether
    /// that counts against the request. It does not if an equal request has just completed.
    pub fn record_crash(&mut self, now: Time, crash: Crash) -> bool {
        if self.has_completed(now, crash.fingerprint) || !self.add(now, crash.clone()) {
            return false;
        }
        self.publish(Change::Crashed(crash));
        true
    }

    /// Records that a request completed; returns the number of crashes that no longer count.
    pub fn record_completion(&mut self, now: Time, fingerprint: Fingerprint) -> usize {
        if self.completions.len() == MAX_COMPLETIONS {
            self.completions.pop_front();
        }
        self.completions.push_back((now, fingerprint));
        self.clear(fingerprint)
    }

    /// Drops all crashes of an endpoint that has proved to live on, and publishes that; returns their
    /// number.
    pub fn retract(&mut self, endpoint: &str) -> usize {
        let mut retracted = Vec::new();
        for suspect in &mut self.entries {
            let found = suspect.endpoints.iter().position(|other| other == endpoint);
            if let Some(index) = found {
                retracted.push(Crash {
                    fingerprint: suspect.fingerprint,
                    endpoint: suspect.endpoints.remove(index),
                    events: suspect.events,
                });
            }
        }
        self.entries.retain(|suspect| !suspect.endpoints.is_empty());
        let count = retracted.len();
        for crash in retracted {
            self.publish(Change::Cleared(crash));
        }
        count
    }

    /// Applies a crash that an instance has published. It is cleared if an equal request has just
    /// completed here.
    pub fn apply_crash(&mut self, now: Time, crash: Crash) {
        self.confirm(&Change::Crashed(crash.clone()));
        let fingerprint = crash.fingerprint;
        self.add(now, crash);
        if self.has_completed(now, fingerprint) {
            self.clear(fingerprint);
        }
    }

    /// Applies the removal of a crash.
    pub fn apply_removal(&mut self, crash: Crash) {
        if let Ok(index) = self.find(crash.fingerprint) {
            let suspect = &mut self.entries[index];
            suspect.endpoints.retain(|other| *other != crash.endpoint);
            if suspect.endpoints.is_empty() {
                self.entries.remove(index);
            }
        }
        self.confirm(&Change::Cleared(crash));
    }

    /// Drops crashes that are not among all those of the store: another instance has cleared them.
    /// Those of this instance that have not come back from the store yet stay.
    pub fn drop_unlisted(&mut self, listed: &[Crash]) {
        let key = |crash: &Crash| (crash.fingerprint, crash.endpoint.clone());
        let unpublished = self.outbox.changes().iter().map(Change::crash);
        let mut kept = listed
            .iter()
            .chain(unpublished)
            .map(key)
            .collect::<Vec<_>>();
        kept.sort_unstable();
        for suspect in &mut self.entries {
            let fingerprint = suspect.fingerprint;
            suspect
                .endpoints
                .retain(|endpoint| kept.binary_search(&(fingerprint, endpoint.clone())).is_ok());
        }
        self.entries.retain(|suspect| !suspect.endpoints.is_empty());
    }

    /// Changes of this instance that have not come back from the store yet, oldest first.
    #[must_use]
    pub fn unpublished(&self) -> &[Change] {
        self.outbox.changes()
    }

    /// Drops crashes that have expired; returns them, so that the reader of the topic removes them
    /// from the store.
    pub fn expire(&mut self, now: Time) -> Vec<Crash> {
        while let Some((at, _)) = self.completions.front()
            && now.since(*at) >= COMPLETION_TTL
        {
            self.completions.pop_front();
        }
        let is_expired = |suspect: &mut Suspect| now.since(suspect.crashed_at) >= RETENTION;
        let mut expired = self.entries.extract_if(.., is_expired).collect::<Vec<_>>();
        expired.extend(self.evict());
        expired.into_iter().flat_map(Suspect::crashes).collect()
    }

    /// Whether too few endpoints were lost under a request for a refusal without those for which another
    /// refused request accounts: it ran there as well and never got to its first event, which this one did.
    ///
    /// A request that crashes endpoints beside such a one takes down as many again before it is refused.
    fn is_explained(&self, suspect: &Suspect) -> bool {
        let mut others = self
            .entries
            .iter()
            .filter(|other| other.events == 0 && other.endpoints.len() >= MAX_CRASHES);
        suspect.events > 0
            && others.any(|other| {
                let endpoints = suspect.endpoints.iter();
                let unexplained = endpoints.filter(|endpoint| !other.endpoints.contains(endpoint));
                unexplained.count() < MAX_CRASHES
            })
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |suspect| suspect.fingerprint)
    }

    fn has_completed(&self, now: Time, fingerprint: Fingerprint) -> bool {
        self.completions
            .iter()
            .any(|(at, other)| *other == fingerprint && now.since(*at) < COMPLETION_TTL)
    }

    /// Adds a crash; returns whether it was not known.
    fn add(&mut self, now: Time, crash: Crash) -> bool {
        let index = match self.find(crash.fingerprint) {
            Ok(index) => index,
            Err(index) => {
                let suspect = Suspect {
                    crashed_at: now,
                    endpoints: Vec::new(),
                    events: 0,
                    fingerprint: crash.fingerprint,
                };
                self.entries.insert(index, suspect);
                index
            }
        };
        let suspect = &mut self.entries[index];
        suspect.events = suspect.events.max(crash.events);
        if suspect.endpoints.contains(&crash.endpoint) {
            return false;
        }
        suspect.crashed_at = now;
        suspect.endpoints.push(crash.endpoint);
        true
    }

    /// Drops the crashes of a request; returns their number.
    fn clear(&mut self, fingerprint: Fingerprint) -> usize {
        let Ok(index) = self.find(fingerprint) else {
            return 0;
        };
        let suspect = self.entries.remove(index);
        let count = suspect.endpoints.len();
        for crash in suspect.crashes() {
            self.publish(Change::Cleared(crash));
        }
        count
    }

    /// Drops the suspects beyond [`MAX_SUSPECTS`].
    fn evict(&mut self) -> Vec<Suspect> {
        let excess = self.entries.len().saturating_sub(MAX_SUSPECTS);
        if excess == 0 {
            return Vec::new();
        }
        let rank = |suspect: &Suspect| {
            (
                Reverse(suspect.endpoints.len()),
                Reverse(suspect.crashed_at),
            )
        };
        self.entries.sort_by_key(rank);
        let evicted = self.entries.split_off(MAX_SUSPECTS);
        self.entries.sort_by_key(|suspect| suspect.fingerprint);
        evicted
    }

    fn publish(&mut self, change: Change) {
        let crash = change.crash().clone();
        self.outbox.retain(|other| !other.crash().is_same(&crash));
        self.outbox.push(change);
    }

    fn confirm(&mut self, change: &Change) {
        self.outbox.retain(|other| !other.is_confirmed_by(change));
    }
}

impl Suspect {
    fn is_refused(&self, now: Time) -> bool {
        self.endpoints.len() >= MAX_CRASHES && now.since(self.crashed_at) < REFUSAL_PERIOD
    }

    fn crashes(self) -> impl Iterator<Item = Crash> {
        let (events, fingerprint) = (self.events, self.fingerprint);
        self.endpoints.into_iter().map(move |endpoint| Crash {
            fingerprint,
            endpoint,
            events,
        })
    }
}
