//! The file from which a daemon's settings are read, again when it changes.

use std::path::{
    Path,
    PathBuf, //
};

/// A settings file, its reader and the text that was read last.
pub(crate) struct SettingsSource<R> {
    path: PathBuf,
    load: R,
    contents: Vec<u8>,
}

fn read_contents(path: &Path) -> Vec<u8> {
    // A file that cannot be read is reported when it is read for its settings.
    std::fs::read(path).unwrap_or_default()
}

impl<R> SettingsSource<R> {
    /// A file that has just been read.
    pub(crate) fn new(path: PathBuf, load: R) -> Self {
        let contents = read_contents(&path);
        Self {
            path,
            load,
            contents,
        }
    }

    /// Whether the file holds another text than when it was read.
    pub(crate) fn has_changed(&self) -> bool {
        read_contents(&self.path) != self.contents
    }

    /// Reads the settings.
    pub(crate) fn reload<S, E>(&mut self) -> Result<S, E>
    where
        R: Fn() -> Result<S, E>,
    {
        self.contents = read_contents(&self.path);
        (self.load)()
    }
}
