//! Engines that differ in speed, for good or for a spell, and what that changes for prompts.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::time::Duration;

use policy::{
    BackendFleet,
    BackendLoad,
    BackendRecord,
    EngineCapacity,
    EngineStage,
    PrefillBacklog,
    PrefillId,
    QueuePosition,
    SelectionRequest,
    ServerSpeed,
    SpeedSample,
    VersionRule,
    select_prefill_engine, //
};
use tokio::time::Instant;
use units::{
    InstanceId,
    ServiceName, //
};

/// Tokens per millisecond of an engine of speed 1.
const TOKENS_PER_MS: f64 = 100.0;
const PROMPT_TOKENS: u32 = 6_000;
/// Target for the time until a prompt is prefilled.
const TARGET: Duration = Duration::from_millis(150);

/// Repeatable numbers in 0..1.
struct Noise(u64);

impl Noise {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005);
        self.0 = self.0.wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value / 1_000.0)
}

/// Adds the samples of an engine of some speed, one each 70 ms, and returns the time of the last one.
fn add_samples(
    speed: &mut ServerSpeed,
    noise: &mut Noise,
    start: Instant,
    count: u32,
    relative_speed: f64,
) -> Instant {
    let mut now = start;
    for _ in 0..count {
        now += millis(70.0);
        let exact = f64::from(PROMPT_TOKENS) / TOKENS_PER_MS / relative_speed;
        let elapsed = millis(exact * (0.9 + 0.2 * noise.next()));
        speed.add_sample(SpeedSample::new(now, PROMPT_TOKENS.into(), elapsed, false).unwrap());
    }
    now
}

fn relative_speed(speed: &ServerSpeed) -> f64 {
    speed.lasting_tokens_per_ms().unwrap() / TOKENS_PER_MS
}

#[test]
fn server_speed_lasting_difference() {
    for expected in [0.7, 1.7] {
        let mut speed = ServerSpeed::default();
        let now = add_samples(&mut speed, &mut Noise(7), Instant::now(), 10, expected);
        let ratio = relative_speed(&speed) / expected;
        assert!((0.8..1.25).contains(&ratio), "{ratio} of {expected}");
        assert_eq!(speed.slowdown(now), 1.0);
    }
}

/// A spell is known within 200 ms, ends within 200 ms, and leaves the lasting speed as it is.
#[test]
fn server_speed_spell_of_600_ms() {
    let mut noise = Noise(11);
    let mut speed = ServerSpeed::default();
    let now = add_samples(&mut speed, &mut noise, Instant::now(), 20, 1.0);
    let now = add_samples(&mut speed, &mut noise, now, 2, 0.4);
    let slowdown = speed.slowdown(now);
    assert!(slowdown > 2.0, "{slowdown} of 2.5");
    let now = add_samples(&mut speed, &mut noise, now, 6, 0.4);
    let now = add_samples(&mut speed, &mut noise, now, 2, 1.0);
    assert_eq!(speed.slowdown(now), 1.0);
    let ratio = relative_speed(&speed);
    assert!((0.85..1.15).contains(&ratio), "{ratio}");
}

/// One prompt that waited behind others of which no gateway knew yet is no spell.
#[test]
fn server_speed_single_slow_prompt() {
    let mut noise = Noise(13);
    let mut speed = ServerSpeed::default();
    let now = add_samples(&mut speed, &mut noise, Instant::now(), 20, 1.0);
    let now = add_samples(&mut speed, &mut noise, now, 1, 0.3);
    assert_eq!(speed.slowdown(now), 1.0);
}

#[test]
fn server_speed_four_times_slower_and_recovery() {
    let mut noise = Noise(17);
    let mut speed = ServerSpeed::default();
    let now = add_samples(&mut speed, &mut noise, Instant::now(), 20, 1.0);
    let now = add_samples(&mut speed, &mut noise, now, 35, 0.25);
    let slow = relative_speed(&speed);
    assert!((0.2..0.3).contains(&slow), "{slow}");
    assert_eq!(speed.slowdown(now), 1.0, "counts as lasting");
    add_samples(&mut speed, &mut noise, now, 35, 1.0);
    let recovered = relative_speed(&speed);
    assert!((0.8..1.25).contains(&recovered), "{recovered}");
}

