//! Validates a complete catalogue. The result depends only on the entries, so every host accepts
//! or rejects the same revisions.

use std::{
    collections::{BTreeSet, HashSet},
    fmt,
};

use serde::de::DeserializeOwned;

use super::{
    Catalogue, CentreEntry, ClassEntry, FleetSettings, KeyEntry, KeyHash, KeyState, RawEntries,
    RouteEntry, RouteKind, TeamEntry, UpstreamEntry, UpstreamKind,
};
use crate::names::{
    CentreName, ClassName, OPEN_TEAM, RouteName, TeamName, UpstreamName, is_valid_name,
};

/// Maximum rate of a team in requests per second, and maximum burst in requests.
const MAX_TEAM_RATE: f64 = 1_000_000.0;

/// Maximum deadline, queue time or warm-up time: one day.
const MAX_TIME_MS: u64 = 86_400_000;

/// A violated rule, because of which a catalogue is rejected.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct CatalogueProblem {
    /// Key of the entry.
    pub entry: String,
    /// Field of the entry; empty if the problem concerns the entry as a whole.
    pub field: String,
    /// Description of the problem.
    pub reason: String,
}

impl fmt::Display for CatalogueProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.field.is_empty() {
            write!(f, "entry {:?}: {}", self.entry, self.reason)
        } else {
            write!(f, "entry {:?}, field {:?}: {}", self.entry, self.field, self.reason)
        }
    }
}

/// Error for a catalogue that is not valid, with every problem found.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("revision {revision} rejected: {} problem(s), first: {}", problems.len(), problems[0])]
pub struct RejectedCatalogue {
    /// Revision of the rejected entries.
    pub revision: u64,
    /// All problems, ordered by entry and field; never empty.
    pub problems: Vec<CatalogueProblem>,
}

/// Parses and validates all entries.
pub(super) fn parse(revision: u64, entries: &RawEntries) -> Result<Catalogue, RejectedCatalogue> {
    let mut parser = EntryParser::default();
    for (key, value) in entries {
        parser.add_entry(key, value);
    }
    parser.check_references();
    parser.finish(revision)
}

#[derive(Default)]
struct EntryParser {
    catalogue: Catalogue,
    keys: Vec<(String, KeyEntry)>,
    /// Keys of entries whose value cannot be decoded. References to them are not reported as
    /// missing, because the entry exists and its own problem is reported.
    unreadable: HashSet<String>,
    problems: Vec<CatalogueProblem>,
}

impl EntryParser {
    fn report(&mut self, entry: &str, field: &str, reason: impl Into<String>) {
        self.problems.push(CatalogueProblem {
            entry: entry.to_owned(),
            field: field.to_owned(),
            reason: reason.into(),
        });
    }

    fn add_entry(&mut self, key: &str, value: &str) {
        let Some((kind, name)) = key.split_once('/') else {
            return self.report(key, "", "expected a key of the form KIND/NAME");
        };
        if !is_valid_name(name) {
            return self.report(key, "", "name must be 1 to 64 of A-Z a-z 0-9 - _ .");
        }
        match kind {
            "class" => self.add_class(key, name, value),
            "data_centre" => self.add_centre(key, name, value),
            "team" => self.add_team(key, name, value),
            "key" => self.add_key(key, value),
            "route" => self.add_route(key, name, value),
            "upstream" => self.add_upstream(key, name, value),
            "fleet" => self.add_settings(key, name, value),
            _ => self.report(key, "", format!("unknown kind {kind:?}")),
        }
    }

    fn decode<T: DeserializeOwned>(&mut self, key: &str, value: &str) -> Option<T> {
        // The code that serde derives would also accept an array of the fields, by position.
        let result = if value.trim_start().starts_with('{') {
            serde_json::from_str(value).map_err(|error| error.to_string())
        } else {
            Err("expected a JSON object".to_owned())
        };
        match result {
            Ok(entry) => Some(entry),
            Err(reason) => {
                self.report(key, "", reason);
                self.unreadable.insert(key.to_owned());
                None
            }
        }
    }

    fn is_unreadable(&self, kind: &str, name: &str) -> bool {
        self.unreadable.contains(&format!("{kind}/{name}"))
    }

    fn add_class(&mut self, key: &str, name: &str, value: &str) {
        let Some(entry) = self.decode::<ClassEntry>(key, value) else {
            return;
        };
        for (field, time_ms) in [("deadline_ms", entry.deadline_ms), ("queue_ms", entry.queue_ms)] {
            if !(1..=MAX_TIME_MS).contains(&time_ms) {
                self.report(key, field, format!("must be 1 to {MAX_TIME_MS} ms"));
            }
        }
        if !(entry.objective > 0.0 && entry.objective < 1.0) {
            self.report(key, "objective", "must be between 0 and 1, both excluded");
        }
        self.catalogue.classes.insert(ClassName::new(name), entry);
    }

