//! Arguments of a daemon's program.

use std::path::PathBuf;

use argh::FromArgs;
use conf::ConfError;

/// Runs a daemon of galenarail until SIGTERM or SIGINT, which stop it gracefully.
#[derive(FromArgs)]
pub struct DaemonArgs {
    /// path of the JSON settings; else the environment variable GALENARAIL_SETTINGS names it
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// check the settings and end
    #[argh(switch)]
    pub check: bool,
}

/// Variable of the environment that names the settings file.
const SETTINGS_VARIABLE: &str = "GALENARAIL_SETTINGS";

impl DaemonArgs {
    /// Path of the settings file.
    pub(crate) fn path(&self) -> Result<PathBuf, ConfError> {
        let named = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
        let path = self.settings.clone().or_else(named);
        path.ok_or(ConfError::NoSettingsFile {
            variable: SETTINGS_VARIABLE,
        })
    }
}
