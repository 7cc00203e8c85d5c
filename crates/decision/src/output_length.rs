//! Expected output lengths of models.

use crate::prelude::*;

/// Weight of a new length in the exponential moving average of a model.
const SMOOTHING_FACTOR: f64 = 0.05;

/// Output length, in tokens, expected of an unknown route.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// Moving averages of output lengths in tokens, sorted by public model name.
#[derive(Debug, Default)]
pub struct OutputLengths {
    means: Vec<(String, f64)>,
}

impl OutputLengths {
    /// Expected output length of a model, in tokens.
    #[must_use]
    pub fn expected(&self, config: &Config, model: &str) -> u32 {
        match self.search(model) {
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a mean of u32 lengths is a small non-negative number"
            )]
            Ok(index) => self.means[index].1 as u32,
            Err(_) => config
                .route(model)
                .map_or(DEFAULT_OUTPUT_TOKENS, |route| route.expected_tokens),
        }
    }

    /// Updates the average with the length of a completed generation.
    pub fn learn(&mut self, model: &str, tokens: u32) {
        let tokens = f64::from(tokens);
        match self.search(model) {
            Err(index) => self.means.insert(index, (model.to_string(), tokens)),
            Ok(index) => {
                let mean = &mut self.means[index].1;
                *mean += SMOOTHING_FACTOR * (tokens - *mean);
            }
        }
    }

    fn search(&self, model: &str) -> Result<usize, usize> {
        self.means
            .binary_search_by(|(name, _)| name.as_str().cmp(model))
    }
}
