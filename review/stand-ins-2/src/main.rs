//! The cases of the second review: stand-ins for clients, backends, discovery and counter around real gateways.

mod case_late_second_answer;
mod case_maintenance_before_takeover;
mod case_owner;
mod case_slow_reader;
mod http;
mod platform;

use platform::{Failure, Record};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// A run takes no longer.
const LONGEST_RUN: Duration = Duration::from_secs(115);

/// What a run has shown.
pub enum Verdict {
    Held,
    Broken(String),
}

/// One run of a case.
pub struct Run {
    pub record: Arc<Record>,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let name = std::env::args().nth(1).unwrap_or_default();
    let folder = PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| ".".into()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    platform::limit_run(LONGEST_RUN);
    let verdict = Record::create(&folder.join("record.txt")).and_then(|record| {
        let run = Run { record, trouble };
        run.record.note(format!("case {name}, trouble {}", u8::from(trouble)));
        let verdict = play(&name, &run);
        match &verdict {
            Ok(Verdict::Held) => run.record.say("the rule held"),
            Ok(Verdict::Broken(what)) => run.record.say(format!("the rule was broken: {what}")),
            Err(error) => run.record.say(format!("the case could not run: {error}")),
        }
        verdict
    });
    match verdict {
        Ok(Verdict::Held) => ExitCode::from(0),
        Ok(Verdict::Broken(_)) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn play(name: &str, run: &Run) -> Result<Verdict, Failure> {
    match name {
        "cut-off-owner" => case_owner::play(run, case_owner::Disruption::Cut),
        "upgrade-owner" => case_owner::play(run, case_owner::Disruption::Upgrade),
        "late-second-answer" => case_late_second_answer::play(run),
        "maintenance-before-takeover" => case_maintenance_before_takeover::play(run),
        "slow-reader" => case_slow_reader::play(run),
        other => Err(format!("no case is named {other}").into()),
    }
}
