//! Requests of callers, and the fields that the router reads from a chat request.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::refusal::{RefusalKind, RequestRefusal};
use crate::{
    names::{ModelName, TeamName},
    rendezvous::hash_parts,
};

/// Bytes of text per token, a common estimate for English text.
const BYTES_PER_TOKEN: u64 = 4;

/// Estimated length of a response if the caller sets no limit. It is the mean at the target size
/// of the fleet: 2.2 M tokens/s over 5,700 requests/s.
const DEFAULT_RESPONSE_TOKENS: u64 = 386;

/// A caller's request with its complete body, whose size is bounded by
/// [`FrontLimits::max_body_bytes`](super::FrontLimits::max_body_bytes).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers in the order of arrival, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    #[serde(with = "body_bytes")]
    pub body: Arc<[u8]>,
    /// Request id that the caller sent, or else a random one.
    pub request_id: String,
}

impl CallerRequest {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the value of the first header called `name`, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }
}

/// Serialises a body as one byte string instead of a sequence of numbers.
mod body_bytes {
    use std::sync::Arc;

    use serde::{Deserializer, Serializer, de::Visitor};

    pub(super) fn serialize<S: Serializer>(
        body: &Arc<[u8]>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(body)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Arc<[u8]>, D::Error> {
        struct BodyVisitor;
        impl Visitor<'_> for BodyVisitor {
            type Value = Arc<[u8]>;

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("bytes")
            }

            fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Self::Value, E> {
                Ok(bytes.into())
            }

            fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Self::Value, E> {
                Ok(bytes.into())
            }
        }
        deserializer.deserialize_byte_buf(BodyVisitor)
    }
}

/// The parts of a chat request that decide how it is routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatRequest {
    /// Requested model.
    pub model: ModelName,
    /// Affinity key of the chat; requests with the same key prefer the same engine.
    pub chat: String,
    /// Whether the caller asks for a streamed response.
    pub stream: bool,
    /// Estimated tokens of prompt and response together.
    pub work_tokens: u64,
}

impl ChatRequest {
    /// Parses the body. The affinity key includes `team`, so that equal chats of different teams
    /// have different keys.
    pub fn parse(request: &CallerRequest, team: &TeamName) -> Result<Self, RequestRefusal> {
        let invalid = |message: &str| RequestRefusal::not_run(RefusalKind::InvalidRequest, message);
        let body: Value = serde_json::from_slice(&request.body)
            .map_err(|error| invalid(&format!("body is not valid JSON: {error}")))?;
        let model = body
            .get("model")
            .and_then(Value::as_str)
            .ok_or_else(|| invalid("field \"model\" must be a string"))?;
        let messages = body
            .get("messages")
            .and_then(Value::as_array)
            .filter(|it| !it.is_empty())
            .ok_or_else(|| invalid("field \"messages\" must be a non-empty array"))?;
        let stream = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(invalid("field \"stream\" must be true or false")),
        };
        let response_tokens = ["max_completion_tokens", "max_tokens"]
            .iter()
            .find_map(|it| body.get(it))
            .and_then(Value::as_u64)
            .unwrap_or(DEFAULT_RESPONSE_TOKENS);
        let chat = match request.header("x-chat-id") {
            Some(chat) => chat.to_owned(),
            None => stable_prefix(messages),
        };
        Ok(Self {
            model: ModelName::new(model),
            chat: chat_affinity_key(team, &chat),
            stream,
            work_tokens: request.body.len() as u64 / BYTES_PER_TOKEN + response_tokens,
        })
    }
}

/// Returns the key by which routing sends all requests of a team's chat to the same engine.
pub fn chat_affinity_key(team: &TeamName, chat: &str) -> String {
    format!("{:016x}", hash_parts(&[team.as_str(), chat]))
}

/// Returns the messages up to and including the first one of the user; they stay the same in all
/// requests of a chat.
fn stable_prefix(messages: &[Value]) -> String {
    let is_user = |it: &Value| it.get("role").and_then(Value::as_str) == Some("user");
    let end = messages.iter().position(is_user).map_or(messages.len(), |it| it + 1);
    messages[..end].iter().map(Value::to_string).collect()
}
