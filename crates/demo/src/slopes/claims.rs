//! Store calls by the rate of non-idempotent calls.

use std::error::Error;
use std::time::Duration;

use demo::{
    ClusterOptions,
    DemoCluster, //
};
use testutils::TestCaller;
use tokio::time::{
    Instant,
    sleep_until, //
};

const CALLS_PER_SECOND: [u32; 3] = [10, 100, 500];
const RUN_SECONDS: u32 = 10;

pub(crate) async fn measure() -> Result<(), Box<dyn Error + Send + Sync>> {
    let options = ClusterOptions {
        engines: 0,
        entries: 3,
        ..ClusterOptions::default()
    };
    let cluster = DemoCluster::start(options).await?;
    cluster.wait_ready().await;
    println!("calls a second over 3 entries; store calls for a thousand of them");
    for rate in CALLS_PER_SECOND {
        let before = cluster.store.request_count("PUT txn");
        let start = Instant::now();
        let total = rate * RUN_SECONDS;
        let mut tasks = Vec::new();
        for number in 0..total {
            let at = start + Duration::from_secs(1) / rate * number;
            let address = cluster
                .entry_address(number as usize % 3)
                .ok_or("an entry is not running")?;
            tasks.push(tokio::spawn(async move {
                sleep_until(at).await;
                let key = format!("{rate}-{number}");
                TestCaller::new(address)
                    .order("place", Some(&key), &key)
                    .await
                    .status
            }));
        }
        let mut good = 0;
        for task in tasks {
            good += u32::from(task.await? == 200);
        }
        let calls = cluster.store.request_count("PUT txn") - before;
        let each = calls as f64 * 1_000.0 / f64::from(total);
        println!("{rate:>4}/s: {good} of {total} served, {each:.0} store calls a thousand");
    }
    cluster.stop().await;
    Ok(())
}
