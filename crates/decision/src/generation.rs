//! Generation identifiers.

use crate::prelude::*;

/// Random 128-bit identifier of one run of a request at an endpoint.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Id(pub u128);

impl Display for Id {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Id {
    /// Parses the 32 hexadecimal digits written by [`Display`].
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != 32 {
            return None;
        }
        u128::from_str_radix(text, 16).ok().map(Self)
    }
}
