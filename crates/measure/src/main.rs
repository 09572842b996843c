//! Compares policies over the same simulated requests and prints their metrics.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use measure::{
    CapacityCurve,
    MeasureError,
    PolicySpec,
    RunMetrics,
    Scenario,
    SiteModel,
    draw_goodput,
    format_metrics,
    generate_workload,
    oracle_metrics,
    run_policy, //
};

/// Runs policies against an engine model in virtual time and compares their metrics.
#[derive(FromArgs)]
struct MeasureArgs {
    /// scenario to simulate
    #[argh(option, default = "String::from(\"shift\")")]
    scenario: String,
    /// site to simulate: crustwell or beauchemin
    #[argh(option, default = "String::from(\"crustwell\")")]
    site: String,
    /// seed of the first run
    #[argh(option, default = "1")]
    seed: u64,
    /// number of runs with consecutive seeds; metrics are means, and goodput has its spread
    #[argh(option, default = "1")]
    seeds: u64,
    /// offered load as a share of the measured capacity of all engines
    #[argh(option, default = "0.9")]
    load: f64,
    /// policy to run besides the oracle; all by default
    #[argh(option)]
    policy: Option<String>,
    /// print one line of JSON per policy
    #[argh(switch)]
    json: bool,
    /// SVG file to draw the goodput over time into
    #[argh(option)]
    plot: Option<PathBuf>,
    /// list scenarios, sites and policies
    #[argh(switch)]
    list: bool,
}

fn main() -> ExitCode {
    let args: MeasureArgs = argh::from_env();
    if args.list {
        print_names();
        return ExitCode::SUCCESS;
    }
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure: {error}");
            ExitCode::FAILURE
        }
    }
}

fn print_names() {
    println!("scenarios: {}", Scenario::NAMES.join(" "));
    println!("sites: {}", SiteModel::NAMES.join(" "));
    let policies = PolicySpec::all();
    let names: Vec<&str> = policies.iter().map(|policy| policy.name).collect();
    println!("policies: {} oracle", names.join(" "));
}

/// Returns the policies to run besides the oracle, which always runs.
fn selected_policies(args: &MeasureArgs) -> Result<Vec<PolicySpec>, MeasureError> {
    match args.policy.as_deref() {
        Some("oracle") => Ok(Vec::new()),
        Some(name) => Ok(vec![PolicySpec::by_name(name)?]),
        None => Ok(PolicySpec::all()),
    }
}

fn run(args: &MeasureArgs) -> Result<(), MeasureError> {
    let site = SiteModel::by_name(&args.site)?;
    let scenario = Scenario::by_name(&args.scenario)?;
    let policies = selected_policies(args)?;
    let capacity = CapacityCurve::measure(&site);
    let mut rows: Vec<Vec<RunMetrics>> = vec![Vec::new(); policies.len() + 1];
    for seed in args.seed..args.seed + args.seeds.max(1) {
        let workload = generate_workload(&site, &scenario, &capacity, args.load, seed);
        for (row, policy) in rows.iter_mut().zip(&policies) {
            row.push(run_policy(&site, &scenario, &workload, policy, seed));
        }
        rows[policies.len()].push(oracle_metrics(&site, &scenario, &workload));
    }
    let means: Vec<RunMetrics> = rows.iter().map(|runs| RunMetrics::mean(runs)).collect();
    if let Some(path) = &args.plot {
        let title = format!("{} at {}, load {}", scenario.name, args.site, args.load);
        draw_goodput(path, &title, &means)?;
    }
    if args.json {
        for metrics in &means {
            println!("{}", serde_json::to_string(metrics).unwrap_or_default());
        }
        return Ok(());
    }
    println!(
        "{} at {}, load {}, seeds {}..{}, capacity {:.2} engine seconds a second at 26% prefill",
        scenario.name,
        args.site,
        args.load,
        args.seed,
        args.seed + args.seeds.max(1) - 1,
        capacity.work_rate(0.26),
    );
    print!("{}", format_metrics(&means));
    Ok(())
}
