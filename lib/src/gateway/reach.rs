//! Active probes of ejected upstreams, so that no caller's request has to find out whether one is
//! back.

use std::{rc::Rc, time::Duration};

use tokio::{task::spawn_local, time::sleep};

use super::{
    fleet::Gateway,
    pool::{PoolKey, SendError},
    upstreams::{EjectedUpstream, UpstreamProcess},
};
use crate::names::UpstreamName;

/// Initial backoff after a failed probe, doubled with each further failure up to
/// [`MAX_PROBE_BACKOFF`].
const MIN_PROBE_BACKOFF: Duration = Duration::from_millis(200);

/// Longest backoff between probes; an upstream that is back gets requests after at most this time.
const MAX_PROBE_BACKOFF: Duration = Duration::from_millis(800);

impl Gateway {
    /// Ejects an upstream that was not reached, and probes it until a connection succeeds.
    ///
    /// With `whole_centre` all upstreams of its data centre are ejected: a connection attempt that
    /// times out is the first sign of a partition between data centres.
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
    let mut backoff = MIN_PROBE_BACKOFF;
    let mut tries = 1;
    loop {
        let key = PoolKey {
            upstream: upstream.name.clone(),
            incarnation: upstream.incarnation,
            address: upstream.address,
        };
        // A paused upstream wants no connections either.
        let is_paused = gateway.state.borrow().upstreams.is_paused(gateway.now(), &upstream.name);
        let probed = if is_paused { None } else { Some(gateway.pool.probe(key).await) };
        match probed {
            None => {}
            Some(Ok(())) => {
                tracing::info!(upstream = %upstream.name, tries, "upstream_reached");
                let state = &mut *gateway.state.borrow_mut();
                state.crashes.record_accepted_connection(&process);
                return state.upstreams.mark_reachable(&upstream.name);
            }
            Some(Err(error)) => {
                if tries == 1 {
                    let address = upstream.address;
                    tracing::warn!(upstream = %upstream.name, %address, %error, "upstream_lost");
                }
                // A timeout may be a partition, and who resets a connection has accepted it: neither
                // is evidence that the upstream crashed.
                if matches!(error, SendError::Refused(_)) {
                    gateway.update_crashes(|now, crashes| {
                        crashes.record_refused_connection(now, &process);
                    });
                }
            }
        }
        sleep(backoff).await;
        if !gateway.state.borrow().upstreams.is_ejected(&upstream) {
            gateway.state.borrow_mut().crashes.forget_upstream(&process);
            tracing::info!(upstream = %upstream.name, tries, "upstream_tries_ended");
            return;
        }
        backoff = (backoff * 2).min(MAX_PROBE_BACKOFF);
        tries += 1;
    }
}
