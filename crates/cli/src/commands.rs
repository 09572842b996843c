//! The commands, one file each.

use std::net::SocketAddr;

use argh::FromArgs;
use store::BlockingClient;

use crate::{
    CliError,
    CommandReport,
    ConfigEditor, //
};

mod account;
mod class;
mod config;
mod drain;
mod status;

use account::AccountArgs;
use class::ClassArgs;
use config::ConfigArgs;
use drain::{
    DrainArgs,
    UndrainArgs, //
};
use status::StatusArgs;

/// Operates galenarail: states targets for classes of work, and empties instances for planned
/// stops. Engines and weights are the system's own business.
#[derive(Debug)]
#[derive(FromArgs)]
pub struct OperatorArgs {
    /// address of the platform's key-value service
    #[argh(option)]
    store: SocketAddr,
    /// print JSON in place of text
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
    Undrain(UndrainArgs),
    Status(StatusArgs),
}

/// Runs a command.
pub fn run_command(args: &OperatorArgs) -> Result<CommandReport, CliError> {
    let editor = ConfigEditor::new(BlockingClient::new(args.store));
    match &args.command {
        OperatorCommand::Account(args) => account::run(&editor, args),
        OperatorCommand::Class(args) => class::run(&editor, args),
        OperatorCommand::Config(args) => config::run(&editor, args),
        OperatorCommand::Drain(args) => drain::run_drain(&editor, args),
        OperatorCommand::Undrain(args) => drain::run_undrain(&editor, args),
        OperatorCommand::Status(args) => status::run(&editor, args),
    }
}
