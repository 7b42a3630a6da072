//! Accept loop of an HTTP/1.1 server: bounded connections, head limits, and a graceful stop.

use std::{convert::Infallible, error::Error, net::TcpListener, sync::Arc, time::Duration};

use hyper::{
    Request, Response,
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::TcpStream,
    sync::watch,
    task::yield_now,
    time::{sleep, timeout},
};

use crate::intake::{
    ConnectionPhase, ConnectionSlot, ConnectionTable, MeteredSocket, PhaseBody, close_evicted,
};

/// Longest wait at a stop for connections that are still sending a response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits of a listener.
#[derive(Clone, Debug)]
pub(crate) struct ListenerLimits {
    /// Connections of this listener.
    pub(crate) connections: Arc<ConnectionTable>,
    /// Largest request head, in bytes.
    pub(crate) max_head_bytes: usize,
    /// Time within which a request head must arrive, also on an idle connection.
    pub(crate) head_timeout: Duration,
}

/// Serves connections until `stop` is true. Then closes idle connections, and waits up to
/// `CLOSE_TIMEOUT` for responses that are still being sent.
///
/// Responses carry no `Date` header.
pub(crate) async fn serve_listener<F, B>(
    listener: TcpListener,
    limits: ListenerLimits,
    mut stop: watch::Receiver<bool>,
    service: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
) where
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>> + Send + Unpin + 'static,
{
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return tracing::error!(%error, "listen_failed"),
    };
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener) => accepted,
            () = wait_for_stop(&mut stop) => break,
        };
        let Some(stream) = accepted else {
            continue;
        };
        // Without a slot the connection closes unread.
        if let Some(slot) = limits.connections.open() {
            let (limits, stop, service) = (limits.clone(), stop.clone(), service.clone());
            tokio::spawn(serve_connection(stream, slot, limits, stop, service));
        }
        if limits.connections.is_full() {
            // Connections that have to close do so before the next one is accepted.
            yield_now().await;
        }
    }
    let _ = timeout(CLOSE_TIMEOUT, limits.connections.wait_empty()).await;
}

async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, and with it the server.
    let _ = stop.wait_for(|it| *it).await;
}

async fn accept(listener: &tokio::net::TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => {
            let _ = stream.set_nodelay(true);
            Some(stream)
        }
        Err(error) => {
            // Usually the process is out of file descriptors; closing a connection frees one.
            tracing::warn!(%error, "accept_failed");
            sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

async fn serve_connection<F, B>(
    stream: TcpStream,
    slot: ConnectionSlot,
    limits: ListenerLimits,
    mut stop: watch::Receiver<bool>,
    service: impl Fn(Request<Incoming>) -> F,
) where
    F: Future<Output = Response<B>>,
    B: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin + 'static,
{
    let phase = slot.phase_handle();
    let service = service_fn(move |mut request| {
        phase.set(ConnectionPhase::Unfinished);
        request.extensions_mut().insert(phase.clone());
        let (response, phase) = (service(request), phase.clone());
        async move { Ok::<_, Infallible>(response.await.map(|it| PhaseBody::new(it, phase))) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(MeteredSocket::accepted(stream)), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        biased;
        result = connection.as_mut() => result,
        () = slot.wait_evicted() => {
            let phase = slot.phase_handle();
            if !phase.is_unfinished() {
                connection.as_mut().graceful_shutdown();
            }
            close_evicted(connection, &phase).await
        }
        () = wait_for_stop(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "connection_ended");
    }
}
