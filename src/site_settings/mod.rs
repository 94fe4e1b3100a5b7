//! Settings of a site by their dotted names, read by both the simulator adapter and the proxy. The adapter finds them
//! on a line of its protocol; the proxy flattens its JSON to the same form.

mod fields;
mod json;
mod keys;
mod load_metrics;
mod site;

pub use fields::FieldError;
pub(crate) use fields::{Fields, Result};
pub(crate) use json::flatten;
pub(crate) use load_metrics::set_load_metric;
pub(crate) use site::Site;
