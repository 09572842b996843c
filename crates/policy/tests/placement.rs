//! Where prompts and streams go, by load pattern.

#![allow(clippy::unwrap_used)]

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use policy::{
    BackendFleet,
    BackendLoad,
    BackendRecord,
    EngineSpeed,
    EngineStage,
    Placement,
    PlacementNeed,
    PrefillBacklog,
    PromptChain,
    QueuePosition,
    SendOutcome,
    place_call,
    place_decode,
    place_prefill,
    reads_inline, //
};
use tokio::time::Instant;
use units::{
    DataCentre,
    InstanceId,
    ServiceName, //
};

const SPEED: EngineSpeed = EngineSpeed {
    prefill: 50.0,
    inline: 25.0,
    memory_tokens: 500_000,
};

struct Site {
    fleet: BackendFleet,
    service: ServiceName,
    centre: DataCentre,
    avoid: BTreeSet<InstanceId>,
}

impl Site {
    fn new(engines: &[(&str, &str, EngineStage)]) -> Self {
        let staged = engines.iter();
        let staged: Vec<_> = staged
            .map(|(name, centre, stage)| (*name, *centre, Some(*stage)))
            .collect();
        Self::with(&staged)
    }

    /// Servers of a plain service in one data centre.
    fn plain(names: &[&str]) -> Self {
        let servers: Vec<_> = names.iter().map(|name| (*name, "a", None)).collect();
        Self::with(&servers)
    }

    fn with(servers: &[(&str, &str, Option<EngineStage>)]) -> Self {
        let service: ServiceName = "assist".parse().unwrap();
        let mut fleet = BackendFleet::default();
        for (instance, centre, stage) in servers {
            fleet.upsert(BackendRecord {
                instance: instance.parse().unwrap(),
                service: service.clone(),
                address: "10.1.0.1:8080".parse().unwrap(),
                centre: centre.parse().unwrap(),
                slots: 64,
                leaving: false,
                cold: Duration::ZERO,
                stage: *stage,
                born_ms: None,
            });
        }
        Self {
            fleet,
            service,
            centre: "a".parse().unwrap(),
            avoid: BTreeSet::new(),
        }
    }

    fn need(&self) -> PlacementNeed<'_> {
        PlacementNeed {
            service: &self.service,
            centre: &self.centre,
            avoid: &self.avoid,
        }
    }

    fn prefill(&self, chain: &PromptChain) -> Placement {
        place_prefill(
            &self.fleet,
            Instant::now(),
            self.need(),
            chain,
            QueuePosition::for_rank(1),
            SPEED,
        )
        .unwrap()
    }

    fn decode(&self, chain: &PromptChain, source: Option<&str>) -> Placement {
        let source: Option<DataCentre> = source.map(|centre| centre.parse().unwrap());
        let now = Instant::now();
        place_decode(&self.fleet, now, self.need(), chain, SPEED, source.as_ref()).unwrap()
    }

    fn add_load(&mut self, instance: &InstanceId, requests: u32, tokens: u64) {
        self.add_load_at_rank(instance, 1, requests, tokens);
    }

    fn add_load_at_rank(&mut self, instance: &InstanceId, rank: u8, requests: u32, tokens: u64) {
        let view = self.fleet.get_mut(instance).unwrap();
        view.own_load.add(BackendLoad {
            requests,
            prefill_backlog: PrefillBacklog::new(QueuePosition::for_rank(rank), tokens),
            ..BackendLoad::NONE
        });
    }
}

fn chain(manual: u32, own: u32) -> PromptChain {
    format!("aa:512,{manual:x}:4870,{own:x}:6610")
        .parse()
        .unwrap()
}

fn prefill_site(count: usize) -> Site {
    let names: Vec<String> = (0..count).map(|n| format!("p-{n}")).collect();
    let engines: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), "a", EngineStage::Prefill))
        .collect();
    Site::new(&engines)
}

