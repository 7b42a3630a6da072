//! Service-level objectives: how fast each team uses up its error budget.

mod report;
mod table;
mod tracker;

pub use self::{
    report::{
        BurnAlert, BurnReport, BurnRow, BurnSummary, LONG_WINDOW, PAGE_BURN_RATE, SHORT_WINDOW,
        TICKET_BURN_RATE, WindowBurn,
    },
    table::TextTable,
    tracker::{BurnTracker, SloEvent},
};
