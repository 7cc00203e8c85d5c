//! Client of the platform's append-only log and its instance list.

pub mod codec;
pub mod error;
pub mod list;
pub mod prelude;
pub mod stream;

pub use error::Error;
