//! The lab's program.
#![forbid(unsafe_code)]

use clap::Parser;
use quota_gateway_lab::cli::{main as run, Cli};
use std::process::ExitCode;

/// Threads beside the one that sends requests; the rest of the machine is the gateways'.
const THREADS: usize = 3;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let filter = tracing_subscriber::EnvFilter::try_from_env("LAB_LOG").unwrap_or_else(|_| "warn".into());
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(THREADS).enable_all().build();
    match runtime {
        Ok(runtime) => ExitCode::from(runtime.block_on(run(cli))),
        Err(error) => {
            eprintln!("quota-gateway-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
