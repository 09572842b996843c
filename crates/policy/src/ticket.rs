//! Tickets, each of which permits one call to a plain service to run once, in one incarnation of one
//! side process. A side process runs beside one backend server.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;
use units::{
    AccountName,
    CallName,
    IncarnationId,
    InstanceId, //
};

use crate::order::SideTimestamp;
use crate::secret::SharedSecret;

/// Lifetime of a ticket, by the clock of its side process.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(900);
/// Maximum number of used tickets that a side process keeps.
const USED_TICKET_LIMIT: usize = 50_000;
const TICKET_LABEL: &[u8] = b"galenarail ticket";
const TICKET_VERSION: &str = "t1";
const FIELD_SEPARATOR: char = '~';

/// Ticket that only the side process named in it accepts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallTicket {
    /// Instance of the side process that issued the ticket.
    pub instance: InstanceId,
    /// Incarnation of that side process.
    pub incarnation: IncarnationId,
    /// Time of issue, by the clock of that side process.
    pub issued_at: SideTimestamp,
    /// Random number that makes the ticket unique.
    pub nonce: u64,
    signature: Vec<u8>,
}

impl CallTicket {
    fn compute_signature(
        &self,
        secret: &SharedSecret,
        account: &AccountName,
        call: &CallName,
    ) -> Vec<u8> {
        secret.sign(&[
            TICKET_LABEL,
            self.instance.as_str().as_bytes(),
            &self.incarnation.0.to_be_bytes(),
            &(self.issued_at.0.as_millis() as u64).to_be_bytes(),
            &self.nonce.to_be_bytes(),
            account.as_str().as_bytes(),
            call.as_str().as_bytes(),
        ])
    }

    /// Returns the text form without the signature, which claims store.
    pub fn to_unsigned(&self) -> String {
        let mut ticket = self.clone();
        ticket.signature.clear();
        ticket.to_string()
    }

    /// Returns the ticket with its signature for an account and a call.
    #[must_use]
    pub fn signed(mut self, secret: &SharedSecret, account: &AccountName, call: &CallName) -> Self {
        self.signature = self.compute_signature(secret, account, call);
        self
    }

    /// Returns whether the signature proves that this system issued the ticket for this account and
    /// call.
    pub fn is_genuine(
        &self,
        secret: &SharedSecret,
        account: &AccountName,
        call: &CallName,
    ) -> bool {
        let expected = self.compute_signature(secret, account, call);
        // Compares every byte of the two digests, so that the duration does not help to forge one.
        expected.len() == self.signature.len()
            && expected
                .iter()
                .zip(&self.signature)
                .fold(0, |acc, (a, b)| acc | (a ^ b))
                == 0
    }
}

impl fmt::Display for CallTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.issued_at.0.as_millis();
        let signature = hex::encode(&self.signature);
        let Self {
            instance,
            incarnation,
            nonce,
            ..
        } = self;
        write!(
            f,
            "{TICKET_VERSION}~{instance}~{incarnation}~{millis}~{nonce:016x}~{signature}"
        )
    }
}

/// Error for a text that cannot be parsed as a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("malformed ticket; present the ticket exactly as it was issued"))]
pub struct TicketError;

impl FromStr for CallTicket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let fields: Vec<&str> = text.split(FIELD_SEPARATOR).collect();
        let [version, instance, incarnation, millis, nonce, signature] = fields[..] else {
            return Err(TicketError);
        };
        if version != TICKET_VERSION {
            return Err(TicketError);
        }
        let millis = millis.parse().map_err(|_| TicketError)?;
        Ok(Self {
            instance: instance.parse().map_err(|_| TicketError)?,
            incarnation: incarnation.parse().map_err(|_| TicketError)?,
            issued_at: SideTimestamp(Duration::from_millis(millis)),
            nonce: u64::from_str_radix(nonce, 16).map_err(|_| TicketError)?,
            signature: hex::decode(signature).map_err(|_| TicketError)?,
        })
    }
}

/// Response of the plain service to a call that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRecord {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
}