/// Many prompts over few manuals: each manual is read by one engine, and no engine has them all.
#[test]
fn place_prefill_shared_manuals() {
    let mut site = prefill_site(8);
    let mut homes: BTreeMap<u32, BTreeSet<InstanceId>> = BTreeMap::new();
    for own in 0..400 {
        let manual = 0x100 + own % 40;
        let chain = chain(manual, 0x10_000 + own);
        let chosen = site.prefill(&chain).instance;
        site.fleet
            .get_mut(&chosen)
            .unwrap()
            .note_read(&chain, SPEED.memory_tokens);
        homes.entry(manual).or_default().insert(chosen);
    }
    assert!(homes.values().all(|engines| engines.len() == 1));
    let used: BTreeSet<&InstanceId> = homes.values().flatten().collect();
    assert!(used.len() >= 6, "40 manuals on {} of 8 engines", used.len());
}

/// Two gateways that have not talked send a manual's prompts to the same engine.
#[test]
fn place_prefill_agreed_without_talking() {
    let (one, other) = (prefill_site(8), prefill_site(8));
    for manual in 0..50 {
        let chain = chain(0x100 + manual, 0x10_000);
        assert_eq!(one.prefill(&chain).instance, other.prefill(&chain).instance);
    }
}

/// A burst for one manual: its engine falls seconds behind, and the rest goes elsewhere.
#[test]
fn place_prefill_burst_for_one_manual() {
    let mut site = prefill_site(4);
    let chain = chain(0x100, 0x10_000);
    let home = site.prefill(&chain).instance;
    site.add_load(&home, 10, 20_000);
    assert_eq!(
        site.prefill(&chain).instance,
        home,
        "0.4 s is less than reading again"
    );
    site.add_load(&home, 100, 200_000);
    assert_ne!(
        site.prefill(&chain).instance,
        home,
        "4.4 s is more than reading again"
    );
}

/// A backlog of less urgent prompts: an urgent one goes before it and does not flee from it.
#[test]
fn place_prefill_before_less_urgent() {
    let mut site = prefill_site(2);
    let [first, second] = ["p-0", "p-1"].map(|name| name.parse::<InstanceId>().unwrap());
    site.add_load_at_rank(&first, 2, 20, 36_000);
    site.add_load_at_rank(&second, 0, 20, 14_000);
    let chain: PromptChain = "b1:200".parse().unwrap();
    let select = |rank| {
        let position = QueuePosition::for_rank(rank);
        let now = Instant::now();
        place_prefill(&site.fleet, now, site.need(), &chain, position, SPEED).unwrap()
    };
    assert_eq!(select(0).instance, first);
    assert_eq!(select(0).wait, std::time::Duration::ZERO);
    assert_eq!(select(2).instance, second);
}

/// An engine is lost: only its own manuals move.
#[test]
fn place_prefill_engine_lost() {
    let mut site = prefill_site(8);
    let before: Vec<InstanceId> = (0..100)
        .map(|manual| site.prefill(&chain(0x100 + manual, 1)).instance)
        .collect();
    let lost = before[0].clone();
    site.fleet.remove(Instant::now(), &lost, false);
    for (manual, home) in before.iter().enumerate() {
        let now = site.prefill(&chain(0x100 + manual as u32, 1)).instance;
        assert!(*home == lost || now == *home);
    }
}

/// Tokens to read at an engine, which is chosen as all others have far too much to do.
fn uncached(site: &Site, instance: &InstanceId, chain: &PromptChain) -> u32 {
    let mut fleet = site.fleet.clone();
    let busy = BackendLoad {
        requests: 1_000,
        prefill_backlog: PrefillBacklog::new(QueuePosition::for_rank(0), 10_000_000),
        ..BackendLoad::NONE
    };
    let others = fleet.views_mut();
    others
        .filter(|view| view.record.instance != *instance)
        .for_each(|view| view.own_load.add(busy));
    let position = QueuePosition::for_rank(1);
    let placed =
        place_prefill(&fleet, Instant::now(), site.need(), chain, position, SPEED).unwrap();
    assert_eq!(placed.instance, *instance);
    placed.uncached
}

fn read(site: &mut Site, instance: &InstanceId, chain: &PromptChain, memory_tokens: u64) {
    let view = site.fleet.get_mut(instance).unwrap();
    view.note_read(chain, memory_tokens);
}

