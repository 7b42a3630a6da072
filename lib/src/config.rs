//! The accepted configuration: revisions rise, whole catalogues are accepted or rejected.

mod tracker;

pub use self::tracker::{ChangeOutcome, ConfigChange, ConfigTracker, EntryChange};
