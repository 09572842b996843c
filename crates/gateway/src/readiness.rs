//! HTTP endpoints for the load balancer's readiness probes and for metrics.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{
    Request,
    Response,
    StatusCode, //
};
use web::{
    ResponseBody,
    bytes_body,
    json_response, //
};

use crate::accounts::account_metrics::publish_accounts;
use crate::shared::GatewayShared;

/// Answers a readiness probe of the load balancer.
pub(crate) async fn answer_readiness(
    shared: Arc<GatewayShared>,
    _request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (reason, status) = readiness(&shared);
    json_response(status, format!("{{\"state\":\"{reason}\"}}"))
}

fn readiness(shared: &GatewayShared) -> (&'static str, StatusCode) {
    if shared.is_draining() {
        return ("leaving", StatusCode::SERVICE_UNAVAILABLE);
    }
    let state = shared.lock();
    if state.table.is_none() {
        return ("not_configured", StatusCode::SERVICE_UNAVAILABLE);
    }
    if state.fleet.views().next().is_none() {
        return ("no_backend", StatusCode::SERVICE_UNAVAILABLE);
    }
    ("ready", StatusCode::OK)
}

/// Answers a scrape with all metrics.
pub(crate) async fn answer_metrics(
    shared: Arc<GatewayShared>,
    _request: Request<Incoming>,
) -> Response<ResponseBody> {
    let held = i64::try_from(shared.bodies.held_bytes()).unwrap_or(i64::MAX);
    shared.metrics.body_bytes.set(held);
    publish_accounts(&shared.metrics, &shared.account_counts());
    Response::new(bytes_body(shared.metrics.to_text()))
}
