//! Tries connections to upstreams that were not reached, so that no request has to.

use std::{rc::Rc, time::Duration};

use tokio::{task::spawn_local, time::sleep};

use super::{
    crashes::UpstreamProcess,
    fleet::Gateway,
    pool::{PoolKey, SendError},
    upstreams::EjectedUpstream,
};
use crate::names::UpstreamName;

/// Pause before a connection is tried again; doubled up to [`MAX_PROBE_PAUSE`].
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause; an upstream that is back gets requests after this time at the latest.
const MAX_PROBE_PAUSE: Duration = Duration::from_millis(800);

impl Gateway {
    /// Sends no request to an upstream that was not reached until a connection to it succeeds.
    ///
    /// With `whole_centre` the same holds for all upstreams of its data centre: no answer at all
    /// to one connection is how a partition between data centres shows first.
    pub(super) fn eject(self: &Rc<Self>, upstream: &UpstreamName, whole_centre: bool) {
        let ejected = self.state.borrow_mut().upstreams.eject(upstream, whole_centre);
        for upstream in ejected {
            spawn_local(probe_until_connected(self.clone(), upstream));
        }
    }
}

async fn probe_until_connected(gateway: Rc<Gateway>, upstream: EjectedUpstream) {
    let process =
        UpstreamProcess { upstream: upstream.name.clone(), incarnation: upstream.incarnation };
    let mut pause = MIN_PROBE_PAUSE;
    let mut tries = 1;
    loop {
        let key = PoolKey {
            upstream: upstream.name.clone(),
            incarnation: upstream.incarnation,
            address: upstream.address,
        };
        match gateway.pool.probe(key).await {
            Ok(()) => {
                tracing::info!(upstream = %upstream.name, tries, "upstream_reached");
                let state = &mut *gateway.state.borrow_mut();
                state.crashes.record_accepted_connection(&process);
                return state.upstreams.mark_reachable(&upstream.name);
            }
            Err(error) => {
                if tries == 1 {
                    let address = upstream.address;
                    tracing::warn!(upstream = %upstream.name, %address, %error, "upstream_lost");
                }
                // Silence may be a partition.
                if !matches!(error, SendError::ConnectTimeout) {
                    gateway
                        .state
                        .borrow_mut()
                        .crashes
                        .record_refused_connection(gateway.now(), &process);
                }
            }
        }
        sleep(pause).await;
        if !gateway.state.borrow().upstreams.is_ejected(&upstream) {
            gateway.state.borrow_mut().crashes.forget_upstream(&process);
            tracing::info!(upstream = %upstream.name, tries, "upstream_tries_ended");
            return;
        }
        pause = (pause * 2).min(MAX_PROBE_PAUSE);
        tries += 1;
    }
}
