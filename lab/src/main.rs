//! Command line program of the lab.
#![forbid(unsafe_code)]

use clap::Parser;
use quota_gateway_lab::cli::{main as run, Cli};
use std::process::ExitCode;

/// Number of worker threads besides the main thread, which sends the requests. The other cores are left to
/// the gateways.
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
