//! Gateways that report usage, the store and the platform, in steps of time. Messages are delayed, lost and
//! carried out late; gateways are killed and suspended; the store comes back from an earlier copy.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use policy::{
    AccountUsage,
    BootTime,
    FixedReports,
    OrderLease,
    ReportPlanner,
    ReportRules,
    ReportStep,
    ReportView,
    TrueTime,
    UsageChanges,
    UsageCollector,
    UsageCounter,
    UsageSource,
    planner_epoch, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use units::{
    EpochNumber,
    IncarnationId,
    InstanceId,
    StoreEra,
    UsageWindow, //
};

const GATEWAYS: usize = 3;
/// Length of a step, in milliseconds. All times below are in milliseconds too.
const STEP: u64 = 100;
const STEPS: u64 = 600;
/// True time of the first step.
const FIRST: u64 = 1_800_000_000_000;
const LEASE_TTL: u64 = 4_000;
const SETTLE: u64 = 3_000;
const RENEWAL: u64 = 1_000;
const STORE_TIMEOUT: u64 = 1_200;
const CALL_TIMEOUT: u64 = 1_000;
/// Time after a suspension in which a call out of order is excused.
const THAW: u64 = 300;
pub(crate) const RULES: ReportRules = ReportRules {
    window: Duration::from_secs(2),
    late: Duration::from_secs(8),
    call_interval: Duration::from_millis(20),
};

/// What keeps reports consistent, and can be taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Guard {
    /// Fixed reports are written only over the content that was read.
    Revision,
    /// A window is reported only once it is known to be fixed.
    FixedFirst,
    /// Windows up to the newest fixed one are never fixed again.
    Newest,
    /// Windows that the store may have forgotten are not fixed.
    Restored,
    /// Calls are made only while the lease allows them.
    Authority,
    /// The lease counts from when its renewal was sent.
    CountedFromSending,
    /// A new holder waits until calls of the one before have arrived.
    Settled,
}

#[derive(Debug, Clone)]
enum Message {
    Renew { acquires: bool },
    Load,
    Fix(u64, FixedReports),
    Report(UsageWindow, AccountUsage, EpochNumber),
    Renewed(Option<EpochNumber>),
    Loaded(u64, FixedReports),
    Written(Option<u64>, FixedReports),
    Reported(UsageWindow),
}

#[derive(Debug, Clone)]
struct Envelope {
    gateway: usize,
    incarnation: u64,
    era: u64,
    sent_at: u64,
    message: Message,
}

struct ModelGateway {
    incarnation: u64,
    started_at: u64,
    down_until: u64,
    frozen_until: u64,
    cut_until: u64,
    lease: OrderLease,
    held_epoch: Option<EpochNumber>,
    planner: ReportPlanner,
    era: Option<(u64, u64)>,
    lease_busy_until: u64,
    report_busy_until: u64,
    counter: UsageCounter,
    collector: UsageCollector,
}

/// What the platform has seen.
#[derive(Default)]
struct Platform {
    reports: BTreeMap<UsageWindow, AccountUsage>,
    highest: Option<(EpochNumber, usize)>,
    accepted: u32,
}

pub(crate) struct UsageModel {
    rng: ChaCha8Rng,
    without: Option<Guard>,
    now: u64,
    gateways: Vec<ModelGateway>,
    in_flight: BTreeMap<(u64, u64), Envelope>,
    sequence: u64,
    revision: u64,
    era: u64,
    lease: Option<(usize, u64, EpochNumber, u64)>,
    document: (u64, FixedReports),
    copy: (u64, u64, FixedReports),
    platform: Platform,
    violation: Option<String>,
}

fn name(gateway: usize) -> InstanceId {
    format!("g-{gateway}").parse().unwrap()
}

fn ms(time: u64) -> BootTime {
    BootTime(Duration::from_millis(time))
}

impl UsageModel {
    pub(crate) fn new(seed: u64, without: Option<Guard>) -> Self {
        let mut model = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            without,
            now: 0,
            gateways: Vec::new(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            revision: 1,
            era: 1,
            lease: None,
            document: (0, FixedReports::default()),
            copy: (1, 0, FixedReports::default()),
            platform: Platform::default(),
            violation: None,
        };
        model.gateways = (0..GATEWAYS).map(|_| model.new_gateway(0)).collect();
        model
    }

