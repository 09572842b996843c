//! Arguments of the program and dispatch to its commands.

use std::net::SocketAddr;

use argh::FromArgs;
use snafu::OptionExt;
use store::BlockingClient;

use crate::error::NoStoreAddressSnafu;
use crate::{
    CliError,
    CommandReport,
    ConfigEditor, //
};

mod account;
mod class;
mod config;
mod drain;
mod explain;
mod fleet;
mod status;

use account::AccountArgs;
use class::ClassArgs;
use config::ConfigArgs;
use drain::{
    DrainArgs,
    UndrainArgs, //
};
use explain::ExplainArgs;
use fleet::FleetArgs;
use status::StatusArgs;

/// Operates galenarail: sets the targets of request classes, drains instances for planned stops, and
/// shows the state of the system. Engines and models are managed by the system itself.
#[derive(Debug)]
#[derive(FromArgs)]
pub struct OperatorArgs {
    /// address of the platform's key-value store; explain does not need it
    #[argh(option)]
    store: Option<SocketAddr>,
    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,
    #[argh(subcommand)]
    command: OperatorCommand,
}

#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
enum OperatorCommand {
    Account(AccountArgs),
    Class(ClassArgs),
    Config(ConfigArgs),
    Drain(DrainArgs),
    Explain(ExplainArgs),
    Fleet(FleetArgs),
    Undrain(UndrainArgs),
    Status(StatusArgs),
}

/// Runs the command that the arguments name.
pub fn run_command(args: &OperatorArgs) -> Result<CommandReport, CliError> {
    let store = || args.store.context(NoStoreAddressSnafu);
    let editor = || -> Result<ConfigEditor, CliError> {
        Ok(ConfigEditor::new(BlockingClient::new(store()?)))
    };
    match &args.command {
        OperatorCommand::Account(args) => account::run(&editor()?, args),
        OperatorCommand::Class(args) => class::run(&editor()?, args),
        OperatorCommand::Config(args) => config::run(&editor()?, args),
        OperatorCommand::Explain(args) => explain::run(args),
        OperatorCommand::Fleet(_) => fleet::run(store()?),
        OperatorCommand::Drain(args) => drain::run_drain(&editor()?, args),
        OperatorCommand::Undrain(args) => drain::run_undrain(&editor()?, args),
        OperatorCommand::Status(args) => status::run(&editor()?, args),
    }
}
