//! The caller interface: HTTP/1.1 with bounded connections, heads, bodies and workers.

mod credentials;
mod refusal;
mod request;
mod respond;
mod server;

pub use self::{
    credentials::{bearer_key, without_credentials},
    refusal::{OutcomeKind, Refusal, RefusalKind},
    request::{CallerRequest, ChatRequest, chat_identity},
    respond::{BodyWriter, CallerGone, Responder},
    server::{FrontLimits, FrontServer, RequestHandler},
};
