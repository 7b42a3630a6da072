//! Service-level objectives: how fast each team uses up its error budget.

mod report;
mod table;
mod tracker;

pub use self::{
    report::{
        BurnAlert, BurnReport, BurnRow, LONG_WINDOW, PAGE_BURN, SHORT_WINDOW, ServiceBurn,
        TICKET_BURN, WindowBurn,
    },
    table::TextTable,
    tracker::{BurnTracker, ServiceEvent},
};
