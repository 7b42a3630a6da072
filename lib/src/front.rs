//! The HTTP/1.1 server for callers, with limits on connections, request sizes and worker threads.

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
