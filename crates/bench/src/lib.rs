//! Load tool and measurements, for development only.

pub mod cluster;
pub mod decide;
pub mod domain;
pub mod error;
pub mod faults;
pub mod idle;
pub mod mutation;
pub mod orders;
pub mod prelude;
pub mod process;
pub mod relay;
