//! Customers and their counters of served tokens.

slotmap::new_key_type! {
  /// Key of a customer in [`crate::config::Config::customers`].
  pub struct Key;
}

/// A customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// BLAKE3 hashes of the customer's API keys.
    pub credentials: Vec<[u8; 32]>,
    /// Unique name.
    pub name: String,
    /// Priority of its requests in the queue; higher is served first.
    pub priority: u8,
    /// Tokens served, the virtual token counter.
    pub served: f64,
    /// Share of service relative to other customers.
    pub weight: f64,
}

impl Customer {
    /// Tokens served per unit of weight, by which waiting customers are ordered.
    #[must_use]
    pub fn served_per_weight(&self) -> f64 {
        self.served / self.weight
    }
}
