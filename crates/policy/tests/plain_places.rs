//! Load on a plain service of three servers that run six calls at once, seen by several gateways.

#![allow(clippy::unwrap_used)]

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};
use std::time::Duration;

use policy::{
    AnsweredCall,
    HeldCall,
    PlaceId,
    PlaceSupply,
    PlaceVerdict,
    ServicePlaces, //
};
use rand::rngs::StdRng;
use rand::{
    RngExt,
    SeedableRng, //
};
use tokio::time::Instant;
use units::InstanceId;

const SLOTS: usize = 6;
/// Calls that wait at a server at most.
const SERVER_QUEUE: usize = 18;
const WORK_TIME_US: u64 = 60_000;
const LINK_TIME_US: u64 = 1_000;
const TARGET: Duration = Duration::from_millis(300);
const DEADLINE_US: u64 = 2_000_000;
const DEADLINE: Duration = Duration::from_micros(DEADLINE_US);
const MAX_REJECTIONS: u32 = 3;
/// Calls a second that the servers can answer.
const CAPACITY: f64 = (3 * SLOTS) as f64 * 1e6 / WORK_TIME_US as f64;
/// Time in which a gateway learns that it may send.
const REACTION_TIME_US: u64 = 250_000;

/// Age of what gateways know of each other, in checks of 10 ms.
const VIEW_AGE_CHECKS: usize = 20;

/// Load in calls a second at a time in microseconds.
type Demand = fn(u64) -> f64;

#[derive(Debug, Clone, Copy)]
struct Scenario {
    servers: usize,
    gateways: usize,
    seconds: u64,
    demand: Demand,
    /// Factor for the work time of the first server.
    slowness: u64,
    /// Time from which the first server answers nothing.
    lost_at_us: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Reach(usize),
    Finish(usize),
    Reply { call: usize, is_rejected: bool },
    Check,
}

#[derive(Debug, Clone)]
struct Call {
    arrived_us: u64,
    sent_us: u64,
    gateway: usize,
    server: usize,
    place: Option<PlaceId>,
    rejections: u32,
}

#[derive(Debug, Default)]
struct Server {
    running: usize,
    waiting: VecDeque<usize>,
}

#[derive(Debug, Default)]
struct Outcome {
    asked: usize,
    in_time: usize,
    late: usize,
    refused: usize,
    sends: usize,
    rejections: usize,
    /// Place-microseconds without work while a call was held for longer than the reaction time.
    idle_us: u64,
}

impl Outcome {
    fn rejected_share(&self) -> f64 {
        self.rejections as f64 / self.sends.max(1) as f64
    }
}

struct Load {
    scenario: Scenario,
    start: Instant,
    random: StdRng,
    events: BTreeSet<(u64, usize, Event)>,
    event_count: usize,
    calls: Vec<Call>,
    held: BTreeMap<(usize, PlaceId), usize>,
    gateways: Vec<ServicePlaces>,
    servers: Vec<Server>,
    /// Calls at the servers in the latest checks, oldest first.
    taken: VecDeque<usize>,
    outcome: Outcome,
}

fn instance(server: usize) -> InstanceId {
    format!("server-{server}").parse().unwrap()
}

impl Load {
    fn new(scenario: Scenario, seed: u64) -> Self {
        Self {
            scenario,
            start: Instant::now(),
            random: StdRng::seed_from_u64(seed),
            events: BTreeSet::new(),
            event_count: 0,
            calls: Vec::new(),
            held: BTreeMap::new(),
            gateways: vec![ServicePlaces::default(); scenario.gateways],
            servers: (0..scenario.servers).map(|_| Server::default()).collect(),
            taken: VecDeque::from([0; VIEW_AGE_CHECKS]),
            outcome: Outcome::default(),
        }
    }

    fn at(&self, us: u64) -> Instant {
        self.start + Duration::from_micros(us)
    }

    fn push(&mut self, us: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((us, self.event_count, event));
    }

    fn supply(&self, now_us: u64) -> PlaceSupply {
        let lost = usize::from(now_us >= self.scenario.lost_at_us);
        PlaceSupply {
            places: ((self.servers.len() - lost) * SLOTS) as u32,
            taken: self.taken[0] as u32,
            gateways: self.scenario.gateways,
        }
    }

