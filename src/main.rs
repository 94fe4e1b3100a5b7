//! One real gateway. It is told where and how by the environment, reads its configuration again at SIGHUP, and
//! ends at SIGTERM.
#![forbid(unsafe_code)]

use quota_gateway::proxy::{self, control_plane::config::Config};
use std::error::Error;
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::LocalSet;
use tracing::level_filters::LevelFilter;
use tracing::{info, warn};

fn run() -> Result<(), Box<dyn Error>> {
    let config = Config::from_environment()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let (mut terminate, mut hang_up) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
        let (stop, stopping) = watch::channel(false);
        let (change, services) = watch::channel(config.services());
        tokio::task::spawn_local(async move {
            while hang_up.recv().await.is_some() {
                match Config::reload() {
                    Ok(services) => {
                        info!(discovery = %services.discovery, "configuration read again");
                        change.send_replace(services);
                    }
                    Err(error) => warn!(%error, "the configuration stays as it was"),
                }
            }
        });
        tokio::task::spawn_local(async move {
            if terminate.recv().await.is_some() {
                info!("stopping");
                // The gateway may have ended by itself.
                let _ = stop.send(true);
                std::future::pending::<()>().await;
            }
        });
        Ok(proxy::run(config, services, stopping).await?)
    })
}

/// How much is logged: `NODE_LOG` may say `error`, `warn`, `info`, `debug` or `trace`. At `debug` each request, attempt
/// and change of a backend has its lines.
fn log_level() -> Result<LevelFilter, String> {
    match std::env::var("NODE_LOG") {
        Ok(level) => {
            level.parse().map_err(|_| format!("NODE_LOG: expected a level such as info, found '{level}'"))
        }
        Err(_) => Ok(LevelFilter::INFO),
    }
}

fn failed(error: &(impl std::fmt::Display + ?Sized)) -> ExitCode {
    eprintln!("quota-gateway: {error}");
    ExitCode::FAILURE
}

fn main() -> ExitCode {
    let level = match log_level() {
        Ok(level) => level,
        Err(e) => return failed(&e),
    };
    tracing_subscriber::fmt().with_ansi(false).with_writer(std::io::stderr).with_max_level(level).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => failed(e.as_ref()),
    }
}
