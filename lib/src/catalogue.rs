//! The catalogue of classes, data centres, teams, keys, routes and upstreams: which requests are
//! admitted, with which priority and at which rate.
//!
//! A [`Catalogue`] can only be created from a set of entries that is valid as a whole.

mod check;
mod entry;

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    sync::Arc,
};

use sha2::{Digest, Sha256};

pub use self::{
    check::{CatalogueProblem, RejectedCatalogue},
    entry::{
        CentreEntry, CentreState, ClassEntry, FleetSettings, KeyEntry, KeyState, RouteEntry,
        RouteKind, TeamEntry, UpstreamEntry, UpstreamKind, UpstreamState,
    },
};
use crate::names::{CentreName, ClassName, RouteName, TeamName, UpstreamName};

/// Entries by key before they are parsed; each value is JSON text.
pub type RawEntries = BTreeMap<Arc<str>, Arc<str>>;

/// SHA-256 hash of a caller's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key as the caller sent it.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        // `from_str_radix` alone would also accept a sign, such as "+f".
        if text.len() != 64 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return None;
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Display for KeyHash {
    /// Writes 64 lower-case hexadecimal digits.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|it| write!(f, "{it:02x}"))
    }
}

/// A valid set of entries at one revision.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    revision: u64,
    classes: BTreeMap<ClassName, ClassEntry>,
    centres: BTreeMap<CentreName, CentreEntry>,
    teams: BTreeMap<TeamName, TeamEntry>,
    keys: HashMap<KeyHash, TeamName>,
    routes: Vec<(RouteName, RouteEntry)>,
    upstreams: BTreeMap<UpstreamName, UpstreamEntry>,
    settings: FleetSettings,
}

impl Catalogue {
    /// Parses and validates all entries.
    ///
    /// The result depends on nothing else, so all hosts accept the same revisions.
    pub fn parse(revision: u64, entries: &RawEntries) -> Result<Self, RejectedCatalogue> {
        check::parse(revision, entries)
    }

    /// Returns the revision at which the entries were published.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the team that an active key belongs to.
    pub fn team_of_key(&self, hash: &KeyHash) -> Option<&TeamName> {
        self.keys.get(hash)
    }

    /// Returns the entry of a team.
    pub fn team(&self, name: &TeamName) -> Option<&TeamEntry> {
        self.teams.get(name)
    }

    /// Returns all teams by name.
    pub fn teams(&self) -> &BTreeMap<TeamName, TeamEntry> {
        &self.teams
    }

    /// Returns all classes by name.
    pub fn classes(&self) -> &BTreeMap<ClassName, ClassEntry> {
        &self.classes
    }

    /// Returns all data centres by name.
    pub fn centres(&self) -> &BTreeMap<CentreName, CentreEntry> {
        &self.centres
    }

    /// Returns all upstreams by name.
    pub fn upstreams(&self) -> &BTreeMap<UpstreamName, UpstreamEntry> {
        &self.upstreams
    }

    /// Returns the number of active keys.
    pub fn active_key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns all routes, longest path prefix first.
    pub fn routes(&self) -> &[(RouteName, RouteEntry)] {
        &self.routes
    }

    /// Returns the settings of the whole fleet.
    pub fn settings(&self) -> &FleetSettings {
        &self.settings
    }

    /// Returns the route with the longest path prefix that matches the request.
    ///
    /// A prefix matches whole path segments: `/v1/tools` matches `/v1/tools/7` but not
    /// `/v1/toolsets`.
    pub fn route(&self, method: &str, path: &str) -> Option<(&RouteName, &RouteEntry)> {
        self.routes
            .iter()
            .find(|(_, route)| {
                matches_prefix(&route.path, path)
                    && (route.methods.is_empty() || route.methods.iter().any(|it| it == method))
            })
            .map(|(name, route)| (name, route))
    }

    /// Returns whether any route matches the path, with any method.
    pub fn has_route_for_path(&self, path: &str) -> bool {
        self.routes.iter().any(|(_, route)| matches_prefix(&route.path, path))
    }

    /// Returns the data centres that are not decommissioned, over which team limits and operation
    /// keys are divided.
    pub fn commissioned_centres(&self) -> impl Iterator<Item = &CentreName> {
        self.centres
            .iter()
            .filter(|(_, centre)| centre.state != CentreState::Decommissioned)
            .map(|(name, _)| name)
    }

    /// Returns whether the catalogue allows new work at an upstream: it and its data centre are in
    /// service.
    pub fn takes_new_work(&self, upstream: &UpstreamEntry) -> bool {
        upstream.state == UpstreamState::InService
            && self
                .centres
                .get(&upstream.data_centre)
                .is_some_and(|it| it.state == CentreState::InService)
    }
}

fn matches_prefix(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'),
        None => false,
    }
}
