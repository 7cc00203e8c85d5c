//! Settings of a proxy instance.

use {
    crate::prelude::*,
    forward::{
        feature::{Feature, Features},
        intake::Resources,
        memory,
        rollout::exposure::Limit,
    },
    serde::Deserialize,
};

/// The settings file. Unknown keys are ignored, since a platform may add some.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Settings {
    /// Decisions that are off unless they are switched on.
    #[serde(default)]
    pub decisions: Decisions,
    /// The instance itself.
    pub instance: Instance,
    /// Limits that hold over all instances together.
    pub joint: Joint,
    /// The store.
    pub store: Store,
}

/// The instance itself.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Instance {
    /// Memory in mebibytes that may be held for callers and endpoints; a quarter of `memory_mb` by default.
    #[serde(default)]
    pub buffer_mb: Option<u32>,
    /// Failure domain.
    pub domain: String,
    /// Address and port for messages from peers.
    pub fellows: SocketAddr,
    /// Grace period in seconds from SIGTERM until the process is killed.
    pub grace_s: f64,
    /// Address and port for callers.
    pub listen: SocketAddr,
    /// Maximum number of file descriptors; unlimited if this is zero.
    #[serde(default)]
    pub max_files: u32,
    /// Maximum memory in mebibytes; unlimited if this is zero.
    #[serde(default)]
    pub memory_mb: u32,
    /// Address and port of metrics.
    pub metrics: SocketAddr,
    /// Name.
    pub name: String,
    /// Share of a CPU core; where instances are many, those with most become aggregators.
    #[serde(default = "whole_core")]
    pub processor: f64,
    /// Address and port of readiness checks.
    pub ready: SocketAddr,
}

/// Decisions that are off unless they are switched on.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Decisions {
    /// Names of those that are on; see [`Feature::ALL`].
    #[serde(default)]
    pub enabled: Vec<String>,
    /// Milliseconds of a caller's waiting that a megabyte between failure domains is worth.
    #[serde(default)]
    pub transfer_ms_per_mb: f64,
}

/// Limits that hold over all instances together.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Joint {
    /// Requests that a version of a service may get before it is judged; no version is rolled out
    /// if this is zero.
    #[serde(default)]
    pub canary_requests: f64,
    /// The same as a share of all requests to the service, in addition.
    #[serde(default)]
    pub canary_share: f64,
    /// Window of the retry budget in seconds.
    pub retry_window_s: f64,
    /// Retries allowed within the window in addition to the ratio.
    pub retry_burst: f64,
    /// Retries allowed for each first send.
    pub retry_ratio: f64,
    /// Milliseconds after which a revoked key must no longer be accepted.
    pub revocation_ms: f64,
    /// Expected maximum number of instances; joint limits are divided by at least this number.
    #[serde(default = "most_instances")]
    pub most_instances: u32,
}

/// The store.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Store {
    /// Address and port.
    pub address: SocketAddr,
}

const fn whole_core() -> f64 {
    1.0
}

/// Default of [`Joint::most_instances`]: seven instances with three to spare.
const fn most_instances() -> u32 {
    10
}

impl Instance {
    /// Bytes that may be held for callers and endpoints.
    #[must_use]
    pub fn buffer_bytes(&self) -> usize {
        memory::budget(self.memory_mb, self.buffer_mb).unwrap_or(usize::MAX)
    }

    /// What limits the number of connections.
    #[must_use]
    pub const fn resources(&self) -> Resources {
        Resources {
            files: self.max_files,
            memory_mb: self.memory_mb,
        }
    }

    /// Share of a core in thousandths, as it is published.
    #[must_use]
    pub fn processor_thousandths(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "checked to be zero or more; a cast saturates"
        )]
        let thousandths = (self.processor * 1000.0) as u32;
        thousandths
    }
}

impl Settings {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read or is invalid; the error names file, key and reason.
    pub fn load(file: &str) -> Result<Self, Error> {
        let text =
            std::fs::read_to_string(file).map_err(|error| Error::Read(file.to_string(), error))?;
        Self::parse(file, &text)
    }

    /// Reads the text of a file.
    ///
    /// # Errors
    ///
    /// The settings are invalid; the error names file, key and reason.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let fault = |text: String| Error::Settings(file.to_string(), text);
        let settings = toml::from_str::<Self>(text).map_err(|error| fault(error.to_string()))?;
        let checks = [
            (
                "decisions.transfer_ms_per_mb",
                settings.decisions.transfer_ms_per_mb,
            ),
            ("instance.grace_s", settings.instance.grace_s),
            ("instance.processor", settings.instance.processor),
            ("joint.canary_requests", settings.joint.canary_requests),
            ("joint.canary_share", settings.joint.canary_share),
            ("joint.retry_burst", settings.joint.retry_burst),
            ("joint.retry_ratio", settings.joint.retry_ratio),
            ("joint.retry_window_s", settings.joint.retry_window_s),
            ("joint.revocation_ms", settings.joint.revocation_ms),
        ];
        for (key, value) in checks {
            if !(value.is_finite() && value >= 0.0) {
                return Err(fault(format!(
                    "{key}: found {value}, allowed: zero or more"
                )));
            }
        }
        let Instance {
            buffer_mb,
            memory_mb,
            ..
        } = settings.instance;
        if let Err(most) = memory::budget(memory_mb, buffer_mb) {
            let found = buffer_mb.unwrap_or_default();
            return Err(fault(format!(
                "instance.buffer_mb: found {found}, allowed: 1 to {most}"
            )));
        }
        if settings.joint.most_instances == 0 {
            let key = "joint.most_instances";
            return Err(fault(format!("{key}: found 0, allowed: one or more")));
        }
        let enabled = &settings.decisions.enabled;
        if let Some(name) = enabled.iter().find(|name| Feature::named(name).is_none()) {
            let names = Feature::ALL.map(|(_, name)| name).join(", ");
            let text = format!("decisions.enabled: found {name:?}, allowed: {names}");
            return Err(fault(text));
        }
        Ok(settings)
    }

    /// The settings that decisions are based on.
    #[must_use]
    pub fn decisions(&self) -> forward::settings::Settings {
        let enabled = self.decisions.enabled.iter();
        let features = enabled.filter_map(|name| Feature::named(name));
        forward::settings::Settings {
            budget_window: Duration::from_secs_f64(self.joint.retry_window_s),
            canary: Limit {
                requests: self.joint.canary_requests,
                share: self.joint.canary_share,
            },
            domain: self.instance.domain.clone(),
            features: Features::new(features.collect()),
            min_instances: self.joint.most_instances,
            retry_burst: self.joint.retry_burst,
            retry_ratio: self.joint.retry_ratio,
            revocation: Duration::from_secs_f64(self.joint.revocation_ms / 1000.0),
            transfer_wait_per_megabyte: Duration::from_secs_f64(
                self.decisions.transfer_ms_per_mb / 1000.0,
            ),
        }
    }
}
