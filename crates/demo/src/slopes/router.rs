//! Time and memory of routing decisions.

use std::collections::BTreeSet;
use std::error::Error;
use std::time::Duration;

use policy::{
    EngineRole,
    EngineRouter,
    LoadReport,
    RouteRequirements,
    ServiceRank, //
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use units::{
    DataCentre,
    EngineSeconds,
    InstanceId,
    ModelName,
    PieceCount, //
};

const ENGINE_COUNTS: [usize; 4] = [16, 160, 1_600, 3_200];
const DECISION_COUNT: usize = 20_000;
const DATA_CENTRE_COUNT: usize = 12;
const MODEL_COUNT: usize = 9;
const PAGE_BYTES: usize = 4_096;

type AnyError = Box<dyn Error + Send + Sync>;

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

pub(crate) fn measure() -> Result<(), AnyError> {
    println!("known  median us  p99 us  bytes each");
    for size in ENGINE_COUNTS {
        let before = resident_bytes();
        let (mut router, instances) = fill_router(size)?;
        let bytes = resident_bytes().saturating_sub(before) / size;
        let mut times = decide(&mut router, &instances)?;
        times.sort_unstable();
        let micros = |part: f64| times[(times.len() as f64 * part) as usize].as_secs_f64() * 1e6;
        println!(
            "{size:>5}  {:>9.2}  {:>6.2}  {bytes:>10}",
            micros(0.5),
            micros(0.99)
        );
    }
    Ok(())
}

fn fill_router(size: usize) -> Result<(EngineRouter, Vec<InstanceId>), AnyError> {
    let mut router = EngineRouter::new("dc-0".parse()?);
    let mut instances = Vec::new();
    for number in 0..size {
        let instance: InstanceId = format!("engine-{number}").parse()?;
        report(&mut router, number, &instance)?;
        instances.push(instance);
    }
    Ok((router, instances))
}

fn report(router: &mut EngineRouter, number: usize, instance: &InstanceId) -> Result<(), AnyError> {
    let centre: DataCentre = format!("dc-{}", number % DATA_CENTRE_COUNT).parse()?;
    let mut report = LoadReport::idle(EngineRole::Mixed, PieceCount(4_000));
    report.models = vec![format!("model-{}", number % MODEL_COUNT).parse()?];
    report.used_pieces = PieceCount((number * 37 % 4_000) as u32);
    router.record_report(Instant::now(), instance, &centre, report);
    Ok(())
}

fn decide(router: &mut EngineRouter, instances: &[InstanceId]) -> Result<Vec<Duration>, AnyError> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut times = Vec::with_capacity(DECISION_COUNT);
    for number in 0..DECISION_COUNT {
        // One load report arrives for each decision, as in a running cluster.
        let index = number % instances.len();
        report(router, index, &instances[index])?;
        let model: ModelName = format!("model-{}", number % MODEL_COUNT).parse()?;
        let requirements = RouteRequirements {
            model,
            rank: ServiceRank::Ordinary,
            prefill_work: EngineSeconds(0.02),
            decode_work: EngineSeconds(0.1),
            required_pieces: PieceCount(60),
            prefix_hash: number as u64 % 5_000,
            time_budget: Duration::from_secs(2),
            imports_kv_cache: false,
            pinned: None,
            trial_fingerprint: None,
            excluded: BTreeSet::new(),
        };
        let start = std::time::Instant::now();
        // A refusal is measured as well, because it costs as much as a selection.
        let _ = router.route(Instant::now(), &requirements, &mut rng);
        times.push(start.elapsed());
    }
    Ok(times)
}