/// Decision about a presented ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketVerdict {
    /// The call must run now; the ticket counts as used.
    Run,
    /// The call is already running; its outcome will be the answer.
    Join,
    /// The call ran with this outcome.
    Done(CallRecord),
    /// The call may have run, and its outcome is unknown for the given reason.
    Unknown(&'static str),
    /// The call did not run and never will, for the given reason.
    NotRun(&'static str),
    /// The ticket was not issued by this process for this account and call.
    Forged,
}

#[derive(Debug, Clone)]
enum CallState {
    Running,
    Done(CallRecord),
    Lost,
    NotRun,
}

/// Issues the tickets of one incarnation of a side process and records the used ones.
#[derive(Debug)]
pub struct TicketRegistry {
    instance: InstanceId,
    incarnation: IncarnationId,
    secret: SharedSecret,
    used: BTreeMap<u64, (SideTimestamp, CallState)>,
}

impl TicketRegistry {
    /// Creates an empty registry for one incarnation of a side process.
    pub fn new(instance: InstanceId, incarnation: IncarnationId, secret: SharedSecret) -> Self {
        Self {
            instance,
            incarnation,
            secret,
            used: BTreeMap::new(),
        }
    }

    /// Issues a ticket for an account and a call.
    pub fn issue(
        &self,
        now: SideTimestamp,
        nonce: u64,
        account: &AccountName,
        call: &CallName,
    ) -> CallTicket {
        let mut ticket = CallTicket {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            issued_at: SideTimestamp(Duration::from_millis(now.0.as_millis() as u64)),
            nonce,
            signature: Vec::new(),
        };
        ticket.signature = ticket.compute_signature(&self.secret, account, call);
        ticket
    }

    /// Decides about a presented ticket, and marks the ticket as used if the call must run.
    pub fn present(
        &mut self,
        now: SideTimestamp,
        ticket: &CallTicket,
        account: &AccountName,
        call: &CallName,
    ) -> TicketVerdict {
        if !ticket.is_genuine(&self.secret, account, call) || ticket.instance != self.instance {
            return TicketVerdict::Forged;
        }
        if ticket.incarnation != self.incarnation {
            return TicketVerdict::Unknown("the process that gave the ticket out has restarted");
        }
        if let Some((_, state)) = self.used.get(&ticket.nonce) {
            return match state {
                CallState::Running => TicketVerdict::Join,
                CallState::Done(record) => TicketVerdict::Done(record.clone()),
                CallState::Lost => TicketVerdict::Unknown("the service's answer was lost"),
                CallState::NotRun => TicketVerdict::NotRun("the call was not run"),
            };
        }
        if now.0 >= ticket.issued_at.0 + TICKET_LIFETIME {
            return TicketVerdict::Unknown("the ticket has expired");
        }
        self.evict_expired(now);
        if self.used.len() >= USED_TICKET_LIMIT {
            return TicketVerdict::NotRun("too many calls are remembered");
        }
        self.used
            .insert(ticket.nonce, (ticket.issued_at, CallState::Running));
        TicketVerdict::Run
    }

    /// Records the outcome of a call that ran.
    pub fn complete(&mut self, nonce: u64, record: CallRecord) {
        self.set_state(nonce, CallState::Done(record));
    }

    /// Records that a call was sent to the service and its outcome is lost.
    pub fn mark_lost(&mut self, nonce: u64) {
        self.set_state(nonce, CallState::Lost);
    }

    /// Records that a call was not sent to the service; its ticket can no longer run the call.
    pub fn cancel(&mut self, nonce: u64) {
        self.set_state(nonce, CallState::NotRun);
    }

    /// Returns the number of used tickets on record.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Returns whether no used ticket is on record.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    fn set_state(&mut self, nonce: u64, state: CallState) {
        if let Some((_, current)) = self.used.get_mut(&nonce) {
            *current = state;
        }
    }

    /// Evicts the expired tickets once the registry is full. Expired tickets are refused by their
    /// age, so that the record of their use is not needed.
    fn evict_expired(&mut self, now: SideTimestamp) {
        if self.used.len() < USED_TICKET_LIMIT {
            return;
        }
        let expired = |issued: &SideTimestamp| now.0 >= issued.0 + TICKET_LIFETIME;
        self.used
            .retain(|_, (issued, state)| !expired(issued) || matches!(state, CallState::Running));
    }
}
