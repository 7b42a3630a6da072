//! The list of hosts that the platform publishes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::{CentreName, HostName};

/// Whether a host may own keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is in service and may own keys.
    Live,
    /// The host is about to stop and becomes the owner of no further key.
    Leaving,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the host.
    pub name: HostName,
    /// Address of its port for peers and administration.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: CentreName,
    /// Whether it may own keys.
    pub state: HostState,
}

/// One version of the host list, as the platform published it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Version of the list; increases with every change.
    pub version: u64,
    /// The hosts, in no particular order.
    pub hosts: Vec<HostRecord>,
}

impl HostList {
    /// Returns the record of a host.
    pub fn host(&self, name: &HostName) -> Option<&HostRecord> {
        self.hosts.iter().find(|it| it.name == *name)
    }

    /// Returns the live hosts of a data centre.
    pub fn live_in<'a>(&'a self, centre: &'a CentreName) -> impl Iterator<Item = &'a HostRecord> {
        self.hosts.iter().filter(move |it| it.data_centre == *centre && it.state == HostState::Live)
    }
}
