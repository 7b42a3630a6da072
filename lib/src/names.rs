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
            /// Creates a name without validation; [`is_valid_name`] validates names.
            pub fn new(name: &str) -> Self {
                Self(name.into())
            }

            /// Returns the name as a string slice.
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
    /// Name of a host, which runs one router process.
    HostName
}
name_type! {
    /// Name of a data centre, which has its own hosts and upstreams.
    CentreName
}
name_type! {
    /// Name of a team, whose callers share API keys, a rate and a burst.
    TeamName
}
name_type! {
    /// Name of an upstream: a model engine or one instance of a plain service.
    UpstreamName
}
name_type! {
    /// Name of a language model that engines serve.
    ModelName
}
name_type! {
    /// Name of a plain service, which several upstreams may provide.
    ServiceName
}
name_type! {
    /// Name of a service class, which sets the priority and the deadline of a request.
    ClassName
}
name_type! {
    /// Name of a route, which defines which requests go to which kind of upstream.
    RouteName
}

/// Returns whether `name` is a valid name of a catalogue object: up to [`MAX_NAME_BYTES`] ASCII
/// letters, digits, `-`, `_` and `.`.
pub fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}

/// Team name under which requests on open routes, which need no key, are counted and queued. The
/// name is reserved: no team may have it.
pub const OPEN_TEAM: &str = "open";

/// Longest name of a catalogue object, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
