//! Program of the entry daemon.

use std::process::ExitCode;

use conf::EntrySettings;
use entry::EntryDaemon;
use host::{
    DaemonProgram,
    LogOutput, //
};

fn main() -> ExitCode {
    let program = DaemonProgram {
        name: "galenarail-entry",
        check: EntrySettings::check,
        log_output: |settings: &EntrySettings| {
            LogOutput::File(settings.instance.clone(), settings.log_file.clone())
        },
    };
    program.run(
        async |settings, log| Ok(EntryDaemon::start(settings, log).await?),
        EntryDaemon::stop,
    )
}
