//! Plain-text tables and the text form of a run's result.

use crate::checker::{Metrics, Verdict, VerdictKind};
use crate::runner::RunResult;
use std::fmt::Write;

/// Number of digits of the plan's digest in the text.
const DIGEST_DIGITS: usize = 16;

/// Formats rows of cells as lines. Columns are as wide as their widest cell; the first is aligned left, others right.
pub fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter().filter_map(|r| r.get(column)).map(|c| c.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (column, cell) in row.iter().enumerate() {
            let padding = " ".repeat(widths[column].saturating_sub(cell.chars().count()));
            match column {
                0 => line.push_str(&format!("{cell}{padding}")),
                _ => line.push_str(&format!("  {padding}{cell}")),
            }
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Returns the result of a run as text for a terminal.
pub fn result(result: &RunResult) -> String {
    let mut text = heading(result);
    text.push_str(&figures(&result.verdict.figures));
    text.push('\n');
    text.push_str(&verdict(&result.verdict));
    text
}

/// Returns the lines on the scenario, its size and its faults.
fn heading(result: &RunResult) -> String {
    let mut text = String::new();
    let [gateways, backends, customers] = result.sizes;
    // Writing to a `String` never fails, here and below.
    let _ = writeln!(text, "{}, seed {}: {}", result.scenario, result.seed, result.about.trim());
    let _ = writeln!(
        text,
        "{gateways} gateways, {backends} backends, {customers} customers, {} s; plan {}",
        result.length_s,
        &result.digest[..DIGEST_DIGITS]
    );
    for band in &result.faults {
        let _ = writeln!(text, "  {:6.1} to {:5.1} s  {}", band.from_s, band.to_s, band.name);
    }
    text
}

/// Returns the metrics as a table, and the served fractions by plan, class and zone.
fn figures(figures: &Metrics) -> String {
    let mut text = String::new();
    let named = figures.named().into_iter();
    let mut rows: Vec<Vec<String>> =
        named.map(|(name, value)| vec![name.to_string(), format_metric(value)]).collect();
    rows.push(vec!["memory_mb (maximum)".into(), format_metric(figures.memory_mb)]);
    rows.push(vec!["descriptors (maximum)".into(), figures.descriptors.to_string()]);
    rows.push(vec![
        "load generator delay p50, p99 (ms)".into(),
        format!("{:.2}, {:.2}", figures.late_p50_ms, figures.late_p99_ms),
    ]);
    let _ =
        write!(text, "\n{} requests, {} client attempts\n{}", figures.requests, figures.tries, table(&rows));
    let groups = [("plan", &figures.plans), ("class", &figures.classes), ("zone", &figures.zones)];
    for (grouping, rows) in groups {
        let served: Vec<String> = rows.iter().map(|row| format!("{} {:.3}", row.name, row.served)).collect();
        let _ = writeln!(text, "served by {grouping}: {}", served.join(", "));
    }
    text
}

/// Returns the broken rules, missed expectations, request histories and reasons why the run is not valid, then the
/// verdict.
fn verdict(verdict: &Verdict) -> String {
    let mut text = String::new();
    for broken in &verdict.broken {
        let _ = writeln!(text, "RULE BROKEN {:?}, {} times", broken.rule, broken.count);
        for case in &broken.cases {
            let _ = writeln!(text, "  {case}");
        }
    }
    for missed in &verdict.missed {
        let _ = writeln!(text, "EXPECTATION MISSED {missed}");
    }
    for history in &verdict.stories {
        let _ = writeln!(text, "{history}");
    }
    for reason in &verdict.doubts {
        let _ = writeln!(text, "NOT VALID {reason}");
    }
    let word = match verdict.word {
        VerdictKind::Held => "held",
        VerdictKind::Failed => "failed",
        VerdictKind::NotValid => "not valid",
    };
    let _ = writeln!(text, "verdict: {word}");
    text
}

/// Formats a metric with three decimals, from 10 on with one and from 100 on with none.
pub fn format_metric(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.3}"),
    }
}

/// Returns the header of the rows of a soak.
pub fn soak_header() -> String {
    "seed   MB  fds  crowd  requests  served   peak MB  peak fds  broken  steps and kinds".into()
}

/// Returns the row of one play of a soak.
pub fn soak_row(result: &crate::soak::SoakResult) -> String {
    let plan = &result.plan;
    let steps: Vec<String> =
        plan.steps.iter().map(|(at, step)| format!("{:.1} {step:?}", at.as_secs_f64())).collect();
    format!(
        "{:4} {:4} {:4} {:6} {:9} {:7} {:9.1} {:9} {:7}  {} {:?}",
        plan.seed,
        plan.memory_mb,
        plan.sockets,
        plan.crowd,
        result.requests,
        result.served,
        result.peak_memory as f64 / 1e6,
        result.peak_descriptors,
        result.violations.len(),
        steps.join(", "),
        plan.crowd_kinds
    )
}