    fn add_centre(&mut self, key: &str, name: &str, value: &str) {
        let Some(entry) = self.decode::<CentreEntry>(key, value) else {
            return;
        };
        if !is_valid_name(&entry.region) {
            self.report(key, "region", "must be 1 to 64 of A-Z a-z 0-9 - _ .");
        }
        self.catalogue.centres.insert(CentreName::new(name), entry);
    }

    fn add_team(&mut self, key: &str, name: &str, value: &str) {
        let Some(entry) = self.decode::<TeamEntry>(key, value) else {
            return;
        };
        self.check_owner(key, &entry.owner);
        if name == OPEN_TEAM {
            self.report(key, "", "name is reserved for open routes");
        }
        if !(entry.rate > 0.0 && entry.rate <= MAX_TEAM_RATE) {
            self.report(key, "rate", format!("must be above 0 and at most {MAX_TEAM_RATE}/s"));
        }
        if entry.burst == 0 || f64::from(entry.burst) > MAX_TEAM_RATE {
            self.report(key, "burst", format!("must be 1 to {MAX_TEAM_RATE} requests"));
        }
        if !(entry.weight > 0.0 && entry.weight <= 1000.0) {
            self.report(key, "weight", "must be above 0 and at most 1000");
        }
        self.catalogue.teams.insert(TeamName::new(name), entry);
    }

    fn add_key(&mut self, key: &str, value: &str) {
        let Some(entry) = self.decode::<KeyEntry>(key, value) else {
            return;
        };
        self.keys.push((key.to_owned(), entry));
    }

    fn add_route(&mut self, key: &str, name: &str, value: &str) {
        let Some(entry) = self.decode::<RouteEntry>(key, value) else {
            return;
        };
        self.check_owner(key, &entry.owner);
        if !entry.path.starts_with('/') {
            self.report(key, "path", "must start with '/'");
        }
        // A prefix with any other character would never match the path of a request.
        if entry.path.bytes().any(|b| !b.is_ascii_graphic() || matches!(b, b'?' | b'#')) {
            let reason = "must be visible ASCII without '?' and '#'";
            self.report(key, "path", reason);
        }
        if entry
            .methods
            .iter()
            .any(|it| it.is_empty() || it.bytes().any(|b| !b.is_ascii_uppercase()))
        {
            self.report(key, "methods", "must be upper-case HTTP methods");
        }
        let methods: HashSet<_> = entry.methods.iter().collect();
        if methods.len() != entry.methods.len() {
            self.report(key, "methods", "must not repeat a method");
        }
        match (entry.kind, &entry.service) {
            (RouteKind::Service, None) => {
                self.report(key, "service", "required for kind \"service\"");
            }
            (RouteKind::Chat, Some(_)) => {
                self.report(key, "service", "not allowed for kind \"chat\"");
            }
            _ => {}
        }
        if entry.kind == RouteKind::Chat && entry.once {
            self.report(key, "once", "not allowed for kind \"chat\"");
        }
        if entry.open && entry.class.is_none() {
            self.report(key, "class", "required for an open route, which has no team");
        }
        if entry.open && !entry.teams.is_empty() {
            self.report(key, "teams", "not allowed for an open route");
        }
        self.catalogue.routes.push((RouteName::new(name), entry));
    }

    fn add_upstream(&mut self, key: &str, name: &str, value: &str) {
        let Some(entry) = self.decode::<UpstreamEntry>(key, value) else {
            return;
        };
        self.check_owner(key, &entry.owner);
        match entry.kind {
            UpstreamKind::Engine => {
                if entry.models.is_empty() {
                    self.report(key, "models", "an engine needs at least one model");
                }
                if entry.service.is_some() {
                    self.report(key, "service", "not allowed for kind \"engine\"");
                }
            }
            UpstreamKind::Service => {
                if entry.service.is_none() {
                    self.report(key, "service", "required for kind \"service\"");
                }
                if !entry.models.is_empty() {
                    self.report(key, "models", "not allowed for kind \"service\"");
                }
            }
        }
        if entry.models.iter().any(|it| it.as_str().is_empty()) {
            self.report(key, "models", "must not contain an empty name");
        }
        if entry.service.as_ref().is_some_and(|it| it.as_str().is_empty()) {
            self.report(key, "service", "must not be empty");
        }
        if entry.address.port() == 0 {
            self.report(key, "address", "port must not be 0");
        }
        if entry.warmup_ms > MAX_TIME_MS {
            let reason = format!("must be at most {MAX_TIME_MS} ms");
            self.report(key, "warmup_ms", reason);
        }
        if entry.capacity == 0 {
            self.report(key, "capacity", "must be at least 1 request");
        }
        if entry.cold_allowance > entry.capacity {
            self.report(key, "cold_allowance", "must not exceed capacity");
        }
        self.catalogue.upstreams.insert(UpstreamName::new(name), entry);
    }

