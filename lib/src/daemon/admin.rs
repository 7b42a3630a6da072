//! The port for peers and administration.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
};

use tiny_http::{Header, Method, Request, Response, Server};

use crate::{
    control::{ControlCommand, ControlHandle},
    threads::ThreadGroup,
};

/// Threads that answer requests; none of them waits for an upstream.
const ADMIN_THREADS: usize = 4;

/// The running server.
pub(super) struct AdminServer {
    address: SocketAddr,
    server: Arc<Server>,
    threads: ThreadGroup,
}

impl AdminServer {
    pub(super) fn start(listener: TcpListener, control: ControlHandle) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let server = Arc::new(Server::from_listener(listener, None).map_err(io::Error::other)?);
        let threads = ThreadGroup::new();
        for _ in 0..ADMIN_THREADS {
            let (server, control) = (server.clone(), control.clone());
            threads.spawn("admin", move || {
                while let Ok(request) = server.recv() {
                    serve(request, &control);
                }
            })?;
        }
        Ok(Self {
            address,
            server,
            threads,
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn stop(self) {
        for _ in 0..ADMIN_THREADS {
            self.server.unblock();
        }
        self.threads.join();
    }
}

fn serve(request: Request, control: &ControlHandle) {
    let path = request
        .url()
        .split('?')
        .next()
        .unwrap_or_default()
        .to_owned();
    let (status, body) = match (request.method(), path.as_str()) {
        (Method::Get, "/healthz") => (200, "ok\n"),
        (Method::Get, "/readyz") => match control.ask(ControlCommand::IsReady) {
            Some(true) => (200, "ok\n"),
            _ => (503, "not ready\n"),
        },
        _ => (404, "not found\n"),
    };
    let plain = Header::from_bytes("content-type", "text/plain").expect("the header is valid");
    let response = Response::from_string(body)
        .with_status_code(status)
        .with_header(plain);
    if let Err(error) = request.respond(response) {
        tracing::debug!(%error, "admin_answer_failed");
    }
}
