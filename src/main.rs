//! The gateway program. Environment variables name its addresses and configuration files. SIGHUP reloads the
//! configuration; SIGTERM shuts the program down.
#![forbid(unsafe_code)]

use quota_gateway::proxy;
use quota_gateway::proxy::control_plane::config::{Config, ConfigError, ServiceAddresses};
use std::fmt::Display;
use std::io;
use std::process::ExitCode;
use thiserror::Error;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tracing::level_filters::LevelFilter;
use tracing::{info, warn};

/// Environment variable with the least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`. At
/// `debug` each request, each attempt and each change of an endpoint is logged.
const LOG_LEVEL: &str = "NODE_LOG";

/// Error that ends the program.
#[derive(Debug, Error)]
enum ProgramError {
    #[error("{LOG_LEVEL}: expected a level such as info, found '{0}'")]
    LogLevel(String),
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Run(#[from] proxy::RunError),
}

fn log_level() -> Result<LevelFilter, ProgramError> {
    match std::env::var(LOG_LEVEL) {
        Ok(level) => level.parse().map_err(|_| ProgramError::LogLevel(level)),
        Err(_) => Ok(LevelFilter::INFO),
    }
}

/// Reloads the configuration at each SIGHUP.
async fn reload_at_hang_up(mut hang_up: Signal, services: watch::Sender<ServiceAddresses>) {
    while hang_up.recv().await.is_some() {
        match Config::reload() {
            Ok(reloaded) => {
                info!(discovery = %reloaded.discovery, "configuration reloaded");
                services.send_replace(reloaded);
            }
            Err(error) => warn!(%error, "configuration not reloaded; the previous one stays in force"),
        }
    }
}

/// Stops the gateway at the first SIGTERM.
async fn stop_at_terminate(mut terminate: Signal, stop: watch::Sender<bool>) {
    if terminate.recv().await.is_some() {
        info!("SIGTERM received; shutting down");
        // Sending fails if the gateway has already ended by itself.
        let _ = stop.send(true);
        std::future::pending::<()>().await;
    }
}

fn run() -> Result<(), ProgramError> {
    let config = Config::from_environment()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let (terminate, hang_up) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
        let (stop, stopping) = watch::channel(false);
        let (service_sender, services) = watch::channel(config.services());
        spawn_local(reload_at_hang_up(hang_up, service_sender));
        spawn_local(stop_at_terminate(terminate, stop));
        Ok(proxy::run(config, services, stopping).await?)
    })
}

fn fail(error: &impl Display) -> ExitCode {
    eprintln!("quota-gateway: {error}");
    ExitCode::FAILURE
}

fn main() -> ExitCode {
    let level = match log_level() {
        Ok(level) => level,
        Err(error) => return fail(&error),
    };
    tracing_subscriber::fmt().with_ansi(false).with_writer(io::stderr).with_max_level(level).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}
