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
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    time::{sleep, timeout},
};

use crate::intake::MeteredSocket;

/// Longest wait at a stop for connections that are still sending a response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListenerLimits {
    /// Concurrent connections; further ones wait in the listen backlog.
    pub(crate) max_connections: usize,
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
    B: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static,
{
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return tracing::error!(%error, "listen_failed"),
    };
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &permits) => accepted,
            () = wait_for_stop(&mut stop) => break,
        };
        if let Some((stream, permit)) = accepted {
            let (stop, service) = (stop.clone(), service.clone());
            tokio::spawn(async move {
                serve_connection(stream, limits, stop, service).await;
                drop(permit);
            });
        }
    }
    let all_permits = u32::try_from(limits.max_connections).unwrap_or(u32::MAX);
    let _ = timeout(CLOSE_TIMEOUT, permits.acquire_many(all_permits)).await;
}

async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, and with it the server.
    let _ = stop.wait_for(|it| *it).await;
}

async fn accept(
    listener: &tokio::net::TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => {
            let _ = stream.set_nodelay(true);
            Some((stream, permit))
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
    limits: ListenerLimits,
    mut stop: watch::Receiver<bool>,
    service: impl Fn(Request<Incoming>) -> F,
) where
    F: Future<Output = Response<B>>,
    B: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>> + 'static,
{
    let service = service_fn(move |request| {
        let response = service(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(MeteredSocket::accepted(stream)), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_for_stop(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "connection_ended");
    }
}
