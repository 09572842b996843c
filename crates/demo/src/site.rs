//! Starts and stops a site.

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
    SiteOptions,
    sample_config, //
};

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const DEMO_SECRET: &str = "67616c656e617261696c2064656d6f2073656372657421";
const READY_POLL: Duration = Duration::from_millis(50);

const PORT_TRIES: usize = 200;
const PORT_PAUSE: Duration = Duration::from_millis(10);

type AnyError = Box<dyn Error + Send + Sync>;

/// A side process and what stands beside it.
pub struct SideNode {
    /// Its settings, with which it can be started again.
    pub settings: SideSettings,
    /// The process while it runs.
    pub daemon: Option<SideDaemon>,
    /// Its log.
    pub log: LogSink,
}

/// A running site.
pub struct DemoSite {
    /// The store stand-in.
    pub store: FakeStore,
    /// The platform's list.
    pub platform: FakePlatform,
    /// Engines by instance.
    pub engines: BTreeMap<InstanceId, FakeEngine>,
    /// Plain services by instance.
    pub services: BTreeMap<InstanceId, FakeService>,
    /// Side processes by instance.
    pub sides: BTreeMap<InstanceId, SideNode>,
    /// Relays before side processes, where asked for.
    pub relays: BTreeMap<InstanceId, StallingRelay>,
    /// Entries; a stopped one is absent.
    pub entries: Vec<Option<EntryDaemon>>,
    /// Logs of the entries.
    pub entry_logs: Vec<LogSink>,
    options: SiteOptions,
    records: BTreeMap<InstanceId, InstanceRecord>,
}

fn demo_secret() -> Result<HexSecret, AnyError> {
    Ok(HexSecret::try_from(DEMO_SECRET.to_owned())?)
}

fn centre_name(index: usize) -> Result<DataCentre, AnyError> {
    Ok(format!("dc-{}", index + 1).parse()?)
}

impl DemoSite {
    /// Starts everything with the sample configuration.
    pub async fn start(options: SiteOptions) -> Result<Self, AnyError> {
        Self::start_with(options, sample_config()).await
    }

