//! Settings file that can be loaded again while the daemon runs.

use std::path::{
    Path,
    PathBuf, //
};

/// Settings file, the function that loads it, and its contents at the last load.
pub(crate) struct SettingsSource<R> {
    path: PathBuf,
    load: R,
    contents: Vec<u8>,
}

fn read_contents(path: &Path) -> Vec<u8> {
    // `load` reports the error if the file cannot be read.
    std::fs::read(path).unwrap_or_default()
}

impl<R> SettingsSource<R> {
    /// Creates the source for a file that has just been loaded.
    pub(crate) fn new(path: PathBuf, load: R) -> Self {
        let contents = read_contents(&path);
        Self {
            path,
            load,
            contents,
        }
    }

    /// Returns whether the contents of the file differ from those at the last load.
    pub(crate) fn has_changed(&self) -> bool {
        read_contents(&self.path) != self.contents
    }

    /// Loads the settings again.
    pub(crate) fn reload<S, E>(&mut self) -> Result<S, E>
    where
        R: Fn() -> Result<S, E>,
    {
        self.contents = read_contents(&self.path);
        (self.load)()
    }
}
