//! The command line: what a user asks for, and the exit code: 0 held, 1 a rule broken or an expectation missed,
//! or a run that says nothing, 2 bad use.

use crate::checker::Word;
use crate::run::RunResources;
use crate::runner::{play, RunError, RunResult};
use crate::scenario::{Scenario, Setting};
use crate::{experiment, interactive, report, table};
use clap::{Args, Parser, Subcommand};
use std::path::{Path, PathBuf};

/// Plays a fleet of gateway processes between stand-ins for everything round them, with faults between them, and
/// judges what they did.
///
/// Begin with `quota-gateway-lab up`, which starts a small fleet to try by hand, or with
/// `quota-gateway-lab run lab/scenarios/calm.toml`.
///
/// Exit codes: 0 all held; 1 a rule was broken, an expectation was missed, or the run is not valid; 2 bad use.
#[derive(Debug, Parser)]
#[command(name = "quota-gateway-lab", version, max_term_width = 100)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play a scenario once and judge it.
    Run(Run),
    /// Play a scenario with many seeds and settings: CSV, and a table of medians with spread.
    Sweep(Sweep),
    /// Play two builds or settings in turns, A B A B, and say whether they differ.
    Compare(Compare),
    /// Start stand-ins and a few gateways that stay until Ctrl-C, to try by hand.
    Up(Up),
    /// Measure the gateways' membership under virtual time at several sizes of the fleet: a table.
    Members(Members),
    /// Say everything that is wrong with a scenario, without playing it.
    Check {
        /// The scenario files.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
    },
}

#[derive(Debug, Args)]
struct Common {
    /// The gateway's program [default: `quota-gateway` beside this program, else target/release/quota-gateway].
    #[arg(long, value_name = "BIN")]
    gateway: Option<PathBuf>,
    /// The program of the gateways that `gateways.second` names: two builds in one fleet.
    #[arg(long, value_name = "BIN")]
    second: Option<PathBuf>,
    /// Where configurations and logs are kept [default: a folder of the system's temporary one].
    #[arg(long, value_name = "DIR")]
    logs: Option<PathBuf>,
}

#[derive(Debug, Args)]
struct Run {
    /// The scenario file.
    scenario: PathBuf,
    /// The seed of every choice [default: the scenario's].
    #[arg(long)]
    seed: Option<u64>,
    /// Replace a value of the scenario, as in `gateways.count=40`; may be given again.
    #[arg(long, value_name = "KEY=VALUE", value_parser = setting)]
    set: Vec<Setting>,
    /// Judge by the rules alone: neither expectations nor a late generator change the exit code. For machines that
    /// do other work as well.
    #[arg(long)]
    rules_only: bool,
    /// Write the result as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write one page of HTML with plots into this folder.
    #[arg(long, value_name = "DIR")]
    report: Option<PathBuf>,
    #[command(flatten)]
    common: Common,
}

#[derive(Debug, Args)]
struct Sweep {
    /// The scenario file.
    scenario: PathBuf,
    /// Seeds: `1..8` (both ends count) or `1,5,9`.
    #[arg(long, value_parser = seeds, default_value = "1..3")]
    seeds: Seeds,
    /// Values to try, as in `load.per_s=100,200`; given again, all combinations.
    #[arg(long, value_name = "KEY=A,B,C", value_parser = values)]
    set: Vec<Values>,
    /// Write every play as a line of CSV [default: to standard output, before the table].
    #[arg(long, value_name = "FILE")]
    csv: Option<PathBuf>,
    #[command(flatten)]
    common: Common,
}

#[derive(Debug, Args)]
struct Compare {
    /// The scenario file.
    scenario: PathBuf,
    /// One side: a gateway's program, or settings as in `gateways.peers=true;load.per_s=50`.
    #[arg(long, value_name = "BIN_OR_SETTINGS")]
    a: String,
    /// The other side.
    #[arg(long, value_name = "BIN_OR_SETTINGS")]
    b: String,
    /// Pairs of plays, six at least for a word on a difference; pair n has the scenario's seed plus n - 1.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=1000))]
    pairs: u32,
    #[command(flatten)]
    common: Common,
}

#[derive(Debug, Args)]
struct Up {
    /// How many gateways.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=40))]
    gateways: u16,
    /// How many backends.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=80))]
    backends: u16,
    #[command(flatten)]
    common: Common,
}

#[derive(Debug, Args)]
struct Members {
    /// Sizes of the fleet.
    #[arg(long, value_delimiter = ',', default_value = "10,30,100", value_name = "N,N")]
    sizes: Vec<usize>,
    /// Plays of each size, with the seeds 1, 2, and so on.
    #[arg(long, default_value_t = 3)]
    plays: u64,
    /// Deaths in each play.
    #[arg(long, default_value_t = 10)]
    deaths: usize,
    /// Leave out the ten minutes of loss and pauses.
    #[arg(long)]
    no_storm: bool,
}

/// Seeds of a sweep.
#[derive(Debug, Clone)]
pub struct Seeds(pub Vec<u64>);

/// Values of one key.
#[derive(Debug, Clone)]
pub struct Values {
    /// The key.
    pub key: String,
    /// Its values.
    pub values: Vec<String>,
}

fn setting(text: &str) -> Result<Setting, String> {
    let (key, value) = text.split_once('=').ok_or("expected KEY=VALUE")?;
    Ok(Setting { key: key.trim().into(), value: value.trim().into() })
}

