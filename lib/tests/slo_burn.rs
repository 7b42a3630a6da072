//! Burn report: windows must hold exactly the recent events, and an alert must not be missed.

use std::time::{Duration, Instant};

use snipepond::{
    catalogue::{Catalogue, RawEntries},
    clock::{ClockSource, ManualClock},
    names::{ClassName, TeamName},
    slo::{BurnAlert, BurnReport, BurnTracker, SloEvent, WindowBurn},
};

const GOOD: SloEvent = SloEvent::Completed {
    first_chunk: Duration::from_millis(410),
    deadline: Duration::from_millis(410),
};
const LATE: SloEvent = SloEvent::Completed {
    first_chunk: Duration::from_millis(411),
    deadline: Duration::from_millis(410),
};

fn catalogue() -> Catalogue {
    let class = |objective: f64| {
        format!(r#"{{"priority":0,"deadline_ms":410,"queue_ms":100,"objective":{objective}}}"#)
    };
    let entries: RawEntries = [("class/fast", class(0.95)), ("class/slow", class(0.5))]
        .into_iter()
        .map(|(key, value)| (key.into(), value.into()))
        .collect();
    Catalogue::parse(1, &entries).unwrap()
}

struct Fixture {
    clock: ManualClock,
    tracker: BurnTracker,
}

impl Fixture {
    fn new() -> Self {
        let clock = ManualClock::new();
        let tracker = BurnTracker::new(clock.now());
        Self { clock, tracker }
    }

    fn record(&mut self, team: &str, class: &str, event: SloEvent, times: usize) {
        let (team, class) = (TeamName::new(team), ClassName::new(class));
        for _ in 0..times {
            self.tracker.record(self.now(), &team, &class, event);
        }
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn advance(&self, seconds: u64) {
        self.clock.advance(Duration::from_secs(seconds));
    }

    fn report(&mut self) -> BurnReport {
        self.tracker.report(self.clock.now(), &catalogue())
    }
}

fn assert_near(value: f64, expected: f64) {
    assert!((value - expected).abs() < 1e-9, "{value} is not {expected}");
}

/// A refusal that the team caused must not use up its budget; every other failure must.
#[test]
fn events_are_counted_by_kind() {
    let mut fixture = Fixture::new();
    fixture.record("t", "fast", GOOD, 16);
    for bad in [LATE, SloEvent::Truncated, SloEvent::RefusedWithinRate, SloEvent::UnknownOutcome] {
        fixture.record("t", "fast", bad, 1);
    }
    fixture.record("t", "fast", SloEvent::RefusedOverRate, 50);
    let report = fixture.report();
    let row = &report.rows[0];
    assert_eq!(row.short, row.long);
    assert_eq!((row.long.good, row.long.bad, row.long.total), (16, 4, 20));
    assert_eq!(row.long.over_rate, 50);
    assert_near(row.long.burn, 0.2 / 0.05);
}

/// An event that stays in a window for too long keeps an alert up; one that leaves it early hides
/// a fault.
#[test]
fn events_leave_the_windows() {
    let mut fixture = Fixture::new();
    fixture.record("t", "fast", LATE, 1);
    fixture.advance(289);
    assert_eq!(fixture.report().rows[0].short.bad, 1);
    fixture.advance(11);
    let report = fixture.report();
    assert_eq!((report.rows[0].short.bad, report.rows[0].long.bad), (0, 1));
    fixture.advance(3_600 - 300 - 11);
    assert_eq!(fixture.report().rows[0].long.bad, 1);
    fixture.advance(11);
    assert!(fixture.report().rows.is_empty());
    // A long pause must not need a step per bucket or count anything twice.
    fixture.record("t", "fast", LATE, 1);
    fixture.advance(86_400 * 365);
    fixture.record("t", "fast", GOOD, 1);
    let row = fixture.report().rows[0].clone();
    assert_eq!((row.long.good, row.long.bad), (1, 0));
}

/// A thread that read the clock before another must not lose its event.
#[test]
fn an_earlier_clock_reading_counts() {
    let mut fixture = Fixture::new();
    let early = fixture.now();
    fixture.advance(60);
    fixture.record("t", "fast", GOOD, 1);
    let (team, class) = (TeamName::new("t"), ClassName::new("fast"));
    fixture.tracker.record(early, &team, &class, LATE);
    let row = fixture.report().rows[0].clone();
    assert_eq!((row.short.good, row.short.bad), (1, 1));
}

/// One window alone must not raise an alert, both above the threshold must.
#[test]
fn an_alert_needs_both_windows() {
    // With the objective 0.95 a bad share of 0.72 is a burn rate of 14.4, of 0.3 one of 6.
    for (long_bad, short_bad, expected) in [
        (80, 80, BurnAlert::Page),
        (72, 72, BurnAlert::Ticket),
        (80, 40, BurnAlert::Ticket),
        (30, 30, BurnAlert::None),
        (100, 0, BurnAlert::None),
        (0, 100, BurnAlert::None),
    ] {
        let mut fixture = Fixture::new();
        // The long window must be dominated by the earlier events.
        fixture.record("t", "fast", LATE, long_bad * 10);
        fixture.record("t", "fast", GOOD, (100 - long_bad) * 10);
        fixture.advance(600);
        fixture.record("t", "fast", LATE, short_bad);
        fixture.record("t", "fast", GOOD, 100 - short_bad);
        let report = fixture.report();
        let row = &report.rows[0];
        assert_eq!(row.alert, expected, "{row:?}");
        assert_eq!(report.teams[0].alert, expected);
    }
}

/// A large team must not hide a small one that is served badly.
#[test]
fn the_worst_served_team_is_named() {
    let mut fixture = Fixture::new();
    fixture.record("large", "fast", GOOD, 990);
    fixture.record("large", "fast", LATE, 10);
    fixture.record("small", "slow", GOOD, 1);
    fixture.record("small", "slow", LATE, 3);
    fixture.record("over", "fast", SloEvent::RefusedOverRate, 100);
    let report = fixture.report();
    assert_eq!(report.worst_team, Some(TeamName::new("small")));
    assert_near(report.teams[0].long.burn, 0.75 / 0.5);
    let text = report.to_text();
    assert!(
        text.contains("worst-served team: small, burn rate 1.50 over 5 min and 1.50 over 1 h"),
        "{text}"
    );
    assert_eq!(Fixture::new().report().worst_team, None);
}

/// A team in two classes is measured against the objectives of both.
#[test]
fn a_team_is_summed_over_its_classes() {
    let mut fixture = Fixture::new();
    fixture.record("t", "fast", GOOD, 100);
    fixture.record("t", "slow", GOOD, 5);
    fixture.record("t", "slow", LATE, 5);
    let report = fixture.report();
    // Allowed: 100 * 0.05 + 10 * 0.5 = 10 bad events; 5 occurred.
    assert_near(report.teams[0].long.burn, 0.5);
    assert_eq!(report.classes[0].name, "slow");
}

/// Routers are added up by events: an average of burn rates would give an idle router the same
/// weight as a busy one.
#[test]
fn reports_of_routers_add_up() {
    let mut one = Fixture::new();
    one.record("t", "fast", GOOD, 90);
    one.record("u", "fast", GOOD, 1);
    let mut two = Fixture::new();
    two.record("t", "fast", LATE, 10);
    let merged = BurnReport::merge([&one.report(), &two.report()]);
    let row = &merged.rows[0];
    assert_eq!((row.long.good, row.long.bad), (90, 10));
    assert_near(row.long.burn, 0.1 / 0.05);
    assert_eq!(merged.worst_team, Some(TeamName::new("t")));
    assert_eq!(merged.rows.len(), 2);
    let report = one.report();
    assert_eq!(BurnReport::merge([&report]), report);
}

/// A removed class has no objective, so its events must not be judged.
#[test]
fn unknown_classes_are_left_out() {
    let mut fixture = Fixture::new();
    fixture.record("t", "removed", LATE, 1);
    assert!(fixture.report().rows.is_empty());
    assert_eq!(WindowBurn::new(0, 0, 0, 0.95).burn, 0.0);
}
