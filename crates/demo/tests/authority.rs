//! Role orders without a valid lease have no effect, and an engine never receives conflicting
//! orders.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use demo::{
    ClusterOptions,
    DemoCluster, //
};
use fakes::{
    AcceptedOrder,
    check_order_history, //
};
use policy::{
    EngineRole,
    SharedSecret, //
};
use tokio::time::{
    sleep,
    timeout, //
};
use units::{
    IncarnationId,
    InstanceId, //
};
use wire::{
    FrameKind,
    FrameLink,
    LinkTimeouts,
    OrderVerdict,
    PeerIdentity,
    RoleOrder,
    connect_link, //
};

const LEASE: Duration = Duration::from_secs(6);

struct TestPlanner {
    link: FrameLink,
    clock_ms: u64,
    last_order: u64,
}

async fn small_cluster(checks_fencing: bool) -> (DemoCluster, InstanceId) {
    let options = ClusterOptions {
        data_centres: 1,
        engines: 1,
        services: 0,
        entries: 1,
        checks_fencing,
        log_in_memory: true,
        ..ClusterOptions::default()
    };
    let cluster = DemoCluster::start(options).await.unwrap();
    cluster.wait_ready().await;
    let name = cluster.sides.keys().next().unwrap().clone();
    (cluster, name)
}

impl TestPlanner {
    /// Connects as an entry does and reads the first timestamp.
    async fn connect(cluster: &DemoCluster, side: &InstanceId) -> Self {
        let settings = &cluster.sides[side].settings;
        let secret = SharedSecret::new(settings.secret.as_bytes());
        let identity = PeerIdentity {
            instance: "entry-test".parse().unwrap(),
            incarnation: IncarnationId(7),
        };
        // Longer than the test, because this peer sends no heartbeats.
        let timeouts = LinkTimeouts {
            idle: Duration::from_secs(3_600),
            ..LinkTimeouts::default()
        };
        let link = connect_link(settings.listen, &secret, &identity, timeouts)
            .await
            .unwrap();
        let mut planner = Self {
            link,
            clock_ms: 0,
            last_order: 0,
        };
        planner.read_timestamp().await;
        planner
    }

    async fn read_timestamp(&mut self) {
        loop {
            if let FrameKind::Heartbeat(heartbeat) = self.next().await {
                self.clock_ms = heartbeat.load.unwrap().clock_ms;
                return;
            }
        }
    }

    async fn next(&mut self) -> FrameKind {
        let next = timeout(Duration::from_secs(30), self.link.receiver.recv()).await;
        next.unwrap().unwrap().unwrap()
    }

    async fn order(&mut self, epoch: u64, clock_ms: u64, role: EngineRole) -> OrderVerdict {
        self.last_order += 1;
        let order = RoleOrder {
            order: self.last_order,
            epoch,
            incarnation: self.link.peer.incarnation.0,
            clock_ms,
            role: role.to_string(),
        };
        assert!(self.link.sender.send(FrameKind::Order(order)));
        loop {
            if let FrameKind::Verdict(verdict) = self.next().await {
                return verdict;
            }
        }
    }
}

fn orders(cluster: &DemoCluster, side: &InstanceId) -> Vec<AcceptedOrder> {
    cluster.engines[side].accepted_orders()
}

#[tokio::test(start_paused = true)]
async fn order_fresh_timestamp() {
    let (cluster, side) = small_cluster(true).await;
    let mut planner = TestPlanner::connect(&cluster, &side).await;
    let verdict = planner
        .order(100, planner.clock_ms, EngineRole::Prefill)
        .await;
    assert!(verdict.accepted, "{}", verdict.reason);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(cluster.engines[&side].role(), EngineRole::Prefill);
    check_order_history(&orders(&cluster, &side)).unwrap();
}

#[tokio::test(start_paused = true)]
async fn order_planner_paused_past_lease() {
    for checks_fencing in [true, false] {
        let (cluster, side) = small_cluster(checks_fencing).await;
        let mut planner = TestPlanner::connect(&cluster, &side).await;
        let timestamp = planner.clock_ms;
        // The planner pauses past its lease before it sends the order.
        sleep(LEASE).await;
        planner = TestPlanner::connect(&cluster, &side).await;
        let verdict = planner.order(100, timestamp, EngineRole::Prefill).await;
        assert!(!verdict.accepted);
        sleep(Duration::from_secs(10)).await;
        assert_eq!(orders(&cluster, &side), Vec::new());
    }
}

