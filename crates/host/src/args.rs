//! Arguments of a daemon's program.

use std::path::PathBuf;

use argh::FromArgs;

/// Runs a daemon of galenarail until SIGTERM or SIGINT, which stop it gracefully.
#[derive(FromArgs)]
pub struct DaemonArgs {
    /// path of the JSON settings
    #[argh(option)]
    pub settings: PathBuf,
    /// check the settings and end
    #[argh(switch)]
    pub check: bool,
}
