//! Catalogue check: every rule has an entry that breaks it, and nothing else.

use rand::{SeedableRng, rngs::StdRng, seq::SliceRandom};
use snipepond::{
    catalogue::{Catalogue, CatalogueProblem, KeyHash, RawEntries},
    config::{ChangeOutcome, ConfigChange, ConfigTracker, EntryChange},
    names::TeamName,
};

const HASH: &str = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

/// A catalogue without problems.
const BASE: &[(&str, &str)] = &[
    ("class/fast", r#"{"priority":0,"deadline_ms":410,"queue_ms":300,"objective":0.95}"#),
    ("data_centre/a", r#"{"region":"north","state":"in_service"}"#),
    ("team/t1", r#"{"owner":"o","class":"fast","rate":5,"burst":10,"weight":2}"#),
    (
        "key/k1",
        r#"{"team":"t1","state":"active","sha256":"ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"}"#,
    ),
    (
        "route/chat",
        r#"{"owner":"o","path":"/v1/chat/completions","methods":["POST"],"kind":"chat"}"#,
    ),
    (
        "route/print",
        r#"{"owner":"o","path":"/print","kind":"service","service":"print","once":true}"#,
    ),
    (
        "upstream/e1",
        r#"{"owner":"o","kind":"engine","address":"127.0.0.1:9000","data_centre":"a","models":["m"],"capacity":8,"cold_allowance":2,"warmup_ms":100,"state":"in_service"}"#,
    ),
    (
        "upstream/s1",
        r#"{"owner":"o","kind":"service","address":"[::1]:9001","data_centre":"a","service":"print","capacity":8,"cold_allowance":2,"warmup_ms":0,"state":"leaving"}"#,
    ),
    ("fleet/settings", r#"{"skew_multiple":1.5}"#),
];

fn entries(changes: &[(&str, &str)]) -> RawEntries {
    BASE.iter().chain(changes).map(|(key, value)| ((*key).into(), (*value).into())).collect()
}

/// Returns the base value of `key` with `from` replaced.
fn edited(key: &str, from: &str, to: &str) -> String {
    let (_, value) = BASE.iter().find(|(it, _)| *it == key).unwrap();
    assert!(value.contains(from), "{key} holds no {from}");
    value.replace(from, to)
}

fn problems(entries: &RawEntries) -> Vec<CatalogueProblem> {
    Catalogue::parse(3, entries).map_or_else(|it| it.problems, |_| Vec::new())
}

fn assert_single(key: &str, value: &str, field: &str, reason: &str) {
    let found = problems(&entries(&[(key, value)]));
    let [problem] = found.as_slice() else {
        panic!("{key} = {value}: expected one problem, got {found:?}");
    };
    assert_eq!((problem.entry.as_str(), problem.field.as_str()), (key, field), "{problem}");
    assert!(problem.reason.contains(reason), "{problem}");
}

#[test]
fn the_base_is_accepted() {
    assert_eq!(problems(&entries(&[])), []);
}

/// Key of the base entry | text in its value | text put in its place | field | part of the reason.
const FIELD_RULES: &str = r#"
class/fast | "priority":0 | "priority":256 |  | invalid value
class/fast | "deadline_ms":410 | "deadline_ms":0 | deadline_ms | 1 to
class/fast | "deadline_ms":410 | "deadline_ms":86400001 | deadline_ms | 1 to
class/fast | "queue_ms":300 | "queue_ms":0 | queue_ms | 1 to
class/fast | 0.95 | 1.0 | objective | between 0 and 1
class/fast | 0.95 | 0 | objective | between 0 and 1
data_centre/a | north |  | region | 1 to 64
data_centre/a | in_service | down |  | unknown variant
team/t1 | "owner":"o" | "owner":"" | owner | not be empty
team/t1 | fast | slow | class | no class "slow"
team/t1 | "rate":5 | "rate":0 | rate | above 0
team/t1 | "rate":5 | "rate":1000001 | rate | at most 1000000/s
team/t1 | "rate":5 | "rate":1e999 |  | out of range
team/t1 | "burst":10 | "burst":0 | burst | 1 to 1000000
team/t1 | "burst":10 | "burst":1000001 | burst | 1 to 1000000
team/t1 | "weight":2 | "weight":0 | weight | above 0
team/t1 | "weight":2 | "weight":1001 | weight | at most 1000
key/k1 | t1 | t2 | team | no team "t2"
key/k1 | ba78 | +a78 | sha256 | 64 hexadecimal
key/k1 | ba78 | a78 | sha256 | 64 hexadecimal
key/k1 | ba78 | é78 | sha256 | 64 hexadecimal
key/k1 | active | gone |  | unknown variant
route/chat | "owner":"o" | "owner":"" | owner | not be empty
route/chat | /v1/chat | v1/chat | path | start with '/'
route/chat | /v1/chat | /v1 chat | path | visible ASCII
route/chat | /v1/chat | /v1?chat | path | visible ASCII
route/chat | POST | post | methods | upper-case
route/chat | "POST" | "" | methods | upper-case
route/chat | "POST" | "POST","POST" | methods | repeat
route/chat | "kind":"chat" | "kind":"chat","service":"print" | service | kind "chat"
route/chat | "kind":"chat" | "kind":"chat","once":true | once | kind "chat"
route/chat | "kind":"chat" | "kind":"chat","open":true | class | open route
route/chat | "kind":"chat" | "kind":"chat","class":"slow" | class | no class
route/chat | "kind":"chat" | "kind":"chat","teams":["t2"] | teams | no team
route/chat | "kind":"chat" | "kind":"chat","open":true,"class":"fast","teams":["t1"] | teams | open route
route/print | "service":"print", |  | service | required
route/print | "service":"print" | "service":"scan" | service | no upstream
upstream/e1 | "owner":"o" | "owner":"" | owner | not be empty
upstream/e1 | ["m"] | [] | models | at least one
upstream/e1 | ["m"] | ["m",""] | models | empty name
upstream/e1 | "capacity" | "service":"x","capacity" | service | kind "engine"
upstream/e1 | 127.0.0.1:9000 | engine:9000 |  | socket address
upstream/e1 | 127.0.0.1:9000 | 127.0.0.1:0 | address | port
upstream/e1 | "data_centre":"a" | "data_centre":"b" | data_centre | no data centre
upstream/e1 | "capacity":8,"cold_allowance":2 | "capacity":0,"cold_allowance":0 | capacity | at least 1
upstream/e1 | "cold_allowance":2 | "cold_allowance":9 | cold_allowance | exceed capacity
upstream/e1 | "warmup_ms":100 | "warmup_ms":86400001 | warmup_ms | at most
upstream/e1 | in_service | cold |  | unknown variant
upstream/s1 | "capacity" | "models":["m"],"capacity" | models | kind "service"
fleet/settings | 1.5 | 1.0 | skew_multiple | 1.1 to 100
fleet/settings | 1.5 | 101 | skew_multiple | 1.1 to 100
"#;

/// A rule that is not enforced lets a value into force that no router can serve.
#[test]
fn every_field_rule_has_a_failing_example() {
    for line in FIELD_RULES.trim().lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [key, from, to, field, reason] = cells[..] else {
            panic!("a rule has five cells: {line}");
        };
        assert_single(key, &edited(key, from, to), field, reason);
    }
    // A service upstream without a service also leaves the route to it without an upstream.
    for (to, first) in [("", "required"), (r#""service":"","#, "not be empty")] {
        let value = edited("upstream/s1", r#""service":"print","#, to);
        let found = problems(&entries(&[("upstream/s1", &value)]));
        assert_eq!(found.len(), 2, "{found:?}");
        assert!(found[0].reason.contains("no upstream provides"), "{found:?}");
        assert!(found[1].reason.contains(first), "{found:?}");
    }
}

/// An entry that is skipped instead of refused would be missing without a trace.
#[test]
fn every_key_rule_has_a_failing_example() {
    let long = format!("team/{}", "a".repeat(65));
    for (key, reason) in [
        ("team", "form KIND/NAME"),
        ("team/", "name must be"),
        ("team/a b", "name must be"),
        ("team/a/b", "name must be"),
        (long.as_str(), "name must be"),
        ("teams/t1", "unknown kind \"teams\""),
        ("fleet/other", "unknown entry"),
    ] {
        assert_single(key, "{}", "", reason);
    }
    let (_, team) = BASE[2];
    assert_single("team/open", team, "", "reserved");
}

/// Unknown, missing and repeated fields are mostly misspellings.
#[test]
fn the_form_of_every_kind_is_checked() {
    for (key, value) in BASE {
        for (wrong, reason) in [
            ("", "JSON object"),
            ("[]", "JSON object"),
            ("null", "JSON object"),
            ("{}", "missing field"),
            (&*format!("{} 1", value), "trailing characters"),
            (&*value.replacen('{', r#"{"surplus":1,"#, 1), "unknown field `surplus`"),
        ] {
            assert_single(key, wrong, "", reason);
        }
    }
    // Serde's derive also reads fields from an array, by position.
    assert_single("fleet/settings", "[1.5]", "", "JSON object");
    let value = edited("fleet/settings", "1.5", r#"1.5,"skew_multiple":2"#);
    assert_single("fleet/settings", &value, "", "duplicate field");
}

/// Two entries that each are correct may contradict each other.
#[test]
fn contradicting_entries_are_refused() {
    let key = edited("key/k1", "active", "withdrawn");
    assert_single("key/k2", &key, "sha256", "same hash");
    let upper = edited("key/k1", HASH, &HASH.to_uppercase());
    assert_single("key/k2", &upper, "sha256", "same hash");
    let route = edited("route/chat", r#"["POST"]"#, r#"["GET","POST"]"#);
    assert_single("route/chat2", &route, "path", "same path and method POST");
    let route = edited("route/print", "print\",\"once\"", "print\",\"open\"");
    let route = route.replace("true", "true,\"class\":\"fast\"");
    assert_single("route/print2", &route, "path", "same path and method *");
}

/// Hosts receive entries in different orders; they must not disagree about a revision.
#[test]
fn the_verdict_does_not_depend_on_the_order() {
    let mut wrong = entries(&[
        ("team/t1", r#"{"owner":"","class":"x","rate":0,"burst":0}"#),
        ("route/chat2", BASE[4].1),
        ("key/k2", BASE[3].1),
        ("bad", "{}"),
    ]);
    let mut rng = StdRng::seed_from_u64(1);
    for is_wrong in [true, false] {
        if !is_wrong {
            wrong = entries(&[]);
        }
        let expected = problems(&wrong);
        assert_eq!(expected.is_empty(), !is_wrong);
        let mut changes: Vec<EntryChange> = wrong
            .iter()
            .map(|(key, value)| EntryChange {
                key: key.clone(),
                revision: 3,
                value: Some(value.clone()),
            })
            .collect();
        for _ in 0..50 {
            changes.shuffle(&mut rng);
            let mut tracker = ConfigTracker::new();
            let outcome =
                tracker.apply(&ConfigChange { base: 0, revision: 3, entries: changes.clone() });
            match outcome {
                ChangeOutcome::Accepted(catalogue) => {
                    assert!(!is_wrong);
                    assert_eq!(catalogue.revision(), 3);
                }
                ChangeOutcome::Rejected(rejected) => assert_eq!(rejected.problems, expected),
                other => panic!("{other:?}"),
            }
        }
    }
}

/// A withdrawn key must admit nothing, and a hash must be found however it is written.
#[test]
fn keys_are_indexed_by_hash() {
    let team = TeamName::new("t1");
    for (from, to, expected) in [
        ("active", "active", Some(&team)),
        ("active", "withdrawn", None),
        (HASH, &*HASH.to_uppercase(), Some(&team)),
    ] {
        let value = edited("key/k1", from, to);
        let catalogue = Catalogue::parse(1, &entries(&[("key/k1", &value)])).unwrap();
        assert_eq!(catalogue.team_of_key(&KeyHash::of("abc")), expected);
        assert_eq!(catalogue.team_of_key(&KeyHash::of("abd")), None);
    }
    assert_eq!(KeyHash::of("abc").to_string(), HASH);
    assert_eq!(KeyHash::from_hex(HASH), Some(KeyHash::of("abc")));
}

/// A prefix that matches part of a segment would send requests to another team's service.
#[test]
fn routes_match_whole_segments_and_the_longest_prefix() {
    let route = |path: &str, methods: &str| {
        let value = edited("route/print", "/print", path);
        value.replacen('{', &format!(r#"{{"methods":[{methods}],"#), 1)
    };
    let (deep, post, all) =
        (route("/print/jobs", ""), route("/print", r#""POST""#), route("/", r#""GET""#));
    let changes = [("route/deep", deep.as_str()), ("route/post", &post), ("route/root", &all)];
    let catalogue = Catalogue::parse(1, &entries(&changes)).unwrap();
    for (method, path, expected) in [
        ("POST", "/print", Some("post")),
        ("GET", "/print", Some("print")),
        ("POST", "/print/jobs/7", Some("deep")),
        ("POST", "/print/jobsets", Some("post")),
        ("GET", "/printer", Some("root")),
        ("PUT", "/printer", None),
        ("POST", "/v1/chat/completions", Some("chat")),
    ] {
        let found = catalogue.route(method, path).map(|(name, _)| name.as_str());
        assert_eq!(found, expected, "{method} {path}");
    }
    assert!(catalogue.has_route_for_path("/printer"));
}
