//! Why a request ended as it did.

use std::fmt::{self, Display, Formatter};

/// Why a request ended as it did.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// Answered whole and in time.
    Answered,
    /// Ended with an outcome that the log line names, such as a refusal.
    Ended(String),
    /// A stream was complete, with a pause that was too long.
    LatePause,
    /// Answered whole, or begun, after its target.
    LateStart,
    /// A stream whose engine was lost, and the copy could not go on.
    LostCopyFailed,
    /// A stream whose engine left before its move was through.
    LostMoving,
    /// A stream whose engine left while no other one had room.
    LostNoRoom,
    /// A stream whose engine was lost without a word, and without a copy.
    LostUnannounced,
    /// Sent, with no line on its end: its instance was lost, or still serves it.
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
            Self::LostMoving => "lost: engine left before the move was through",
            Self::LostNoRoom => "lost: engine left, no other had room",
            Self::LostUnannounced => "lost: engine gone without a word, no copy",
            Self::Open => "open: no line on its end",
        })
    }
}
