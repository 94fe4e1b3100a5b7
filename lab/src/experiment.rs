//! Many plays: sweeps over seeds and settings, and two sides played in turns.

use crate::checker::Word;
use crate::cli::{code, Failure, Seeds, Values};
use crate::run::RunResources;
use crate::runner::{play, RunResult};
use crate::scenario::{Scenario, Setting};
use crate::stats::{median, ratio, spread};
use crate::table::{number, table};
use std::io::Write;
use std::path::{Path, PathBuf};

/// The word for a play in a table.
fn word(result: &RunResult) -> String {
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

/// All combinations of the values.
fn combinations(sets: &[Values]) -> Vec<Vec<Setting>> {
    sets.iter().fold(vec![Vec::new()], |all, set| {
        let with = |one: &Vec<Setting>, value: &String| {
            let mut one = one.clone();
            one.push(Setting { key: set.key.clone(), value: value.trim().to_string() });
            one
        };
        all.iter().flat_map(|one| set.values.iter().map(move |value| with(one, value))).collect()
    })
}

/// Plays every seed with every combination of values.
pub(crate) async fn sweep(
    path: &Path,
    seeds: &Seeds,
    sets: &[Values],
    csv: Option<&Path>,
    resources: impl Fn(&[Setting]) -> Result<RunResources, Failure>,
) -> Result<u8, Failure> {
    // All are checked before the first is played.
    let mut plays = Vec::new();
    for settings in combinations(sets) {
        plays.push((Scenario::load(path, &settings).map_err(Failure::of_use)?, settings));
    }
    let mut sweep = Sweep { seeds, sets, writer: csv_writer(csv)?, rows: Vec::new(), worst: 0 };
    for (scenario, settings) in &plays {
        sweep.play_settings(scenario, settings, &resources).await?;
    }
    // A line for each figure reads better than a column for each.
    println!("\nmedian (least to most) over {} seeds", seeds.0.len());
    print!("{}", table(&transposed(&sweep.rows)));
    Ok(sweep.worst)
}

/// Writes CSV to a file, or to the standard output.
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

/// A sweep and its results so far.
struct Sweep<'a> {
    seeds: &'a Seeds,
    sets: &'a [Values],
    writer: csv::Writer<Box<dyn Write>>,
    /// The summary: a heading, then a row for each combination of values.
    rows: Vec<Vec<String>>,
    /// The highest exit code of the plays.
    worst: u8,
}

