//! `drain` and `undrain`: empty an instance for a planned stop, and take it back.

use argh::FromArgs;
use snafu::ensure;
use units::InstanceId;

use crate::error::MissingSnafu;
use crate::{
    CliError,
    CommandReport,
    ConfigEditor, //
};

/// empty an instance for a planned stop; its work finishes, and it gets no new work
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct DrainArgs {
    /// instance to empty
    #[argh(positional)]
    instance: InstanceId,
}

/// give work to a drained instance again
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "undrain")]
pub(crate) struct UndrainArgs {
    /// instance to take back
    #[argh(positional)]
    instance: InstanceId,
}

pub(crate) fn run_drain(
    editor: &ConfigEditor,
    args: &DrainArgs,
) -> Result<CommandReport, CliError> {
    let instance = &args.instance;
    let book = editor.edit(&format!("drain {instance}"), None, |book| {
        book.drains.insert(instance.clone());
        Ok(())
    })?;
    let text = format!("version {}: {instance} takes no new work\n", book.version);
    Ok(CommandReport::new(text, &book.drains))
}

pub(crate) fn run_undrain(
    editor: &ConfigEditor,
    args: &UndrainArgs,
) -> Result<CommandReport, CliError> {
    let instance = &args.instance;
    let book = editor.edit(&format!("undrain {instance}"), None, |book| {
        let name = instance.to_string();
        ensure!(
            book.drains.remove(instance),
            MissingSnafu {
                kind: "drained instance",
                name
            }
        );
        Ok(())
    })?;
    let text = format!("version {}: {instance} takes work again\n", book.version);
    Ok(CommandReport::new(text, &book.drains))
}
