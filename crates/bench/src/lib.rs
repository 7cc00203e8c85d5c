//! Load tool and measurements, for development only.

pub mod error;
pub mod prelude;
pub mod process;
pub mod relay;
