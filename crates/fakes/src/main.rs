//! Runs one fake service as a separate process.

use std::collections::BTreeSet;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use fakes::{
    FakeEngine,
    FakeEngineSettings,
    FakePlatform,
    FakeService,
    FakeStore, //
};
use policy::{
    EngineProfile,
    EngineRole, //
};

/// Runs a fake of a platform service or backend server until SIGINT.
#[derive(FromArgs)]
struct FakeArgs {
    #[argh(subcommand)]
    kind: FakeKind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum FakeKind {
    Store(StoreArgs),
    Platform(PlatformArgs),
    Engine(EngineArgs),
    Service(ServiceArgs),
}

/// a fake of the platform's key-value store
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

/// a fake of the platform's instance list
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// path of a JSON file with the instances, reloaded every second
    #[argh(option)]
    list: PathBuf,
}

/// a fake model engine
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// name of a loaded model; may be repeated
    #[argh(option)]
    model: Vec<String>,
    /// accept orders with stale fencing numbers
    #[argh(switch)]
    ignores_fencing: bool,
}

/// a fake plain service
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: FakeArgs = argh::from_env();
    match run_fake(args.kind).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("galenarail-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_fake(kind: FakeKind) -> Result<(), Box<dyn Error>> {
    match kind {
        FakeKind::Store(args) => {
            let store = FakeStore::start(args.listen).await?;
            println!("store on {}", store.address());
            tokio::signal::ctrl_c().await?;
        }
        FakeKind::Platform(args) => run_platform(&args).await?,
        FakeKind::Engine(args) => {
            let models: Result<BTreeSet<_>, _> = args.model.iter().map(|m| m.parse()).collect();
            let settings = FakeEngineSettings {
                profile: EngineProfile::default(),
                role: EngineRole::Mixed,
                models: models?,
                checks_fencing: !args.ignores_fencing,
            };
            let engine = FakeEngine::start(args.listen, settings).await?;
            println!("engine on {}", engine.address());
            tokio::signal::ctrl_c().await?;
        }
        FakeKind::Service(args) => {
            let service = FakeService::start(args.listen).await?;
            println!("service on {}", service.address());
            tokio::signal::ctrl_c().await?;
        }
    }
    Ok(())
}

async fn run_platform(args: &PlatformArgs) -> Result<(), Box<dyn Error>> {
    let platform = FakePlatform::start(args.listen, Duration::ZERO).await?;
    println!("platform on {}", platform.address());
    let mut loaded_text = Vec::new();
    loop {
        let list_text = std::fs::read(&args.list)?;
        if list_text != loaded_text {
            platform.set_instances(serde_json::from_slice(&list_text)?);
            loaded_text = list_text;
        }
        tokio::select! {
            _ = tokio::time::sleep(Duration::from_secs(1)) => {}
            ended = tokio::signal::ctrl_c() => return Ok(ended?),
        }
    }
}
