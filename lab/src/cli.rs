//! Command line of the lab. Exit codes: 0 all checks passed; 1 a rule was violated, an expectation was
//! missed, the run is not valid or an error occurred; 2 usage error or invalid scenario; 130 interrupted run.

use crate::checker::VerdictKind;
use crate::run::RunResources;
use crate::runner::{play, RunError, RunResult};
use crate::scenario::{Scenario, Setting};
use crate::{experiment, interactive, report, table};
use clap::{Args, Parser, Subcommand};
use std::path::{Path, PathBuf};

/// Runs a cluster of gateway processes against stand-ins for clients, backends, counter and discovery, injects faults,
/// and checks the gateways' behaviour.
///
/// Begin with `quota-gateway-lab up`, which starts a small cluster for manual requests, or with
/// `quota-gateway-lab run lab/scenarios/calm.toml`.
///
/// Exit codes: 0 all checks passed; 1 a rule was violated, an expectation was missed, the run is not valid or
/// an error occurred; 2 usage error or invalid scenario; 130 interrupted run.
#[derive(Debug, Parser)]
#[command(name = "quota-gateway-lab", version, max_term_width = 100)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a scenario once and check the result.
    Run(Run),
    /// Run a scenario with several seeds and settings; writes CSV and a table of medians and spreads.
    Sweep(Sweep),
    /// Run two builds or settings alternately (A B A B) and report whether they differ.
    Compare(Compare),
    /// Start stand-ins and a few gateways for manual requests, until Ctrl-C.
    Up(Up),
    /// Measure the gateways' membership protocol in virtual time at several cluster sizes and print a table.
    Members(Members),
    /// Play slow clients, slow backends, floods and signals against one gateway within its limits, one play for each seed.
    Soak(Soak),
    /// Report all errors of scenario files without running them.
    Check {
        /// Scenario files.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
    },
}

#[derive(Debug, Args)]
struct Common {
    /// Gateway program [default: `quota-gateway` beside this program, else target/release/quota-gateway].
    #[arg(long, value_name = "BIN")]
    gateway: Option<PathBuf>,
    /// Program of the gateways listed in `gateways.second`, to run two builds in one cluster.
    #[arg(long, value_name = "BIN")]
    second: Option<PathBuf>,
    /// Folder for configurations and logs [default: a new folder in the system's temporary folder].
    #[arg(long, value_name = "DIR")]
    logs: Option<PathBuf>,
}

#[derive(Debug, Args)]
struct Run {
    /// The scenario file.
    scenario: PathBuf,
    /// Seed of all random draws [default: the scenario's seed].
    #[arg(long)]
    seed: Option<u64>,
    /// Override a value of the scenario, for example `gateways.count=40`; can be repeated.
    #[arg(long, value_name = "KEY=VALUE", value_parser = setting)]
    set: Vec<Setting>,
    /// Check the rules alone: neither a missed expectation nor a run that is not valid, for example because
    /// of a late load generator, changes the exit code. For machines that do other work as well.
    #[arg(long)]
    rules_only: bool,
    /// Write the result as JSON to this file.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write an HTML page with plots into this folder.
    #[arg(long, value_name = "DIR")]
    report: Option<PathBuf>,
    #[command(flatten)]
    common: Common,
}

#[derive(Debug, Args)]
struct Sweep {
    /// The scenario file.
    scenario: PathBuf,
    /// Seeds, as a range `1..8` (both ends included) or a list `1,5,9`.
    #[arg(long, value_parser = seeds, default_value = "1..3")]
    seeds: Seeds,
    /// Values of a setting, for example `load.per_s=100,200`; if repeated, all combinations are run.
    #[arg(long, value_name = "KEY=A,B,C", value_parser = values)]
    set: Vec<Values>,
    /// Write one line of CSV for each run to this file [default: to standard output, before the table].
    #[arg(long, value_name = "FILE")]
    csv: Option<PathBuf>,
    #[command(flatten)]
    common: Common,
}

