//! The burn report: error budgets over a short and a long window.
//!
//! Burn rate = share of bad events / (1 - objective). At a burn rate of 1 the budget lasts
//! exactly as long as the period of the objective. Source: "The Site Reliability Workbook",
//! chapter 5, "Alerting on SLOs", multiwindow, multi-burn-rate alerts.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::TextTable;
use crate::names::{ClassName, TeamName};

/// The short window; it ends an alert soon after the cause is gone.
pub const SHORT_WINDOW: Duration = Duration::from_secs(300);

/// The long window; it keeps a short burst of errors from raising an alert.
pub const LONG_WINDOW: Duration = Duration::from_secs(3_600);

/// Burn rate above which an operator is paged: 2% of a 30-day budget in one hour.
pub const PAGE_BURN_RATE: f64 = 14.4;

/// Burn rate above which a ticket is opened: 5% of a 30-day budget in six hours.
pub const TICKET_BURN_RATE: f64 = 6.0;

/// What the burn rates of both windows call for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BurnAlert {
    /// Nothing.
    None,
    /// Both windows burn faster than [`TICKET_BURN_RATE`].
    Ticket,
    /// Both windows burn faster than [`PAGE_BURN_RATE`].
    Page,
}

impl BurnAlert {
    fn of(short: &WindowBurn, long: &WindowBurn) -> Self {
        let lower = short.burn.min(long.burn);
        if lower > PAGE_BURN_RATE {
            Self::Page
        } else if lower > TICKET_BURN_RATE {
            Self::Ticket
        } else {
            Self::None
        }
    }

    /// Returns the name used in text and JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Ticket => "ticket",
            Self::Page => "page",
        }
    }
}

/// Events of one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Good events.
    pub good: u64,
    /// Bad events.
    pub bad: u64,
    /// Good and bad events.
    pub total: u64,
    /// Refusals because the team exceeded its rate; not part of `total`.
    pub over_rate: u64,
    /// Bad events that the objective allows: `total` * (1 - objective), added up over classes.
    pub allowed_bad: f64,
    /// Burn rate: `bad` / `allowed_bad`; 0 without events.
    pub burn: f64,
}

impl WindowBurn {
    /// Creates the figures of one team and class; `objective` is above 0 and below 1.
    pub fn new(good: u64, bad: u64, over_rate: u64, objective: f64) -> Self {
        let total = good + bad;
        let mut window = Self {
            good,
            bad,
            total,
            over_rate,
            allowed_bad: total as f64 * (1.0 - objective),
            burn: 0.0,
        };
        window.set_burn();
        window
    }

    /// Adds the events of another class, team or router.
    fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.total += other.total;
        self.over_rate += other.over_rate;
        self.allowed_bad += other.allowed_bad;
        self.set_burn();
    }

    fn set_burn(&mut self) {
        self.burn = if self.bad == 0 { 0.0 } else { self.bad as f64 / self.allowed_bad };
    }
}

/// One team and class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Team.
    pub team: TeamName,
    /// Class of the requests.
    pub class: ClassName,
    /// Objective of the class; of several routers, the highest.
    pub objective: f64,
    /// Last 5 minutes.
    pub short: WindowBurn,
    /// Last hour.
    pub long: WindowBurn,
    /// What the burn rates call for.
    pub alert: BurnAlert,
}

impl BurnRow {
    /// Creates a row from both windows.
    pub fn new(
        team: TeamName,
        class: ClassName,
        objective: f64,
        short: WindowBurn,
        long: WindowBurn,
    ) -> Self {
        Self { team, class, objective, short, long, alert: BurnAlert::of(&short, &long) }
    }
}

/// A team over all classes, or a class over all teams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnSummary {
    /// Name of the team or class.
    pub name: String,
    /// Last 5 minutes.
    pub short: WindowBurn,
    /// Last hour.
    pub long: WindowBurn,
    /// What the burn rates call for.
    pub alert: BurnAlert,
}

/// Error budgets of all teams and classes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Length of the short window, in seconds.
    pub short_window_s: u64,
    /// Length of the long window, in seconds.
    pub long_window_s: u64,
    /// Burn rate above which an operator is paged.
    pub page_burn: f64,
    /// Burn rate above which a ticket is opened.
    pub ticket_burn: f64,
    /// Each team and class with events in the long window, by name.
    pub rows: Vec<BurnRow>,
    /// Each team over all classes, worst first.
    pub teams: Vec<BurnSummary>,
    /// Each class over all teams, worst first.
    pub classes: Vec<BurnSummary>,
    /// The team with the highest burn rate in the long window; nothing if no team has a good or
    /// bad event.
    pub worst_team: Option<TeamName>,
}

