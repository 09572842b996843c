//! Runs a demo cluster on loopback and prints example requests.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use demo::{
    ClusterOptions,
    DemoCluster, //
};

/// Runs three data centres with engines, plain services, side processes and two entries in one
/// process on loopback, until SIGINT.
#[derive(FromArgs)]
struct DemoArgs {
    /// address of the first entry (default: 127.0.0.1:8080)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    listen: SocketAddr,
    /// seconds after which to end with status 0
    #[argh(option, long = "for")]
    seconds: Option<u64>,
    /// directory for the log files, one for each process
    #[argh(option)]
    logs: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: DemoArgs = argh::from_env();
    if let Some(dir) = &args.logs
        && let Err(error) = std::fs::create_dir_all(dir)
    {
        eprintln!("demo: cannot create {dir:?}: {error}; choose another directory");
        return ExitCode::FAILURE;
    }
    let options = ClusterOptions {
        listen: args.listen,
        log_dir: args.logs,
        ..ClusterOptions::default()
    };
    let cluster = match DemoCluster::start(options).await {
        Ok(cluster) => cluster,
        Err(error) => {
            eprintln!("demo: {error}");
            return ExitCode::FAILURE;
        }
    };
    cluster.wait_ready().await;
    print_help(&cluster);
    tokio::select! {
        _ = tokio::signal::ctrl_c() => println!("stopping"),
        _ = wait_seconds(args.seconds) => println!("time limit reached, stopping"),
    }
    cluster.stop().await;
    ExitCode::SUCCESS
}

async fn wait_seconds(seconds: Option<u64>) {
    match seconds {
        Some(seconds) => tokio::time::sleep(Duration::from_secs(seconds)).await,
        None => std::future::pending().await,
    }
}

fn print_help(cluster: &DemoCluster) {
    let entries: Vec<SocketAddr> = (0..2).filter_map(|i| cluster.entry_address(i)).collect();
    let Some(first) = entries.first() else {
        return;
    };
    println!("entries: {entries:?}");
    println!("store:   {}", cluster.store.address());
    println!();
    println!("an answer, whole:");
    println!("  curl http://{first}/v1/completions -H 'X-Request-Class: kiosk' \\");
    println!(
        "    -d '{{\"model\":\"assistant\",\"prompt\":\"Which pies are warm?\",\"max_tokens\":20}}'"
    );
    println!("an answer, streamed:");
    println!("  curl -N http://{first}/v1/chat/completions \\");
    println!(
        "    -d '{{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":20,\"messages\":[{{\"role\":\"user\",\"content\":\"Plan the week.\"}}]}}'"
    );
    println!("a call that may not be repeated; send it twice, it runs once:");
    println!("  curl http://{first}/v1/services/orders/place -H 'Idempotency-Key: order-1' \\");
    println!("    -d '{{\"pie\":\"cherry\"}}'");
    println!("what operators see:");
    println!(
        "  cargo run --release --bin galenarail -- --store {} class list",
        cluster.store.address()
    );
    println!();
    println!("press Ctrl-C to stop");
}
