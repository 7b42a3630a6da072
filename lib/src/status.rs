//! Reports that a router returns for `GET /status` and `GET /explain` on its administration port.
//!
//! The reports are JSON. A reader must ignore unknown fields, because a newer router may send more.

use serde::{Deserialize, Serialize};

use crate::{
    catalogue::{CatalogueProblem, UpstreamKind, UpstreamState},
    names::{CentreName, HostName, TeamName, UpstreamName},
};

/// Response to `GET /status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Host that sends the report.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: CentreName,
    /// Random number that identifies the process. It has 16 hexadecimal digits in JSON, because
    /// many JSON readers round numbers above 2^53.
    #[serde(with = "hex_number")]
    pub incarnation: u64,
    /// State of the configuration.
    pub config: ConfigStatus,
    /// Version of the last host list that was read; 0 before the first.
    pub list_version: u64,
    /// Whether the host's view of the membership is confirmed, so that it may act as owner.
    pub view_confirmed: bool,
    /// Whether the host accepts new requests.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub draining: bool,
    /// Requests in flight at upstreams.
    pub in_flight: u64,
    /// Requests in the queue.
    pub queued: u64,
    /// All upstreams of the catalogue, sorted by name.
    pub upstreams: Vec<UpstreamStatus>,
    /// All teams of the catalogue, sorted by name, and the pseudo-team of open routes.
    pub teams: Vec<TeamStatus>,
}

/// State of the configuration of one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Revision in force.
    pub accepted_revision: u64,
    /// Highest revision known; higher than the accepted one if it was rejected.
    pub seen_revision: u64,
    /// Why the highest revision was rejected; empty if it was accepted.
    pub problems: Vec<CatalogueProblem>,
}

/// State of one upstream as known to one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Engine or service.
    pub kind: UpstreamKind,
    /// Data centre of the upstream.
    pub data_centre: CentreName,
    /// State in the catalogue.
    pub state: UpstreamState,
    /// Whether the upstream may receive new requests: it and its data centre are in service.
    pub eligible: bool,
    /// Estimated load, in tokens of work for engines and requests for services.
    pub load: f64,
    /// Requests of this host in flight at the upstream.
    pub in_flight: u64,
    /// Whether the upstream is in cold start.
    pub cold: bool,
}

/// Requests of one team on one host since the process started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// Name of the team.
    pub name: TeamName,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests that were refused for any reason.
    pub refused: u64,
    /// Refused requests that exceeded the team's rate.
    pub refused_over_rate: u64,
}

/// Query parameters of `GET /explain`; they describe a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainQuery {
    /// Model of a chat request.
    pub model: Option<String>,
    /// Chat identifier.
    pub chat: Option<String>,
    /// Path of a request to a service.
    pub path: Option<String>,
    /// HTTP method of a request to a service.
    pub method: Option<String>,
    /// Team that sends the request.
    pub team: Option<String>,
}

/// Response to `GET /explain`: what the host would do with a request now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainReport {
    /// Host that sends the report.
    pub host: HostName,
    /// Revision of the configuration that the decision uses.
    pub revision: u64,
    /// Request that is explained.
    pub query: ExplainQuery,
    /// Steps of the decision, in order.
    pub steps: Vec<ExplainStep>,
    /// Final decision.
    pub verdict: ExplainVerdict,
}

/// One step of a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainStep {
    /// What the step decides, such as `route`, `team`, `eligible`, `affinity` or `load_bound`.
    pub name: String,
    /// Result of the step.
    pub outcome: StepOutcome,
    /// Facts on which the step is based, in one line.
    pub detail: String,
}

/// Result of one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepOutcome {
    /// The request passes the step.
    Passed,
    /// The request is refused here.
    Refused,
    /// The step does not apply to the request.
    Skipped,
}

/// Final decision about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ExplainVerdict {
    /// The request would be sent to an upstream.
    Dispatch {
        /// Chosen upstream.
        upstream: UpstreamName,
    },
    /// The request would wait in the queue.
    Queue {
        /// Why the request cannot be sent immediately.
        reason: String,
    },
    /// The request would be forwarded to another host, which decides.
    Forward {
        /// Host that decides.
        host: HostName,
    },
    /// The request would be refused.
    Refuse {
        /// Machine-readable reason, as in the `type` of a refusal.
        reason: String,
    },
}

/// Why a query string is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExplainQueryError {
    /// A parameter is not known.
    #[error("unknown parameter {0:?}; expected model, chat, path, method or team")]
    Unknown(String),
    /// A parameter was given twice.
    #[error("parameter {0:?} is given twice")]
    Repeated(String),
    /// A value is not valid percent-encoded UTF-8.
    #[error("parameter {0:?} is not percent-encoded UTF-8")]
    Encoding(String),
    /// The parameters describe neither a chat request nor a request to a service, or they mix both.
    #[error("give either model (and chat) or path and method")]
    Incomplete,
}

impl ExplainQuery {
    /// Parses the query string of a URL, without the `?`.
    pub fn parse(query: &str) -> Result<Self, ExplainQueryError> {
        let mut parsed = Self::default();
        for pair in query.split('&').filter(|it| !it.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let field = parsed
                .field_mut(name)
                .ok_or_else(|| ExplainQueryError::Unknown(name.to_owned()))?;
            let value = percent_decode(value)
                .ok_or_else(|| ExplainQueryError::Encoding(name.to_owned()))?;
            if field.replace(value).is_some() {
                return Err(ExplainQueryError::Repeated(name.to_owned()));
            }
        }
        parsed.check()?;
        Ok(parsed)
    }

    /// Checks that the query describes exactly one request.
    pub fn check(&self) -> Result<(), ExplainQueryError> {
        let is_chat = self.model.is_some();
        let is_service = self.path.is_some() && self.method.is_some();
        let is_mixed = is_chat && (self.path.is_some() || self.method.is_some());
        if is_mixed || !(is_chat || is_service) || (is_service && self.chat.is_some()) {
            return Err(ExplainQueryError::Incomplete);
        }
        Ok(())
    }

    /// Returns the query string of a URL, without the `?`.
    pub fn to_query(&self) -> String {
        let pairs = [
            ("model", &self.model),
            ("chat", &self.chat),
            ("path", &self.path),
            ("method", &self.method),
            ("team", &self.team),
        ];
        let pairs: Vec<String> = pairs
            .iter()
            .filter_map(|(name, value)| {
                Some(format!("{name}={}", percent_encode((*value).as_ref()?)))
            })
            .collect();
        pairs.join("&")
    }

    fn field_mut(&mut self, name: &str) -> Option<&mut Option<String>> {
        match name {
            "model" => Some(&mut self.model),
            "chat" => Some(&mut self.chat),
            "path" => Some(&mut self.path),
            "method" => Some(&mut self.method),
            "team" => Some(&mut self.team),
            _ => None,
        }
    }
}

fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~/".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}

/// Decodes `%xx`; returns `None` if an escape is invalid or the result is not UTF-8.
fn percent_decode(text: &str) -> Option<String> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let high = char::from(bytes.next()?).to_digit(16)?;
            let low = char::from(bytes.next()?).to_digit(16)?;
            decoded.push(u8::try_from(high * 16 + low).ok()?);
        } else {
            decoded.push(byte);
        }
    }
    String::from_utf8(decoded).ok()
}

/// A 64-bit number as 16 hexadecimal digits.
mod hex_number {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(number: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{number:016x}"))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        u64::from_str_radix(&text, 16)
            .map_err(|_| D::Error::custom("expected 16 hexadecimal digits"))
    }
}