impl BurnReport {
    /// Creates a report from its rows; each team and class occurs once.
    pub fn new(mut rows: Vec<BurnRow>) -> Self {
        rows.sort_by(|a, b| (&a.team, &a.class).cmp(&(&b.team, &b.class)));
        let teams = summed(&rows, |it| it.team.as_str());
        let classes = summed(&rows, |it| it.class.as_str());
        let worst = teams.iter().find(|it| it.long.total > 0);
        Self {
            short_window_s: SHORT_WINDOW.as_secs(),
            long_window_s: LONG_WINDOW.as_secs(),
            page_burn: PAGE_BURN_RATE,
            ticket_burn: TICKET_BURN_RATE,
            worst_team: worst.map(|it| TeamName::new(&it.name)),
            rows,
            teams,
            classes,
        }
    }

    /// Adds up the reports of several routers.
    pub fn merge<'a>(reports: impl IntoIterator<Item = &'a Self>) -> Self {
        let mut merged: BTreeMap<(&TeamName, &ClassName), BurnRow> = BTreeMap::new();
        for row in reports.into_iter().flat_map(|it| &it.rows) {
            merged
                .entry((&row.team, &row.class))
                .and_modify(|sum| {
                    sum.objective = sum.objective.max(row.objective);
                    sum.short.add(&row.short);
                    sum.long.add(&row.long);
                    sum.alert = BurnAlert::of(&sum.short, &sum.long);
                })
                .or_insert_with(|| row.clone());
        }
        Self::new(merged.into_values().collect())
    }

    /// Writes the report as a table per team and class, per team and per class.
    pub fn to_text(&self) -> String {
        let mut rows = TextTable::new(&[
            "TEAM",
            "CLASS",
            "OBJECTIVE",
            "GOOD 1h",
            "BAD 1h",
            "OVER RATE 1h",
            "BURN 5m",
            "BURN 1h",
            "ALERT",
        ]);
        for row in &self.rows {
            rows.add(vec![
                row.team.to_string(),
                row.class.to_string(),
                row.objective.to_string(),
                row.long.good.to_string(),
                row.long.bad.to_string(),
                row.long.over_rate.to_string(),
                format!("{:.2}", row.short.burn),
                format!("{:.2}", row.long.burn),
                row.alert.as_str().to_owned(),
            ]);
        }
        let mut text = rows.to_text();
        text.push('\n');
        text.push_str(&sum_table("TEAM", &self.teams));
        text.push('\n');
        text.push_str(&sum_table("CLASS", &self.classes));
        text.push('\n');
        match self.teams.iter().find(|it| it.long.total > 0) {
            Some(worst) => text.push_str(&format!(
                "worst-served team: {}, burn rate {:.2} over 5 min and {:.2} over 1 h, alert {}\n",
                worst.name,
                worst.short.burn,
                worst.long.burn,
                worst.alert.as_str()
            )),
            None => text.push_str("worst-served team: none, no requests in the last hour\n"),
        }
        text
    }
}

fn sum_table(heading: &str, sums: &[BurnSummary]) -> String {
    let mut table = TextTable::new(&[heading, "GOOD 1h", "BAD 1h", "BURN 5m", "BURN 1h", "ALERT"]);
    for sum in sums {
        table.add(vec![
            sum.name.clone(),
            sum.long.good.to_string(),
            sum.long.bad.to_string(),
            format!("{:.2}", sum.short.burn),
            format!("{:.2}", sum.long.burn),
            sum.alert.as_str().to_owned(),
        ]);
    }
    table.to_text()
}

/// Adds up rows by name; the highest long burn rate comes first, then the highest short one.
fn summed<'a>(rows: &'a [BurnRow], name: impl Fn(&'a BurnRow) -> &'a str) -> Vec<BurnSummary> {
    let mut sums: BTreeMap<&str, (WindowBurn, WindowBurn)> = BTreeMap::new();
    for row in rows {
        let (short, long) = sums.entry(name(row)).or_default();
        short.add(&row.short);
        long.add(&row.long);
    }
    let mut sums: Vec<BurnSummary> = sums
        .into_iter()
        .map(|(name, (short, long))| BurnSummary {
            name: name.to_owned(),
            short,
            long,
            alert: BurnAlert::of(&short, &long),
        })
        .collect();
    // The sort is stable, so equal burn rates stay ordered by name. A team without good or bad
    // events has a burn rate of 0 and comes after teams with events.
    sums.sort_by(|a, b| {
        let key = |it: &BurnSummary| (it.long.burn, it.short.burn);
        let ((a_long, a_short), (b_long, b_short)) = (key(a), key(b));
        b_long
            .total_cmp(&a_long)
            .then(b_short.total_cmp(&a_short))
            .then((a.long.total == 0).cmp(&(b.long.total == 0)))
    });
    sums
}
