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
    let failed = |error: &dyn std::fmt::Display| Failure { text: format!("CSV: {error}"), code: 1 };
    let out: Box<dyn Write> = match csv {
        Some(path) => Box::new(std::fs::File::create(path).map_err(|e| failed(&e))?),
        None => Box::new(std::io::stdout()),
    };
    let mut writer = csv::Writer::from_writer(out);
    let mut rows: Vec<Vec<String>> = Vec::new();
    let mut worst = 0;
    for (scenario, settings) in &plays {
        let mut figures: Vec<Vec<f64>> = Vec::new();
        let mut held = 0;
        for seed in &seeds.0 {
            let result = play(scenario, *seed, &resources(settings)?).await?;
            let named = result.verdict.figures.named();
            if figures.is_empty() {
                figures = vec![Vec::new(); named.len()];
            }
            if rows.is_empty() {
                let names = named.iter().map(|(name, _)| name.to_string());
                let keys = sets.iter().map(|set| set.key.clone());
                let head: Vec<String> =
                    keys.chain(["seed".into(), "verdict".into()]).chain(names.clone()).collect();
                writer.write_record(&head).map_err(|e| failed(&e))?;
                rows.push(["settings".into(), "held".into()].into_iter().chain(names).collect());
            }
            let values = settings.iter().map(|s| s.value.clone()).chain([seed.to_string(), word(&result)]);
            let line: Vec<String> = values.chain(named.iter().map(|(_, v)| v.to_string())).collect();
            writer.write_record(&line).map_err(|e| failed(&e))?;
            writer.flush().map_err(|e| failed(&e))?;
            named.iter().zip(&mut figures).for_each(|((_, value), all)| all.push(*value));
            held += usize::from(result.verdict.word == Word::Held);
            worst = worst.max(code(&result));
        }
        let name: Vec<String> = settings.iter().map(|s| format!("{}={}", s.key, s.value)).collect();
        let cells = figures.iter().map(|all| {
            let (least, most) = spread(all);
            format!("{} ({} to {})", number(median(all)), number(least), number(most))
        });
        let first = if name.is_empty() { "as it stands".into() } else { name.join(" ") };
        rows.push([first, format!("{held}/{}", seeds.0.len())].into_iter().chain(cells).collect());
    }
    // A line for each figure reads better than a column for each.
    println!("\nmedian (least to most) over {} seeds", seeds.0.len());
    print!("{}", table(&transposed(&rows)));
    Ok(worst)
}

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
    let [a, b] = sides;
    let (a, b) = (side(path, a)?, side(path, b)?);
    let mut plays: Vec<[RunResult; 2]> = Vec::new();
    for pair in 0..u64::from(pairs) {
        let one = play(&a.scenario, a.scenario.seed + pair, &resources(a.binary.clone())?).await?;
        let other = play(&b.scenario, b.scenario.seed + pair, &resources(b.binary.clone())?).await?;
        let served = |result: &RunResult| format!("{} {:.4}", word(result), result.verdict.figures.served);
        println!("seed {}: A {}, B {}", one.seed, served(&one), served(&other));
        plays.push([one, other]);
    }
    let mut rows = vec![["figure", "A", "B", "B / A by pair", "mean ratio", "95% interval", ""]
        .map(String::from)
        .to_vec()];
    let names: Vec<&str> = plays
        .first()
        .map(|p| p[0].verdict.figures.named())
        .unwrap_or_default()
        .iter()
        .map(|(n, _)| *n)
        .collect();
    for (place, name) in names.iter().enumerate() {
        let value = |result: &RunResult| result.verdict.figures.named()[place].1;
        let values: Vec<(f64, f64)> = plays.iter().map(|[a, b]| (value(a), value(b))).collect();
        let side =
            |pick: fn(&(f64, f64)) -> f64| number(median(&values.iter().map(pick).collect::<Vec<f64>>()));
        let mut row = vec![name.to_string(), side(|v| v.0), side(|v| v.1)];
        match ratio(&values) {
            Some(found) => {
                let each: Vec<String> = values.iter().map(|(a, b)| format!("{:.3}", b / a)).collect();
                let words = found.words(values.len());
                row.extend([
                    each.join(" "),
                    format!("{:.3}", found.mean),
                    format!("{:.3} to {:.3}", found.low, found.high),
                    words.into(),
                ]);
            }
            None => row.extend(["-".into(), "-".into(), "-".into(), "a value is zero".into()]),
        }
        rows.push(row);
    }
    println!("\nmedians over {pairs} pairs; ratios of B to A");
    print!("{}", table(&rows));
    Ok(plays.iter().flatten().map(code).max().unwrap_or(0))
}
