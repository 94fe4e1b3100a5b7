//! Plain tables and the text of a run's result.

use crate::checker::{Metrics, Verdict, Word};
use crate::runner::RunResult;
use std::fmt::Write;

/// Digits of the plan's digest that the text shows.
const DIGEST_DIGITS: usize = 16;

/// Lines of cells, columns as wide as their widest cell; the first column to the left, others to the right.
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
            let pad = " ".repeat(widths[column].saturating_sub(cell.chars().count()));
            match column {
                0 => line.push_str(&format!("{cell}{pad}")),
                _ => line.push_str(&format!("  {pad}{cell}")),
            }
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// The result of a run as a person reads it.
pub fn result(result: &RunResult) -> String {
    let mut text = heading(result);
    text.push_str(&figures(&result.verdict.figures));
    text.push('\n');
    text.push_str(&verdict(&result.verdict));
    text
}

/// The scenario, its sizes and its faults.
fn heading(result: &RunResult) -> String {
    let mut text = String::new();
    let [gateways, backends, customers] = result.sizes;
    // Writing to a string never fails; the same holds below.
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

/// The figures as a table, and the served fractions by plan, class and zone.
fn figures(figures: &Metrics) -> String {
    let mut text = String::new();
    let named = figures.named().into_iter();
    let mut rows: Vec<Vec<String>> =
        named.map(|(name, value)| vec![name.to_string(), number(value)]).collect();
    rows.push(vec!["memory_mb (most)".into(), number(figures.memory_mb)]);
    rows.push(vec!["descriptors (most)".into(), figures.descriptors.to_string()]);
    rows.push(vec![
        "generator late p50, p99 ms".into(),
        format!("{:.2}, {:.2}", figures.late_p50_ms, figures.late_p99_ms),
    ]);
    let _ = write!(text, "\n{} requests, {} tries\n{}", figures.requests, figures.tries, table(&rows));
    let groups = [("plan", &figures.plans), ("class", &figures.classes), ("zone", &figures.zones)];
    for (what, rows) in groups {
        let served: Vec<String> = rows.iter().map(|row| format!("{} {:.3}", row.name, row.served)).collect();
        let _ = writeln!(text, "served by {what}: {}", served.join(", "));
    }
    text
}

/// Broken rules, missed bounds, stories and doubts, then the verdict.
fn verdict(verdict: &Verdict) -> String {
    let mut text = String::new();
    for broken in &verdict.broken {
        let _ = writeln!(text, "RULE BROKEN {:?}, {} times", broken.rule, broken.count);
        for case in &broken.cases {
            let _ = writeln!(text, "  {case}");
        }
    }
    for missed in &verdict.missed {
        let _ = writeln!(text, "EXPECTED OTHERWISE {missed}");
    }
    for story in &verdict.stories {
        let _ = writeln!(text, "{story}");
    }
    for doubt in &verdict.doubts {
        let _ = writeln!(text, "NOT VALID {doubt}");
    }
    let word = match verdict.word {
        Word::Held => "held",
        Word::Failed => "failed",
        Word::NotValid => "not valid",
    };
    let _ = writeln!(text, "verdict: {word}");
    text
}

/// A figure with as many digits as say something.
pub fn number(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.3}"),
    }
}
