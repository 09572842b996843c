//! Changes the configuration by compare-and-swap, so that racing operators both learn the truth.

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
    BusySnafu,
    ConflictSnafu,
    InvalidSnafu,
    StoreSnafu,
    StoredSnafu,
    UnresolvedSnafu, //
};

const TRIES: u32 = 20;
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Reads and changes the configuration in the store.
#[derive(Debug, Clone)]
pub struct ConfigEditor {
    client: BlockingClient,
}

impl ConfigEditor {
    /// An editor over a store's client.
    pub fn new(client: BlockingClient) -> Self {
        Self { client }
    }

    /// The configuration in the store, an empty one where there is none.
    pub fn read(&self) -> Result<SystemConfig, CliError> {
        let (_, book) = self.read_indexed().context(StoreSnafu)??;
        Ok(book)
    }

    /// Applies a change to the latest configuration until it is written or refused.
    ///
    /// A write whose answer was lost is resolved by reading back which writes took effect.
    pub fn edit(
        &self,
        note: &str,
        expected: Option<ConfigVersion>,
        change: impl Fn(&mut SystemConfig) -> Result<(), CliError>,
    ) -> Result<SystemConfig, CliError> {
        let write_id = hex::encode(rand::random::<[u8; 12]>());
        let mut lost: Option<StoreError> = None;
        for _ in 0..TRIES {
            let (index, mut book) = match self.read_indexed() {
                Ok(read) => read?,
                Err(source) if lost.is_some() => {
                    lost = Some(source);
                    std::thread::sleep(RETRY_PAUSE);
                    continue;
                }
                Err(source) => return Err(CliError::Store { source }),
            };
            if book.contains_write(&write_id) {
                return Ok(book);
            }
            check_expected(&book, expected)?;
            change(&mut book)?;
            book.record_change(write_id.clone(), note.into());
            book.check().context(InvalidSnafu)?;
            match self.write(index, &book) {
                Ok(true) => return Ok(book),
                Ok(false) => {}
                Err(source) if source.had_no_effect() && lost.is_none() => {
                    return Err(CliError::Store { source });
                }
                Err(source) => {
                    lost = Some(source);
                    std::thread::sleep(RETRY_PAUSE);
                }
            }
        }
        match lost {
            Some(source) => Err(source).context(UnresolvedSnafu),
            None => BusySnafu { tries: TRIES }.fail(),
        }
    }

    fn write(&self, index: u64, book: &SystemConfig) -> Result<bool, StoreError> {
        self.client
            .compare_and_swap(&StoreKey::config(), index, &book.to_json())
    }

    fn read_indexed(&self) -> Result<Result<(u64, SystemConfig), CliError>, StoreError> {
        let Some(value) = self.client.get(&StoreKey::config())? else {
            return Ok(Ok((0, SystemConfig::default())));
        };
        let parsed: Result<SystemConfig, ConfError> = SystemConfig::from_json(&value.data);
        Ok(parsed.context(StoredSnafu).map(|book| (value.index, book)))
    }
}

fn check_expected(book: &SystemConfig, expected: Option<ConfigVersion>) -> Result<(), CliError> {
    let found = book.version;
    match expected {
        Some(expected) if expected != found => ConflictSnafu { found, expected }.fail(),
        _ => Ok(()),
    }
}
