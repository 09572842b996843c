//! Measures how memory, routing time and store calls grow with the number of processes.

mod claims;
mod hosts;
mod router;
mod store;

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;

/// Measures how memory, routing time and store calls grow with the number of processes.
#[derive(FromArgs)]
struct SlopeArgs {
    #[argh(subcommand)]
    kind: SlopeKind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum SlopeKind {
    Router(RouterArgs),
    Store(StoreArgs),
    Claims(ClaimsArgs),
    Sides(SidesArgs),
    Entries(EntriesArgs),
}

/// time and memory of routing decisions by known backend servers
#[derive(FromArgs)]
#[argh(subcommand, name = "router")]
struct RouterArgs {}

/// calls of the store by entries
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreArgs {}

/// calls of the store by claims
#[derive(FromArgs)]
#[argh(subcommand, name = "claims")]
struct ClaimsArgs {}

/// host side processes that only keep their links, and the list that names them
#[derive(FromArgs)]
#[argh(subcommand, name = "sides")]
struct SidesArgs {
    /// address of the list
    #[argh(option)]
    list: SocketAddr,
    /// side processes
    #[argh(option)]
    count: usize,
    /// secret in hexadecimal
    #[argh(option)]
    secret: String,
}

/// host entries that only keep their links to one side process
#[derive(FromArgs)]
#[argh(subcommand, name = "entries")]
struct EntriesArgs {
    /// address of the side process
    #[argh(option)]
    side: SocketAddr,
    /// entries
    #[argh(option)]
    count: usize,
    /// secret in hexadecimal
    #[argh(option)]
    secret: String,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: SlopeArgs = argh::from_env();
    match run(args.kind).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("slopes: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(kind: SlopeKind) -> Result<(), Box<dyn Error + Send + Sync>> {
    match kind {
        SlopeKind::Router(_) => router::measure(),
        SlopeKind::Store(_) => store::measure().await,
        SlopeKind::Claims(_) => claims::measure().await,
        SlopeKind::Sides(args) => hosts::host_sides(args.list, args.count, &args.secret).await,
        SlopeKind::Entries(args) => hosts::host_entries(args.side, args.count, &args.secret).await,
    }
}
