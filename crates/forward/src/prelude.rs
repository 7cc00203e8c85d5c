//! Items that most modules of this crate use.

pub use {
    crate::{
        config::{Config, Engine, Kind, Route, Service},
        endpoint::{Endpoint, Listing},
        outcome::Refusal,
        request::Inbound,
        run::Run,
        settings::Settings,
    },
    decision::{fingerprint::Fingerprint, part::Part, time::Time},
    std::{net::SocketAddr, time::Duration},
};

slotmap::new_key_type! {
    /// Key of an endpoint in [`crate::State`].
    pub struct EndpointKey;
    /// Key of a run in [`crate::State`].
    pub struct RunKey;
}
