//! Orders without authority have no effect, and an engine never receives conflicting ones.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use demo::{
    DemoSite,
    SiteOptions, //
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
    orders: u64,
}

async fn small_site(checks_fencing: bool) -> (DemoSite, InstanceId) {
    let options = SiteOptions {
        centres: 1,
        engines: 1,
        services: 0,
        entries: 1,
        checks_fencing,
        keep_logs: true,
        ..SiteOptions::default()
    };
    let site = DemoSite::start(options).await.unwrap();
    site.wait_ready().await;
    let name = site.sides.keys().next().unwrap().clone();
    (site, name)
}

impl TestPlanner {
    /// Connects as an entry would, and reads the first stamp.
    async fn connect(site: &DemoSite, side: &InstanceId) -> Self {
        let settings = &site.sides[side].settings;
        let secret = SharedSecret::new(settings.secret.as_bytes());
        let own = PeerIdentity {
            instance: "entry-test".parse().unwrap(),
            incarnation: IncarnationId(7),
        };
        // Far beyond the test: nobody sends heartbeats here.
        let times = LinkTimeouts {
            idle: Duration::from_secs(3_600),
            ..LinkTimeouts::default()
        };
        let link = connect_link(settings.listen, &secret, &own, times)
            .await
            .unwrap();
        let mut planner = Self {
            link,
            clock_ms: 0,
            orders: 0,
        };
        planner.read_stamp().await;
        planner
    }

    async fn read_stamp(&mut self) {
        loop {
            if let FrameKind::Heartbeat(beat) = self.next().await {
                self.clock_ms = beat.load.unwrap().clock_ms;
                return;
            }
        }
    }

    async fn next(&mut self) -> FrameKind {
        let next = timeout(Duration::from_secs(30), self.link.receiver.recv()).await;
        next.unwrap().unwrap().unwrap()
    }

