//! What backend servers say of themselves in their answers, whatever was asked.

use platform::ServerNotices;

use crate::servers::leaving_servers::record_notice;
use crate::servers::server_rests::record_rest;
use crate::shared::GatewayShared;
use crate::tokens::server_limits::LimitQuestion;

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
