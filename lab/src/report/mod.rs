//! Report of a run as one self-contained HTML page: verdict, plots as SVG, and tables.

mod plots;

use crate::checker::Word;
use crate::runner::RunResult;
use crate::table::format_metric;
use std::fmt::Write;
use std::io;
use std::path::{Path, PathBuf};

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;max-width:960px;margin:2em auto;padding:0 1em;color:#222}
h1{font-size:1.5em;margin-bottom:.2em}h2{font-size:1.1em;margin:1.6em 0 .3em}p{margin:.4em 0}
table{border-collapse:collapse;font-variant-numeric:tabular-nums}td,th{padding:.15em .9em .15em 0;text-align:left;vertical-align:top}
td.n{text-align:right}.cols{display:flex;flex-wrap:wrap;gap:0 3em}svg{max-width:100%;height:auto}
.held{color:#0a6b2d}.failed{color:#b00020}.not-valid{color:#8a5a00}.small{color:#666;font-size:.87em}
ul{margin:.2em 0;padding-left:1.3em}";

/// Writes the report of a run into a folder and returns the path of its file.
pub fn write(result: &RunResult, folder: &Path) -> io::Result<PathBuf> {
    std::fs::create_dir_all(folder)?;
    let path = folder.join(format!("{}-{}.html", result.scenario, result.seed));
    std::fs::write(&path, page(result).map_err(io::Error::other)?)?;
    Ok(path)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Returns the report of a run as HTML.
pub fn page(result: &RunResult) -> Result<String, plots::PlotError> {
    let mut page = String::new();
    // Writing to a `String` never fails.
    let _ = head(&mut page, result);
    for (title, plot) in plots::all(result)? {
        let _ = writeln!(page, "<h2>{}</h2>\n{plot}", escaped(&title));
    }
    let _ = tables(&mut page, result);
    page.push_str("</body></html>\n");
    Ok(page)
}

fn head(page: &mut String, result: &RunResult) -> std::fmt::Result {
    let verdict = &result.verdict;
    let (class, word) = match verdict.word {
        Word::Held => ("held", "held"),
        Word::Failed => ("failed", "failed"),
        Word::NotValid => ("not-valid", "not valid"),
    };
    let name = escaped(&result.scenario);
    let [gateways, backends, customers] = result.sizes;
    write!(
        page,
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{name}, seed {}</title>\
         <style>{STYLE}</style></head><body>\n<h1>{name}: <span class=\"{class}\">{word}</span></h1>\n<p>{}</p>\n\
         <p class=\"small\">seed {}, {gateways} gateways, {backends} backends, {customers} customers, {} s, plan {}</p>\n",
        result.seed,
        escaped(result.about.trim()),
        result.seed,
        result.length_s,
        &result.digest,
    )?;
    let list = |page: &mut String, title: &str, items: Vec<String>| -> std::fmt::Result {
        if items.is_empty() {
            return Ok(());
        }
        let items: Vec<String> = items.iter().map(|item| format!("<li>{}</li>", escaped(item))).collect();
        writeln!(page, "<p class=\"{class}\"><b>{title}</b></p><ul>{}</ul>", items.concat())
    };
    let violation_text = |violation: &crate::checker::RuleViolation| {
        format!("{:?}, {} times: {}", violation.rule, violation.count, violation.cases.join("; "))
    };
    list(page, "Rules broken", verdict.broken.iter().map(violation_text).collect())?;
    list(page, "Expectations missed", verdict.missed.clone())?;
    list(page, "Not valid", verdict.doubts.clone())
}

fn tables(page: &mut String, result: &RunResult) -> std::fmt::Result {
    let figures = &result.verdict.figures;
    let row = |name: &str, value: &str| {
        format!("<tr><td>{}</td><td class=\"n\">{}</td></tr>", escaped(name), escaped(value))
    };
    let mut rows: Vec<String> =
        figures.named().iter().map(|(name, value)| row(name, &format_metric(*value))).collect();
    rows.push(row("memory_mb (maximum)", &format_metric(figures.memory_mb)));
    rows.push(row("descriptors (maximum)", &figures.descriptors.to_string()));
    let delay = format!("{:.2}, {:.2} ms", figures.late_p50_ms, figures.late_p99_ms);
    rows.push(row("load generator delay p50, p99", &delay));
    write!(page, "<h2>Metrics</h2>\n<div class=\"cols\"><table>{}</table>\n<table>", rows.concat())?;
    for (grouping, rows) in [("plan", &figures.plans), ("class", &figures.classes), ("zone", &figures.zones)]
    {
        write!(page, "<tr><th colspan=\"2\">served by {grouping}</th></tr>")?;
        for served_by_name in rows {
            write!(page, "{}", row(&served_by_name.name, &format!("{:.3}", served_by_name.served)))?;
        }
    }
    let faults: Vec<String> = result
        .faults
        .iter()
        .map(|band| row(&band.name, &format!("{:.1} to {:.1} s", band.from_s, band.to_s)))
        .collect();
    writeln!(page, "</table>\n<table><tr><th colspan=\"2\">faults</th></tr>{}</table></div>", faults.concat())
}
