//! Whether an answer that ended with its connection is whole.

use crate::SiblingRequests;

/// What a new connection shows of a process to which a request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    /// It answers and states its start time.
    Running,
    /// A process accepts connections, but its start time is unknown.
    Listening,
    /// Another process has taken its place.
    Replaced,
    /// Nothing accepts connections.
    Refusing,
    /// There was no answer in time.
    Silent,
}

impl ProcessState {
    /// Returns whether the process has ended, if it does not leave. One that leaves may refuse connections
    /// while it completes its answers.
    pub fn has_ended(self) -> bool {
        matches!(self, Self::Replaced | Self::Refusing)
    }

    /// Returns the name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Listening => "listening",
            Self::Replaced => "replaced",
            Self::Refusing => "refusing",
            Self::Silent => "silent",
        }
    }
}

/// What is known some time after the orderly end of an answer that has neither a length nor chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerEnd {
    /// Whether the connection was reset afterwards, as data of the request still arrived.
    pub is_reset: bool,
    /// State of the process that wrote the answer.
    pub writer: ProcessState,
    /// Whether the process has announced that it leaves, or its entry is gone.
    pub is_leaving: bool,
    /// Other requests of the same gateway at that process.
    pub siblings: SiblingRequests,
}

/// Whether an answer is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndVerdict {
    /// The process outlived the answer.
    Whole,
    /// Nothing shows that the process has ended before it had written all.
    PresumedWhole,
    /// The process has ended or has reset the connection, so that the answer may be a part.
    BrokenOff,
}

impl EndVerdict {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::PresumedWhole => "presumed_whole",
            Self::BrokenOff => "broken_off",
        }
    }
}

impl AnswerEnd {
    /// Returns whether the answer is whole.
    pub fn verdict(self) -> EndVerdict {
        if self.is_reset {
            return EndVerdict::BrokenOff;
        }
        match (self.writer, self.siblings) {
            (ProcessState::Running | ProcessState::Listening, _) => EndVerdict::Whole,
            (ProcessState::Replaced, _) => EndVerdict::BrokenOff,
            // The kernel refuses at once for a process that has ended.
            (ProcessState::Silent, _) => EndVerdict::PresumedWhole,
            (ProcessState::Refusing, _) if !self.is_leaving => EndVerdict::BrokenOff,
            // A leaving process completes its answers after it has stopped listening.
            (ProcessState::Refusing, SiblingRequests::UnderWay) => EndVerdict::Whole,
            (ProcessState::Refusing, SiblingRequests::EndedTogether) => EndVerdict::BrokenOff,
            (ProcessState::Refusing, SiblingRequests::None) => EndVerdict::PresumedWhole,
        }
    }
}
