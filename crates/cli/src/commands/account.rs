//! `galenarail account`: adds, lists and removes callers' accounts.

use argh::FromArgs;
use conf::AccountConfig;
use serde::Serialize;
use snafu::ensure;
use units::{
    AccountName,
    ConfigVersion,
    KeyDigest, //
};

use crate::error::NotFoundSnafu;
use crate::table::format_table;
use crate::{
    CliError,
    CommandReport,
    ConfigEditor, //
};

const ACCOUNT_KEY_BYTES: usize = 24;

/// add, list and remove callers' accounts
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "account")]
pub(crate) struct AccountArgs {
    #[argh(subcommand)]
    action: AccountAction,
}

#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
enum AccountAction {
    Add(AddArgs),
    List(ListArgs),
    Remove(RemoveArgs),
}

/// add an account, or give it a new key, and print the key once
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
struct AddArgs {
    /// name of the account
    #[argh(positional)]
    name: AccountName,
    /// sustained requests per second that each entry admits
    #[argh(option, default = "50.0")]
    rate: f64,
    /// requests that each entry admits at once after a pause
    #[argh(option, default = "100")]
    burst: u32,
}

/// list the accounts
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {}

/// remove an account
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct RemoveArgs {
    /// name of the account
    #[argh(positional)]
    name: AccountName,
}

#[derive(Serialize)]
struct AddedAccount<'a> {
    version: ConfigVersion,
    name: &'a AccountName,
    key: &'a str,
}

pub(crate) fn run(editor: &ConfigEditor, args: &AccountArgs) -> Result<CommandReport, CliError> {
    match &args.action {
        AccountAction::Add(args) => add(editor, args),
        AccountAction::List(_) => list(editor),
        AccountAction::Remove(args) => remove(editor, args),
    }
}

fn add(editor: &ConfigEditor, args: &AddArgs) -> Result<CommandReport, CliError> {
    let key = hex::encode(rand::random::<[u8; ACCOUNT_KEY_BYTES]>());
    let account = AccountConfig {
        key_sha256: KeyDigest::from_key(key.as_bytes()),
        requests_per_second: args.rate,
        burst: args.burst,
    };
    let name = &args.name;
    let config = editor.edit(&format!("account add {name}"), None, |config| {
        config.accounts.insert(name.clone(), account.clone());
        Ok(())
    })?;
    let version = config.version;
    let text = format!("version {version}: account {name}\nkey: {key}\nonly its digest is kept\n");
    Ok(CommandReport::new(
        text,
        &AddedAccount {
            version,
            name,
            key: &key,
        },
    ))
}

fn list(editor: &ConfigEditor) -> Result<CommandReport, CliError> {
    let config = editor.read()?;
    let row = |(name, account): (&AccountName, &AccountConfig)| {
        vec![
            name.to_string(),
            account.requests_per_second.to_string(),
            account.burst.to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = config.accounts.iter().map(row).collect();
    let text = format_table(&["ACCOUNT", "RATE", "BURST"], &rows);
    Ok(CommandReport::new(text, &config.accounts))
}

fn remove(editor: &ConfigEditor, args: &RemoveArgs) -> Result<CommandReport, CliError> {
    let account = &args.name;
    let config = editor.edit(&format!("account remove {account}"), None, |config| {
        let name = account.to_string();
        ensure!(
            config.accounts.remove(account).is_some(),
            NotFoundSnafu {
                kind: "account",
                name
            }
        );
        Ok(())
    })?;
    let text = format!("version {}: account {account} is removed\n", config.version);
    Ok(CommandReport::new(text, &config.version))
}
