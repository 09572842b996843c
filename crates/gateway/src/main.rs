//! Program of the gateway daemon.

use std::process::ExitCode;

use conf::{
    DutySettings,
    GatewaySettings, //
};
use gateway::GatewayDaemon;
use host::{
    DaemonProgram,
    LogOutput, //
};

/// Environment variable with the duties as JSON, since the settings file of an installation without duties
/// has no place for them.
const DUTIES_VARIABLE: &str = "GALENARAIL_DUTIES";

fn main() -> ExitCode {
    let program = DaemonProgram {
        name: "galenarail-gateway",
        check: GatewaySettings::check,
        log_output: |settings: &GatewaySettings| LogOutput::Stdout(settings.instance.clone()),
    };
    program.run_single_threaded(
        async |mut settings: GatewaySettings, log| {
            let duties = std::env::var(DUTIES_VARIABLE).unwrap_or_default();
            settings.duties = DutySettings::parse(&duties)?.or(settings.duties);
            Ok(GatewayDaemon::start(settings, log).await?)
        },
        GatewayDaemon::reload,
        GatewayDaemon::stop,
    )
}
