//! Life cycle of a daemon: loading of settings, start, reload and graceful shutdown.

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

/// Interval between checks of whether the settings file has changed.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_secs(2);
/// Exit code for settings that cannot be loaded or are invalid.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Error that ends a daemon before it is told to stop.
pub type DaemonError = Box<dyn Error>;

/// Destination of a daemon's log lines.
#[derive(Debug, Clone)]
pub enum LogOutput {
    /// Standard output, to which writes never block on a slow reader.
    Stdout(InstanceId),
    /// The file with the given path, or standard error without a path.
    File(InstanceId, Option<PathBuf>),
}

impl LogOutput {
    fn open(self) -> Result<LogSink, LogError> {
        match self {
            Self::Stdout(instance) => LogSink::stdout(instance),
            Self::File(instance, Some(path)) => LogSink::file(instance, &path),
            Self::File(instance, None) => LogSink::stderr(instance),
        }
    }
}

/// Description of a daemon program and of how its settings are checked and used.
#[derive(Debug)]
pub struct DaemonProgram<S> {
    /// Name of the program, which prefixes its messages on the terminal.
    pub name: &'static str,
    /// Checks the settings for values out of range and contradictions.
    pub check: fn(&S) -> Result<(), ConfError>,
    /// Returns the destination of log lines.
    pub log_output: fn(&S) -> LogOutput,
}

impl<S: DeserializeOwned> DaemonProgram<S> {
    /// Loads the settings, starts the daemon on a multi-threaded runtime, and stops the daemon on
    /// SIGTERM or SIGINT.
    ///
    /// Changes of the settings file apply at the next start; SIGHUP has no effect.
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

    /// Like [`Self::run`], but on a single thread, and loads the settings again after SIGHUP or
    /// when the settings file has changed.
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
        let log_output = (self.log_output)(&settings);
        let built = runtime.enable_all().build().map_err(DaemonError::from);
        let source = SettingsSource::new(path.clone(), || self.load_settings(&path));
        let run = |runtime: Runtime| {
            runtime.block_on(run_daemon(
                settings, log_output, source, start, reload, stop,
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
    log_output: LogOutput,
    mut source: SettingsSource<impl Fn() -> Result<S, ConfError>>,
    start: impl FnOnce(S, LogSink) -> StartFuture,
    reload: impl Fn(&D, Result<S, ConfError>),
    stop: impl FnOnce(D) -> StopFuture,
) -> Result<(), DaemonError>
where
    StartFuture: Future<Output = Result<D, DaemonError>>,
    StopFuture: Future<Output = ()>,
{
    let log = log_output.open()?;
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
