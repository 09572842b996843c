//! Runs a daemon's program from its settings to its graceful stop.

use std::error::Error;
use std::future::Future;
use std::path::{
    Path,
    PathBuf, //
};
use std::process::ExitCode;

use conf::{
    ConfError,
    read_settings, //
};
use logs::LogSink;
use serde::de::DeserializeOwned;
use tokio::signal::unix::{
    SignalKind,
    signal, //
};
use units::InstanceId;

use crate::DaemonArgs;

/// Status for settings that are refused.
const SETTINGS_STATUS: u8 = 2;

/// Why a daemon ended early.
pub type DaemonError = Box<dyn Error>;

/// Where a daemon's log lines go.
#[derive(Debug, Clone)]
pub struct LogPlace {
    /// Instance that the daemon runs on.
    pub instance: InstanceId,
    /// File for log lines; standard error when absent.
    pub file: Option<PathBuf>,
}

/// What a program must know of its daemon's settings.
#[derive(Debug)]
pub struct DaemonProgram<S> {
    /// Name of the program.
    pub name: &'static str,
    /// Checks ranges and contradictions.
    pub check: fn(&S) -> Result<(), ConfError>,
    /// Says where log lines go.
    pub log: fn(&S) -> LogPlace,
}

impl<S: DeserializeOwned> DaemonProgram<S> {
    /// Reads the settings, starts the daemon, waits for a signal and stops it.
    pub fn run<D, Starting, Stopping>(
        &self,
        start: impl FnOnce(S, LogSink) -> Starting,
        stop: impl FnOnce(D) -> Stopping,
    ) -> ExitCode
    where
        Starting: Future<Output = Result<D, DaemonError>>,
        Stopping: Future<Output = ()>,
    {
        let args: DaemonArgs = argh::from_env();
        let settings = match self.load(&args.settings) {
            Ok(settings) => settings,
            Err(error) => {
                eprintln!("{}: {error}", self.name);
                return ExitCode::from(SETTINGS_STATUS);
            }
        };
        if args.check {
            println!("{}: settings are valid", args.settings.display());
            return ExitCode::SUCCESS;
        }
        let place = (self.log)(&settings);
        match run_daemon(settings, place, start, stop) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{}: {error}", self.name);
                ExitCode::FAILURE
            }
        }
    }

    fn load(&self, path: &Path) -> Result<S, ConfError> {
        let settings: S = read_settings(path)?;
        (self.check)(&settings)?;
        Ok(settings)
    }
}

#[tokio::main]
async fn run_daemon<S, D, Starting, Stopping>(
    settings: S,
    place: LogPlace,
    start: impl FnOnce(S, LogSink) -> Starting,
    stop: impl FnOnce(D) -> Stopping,
) -> Result<(), DaemonError>
where
    Starting: Future<Output = Result<D, DaemonError>>,
    Stopping: Future<Output = ()>,
{
    let log = match &place.file {
        Some(path) => LogSink::file(place.instance, path)?,
        None => LogSink::stderr(place.instance)?,
    };
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = start(settings, log).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(daemon).await;
    Ok(())
}
