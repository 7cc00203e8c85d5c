//! Conditions that endpoints state in their responses and that this version does not know.

/// Maximum number of conditions that are remembered. Further ones are not logged, so that endpoints that
/// make up names fill neither the log nor the memory.
const MAX_CONDITIONS: usize = 32;

/// Services and names of conditions that were logged, sorted.
#[derive(Debug, Default)]
pub struct Conditions(Vec<(String, String)>);

impl Conditions {
    /// Adds a condition that endpoints of a service state; returns whether it is to be logged.
    pub fn insert(&mut self, service: &str, name: &str) -> bool {
        let index = self.0.binary_search_by(|(other, known)| {
            (other.as_str(), known.as_str()).cmp(&(service, name))
        });
        let Err(index) = index else {
            return false;
        };
        if self.0.len() >= MAX_CONDITIONS {
            return false;
        }
        self.0
            .insert(index, (service.to_string(), name.to_string()));
        true
    }
}
