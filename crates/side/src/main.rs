//! Program of the side daemon.

use std::process::ExitCode;

use conf::SideSettings;
use host::{
    DaemonProgram,
    LogOutput, //
};
use side::SideDaemon;

fn main() -> ExitCode {
    let program = DaemonProgram {
        name: "galenarail-side",
        check: SideSettings::check,
        log_output: |settings: &SideSettings| {
            LogOutput::File(settings.instance.clone(), settings.log_file.clone())
        },
    };
    program.run(
        async |settings, log| Ok(SideDaemon::start(settings, log).await?),
        SideDaemon::stop,
    )
}