    async fn order(&mut self, epoch: u64, clock_ms: u64, role: EngineRole) -> OrderVerdict {
        self.orders += 1;
        let order = RoleOrder {
            order: self.orders,
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

fn orders(site: &DemoSite, side: &InstanceId) -> Vec<AcceptedOrder> {
    site.engines[side].accepted_orders()
}

#[tokio::test(start_paused = true)]
async fn order_fresh_stamp() {
    let (site, side) = small_site(true).await;
    let mut planner = TestPlanner::connect(&site, &side).await;
    let verdict = planner
        .order(100, planner.clock_ms, EngineRole::Prefill)
        .await;
    assert!(verdict.accepted, "{}", verdict.reason);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(site.engines[&side].role(), EngineRole::Prefill);
    check_order_history(&orders(&site, &side)).unwrap();
}

#[tokio::test(start_paused = true)]
async fn order_planner_paused_past_lease() {
    for checks_fencing in [true, false] {
        let (site, side) = small_site(checks_fencing).await;
        let mut planner = TestPlanner::connect(&site, &side).await;
        let stamp = planner.clock_ms;
        // The planner pauses with the order in hand.
        sleep(LEASE).await;
        planner = TestPlanner::connect(&site, &side).await;
        let verdict = planner.order(100, stamp, EngineRole::Prefill).await;
        assert!(!verdict.accepted);
        sleep(Duration::from_secs(10)).await;
        assert_eq!(orders(&site, &side), Vec::new());
    }
}

#[tokio::test(start_paused = true)]
async fn order_two_planners_at_once() {
    for checks_fencing in [true, false] {
        let (site, side) = small_site(checks_fencing).await;
        let mut first = TestPlanner::connect(&site, &side).await;
        let mut second = TestPlanner::connect(&site, &side).await;
        let (stamp_1, stamp_2) = (first.clock_ms, second.clock_ms);
        let (one, two) = tokio::join!(
            first.order(100, stamp_1, EngineRole::Prefill),
            second.order(101, stamp_2, EngineRole::Decode),
        );
        assert!(one.accepted != two.accepted, "one of them only");
        sleep(Duration::from_secs(10)).await;
        check_order_history(&orders(&site, &side)).unwrap();
        assert_eq!(orders(&site, &side).len(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn order_older_epoch() {
    let (site, side) = small_site(false).await;
    let mut planner = TestPlanner::connect(&site, &side).await;
    assert!(
        planner
            .order(101, planner.clock_ms, EngineRole::Prefill)
            .await
            .accepted
    );
    sleep(Duration::from_secs(8)).await;
    planner = TestPlanner::connect(&site, &side).await;
    let verdict = planner
        .order(100, planner.clock_ms, EngineRole::Mixed)
        .await;
    assert!(!verdict.accepted);
    assert_eq!(orders(&site, &side).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn order_for_earlier_incarnation() {
    let (mut site, side) = small_site(false).await;
    let before = TestPlanner::connect(&site, &side).await;
    let stamp = before.clock_ms;
    let incarnation = before.link.peer.incarnation;
    site.take_side(&side).unwrap().kill();
    site.start_side(&side).await.unwrap();
    let mut after = TestPlanner::connect(&site, &side).await;
    assert_ne!(after.link.peer.incarnation, incarnation);
    after.link.peer.incarnation = incarnation;
    let verdict = after.order(100, stamp, EngineRole::Prefill).await;
    assert!(!verdict.accepted);
    assert_eq!(orders(&site, &side), Vec::new());
    assert!(
        !before
            .link
            .sender
            .send(FrameKind::Order(RoleOrder::default()))
            || stamp > 0
    );
}

#[tokio::test(start_paused = true)]
async fn order_engine_crash_in_change() {
    let (site, side) = small_site(false).await;
    let mut planner = TestPlanner::connect(&site, &side).await;
    assert!(
        planner
            .order(100, planner.clock_ms, EngineRole::Prefill)
            .await
            .accepted
    );
    sleep(Duration::from_millis(1_500)).await;
    site.engines[&side].crash(Duration::from_secs(20));
    // While the engine is away, no other order reaches it.
    let mut other = TestPlanner::connect(&site, &side).await;
    let verdict = other.order(101, other.clock_ms, EngineRole::Mixed).await;
    assert!(!verdict.accepted);
    sleep(Duration::from_secs(25)).await;
    let mut later = TestPlanner::connect(&site, &side).await;
    let verdict = later.order(102, later.clock_ms, EngineRole::Mixed).await;
    assert!(verdict.accepted, "{}", verdict.reason);
    sleep(Duration::from_secs(10)).await;
    check_order_history(&orders(&site, &side)).unwrap();
}

#[tokio::test(start_paused = true)]
async fn side_restarted_in_change() {
    let (mut site, side) = small_site(false).await;
    let mut planner = TestPlanner::connect(&site, &side).await;
    assert!(
        planner
            .order(100, planner.clock_ms, EngineRole::Prefill)
            .await
            .accepted
    );
    sleep(Duration::from_millis(1_000)).await;
    site.take_side(&side).unwrap().kill();
    site.start_side(&side).await.unwrap();
    // The new process reads the engine back and waits the change out.
    let mut next = TestPlanner::connect(&site, &side).await;
    let verdict = next.order(101, next.clock_ms, EngineRole::Mixed).await;
    assert!(!verdict.accepted);
    sleep(Duration::from_secs(10)).await;
    let mut later = TestPlanner::connect(&site, &side).await;
    let verdict = later.order(101, later.clock_ms, EngineRole::Mixed).await;
    assert!(verdict.accepted, "{}", verdict.reason);
    sleep(Duration::from_secs(10)).await;
    check_order_history(&orders(&site, &side)).unwrap();
    assert_eq!(orders(&site, &side).len(), 2);
}

#[tokio::test(start_paused = true)]
async fn second_side_on_one_instance() {
    let (site, side) = small_site(false).await;
    let mut settings = site.sides[&side].settings.clone();
    settings.listen = "127.0.0.1:0".parse().unwrap();
    let log = logs::LogSink::none(side.clone());
    assert!(side::SideDaemon::start(settings, log).await.is_err());
}
