//! Client of the append-only log and the instance list.

pub mod codec;
pub mod error;
pub mod list;
pub mod prelude;
pub mod stream;

pub use error::Error;