impl Sweep<'_> {
    /// Plays all seeds with one combination of values, and adds its row to the summary.
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
            self.write_play(*seed, settings, &result, &named)?;
            figures.resize(named.len(), Vec::new());
            for ((_, value), values) in named.iter().zip(&mut figures) {
                values.push(*value);
            }
            held += usize::from(result.verdict.word == Word::Held);
            self.worst = self.worst.max(code(&result));
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

    fn write_play(
        &mut self,
        seed: u64,
        settings: &[Setting],
        result: &RunResult,
        named: &[(&'static str, f64)],
    ) -> Result<(), Failure> {
        let mut line: Vec<String> = settings.iter().map(|setting| setting.value.clone()).collect();
        line.extend([seed.to_string(), word(result)]);
        line.extend(named.iter().map(|(_, value)| value.to_string()));
        self.writer.write_record(&line).map_err(csv_failure)?;
        self.writer.flush().map_err(csv_failure)
    }
}

/// The row of one combination of values: the settings, how many plays held, and each figure's median and spread.
fn summary_row(settings: &[Setting], held: String, figures: &[Vec<f64>]) -> Vec<String> {
    let names: Vec<String> =
        settings.iter().map(|setting| format!("{}={}", setting.key, setting.value)).collect();
    let name = if names.is_empty() { "as it stands".into() } else { names.join(" ") };
    let cells = figures.iter().map(|values| {
        let (least, most) = spread(values);
        format!("{} ({} to {})", number(median(values)), number(least), number(most))
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

/// One side of a comparison.
struct Side {
    scenario: Scenario,
    binary: Option<PathBuf>,
}

fn side(path: &Path, text: &str) -> Result<Side, Failure> {
    let binary = Path::new(text);
    if binary.is_file() {
        let binary = std::fs::canonicalize(binary).map_err(|e| Failure::of_use(format!("{text}: {e}")))?;
        let scenario = Scenario::load(path, &[]).map_err(Failure::of_use)?;
        return Ok(Side { scenario, binary: Some(binary) });
    }
    let mut settings = Vec::new();
    for one in text.split(';').filter(|one| !one.trim().is_empty()) {
        let (key, value) = one.split_once('=').ok_or_else(|| {
            Failure::of_use(format!("'{text}': there is no such program, and it is no KEY=VALUE;KEY=VALUE"))
        })?;
        settings.push(Setting { key: key.trim().into(), value: value.trim().into() });
    }
    let scenario = Scenario::load(path, &settings).map_err(Failure::of_use)?;
    Ok(Side { scenario, binary: None })
}

/// Plays both sides in turns and says how the second stands to the first.
pub(crate) async fn compare(
    path: &Path,
    sides: [&String; 2],
    pairs: u32,
    resources: impl Fn(Option<PathBuf>) -> Result<RunResources, Failure>,
) -> Result<u8, Failure> {
    let [first, second] = sides;
    let first = side(path, first)?;
    let second = side(path, second)?;
    let mut plays: Vec<[RunResult; 2]> = Vec::new();
    for pair in 0..u64::from(pairs) {
        let a = play(&first.scenario, first.scenario.seed + pair, &resources(first.binary.clone())?).await?;
        let b =
            play(&second.scenario, second.scenario.seed + pair, &resources(second.binary.clone())?).await?;
        let served = |result: &RunResult| format!("{} {:.4}", word(result), result.verdict.figures.served);
        println!("seed {}: A {}, B {}", a.seed, served(&a), served(&b));
        plays.push([a, b]);
    }
    println!("\nmedians over {pairs} pairs; ratios of B to A");
    print!("{}", table(&comparison_rows(&plays)));
    Ok(plays.iter().flatten().map(code).max().unwrap_or(0))
}

/// A heading and a row for each figure.
fn comparison_rows(plays: &[[RunResult; 2]]) -> Vec<Vec<String>> {
    let heading = ["figure", "A", "B", "B / A by pair", "mean ratio", "95% interval", ""];
    let mut rows = vec![heading.map(String::from).to_vec()];
    let Some([first, _]) = plays.first() else { return rows };
    for (place, (name, _)) in first.verdict.figures.named().into_iter().enumerate() {
        let value = |result: &RunResult| result.verdict.figures.named()[place].1;
        let values: Vec<(f64, f64)> = plays.iter().map(|[a, b]| (value(a), value(b))).collect();
        rows.push(comparison_row(name, &values));
    }
    rows
}

/// The row of one figure; `values` are those of A and B by pair.
fn comparison_row(name: &str, values: &[(f64, f64)]) -> Vec<String> {
    let of_a: Vec<f64> = values.iter().map(|(a, _)| *a).collect();
    let of_b: Vec<f64> = values.iter().map(|(_, b)| *b).collect();
    let mut row = vec![name.to_string(), number(median(&of_a)), number(median(&of_b))];
    let Some(found) = ratio(values) else {
        row.extend(["-", "-", "-", "a value is zero"].map(String::from));
        return row;
    };
    let by_pair: Vec<String> = values.iter().map(|(a, b)| format!("{:.3}", b / a)).collect();
    row.push(by_pair.join(" "));
    row.push(format!("{:.3}", found.mean));
    row.push(format!("{:.3} to {:.3}", found.low, found.high));
    row.push(found.words(values.len()).into());
    row
}
