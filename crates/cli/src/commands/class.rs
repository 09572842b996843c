//! `galenarail class`: shows and sets the targets of request classes.

use argh::FromArgs;
use conf::{
    ClassTarget,
    SystemConfig, //
};
use policy::ServiceRank;
use snafu::OptionExt;
use units::{
    ClassName,
    ConfigVersion,
    WorthPoints, //
};

use crate::error::NotFoundSnafu;
use crate::table::format_table;
use crate::{
    CliError,
    CommandReport,
    ConfigEditor, //
};

const DEFAULT_FIRST_TOKEN_MS: u32 = 5_000;
const DEFAULT_TOKEN_GAP_MS: u32 = 150;

/// show and set the targets of request classes
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "class")]
pub(crate) struct ClassArgs {
    #[argh(subcommand)]
    action: ClassAction,
}

#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
enum ClassAction {
    List(ListArgs),
    Show(ShowArgs),
    Set(SetArgs),
    Remove(RemoveArgs),
}

/// list all classes
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {}

/// show one class
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowArgs {
    /// name of the class
    #[argh(positional)]
    name: ClassName,
}

/// create a class, or change the given targets of an existing one
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
struct SetArgs {
    /// name of the class
    #[argh(positional)]
    name: ClassName,
    /// priority rank: urgent, ordinary or patient
    #[argh(option)]
    rank: Option<ServiceRank>,
    /// target time until the first token, in milliseconds
    #[argh(option)]
    start_ms: Option<u32>,
    /// target time between two tokens, in milliseconds
    #[argh(option)]
    gap_ms: Option<u32>,
    /// share of the requested output that makes an interrupted answer usable, from 0 to 1
    #[argh(option)]
    completeness: Option<f64>,
    /// worth of one answer, relative to the answers of other classes
    #[argh(option)]
    worth: Option<WorthPoints>,
    /// fail unless the configuration has this version
    #[argh(option)]
    expect: Option<ConfigVersion>,
}

/// remove a class
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct RemoveArgs {
    /// name of the class
    #[argh(positional)]
    name: ClassName,
    /// fail unless the configuration has this version
    #[argh(option)]
    expect: Option<ConfigVersion>,
}

pub(crate) fn run(editor: &ConfigEditor, args: &ClassArgs) -> Result<CommandReport, CliError> {
    match &args.action {
        ClassAction::List(_) => list(&editor.read()?),
        ClassAction::Show(args) => show(&editor.read()?, &args.name),
        ClassAction::Set(args) => set(editor, args),
        ClassAction::Remove(args) => remove(editor, args),
    }
}

fn class_row(name: &ClassName, target: &ClassTarget) -> Vec<String> {
    vec![
        name.to_string(),
        target.rank.to_string(),
        format!("{} ms", target.first_token_ms),
        format!("{} ms", target.token_gap_ms),
        format!("{:.0}%", target.completeness * 100.0),
        target.worth.to_string(),
    ]
}

fn class_table(rows: &[Vec<String>]) -> String {
    format_table(&["CLASS", "RANK", "START", "GAP", "WHOLE", "WORTH"], rows)
}

fn list(config: &SystemConfig) -> Result<CommandReport, CliError> {
    let rows: Vec<Vec<String>> = config
        .classes
        .iter()
        .map(|(name, target)| class_row(name, target))
        .collect();
    Ok(CommandReport::new(class_table(&rows), &config.classes))
}

fn show(config: &SystemConfig, name: &ClassName) -> Result<CommandReport, CliError> {
    let target = config.classes.get(name);
    let target = target.context(NotFoundSnafu {
        kind: "class",
        name: name.to_string(),
    })?;
    Ok(CommandReport::new(
        class_table(&[class_row(name, target)]),
        target,
    ))
}

fn set(editor: &ConfigEditor, args: &SetArgs) -> Result<CommandReport, CliError> {
    let note = format!("class set {}", args.name);
    let config = editor.edit(&note, args.expect, |config| {
        let default_target = ClassTarget {
            rank: ServiceRank::Ordinary,
            first_token_ms: DEFAULT_FIRST_TOKEN_MS,
            token_gap_ms: DEFAULT_TOKEN_GAP_MS,
            completeness: 1.0,
            worth: WorthPoints(1),
        };
        let target = config
            .classes
            .entry(args.name.clone())
            .or_insert(default_target);
        target.rank = args.rank.unwrap_or(target.rank);
        target.first_token_ms = args.start_ms.unwrap_or(target.first_token_ms);
        target.token_gap_ms = args.gap_ms.unwrap_or(target.token_gap_ms);
        target.completeness = args.completeness.unwrap_or(target.completeness);
        target.worth = args.worth.unwrap_or(target.worth);
        Ok(())
    })?;
    let mut report = show(&config, &args.name)?;
    report.text = format!("version {}\n{}", config.version, report.text);
    Ok(report)
}

fn remove(editor: &ConfigEditor, args: &RemoveArgs) -> Result<CommandReport, CliError> {
    let note = format!("class remove {}", args.name);
    let config = editor.edit(&note, args.expect, |config| {
        let removed = config.classes.remove(&args.name);
        let name = args.name.to_string();
        removed.context(NotFoundSnafu {
            kind: "class",
            name,
        })?;
        Ok(())
    })?;
    let text = format!(
        "version {}: class {} is removed\n",
        config.version, args.name
    );
    Ok(CommandReport::new(text, &config.version))
}