    fn run(mut self) -> Outcome {
        let end = self.scenario.seconds * 1_000_000;
        let mut us = 0;
        while us < end {
            let per_us = (self.scenario.demand)(us) / 1e6;
            let draw: f64 = self.random.random();
            us += (-(1.0 - draw).ln() / per_us) as u64 + 1;
            let gateway = self.random.random_range(0..self.scenario.gateways);
            self.calls.push(Call {
                arrived_us: us,
                sent_us: us,
                gateway,
                server: 0,
                place: None,
                rejections: 0,
            });
            self.push(us, Event::Arrive(self.calls.len() - 1));
        }
        self.outcome.asked = self.calls.len();
        for check in (0..end).step_by(10_000) {
            self.push(check, Event::Check);
        }
        while let Some((us, _, event)) = self.events.pop_first() {
            match event {
                Event::Arrive(call) => self.enter(us, call),
                Event::Reach(call) => self.reach(us, call),
                Event::Finish(call) => self.finish(us, call),
                Event::Reply { call, is_rejected } => self.reply(us, call, is_rejected),
                Event::Check => self.check(us),
            }
        }
        self.outcome
    }

    fn enter(&mut self, us: u64, call: usize) {
        let arrived = self.at(self.calls[call].arrived_us);
        let held = HeldCall {
            rank: 0,
            due: arrived + TARGET,
            deadline: arrived + DEADLINE,
        };
        let supply = self.supply(us);
        let now = self.at(us);
        let gateway = self.calls[call].gateway;
        let jitter = self.random.random();
        match self.gateways[gateway].enter(now, held, supply, jitter) {
            PlaceVerdict::Sent(id) => self.send(us, call, id),
            PlaceVerdict::Held(id) => {
                self.calls[call].place = Some(id);
                self.held.insert((gateway, id), call);
            }
            PlaceVerdict::Refused(_) => self.outcome.refused += 1,
        }
    }

    fn send(&mut self, us: u64, call: usize, id: PlaceId) {
        let usable = usize::from(us >= self.scenario.lost_at_us)..self.servers.len();
        // Gateways see the load of the servers late, and so with an error.
        let seen = |server: &Server| (server.running + server.waiting.len()) as f64;
        let mut scores: Vec<(f64, usize)> = usable
            .map(|server| (seen(&self.servers[server]), server))
            .collect();
        for (score, _) in &mut scores {
            *score += self.random.random_range(0.0..6.0);
        }
        scores.sort_by(|a, b| a.0.total_cmp(&b.0));
        let entry = &mut self.calls[call];
        entry.server = scores[0].1;
        entry.sent_us = us;
        entry.place = Some(id);
        self.outcome.sends += 1;
        self.push(us + LINK_TIME_US, Event::Reach(call));
    }

    fn reach(&mut self, us: u64, call: usize) {
        let index = self.calls[call].server;
        if index == 0 && us >= self.scenario.lost_at_us {
            return;
        }
        let server = &mut self.servers[index];
        if server.running < SLOTS {
            self.start_run(us, call);
        } else if server.waiting.len() < SERVER_QUEUE {
            server.waiting.push_back(call);
        } else {
            let reply = Event::Reply {
                call,
                is_rejected: true,
            };
            self.push(us + LINK_TIME_US, reply);
        }
    }

    fn start_run(&mut self, us: u64, call: usize) {
        let index = self.calls[call].server;
        self.servers[index].running += 1;
        let factor = if index == 0 {
            self.scenario.slowness
        } else {
            1
        };
        let work_us = (WORK_TIME_US as f64 * self.work_factor()) as u64 * factor;
        self.push(us + work_us, Event::Finish(call));
    }

    /// Draws a log-normal factor with mean 1; one call in a hundred takes five times as long.
    fn work_factor(&mut self) -> f64 {
        let draws = (0..12).map(|_| self.random.random::<f64>());
        let normal = draws.sum::<f64>() - 6.0;
        let tail = if self.random.random_bool(0.01) {
            5.0
        } else {
            1.0
        };
        (0.47 * normal - 0.11).exp() * tail / 1.04
    }

    fn finish(&mut self, us: u64, call: usize) {
        let index = self.calls[call].server;
        self.servers[index].running -= 1;
        if index == 0 && us >= self.scenario.lost_at_us {
            return;
        }
        let reply = Event::Reply {
            call,
            is_rejected: false,
        };
        self.push(us + LINK_TIME_US, reply);
        if let Some(next) = self.servers[index].waiting.pop_front() {
            self.start_run(us, next);
        }
    }