/// An engine's memory holds the manuals used last: the oldest has to be read again.
#[test]
fn place_prefill_evicted_manual() {
    let mut site = prefill_site(1);
    let engine: InstanceId = "p-0".parse().unwrap();
    for manual in 0..4 {
        read(&mut site, &engine, &chain(0x100 + manual, 1), 20_000);
    }
    // 14,000 tokens are counted on: two manuals of 4,870 and the common part. As the only engine it
    // counts as home of the others, with most of their tokens.
    let kept = |manual: u32| 11_992 - uncached(&site, &engine, &chain(0x100 + manual, 9));
    assert_eq!([kept(3), kept(2)], [5_382, 5_382]);
    assert!(kept(0) < 5_382);
}

/// A part that is kept is of no use without those before it.
#[test]
fn place_prefill_part_without_its_start() {
    let mut site = prefill_site(2);
    let engine: InstanceId = "p-0".parse().unwrap();
    let is_away = |manual: &u32| site.prefill(&chain(*manual, 2)).instance != engine;
    let manual = (0x100..0x200).find(is_away).unwrap();
    let alone: PromptChain = format!("{manual:x}:4870,1:10").parse().unwrap();
    read(&mut site, &engine, &alone, 500_000);
    assert_eq!(uncached(&site, &engine, &chain(manual, 2)), 11_992);
}

/// An engine that runs anew under the same instance keeps nothing.
#[test]
fn place_prefill_engine_started_again() {
    let mut site = prefill_site(2);
    let engine: InstanceId = "p-0".parse().unwrap();
    let is_away = |manual: &u32| site.prefill(&chain(*manual, 9)).instance != engine;
    let chain = chain((0x100..0x200).find(is_away).unwrap(), 9);
    read(&mut site, &engine, &chain, 500_000);
    assert_eq!(uncached(&site, &engine, &chain), 6_610);
    let mut record = site.fleet.get(&engine).unwrap().record.clone();
    record.born_ms = Some(1);
    site.fleet.upsert(record);
    assert_eq!(uncached(&site, &engine, &chain), 11_992);
}

/// Streams spread over decode engines rather than fill one.
#[test]
fn place_decode_spreads_streams() {
    let engines = [
        ("d-0", "a", EngineStage::Decode),
        ("d-1", "a", EngineStage::Decode),
        ("d-2", "a", EngineStage::Decode),
    ];
    let mut site = Site::new(&engines);
    let mut counts: BTreeMap<InstanceId, u32> = BTreeMap::new();
    for own in 0..90 {
        let chosen = site.decode(&chain(0x100, own), Some("a")).instance;
        site.add_load(&chosen, 1, 0);
        *counts.entry(chosen).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == 30), "{counts:?}");
}

/// Few streams of long prompts fill an engine's memory: new ones go to a crowded one with room.
#[test]
fn place_decode_full_memory() {
    let engines = [
        ("d-full", "a", EngineStage::Decode),
        ("d-room", "a", EngineStage::Decode),
    ];
    let mut site = Site::new(&engines);
    let [full, room] = ["d-full", "d-room"].map(|name| name.parse::<InstanceId>().unwrap());
    site.add_load(&full, 10, 0);
    site.add_load(&room, 30, 0);
    let memory = SPEED.memory_tokens * 9 / 10;
    site.fleet.get_mut(&full).unwrap().own_load.kv_cache_tokens = memory;
    assert_eq!(site.decode(&chain(0x100, 1), Some("a")).instance, room);
}

/// An engine that answers a third of its prompts with errors gets less, and is not shut out.
#[test]
fn place_prefill_failing_engine() {
    let mut site = prefill_site(2);
    let [failing, sound] = ["p-0", "p-1"].map(|name| name.parse::<InstanceId>().unwrap());
    let now = Instant::now();
    for answer in 0..60 {
        let outcome = if answer % 3 == 0 {
            SendOutcome::Error
        } else {
            SendOutcome::Served
        };
        site.fleet.note(now, &failing, outcome);
        site.fleet.note(now, &sound, SendOutcome::Served);
    }
    // A prompt of its own parts only has no home.
    let chain: PromptChain = "b1:200".parse().unwrap();
    site.add_load(&sound, 1, 1_000);
    assert_eq!(site.prefill(&chain).instance, sound);
    site.add_load(&sound, 20, 40_000);
    assert_eq!(site.prefill(&chain).instance, failing);
}