#[derive(Debug, Args)]
struct Compare {
    /// The scenario file.
    scenario: PathBuf,
    /// First variant: a gateway program, or settings, for example `gateways.peers=true;load.per_s=50`.
    #[arg(long, value_name = "BIN_OR_SETTINGS")]
    a: String,
    /// Second variant, in the same form.
    #[arg(long, value_name = "BIN_OR_SETTINGS")]
    b: String,
    /// Number of pairs of runs; at least six are needed to report a difference. Pair n has the scenario's seed plus n - 1.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=1000))]
    pairs: u32,
    #[command(flatten)]
    common: Common,
}

#[derive(Debug, Args)]
struct Up {
    /// Number of gateways.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=40))]
    gateways: u16,
    /// Number of backends.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=80))]
    backends: u16,
    #[command(flatten)]
    common: Common,
}

#[derive(Debug, Args)]
struct Soak {
    /// Seeds, as a range `1..8` (both ends included) or a list `1,5,9`.
    #[arg(long, value_parser = seeds, default_value = "1..4")]
    seeds: Seeds,
    #[command(flatten)]
    common: Common,
}

#[derive(Debug, Args)]
struct Members {
    /// Cluster sizes.
    #[arg(long, value_delimiter = ',', default_value = "10,30,100", value_name = "N,N")]
    sizes: Vec<usize>,
    /// Number of runs at each size, with the seeds 1, 2, and so on.
    #[arg(long, default_value_t = 3)]
    plays: u64,
    /// Number of members that crash in each run.
    #[arg(long, default_value_t = 10)]
    deaths: usize,
    /// Skip the ten minutes of packet loss and process pauses.
    #[arg(long)]
    no_storm: bool,
}

/// Seeds of a sweep.
#[derive(Debug, Clone)]
pub struct Seeds(pub Vec<u64>);

/// Values of one scenario key in a sweep.
#[derive(Debug, Clone)]
pub struct Values {
    /// Scenario key.
    pub key: String,
    /// Values of the key.
    pub values: Vec<String>,
}

fn setting(text: &str) -> Result<Setting, String> {
    let (key, value) = text.split_once('=').ok_or("expected KEY=VALUE")?;
    Ok(Setting { key: key.trim().into(), value: value.trim().into() })
}

fn values(text: &str) -> Result<Values, String> {
    let Setting { key, value } = setting(text)?;
    // Commas within brackets do not separate values.
    let (mut values, mut depth, mut current) = (Vec::new(), 0, String::new());
    for c in value.chars() {
        match c {
            '[' => depth += 1,
            ']' => depth -= 1,
            _ => {}
        }
        if c == ',' && depth == 0 {
            values.push(std::mem::take(&mut current));
        } else {
            current.push(c);
        }
    }
    values.push(current);
    Ok(Values { key, values })
}

fn seeds(text: &str) -> Result<Seeds, String> {
    let invalid = || format!("expected 1..8 or 1,5,9, found '{text}'");
    let list: Vec<u64> = match text.split_once("..") {
        Some((from, to)) => {
            let (from, to): (u64, u64) =
                (from.parse().map_err(|_| invalid())?, to.parse().map_err(|_| invalid())?);
            if to < from || to - from >= 10_000 {
                return Err(invalid());
            }
            (from..=to).collect()
        }
        None => text
            .split(',')
            .map(|value| value.trim().parse().map_err(|_| invalid()))
            .collect::<Result<_, _>>()?,
    };
    Ok(Seeds(list))
}

/// Error message and exit code of a command that failed.
pub(crate) struct Failure {
    pub(crate) text: String,
    pub(crate) code: u8,
}