    /// Starts everything with a configuration.
    pub async fn start_with(options: SiteOptions, config: SystemConfig) -> Result<Self, AnyError> {
        let store = FakeStore::start(LOOPBACK).await?;
        store.seed("galenarail/config", config.to_json());
        let platform = FakePlatform::start(LOOPBACK, options.list_lag).await?;
        let mut site = Self {
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
        for centre in 0..site.options.centres {
            for index in 0..site.options.engines {
                site.add_engine(centre, index).await?;
            }
            for index in 0..site.options.services {
                site.add_service(centre, index).await?;
            }
        }
        for index in 0..site.options.entries {
            site.list_entry(index)?;
        }
        site.show_list();
        for index in 0..site.options.entries {
            site.entry_logs.push(site.make_log(&entry_name(index)?)?);
            site.entries.push(None);
            site.start_entry(index).await?;
        }
        Ok(site)
    }

    /// Waits until every running entry has a configuration and a link.
    pub async fn wait_ready(&self) {
        while !self.entries.iter().flatten().all(EntryDaemon::is_ready) {
            sleep(READY_POLL).await;
        }
        // One more heartbeat, so that every side has told its load.
        sleep(READY_POLL * 8).await;
    }

    /// Address of an entry.
    pub fn entry_address(&self, index: usize) -> Option<SocketAddr> {
        Some(self.entries.get(index)?.as_ref()?.address())
    }

    /// Starts an entry that is not running.
    pub async fn start_entry(&mut self, index: usize) -> Result<(), AnyError> {
        let instance = entry_name(index)?;
        let settings = EntrySettings {
            instance,
            data_centre: centre_name(index % self.options.centres)?,
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

    /// Starts the side process of an instance that is not running, on its old address.
    pub async fn start_side(&mut self, instance: &InstanceId) -> Result<(), AnyError> {
        let node = self.sides.get_mut(instance).ok_or("no such instance")?;
        let mut started = SideDaemon::start(node.settings.clone(), node.log.clone()).await;
        for _ in 0..PORT_TRIES {
            if started.is_ok() {
                break;
            }
            // The process before may hold its ports a little longer; their threads end by
            // themselves, whatever the runtime's clock does.
            std::thread::sleep(PORT_PAUSE);
            sleep(PORT_PAUSE).await;
            started = SideDaemon::start(node.settings.clone(), node.log.clone()).await;
        }
        let daemon = started?;
        node.settings.listen = daemon.address();
        node.settings.operations = daemon.operations_address();
        node.daemon = Some(daemon);
        Ok(())
    }

    /// Takes the side process of an instance out of the site.
    pub fn take_side(&mut self, instance: &InstanceId) -> Option<SideDaemon> {
        self.sides.get_mut(instance)?.daemon.take()
    }

    /// Sets an instance's state in the platform's list.
    pub fn set_listed(&mut self, instance: &InstanceId, state: InstanceState) {
        if let Some(record) = self.records.get_mut(instance) {
            record.state = state;
        }
        self.show_list();
    }

    /// Lists an instance under another address, such as that of a recording relay.
    pub fn set_address(&mut self, instance: &InstanceId, address: SocketAddr) {
        if let Some(record) = self.records.get_mut(instance) {
            record.address = address;
        }
        self.show_list();
    }

    /// Stops the entries and the side processes gracefully.
    pub async fn stop(mut self) {
        for entry in self.entries.drain(..).flatten() {
            entry.stop().await;
        }
        let daemons = self
            .sides
            .values_mut()
            .filter_map(|node| node.daemon.take());
        let stopping: Vec<_> = daemons.map(|daemon| tokio::spawn(daemon.stop())).collect();
        for task in stopping {
            // A task that failed has stopped as well.
            let _ = task.await;
        }
    }

    fn show_list(&self) {
        self.platform
            .set_instances(self.records.values().cloned().collect());
    }

    fn make_log(&self, instance: &InstanceId) -> Result<LogSink, AnyError> {
        if let Some(dir) = &self.options.log_dir {
            let path = dir.join(format!("{instance}.log"));
            return Ok(LogSink::file(instance.clone(), &path)?);
        }
        if self.options.keep_logs {
            return Ok(LogSink::memory(instance.clone()));
        }
        Ok(LogSink::none(instance.clone()))
    }

    async fn add_engine(&mut self, centre: usize, index: usize) -> Result<(), AnyError> {
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
        let instance: InstanceId = format!("engine-{}-{}", centre + 1, index + 1).parse()?;
        let checks_fencing = self.options.checks_fencing;
        let kind = BackendKind::Engine { checks_fencing };
        self.add_side(centre, instance.clone(), engine.address(), kind)
            .await?;
        self.engines.insert(instance, engine);
        Ok(())
    }

    async fn add_service(&mut self, centre: usize, index: usize) -> Result<(), AnyError> {
        let service = FakeService::start(LOOPBACK).await?;
        let instance: InstanceId = format!("orders-{}-{}", centre + 1, index + 1).parse()?;
        let kind = BackendKind::Service {
            name: "orders".parse()?,
        };
        self.add_side(centre, instance.clone(), service.address(), kind)
            .await?;
        self.services.insert(instance, service);
        Ok(())
    }

    async fn add_side(
        &mut self,
        centre: usize,
        instance: InstanceId,
        backend: SocketAddr,
        kind: BackendKind,
    ) -> Result<(), AnyError> {
        let settings = SideSettings {
            instance: instance.clone(),
            data_centre: centre_name(centre)?,
            listen: LOOPBACK,
            operations: LOOPBACK,
            backend,
            kind,
            secret: demo_secret()?,
            log_file: None,
            grace_ms: 60_000,
            lease_ms: 6_000,
        };
        let log = self.make_log(&instance)?;
        let data_centre = settings.data_centre.clone();
        self.sides.insert(
            instance.clone(),
            SideNode {
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

    fn list_entry(&mut self, index: usize) -> Result<(), AnyError> {
        let instance = entry_name(index)?;
        let record = InstanceRecord {
            instance: instance.clone(),
            data_centre: centre_name(index % self.options.centres)?,
            address: LOOPBACK,
            kind: ProcessKind::Entry,
            state: InstanceState::Live,
        };
        self.records.insert(instance, record);
        Ok(())
    }
}

fn entry_name(index: usize) -> Result<InstanceId, AnyError> {
    Ok(format!("entry-{}", index + 1).parse()?)
}
