//! Metrics: Prometheus must be able to parse the text, and the catalogue must bound its size.

use std::{sync::Arc, time::Duration};

use snipepond::{
    catalogue::{Catalogue, RawEntries},
    names::{ClassName, RouteName, ServiceName, TeamName, UpstreamName},
    telemetry::{ControlPurpose, RequestLabels, RouterMetrics},
};

fn catalogue() -> Arc<Catalogue> {
    let entries: RawEntries = [
        ("class/fast", r#"{"priority":0,"deadline_ms":410,"queue_ms":100}"#),
        ("team/t1", r#"{"owner":"o","class":"fast","rate":1,"burst":1}"#),
        ("route/chat", r#"{"owner":"o","path":"/v1/chat/completions","kind":"chat"}"#),
    ]
    .into_iter()
    .map(|(key, value)| (key.into(), value.into()))
    .collect();
    Arc::new(Catalogue::parse(1, &entries).unwrap())
}

fn request(metrics: &RouterMetrics, team: &str) {
    let labels = RequestLabels {
        route: Some(&RouteName::new("chat")),
        team: Some(&TeamName::new(team)),
        class: Some(&ClassName::new("fast")),
    };
    metrics.count_request(labels, "ran");
}

/// Names from requests must not create time series: a caller could exhaust the memory.
#[test]
fn labels_are_bounded_by_the_catalogue() {
    let metrics = RouterMetrics::new();
    metrics.set_catalogue(&catalogue());
    request(&metrics, "t1");
    request(&metrics, "open");
    for index in 0..100 {
        request(&metrics, &format!("forged-{index}"));
        metrics.count_upstream_error(&UpstreamName::new(&format!("u{index}")), "reset");
    }
    let text = metrics.render().unwrap();
    let series: Vec<&str> =
        text.lines().filter(|it| it.starts_with("snipepond_requests_total{")).collect();
    assert_eq!(
        series,
        [
            r#"snipepond_requests_total{class="fast",outcome="ran",route="chat",team="open"} 1"#,
            r#"snipepond_requests_total{class="fast",outcome="ran",route="chat",team="other"} 100"#,
            r#"snipepond_requests_total{class="fast",outcome="ran",route="chat",team="t1"} 1"#,
        ]
    );
    let errors = r#"snipepond_upstream_errors_total{kind="reset",upstream="other"} 100"#;
    assert!(text.contains(errors), "{text}");
}

/// Buckets that are not cumulative, or a missing count, give wrong quantiles.
#[test]
fn histograms_are_cumulative() {
    let metrics = RouterMetrics::new();
    metrics.set_catalogue(&catalogue());
    let class = ClassName::new("fast");
    for millis in [4, 300, 405, 90_000] {
        metrics.record_first_chunk(&class, Duration::from_millis(millis));
    }
    metrics.record_chunk_gap(&class, Duration::from_millis(76));
    metrics.record_queue_wait(&class, Duration::from_millis(1));
    let text = metrics.render().unwrap();
    for line in [
        "# TYPE snipepond_first_chunk_seconds histogram",
        r#"snipepond_first_chunk_seconds_bucket{class="fast",le="0.005"} 1"#,
        r#"snipepond_first_chunk_seconds_bucket{class="fast",le="0.3"} 2"#,
        r#"snipepond_first_chunk_seconds_bucket{class="fast",le="0.41"} 3"#,
        r#"snipepond_first_chunk_seconds_bucket{class="fast",le="30"} 3"#,
        r#"snipepond_first_chunk_seconds_bucket{class="fast",le="+Inf"} 4"#,
        r#"snipepond_first_chunk_seconds_count{class="fast"} 4"#,
        r#"snipepond_chunk_gap_seconds_bucket{class="fast",le="0.076"} 1"#,
        r#"snipepond_queue_wait_seconds_count{class="fast"} 1"#,
    ] {
        assert!(text.lines().any(|it| it == line), "{line} is missing:\n{text}");
    }
}

/// A counter that restarts at each scrape, or a gauge that keeps an old value,
/// raises wrong alerts.
#[test]
fn counters_add_up_and_gauges_are_replaced_between_scrapes() {
    let metrics = RouterMetrics::new();
    for (queued, revision) in [(5, 7), (2, 8)] {
        metrics.set_queue_length(queued);
        metrics.set_in_flight(queued + 1);
        metrics.set_config_revisions(revision, revision + 1);
        metrics.count_control_sent(ControlPurpose::Grant, 100);
        metrics.count_control_received(ControlPurpose::Config, 10);
        metrics.count_grant("granted", 2.5);
        metrics.count_operation("unknown");
        metrics.count_refusal("queue_full");
        metrics.set_share(&ServiceName::new("orders"), 18.0, queued as f64 / 2.0, 34);
        metrics.render().unwrap();
    }
    let text = metrics.render().unwrap();
    for line in [
        "snipepond_queue_length 2",
        "snipepond_in_flight 3",
        r#"snipepond_service_share{service="orders"} 1"#,
        r#"snipepond_share_hosts{service="orders"} 34"#,
        "snipepond_config_accepted_revision 8",
        "snipepond_config_seen_revision 9",
        r#"snipepond_control_sent_bytes_total{purpose="grant"} 200"#,
        r#"snipepond_control_sent_bytes_total{purpose="load"} 0"#,
        r#"snipepond_control_received_bytes_total{purpose="config"} 20"#,
        r#"snipepond_grants_total{outcome="granted"} 2"#,
        r#"snipepond_granted_tokens_total{outcome="granted"} 5"#,
        r#"snipepond_operations_total{outcome="unknown"} 2"#,
        r#"snipepond_refusals_total{reason="queue_full"} 2"#,
    ] {
        assert!(text.lines().any(|it| it == line), "{line} is missing:\n{text}");
    }
}

/// The SDK's default cardinality limit of 2,000 would merge teams of a fleet of the target size.
#[test]
fn all_teams_of_the_target_size_keep_their_own_series() {
    let metrics = RouterMetrics::new();
    let mut entries: RawEntries =
        [("class/fast".into(), r#"{"priority":0,"deadline_ms":410,"queue_ms":100}"#.into())].into();
    for index in 0..2_100 {
        entries.insert(
            format!("team/t{index}").into(),
            r#"{"owner":"o","class":"fast","rate":1,"burst":1}"#.into(),
        );
    }
    metrics.set_catalogue(&Arc::new(Catalogue::parse(1, &entries).unwrap()));
    for index in 0..2_100 {
        request(&metrics, &format!("t{index}"));
    }
    let text = metrics.render().unwrap();
    let series = text.matches("snipepond_requests_total{").count();
    assert_eq!(series, 2_100);
    assert!(!text.contains("overflow"));
}
