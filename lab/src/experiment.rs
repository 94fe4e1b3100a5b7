//! Experiments of many runs: sweeps over seeds and settings, and comparisons of two builds or settings.

use crate::checker::Word;
use crate::cli::{code, Failure, Seeds, Values};
use crate::run::RunResources;
use crate::runner::{play, RunResult};
use crate::scenario::{Scenario, Setting};
use crate::stats::{median, ratio, spread};
use crate::table::{format_metric, table};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Returns the verdict on a run as one word or the broken rules, for a table or CSV.
fn verdict_label(result: &RunResult) -> String {
    match result.verdict.word {
        Word::Held => "held".into(),
        Word::NotValid => "not valid".into(),
        Word::Failed => {
            let rules: Vec<String> = result.verdict.broken.iter().map(|b| format!("{:?}", b.rule)).collect();
            if rules.is_empty() {
                "missed".into()
            } else {
                rules.join("+")
            }
        }
    }
}

/// Returns all combinations of the values.
fn combinations(sets: &[Values]) -> Vec<Vec<Setting>> {
    sets.iter().fold(vec![Vec::new()], |all, set| {
        let with_value = |settings: &Vec<Setting>, value: &String| {
            let mut settings = settings.clone();
            settings.push(Setting { key: set.key.clone(), value: value.trim().to_string() });
            settings
        };
        all.iter()
            .flat_map(|settings| set.values.iter().map(move |value| with_value(settings, value)))
            .collect()
    })
}

/// Runs every seed with every combination of values; returns the highest exit code of the runs.
pub(crate) async fn sweep(
    path: &Path,
    seeds: &Seeds,
    sets: &[Values],
    csv: Option<&Path>,
    resources: impl Fn(&[Setting]) -> Result<RunResources, Failure>,
) -> Result<u8, Failure> {
    // All scenarios are loaded, and so checked, before the first run.
    let mut runs = Vec::new();
    for settings in combinations(sets) {
        runs.push((Scenario::load(path, &settings).map_err(Failure::of_use)?, settings));
    }
    let mut sweep = Sweep { seeds, sets, writer: csv_writer(csv)?, rows: Vec::new(), highest_code: 0 };
    for (scenario, settings) in &runs {
        sweep.play_settings(scenario, settings, &resources).await?;
    }
    // One line per metric is easier to read than one column per metric.
    println!("\nmedian (minimum to maximum) over {} seeds", seeds.0.len());
    print!("{}", table(&transposed(&sweep.rows)));
    Ok(sweep.highest_code)
}

/// Returns a CSV writer to a file or, without a path, to the standard output.
fn csv_writer(path: Option<&Path>) -> Result<csv::Writer<Box<dyn Write>>, Failure> {
    let out: Box<dyn Write> = match path {
        Some(path) => Box::new(std::fs::File::create(path).map_err(csv_failure)?),
        None => Box::new(std::io::stdout()),
    };
    Ok(csv::Writer::from_writer(out))
}

fn csv_failure(error: impl std::fmt::Display) -> Failure {
    Failure { text: format!("CSV: {error}"), code: 1 }
}

/// State of a sweep.
struct Sweep<'a> {
    seeds: &'a Seeds,
    sets: &'a [Values],
    writer: csv::Writer<Box<dyn Write>>,
    /// Rows of the summary: a heading, then one row for each combination of values.
    rows: Vec<Vec<String>>,
    /// Highest exit code of the runs so far.
    highest_code: u8,
}