/// Numbers of other processes that cannot be true change nothing.
#[test]
fn server_speed_implausible_samples() {
    let mut speed = ServerSpeed::default();
    let now = add_samples(&mut speed, &mut Noise(19), Instant::now(), 5, 1.0);
    let before = speed.lasting_tokens_per_ms();
    for ms_per_token in [0.0, -1.0, f64::NAN, f64::INFINITY, 4_294.0] {
        speed.add_sample(SpeedSample {
            at: now,
            ms_per_token,
            is_running: false,
        });
    }
    assert_eq!(speed.lasting_tokens_per_ms(), before);
    assert_eq!(speed.slowdown(now), 1.0);
}

struct Engines {
    fleet: BackendFleet,
    names: Vec<InstanceId>,
    service: ServiceName,
}

impl Engines {
    fn new(count: usize) -> Self {
        let service: ServiceName = "assist".parse().unwrap();
        let mut fleet = BackendFleet::default();
        let names: Vec<InstanceId> = (0..count)
            .map(|number| format!("p-{number}").parse().unwrap())
            .collect();
        for name in &names {
            fleet.upsert(record(name, &service, 1));
        }
        Self {
            fleet,
            names,
            service,
        }
    }

    /// Returns the engine that is selected for a prompt without shared segments.
    fn select(&self, now: Instant) -> usize {
        let request = SelectionRequest {
            service: &self.service,
            centre: &"a".parse().unwrap(),
            excluded: &BTreeSet::new(),
            version: &VersionRule::Any,
            preferred_version: None,
        };
        let layout = format!("b1:{PROMPT_TOKENS}").parse().unwrap();
        let capacity = EngineCapacity {
            prefill_tokens_per_ms: TOKENS_PER_MS,
            inline_tokens_per_ms: 25.0,
            kv_cache_tokens: 500_000,
        };
        let position = QueuePosition::for_rank(1);
        let selection =
            select_prefill_engine(&self.fleet, now, request, &layout, position, capacity);
        let chosen = selection.unwrap().instance;
        self.names.iter().position(|name| *name == chosen).unwrap()
    }
}

fn record(name: &InstanceId, service: &ServiceName, started_unix_ms: u64) -> BackendRecord {
    BackendRecord {
        instance: name.clone(),
        service: service.clone(),
        address: "10.1.0.1:8080".parse().unwrap(),
        centre: "a".parse().unwrap(),
        slots: 64,
        draining: false,
        cold_time: Duration::ZERO,
        stage: Some(EngineStage::Prefill),
        started_unix_ms: Some(started_unix_ms),
        version: None,
    }
}

fn load() -> BackendLoad {
    BackendLoad {
        requests: 1,
        prefill_backlog: PrefillBacklog::new(QueuePosition::for_rank(1), PROMPT_TOKENS.into()),
        kv_cache_tokens: 0,
    }
}

/// How a prompt's engine is found.
#[derive(Clone, Copy, PartialEq)]
enum Choice {
    /// With the true speeds.
    Oracle,
    /// With speeds from samples.
    Learned,
    /// Without samples.
    Unaware,
}

/// Plays prompts on engines that each prefill one prompt at a time, and returns the share that is
/// prefilled in time. `speed` gives the speed of an engine by its number and the milliseconds.
fn share_in_time(
    choice: Choice,
    engines: usize,
    load_share: f64,
    speed: fn(usize, f64) -> f64,
) -> f64 {
    let start = Instant::now();
    let mut cluster = Engines::new(engines);
    let mut noise = Noise(23);
    let mut free_at = vec![0.0_f64; engines];
    let mut running: Vec<(f64, usize, PrefillId)> = Vec::new();
    let (mut now_ms, mut in_time, mut total) = (0.0, 0, 0);
    let sum: f64 = (0..engines).map(|engine| speed(engine, 0.0)).sum();
    let gap_ms = f64::from(PROMPT_TOKENS) / (sum * TOKENS_PER_MS * load_share);
    while now_ms < 20_000.0 {
        now_ms += gap_ms * 2.0 * noise.next();
        let finished = running.extract_if(.., |(end, _, _)| *end <= now_ms);
        let mut finished: Vec<_> = finished.collect();
        finished.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (end, engine, id) in finished {
            let view = cluster.fleet.get_mut(&cluster.names[engine]).unwrap();
            view.own_load.subtract(load());
            view.finish_prefill(start + millis(end), id, choice == Choice::Learned);
        }
        let now = start + millis(now_ms);
        let end_at = |engine: usize| {
            let begin = free_at[engine].max(now_ms);
            let exact = f64::from(PROMPT_TOKENS) / TOKENS_PER_MS / speed(engine, begin);
            begin + exact
        };
        let engine = match choice {
            Choice::Oracle => (0..engines)
                .min_by(|a, b| end_at(*a).total_cmp(&end_at(*b)))
                .unwrap(),
            Choice::Learned | Choice::Unaware => cluster.select(now),
        };
        let end = end_at(engine) + 5.0 * noise.next();
        free_at[engine] = end;
        let view = cluster.fleet.get_mut(&cluster.names[engine]).unwrap();
        let tokens_ahead = view.own_load.prefill_backlog.total_tokens();
        let id = view.start_prefill(now, PROMPT_TOKENS.into(), tokens_ahead);
        view.record_send(now, load());
        running.push((end, engine, id));
        total += 1;
        in_time += u32::from(millis(end - now_ms) <= TARGET);
    }
    f64::from(in_time) / f64::from(total)
}

