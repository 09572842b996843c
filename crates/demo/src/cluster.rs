//! Starts and stops the processes of a demo cluster.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use conf::{
    BackendKind,
    EntrySettings,
    HexSecret,
    SideSettings,
    SystemConfig, //
};
use entry::EntryDaemon;
use fakes::{
    FakeEngine,
    FakeEngineSettings,
    FakePlatform,
    FakeService,
    FakeStore,
    StallingRelay, //
};
use logs::LogSink;
use policy::EngineRole;
use side::SideDaemon;
use store::{
    InstanceRecord,
    InstanceState,
    ProcessKind, //
};
use tokio::time::sleep;
use units::{
    DataCentre,
    InstanceId,
    ModelName, //
};

use crate::{
    ClusterOptions,
    sample_config, //
};

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const DEMO_SECRET: &str = "67616c656e617261696c2064656d6f2073656372657421";
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

const PORT_ATTEMPTS: usize = 200;
const PORT_RETRY_DELAY: Duration = Duration::from_millis(10);

type AnyError = Box<dyn Error + Send + Sync>;

/// A side process with its settings and log.
pub struct SideProcess {
    /// Settings, also used to restart the process.
    pub settings: SideSettings,
    /// Running daemon, or `None` while the process is stopped.
    pub daemon: Option<SideDaemon>,
    /// Log of the process, kept across restarts.
    pub log: LogSink,
}

/// A running demo cluster.
pub struct DemoCluster {
    /// Fake metadata store.
    pub store: FakeStore,
    /// Fake platform that serves the instance list.
    pub platform: FakePlatform,
    /// Fake engines by instance.
    pub engines: BTreeMap<InstanceId, FakeEngine>,
    /// Fake plain services by instance.
    pub services: BTreeMap<InstanceId, FakeService>,
    /// Side processes by instance.
    pub sides: BTreeMap<InstanceId, SideProcess>,
    /// Relays in front of side processes; empty unless `ClusterOptions::relays` is set.
    pub relays: BTreeMap<InstanceId, StallingRelay>,
    /// Entries by index; `None` while an entry is stopped.
    pub entries: Vec<Option<EntryDaemon>>,
    /// Logs of the entries by index.
    pub entry_logs: Vec<LogSink>,
    options: ClusterOptions,
    records: BTreeMap<InstanceId, InstanceRecord>,
}

fn demo_secret() -> Result<HexSecret, AnyError> {
    Ok(HexSecret::try_from(DEMO_SECRET.to_owned())?)
}

fn data_centre_name(index: usize) -> Result<DataCentre, AnyError> {
    Ok(format!("dc-{}", index + 1).parse()?)
}

impl DemoCluster {
    /// Starts a cluster with the sample configuration.
    pub async fn start(options: ClusterOptions) -> Result<Self, AnyError> {
        Self::start_with_config(options, sample_config()).await
    }

    /// Starts a cluster with the given configuration.
    pub async fn start_with_config(
        options: ClusterOptions,
        config: SystemConfig,
    ) -> Result<Self, AnyError> {
        let store = FakeStore::start(LOOPBACK).await?;
        store.seed("galenarail/config", config.to_json());
        let platform = FakePlatform::start(LOOPBACK, options.list_delay).await?;
        let mut cluster = Self {
            store,
            platform,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            sides: BTreeMap::new(),
            relays: BTreeMap::new(),
            entries: Vec::new(),
            entry_logs: Vec::new(),
            options,
            records: BTreeMap::new(),
        };
        for data_centre_index in 0..cluster.options.data_centres {
            for index in 0..cluster.options.engines {
                cluster.add_engine(data_centre_index, index).await?;
            }
            for index in 0..cluster.options.services {
                cluster.add_service(data_centre_index, index).await?;
            }
        }
        for index in 0..cluster.options.entries {
            cluster.register_entry(index)?;
        }
        cluster.publish_instances();
        for index in 0..cluster.options.entries {
            cluster
                .entry_logs
                .push(cluster.open_log(&entry_instance(index)?)?);
            cluster.entries.push(None);
            cluster.start_entry(index).await?;
        }
        Ok(cluster)
    }

    /// Waits until every running entry has a configuration and a link.
    pub async fn wait_ready(&self) {
        while !self.entries.iter().flatten().all(EntryDaemon::is_ready) {
            sleep(READY_POLL_INTERVAL).await;
        }
        // Waits for one more heartbeat, so that every side process has reported its load.
        sleep(READY_POLL_INTERVAL * 8).await;
    }

    /// Returns the address of an entry, or `None` while the entry is stopped.
    pub fn entry_address(&self, index: usize) -> Option<SocketAddr> {
        Some(self.entries.get(index)?.as_ref()?.address())
    }

    /// Starts an entry that is not running.
    pub async fn start_entry(&mut self, index: usize) -> Result<(), AnyError> {
        let instance = entry_instance(index)?;
        let settings = EntrySettings {
            instance,
            data_centre: data_centre_name(index % self.options.data_centres)?,
            listen: if index == 0 {
                self.options.listen
            } else {
                LOOPBACK
            },
            store: self.store.address(),
            platform: self.platform.address(),
            secret: demo_secret()?,
            log_file: None,
            sides_per_data_centre: self.options.sides_per_data_centre,
            limits: self.options.limits,
        };
        let log = self.entry_logs[index].clone();
        let daemon = EntryDaemon::start(settings, log).await?;
        self.entries[index] = Some(daemon);
        Ok(())
    }

