//! Runs a daemon's program from its settings to its graceful stop.

use std::error::Error;
use std::future::Future;
use std::path::{
    Path,
    PathBuf, //
};
use std::process::ExitCode;
use std::time::Duration;

use conf::{
    ConfError,
    read_settings, //
};
use logs::{
    LogError,
    LogSink, //
};
use serde::de::DeserializeOwned;
use tokio::runtime::{
    Builder,
    Runtime, //
};
use tokio::signal::unix::{
    SignalKind,
    signal, //
};
use tokio::time::sleep;
use units::InstanceId;

use crate::DaemonArgs;
use crate::source::SettingsSource;

/// Pause between looks at whether the settings file has changed.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_secs(2);
/// Status for settings that are refused.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Why a daemon ended early.
pub type DaemonError = Box<dyn Error>;

/// Where a daemon's log lines go.
#[derive(Debug, Clone)]
pub enum LogDestination {
    /// To standard output, without ever waiting for its reader.
    Stdout(InstanceId),
    /// To a file, or to standard error when there is none.
    File(InstanceId, Option<PathBuf>),
}

impl LogDestination {
    fn open(self) -> Result<LogSink, LogError> {
        match self {
            Self::Stdout(instance) => LogSink::stdout(instance),
            Self::File(instance, Some(path)) => LogSink::file(instance, &path),
            Self::File(instance, None) => LogSink::stderr(instance),
        }
    }
}

/// What a program must know of its daemon's settings.
#[derive(Debug)]
pub struct DaemonProgram<S> {
    /// Name of the program.
    pub name: &'static str,
    /// Checks ranges and contradictions.
    pub check: fn(&S) -> Result<(), ConfError>,
    /// Says where log lines go.
    pub log_destination: fn(&S) -> LogDestination,
}

impl<S: DeserializeOwned> DaemonProgram<S> {
    /// Reads the settings, starts the daemon on threads for all cores, waits for a signal and stops
    /// it.
    ///
    /// SIGHUP changes nothing: settings are taken at the next start.
    pub fn run<D, StartFuture, StopFuture>(
        &self,
        start: impl FnOnce(S, LogSink) -> StartFuture,
        stop: impl FnOnce(D) -> StopFuture,
    ) -> ExitCode
    where
        StartFuture: Future<Output = Result<D, DaemonError>>,
        StopFuture: Future<Output = ()>,
    {
        self.run_on_runtime(&mut Builder::new_multi_thread(), start, |_, _| (), stop)
    }

    /// As `run`, on one thread, and with settings that are read again after SIGHUP or when their
    /// file has changed.
    pub fn run_single_threaded<D, StartFuture, StopFuture>(
        &self,
        start: impl FnOnce(S, LogSink) -> StartFuture,
        reload: impl Fn(&D, Result<S, ConfError>),
        stop: impl FnOnce(D) -> StopFuture,
    ) -> ExitCode
    where
        StartFuture: Future<Output = Result<D, DaemonError>>,
        StopFuture: Future<Output = ()>,
    {
        self.run_on_runtime(&mut Builder::new_current_thread(), start, reload, stop)
    }

    fn run_on_runtime<D, StartFuture, StopFuture>(
        &self,
        runtime: &mut Builder,
        start: impl FnOnce(S, LogSink) -> StartFuture,
        reload: impl Fn(&D, Result<S, ConfError>),
        stop: impl FnOnce(D) -> StopFuture,
    ) -> ExitCode
    where
        StartFuture: Future<Output = Result<D, DaemonError>>,
        StopFuture: Future<Output = ()>,
    {
        let args: DaemonArgs = argh::from_env();
        let loaded = args.settings_path().and_then(|path| {
            let settings = self.load_settings(&path)?;
            Ok((path, settings))
        });
        let (path, settings) = match loaded {
            Ok(loaded) => loaded,
            Err(error) => {
                eprintln!("{}: {error}", self.name);
                return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
            }
        };
        if args.check {
            println!("{}: settings are valid", self.name);
            return ExitCode::SUCCESS;
        }
        let log_destination = (self.log_destination)(&settings);
        let built = runtime.enable_all().build().map_err(DaemonError::from);
        let source = SettingsSource::new(path.clone(), || self.load_settings(&path));
        let run = |runtime: Runtime| {
            runtime.block_on(run_daemon(
                settings,
                log_destination,
                source,
                start,
                reload,
                stop,
            ))
        };
        match built.and_then(run) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{}: {error}", self.name);
                ExitCode::FAILURE
            }
        }
    }

    fn load_settings(&self, path: &Path) -> Result<S, ConfError> {
        let settings: S = read_settings(path)?;
        (self.check)(&settings)?;
        Ok(settings)
    }
}

async fn run_daemon<S, D, StartFuture, StopFuture>(
    settings: S,
    log_destination: LogDestination,
    mut source: SettingsSource<impl Fn() -> Result<S, ConfError>>,
    start: impl FnOnce(S, LogSink) -> StartFuture,
    reload: impl Fn(&D, Result<S, ConfError>),
    stop: impl FnOnce(D) -> StopFuture,
) -> Result<(), DaemonError>
where
    StartFuture: Future<Output = Result<D, DaemonError>>,
    StopFuture: Future<Output = ()>,
{
    let log = log_destination.open()?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let daemon = start(settings, log).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&daemon, source.reload()),
            () = sleep(SETTINGS_POLL_PERIOD) => {
                if source.has_changed() {
                    reload(&daemon, source.reload());
                }
            }
        }
    }
    stop(daemon).await;
    Ok(())
}
