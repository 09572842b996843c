//! Tickets: the right to run one call once, on one run of one side process.

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

/// Time for which a ticket is good, by its side's clock.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(900);
/// Used tickets that a side keeps at most.
const VAULT_LIMIT: usize = 50_000;
const TICKET_LABEL: &[u8] = b"galenarail ticket";
const TICKET_VERSION: &str = "t1";
const SEPARATOR: char = '~';

/// A ticket that names the only process which may ever use it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallTicket {
    /// Side that gave it out.
    pub instance: InstanceId,
    /// Run of that side.
    pub incarnation: IncarnationId,
    /// When it was given out, by that side's clock.
    pub stamp: SideTimestamp,
    /// Random number that makes it unique.
    pub nonce: u64,
    signature: Vec<u8>,
}

impl CallTicket {
    fn sign_parts(&self, secret: &SharedSecret, account: &AccountName, call: &CallName) -> Vec<u8> {
        secret.sign(&[
            TICKET_LABEL,
            self.instance.as_str().as_bytes(),
            &self.incarnation.0.to_be_bytes(),
            &(self.stamp.0.as_millis() as u64).to_be_bytes(),
            &self.nonce.to_be_bytes(),
            account.as_str().as_bytes(),
            call.as_str().as_bytes(),
        ])
    }

    /// The ticket without its signature, as claims keep it.
    pub fn to_unsigned(&self) -> String {
        let mut ticket = self.clone();
        ticket.signature.clear();
        ticket.to_string()
    }

    /// The ticket with the signature of the system.
    #[must_use]
    pub fn signed(mut self, secret: &SharedSecret, account: &AccountName, call: &CallName) -> Self {
        self.signature = self.sign_parts(secret, account, call);
        self
    }

    /// Whether it was given out by the system for this account and call.
    pub fn is_genuine(
        &self,
        secret: &SharedSecret,
        account: &AccountName,
        call: &CallName,
    ) -> bool {
        let expected = self.sign_parts(secret, account, call);
        // Both are digests of the same secret; comparing them leaks nothing that helps to forge.
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
        let millis = self.stamp.0.as_millis();
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

/// A text that is no ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("this is no ticket; present it as it was given out"))]
pub struct TicketError;

impl FromStr for CallTicket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let parts: Vec<&str> = text.split(SEPARATOR).collect();
        let [version, instance, incarnation, millis, nonce, signature] = parts[..] else {
            return Err(TicketError);
        };
        if version != TICKET_VERSION {
            return Err(TicketError);
        }
        let millis = millis.parse().map_err(|_| TicketError)?;
        Ok(Self {
            instance: instance.parse().map_err(|_| TicketError)?,
            incarnation: incarnation.parse().map_err(|_| TicketError)?,
            stamp: SideTimestamp(Duration::from_millis(millis)),
            nonce: u64::from_str_radix(nonce, 16).map_err(|_| TicketError)?,
            signature: hex::decode(signature).map_err(|_| TicketError)?,
        })
    }
}

/// Outcome of a call that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRecord {
    /// HTTP status of the service.
    pub status: u16,
    /// Body of the service.
    pub body: Bytes,
}

/// What a side may do with a presented ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketVerdict {
    /// Run the call now; the ticket is used from here on.
    Run,
    /// It runs already; wait for its outcome.
    Join,
    /// It ran; this is its outcome.
    Done(CallRecord),
    /// It was sent to the service and its outcome was lost.
    Unknown(&'static str),
    /// It was not run and never will be.
    NotRun(&'static str),
    /// It was not given out by this system for this account and call.
    Forged,
}

#[derive(Debug, Clone)]
enum UseState {
    Running,
    Done(CallRecord),
    Lost,
    NotRun,
}

/// The used tickets of one run of a side.
#[derive(Debug)]
pub struct TicketVault {
    instance: InstanceId,
    incarnation: IncarnationId,
    secret: SharedSecret,
    used: BTreeMap<u64, (SideTimestamp, UseState)>,
}

impl TicketVault {
    /// An empty vault for one run of a side.
    pub fn new(instance: InstanceId, incarnation: IncarnationId, secret: SharedSecret) -> Self {
        Self {
            instance,
            incarnation,
            secret,
            used: BTreeMap::new(),
        }
    }

    /// Gives out a ticket bound to an account and a call.
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
            stamp: SideTimestamp(Duration::from_millis(now.0.as_millis() as u64)),
            nonce,
            signature: Vec::new(),
        };
        ticket.signature = ticket.sign_parts(&self.secret, account, call);
        ticket
    }

    /// Judges a presented ticket, and counts it as used when the call may run.
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
                UseState::Running => TicketVerdict::Join,
                UseState::Done(record) => TicketVerdict::Done(record.clone()),
                UseState::Lost => TicketVerdict::Unknown("the service's answer was lost"),
                UseState::NotRun => TicketVerdict::NotRun("the call was not run"),
            };
        }
        if now.0 >= ticket.stamp.0 + TICKET_LIFETIME {
            return TicketVerdict::Unknown("the ticket has expired");
        }
        self.forget_expired(now);
        if self.used.len() >= VAULT_LIMIT {
            return TicketVerdict::NotRun("too many calls are remembered");
        }
        self.used
            .insert(ticket.nonce, (ticket.stamp, UseState::Running));
        TicketVerdict::Run
    }

    /// Records the outcome of a call that ran.
    pub fn complete(&mut self, nonce: u64, record: CallRecord) {
        self.set_state(nonce, UseState::Done(record));
    }

    /// Records that a call was sent and its outcome is lost.
    pub fn lose(&mut self, nonce: u64) {
        self.set_state(nonce, UseState::Lost);
    }

    /// Records that a call was not sent; its ticket will never run it.
    pub fn cancel(&mut self, nonce: u64) {
        self.set_state(nonce, UseState::NotRun);
    }

    /// Used tickets that are remembered.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Whether no used ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    fn set_state(&mut self, nonce: u64, state: UseState) {
        if let Some((_, current)) = self.used.get_mut(&nonce) {
            *current = state;
        }
    }

    /// Tickets beyond their lifetime are refused by age, so their use need not be remembered.
    fn forget_expired(&mut self, now: SideTimestamp) {
        if self.used.len() < VAULT_LIMIT {
            return;
        }
        let expired = |stamp: &SideTimestamp| now.0 >= stamp.0 + TICKET_LIFETIME;
        self.used
            .retain(|_, (stamp, state)| !expired(stamp) || matches!(state, UseState::Running));
    }
}
