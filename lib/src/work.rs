//! The work that requests cause at upstreams: what a request costs, and what an upstream still has
//! to do. Nothing here reads a clock or uses a network.

mod decay;
mod model;
mod prompt_demand;
mod size;
mod span_log;
mod upstream_work;

pub use self::{
    model::{AttemptTicket, WorkEstimate, WorkModel, WorkRequest},
    prompt_demand::{MAX_PROMPT_SHARES, PromptDemand},
    size::{PromptSpan, RequestSize},
    upstream_work::WorkReport,
};
