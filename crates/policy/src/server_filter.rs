//! Properties that a backend server must have to serve a request.

use std::collections::BTreeSet;

use units::{
    InstanceId,
    ServiceName, //
};

use crate::{
    BackendRecord,
    EngineStage,
    VersionRule, //
};

/// Properties that a backend server must have to serve a request.
#[derive(Debug, Clone, Copy)]
pub struct ServerFilter<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Stage of the engine; `None` for plain services.
    pub stage: Option<EngineStage>,
    /// Software versions that may serve the request.
    pub version: &'a VersionRule,
    /// Backend servers that are no candidates, since they were already tried.
    pub excluded: &'a BTreeSet<InstanceId>,
}

impl ServerFilter<'_> {
    /// Returns whether a backend server has the properties.
    pub fn admits(&self, record: &BackendRecord) -> bool {
        record.service == *self.service
            && record.stage == self.stage
            && self.version.admits(record.version.as_ref())
            && !self.excluded.contains(&record.instance)
    }
}
