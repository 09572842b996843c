//! The record of one decision.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;
use units::InstanceId;

/// What was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// A request was given to a backend server.
    Route,
    /// A request was refused before it ran.
    Refuse,
    /// A request goes on elsewhere from what was handed out.
    Resume,
    /// A request ended, whole or with an error.
    Finish,
    /// A stream of a lower rank was paused.
    Pause,
    /// A key was claimed or found claimed.
    Claim,
    /// A call that may not be repeated was given to a plain service.
    Call,
    /// An order to an engine was sent.
    Order,
    /// An order was refused.
    RefuseOrder,
    /// A planner lease was gained or lost.
    Lease,
    /// A drain began or ended.
    Drain,
    /// A configuration came into force.
    Config,
    /// A connection came up or was given up.
    Link,
    /// A peer could not prove that it knows the shared secret.
    Intruder,
    /// A request is suspected of crashing backend servers.
    Suspect,
    /// A process started or stopped.
    Process,
    /// A request was sent to a backend server, or the send ended.
    Send,
    /// A request is sent once more.
    Retry,
    /// What is known of a backend server changed.
    Backend,
    /// A dependency was lost or is back.
    Dependency,
    /// What is known of the other entries changed.
    Member,
}

/// One decision with what was considered and why.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct DecisionRecord {
    kind: DecisionKind,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    class: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    chosen: Option<String>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    considered: Vec<String>,
    reason: String,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    inputs: BTreeMap<&'static str, Value>,
    #[serde(skip)]
    is_failure: bool,
}

impl DecisionRecord {
    /// A record with the reason of the decision.
    pub fn new(kind: DecisionKind, reason: impl Into<String>) -> Self {
        Self {
            kind,
            request: None,
            class: None,
            chosen: None,
            considered: Vec::new(),
            reason: reason.into(),
            inputs: BTreeMap::new(),
            is_failure: false,
        }
    }

    /// Adds a figure that decided, with its unit in the name.
    #[must_use]
    pub fn input(mut self, name: &'static str, value: impl Into<Value>) -> Self {
        self.inputs.insert(name, value.into());
        self
    }

    /// Marks the decision as one that a caller or an operator may ask about.
    #[must_use]
    pub fn failure(mut self) -> Self {
        self.is_failure = true;
        self
    }

    /// Whether a caller or an operator may ask about the decision.
    pub fn is_failure(&self) -> bool {
        self.is_failure
    }

    /// Names the request.
    #[must_use]
    pub fn request(mut self, id: impl ToString) -> Self {
        self.request = Some(id.to_string());
        self
    }

    /// Names the class of work.
    #[must_use]
    pub fn class(mut self, class: impl ToString) -> Self {
        self.class = Some(class.to_string());
        self
    }

    /// Names what was chosen.
    #[must_use]
    pub fn chosen(mut self, chosen: impl ToString) -> Self {
        self.chosen = Some(chosen.to_string());
        self
    }

    /// Lists what was looked at.
    #[must_use]
    pub fn considered(mut self, considered: Vec<String>) -> Self {
        self.considered = considered;
        self
    }

    /// What was decided.
    pub fn kind(&self) -> DecisionKind {
        self.kind
    }

    pub(crate) fn to_line(&self, process: &InstanceId) -> String {
        let fields = crate::line::LineFields {
            process,
            record: self,
        };
        serde_json::to_string(&fields).unwrap_or_default()
    }
}
