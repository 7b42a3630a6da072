//! Tests of the test harness.

mod support;

use std::{collections::BTreeMap, sync::Arc};

use snipepond::catalogue::{Catalogue, RawEntries};
use snipepond_standin::CallerRequest;

use self::support::{
    Fleet, FleetPlan,
    fleet::{quick_engine, quick_service},
};

/// Guards against a test catalogue that routers reject, which would look like a fault of the
/// routers.
#[test]
fn catalogue_of_the_fleet_is_valid() {
    let fleet = Fleet::start_without_routers(FleetPlan {
        centres: vec!["a", "b"],
        engines: vec![("e1", "a", quick_engine())],
        services: vec![("s1", "b", quick_service())],
        ..FleetPlan::default()
    });
    fleet.set_centre_state("a", "out_of_service");
    fleet.set_engine_state(0, "leaving");
    fleet.set_key_state("k1", "one", support::KEY_ONE, "withdrawn");
    let page = CallerRequest::new("GET", "/v1/config?after=0&wait_ms=0")
        .send(fleet.platform.address())
        .unwrap()
        .json();
    let entries: RawEntries = page["entries"]
        .as_array()
        .unwrap()
        .iter()
        .map(|it| {
            let key: Arc<str> = it["key"].as_str().unwrap().into();
            let value: Arc<str> = it["value"].as_str().unwrap().into();
            (key, value)
        })
        .collect::<BTreeMap<_, _>>();
    let revision = page["revision"].as_u64().unwrap();
    Catalogue::parse(revision, &entries).unwrap_or_else(|err| panic!("{:?}", err.problems));
}
