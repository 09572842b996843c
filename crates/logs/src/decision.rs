//! Structured records of decisions.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;
use units::InstanceId;

/// Kind of a decision, written to the log in snake case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// A backend server was selected for a request.
    Route,
    /// A request was refused before it was processed.
    Refuse,
    /// A request continues on another backend server after the output already sent to the caller.
    Resume,
    /// A request ended with a complete answer or with an error.
    Finish,
    /// A running stream of a less urgent rank was paused.
    Pause,
    /// A caller's idempotency key was claimed or found to be claimed already.
    Claim,
    /// A non-idempotent call was sent to a plain service.
    Call,
    /// A role change was ordered from an engine.
    Order,
    /// An engine's side process refused an order.
    RefuseOrder,
    /// A planner lease was acquired or lost.
    Lease,
    /// A drain started or ended.
    Drain,
    /// A configuration was applied or rejected.
    Config,
    /// A link to a peer was established or closed.
    Link,
    /// A peer failed to authenticate with the shared secret.
    Intruder,
    /// A request is suspected of crashing backend servers.
    Suspect,
    /// The limit that a backend server names was learned, changed or ended.
    Limit,
    /// A process started or stopped.
    Process,
    /// An attempt was sent to a backend server, or it ended.
    Send,
    /// A request is retried.
    Retry,
    /// The known state of a backend server changed.
    Backend,
    /// A dependency became unavailable or available again.
    Dependency,
    /// The known set of peers changed.
    Member,
    /// A duty that one gateway carries out for all took a step.
    Duty,
}

/// One decision with its reason, the options considered and the inputs.
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
    /// Creates a record with the reason of the decision.
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

    /// Adds an input of the decision; the name carries the unit.
    #[must_use]
    pub fn input(mut self, name: &'static str, value: impl Into<Value>) -> Self {
        self.inputs.insert(name, value.into());
        self
    }

    /// Marks the decision as a failure, which is logged as a warning.
    #[must_use]
    pub fn failure(mut self) -> Self {
        self.is_failure = true;
        self
    }

    /// Returns whether the decision is marked as a failure.
    pub fn is_failure(&self) -> bool {
        self.is_failure
    }

    /// Sets the request id.
    #[must_use]
    pub fn request(mut self, id: impl ToString) -> Self {
        self.request = Some(id.to_string());
        self
    }

    /// Sets the request class.
    #[must_use]
    pub fn class(mut self, class: impl ToString) -> Self {
        self.class = Some(class.to_string());
        self
    }

    /// Sets the option that was chosen.
    #[must_use]
    pub fn chosen(mut self, chosen: impl ToString) -> Self {
        self.chosen = Some(chosen.to_string());
        self
    }

    /// Sets the options that were considered.
    #[must_use]
    pub fn considered(mut self, considered: Vec<String>) -> Self {
        self.considered = considered;
        self
    }

    /// Returns the kind of the decision.
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