    fn lacks(&self, guard: Guard) -> bool {
        self.without == Some(guard)
    }

    fn new_gateway(&mut self, down_until: u64) -> ModelGateway {
        self.sequence += 1;
        let settle = if self.lacks(Guard::Settled) {
            0
        } else {
            SETTLE
        };
        ModelGateway {
            incarnation: self.sequence,
            started_at: down_until,
            down_until,
            frozen_until: 0,
            cut_until: 0,
            lease: OrderLease::new(
                Duration::from_millis(LEASE_TTL),
                Duration::from_millis(settle),
            ),
            held_epoch: None,
            planner: ReportPlanner::new(RULES),
            era: None,
            lease_busy_until: down_until,
            report_busy_until: down_until,
            counter: UsageCounter::default(),
            collector: UsageCollector::default(),
        }
    }

    /// Runs a schedule. Returns the number of accepted reports, or what was broken.
    pub(crate) fn run(mut self) -> Result<u32, String> {
        let start = Instant::now();
        for _ in 0..STEPS {
            self.now += STEP;
            self.disturb();
            self.deliver();
            if self.now.is_multiple_of(500) {
                self.exchange();
            }
            for gateway in 0..GATEWAYS {
                let state = &self.gateways[gateway];
                if self.now >= state.down_until && self.now >= state.frozen_until {
                    self.take_turn(gateway, start);
                }
            }
            if let Some(violation) = self.violation {
                return Err(violation);
            }
        }
        Ok(self.platform.accepted)
    }

    /// Kills, suspends or cuts off a gateway, or restores or copies the store, at times.
    fn disturb(&mut self) {
        let gateway = match self.lease {
            Some((holder, ..)) if self.rng.random_bool(0.6) => holder,
            _ => self.rng.random_range(0..GATEWAYS),
        };
        let now = self.now;
        let time = self.rng.random_range(300..9_000);
        match self.rng.random_range(0..200) {
            0 | 1 => self.gateways[gateway] = self.new_gateway(now + time / 3),
            2..=4 => self.gateways[gateway].frozen_until = now + time,
            5 | 6 => self.gateways[gateway].cut_until = now + time,
            7 | 8 => {
                let (revision, fixed) = self.document.clone();
                self.copy = (self.revision, revision, fixed);
            }
            9 => {
                let (revision, written, fixed) = self.copy.clone();
                (self.revision, self.document) = (revision, (written, fixed));
                self.era += 1;
                self.lease = None;
            }
            10 if self.rng.random_bool(0.2) => {
                for gateway in 0..GATEWAYS {
                    self.gateways[gateway] = self.new_gateway(now + time / 3);
                }
            }
            _ => {}
        }
    }

    /// Lets gateways count and tell each other.
    fn exchange(&mut self) {
        let now = TrueTime(FIRST + self.now);
        let account = "shop".parse().unwrap();
        let incarnation = |state: &ModelGateway| IncarnationId(state.incarnation);
        for sender in 0..GATEWAYS {
            let state = &mut self.gateways[sender];
            if self.now < state.down_until || self.now < state.frozen_until {
                continue;
            }
            // Some requests are known to have begun only long after, so that counts fixed twice differ.
            let age = Duration::from_millis(self.rng.random_range(0..6_000));
            let window = now.before(age).window(RULES.window);
            state.counter.record(window, &account);
            let source = UsageSource {
                gateway: name(sender),
                incarnation: incarnation(state),
                since: TrueTime(FIRST + state.started_at),
                until: now,
            };
            let own = UsageChanges {
                entries: state.counter.entries().collect(),
                is_whole: true,
                ..UsageChanges::default()
            };
            state.collector.merge(source.clone(), &own);
            for receiver in (0..GATEWAYS).filter(|receiver| *receiver != sender) {
                let is_lost = self.rng.random_bool(0.3);
                let other = &mut self.gateways[receiver];
                if is_lost || self.now < other.down_until || self.now < other.frozen_until {
                    continue;
                }
                let changes = self.gateways[sender].counter.changes(&name(receiver), 8);
                let collector = &mut self.gateways[receiver].collector;
                let number = collector.merge(source.clone(), &changes);
                let counter = &mut self.gateways[sender].counter;
                counter.record_receipt(&name(receiver), number);
            }
        }
    }

