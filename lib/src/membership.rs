//! The list of hosts, and the owner host of each key.

mod host_list;
mod view;

pub use self::{
    host_list::{HostList, HostRecord, HostState},
    view::{Heartbeat, HeartbeatReply, HostRelease, ReportedHost, ViewTiming, ViewTracker},
};
