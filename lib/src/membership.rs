//! Which hosts there are, and which of them owns a key.

mod host_list;

pub use self::host_list::{HostList, HostRecord, HostState};
