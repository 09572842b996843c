//! Random gossip among processes: versions never fall, and everyone reaches the highest.

use bytes::Bytes;
use policy::LatestConfig;
use proptest::prelude::*;
use units::ConfigVersion;

const SCHEDULES: u32 = 10_000;
const PROCESSES: usize = 5;

#[derive(Debug, Clone)]
enum Step {
    /// The store shows a version to a process, perhaps a stale one.
    Watch {
        process: usize,
        age: u64,
    },
    Accept,
    /// One process sends its document to another; it may arrive late.
    Send {
        from: usize,
        to: usize,
    },
    Deliver(usize),
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let process = 0..PROCESSES;
    prop_oneof![
        3 => (process.clone(), 0_u64..4).prop_map(|(process, age)| Step::Watch { process, age }),
        2 => Just(Step::Accept),
        5 => (process.clone(), process.clone()).prop_map(|(from, to)| Step::Send { from, to }),
        5 => any::<usize>().prop_map(Step::Deliver),
        1 => process.prop_map(Step::Restart),
    ]
}

fn document(version: u64) -> Bytes {
    Bytes::from(format!("document {version}"))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: SCHEDULES,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn update_random_schedules(steps in proptest::collection::vec(step(), 1..80)) {
        let mut configs: Vec<LatestConfig> = vec![LatestConfig::default(); PROCESSES];
        let mut accepted = 1_u64;
        let mut on_way: Vec<(usize, ConfigVersion, Bytes)> = Vec::new();
        for step in steps {
            let before: Vec<ConfigVersion> = configs.iter().map(|k| k.version()).collect();
            let mut restarted = None;
            match step {
                Step::Watch { process, age } => {
                    let version = accepted.saturating_sub(age).max(1);
                    configs[process].update(ConfigVersion(version), document(version));
                }
                Step::Accept => accepted += 1,
                Step::Send { from, to } => {
                    let config = &configs[from];
                    on_way.push((to, config.version(), config.document().clone()));
                }
                Step::Deliver(number) if !on_way.is_empty() => {
                    let (to, version, data) = on_way[number % on_way.len()].clone();
                    configs[to].update(version, data);
                }
                Step::Deliver(_) => {}
                Step::Restart(process) => {
                    configs[process] = LatestConfig::default();
                    restarted = Some(process);
                }
            }
            for (process, config) in configs.iter().enumerate() {
                prop_assert!(restarted == Some(process) || config.version() >= before[process]);
                let version = config.version().0;
                let expected = if version == 0 { Bytes::new() } else { document(version) };
                prop_assert_eq!(config.document(), &expected);
            }
        }
        // Once each has heard every other, all have the highest.
        let highest = configs.iter().map(|config| config.version()).max();
        for from in 0..PROCESSES {
            let (version, data) = (configs[from].version(), configs[from].document().clone());
            configs.iter_mut().for_each(|config| {
                config.update(version, data.clone());
            });
        }
        for config in &configs {
            prop_assert_eq!(Some(config.version()), highest);
        }
    }
}
