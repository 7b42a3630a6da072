//! Which hosts there are, and which of them owns a key.

mod host_list;
mod view;

pub use self::{
    host_list::{HostList, HostRecord, HostState},
    view::{Heartbeat, HeartbeatReply, HostRelease, ReportedHost, ViewTiming, ViewTracker},
};
