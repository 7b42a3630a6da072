//! The caller interface: HTTP/1.1 with bounded connections, heads, bodies and workers.

mod credentials;
mod refusal;
mod request;
mod respond;
mod server;

pub use self::{
    credentials::{api_key, strip_credentials},
    refusal::{OutcomeKind, RefusalKind, RequestRefusal},
    request::{CallerRequest, ChatRequest, chat_affinity_key},
    respond::{BodyWriter, CallerDisconnected, CallerResponder},
    server::{FrontLimits, FrontServer, RequestHandler},
};
