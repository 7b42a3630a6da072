//! The platform: publishes the configuration and the host list, read only.

mod http;

use std::{fmt::Debug, time::Duration};

pub use self::http::HttpPlatform;
use crate::{config::ConfigChange, membership::HostList};

/// Source of the configuration and of the host list.
pub trait PlatformSource: Debug + Send + Sync {
    /// Waits up to `wait` for a revision above `revision`; `None` if there was none.
    fn config_after(
        &self,
        revision: u64,
        wait: Duration,
    ) -> Result<Option<ConfigChange>, PlatformError>;

    /// Waits up to `wait` for a host list above `version`; `None` if there was none.
    fn hosts_after(&self, version: u64, wait: Duration) -> Result<Option<HostList>, PlatformError>;
}

/// A read that failed; nothing is known about the platform's state.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The platform cannot be reached or did not answer in time.
    #[error("platform unreachable: {0}")]
    Unreachable(String),
    /// The platform answered with an unexpected status.
    #[error("platform answered with status {0}")]
    Status(u16),
    /// The answer cannot be decoded.
    #[error("platform sent an invalid answer: {0}")]
    Invalid(String),
}
