//! Overview of the gateways, the backend servers and the configuration in the platform's store.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use platform::{
    BACKEND_PREFIX,
    CONFIG_KEY,
    KeyStore,
    ParsedConfiguration,
    PlatformError,
    parse_backend,
    parse_configuration, //
};
use policy::EngineStage;
use units::{
    ConfigVersion,
    InstanceId,
    ServiceName, //
};

use crate::store::membership::{
    GATEWAY_PREFIX,
    parse_member, //
};
use crate::store::planner_lease::PLANNER_KEY;

/// Numbers of backend servers of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceCount {
    /// Number of backend servers that accept requests.
    pub ready: usize,
    /// Number of backend servers that are draining.
    pub draining: usize,
    /// Number of prefill engines among the ready ones.
    pub prefill: usize,
    /// Number of decode engines among the ready ones.
    pub decode: usize,
}

/// Gateways, backend servers and configuration in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetOverview {
    /// Version of the configuration and its number of routes, or `None` without a configuration.
    pub config: Option<(ConfigVersion, usize)>,
    /// Addresses of the gateways for load reports.
    pub gateways: BTreeMap<InstanceId, SocketAddr>,
    /// Gateway that holds the planner lease.
    pub planner: Option<String>,
    /// Numbers of backend servers by service.
    pub services: BTreeMap<ServiceName, ServiceCount>,
    /// Keys whose values cannot be parsed, with the error.
    pub unreadable: Vec<String>,
}

impl FleetOverview {
    /// Reads the current overview from the store.
    pub async fn read(store: &KeyStore) -> Result<Self, PlatformError> {
        let mut overview = Self::default();
        if let Some(item) = store.get(CONFIG_KEY).await? {
            match parse_configuration(&item.value) {
                Ok(ParsedConfiguration { table, .. }) => {
                    overview.config = Some((table.version, table.len()))
                }
                Err(error) => overview.unreadable.push(format!("{CONFIG_KEY}: {error}")),
            }
        }
        for item in store.range(GATEWAY_PREFIX).await?.items {
            if item.key == PLANNER_KEY {
                overview.planner = Some(String::from_utf8_lossy(&item.value).into_owned());
            }
            overview.gateways.extend(parse_member(&item));
        }
        for item in store.range(BACKEND_PREFIX).await?.items {
            match parse_backend(&item.key, &item.value) {
                Ok(record) => {
                    let count = overview.services.entry(record.service).or_default();
                    count.add_server(record.draining, record.stage);
                }
                Err(error) => overview.unreadable.push(format!("{}: {error}", item.key)),
            }
        }
        Ok(overview)
    }
}

impl ServiceCount {
    fn add_server(&mut self, draining: bool, stage: Option<EngineStage>) {
        if draining {
            self.draining += 1;
            return;
        }
        self.ready += 1;
        self.prefill += usize::from(stage == Some(EngineStage::Prefill));
        self.decode += usize::from(stage == Some(EngineStage::Decode));
    }
}
