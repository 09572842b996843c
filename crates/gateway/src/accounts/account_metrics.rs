//! Requests by account, for the largest accounts only.

use policy::{
    AccountCounts,
    CallerAccount, //
};

use crate::metrics::GatewayMetrics;
use crate::shared::GatewayShared;

/// Number of accounts whose requests are published.
const PUBLISHED_ACCOUNTS: usize = 20;

/// Counts a request, if the caller's account is known.
pub(crate) fn count_request(shared: &GatewayShared, account: &CallerAccount) {
    if let Some(name) = account.name() {
        shared.account_counts().record_request(name);
    }
}

/// Counts a request that was refused or failed, if the caller's account is known.
pub(crate) fn count_refusal(shared: &GatewayShared, account: &CallerAccount) {
    if let Some(name) = account.name() {
        shared.account_counts().record_refusal(name);
    }
}

/// Publishes the counts of the largest accounts in place of the previous ones.
pub(crate) fn publish_accounts(metrics: &GatewayMetrics, counts: &AccountCounts) {
    metrics.account_requests.reset();
    metrics.account_refusals.reset();
    for (name, count) in counts.largest(PUBLISHED_ACCOUNTS) {
        let label = [name.as_str()];
        let requests = metrics.account_requests.with_label_values(&label);
        requests.inc_by(count.requests);
        let refusals = metrics.account_refusals.with_label_values(&label);
        refusals.inc_by(count.refusals);
    }
}
