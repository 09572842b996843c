//! Store calls by the number of entries.

use std::error::Error;
use std::time::Duration;

use demo::{
    ClusterOptions, //
    DemoCluster,
};
use tokio::time::sleep;

const SIZES: [usize; 3] = [2, 6, 18];
const SECONDS: u64 = 20;
const KINDS: [(&str, &str); 4] = [
    ("config reads", "GET galenarail/config"),
    ("lease writes", "PUT galenarail/planner"),
    ("lease reads", "GET galenarail/planner"),
    ("session calls", "PUT session"),
];

pub(crate) async fn measure() -> Result<(), Box<dyn Error + Send + Sync>> {
    println!("entries in 3 data centres; calls a second");
    for entries in SIZES {
        let options = ClusterOptions {
            engines: 2,
            services: 0,
            entries,
            ..ClusterOptions::default()
        };
        let cluster = DemoCluster::start(options).await?;
        cluster.wait_ready().await;
        let count = |name: &str| cluster.store.request_count(name);
        let before = KINDS.map(|(_, name)| count(name));
        sleep(Duration::from_secs(SECONDS)).await;
        let rates = KINDS.iter().zip(before).map(|((kind, name), earlier)| {
            let rate = (count(name) - earlier) as f64 / SECONDS as f64;
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
