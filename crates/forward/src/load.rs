//! Load of endpoints over all instances.
//!
//! Every request to an endpoint passes through some instance, so what the instances
//! have in progress tells more than a load report, which is late and costs a call.

use crate::{endpoint::Load, prelude::*};

/// After this long without a word, a fellow's load no longer counts. Several exchanges
/// fit into it, and what it had in progress then is mostly done.
const LIFE: Duration = Duration::from_secs(2);

/// Load that one instance has at endpoints, sorted by the digest of the endpoint's id.
pub type Report = Vec<(u32, Load)>;

/// Digest of an endpoint's id. Reports name endpoints by it, since an id is several times
/// as long; among 2,200 endpoints two share one in one system of 1,800, and then a load
/// is counted at both.
#[must_use]
pub fn digest(id: &str) -> u32 {
    let bytes = *blake3::hash(id.as_bytes()).as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// What one fellow reported last.
#[derive(Debug)]
struct Heard {
    at: Time,
    name: String,
    number: u64,
    report: Report,
}

/// What the other instances have in progress.
#[derive(Debug, Default)]
pub struct Fellows {
    /// Sorted by name.
    heard: Vec<Heard>,
}

impl Fellows {
    /// Takes the report of a fellow in; one that was overtaken by a later one changes
    /// nothing.
    pub fn hear(&mut self, name: &str, at: Time, number: u64, mut report: Report) {
        report.sort_by_key(|(digest, _)| *digest);
        let heard = Heard {
            at,
            name: name.to_string(),
            number,
            report,
        };
        match self
            .heard
            .binary_search_by(|other| other.name.as_str().cmp(name))
        {
            Ok(place) if self.heard[place].number < number => self.heard[place] = heard,
            Ok(_) => {}
            Err(place) => self.heard.insert(place, heard),
        }
    }

    /// Load of all fellows at an endpoint.
    #[must_use]
    pub fn at(&self, digest: u32, now: Time) -> Load {
        let mut sum = Load::default();
        for heard in self.alive(now) {
            let place = heard
                .report
                .binary_search_by_key(&digest, |(other, _)| *other);
            if let Ok(place) = place {
                sum.add(heard.report[place].1);
            }
        }
        sum
    }

    /// Number of fellows heard of within the last two seconds.
    #[must_use]
    pub fn count(&self, now: Time) -> usize {
        self.alive(now).count()
    }

    fn alive(&self, now: Time) -> impl Iterator<Item = &Heard> {
        let heard = self.heard.iter();
        heard.filter(move |heard| now.since(heard.at) <= LIFE)
    }
}
