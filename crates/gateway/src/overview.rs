//! What the platform's store says of gateways, backend servers and the configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use platform::{
    BACKEND_PREFIX,
    CONFIG_KEY,
    KeyStore,
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

use crate::membership::{
    GATEWAY_PREFIX,
    PLANNER_KEY,
    parse_member, //
};

/// Backend servers of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceCount {
    /// Servers that take work.
    pub ready: usize,
    /// Servers that have announced that they leave.
    pub draining: usize,
    /// Engines among the ready ones that read prompts apart.
    pub prefill: usize,
    /// Engines among the ready ones that generate.
    pub decode: usize,
}

/// What the store says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetOverview {
    /// Version and routes of the configuration, where there is one.
    pub config: Option<(ConfigVersion, usize)>,
    /// Gateways with their addresses for messages.
    pub gateways: BTreeMap<InstanceId, SocketAddr>,
    /// The gateway that gives orders.
    pub planner: Option<String>,
    /// Backend servers by service.
    pub services: BTreeMap<ServiceName, ServiceCount>,
    /// Keys whose entries cannot be read, with the reason.
    pub unreadable: Vec<String>,
}

impl FleetOverview {
    /// Reads what the store says now.
    pub async fn read(store: &KeyStore) -> Result<Self, PlatformError> {
        let mut overview = Self::default();
        if let Some(item) = store.get(CONFIG_KEY).await? {
            match parse_configuration(&item.value) {
                Ok(table) => overview.config = Some((table.version, table.len())),
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
