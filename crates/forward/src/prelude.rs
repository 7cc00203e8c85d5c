//! Names that most modules of this package use.

pub use {
    crate::{
        config::{Config, Engine, Kind, Route, Service},
        endpoint::{Endpoint, Listing},
        outcome::Refusal,
        request::Inbound,
        run::Run,
        settings::Settings,
    },
    decision::time::Time,
    std::{net::SocketAddr, time::Duration},
};

slotmap::new_key_type! {
    /// An endpoint in the arena of [`crate::State`].
    pub struct EndpointKey;
    /// A generation in progress in the arena of [`crate::State`].
    pub struct RunKey;
}
