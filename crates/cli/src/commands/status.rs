//! `galenarail status`: shows the state of the configuration, entries and instances.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use serde::Serialize;
use store::{
    InstanceRecord,
    InstanceState,
    ProcessKind, //
};
use units::{
    ConfigVersion,
    InstanceId, //
};
use ureq::Agent;

use crate::table::format_table;
use crate::{
    CliError,
    CommandReport,
    ConfigEditor, //
};

const HTTP_TIMEOUT: Duration = Duration::from_secs(2);

/// show the state of the configuration, entries and instances
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArgs {
    /// address of the platform's list of instances
    #[argh(option)]
    platform: Option<SocketAddr>,
    /// address on which an entry serves callers; may be given several times
    #[argh(option)]
    entry: Vec<SocketAddr>,
}

#[derive(Serialize)]
struct SystemStatus {
    version: ConfigVersion,
    classes: usize,
    drains: Vec<InstanceId>,
    instances: Vec<InstanceRecord>,
    entries: Vec<EntryStatus>,
}

#[derive(Serialize)]
struct EntryStatus {
    address: SocketAddr,
    ready: bool,
    links: Option<u64>,
    config_version: Option<u64>,
    planner: Option<bool>,
}

pub(crate) fn run(editor: &ConfigEditor, args: &StatusArgs) -> Result<CommandReport, CliError> {
    let config = editor.read()?;
    let agent_config = Agent::config_builder()
        .timeout_global(Some(HTTP_TIMEOUT))
        .http_status_as_error(false)
        .build();
    let agent = Agent::new_with_config(agent_config);
    let status = SystemStatus {
        version: config.version,
        classes: config.classes.len(),
        drains: config.drains.iter().cloned().collect(),
        instances: args
            .platform
            .and_then(|address| list_instances(&agent, address))
            .unwrap_or_default(),
        entries: args
            .entry
            .iter()
            .map(|address| fetch_entry_status(&agent, *address))
            .collect(),
    };
    Ok(CommandReport::new(format_status(&status), &status))
}

fn list_instances(agent: &Agent, address: SocketAddr) -> Option<Vec<InstanceRecord>> {
    let text = fetch(agent, address, "/v1/instances")?;
    serde_json::from_str(&text).ok()
}

fn fetch(agent: &Agent, address: SocketAddr, path: &str) -> Option<String> {
    let mut response = agent.get(format!("http://{address}{path}")).call().ok()?;
    if response.status() != 200 {
        return None;
    }
    response.body_mut().read_to_string().ok()
}

fn fetch_entry_status(agent: &Agent, address: SocketAddr) -> EntryStatus {
    let ready = fetch(agent, address, "/readyz").is_some();
    let metrics = fetch(agent, address, "/metrics").unwrap_or_default();
    let gauge_value = |name: &str| -> Option<u64> {
        let line = metrics.lines().find(|line| line.starts_with(name))?;
        line.split(' ').next_back()?.parse().ok()
    };
    EntryStatus {
        address,
        ready,
        links: gauge_value("galenarail_entry_links "),
        config_version: gauge_value("galenarail_entry_config_version "),
        planner: gauge_value("galenarail_entry_planner ").map(|value| value == 1),
    }
}

fn format_optional<T: ToString>(value: Option<T>) -> String {
    value.map_or("?".into(), |value| value.to_string())
}

fn format_status(status: &SystemStatus) -> String {
    let mut text = format!("configuration version {}\n", status.version);
    text += &format!("classes {}\n", status.classes);
    let drains: Vec<String> = status.drains.iter().map(ToString::to_string).collect();
    text += &format!("drained instances: {}\n", drains.join(" "));
    if !status.entries.is_empty() {
        let row = |entry: &EntryStatus| {
            vec![
                entry.address.to_string(),
                entry.ready.to_string(),
                format_optional(entry.links),
                format_optional(entry.config_version),
                format_optional(entry.planner),
            ]
        };
        let rows: Vec<Vec<String>> = status.entries.iter().map(row).collect();
        text += &format_table(&["ENTRY", "READY", "LINKS", "CONFIG", "PLANNER"], &rows);
    }
    if !status.instances.is_empty() {
        let row = |record: &InstanceRecord| {
            let kind = if record.kind == ProcessKind::Entry {
                "entry"
            } else {
                "side"
            };
            let is_leaving = record.state == InstanceState::Leaving;
            let state = if is_leaving { "leaving" } else { "live" };
            let data_centre = record.data_centre.to_string();
            vec![
                record.instance.to_string(),
                data_centre,
                kind.into(),
                state.into(),
            ]
        };
        let rows: Vec<Vec<String>> = status.instances.iter().map(row).collect();
        text += &format_table(&["INSTANCE", "DATA CENTRE", "PROCESS", "STATE"], &rows);
    }
    text
}
