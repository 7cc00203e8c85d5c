//! Output lengths learnt online.

use crate::prelude::*;

/// Weight of the newest length in the running mean of a model.
const STEP: f64 = 0.05;

/// Output length assumed for a route that says nothing, in tokens.
const DEFAULT: u32 = 256;

/// Running means of output lengths, sorted by public model name.
#[derive(Debug, Default)]
pub struct Lengths {
    means: Vec<(String, f64)>,
}

impl Lengths {
    /// Output length expected of a model, in tokens.
    #[must_use]
    pub fn expected(&self, config: &Config, model: &str) -> u32 {
        match self.place(model) {
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a mean of u32 lengths is a small non-negative number"
            )]
            Ok(place) => self.means[place].1 as u32,
            Err(_) => config
                .route(model)
                .map_or(DEFAULT, |route| route.expected_tokens),
        }
    }

    /// Learns from a finished generation.
    pub fn learn(&mut self, model: &str, tokens: u32) {
        let tokens = f64::from(tokens);
        match self.place(model) {
            Err(place) => self.means.insert(place, (model.to_string(), tokens)),
            Ok(place) => {
                let mean = &mut self.means[place].1;
                *mean += STEP * (tokens - *mean);
            }
        }
    }

    fn place(&self, model: &str) -> Result<usize, usize> {
        self.means
            .binary_search_by(|(name, _)| name.as_str().cmp(model))
    }
}