impl Sweep<'_> {
    /// Runs all seeds with one combination of values and adds its row to the summary.
    async fn play_settings(
        &mut self,
        scenario: &Scenario,
        settings: &[Setting],
        resources: &impl Fn(&[Setting]) -> Result<RunResources, Failure>,
    ) -> Result<(), Failure> {
        let mut figures: Vec<Vec<f64>> = Vec::new();
        let mut held = 0;
        for seed in &self.seeds.0 {
            let result = play(scenario, *seed, &resources(settings)?).await?;
            let named = result.verdict.figures.named();
            if self.rows.is_empty() {
                self.write_headings(&named)?;
            }
            self.write_run(*seed, settings, &result, &named)?;
            figures.resize(named.len(), Vec::new());
            for ((_, value), values) in named.iter().zip(&mut figures) {
                values.push(*value);
            }
            held += usize::from(result.verdict.word == Word::Held);
            self.highest_code = self.highest_code.max(code(&result));
        }
        let held = format!("{held}/{}", self.seeds.0.len());
        self.rows.push(summary_row(settings, held, &figures));
        Ok(())
    }

    fn write_headings(&mut self, named: &[(&'static str, f64)]) -> Result<(), Failure> {
        let names: Vec<String> = named.iter().map(|(name, _)| name.to_string()).collect();
        let mut heading: Vec<String> = self.sets.iter().map(|set| set.key.clone()).collect();
        heading.extend(["seed".into(), "verdict".into()]);
        heading.extend(names.clone());
        self.writer.write_record(&heading).map_err(csv_failure)?;
        let mut summary_heading: Vec<String> = vec!["settings".into(), "held".into()];
        summary_heading.extend(names);
        self.rows.push(summary_heading);
        Ok(())
    }

    fn write_run(
        &mut self,
        seed: u64,
        settings: &[Setting],
        result: &RunResult,
        named: &[(&'static str, f64)],
    ) -> Result<(), Failure> {
        let mut line: Vec<String> = settings.iter().map(|setting| setting.value.clone()).collect();
        line.extend([seed.to_string(), verdict_label(result)]);
        line.extend(named.iter().map(|(_, value)| value.to_string()));
        self.writer.write_record(&line).map_err(csv_failure)?;
        self.writer.flush().map_err(csv_failure)
    }
}

/// Returns the row of one combination of values: the settings, the number of runs that held, and the median and range
/// of each metric.
fn summary_row(settings: &[Setting], held: String, figures: &[Vec<f64>]) -> Vec<String> {
    let names: Vec<String> =
        settings.iter().map(|setting| format!("{}={}", setting.key, setting.value)).collect();
    let name = if names.is_empty() { "no settings changed".into() } else { names.join(" ") };
    let cells = figures.iter().map(|values| {
        let (minimum, maximum) = spread(values);
        format!(
            "{} ({} to {})",
            format_metric(median(values)),
            format_metric(minimum),
            format_metric(maximum)
        )
    });
    let mut row = vec![name, held];
    row.extend(cells);
    row
}

/// Swaps rows and columns.
fn transposed(rows: &[Vec<String>]) -> Vec<Vec<String>> {
    let columns = rows.first().map_or(0, Vec::len);
    (0..columns).map(|column| rows.iter().filter_map(|row| row.get(column).cloned()).collect()).collect()
}

/// One of the two sides of a comparison.
struct Side {
    scenario: Scenario,
    binary: Option<PathBuf>,
}

fn parse_side(path: &Path, text: &str) -> Result<Side, Failure> {
    let binary = Path::new(text);
    if binary.is_file() {
        let binary = std::fs::canonicalize(binary).map_err(|e| Failure::of_use(format!("{text}: {e}")))?;
        let scenario = Scenario::load(path, &[]).map_err(Failure::of_use)?;
        return Ok(Side { scenario, binary: Some(binary) });
    }
    let mut settings = Vec::new();
    for setting in text.split(';').filter(|setting| !setting.trim().is_empty()) {
        let (key, value) = setting.split_once('=').ok_or_else(|| {
            Failure::of_use(format!(
                "'{text}' is neither an existing program nor settings of the form KEY=VALUE;KEY=VALUE"
            ))
        })?;
        settings.push(Setting { key: key.trim().into(), value: value.trim().into() });
    }
    let scenario = Scenario::load(path, &settings).map_err(Failure::of_use)?;
    Ok(Side { scenario, binary: None })
}

/// Runs both sides alternately and prints the ratios of the second to the first; returns the highest exit code of the
/// runs.
pub(crate) async fn compare(
    path: &Path,
    sides: [&String; 2],
    pairs: u32,
    resources: impl Fn(Option<PathBuf>) -> Result<RunResources, Failure>,
) -> Result<u8, Failure> {
    let [first, second] = sides;
    let first = parse_side(path, first)?;
    let second = parse_side(path, second)?;
    let mut runs: Vec<[RunResult; 2]> = Vec::new();
    for pair in 0..u64::from(pairs) {
        let a = play(&first.scenario, first.scenario.seed + pair, &resources(first.binary.clone())?).await?;
        let b =
            play(&second.scenario, second.scenario.seed + pair, &resources(second.binary.clone())?).await?;
        let served =
            |result: &RunResult| format!("{} {:.4}", verdict_label(result), result.verdict.figures.served);
        println!("seed {}: A {}, B {}", a.seed, served(&a), served(&b));
        runs.push([a, b]);
    }
    println!("\nmedians over {pairs} pairs; ratios of B to A");
    print!("{}", table(&comparison_rows(&runs)));
    Ok(runs.iter().flatten().map(code).max().unwrap_or(0))
}

/// Returns a heading and one row for each metric.
fn comparison_rows(runs: &[[RunResult; 2]]) -> Vec<Vec<String>> {
    let heading = ["figure", "A", "B", "B / A by pair", "mean ratio", "95% interval", ""];
    let mut rows = vec![heading.map(String::from).to_vec()];
    let Some([first, _]) = runs.first() else { return rows };
    for (index, (name, _)) in first.verdict.figures.named().into_iter().enumerate() {
        let value = |result: &RunResult| result.verdict.figures.named()[index].1;
        let values: Vec<(f64, f64)> = runs.iter().map(|[a, b]| (value(a), value(b))).collect();
        rows.push(comparison_row(name, &values));
    }
    rows
}

/// Returns the row of one metric; `values` are those of A and B for each pair.
fn comparison_row(name: &str, values: &[(f64, f64)]) -> Vec<String> {
    let values_a: Vec<f64> = values.iter().map(|(a, _)| *a).collect();
    let values_b: Vec<f64> = values.iter().map(|(_, b)| *b).collect();
    let mut row = vec![name.to_string(), format_metric(median(&values_a)), format_metric(median(&values_b))];
    let Some(ratio_of_b_to_a) = ratio(values) else {
        row.extend(["-", "-", "-", "a value is not above zero"].map(String::from));
        return row;
    };
    let by_pair: Vec<String> = values.iter().map(|(a, b)| format!("{:.3}", b / a)).collect();
    row.push(by_pair.join(" "));
    row.push(format!("{:.3}", ratio_of_b_to_a.mean));
    row.push(format!("{:.3} to {:.3}", ratio_of_b_to_a.low, ratio_of_b_to_a.high));
    row.push(ratio_of_b_to_a.conclusion(values.len()).into());
    row
}
