//! The entry daemon's program.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use conf::{
    ConfError,
    EntrySettings,
    read_settings, //
};
use entry::EntryDaemon;
use logs::LogSink;
use tokio::signal::unix::{
    SignalKind,
    signal, //
};

/// Takes callers' requests and routes them to backend servers.
#[derive(FromArgs)]
struct EntryArgs {
    /// path of the JSON settings
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and end
    #[argh(switch)]
    check: bool,
}

fn load(args: &EntryArgs) -> Result<EntrySettings, ConfError> {
    let settings: EntrySettings = read_settings(&args.settings)?;
    settings.check()?;
    Ok(settings)
}

fn main() -> ExitCode {
    let args: EntryArgs = argh::from_env();
    let settings = match load(&args) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("galenarail-entry: {error}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("{}: settings are valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("galenarail-entry: {error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: EntrySettings) -> Result<(), Box<dyn std::error::Error>> {
    let instance = settings.instance.clone();
    let log = match &settings.log_file {
        Some(path) => LogSink::file(instance, path)?,
        None => LogSink::stderr(instance)?,
    };
    let daemon = EntryDaemon::start(settings, log).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop().await;
    Ok(())
}
