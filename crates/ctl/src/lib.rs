//! The operator's tool: checks, plans, applies and follows declarations.

pub mod apply;
pub mod audit;
pub mod change;
pub mod check;
pub mod cli;
pub mod client;
pub mod command;
pub mod drain;
pub mod error;
pub mod exit;
pub mod files;
pub mod history;
pub mod operation;
pub mod outcome;
pub mod plan;
pub mod platform;
pub mod progress;
pub mod report;
pub mod run;
pub mod settings;
pub mod status;
pub mod table;
pub mod view;
pub mod viewer;
pub mod wait;
