//! Renders collected metrics in the Prometheus text format, version 0.0.4.
//!
//! Source: the Prometheus documentation, "Exposition formats". Counters get the suffix `_total`.

use std::fmt::{Display, Write};

use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::data::{AggregatedMetrics, Metric, MetricData, ResourceMetrics};

/// Renders all metrics; families are ordered by name and the samples of a family by their text.
pub(super) fn render(metrics: &ResourceMetrics) -> String {
    let mut families: Vec<(String, String)> = metrics
        .scope_metrics()
        .flat_map(|scope| scope.metrics())
        .filter_map(|metric| Some((metric.name().to_owned(), render_family(metric)?)))
        .collect();
    families.sort();
    families.into_iter().map(|(_, text)| text).collect()
}

fn render_family(metric: &Metric) -> Option<String> {
    match metric.data() {
        AggregatedMetrics::F64(data) => render_data(metric, data),
        AggregatedMetrics::U64(data) => render_data(metric, data),
        AggregatedMetrics::I64(data) => render_data(metric, data),
    }
}

fn render_data<T: Copy + Display>(metric: &Metric, data: &MetricData<T>) -> Option<String> {
    let name = sanitize_name(metric.name());
    match data {
        MetricData::Gauge(gauge) => {
            let samples = gauge.data_points().map(|point| {
                let labels = label_set(point.attributes(), None);
                format!("{name}{labels} {}\n", point.value())
            });
            Some(family_text(metric, &name, "gauge", samples))
        }
        MetricData::Sum(sum) => {
            let (name, kind) = if sum.is_monotonic() {
                (format!("{name}_total"), "counter")
            } else {
                (name, "gauge")
            };
            let samples = sum.data_points().map(|point| {
                let labels = label_set(point.attributes(), None);
                format!("{name}{labels} {}\n", point.value())
            });
            Some(family_text(metric, &name, kind, samples))
        }
        MetricData::Histogram(histogram) => {
            let samples = histogram.data_points().map(|point| {
                let mut text = String::new();
                let mut cumulative_count = 0;
                let bounds = point.bounds().map(|it| it.to_string());
                for (bound, count) in bounds.chain(["+Inf".to_owned()]).zip(point.bucket_counts()) {
                    cumulative_count += count;
                    let labels = label_set(point.attributes(), Some(&bound));
                    writeln!(text, "{name}_bucket{labels} {cumulative_count}").expect(STRING_WRITE);
                }
                let labels = label_set(point.attributes(), None);
                writeln!(text, "{name}_sum{labels} {}", point.sum()).expect(STRING_WRITE);
                writeln!(text, "{name}_count{labels} {}", point.count()).expect(STRING_WRITE);
                text
            });
            Some(family_text(metric, &name, "histogram", samples))
        }
        // No instrument of the router is an exponential histogram.
        MetricData::ExponentialHistogram(_) => None,
    }
}

const STRING_WRITE: &str = "writing to a string does not fail";

fn family_text(
    metric: &Metric,
    name: &str,
    kind: &str,
    samples: impl Iterator<Item = String>,
) -> String {
    let help = metric.description().replace('\\', "\\\\").replace('\n', "\\n");
    let mut samples: Vec<String> = samples.collect();
    samples.sort();
    format!("# HELP {name} {help}\n# TYPE {name} {kind}\n{}", samples.concat())
}

fn label_set<'a>(attributes: impl Iterator<Item = &'a KeyValue>, bound: Option<&str>) -> String {
    let mut pairs: Vec<String> = attributes
        .map(|it| {
            let value = escape_label_value(&it.value.as_str());
            format!("{}=\"{value}\"", sanitize_name(it.key.as_str()))
        })
        .collect();
    pairs.sort();
    pairs.extend(bound.map(|it| format!("le=\"{it}\"")));
    if pairs.is_empty() { String::new() } else { format!("{{{}}}", pairs.join(",")) }
}

fn escape_label_value(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

/// Replaces characters that the text format does not allow in a name, such as the dots in names
/// of the SDK, with underscores.
fn sanitize_name(name: &str) -> String {
    name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).collect()
}
