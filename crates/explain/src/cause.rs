//! Causes that requests are classified by.

use std::fmt::{self, Display, Formatter};

/// Why a request ended as it did.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// Answered completely and within its target.
    Answered,
    /// Any other outcome, as named by the log line, such as a rejection.
    Ended(String),
    /// The stream completed, but a pause between events exceeded the limit.
    LatePause,
    /// The answer, or the first event of the stream, came after its target.
    LateStart,
    /// The engine of the stream was lost and the copy on another engine could not take over.
    LostCopyFailed,
    /// The engine of the stream left before the move to another engine completed.
    LostMoving,
    /// The request of the stream had crashed too many engines to continue at another one.
    LostCrashes,
    /// The engine of the stream left while no other engine had capacity.
    LostNoCapacity,
    /// The engine of the stream was lost without notice and there was no copy.
    LostUnannounced,
    /// No line reports the end: the instance was lost or is still serving the request.
    Open,
}

impl Display for Cause {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "answered in time",
            Self::Ended(outcome) => outcome,
            Self::LatePause => "late: a pause",
            Self::LateStart => "late: the answer or first event",
            Self::LostCopyFailed => "lost: the copy could not go on",
            Self::LostCrashes => "lost: the request crashes endpoints",
            Self::LostMoving => "lost: engine left before the move was through",
            Self::LostNoCapacity => "lost: engine left, no other had room",
            Self::LostUnannounced => "lost: engine gone without a word, no copy",
            Self::Open => "open: no line on its end",
        })
    }
}
