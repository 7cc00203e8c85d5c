//! Parts of prompts, which requests share.

use {
    crate::fingerprint::Fingerprint,
    std::fmt::{self, Display, Formatter},
};

/// Number of digits that ids are padded to in their text form.
const MIN_DIGITS: usize = 8;

/// Id of a part of a prompt. Prompts that name the same part begin it with the same tokens.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Part(u128);

impl Part {
    /// The part with this id, in hexadecimal. Other text is hashed, so that a caller cannot keep a part
    /// from being counted by misspelling its id.
    #[must_use]
    pub fn new(id: &str) -> Self {
        let id = id.trim();
        let value = u128::from_str_radix(id, 16).ok();
        value.map_or_else(|| Self::of_text(id), Self)
    }

    /// The id under which trials of a whole request are claimed. Digests differ from the ids of parts.
    #[must_use]
    pub const fn of_request(fingerprint: Fingerprint) -> Self {
        Self(fingerprint.value())
    }

    /// The part with this text, where parts have no ids.
    #[must_use]
    pub fn of_text(text: &str) -> Self {
        Self(digest(text.as_bytes()))
    }
}

impl Display for Part {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:0MIN_DIGITS$x}", self.0)
    }
}

/// Parts as text, separated by commas, for log lines.
#[must_use]
pub fn join(parts: &[Part]) -> String {
    let parts = parts.iter().map(Part::to_string);
    parts.collect::<Vec<_>>().join(",")
}

fn digest(data: &[u8]) -> u128 {
    let mut hash = [0; 16];
    let mut hasher = blake3::Hasher::new();
    hasher.update(data).finalize_xof().fill(&mut hash);
    u128::from_be_bytes(hash)
}
