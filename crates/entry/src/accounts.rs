//! Authentication of callers and rate limits of their accounts.

use conf::SystemConfig;
use hyper::StatusCode;
use hyper::header::{
    AUTHORIZATION,
    HeaderMap, //
};
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::AccountLimit;
use tokio::time::Instant;
use units::{
    AccountName,
    KeyDigest, //
};

use crate::caller_failure::CallerFailure;
use crate::state::EntryShared;

/// Account of all callers if the configuration has no accounts.
const ANONYMOUS_ACCOUNT: &str = "anonymous";

impl EntryShared {
    /// Returns the caller's account, or a failure if the API key is unknown or the account is over
    /// its rate limit.
    pub(crate) fn admit_account(
        &self,
        book: &SystemConfig,
        headers: &HeaderMap,
    ) -> Result<AccountName, CallerFailure> {
        if book.accounts.is_empty() {
            let name = ANONYMOUS_ACCOUNT.parse();
            return name.map_err(|_| CallerFailure::invalid("bad_account", "no account"));
        }
        let value = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok());
        let key = value.and_then(|value| value.strip_prefix("Bearer "));
        let account = key.and_then(|key| book.find_account(&KeyDigest::from_key(key.as_bytes())));
        let Some((name, rule)) = account else {
            let reason = "API key of a caller matches no account";
            self.log
                .write(DecisionRecord::new(DecisionKind::Intruder, reason));
            let message = "no account with this key; send 'Authorization: Bearer KEY'";
            let failure = CallerFailure::invalid("unknown_account", message);
            return Err(failure.with_status(StatusCode::UNAUTHORIZED));
        };
        let rate = rule.requests_per_second;
        let limit = AccountLimit {
            rate,
            burst: rule.burst.into(),
        };
        let acquired = self
            .lock()
            .account_limiter
            .try_acquire(Instant::now(), name, limit);
        if let Err(wait) = acquired {
            let message = format!("account {name} is over its limit; send fewer requests");
            let failure = CallerFailure::not_run("account_limit", message, wait);
            return Err(failure.with_status(StatusCode::TOO_MANY_REQUESTS));
        }
        Ok(name.clone())
    }
}