    fn post(&mut self, gateway: usize, message: Message) {
        let sent_at = self.now;
        let state = &self.gateways[gateway];
        let is_call = matches!(message, Message::Report(..));
        let is_cut = self.now < state.cut_until && !is_call;
        let envelope = Envelope {
            gateway,
            incarnation: state.incarnation,
            era: state.era.map_or(self.era, |(era, _)| era),
            sent_at,
            message,
        };
        let delay = match self.rng.random_range(0..20) {
            0 if is_call => self.rng.random_range(0..2_500),
            0 => self.rng.random_range(0..14_000),
            1 => return,
            _ => self.rng.random_range(0..40),
        };
        if !is_cut {
            self.send(sent_at + delay, envelope);
        }
    }

    fn send(&mut self, at: u64, envelope: Envelope) {
        self.sequence += 1;
        self.in_flight.insert((at, self.sequence), envelope);
    }

    fn answer(&mut self, envelope: &Envelope, message: Message) {
        if self.rng.random_bool(0.05) || self.now < self.gateways[envelope.gateway].cut_until {
            return;
        }
        let delay = match self.rng.random_range(0..10) {
            0 => self.rng.random_range(0..1_500),
            _ => self.rng.random_range(0..40),
        };
        let era = self.era;
        let answered = Envelope {
            era,
            message,
            ..envelope.clone()
        };
        self.send(self.now + delay, answered);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let envelope = entry.remove();
            match envelope.message.clone() {
                Message::Renew { acquires } => self.execute_renewal(&envelope, acquires),
                Message::Load => {
                    let (revision, fixed) = self.document.clone();
                    self.answer(&envelope, Message::Loaded(revision, fixed));
                }
                Message::Fix(revision, fixed) => self.execute_fix(&envelope, revision, fixed),
                Message::Report(window, usage, epoch) => {
                    self.execute_report(&envelope, window, usage, epoch);
                }
                _ => self.receive(envelope),
            }
        }
    }

    fn execute_renewal(&mut self, envelope: &Envelope, acquires: bool) {
        let owner = (envelope.gateway, envelope.incarnation);
        if self.lease.is_some_and(|(.., expiry)| self.now >= expiry) {
            self.lease = None;
        }
        if self.lease.is_none() && acquires {
            self.revision += 1;
            let epoch = planner_epoch(Some(StoreEra(self.era)), self.revision).unwrap();
            self.lease = Some((owner.0, owner.1, epoch, 0));
        }
        let held = self.lease.filter(|lease| (lease.0, lease.1) == owner);
        if let Some((_, _, epoch, _)) = held {
            self.lease = Some((owner.0, owner.1, epoch, self.now + LEASE_TTL));
        }
        let epoch = held.map(|lease| lease.2);
        self.answer(envelope, Message::Renewed(epoch));
    }

    fn execute_fix(&mut self, envelope: &Envelope, revision: u64, fixed: FixedReports) {
        let is_expected = self.document.0 == revision || self.lacks(Guard::Revision);
        let written = is_expected.then(|| {
            self.revision += 1;
            self.document = (self.revision, fixed.clone());
            self.revision
        });
        self.answer(envelope, Message::Written(written, fixed));
    }

    /// Carries out a report and checks it against what came before.
    fn execute_report(
        &mut self,
        envelope: &Envelope,
        window: UsageWindow,
        usage: AccountUsage,
        epoch: EpochNumber,
    ) {
        let frozen_until = self.gateways[envelope.gateway].frozen_until;
        let is_excused = self.now < frozen_until + THAW;
        let holder = envelope.gateway;
        if let Some((highest, seen)) = self.platform.highest {
            if epoch == highest && holder != seen {
                self.violation = Some(format!("two holders of epoch {epoch}"));
            }
            if epoch < highest && !is_excused {
                self.violation = Some(format!("epoch {epoch} after {highest}"));
            }
        }
        if self
            .platform
            .highest
            .is_none_or(|(highest, _)| epoch > highest)
        {
            self.platform.highest = Some((epoch, holder));
        }
        let reported = self.platform.reports.entry(window).or_insert_with(|| {
            self.platform.accepted += 1;
            usage.clone()
        });
        if *reported != usage {
            self.violation = Some(format!("two contents of window {window}"));
        }
        self.answer(envelope, Message::Reported(window));
    }

    /// Hands an answer to its gateway, once that runs.
    fn receive(&mut self, envelope: Envelope) {
        let (now, from_sending) = (self.now, !self.lacks(Guard::CountedFromSending));
        let state = &mut self.gateways[envelope.gateway];
        if state.incarnation != envelope.incarnation {
            return;
        }
        if now < state.frozen_until {
            let at = state.frozen_until;
            return self.send(at, envelope);
        }
        let era = envelope.era;
        if state.era.is_none_or(|(known, _)| era > known) {
            if state.era.is_some() {
                state.lease.record_leases_lost(ms(now));
                state.held_epoch = None;
            }
            state.era = Some((era, now));
        }
        let is_current = state.era.is_some_and(|(known, _)| known == era);
        let is_timely = now < envelope.sent_at + STORE_TIMEOUT;
        let counted_at = if from_sending { envelope.sent_at } else { now };
        match envelope.message {
            Message::Renewed(_) if !is_current || (from_sending && !is_timely) => {}
            Message::Renewed(Some(epoch)) if state.held_epoch == Some(epoch) => {
                state.lease.record_renewed(ms(counted_at));
            }
            Message::Renewed(Some(epoch)) => {
                state.held_epoch = Some(epoch);
                state.lease.record_acquired(ms(counted_at), epoch);
            }
            Message::Renewed(None) => {
                state.held_epoch = None;
                state.lease.record_lost();
            }
            // What comes after its timeout is not read.
            Message::Loaded(revision, fixed) if is_current && now < state.report_busy_until => {
                state.report_busy_until = now;
                self.record_loaded(envelope.gateway, revision, fixed);
            }
            Message::Written(Some(revision), fixed)
                if is_current && now < state.report_busy_until =>
            {
                state.report_busy_until = now;
                state.planner.record_loaded(revision, fixed);
            }
            Message::Reported(window) if now < state.report_busy_until => {
                state.report_busy_until = now;
                state.planner.record_confirmed(window);
            }
            _ => {}
        }
    }

    fn record_loaded(&mut self, gateway: usize, revision: u64, mut fixed: FixedReports) {
        if self.lacks(Guard::Newest) {
            fixed.newest = None;
        }
        if self.lacks(Guard::Restored) {
            fixed.era = Some(StoreEra(self.era));
        }
        self.gateways[gateway]
            .planner
            .record_loaded(revision, fixed);
    }

    fn take_turn(&mut self, gateway: usize, start: Instant) {
        let (now, lacks_authority) = (self.now, self.lacks(Guard::Authority));
        let at = start + Duration::from_millis(now);
        if now >= self.gateways[gateway].lease_busy_until {
            let is_free = self.lease.is_none_or(|(.., expiry)| now >= expiry);
            let state = &mut self.gateways[gateway];
            state.lease_busy_until = now + RENEWAL;
            let is_held = state.held_epoch.is_some();
            if is_held || (is_free && self.rng.random_bool(0.4)) {
                self.post(gateway, Message::Renew { acquires: !is_held });
            }
        }
        let state = &mut self.gateways[gateway];
        if now < state.report_busy_until {
            return;
        }
        let epoch = if lacks_authority {
            state.held_epoch
        } else {
            state.lease.epoch(ms(now))
        };
        let members: BTreeSet<InstanceId> = (0..GATEWAYS).map(name).collect();
        let step = state.planner.next_step(ReportView {
            at,
            now: TrueTime(FIRST + now),
            epoch,
            era: state.era.map(|(era, _)| StoreEra(era)),
            era_since: TrueTime(FIRST + state.era.map_or(0, |(_, since)| since)),
            collector: &state.collector,
            members: &members,
        });
        match step {
            ReportStep::Wait => {}
            ReportStep::Load => {
                // Stands until the answer comes.
                state.planner.record_unknown(at);
                state.report_busy_until = now + STORE_TIMEOUT;
                self.post(gateway, Message::Load);
            }
            ReportStep::Fix {
                revision, reports, ..
            } => {
                if self.without == Some(Guard::FixedFirst) {
                    state.planner.record_loaded(revision, reports.clone());
                } else {
                    state.planner.record_unknown(at);
                }
                state.report_busy_until = now + STORE_TIMEOUT;
                self.post(gateway, Message::Fix(revision, reports));
            }
            ReportStep::Send {
                window,
                usage,
                epoch,
            } => {
                state.planner.record_sent(at, window);
                state.report_busy_until = now + CALL_TIMEOUT;
                self.post(gateway, Message::Report(window, usage, epoch));
            }
        }
    }
}
