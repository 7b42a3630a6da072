//! HTTP adapter of the platform's read and watch calls.

use std::{io::Read, time::Duration};

use serde::de::DeserializeOwned;
use ureq::Agent;

use super::{PlatformError, PlatformSource};
use crate::{config::ConfigChange, daemon::byte_counting_agent, membership::HostList};

/// Time for a connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time beyond the requested wait after which a watch counts as failed.
const WATCH_GRACE: Duration = Duration::from_secs(3);

/// Largest answer that is read; the platform's values hold at most 1 MB.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// The platform by its HTTP interface.
#[derive(Debug)]
pub struct HttpPlatform {
    agent: Agent,
    base: String,
}

impl HttpPlatform {
    /// Creates an adapter for the platform at `base`, such as `http://192.0.2.1:8090`.
    pub fn new(base: &str) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_redirects(0)
            .build();
        Self { agent: byte_counting_agent(config), base: base.trim_end_matches('/').to_owned() }
    }

    fn watch<T: DeserializeOwned>(
        &self,
        resource: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<T>, PlatformError> {
        let url = format!("{}/v1/{resource}?after={after}&wait_ms={}", self.base, wait.as_millis());
        let response = self
            .agent
            .get(&url)
            .config()
            .timeout_global(Some(wait + WATCH_GRACE))
            .build()
            .call()
            .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
        match response.status().as_u16() {
            200 => {}
            304 => return Ok(None),
            status => return Err(PlatformError::Status(status)),
        }
        let mut text = Vec::new();
        response
            .into_body()
            .into_reader()
            .take(MAX_ANSWER_BYTES)
            .read_to_end(&mut text)
            .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
        serde_json::from_slice(&text)
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