    fn reply(&mut self, us: u64, call: usize, is_rejected: bool) {
        let now = self.at(us);
        let supply = self.supply(us);
        let entry = self.calls[call].clone();
        let places = &mut self.gateways[entry.gateway];
        let id = entry.place.unwrap();
        if is_rejected {
            self.outcome.rejections += 1;
            places.record_rejection(now, supply, self.random.random());
            places.leave(id);
            self.calls[call].rejections += 1;
            if entry.rejections + 1 < MAX_REJECTIONS {
                self.enter(us, call);
            } else {
                self.outcome.refused += 1;
            }
        } else {
            let server = &self.servers[entry.server];
            let answered = AnsweredCall {
                instance: &instance(entry.server),
                elapsed: Duration::from_micros(us - entry.sent_us),
                target: TARGET,
                had_free_places: server.running * 2 < SLOTS,
            };
            places.record_answer(now, answered, supply);
            places.leave(id);
            let taken = Duration::from_micros(us - entry.arrived_us);
            match taken {
                _ if taken <= TARGET => self.outcome.in_time += 1,
                _ if taken <= DEADLINE => self.outcome.late += 1,
                _ => {}
            }
        }
        self.admit(us, entry.gateway);
    }

    fn admit(&mut self, us: u64, gateway: usize) {
        let now = self.at(us);
        let supply = self.supply(us);
        for id in self.gateways[gateway].admit(now, supply) {
            let call = self.held.remove(&(gateway, id)).unwrap();
            self.send(us, call, id);
        }
    }

    fn check(&mut self, us: u64) {
        let servers = self.servers.iter();
        let taken = servers.map(|server| server.running + server.waiting.len());
        let taken = taken.sum();
        self.taken.pop_front();
        self.taken.push_back(taken);
        for gateway in 0..self.gateways.len() {
            self.admit(us, gateway);
        }
        let is_expired = |call: &usize| us > self.calls[*call].arrived_us + DEADLINE_US;
        let expired = self.held.iter().filter(|(_, call)| is_expired(call));
        let expired: Vec<(usize, PlaceId)> = expired.map(|(key, _)| *key).collect();
        for (gateway, id) in expired {
            self.held.remove(&(gateway, id));
            self.gateways[gateway].leave(id);
            self.outcome.refused += 1;
        }
        let held = self.held.values();
        let waits = held.map(|call| us - self.calls[*call].sent_us);
        if waits.max().is_some_and(|wait| wait > REACTION_TIME_US) {
            let usable = usize::from(us >= self.scenario.lost_at_us)..self.servers.len();
            let idle: usize = usable.map(|s| SLOTS - self.servers[s].running).sum();
            self.outcome.idle_us += idle as u64 * 10_000;
        }
    }
}

const SECONDS: u64 = 12;
const SEEDS: [u64; 3] = [7, 8, 9];
/// Place-time in a run of three servers, in microseconds.
const PLACE_TIME_US: u64 = 3 * SLOTS as u64 * SECONDS * 1_000_000;

/// Plays a load with several seeds.
fn play(scenario: Scenario) -> Outcome {
    let mut total = Outcome::default();
    for seed in SEEDS {
        let outcome = Load::new(scenario, seed).run();
        total.asked += outcome.asked;
        total.in_time += outcome.in_time;
        total.late += outcome.late;
        total.refused += outcome.refused;
        total.sends += outcome.sends;
        total.rejections += outcome.rejections;
        total.idle_us += outcome.idle_us;
    }
    println!("{} gateways: {total:?}", scenario.gateways);
    total
}

fn sound(demand: Demand, gateways: usize) -> Scenario {
    Scenario {
        servers: 3,
        gateways,
        seconds: SECONDS,
        demand,
        slowness: 1,
        lost_at_us: u64::MAX,
    }
}

/// Checks a load: under 2 in 100 sends are rejected, hardly a place is idle while a call waits, and nearly
/// as many calls are in time as with one gateway, whose queue sees all.
fn check_load(demand: Demand, gateways: usize) {
    let outcome = play(sound(demand, gateways));
    let one_queue = play(sound(demand, 1));
    assert!(outcome.rejected_share() < 0.02, "{outcome:?}");
    let idle_share = outcome.idle_us as f64 / (PLACE_TIME_US * SEEDS.len() as u64) as f64;
    assert!(idle_share < 0.02, "{idle_share}");
    assert!(outcome.in_time * 10 >= one_queue.in_time * 9, "{outcome:?}");
}

const LIGHT: Demand = |_| CAPACITY * 0.6;
const EXCESS: Demand = |_| CAPACITY * 1.2;
const FLOOD: Demand = |_| CAPACITY * 2.0;
const BURSTS: Demand = |us| CAPACITY * if us % 3_000_000 < 1_000_000 { 2.0 } else { 0.5 };
const WAVE: Demand = |us| CAPACITY * (0.9 + 0.5 * (us as f64 / 1e6).sin());

