//! Evidence on crash suspects in the load reports that gateways exchange.

use policy::{
    CrashId,
    CrashState,
    ServerCrash,
    SuspectEvidence, //
};
use prost::Message;
use tokio::time::Instant;
use units::{
    FingerprintId,
    IncarnationId,
    SegmentId,
    SuspectId, //
};
use wire::{
    CrashReport,
    CrashStateCode,
    GatewayLoad,
    SegmentReport,
    SuspectReport, //
};

use crate::clock::{
    age_ms,
    time_before, //
};

/// Adds the evidence on some suspects to a load report.
pub(crate) fn add_reports(
    now: Instant,
    evidence: impl Iterator<Item = SuspectEvidence>,
    report: &mut GatewayLoad,
) {
    for evidence in evidence {
        match evidence.suspect {
            SuspectId::Request(fingerprint) => {
                let request = to_report(now, fingerprint, &evidence);
                report.suspects.push(request);
            }
            SuspectId::Segment(id) => report.segments.push(segment_report(now, id, &evidence)),
            SuspectId::Session(id) => report.sessions.push(segment_report(now, id, &evidence)),
        }
    }
}

fn segment_report(now: Instant, segment: SegmentId, evidence: &SuspectEvidence) -> SegmentReport {
    SegmentReport {
        segment: segment.0,
        evidence: Some(to_report(now, FingerprintId::default(), evidence)),
    }
}

/// Returns the size of the evidence on a suspect in a load report.
pub(crate) fn report_bytes(now: Instant, evidence: &SuspectEvidence) -> usize {
    /// Maximum size of tags, lengths and the id of a segment.
    const FRAME_BYTES: usize = 20;
    to_report(now, FingerprintId::default(), evidence).encoded_len() + FRAME_BYTES
}

fn to_report(
    now: Instant,
    fingerprint: FingerprintId,
    evidence: &SuspectEvidence,
) -> SuspectReport {
    let crashes = evidence.crashes.iter().map(|crash| CrashReport {
        crash: crash.id.0,
        server: crash.server.to_string(),
        incarnation: crash.incarnation.map(|incarnation| incarnation.0),
        age_ms: age_ms(now, crash.at),
        state: match crash.state {
            CrashState::Presumed => CrashStateCode::Presumed,
            CrashState::Confirmed => CrashStateCode::Confirmed,
            CrashState::Outlived => CrashStateCode::Outlived,
        }
        .into(),
    });
    SuspectReport {
        fingerprint: fingerprint.0,
        crashes: crashes.collect(),
        completed_age_ms: evidence.completed_at.map(|at| age_ms(now, at)),
        trials: evidence.trials,
        trial_age_ms: evidence.trial_at.map(|at| age_ms(now, at)),
    }
}

/// Returns the evidence in a load report. Crashes of servers without a valid name are left out.
pub(crate) fn parse_reports(now: Instant, report: &GatewayLoad) -> Vec<SuspectEvidence> {
    let parse_segment = |report: &SegmentReport, to_suspect: fn(SegmentId) -> SuspectId| {
        let suspect = to_suspect(SegmentId(report.segment));
        Some(parse_report(now, suspect, report.evidence.as_ref()?))
    };
    let segments = report.segments.iter();
    let segments = segments.filter_map(|report| parse_segment(report, SuspectId::Segment));
    let sessions = report.sessions.iter();
    let sessions = sessions.filter_map(|report| parse_segment(report, SuspectId::Session));
    let requests = report.suspects.iter().map(|report| {
        let suspect = SuspectId::Request(FingerprintId(report.fingerprint));
        parse_report(now, suspect, report)
    });
    segments.chain(sessions).chain(requests).collect()
}

fn parse_report(now: Instant, suspect: SuspectId, report: &SuspectReport) -> SuspectEvidence {
    let crashes = report.crashes.iter().filter_map(|crash| {
        Some(ServerCrash {
            id: CrashId(crash.crash),
            server: crash.server.parse().ok()?,
            incarnation: crash.incarnation.map(IncarnationId),
            at: time_before(now, crash.age_ms),
            state: match crash.state() {
                CrashStateCode::Presumed => CrashState::Presumed,
                CrashStateCode::Confirmed => CrashState::Confirmed,
                CrashStateCode::Outlived => CrashState::Outlived,
            },
        })
    });
    SuspectEvidence {
        suspect,
        crashes: crashes.collect(),
        completed_at: report.completed_age_ms.map(|age| time_before(now, age)),
        trials: report.trials,
        trial_at: report.trial_age_ms.map(|age| time_before(now, age)),
    }
}
