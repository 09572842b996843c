//! `class`: shows and states the targets of classes of work.

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

use crate::error::MissingSnafu;
use crate::table::format_table;
use crate::{
    CliError,
    CommandReport,
    ConfigEditor, //
};

const NEW_START_MS: u32 = 5_000;
const NEW_GAP_MS: u32 = 150;

/// show and state the targets of classes of work
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

/// create a class, or change what is named of it
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
struct SetArgs {
    /// name of the class
    #[argh(positional)]
    name: ClassName,
    /// urgent, ordinary or patient
    #[argh(option)]
    rank: Option<ServiceRank>,
    /// milliseconds until the first token
    #[argh(option)]
    start_ms: Option<u32>,
    /// milliseconds between tokens
    #[argh(option)]
    gap_ms: Option<u32>,
    /// share of the answer that must arrive, from 0 to 1
    #[argh(option)]
    completeness: Option<f64>,
    /// worth of one answer beside those of other classes
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

fn list(book: &SystemConfig) -> Result<CommandReport, CliError> {
    let rows: Vec<Vec<String>> = book.classes.iter().map(|(n, t)| class_row(n, t)).collect();
    Ok(CommandReport::new(class_table(&rows), &book.classes))
}

fn show(book: &SystemConfig, name: &ClassName) -> Result<CommandReport, CliError> {
    let target = book.classes.get(name);
    let target = target.context(MissingSnafu {
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
    let book = editor.edit(&note, args.expect, |book| {
        let fresh = ClassTarget {
            rank: ServiceRank::Ordinary,
            first_token_ms: NEW_START_MS,
            token_gap_ms: NEW_GAP_MS,
            completeness: 1.0,
            worth: WorthPoints(1),
        };
        let target = book.classes.entry(args.name.clone()).or_insert(fresh);
        target.rank = args.rank.unwrap_or(target.rank);
        target.first_token_ms = args.start_ms.unwrap_or(target.first_token_ms);
        target.token_gap_ms = args.gap_ms.unwrap_or(target.token_gap_ms);
        target.completeness = args.completeness.unwrap_or(target.completeness);
        target.worth = args.worth.unwrap_or(target.worth);
        Ok(())
    })?;
    let mut report = show(&book, &args.name)?;
    report.text = format!("version {}\n{}", book.version, report.text);
    Ok(report)
}

fn remove(editor: &ConfigEditor, args: &RemoveArgs) -> Result<CommandReport, CliError> {
    let note = format!("class remove {}", args.name);
    let book = editor.edit(&note, args.expect, |book| {
        let removed = book.classes.remove(&args.name);
        let name = args.name.to_string();
        removed.context(MissingSnafu {
            kind: "class",
            name,
        })?;
        Ok(())
    })?;
    let text = format!("version {}: class {} is removed\n", book.version, args.name);
    Ok(CommandReport::new(text, &book.version))
}
