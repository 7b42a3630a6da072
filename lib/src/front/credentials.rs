//! Reads the credentials of callers and removes them before a request is forwarded.

/// Headers that carry credentials, in lower case.
const CREDENTIAL_HEADERS: [&str; 9] = [
    "authorization",
    "proxy-authorization",
    "x-api-key",
    "api-key",
    "apikey",
    "x-auth-token",
    "x-access-token",
    "cookie",
    "x-authorization",
];

/// Query parameters that carry credentials, in lower case.
const CREDENTIAL_PARAMETERS: [&str; 5] = ["key", "api_key", "apikey", "api-key", "access_token"];

/// Returns the API key of a request: the bearer token, or else the value of `x-api-key`.
pub fn api_key(headers: &[(String, String)]) -> Option<&str> {
    let value =
        |name: &str| headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str());
    let bearer = value("authorization").and_then(|it| {
        let (scheme, key) = it.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    });
    bearer.or_else(|| value("x-api-key").map(str::trim)).filter(|it| !it.is_empty())
}

/// Returns the headers and the target of a request without credentials.
///
/// A header or query parameter that contains `key` is removed whatever its name is.
pub fn strip_credentials(
    headers: &[(String, String)],
    target: &str,
    key: Option<&str>,
) -> (Vec<(String, String)>, String) {
    let has_key = |value: &str| key.is_some_and(|it| value.contains(it));
    let headers = headers
        .iter()
        .filter(|(name, value)| {
            !CREDENTIAL_HEADERS.contains(&name.as_str()) && !has_key(value) && !has_key(name)
        })
        .cloned()
        .collect();
    let Some((path, query)) = target.split_once('?') else {
        return (headers, target.to_owned());
    };
    let kept: Vec<&str> = query
        .split('&')
        .filter(|part| {
            let decoded = percent_decode(part);
            let name = decoded.split('=').next().unwrap_or_default().to_ascii_lowercase();
            !CREDENTIAL_PARAMETERS.contains(&name.as_str()) && !has_key(&decoded)
        })
        .collect();
    if kept.is_empty() {
        (headers, path.to_owned())
    } else {
        (headers, format!("{path}?{}", kept.join("&")))
    }
}

/// Decodes `%xx` and `+`; an invalid escape stays as it is.
fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let escape = (bytes[index] == b'%')
            .then(|| text.get(index + 1..index + 3))
            .flatten()
            .and_then(|it| u8::from_str_radix(it, 16).ok());
        match escape {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(if bytes[index] == b'+' { b' ' } else { bytes[index] });
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