    fn add_settings(&mut self, key: &str, name: &str, value: &str) {
        if name != "settings" {
            return self.report(key, "", "unknown entry; expected \"fleet/settings\"");
        }
        let Some(entry) = self.decode::<FleetSettings>(key, value) else {
            return;
        };
        if !(entry.skew_multiple >= 1.1 && entry.skew_multiple <= 100.0) {
            self.report(key, "skew_multiple", "must be 1.1 to 100");
        }
        self.catalogue.settings = entry;
    }

    fn check_owner(&mut self, key: &str, owner: &str) {
        if owner.is_empty() {
            self.report(key, "owner", "must not be empty");
        }
    }

    /// Reports references to entries that do not exist, duplicate routes and duplicate keys.
    fn check_references(&mut self) {
        let mut missing = Vec::new();
        let catalogue = &self.catalogue;
        let has_class = |name: &ClassName| {
            catalogue.classes.contains_key(name) || self.is_unreadable("class", name.as_str())
        };
        for (name, team) in &catalogue.teams {
            if !has_class(&team.class) {
                missing.push((
                    format!("team/{name}"),
                    "class",
                    format!("no class {:?}", team.class.as_str()),
                ));
            }
        }
        let services: HashSet<_> = catalogue
            .upstreams
            .values()
            .filter(|it| it.kind == UpstreamKind::Service)
            .filter_map(|it| it.service.as_ref())
            .collect();
        // An upstream whose entry cannot be decoded may provide any service.
        let has_unreadable_upstream = self.unreadable.iter().any(|it| it.starts_with("upstream/"));
        for (name, route) in &catalogue.routes {
            let entry = format!("route/{name}");
            if let Some(class) = &route.class
                && !has_class(class)
            {
                missing.push((entry.clone(), "class", format!("no class {:?}", class.as_str())));
            }
            for team in &route.teams {
                if !catalogue.teams.contains_key(team) && !self.is_unreadable("team", team.as_str())
                {
                    missing.push((entry.clone(), "teams", format!("no team {:?}", team.as_str())));
                }
            }
            if let Some(service) = &route.service
                && !services.contains(service)
                && !has_unreadable_upstream
            {
                let reason = format!("no upstream provides service {:?}", service.as_str());
                missing.push((entry, "service", reason));
            }
        }
        for (name, upstream) in &catalogue.upstreams {
            let centre = &upstream.data_centre;
            if !catalogue.centres.contains_key(centre)
                && !self.is_unreadable("data_centre", centre.as_str())
            {
                let reason = format!("no data centre {:?}", centre.as_str());
                missing.push((format!("upstream/{name}"), "data_centre", reason));
            }
        }
        for (entry, field, reason) in missing {
            self.report(&entry, field, reason);
        }
        self.check_duplicate_routes();
        self.index_keys();
    }

    fn check_duplicate_routes(&mut self) {
        let mut seen = HashSet::new();
        let mut duplicates = Vec::new();
        for (name, route) in &self.catalogue.routes {
            let mut methods: BTreeSet<&str> = route.methods.iter().map(String::as_str).collect();
            if methods.is_empty() {
                methods.insert("*");
            }
            for method in methods {
                if !seen.insert((&route.path, method)) {
                    duplicates.push((name.clone(), method.to_owned()));
                }
            }
        }
        for (name, method) in duplicates {
            self.report(
                &format!("route/{name}"),
                "path",
                format!("another route has the same path and method {method}"),
            );
        }
    }

    fn index_keys(&mut self) {
        let mut seen = HashSet::new();
        for (key, entry) in std::mem::take(&mut self.keys) {
            let Some(hash) = KeyHash::from_hex(&entry.sha256) else {
                self.report(&key, "sha256", "must be 64 hexadecimal digits");
                continue;
            };
            if !self.catalogue.teams.contains_key(&entry.team)
                && !self.is_unreadable("team", entry.team.as_str())
            {
                self.report(&key, "team", format!("no team {:?}", entry.team.as_str()));
            }
            if !seen.insert(hash) {
                self.report(&key, "sha256", "another key has the same hash");
            }
            if entry.state == KeyState::Active {
                self.catalogue.keys.insert(hash, entry.team);
            }
        }
    }

    fn finish(mut self, revision: u64) -> Result<Catalogue, RejectedCatalogue> {
        if !self.problems.is_empty() {
            self.problems.sort();
            return Err(RejectedCatalogue { revision, problems: self.problems });
        }
        // Longest prefix first; of two routes with the same prefix, the one with methods precedes
        // the one that matches all methods.
        self.catalogue.routes.sort_by(|(a_name, a), (b_name, b)| {
            (b.path.len(), a.methods.is_empty(), a_name).cmp(&(
                a.path.len(),
                b.methods.is_empty(),
                b_name,
            ))
        });
        self.catalogue.revision = revision;
        Ok(self.catalogue)
    }
}
