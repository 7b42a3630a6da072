//! Distribution of load reports to the hosts of a data centre.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

use snipepond::{
    control::{ControlCommand, ControlState, PeerReply, PeerRequest, StateSettings},
    membership::{HostList, HostRecord, HostState, ViewTiming},
    peer::{PeerCall, PeerCaller},
    routing::LoadReport,
    telemetry::RouterMetrics,
};

/// Hosts of the data centre; more than get a heartbeat in one round.
const HOSTS: u16 = 8;

/// Records the ports of hosts that were sent load reports.
#[derive(Default)]
struct RecordingCaller(Mutex<Vec<u16>>);

impl PeerCaller<PeerRequest, PeerReply> for RecordingCaller {
    fn submit(&self, call: PeerCall<PeerRequest>) {
        if let PeerRequest::Loads(_) = call.request {
            self.0.lock().unwrap().push(call.address.port());
        }
    }
}

fn host(number: u16) -> HostRecord {
    HostRecord {
        name: format!("h{number}").as_str().into(),
        address: ([127, 0, 0, 1], 7_000 + number).into(),
        data_centre: "a".into(),
        state: HostState::Live,
    }
}

/// Guards against load reports that are sent only to the hosts that get the next heartbeat; the
/// other hosts would probe every upstream themselves.
#[test]
fn load_reports_reach_every_host_of_the_data_centre() {
    let now = Instant::now();
    let caller = Arc::new(RecordingCaller::default());
    let settings = StateSettings {
        identity: host(0),
        incarnation: 1,
        timing: ViewTiming::default(),
        max_queued: 1,
        metrics: Arc::new(RouterMetrics::new()),
        caller: caller.clone(),
    };
    let mut state = ControlState::new(settings, now);
    let list = HostList { version: 1, hosts: (0..HOSTS).map(host).collect() };
    state.handle(now, ControlCommand::HostsRead { started: now, list: Some(list) });
    let reports = vec![("e1".into(), LoadReport::default())];
    state.handle(now, ControlCommand::LoadsRead(reports));
    let mut reached = caller.0.lock().unwrap().clone();
    reached.sort_unstable();
    assert_eq!(reached, (7_001..7_000 + HOSTS).collect::<Vec<_>>());
}