fn values(text: &str) -> Result<Values, String> {
    let Setting { key, value } = setting(text)?;
    // Commas within brackets belong to one value.
    let (mut values, mut depth, mut one) = (Vec::new(), 0, String::new());
    for c in value.chars() {
        match c {
            '[' => depth += 1,
            ']' => depth -= 1,
            _ => {}
        }
        if c == ',' && depth == 0 {
            values.push(std::mem::take(&mut one));
        } else {
            one.push(c);
        }
    }
    values.push(one);
    Ok(Values { key, values })
}

fn seeds(text: &str) -> Result<Seeds, String> {
    let wrong = || format!("expected 1..8 or 1,5,9, found '{text}'");
    let list: Vec<u64> = match text.split_once("..") {
        Some((from, to)) => {
            let (from, to): (u64, u64) =
                (from.parse().map_err(|_| wrong())?, to.parse().map_err(|_| wrong())?);
            if to < from || to - from >= 10_000 {
                return Err(wrong());
            }
            (from..=to).collect()
        }
        None => {
            text.split(',').map(|one| one.trim().parse().map_err(|_| wrong())).collect::<Result<_, _>>()?
        }
    };
    Ok(Seeds(list))
}

/// What could not be done; `use_error`: by the user's words.
pub(crate) struct Failure {
    pub(crate) text: String,
    pub(crate) code: u8,
}

impl Failure {
    /// The user asked for what can't be.
    pub(crate) fn of_use(text: impl ToString) -> Failure {
        Failure { text: text.to_string(), code: 2 }
    }
}

impl From<RunError> for Failure {
    fn from(error: RunError) -> Failure {
        let code = if matches!(error, RunError::Stopped) { 130 } else { 1 };
        Failure { text: error.to_string(), code }
    }
}

/// Does what the command line asks for; returns the exit code.
pub async fn main(cli: Cli) -> u8 {
    let done = match cli.command {
        Command::Run(run) => one_run(run).await,
        Command::Sweep(sweep) => {
            experiment::sweep(&sweep.scenario, &sweep.seeds, &sweep.set, sweep.csv.as_deref(), |_| {
                resources(&sweep.common)
            })
            .await
        }
        Command::Compare(compare) => {
            let binary = |binary: Option<PathBuf>| {
                let resources = resources(&compare.common)?;
                Ok(RunResources { binary: binary.unwrap_or(resources.binary), ..resources })
            };
            experiment::compare(&compare.scenario, [&compare.a, &compare.b], compare.pairs, binary).await
        }
        Command::Up(up) => match resources(&up.common) {
            Ok(resources) => interactive::up(up.gateways.into(), up.backends.into(), &resources).await,
            Err(failure) => Err(failure),
        },
        Command::Members(m) => {
            print!("{}", crate::members::measure::table(&m.sizes, m.plays, m.deaths, !m.no_storm));
            Ok(0)
        }
        Command::Check { scenarios } => Ok(check(&scenarios)),
    };
    done.unwrap_or_else(|failure| {
        eprintln!("quota-gateway-lab: {}", failure.text);
        failure.code
    })
}

fn check(scenarios: &[PathBuf]) -> u8 {
    let mut code = 0;
    for path in scenarios {
        match Scenario::load(path, &[]) {
            Ok(scenario) => println!("{}: {}: good", path.display(), scenario.name),
            Err(problems) => {
                eprintln!("{problems}");
                code = 2;
            }
        }
    }
    code
}

/// The program to play, and where its files go.
fn resources(common: &Common) -> Result<RunResources, Failure> {
    let binary = match &common.gateway {
        Some(path) => path.clone(),
        None => {
            let beside =
                std::env::current_exe().ok().and_then(|own| Some(own.parent()?.join("quota-gateway")));
            let places = [beside, Some(PathBuf::from("target/release/quota-gateway"))];
            places.into_iter().flatten().find(|path| path.is_file()).ok_or_else(|| {
                Failure::of_use(
                    "no gateway program found: build it by `cargo build --release`, or name one by --gateway",
                )
            })?
        }
    };
    let missing = [Some(&binary), common.second.as_ref()].into_iter().flatten().find(|path| !path.is_file());
    if let Some(path) = missing {
        return Err(Failure::of_use(format!("{}: there is no such program", path.display())));
    }
    // Processes are started from elsewhere.
    let whole = |path: &Path| std::fs::canonicalize(path).unwrap_or_else(|_| path.to_path_buf());
    let folder = common.logs.clone().unwrap_or_else(|| {
        let own = format!("quota-gateway-lab-{}", std::process::id());
        std::env::temp_dir().join(own)
    });
    let second = common.second.as_deref().map(whole);
    let folder = std::path::absolute(&folder).unwrap_or(folder);
    Ok(RunResources { binary: whole(&binary), second, folder })
}

/// 0 if it held.
pub(crate) fn code(result: &RunResult) -> u8 {
    u8::from(result.verdict.word != Word::Held)
}

async fn one_run(run: Run) -> Result<u8, Failure> {
    let scenario = Scenario::load(&run.scenario, &run.set).map_err(Failure::of_use)?;
    let resources = resources(&run.common)?;
    let result = play(&scenario, run.seed.unwrap_or(scenario.seed), &resources).await?;
    print!("{}", table::result(&result));
    println!("logs: {}", resources.folder.display());
    let written = |path: &Path, error| Failure { text: format!("{}: {error}", path.display()), code: 1 };
    if let Some(path) = &run.json {
        let text = serde_json::to_string_pretty(&result).map_err(|e| written(path, e.to_string()))?;
        std::fs::write(path, text).map_err(|e| written(path, e.to_string()))?;
    }
    if let Some(folder) = &run.report {
        let path = report::write(&result, folder).map_err(|e| written(folder, e.to_string()))?;
        println!("report: {}", path.display());
    }
    Ok(if run.rules_only { u8::from(!result.verdict.broken.is_empty()) } else { code(&result) })
}
