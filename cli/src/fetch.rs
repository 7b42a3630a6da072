//! HTTP client for the administration port of a router.

use std::{net::SocketAddr, time::Duration};

use serde::de::DeserializeOwned;

use crate::command::CommandError;

/// Timeout of one request, including its response body.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest response body; a burn report of 440 teams in four classes has about 1 MB.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// Base URL of the administration port of one router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RouterUrl(String);

impl RouterUrl {
    /// Parses the value of a `--router` flag, which has the form `http://IP:PORT`.
    pub(crate) fn parse(text: &str) -> Result<Self, CommandError> {
        let trimmed = text.trim_end_matches('/');
        let address = trimmed.strip_prefix("http://").and_then(|it| it.parse::<SocketAddr>().ok());
        match address {
            Some(address) if address.port() != 0 => Ok(Self(trimmed.to_owned())),
            _ => Err(CommandError::Usage(format!(
                "--router {text:?} is not allowed; allowed: http://IP:PORT"
            ))),
        }
    }

    /// Reads and parses the value of a `--router` flag.
    pub(crate) fn from_flag(parser: &mut lexopt::Parser) -> Result<Self, CommandError> {
        Self::parse(&parser.value()?.to_string_lossy())
    }

    /// Sends a GET request for `path` and parses the response body as JSON.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let url = format!("{}{path}", self.0);
        let read_error =
            |reason: String| CommandError::Failed(format!("cannot read {url}: {reason}"));
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(FETCH_TIMEOUT))
            .http_status_as_error(false)
            .max_redirects(0)
            // Routers are addressed by IP address; a proxy from the environment would only see
            // and delay the request.
            .proxy(None)
            .build()
            .into();
        let mut response = agent.get(&url).call().map_err(|error| read_error(error.to_string()))?;
        let text = response
            .body_mut()
            .with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_to_string()
            .map_err(|error| read_error(error.to_string()))?;
        let status = response.status().as_u16();
        if status != 200 {
            let excerpt: String = text.chars().take(200).collect();
            return Err(read_error(format!("status {status}: {excerpt}")));
        }
        serde_json::from_str(&text).map_err(|error| read_error(error.to_string()))
    }
}

/// Returns the error for a missing `--router` flag.
pub(crate) fn missing_router_flag() -> CommandError {
    CommandError::Usage("--router URL is required".to_owned())
}