    /// Starts a stopped side process again on its previous address.
    pub async fn start_side(&mut self, instance: &InstanceId) -> Result<(), AnyError> {
        let process = self.sides.get_mut(instance).ok_or("no such instance")?;
        let mut started = SideDaemon::start(process.settings.clone(), process.log.clone()).await;
        for _ in 0..PORT_ATTEMPTS {
            if started.is_ok() {
                break;
            }
            // The previous process may still hold its ports. Its threads end in real time, also
            // while the clock of the runtime is paused.
            std::thread::sleep(PORT_RETRY_DELAY);
            sleep(PORT_RETRY_DELAY).await;
            started = SideDaemon::start(process.settings.clone(), process.log.clone()).await;
        }
        let daemon = started?;
        process.settings.listen = daemon.address();
        process.settings.operations = daemon.operations_address();
        process.daemon = Some(daemon);
        Ok(())
    }

    /// Removes the running side process of an instance and returns it.
    pub fn take_side(&mut self, instance: &InstanceId) -> Option<SideDaemon> {
        self.sides.get_mut(instance)?.daemon.take()
    }

    /// Sets the state of an instance in the platform's instance list.
    pub fn set_listed_state(&mut self, instance: &InstanceId, state: InstanceState) {
        if let Some(record) = self.records.get_mut(instance) {
            record.state = state;
        }
        self.publish_instances();
    }

    /// Sets the address of an instance in the platform's instance list, for example to that of a
    /// frame tap.
    pub fn set_listed_address(&mut self, instance: &InstanceId, address: SocketAddr) {
        if let Some(record) = self.records.get_mut(instance) {
            record.address = address;
        }
        self.publish_instances();
    }

    /// Stops the entries and the side processes gracefully.
    pub async fn stop(mut self) {
        for entry in self.entries.drain(..).flatten() {
            entry.stop().await;
        }
        let daemons = self
            .sides
            .values_mut()
            .filter_map(|process| process.daemon.take());
        let stopping: Vec<_> = daemons.map(|daemon| tokio::spawn(daemon.stop())).collect();
        for task in stopping {
            // A task that failed has stopped its daemon as well.
            let _ = task.await;
        }
    }

    fn publish_instances(&self) {
        self.platform
            .set_instances(self.records.values().cloned().collect());
    }

    fn open_log(&self, instance: &InstanceId) -> Result<LogSink, AnyError> {
        if let Some(dir) = &self.options.log_dir {
            let path = dir.join(format!("{instance}.log"));
            return Ok(LogSink::file(instance.clone(), &path)?);
        }
        if self.options.log_in_memory {
            return Ok(LogSink::memory(instance.clone()));
        }
        Ok(LogSink::none(instance.clone()))
    }

    async fn add_engine(&mut self, data_centre_index: usize, index: usize) -> Result<(), AnyError> {
        let model: ModelName = "assistant".parse()?;
        let settings = FakeEngineSettings {
            profile: self.options.profile,
            role: if index < self.options.prefill_engines {
                EngineRole::Prefill
            } else {
                EngineRole::Mixed
            },
            models: BTreeSet::from([model]),
            checks_fencing: self.options.checks_fencing,
        };
        let engine = FakeEngine::start(LOOPBACK, settings).await?;
        let instance: InstanceId =
            format!("engine-{}-{}", data_centre_index + 1, index + 1).parse()?;
        let checks_fencing = self.options.checks_fencing;
        let kind = BackendKind::Engine { checks_fencing };
        self.add_side(data_centre_index, instance.clone(), engine.address(), kind)
            .await?;
        self.engines.insert(instance, engine);
        Ok(())
    }

    async fn add_service(
        &mut self,
        data_centre_index: usize,
        index: usize,
    ) -> Result<(), AnyError> {
        let service = FakeService::start(LOOPBACK).await?;
        let instance: InstanceId =
            format!("orders-{}-{}", data_centre_index + 1, index + 1).parse()?;
        let kind = BackendKind::Service {
            name: "orders".parse()?,
        };
        self.add_side(data_centre_index, instance.clone(), service.address(), kind)
            .await?;
        self.services.insert(instance, service);
        Ok(())
    }

    async fn add_side(
        &mut self,
        data_centre_index: usize,
        instance: InstanceId,
        backend: SocketAddr,
        kind: BackendKind,
    ) -> Result<(), AnyError> {
        let settings = SideSettings {
            instance: instance.clone(),
            data_centre: data_centre_name(data_centre_index)?,
            listen: LOOPBACK,
            operations: LOOPBACK,
            backend,
            kind,
            secret: demo_secret()?,
            log_file: None,
            grace_ms: 60_000,
            lease_ms: 6_000,
        };
        let log = self.open_log(&instance)?;
        let data_centre = settings.data_centre.clone();
        self.sides.insert(
            instance.clone(),
            SideProcess {
                settings,
                daemon: None,
                log,
            },
        );
        self.start_side(&instance).await?;
        let mut address = self.sides[&instance].settings.listen;
        if self.options.relays {
            let relay = StallingRelay::start(address).await?;
            address = relay.address();
            self.relays.insert(instance.clone(), relay);
        }
        let record = InstanceRecord {
            instance: instance.clone(),
            data_centre,
            address,
            kind: ProcessKind::Side,
            state: InstanceState::Live,
        };
        self.records.insert(instance, record);
        Ok(())
    }

    fn register_entry(&mut self, index: usize) -> Result<(), AnyError> {
        let instance = entry_instance(index)?;
        let record = InstanceRecord {
            instance: instance.clone(),
            data_centre: data_centre_name(index % self.options.data_centres)?,
            address: LOOPBACK,
            kind: ProcessKind::Entry,
            state: InstanceState::Live,
        };
        self.records.insert(instance, record);
        Ok(())
    }
}

fn entry_instance(index: usize) -> Result<InstanceId, AnyError> {
    Ok(format!("entry-{}", index + 1).parse()?)
}
