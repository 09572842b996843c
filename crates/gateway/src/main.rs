//! Program of the gateway daemon.

use std::process::ExitCode;

use conf::GatewaySettings;
use gateway::GatewayDaemon;
use host::{
    DaemonProgram,
    LogOutput, //
};

fn main() -> ExitCode {
    let program = DaemonProgram {
        name: "galenarail-gateway",
        check: GatewaySettings::check,
        log_output: |settings: &GatewaySettings| LogOutput::Stdout(settings.instance.clone()),
    };
    program.run_single_threaded(
        async |settings, log| Ok(GatewayDaemon::start(settings, log).await?),
        GatewayDaemon::reload,
        GatewayDaemon::stop,
    )
}
