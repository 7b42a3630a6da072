//! What a router answers on `GET /status` and `GET /explain` of its administration port.
//!
//! The answers are JSON. A reader must ignore fields that it does not know, because a newer
//! router may send more.

use serde::{Deserialize, Serialize};

use crate::{
    catalogue::{CatalogueProblem, UpstreamKind, UpstreamState},
    names::{CentreName, HostName, TeamName, UpstreamName},
};

/// Answer to `GET /status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Host that answers.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: CentreName,
    /// Random number of the process; 16 hexadecimal digits in JSON, because many JSON readers
    /// round numbers above 2^53.
    #[serde(with = "hex_number")]
    pub incarnation: u64,
    /// State of the configuration.
    pub config: ConfigStatus,
    /// Version of the last host list read; 0 before the first.
    pub list_version: u64,
    /// Whether the host's view is confirmed, so that it may act as owner.
    pub view_confirmed: bool,
    /// Whether the host takes new requests.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub draining: bool,
    /// Requests at upstreams.
    pub in_flight: u64,
    /// Requests in the queue.
    pub queued: u64,
    /// All upstreams of the catalogue, by name.
    pub upstreams: Vec<UpstreamStatus>,
    /// All teams of the catalogue, by name, and the pseudo-team of open routes.
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

/// One upstream as one host sees it.
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
    /// Whether the host sends it new work: in service, data centre in service, reachable.
    pub eligible: bool,
    /// Estimated load, in tokens of work for engines and requests for services.
    pub load: f64,
    /// Requests of this host that run there.
    pub in_flight: u64,
    /// Whether it is in cold start.
    pub cold: bool,
}

/// Requests of one team on one host since the process started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// Name of the team.
    pub name: TeamName,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests that were refused, for whatever reason.
    pub refused: u64,
    /// Refused requests that exceeded the team's rate.
    pub refused_over_rate: u64,
}

/// The request that `GET /explain` is asked about; its query parameters.
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

/// Answer to `GET /explain`: what the host would do with a request now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainReport {
    /// Host that answers.
    pub host: HostName,
    /// Revision of the catalogue used.
    pub revision: u64,
    /// The request.
    pub query: ExplainQuery,
    /// Steps in the order in which the host decides.
    pub steps: Vec<ExplainStep>,
    /// Final decision.
    pub verdict: ExplainVerdict,
}

/// One step of a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainStep {
    /// What is decided, such as `route`, `team`, `eligible`, `affinity`, `load_bound`.
    pub name: String,
    /// Result of the step.
    pub outcome: StepOutcome,
    /// The facts used, in one line.
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
    /// The request would go to this upstream.
    Dispatch {
        /// Chosen upstream.
        upstream: UpstreamName,
    },
    /// The request would wait in the queue.
    Queue {
        /// Why it cannot be sent at once.
        reason: String,
    },
    /// Another host would decide.
    Forward {
        /// That host.
        host: HostName,
    },
    /// The request would be refused.
    Refuse {
        /// Machine-readable reason, as in the `type` of a refusal.
        reason: String,
    },
}

/// Why a query string cannot be read.
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
    /// Neither a chat request nor a request to a service.
    #[error("give either model (and chat) or path and method")]
    Incomplete,
}

impl ExplainQuery {
    /// Reads the part of a URL after `?`.
    pub fn parse(query: &str) -> Result<Self, ExplainQueryError> {
        let mut parsed = Self::default();
        for pair in query.split('&').filter(|it| !it.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let field =
                parsed.field(name).ok_or_else(|| ExplainQueryError::Unknown(name.to_owned()))?;
            let value = percent_decode(value)
                .ok_or_else(|| ExplainQueryError::Encoding(name.to_owned()))?;
            if field.replace(value).is_some() {
                return Err(ExplainQueryError::Repeated(name.to_owned()));
            }
        }
        parsed.check()?;
        Ok(parsed)
    }

    /// Returns whether the query describes one request.
    pub fn check(&self) -> Result<(), ExplainQueryError> {
        let chat = self.model.is_some();
        let service = self.path.is_some() && self.method.is_some();
        let mixed = chat && (self.path.is_some() || self.method.is_some());
        if mixed || !(chat || service) || (service && self.chat.is_some()) {
            return Err(ExplainQueryError::Incomplete);
        }
        Ok(())
    }

    /// Writes the part of a URL after `?`.
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

    fn field(&mut self, name: &str) -> Option<&mut Option<String>> {
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
