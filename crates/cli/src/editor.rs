//! Reads and changes the stored configuration.
//!
//! Changes are compare-and-swap writes, so that no operator overwrites the concurrent change of
//! another, and each operator learns whether their change took effect.

use std::time::Duration;

use conf::{
    ConfError,
    SystemConfig, //
};
use snafu::ResultExt;
use store::{
    BlockingClient,
    StoreError,
    StoreKey, //
};
use units::ConfigVersion;

use crate::CliError;
use crate::error::{
    ConflictSnafu,
    InvalidChangeSnafu,
    InvalidStoredConfigSnafu,
    OutcomeUnknownSnafu,
    StoreSnafu,
    TooManyConflictsSnafu, //
};

const MAX_WRITE_ATTEMPTS: u32 = 20;
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reads and changes the configuration in the store.
#[derive(Debug, Clone)]
pub struct ConfigEditor {
    client: BlockingClient,
}

impl ConfigEditor {
    /// Creates an editor that uses the given client of the store.
    pub fn new(client: BlockingClient) -> Self {
        Self { client }
    }

    /// Returns the stored configuration, or an empty one if none is stored.
    pub fn read(&self) -> Result<SystemConfig, CliError> {
        let (_, config) = self.read_with_index().context(StoreSnafu)??;
        Ok(config)
    }

    /// Applies a change to the latest configuration and writes the result. If another operator has
    /// changed the configuration in the meantime, the change is applied to the new one.
    ///
    /// If the reply to a write is lost, the history of the stored configuration shows whether the
    /// write took effect. Fails if `expected` is given and is not the stored version.
    pub fn edit(
        &self,
        note: &str,
        expected: Option<ConfigVersion>,
        change: impl Fn(&mut SystemConfig) -> Result<(), CliError>,
    ) -> Result<SystemConfig, CliError> {
        let write_id = hex::encode(rand::random::<[u8; 12]>());
        let mut lost_reply: Option<StoreError> = None;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let (index, mut config) = match self.read_with_index() {
                Ok(read_result) => read_result?,
                // The outcome of an earlier write is still unknown.
                Err(source) if lost_reply.is_some() => {
                    lost_reply = Some(source);
                    std::thread::sleep(RETRY_DELAY);
                    continue;
                }
                Err(source) => return Err(CliError::Store { source }),
            };
            if config.contains_write(&write_id) {
                return Ok(config);
            }
            check_expected_version(&config, expected)?;
            change(&mut config)?;
            config.record_change(write_id.clone(), note.into());
            config.check().context(InvalidChangeSnafu)?;
            match self.write(index, &config) {
                Ok(true) => return Ok(config),
                Ok(false) => {}
                Err(source) if source.had_no_effect() && lost_reply.is_none() => {
                    return Err(CliError::Store { source });
                }
                Err(source) => {
                    lost_reply = Some(source);
                    std::thread::sleep(RETRY_DELAY);
                }
            }
        }
        match lost_reply {
            Some(source) => Err(source).context(OutcomeUnknownSnafu),
            None => TooManyConflictsSnafu {
                attempts: MAX_WRITE_ATTEMPTS,
            }
            .fail(),
        }
    }

    fn write(&self, index: u64, config: &SystemConfig) -> Result<bool, StoreError> {
        self.client
            .compare_and_swap(&StoreKey::config(), index, &config.to_json())
    }

    /// Returns the stored configuration with its modification index, which is 0 if none is stored.
    /// The outer error is a failed read, the inner one an invalid stored configuration.
    fn read_with_index(&self) -> Result<Result<(u64, SystemConfig), CliError>, StoreError> {
        let Some(value) = self.client.get(&StoreKey::config())? else {
            return Ok(Ok((0, SystemConfig::default())));
        };
        let parsed: Result<SystemConfig, ConfError> = SystemConfig::from_json(&value.data);
        Ok(parsed
            .context(InvalidStoredConfigSnafu)
            .map(|config| (value.index, config)))
    }
}

fn check_expected_version(
    config: &SystemConfig,
    expected: Option<ConfigVersion>,
) -> Result<(), CliError> {
    let found = config.version;
    match expected {
        Some(expected) if expected != found => ConflictSnafu { found, expected }.fail(),
        _ => Ok(()),
    }
}
