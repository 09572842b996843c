//! Store calls by the number of entries.

use std::error::Error;
use std::time::Duration;

use demo::{
    ClusterOptions,
    DemoCluster, //
};
use tokio::time::sleep;

const ENTRY_COUNTS: [usize; 3] = [2, 6, 18];
const RUN_SECONDS: u64 = 20;
const REQUEST_KINDS: [(&str, &str); 4] = [
    ("config reads", "GET galenarail/config"),
    ("lease writes", "PUT galenarail/planner"),
    ("lease reads", "GET galenarail/planner"),
    ("session calls", "PUT session"),
];

pub(crate) async fn measure() -> Result<(), Box<dyn Error + Send + Sync>> {
    println!("entries in 3 data centres; calls a second");
    for entries in ENTRY_COUNTS {
        let options = ClusterOptions {
            engines: 2,
            services: 0,
            entries,
            ..ClusterOptions::default()
        };
        let cluster = DemoCluster::start(options).await?;
        cluster.wait_ready().await;
        let count = |name: &str| cluster.store.request_count(name);
        let before = REQUEST_KINDS.map(|(_, name)| count(name));
        sleep(Duration::from_secs(RUN_SECONDS)).await;
        let rates = REQUEST_KINDS
            .iter()
            .zip(before)
            .map(|((kind, name), earlier)| {
                let rate = (count(name) - earlier) as f64 / RUN_SECONDS as f64;
                format!("{kind} {rate:.2}")
            });
        println!(
            "{entries:>3} entries: {}",
            rates.collect::<Vec<String>>().join(", ")
        );
        cluster.stop().await;
    }
    Ok(())
}