/// Guards against calls that are held or refused while places are free.
#[test]
fn places_light_load() {
    for gateways in [1, 3, 12, 40] {
        let outcome = play(sound(LIGHT, gateways));
        assert_eq!(outcome.refused + outcome.rejections, 0);
        assert!(outcome.in_time * 100 >= outcome.asked * 99, "{outcome:?}");
    }
}

#[test]
fn places_excess_three_gateways() {
    check_load(EXCESS, 3);
}

#[test]
fn places_excess_twelve_gateways() {
    check_load(EXCESS, 12);
}

#[test]
fn places_excess_forty_gateways() {
    check_load(EXCESS, 40);
}

#[test]
fn places_flood_three_gateways() {
    check_load(FLOOD, 3);
}

#[test]
fn places_flood_twelve_gateways() {
    check_load(FLOOD, 12);
}

#[test]
fn places_flood_forty_gateways() {
    check_load(FLOOD, 40);
}

#[test]
fn places_bursts_three_gateways() {
    check_load(BURSTS, 3);
}

#[test]
fn places_bursts_twelve_gateways() {
    check_load(BURSTS, 12);
}

#[test]
fn places_bursts_forty_gateways() {
    check_load(BURSTS, 40);
}

#[test]
fn places_wave_three_gateways() {
    check_load(WAVE, 3);
}

#[test]
fn places_wave_twelve_gateways() {
    check_load(WAVE, 12);
}

#[test]
fn places_wave_forty_gateways() {
    check_load(WAVE, 40);
}

/// Guards against a server that is lost with calls in flight, which hold no places for good.
#[test]
fn places_server_lost() {
    let scenario = Scenario {
        lost_at_us: 4_000_000,
        ..sound(|_| CAPACITY * 0.55, 12)
    };
    let outcome = play(scenario);
    assert!(outcome.rejected_share() < 0.02, "{outcome:?}");
    // Up to 24 calls are lost with the server in each run.
    assert!(outcome.in_time * 100 >= outcome.asked * 95, "{outcome:?}");
}

/// Guards against a slow server that makes all calls late.
#[test]
fn places_server_slow() {
    let scenario = Scenario {
        slowness: 3,
        ..sound(|_| CAPACITY * 0.6, 12)
    };
    let outcome = play(scenario);
    assert!(outcome.rejected_share() < 0.02, "{outcome:?}");
}

/// Guards against calls of a lower rank that go before others, and against their starvation.
#[test]
fn places_by_rank() {
    let now = Instant::now();
    let supply = PlaceSupply {
        places: 1,
        taken: 2,
        gateways: 1,
    };
    let mut places = ServicePlaces::default();
    let call = |rank: u8| HeldCall {
        rank,
        due: now + DEADLINE,
        deadline: now + 2 * DEADLINE,
    };
    let mut enter = |rank: u8| match places.enter(now, call(rank), supply, 0.5) {
        PlaceVerdict::Sent(id) | PlaceVerdict::Held(id) => id,
        PlaceVerdict::Refused(_) => panic!("refused"),
    };
    let mut running = enter(0);
    let patients: BTreeSet<PlaceId> = (0..4).map(|_| enter(1)).collect();
    for _ in 0..8 {
        enter(0);
    }
    let mut turns = Vec::new();
    for _ in 0..10 {
        places.leave(running);
        let admitted = places.admit(now, supply);
        assert_eq!(admitted.len(), 1);
        running = admitted[0];
        turns.push(patients.contains(&running));
    }
    let early = turns.iter().take(4).any(|is_patient| *is_patient);
    assert!(
        !early && turns.iter().any(|is_patient| *is_patient),
        "{turns:?}"
    );
}

/// Guards against calls that wait for an answer that cannot come before their deadline, and against
/// callers who are all asked to come back at once.
#[test]
fn places_refused_in_time() {
    let now = Instant::now();
    let supply = PlaceSupply {
        places: 1,
        taken: 2,
        gateways: 1,
    };
    let mut places = ServicePlaces::default();
    let call = HeldCall {
        rank: 0,
        due: now + Duration::from_millis(100),
        deadline: now + Duration::from_millis(200),
    };
    let verdicts = (0..20).map(|_| places.enter(now, call, supply, 0.5));
    let delays = verdicts.filter_map(|verdict| match verdict {
        PlaceVerdict::Refused(delay) => Some(delay),
        _ => None,
    });
    let delays: Vec<Duration> = delays.collect();
    assert!(delays.len() >= 15, "{delays:?}");
    assert!(delays.is_sorted() && delays[0] < delays[delays.len() - 1]);
}
