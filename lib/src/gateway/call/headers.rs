//! Separates hop-by-hop headers from those that are forwarded.

use hyper::{
    Response, StatusCode,
    header::{self, HeaderMap, HeaderName},
};

/// Hop-by-hop headers: they concern one connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 10] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Removes the hop-by-hop headers, including those that `Connection` lists, and `Content-Length`,
/// which the HTTP library sets for the forwarded message.
pub(super) fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    for name in connection_options.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers
}

/// Creates the head of a streamed response from that of the upstream.
pub(in crate::gateway) fn stream_head(status: StatusCode, headers: HeaderMap) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = end_to_end_headers(headers);
    response
}
