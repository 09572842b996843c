//! Counts and logs keys in the platform's store whose values cannot be read.

use logs::DecisionRecord;
use platform::KeyValue;

use crate::shared::GatewayShared;
use crate::store::unreadable_entries::UnreadableKind;

/// Counts a key whose value cannot be read, and logs it unless its cause is known.
pub(crate) fn report_unreadable(
    shared: &GatewayShared,
    kind: UnreadableKind,
    item: &KeyValue,
    cause: &str,
) {
    let unreadable = &shared.metrics.unreadable_entries;
    unreadable.with_label_values(&[kind.as_str()]).inc();
    if !shared.lock().unreadable_entries.record(&item.key, cause) {
        return;
    }
    let reason = "value in the store cannot be read and has no effect; look who wrote it";
    let record = DecisionRecord::new(kind.decision_kind(), reason)
        .input("key", item.key.as_str())
        .input("holds", kind.as_str())
        .input("revision", item.revision)
        .input("size_bytes", item.value.len())
        .input("cause", cause);
    shared.log.write(record.failure());
}