/// Asserts that learned speeds come within a tenth of known ones, and are no worse than none.
fn assert_near_oracle(engines: usize, load_share: f64, speed: fn(usize, f64) -> f64) {
    let share = |choice| share_in_time(choice, engines, load_share, speed);
    let [oracle, learned, unaware] = [Choice::Oracle, Choice::Learned, Choice::Unaware].map(share);
    let shares = format!("oracle {oracle:.3}, learned {learned:.3}, unaware {unaware:.3}");
    println!("{shares}");
    assert!(learned >= 0.9 * oracle, "{shares}");
    assert!(learned >= unaware - 0.01, "{shares}");
}

#[test]
fn select_prefill_engine_third_of_the_engines_is_fast() {
    assert_near_oracle(9, 0.85, |engine, _| [0.7, 0.7, 1.7][engine % 3]);
}

#[test]
fn select_prefill_engine_four_times_slower_and_recovery() {
    assert_near_oracle(6, 0.7, |engine, now_ms| {
        let is_slow = engine == 0 && (5_000.0..12_000.0).contains(&now_ms);
        if is_slow { 0.25 } else { 1.0 }
    });
}

#[test]
fn select_prefill_engine_spells() {
    assert_near_oracle(9, 0.75, |engine, now_ms| {
        let spell = (now_ms / 600.0) as u64 * 31 + engine as u64;
        if Noise(spell).next() < 0.15 { 0.4 } else { 1.0 }
    });
}

/// A prompt without an answer is news too: the next one goes to another engine.
#[test]
fn select_prefill_engine_overdue_prompt() {
    let mut cluster = Engines::new(2);
    let mut noise = Noise(29);
    let start = Instant::now();
    let mut now = start;
    for name in cluster.names.clone() {
        let view = cluster.fleet.get_mut(&name).unwrap();
        now = add_samples(&mut view.speed, &mut noise, start, 10, 1.0);
    }
    let chosen = cluster.select(now);
    let names = cluster.names.clone();
    let view = cluster.fleet.get_mut(&names[chosen]).unwrap();
    view.start_prefill(now, PROMPT_TOKENS.into(), 0);
    view.record_send(now, load());
    // The other engine has a little more in its queue, of which the answers come in time.
    let other = cluster.fleet.get_mut(&names[1 - chosen]).unwrap();
    other.own_load.add(load());
    other.own_load.add(BackendLoad {
        requests: 1,
        prefill_backlog: PrefillBacklog::new(QueuePosition::for_rank(1), 1_000),
        kv_cache_tokens: 0,
    });
    assert_eq!(cluster.select(now), chosen);
    let later = now + Duration::from_millis(200);
    assert_ne!(cluster.select(later), chosen);
}

/// A new process and another stage start without what was learned.
#[test]
fn upsert_forgets_speed() {
    for (started_unix_ms, stage) in [(2, EngineStage::Prefill), (1, EngineStage::Decode)] {
        let mut cluster = Engines::new(1);
        let name = cluster.names[0].clone();
        let view = cluster.fleet.get_mut(&name).unwrap();
        add_samples(&mut view.speed, &mut Noise(31), Instant::now(), 10, 0.7);
        let mut changed = record(&name, &cluster.service, started_unix_ms);
        changed.stage = Some(stage);
        cluster.fleet.upsert(changed);
        let view = cluster.fleet.get(&name).unwrap();
        assert_eq!(view.speed.lasting_tokens_per_ms(), None);
    }
}
