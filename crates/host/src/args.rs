//! Command-line arguments that all daemons share.

use std::path::PathBuf;

use argh::FromArgs;
use conf::ConfError;

/// Runs a daemon of galenarail until SIGTERM or SIGINT, which stop it gracefully.
#[derive(FromArgs)]
pub struct DaemonArgs {
    /// path of the JSON settings file; default: the environment variable GALENARAIL_SETTINGS
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}

/// Environment variable that names the settings file if `--settings` is absent.
const SETTINGS_ENV_VARIABLE: &str = "GALENARAIL_SETTINGS";

impl DaemonArgs {
    /// Returns the path of the settings file, from the argument or else from the environment.
    pub(crate) fn settings_path(&self) -> Result<PathBuf, ConfError> {
        let named = || std::env::var_os(SETTINGS_ENV_VARIABLE).map(PathBuf::from);
        let path = self.settings.clone().or_else(named);
        path.ok_or(ConfError::NoSettingsFile {
            variable: SETTINGS_ENV_VARIABLE,
        })
    }
}
