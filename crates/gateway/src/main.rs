//! Program of the gateway daemon.

use std::process::ExitCode;

use conf::GatewaySettings;
use gateway::GatewayDaemon;
use host::{
    DaemonProgram,
    LogPlace, //
};

fn main() -> ExitCode {
    let program = DaemonProgram {
        name: "galenarail-gateway",
        check: GatewaySettings::check,
        log: |settings: &GatewaySettings| LogPlace::Stdout(settings.instance.clone()),
    };
    program.run_single(
        async |settings, log| Ok(GatewayDaemon::start(settings, log).await?),
        GatewayDaemon::reload,
        GatewayDaemon::stop,
    )
}
