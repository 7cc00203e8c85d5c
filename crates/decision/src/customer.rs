//! Customers as the configuration describes them.

slotmap::new_key_type! {
  /// Names a customer in the arena of the configuration.
  pub struct Key;
}

/// One customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// BLAKE3 hashes of the API keys that act for the customer.
    pub credentials: Vec<[u8; 32]>,
    /// Unique name.
    pub name: String,
    /// Higher goes first while requests wait.
    pub priority: u8,
    /// Tokens served: the virtual token counter.
    pub served: f64,
    /// Share of service relative to other customers.
    pub weight: f64,
}

impl Customer {
    /// Tokens served for each unit of weight, by which customers take turns.
    #[must_use]
    pub fn served_per_weight(&self) -> f64 {
        self.served / self.weight
    }
}
