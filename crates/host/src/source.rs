//! The file from which a daemon's settings are read, again when it changes.

use std::path::{
    Path,
    PathBuf, //
};

/// A settings file, its reader and the text that was read last.
pub(crate) struct SettingsSource<R> {
    path: PathBuf,
    read: R,
    text: Vec<u8>,
}

fn text_of(path: &Path) -> Vec<u8> {
    // A file that cannot be read is reported when it is read for its settings.
    std::fs::read(path).unwrap_or_default()
}

impl<R> SettingsSource<R> {
    /// A file that has just been read.
    pub(crate) fn new(path: PathBuf, read: R) -> Self {
        let text = text_of(&path);
        Self { path, read, text }
    }

    /// Whether the file holds another text than when it was read.
    pub(crate) fn has_changed(&self) -> bool {
        text_of(&self.path) != self.text
    }

    /// Reads the settings.
    pub(crate) fn read<S, E>(&mut self) -> Result<S, E>
    where
        R: Fn() -> Result<S, E>,
    {
        self.text = text_of(&self.path);
        (self.read)()
    }
}