/// Of two servers alike, the near one is taken until it is busier.
#[test]
fn place_call_near_first() {
    let mut site = Site::with(&[("s-far", "b", None), ("s-near", "a", None)]);
    let [far, near] = ["s-far", "s-near"].map(|name| name.parse::<InstanceId>().unwrap());
    for instance in [&far, &near] {
        site.fleet.note_time(instance, Duration::from_millis(30));
    }
    let placed = |site: &Site| place_call(&site.fleet, Instant::now(), site.need()).unwrap();
    assert_eq!(placed(&site).instance, near);
    site.add_load(&near, 64, 0);
    assert_eq!(placed(&site).instance, far);
}

/// Less urgent prompts are partly under way: of two engines alike, the idle one is taken.
#[test]
fn place_prefill_beside_less_urgent() {
    let mut site = prefill_site(2);
    let first: InstanceId = "p-0".parse().unwrap();
    site.add_load_at_rank(&first, 2, 20, 36_000);
    let chain: PromptChain = "b1:200".parse().unwrap();
    let position = QueuePosition::for_rank(0);
    let placed = place_prefill(
        &site.fleet,
        Instant::now(),
        site.need(),
        &chain,
        position,
        SPEED,
    );
    assert_ne!(placed.unwrap().instance, first);
}

/// A long KV cache stays in its data centre unless the engines there are much fuller.
#[test]
fn place_decode_near_the_kv_cache() {
    let engines = [
        ("d-near", "b", EngineStage::Decode),
        ("d-far", "a", EngineStage::Decode),
    ];
    let mut site = Site::new(&engines);
    let chain = chain(0x100, 1);
    let near: InstanceId = "d-near".parse().unwrap();
    site.add_load(&near, 10, 0);
    assert_eq!(site.decode(&chain, Some("b")).instance, near);
    site.add_load(&near, 300, 0);
    assert_ne!(site.decode(&chain, Some("b")).instance, near);
}

/// Whatever a decode engine reads holds up its streams: only what is nearly all kept is read there.
#[test]
fn reads_inline_short_remainder() {
    let mut site = Site::new(&[("d-0", "a", EngineStage::Decode)]);
    let prompt = |own: u32| -> PromptChain { format!("aa:512,bb:4870,cc:{own}").parse().unwrap() };
    assert!(
        !reads_inline(&site.decode(&prompt(60), None)),
        "nothing is kept yet"
    );
    let engine: InstanceId = "d-0".parse().unwrap();
    let view = site.fleet.get_mut(&engine).unwrap();
    view.note_read(&prompt(60), SPEED.memory_tokens);
    assert!(reads_inline(&site.decode(&prompt(60), None)));
    assert!(!reads_inline(&site.decode(&prompt(400), None)));
}

#[test]
fn place_prefill_avoids_engines_tried() {
    let mut site = prefill_site(3);
    let chain = chain(0x100, 1);
    let home = site.prefill(&chain).instance;
    site.avoid.insert(home.clone());
    assert_ne!(site.prefill(&chain).instance, home);
}

/// A server joins fast ones: it gets work at once, however fast they are.
#[test]
fn place_call_new_server_gets_work() {
    let mut site = Site::plain(&["s-1", "s-2", "s-3"]);
    let [first, second, third] = ["s-1", "s-2", "s-3"].map(|name| name.parse().unwrap());
    site.fleet.note_time(&second, Duration::from_millis(2));
    site.fleet.note_time(&third, Duration::from_millis(4));
    for instance in [&second, &third] {
        site.add_load(instance, 1, 0);
    }
    let now = Instant::now();
    let placed = place_call(&site.fleet, now, site.need()).unwrap();
    assert_eq!(placed.instance, first);
}
