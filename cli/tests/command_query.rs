//! The query string of `/explain`, which `snipepond explain` writes and the router parses.

use snipepond::status::{ExplainQuery, ExplainQueryError};

fn chat(model: &str, chat: &str) -> ExplainQuery {
    ExplainQuery {
        model: Some(model.to_owned()),
        chat: Some(chat.to_owned()),
        ..ExplainQuery::default()
    }
}

/// Guards against a value whose special characters change or add a parameter, because it is not
/// percent-encoded.
#[test]
fn queries_are_parsed_as_written() {
    for text in ["plain", "a&team=b", "a=b", "100%", "a b+c", "é\u{0}\n", ""] {
        let query = chat(text, text);
        assert_eq!(ExplainQuery::parse(&query.to_query()), Ok(query));
    }
    let service = ExplainQuery {
        path: Some("/v1/tools?x#y".to_owned()),
        method: Some("POST".to_owned()),
        team: Some("t".to_owned()),
        ..ExplainQuery::default()
    };
    assert_eq!(ExplainQuery::parse(&service.to_query()), Ok(service));
}

/// Guards against a misspelt or ambiguous query that is answered for another request.
#[test]
fn wrong_queries_are_refused() {
    use ExplainQueryError::{Encoding, Incomplete, Repeated, Unknown};
    for (query, expected) in [
        ("", Incomplete),
        ("chat=c", Incomplete),
        ("path=/p", Incomplete),
        ("model=m&path=/p", Incomplete),
        ("path=/p&method=GET&chat=c", Incomplete),
        ("model=m&model=n", Repeated("model".to_owned())),
        ("modle=m", Unknown("modle".to_owned())),
        ("model=%", Encoding("model".to_owned())),
        ("model=%zz", Encoding("model".to_owned())),
        ("model=%ff", Encoding("model".to_owned())),
    ] {
        assert_eq!(ExplainQuery::parse(query), Err(expected), "{query}");
    }
}
