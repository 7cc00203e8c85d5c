//! The events of one instance, kept for the time line.

use {
    crate::prelude::*,
    decision::hybrid_clock::Timestamp,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Moments kept.
const MOST: usize = 20_000;

/// Something that happened at an instance.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Moment {
    /// When, by the hybrid clock.
    pub stamp: Timestamp,
    /// Name of the instance.
    pub instance: String,
    /// What.
    pub what: String,
    /// The request, if it was about one.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub request: String,
    /// The endpoint, if it was about one.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub endpoint: String,
    /// The endpoint's failure domain.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub domain: String,
    /// More about it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

impl Display for Moment {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let Self {
            detail,
            domain,
            endpoint,
            instance,
            request,
            stamp,
            what,
        } = self;
        write!(f, "{stamp} {instance:<10} {what:<10}")?;
        for (name, value) in [
            ("request", request),
            ("endpoint", endpoint),
            ("domain", domain),
            ("", detail),
        ] {
            match (name, value.as_str()) {
                (_, "") => {}
                ("", value) => write!(f, " {value}")?,
                (name, value) => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}

/// The last moments of an instance, and its hybrid clock.
#[derive(Debug, Default)]
pub struct Timeline {
    dropped: u64,
    moments: VecDeque<Moment>,
    stamp: Timestamp,
}

impl Timeline {
    /// Notes a moment; its stamp is set here.
    pub fn note(&mut self, wall: Wall, moment: Moment) {
        self.stamp = self.stamp.next(wall);
        self.moments.push_back(Moment {
            stamp: self.stamp,
            ..moment
        });
        if self.moments.len() > MOST {
            self.moments.pop_front();
            self.dropped += 1;
        }
    }

    /// Takes in the clock of a message.
    pub fn receive(&mut self, wall: Wall, other: Timestamp) {
        self.stamp = self.stamp.receive(other, wall);
    }

    /// The clock for a message to be sent.
    pub const fn send(&mut self, wall: Wall) -> Timestamp {
        self.stamp = self.stamp.next(wall);
        self.stamp
    }

    /// The moments kept, after a line that declares those let go.
    #[must_use]
    pub fn moments(&self) -> Vec<Moment> {
        let mut moments = Vec::with_capacity(self.moments.len() + 1);
        if self.dropped > 0 {
            moments.push(Moment {
                stamp: self
                    .moments
                    .front()
                    .map(|moment| moment.stamp)
                    .unwrap_or_default(),
                what: "gap".to_string(),
                detail: format!("{} earlier moments were let go", self.dropped),
                ..Moment::default()
            });
        }
        moments.extend(self.moments.iter().cloned());
        moments
    }
}
