//! `galenarail fleet`: shows the gateways, backend servers and configuration in the platform's
//! metadata store.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use gateway::{
    FleetOverview,
    ServiceCount, //
};
use platform::KeyStore;
use serde_json::json;
use snafu::ResultExt;
use units::ServiceName;

use crate::error::{
    MetadataStoreSnafu,
    RuntimeSnafu, //
};
use crate::table::format_table;
use crate::{
    CliError,
    CommandReport, //
};

/// Timeout of each request to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// show the gateways, backend servers and configuration in the platform's metadata store
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub(crate) struct FleetArgs {}

pub(crate) fn run(store: SocketAddr) -> Result<CommandReport, CliError> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().context(RuntimeSnafu)?;
    let store = KeyStore::new(store, STORE_TIMEOUT);
    let overview = runtime.block_on(FleetOverview::read(&store));
    let overview = overview.context(MetadataStoreSnafu)?;
    let value = to_json(&overview);
    Ok(CommandReport::new(to_text(&overview), &value))
}

fn to_json(overview: &FleetOverview) -> serde_json::Value {
    let services = overview.services.iter().map(|(name, count)| {
        json!({
            "service": name.to_string(),
            "ready": count.ready,
            "leaving": count.draining,
            "prefill": count.prefill,
            "decode": count.decode,
        })
    });
    let gateways = overview.gateways.keys().map(ToString::to_string);
    json!({
        "version": overview.config.map(|(version, _)| version.0),
        "routes": overview.config.map(|(_, routes)| routes),
        "planner": overview.planner,
        "gateways": gateways.collect::<Vec<_>>(),
        "services": services.collect::<Vec<_>>(),
        "unreadable": overview.unreadable,
    })
}

fn to_text(overview: &FleetOverview) -> String {
    let mut text = match overview.config {
        Some((version, routes)) => format!("configuration version {version}, {routes} routes\n"),
        None => "no configuration\n".to_owned(),
    };
    let planner = overview.planner.as_deref().unwrap_or("none");
    text += &format!("planner: {planner}\n");
    let gateways = overview.gateways.iter();
    let rows: Vec<Vec<String>> = gateways
        .map(|(instance, address)| vec![instance.to_string(), address.to_string()])
        .collect();
    text += &format_table(&["GATEWAY", "MESSAGES"], &rows);
    let rows: Vec<Vec<String>> = overview.services.iter().map(service_row).collect();
    text += &format_table(&["SERVICE", "READY", "LEAVING", "PREFILL", "DECODE"], &rows);
    for entry in &overview.unreadable {
        text += &format!("cannot be read: {entry}\n");
    }
    text
}

fn service_row((name, count): (&ServiceName, &ServiceCount)) -> Vec<String> {
    let counts = [count.ready, count.draining, count.prefill, count.decode];
    let counts = counts.iter().map(ToString::to_string);
    std::iter::once(name.to_string()).chain(counts).collect()
}
