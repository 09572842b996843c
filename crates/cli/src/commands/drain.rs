//! `galenarail drain` and `galenarail undrain`: stop and resume sending new work to an instance.

use argh::FromArgs;
use snafu::ensure;
use units::InstanceId;

use crate::error::NotFoundSnafu;
use crate::{
    CliError,
    CommandReport,
    ConfigEditor, //
};

/// drain an instance for a planned stop: it gets no new work, and its in-flight requests finish
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct DrainArgs {
    /// instance to drain
    #[argh(positional)]
    instance: InstanceId,
}

/// send new work to a drained instance again
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "undrain")]
pub(crate) struct UndrainArgs {
    /// instance to undrain
    #[argh(positional)]
    instance: InstanceId,
}

pub(crate) fn run_drain(
    editor: &ConfigEditor,
    args: &DrainArgs,
) -> Result<CommandReport, CliError> {
    let instance = &args.instance;
    let config = editor.edit(&format!("drain {instance}"), None, |config| {
        config.drains.insert(instance.clone());
        Ok(())
    })?;
    let text = format!("version {}: {instance} takes no new work\n", config.version);
    Ok(CommandReport::new(text, &config.drains))
}

pub(crate) fn run_undrain(
    editor: &ConfigEditor,
    args: &UndrainArgs,
) -> Result<CommandReport, CliError> {
    let instance = &args.instance;
    let config = editor.edit(&format!("undrain {instance}"), None, |config| {
        let name = instance.to_string();
        ensure!(
            config.drains.remove(instance),
            NotFoundSnafu {
                kind: "drained instance",
                name
            }
        );
        Ok(())
    })?;
    let text = format!("version {}: {instance} takes work again\n", config.version);
    Ok(CommandReport::new(text, &config.drains))
}
