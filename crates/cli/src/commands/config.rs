//! `galenarail config`: shows, checks and replaces the configuration.

use std::path::PathBuf;

use argh::FromArgs;
use conf::SystemConfig;
use snafu::ResultExt;
use units::ConfigVersion;

use crate::error::{
    InvalidChangeSnafu,
    ReadFileSnafu, //
};
use crate::table::format_table;
use crate::{
    CliError,
    CommandReport,
    ConfigEditor, //
};

/// show, check and replace the configuration
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub(crate) struct ConfigArgs {
    #[argh(subcommand)]
    action: ConfigAction,
}

#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
enum ConfigAction {
    Show(ShowArgs),
    History(HistoryArgs),
    Validate(ValidateArgs),
    Apply(ApplyArgs),
}

/// show the stored configuration
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowArgs {}

/// list the latest changes, newest first
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct HistoryArgs {}

/// check a file without applying it
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "validate")]
struct ValidateArgs {
    /// path of the JSON file
    #[argh(positional)]
    file: PathBuf,
}

/// replace classes, models, services and accounts with those of a file
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct ApplyArgs {
    /// path of the JSON file
    #[argh(positional)]
    file: PathBuf,
    /// fail unless the configuration has this version
    #[argh(option)]
    expect: Option<ConfigVersion>,
}

pub(crate) fn run(editor: &ConfigEditor, args: &ConfigArgs) -> Result<CommandReport, CliError> {
    match &args.action {
        ConfigAction::Show(_) => show(&editor.read()?),
        ConfigAction::History(_) => history(&editor.read()?),
        ConfigAction::Validate(args) => validate(args),
        ConfigAction::Apply(args) => apply(editor, args),
    }
}

fn show(config: &SystemConfig) -> Result<CommandReport, CliError> {
    let mut shown_config = config.clone();
    shown_config.history.clear();
    let text = serde_json::to_string_pretty(&shown_config).unwrap_or_default();
    Ok(CommandReport::new(text + "\n", config))
}

fn history(config: &SystemConfig) -> Result<CommandReport, CliError> {
    let changes = config.history.iter().rev();
    let row =
        |c: &conf::ChangeRecord| vec![c.version.to_string(), c.write_id.clone(), c.note.clone()];
    let rows: Vec<Vec<String>> = changes.map(row).collect();
    let text = format_table(&["VERSION", "WRITE", "CHANGE"], &rows);
    Ok(CommandReport::new(text, &config.history))
}

fn read_file(path: &PathBuf) -> Result<SystemConfig, CliError> {
    let text = std::fs::read(path).context(ReadFileSnafu { path })?;
    SystemConfig::from_json(&text).context(InvalidChangeSnafu)
}

fn validate(args: &ValidateArgs) -> Result<CommandReport, CliError> {
    let config = read_file(&args.file)?;
    let text = format!(
        "{}: valid, {} classes\n",
        args.file.display(),
        config.classes.len()
    );
    Ok(CommandReport::new(text, &true))
}

fn apply(editor: &ConfigEditor, args: &ApplyArgs) -> Result<CommandReport, CliError> {
    let file_config = read_file(&args.file)?;
    let note = format!("config apply {}", args.file.display());
    let config = editor.edit(&note, args.expect, |config| {
        let version = config.version;
        let history = std::mem::take(&mut config.history);
        let drains = std::mem::take(&mut config.drains);
        *config = file_config.clone();
        config.version = version;
        config.history = history;
        config.drains = drains;
        Ok(())
    })?;
    let text = format!("version {}\n", config.version);
    Ok(CommandReport::new(text, &config.version))
}
