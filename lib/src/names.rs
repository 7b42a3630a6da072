//! Names of the objects that the catalogue and the host list define.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name without checking it; the catalogue check does that.
            pub fn new(name: &str) -> Self {
                Self(name.into())
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

name_type! {
    /// A host that runs one router process.
    HostName
}
name_type! {
    /// A data centre with its own hosts and upstreams.
    CentreName
}
name_type! {
    /// A team whose callers share keys, a rate and a burst.
    TeamName
}
name_type! {
    /// A back end: a model engine or a plain service.
    UpstreamName
}
name_type! {
    /// A language model that engines serve.
    ModelName
}
name_type! {
    /// A plain service that several upstreams may provide.
    ServiceName
}
name_type! {
    /// A service class: priority and deadline of a request.
    ClassName
}
name_type! {
    /// A route: which requests go to which kind of upstream.
    RouteName
}

/// Returns whether `name` may name a catalogue object.
pub fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}

/// Name under which requests on routes that are open to all are counted and queued; no team may
/// have it.
pub const OPEN_TEAM: &str = "open";

/// Longest name of a catalogue object, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
