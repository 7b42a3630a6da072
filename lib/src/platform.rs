//! Read access to the platform, which publishes the configuration and the host list.

mod http;

use std::{fmt::Debug, time::Duration};

pub use self::http::HttpPlatform;
use crate::{config::ConfigChange, membership::HostList};

/// Source of the configuration and of the host list.
pub trait PlatformSource: Debug + Send + Sync {
    /// Waits up to `wait` for a configuration revision above `revision`; returns `None` if there
    /// was none.
    fn config_after(
        &self,
        revision: u64,
        wait: Duration,
    ) -> Result<Option<ConfigChange>, PlatformError>;

    /// Waits up to `wait` for a host list with a version above `version`; returns `None` if there
    /// was none.
    fn hosts_after(&self, version: u64, wait: Duration) -> Result<Option<HostList>, PlatformError>;
}

/// A failed read; it says nothing about the configuration or the host list.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The platform cannot be reached or did not respond in time.
    #[error("platform unreachable: {0}")]
    Unreachable(String),
    /// The platform responded with an unexpected status.
    #[error("platform responded with status {0}")]
    Status(u16),
    /// The response cannot be decoded.
    #[error("platform sent an invalid response: {0}")]
    Invalid(String),
}
