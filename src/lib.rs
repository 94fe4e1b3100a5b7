#![doc = include_str!("../README.md")]
#![deny(unsafe_code)]
#![warn(
    missing_docs,
    clippy::cast_possible_wrap,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::wildcard_imports
)]

pub mod cluster;
pub mod decision;
pub mod proxy;
pub mod simulator;
mod site_settings;

#[cfg(test)]
#[path = "../tests/common/fixture.rs"]
mod fixture;
