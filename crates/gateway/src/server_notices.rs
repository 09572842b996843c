//! What backend servers say of themselves in their answers, whatever was asked.

use platform::ServerNotices;

use crate::leaving_servers::record_notice;
use crate::server_limits::LimitQuestion;
use crate::server_rests::record_rest;
use crate::shared::GatewayShared;

/// Records what an answer says of its server.
pub(crate) fn record_notices(
    shared: &GatewayShared,
    question: &LimitQuestion,
    notices: ServerNotices,
) {
    record_notice(shared, question, notices.leaving);
    if let Some(rest) = notices.rest {
        record_rest(shared, question, rest);
    }
}