#[tokio::test(start_paused = true)]
async fn order_two_planners_at_once() {
    for checks_fencing in [true, false] {
        let (cluster, side) = small_cluster(checks_fencing).await;
        let mut first = TestPlanner::connect(&cluster, &side).await;
        let mut second = TestPlanner::connect(&cluster, &side).await;
        let (timestamp_1, timestamp_2) = (first.clock_ms, second.clock_ms);
        let (one, two) = tokio::join!(
            first.order(100, timestamp_1, EngineRole::Prefill),
            second.order(101, timestamp_2, EngineRole::Decode),
        );
        assert!(
            one.accepted != two.accepted,
            "exactly one order must be accepted"
        );
        sleep(Duration::from_secs(10)).await;
        check_order_history(&orders(&cluster, &side)).unwrap();
        assert_eq!(orders(&cluster, &side).len(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn order_older_epoch() {
    let (cluster, side) = small_cluster(false).await;
    let mut planner = TestPlanner::connect(&cluster, &side).await;
    assert!(
        planner
            .order(101, planner.clock_ms, EngineRole::Prefill)
            .await
            .accepted
    );
    sleep(Duration::from_secs(8)).await;
    planner = TestPlanner::connect(&cluster, &side).await;
    let verdict = planner
        .order(100, planner.clock_ms, EngineRole::Mixed)
        .await;
    assert!(!verdict.accepted);
    assert_eq!(orders(&cluster, &side).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn order_for_earlier_incarnation() {
    let (mut cluster, side) = small_cluster(false).await;
    let before = TestPlanner::connect(&cluster, &side).await;
    let timestamp = before.clock_ms;
    let incarnation = before.link.peer.incarnation;
    cluster.take_side(&side).unwrap().kill();
    cluster.start_side(&side).await.unwrap();
    let mut after = TestPlanner::connect(&cluster, &side).await;
    assert_ne!(after.link.peer.incarnation, incarnation);
    after.link.peer.incarnation = incarnation;
    let verdict = after.order(100, timestamp, EngineRole::Prefill).await;
    assert!(!verdict.accepted);
    assert_eq!(orders(&cluster, &side), Vec::new());
    assert!(
        !before
            .link
            .sender
            .send(FrameKind::Order(RoleOrder::default()))
            || timestamp > 0
    );
}

#[tokio::test(start_paused = true)]
async fn order_engine_crash_in_change() {
    let (cluster, side) = small_cluster(false).await;
    let mut planner = TestPlanner::connect(&cluster, &side).await;
    assert!(
        planner
            .order(100, planner.clock_ms, EngineRole::Prefill)
            .await
            .accepted
    );
    sleep(Duration::from_millis(1_500)).await;
    cluster.engines[&side].crash(Duration::from_secs(20));
    // While the engine is down, the side process accepts no other order.
    let mut other = TestPlanner::connect(&cluster, &side).await;
    let verdict = other.order(101, other.clock_ms, EngineRole::Mixed).await;
    assert!(!verdict.accepted);
    sleep(Duration::from_secs(25)).await;
    let mut later = TestPlanner::connect(&cluster, &side).await;
    let verdict = later.order(102, later.clock_ms, EngineRole::Mixed).await;
    assert!(verdict.accepted, "{}", verdict.reason);
    sleep(Duration::from_secs(10)).await;
    check_order_history(&orders(&cluster, &side)).unwrap();
}

#[tokio::test(start_paused = true)]
async fn side_restarted_in_change() {
    let (mut cluster, side) = small_cluster(false).await;
    let mut planner = TestPlanner::connect(&cluster, &side).await;
    assert!(
        planner
            .order(100, planner.clock_ms, EngineRole::Prefill)
            .await
            .accepted
    );
    sleep(Duration::from_millis(1_000)).await;
    cluster.take_side(&side).unwrap().kill();
    cluster.start_side(&side).await.unwrap();
    // The new process reads the state of the engine and refuses orders until the change is
    // complete.
    let mut next = TestPlanner::connect(&cluster, &side).await;
    let verdict = next.order(101, next.clock_ms, EngineRole::Mixed).await;
    assert!(!verdict.accepted);
    sleep(Duration::from_secs(10)).await;
    let mut later = TestPlanner::connect(&cluster, &side).await;
    let verdict = later.order(101, later.clock_ms, EngineRole::Mixed).await;
    assert!(verdict.accepted, "{}", verdict.reason);
    sleep(Duration::from_secs(10)).await;
    check_order_history(&orders(&cluster, &side)).unwrap();
    assert_eq!(orders(&cluster, &side).len(), 2);
}

#[tokio::test(start_paused = true)]
async fn second_side_on_one_instance() {
    let (cluster, side) = small_cluster(false).await;
    let mut settings = cluster.sides[&side].settings.clone();
    settings.listen = "127.0.0.1:0".parse().unwrap();
    let log = logs::LogSink::none(side.clone());
    assert!(side::SideDaemon::start(settings, log).await.is_err());
}
