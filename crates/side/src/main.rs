//! The side daemon's program.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use conf::{
    ConfError,
    SideSettings,
    read_settings, //
};
use logs::LogSink;
use side::SideDaemon;
use tokio::signal::unix::{
    SignalKind,
    signal, //
};

/// Runs beside a backend server and takes work and orders for it.
#[derive(FromArgs)]
struct SideArgs {
    /// path of the JSON settings
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and end
    #[argh(switch)]
    check: bool,
}

fn load(args: &SideArgs) -> Result<SideSettings, ConfError> {
    let settings: SideSettings = read_settings(&args.settings)?;
    settings.check()?;
    Ok(settings)
}

fn main() -> ExitCode {
    let args: SideArgs = argh::from_env();
    let settings = match load(&args) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("galenarail-side: {error}");
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
            eprintln!("galenarail-side: {error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: SideSettings) -> Result<(), Box<dyn std::error::Error>> {
    let instance = settings.instance.clone();
    let log = match &settings.log_file {
        Some(path) => LogSink::file(instance, path)?,
        None => LogSink::stderr(instance)?,
    };
    let daemon = SideDaemon::start(settings, log).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop().await;
    Ok(())
}
