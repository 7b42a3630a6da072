//! Client for the HTTP interface of the platform.

use std::{io::Read, time::Duration};

use serde::de::DeserializeOwned;
use ureq::{Agent, Error};

use super::{PlatformError, PlatformSource};
use crate::{
    config::ConfigChange,
    daemon::byte_counting_agent,
    intake::{is_cut_off, log_cut_connection, metered_body},
    membership::HostList,
};

/// Time limit for connecting to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time beyond the requested wait after which a watch fails.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(3);

/// Largest response that is read; a single value on the platform holds at most 1 MB.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Client for the HTTP interface of the platform.
#[derive(Debug)]
pub struct HttpPlatform {
    agent: Agent,
    base_url: String,
}

impl HttpPlatform {
    /// Creates a client for the platform at `base_url`, such as `http://192.0.2.1:8090`.
    pub fn new(base_url: &str) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_redirects(0)
            .build();
        Self {
            agent: byte_counting_agent(config),
            base_url: base_url.trim_end_matches('/').to_owned(),
        }
    }

    /// Returns the error of a failed call, and logs it if the connection was cut off.
    fn unreachable(&self, error: &Error) -> PlatformError {
        if is_cut_off(error) {
            log_cut_connection(&self.base_url, error);
        }
        PlatformError::Unreachable(error.to_string())
    }

    /// Waits up to `wait` for a version of `resource` above `after`.
    fn watch<T: DeserializeOwned>(
        &self,
        resource: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<T>, PlatformError> {
        let url =
            format!("{}/v1/{resource}?after={after}&wait_ms={}", self.base_url, wait.as_millis());
        let response = self
            .agent
            .get(&url)
            .config()
            .timeout_global(Some(wait + WATCH_TIMEOUT_MARGIN))
            .build()
            .call()
            .map_err(|error| self.unreachable(&error))?;
        match response.status().as_u16() {
            200 => {}
            304 => return Ok(None),
            status => return Err(PlatformError::Status(status)),
        }
        let mut body = Vec::new();
        metered_body(response.into_body())
            .take(MAX_RESPONSE_BYTES)
            .read_to_end(&mut body)
            .map_err(|error| self.unreachable(&error.into()))?;
        serde_json::from_slice(&body)
            .map(Some)
            .map_err(|error| PlatformError::Invalid(error.to_string()))
    }
}

impl PlatformSource for HttpPlatform {
    fn config_after(
        &self,
        revision: u64,
        wait: Duration,
    ) -> Result<Option<ConfigChange>, PlatformError> {
        self.watch("config", revision, wait)
    }

    fn hosts_after(&self, version: u64, wait: Duration) -> Result<Option<HostList>, PlatformError> {
        self.watch("hosts", version, wait)
    }
}