impl Failure {
    /// Creates a usage error, with exit code 2.
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

/// Executes the command and returns the exit code.
pub async fn main(cli: Cli) -> u8 {
    let outcome = match cli.command {
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
        Command::Members(members) => {
            print!(
                "{}",
                crate::members::measure::table(
                    &members.sizes,
                    members.plays,
                    members.deaths,
                    !members.no_storm
                )
            );
            Ok(0)
        }
        Command::Soak(arguments) => soak(arguments).await,
        Command::Check { scenarios } => Ok(check(&scenarios)),
    };
    outcome.unwrap_or_else(|failure| {
        eprintln!("quota-gateway-lab: {}", failure.text);
        failure.code
    })
}

fn check(scenarios: &[PathBuf]) -> u8 {
    let mut code = 0;
    for path in scenarios {
        match Scenario::load(path, &[]) {
            Ok(scenario) => println!("{}: {}: valid", path.display(), scenario.name),
            Err(problems) => {
                eprintln!("{problems}");
                code = 2;
            }
        }
    }
    code
}

/// Returns the gateway programs and the folder for their files.
fn resources(common: &Common) -> Result<RunResources, Failure> {
    let binary = match &common.gateway {
        Some(path) => path.clone(),
        None => {
            let sibling = std::env::current_exe()
                .ok()
                .and_then(|executable| Some(executable.parent()?.join("quota-gateway")));
            let candidates = [sibling, Some(PathBuf::from("target/release/quota-gateway"))];
            candidates.into_iter().flatten().find(|path| path.is_file()).ok_or_else(|| {
                Failure::of_use(
                    "gateway program not found: build it with `cargo build --release`, or set its path with --gateway",
                )
            })?
        }
    };
    let missing = [Some(&binary), common.second.as_ref()].into_iter().flatten().find(|path| !path.is_file());
    if let Some(path) = missing {
        return Err(Failure::of_use(format!("{}: program not found", path.display())));
    }
    // Absolute paths, so that a program given by a bare file name is not looked up in PATH.
    let absolute = |path: &Path| std::fs::canonicalize(path).unwrap_or_else(|_| path.to_path_buf());
    let folder = common.logs.clone().unwrap_or_else(|| {
        let name = format!("quota-gateway-lab-{}", std::process::id());
        std::env::temp_dir().join(name)
    });
    let second = common.second.as_deref().map(absolute);
    let folder = std::path::absolute(&folder).unwrap_or(folder);
    Ok(RunResources { binary: absolute(&binary), second, folder })
}

/// Plays a soak for each seed, and prints a row for each and the records that broke a rule.
async fn soak(arguments: Soak) -> Result<u8, Failure> {
    let resources = resources(&arguments.common)?;
    let mut broken = 0;
    println!("{}", table::soak_header());
    for seed in arguments.seeds.0 {
        let folder = resources.folder.join(seed.to_string());
        let result = crate::soak::play(&resources.binary, &folder, seed).await;
        let result =
            result.map_err(|error| Failure { text: format!("soak, seed {seed}: {error:#}"), code: 1 })?;
        println!("{}", table::soak_row(&result));
        for violation in &result.violations {
            println!("    {}: {}", violation.rule, violation.evidence);
        }
        broken += usize::from(!result.violations.is_empty());
    }
    println!("{broken} plays broke a rule; logs: {}", resources.folder.display());
    Ok(u8::from(broken > 0))
}

/// Returns exit code 0 if all checks passed, otherwise 1.
pub(crate) fn code(result: &RunResult) -> u8 {
    u8::from(result.verdict.word != VerdictKind::Held)
}

async fn one_run(run: Run) -> Result<u8, Failure> {
    let scenario = Scenario::load(&run.scenario, &run.set).map_err(Failure::of_use)?;
    let resources = resources(&run.common)?;
    let result = play(&scenario, run.seed.unwrap_or(scenario.seed), &resources).await?;
    print!("{}", table::result(&result));
    println!("logs: {}", resources.folder.display());
    let write_error = |path: &Path, error| Failure { text: format!("{}: {error}", path.display()), code: 1 };
    if let Some(path) = &run.json {
        let text = serde_json::to_string_pretty(&result).map_err(|e| write_error(path, e.to_string()))?;
        std::fs::write(path, text).map_err(|e| write_error(path, e.to_string()))?;
    }
    if let Some(folder) = &run.report {
        let path = report::write(&result, folder).map_err(|e| write_error(folder, e.to_string()))?;
        println!("report: {}", path.display());
    }
    Ok(if run.rules_only { u8::from(!result.verdict.broken.is_empty()) } else { code(&result) })
}
