//! Orders engines to change their stage while this gateway holds the planner lease.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use host::boot_time;
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::{
    PlatformError,
    StageOrder,
    fetch_engine_report,
    send_stage_order, //
};
use policy::{
    PendingOrders,
    StageChange,
    StageDemand,
    StageObservation,
    StagePlanner,
    TARGET_SLOT_UTILIZATION, //
};
use tokio::time::{
    Instant,
    sleep, //
};
use units::{
    EpochNumber,
    ServiceName, //
};

use crate::servers::server_notices::record_notices;
use crate::shared::{
    GatewayShared,
    GatewayState, //
};
use crate::tokens::server_limits::LimitQuestion;
use crate::tokens::token_ticket::charge_request;

/// Interval between plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a failed store call before an order may be sent.
const MIN_STORE_STABLE_TIME: Duration = Duration::from_secs(4);
/// Timeout of a request for an engine's report and of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Stage change to order, with the fencing token and the demand that led to it.
struct PlannedOrder {
    address: SocketAddr,
    epoch: EpochNumber,
    change: StageChange,
    demand: Option<StageDemand>,
}

/// Plans and orders the stages of the engines of all services, until aborted.
pub(crate) async fn plan_stages(shared: Arc<GatewayShared>) {
    let mut planners: BTreeMap<ServiceName, StagePlanner> = BTreeMap::new();
    let mut pending = PendingOrders::default();
    loop {
        sleep(PLAN_INTERVAL).await;
        let services = shared.lock().engine_services();
        for service in services {
            let planner = planners.entry(service.clone()).or_default();
            while let Some(planned_order) = next_order(&shared, &service, planner, &mut pending) {
                send_and_log_order(&shared, planned_order).await;
            }
        }
    }
}

/// Returns the next order of a service. Returns `None` if no engine needs to change, if this gateway
/// may not send orders or if the store failed recently.
fn next_order(
    shared: &GatewayShared,
    service: &ServiceName,
    planner: &mut StagePlanner,
    pending: &mut PendingOrders,
) -> Option<PlannedOrder> {
    let now = Instant::now();
    let state = shared.lock();
    let epoch = state.order_lease.epoch(boot_time())?;
    let health = &state.store_health;
    if health.has_failed_within(now, MIN_STORE_STABLE_TIME) {
        return None;
    }
    let observations = observations(&state, service, pending, now);
    let stage_demand = state.demand(service, now);
    let change = planner.plan(now, &observations, stage_demand)?;
    let view = state.fleet.get(&change.instance)?;
    if state.fleet.is_resting(now, &change.instance) {
        return None;
    }
    pending.record(now, change.instance.clone(), change.stage);
    Some(PlannedOrder {
        address: view.record.address,
        epoch,
        change,
        demand: stage_demand,
    })
}

fn observations(
    state: &GatewayState,
    service: &ServiceName,
    pending: &PendingOrders,
    now: Instant,
) -> Vec<StageObservation> {
    let views = state.fleet.views();
    let engines = views.filter(|view| {
        let has_gone = view.record.draining || view.is_leaving();
        view.record.service == *service && !has_gone
    });
    let observations = engines.filter_map(|view| {
        let record = &view.record;
        let stage = record.stage?;
        let pending_stage = pending.pending_stage(now, &record.instance, stage);
        Some(StageObservation {
            instance: record.instance.clone(),
            centre: record.centre.clone(),
            // A pending order is expected to take effect.
            stage: pending_stage.unwrap_or(stage),
            is_changing: pending_stage.is_some(),
            requests: view.total_load().requests,
        })
    });
    observations.collect()
}

async fn send_and_log_order(shared: &GatewayShared, planned_order: PlannedOrder) {
    let outcome = match send_conditional_order(shared, &planned_order).await {
        Ok(Some(status)) => status.to_string(),
        Ok(None) => {
            "planner lease ended, or the engine rests, before the order was sent".to_owned()
        }
        Err(error) => error.to_string(),
    };
    let change = &planned_order.change;
    let record = DecisionRecord::new(DecisionKind::Order, outcome)
        .chosen(format!("{} to {}", change.instance, change.stage))
        .input("epoch", planned_order.epoch.0)
        .input("prefill_wanted", change.desired_prefill)
        .input("prefill_present", change.current_prefill)
        .input(
            "demand",
            planned_order.demand.map(|demand| format!("{demand:?}")),
        );
    shared.log.write(record);
}

/// Sends an order on condition that the engine has accepted no other order since its report, so that
/// a delayed order has no effect after a later one. Returns the status of the engine's response, or
/// `None` if the planner lease ended or the engine asked for a rest before the order was sent.
async fn send_conditional_order(
    shared: &GatewayShared,
    planned_order: &PlannedOrder,
) -> Result<Option<u16>, PlatformError> {
    let instance = &planned_order.change.instance;
    charge_request(shared, instance);
    let address = planned_order.address;
    let question = LimitQuestion::new(shared, instance);
    let observe = |notices| record_notices(shared, &question, notices);
    let report = fetch_engine_report(address, instance, ORDER_TIMEOUT, observe).await?;
    if shared.lock().fleet.is_resting(Instant::now(), instance) {
        return Ok(None);
    }
    let order = StageOrder {
        instance: instance.clone(),
        stage: planned_order.change.stage,
        holder: shared.settings.instance.clone(),
        epoch: planned_order.epoch,
        accepted_orders: report.accepted_orders,
    };
    // The planner lease may have ended while the report was fetched.
    if shared.lock().order_lease.epoch(boot_time()) != Some(planned_order.epoch) {
        return Ok(None);
    }
    charge_request(shared, instance);
    let question = LimitQuestion::new(shared, instance);
    let observe = |notices| record_notices(shared, &question, notices);
    let result = send_stage_order(address, &order, ORDER_TIMEOUT, observe).await;
    let label = result.as_ref().map_or("lost", |status| match status {
        200 | 202 => "accepted",
        _ => "refused",
    });
    shared.metrics.orders.with_label_values(&[label]).inc();
    if matches!(result, Ok(412)) {
        // The fencing token is too low, so a later lease holder has sent orders.
        shared.lock().order_lease.record_lost();
    }
    result.map(Some)
}

impl GatewayState {
    /// Returns the services whose backend servers are prefill and decode engines.
    fn engine_services(&self) -> Vec<ServiceName> {
        let Some(table) = &self.table else {
            return Vec::new();
        };
        let services = table.services.iter();
        let engines = services.filter(|(_, spec)| spec.engine.is_some());
        engines.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the demand on a service's engines, or `None` before its first request. All gateways
    /// are assumed to receive the same demand.
    fn demand(&self, service: &ServiceName, now: Instant) -> Option<StageDemand> {
        let speeds = self.speeds.get(service)?;
        if speeds.prompt_token_rate.has_no_samples() {
            return None;
        }
        let spec = self.table.as_ref()?.services.get(service)?;
        let target_streams = f64::from(spec.engine.as_ref()?.slots) * TARGET_SLOT_UTILIZATION;
        let gateways = self.members.len().max(1) as f64;
        Some(StageDemand {
            prompt_tokens_per_ms: speeds.prompt_token_rate.per_ms(now) * gateways,
            read_speed: speeds.prefill.tokens_per_ms(),
            output_tokens_per_ms: speeds.output_token_rate.per_ms(now) * gateways,
            output_speed: speeds.decode.tokens_per_ms(target_streams),
        })
    }
}
