//! Client of the append-only log and the instance list behind the project's own interface.

pub mod codec;
pub mod error;
pub mod list;
pub mod prelude;
pub mod stream;

pub use error::Error;
