//! Exchange of configuration documents between processes in random order: the version of a process
//! never decreases until a restart, and all processes reach the highest version.

use bytes::Bytes;
use policy::LatestConfig;
use proptest::prelude::*;
use units::ConfigVersion;

const SCHEDULE_COUNT: u32 = 10_000;
const PROCESS_COUNT: usize = 5;

#[derive(Debug, Clone)]
enum ScheduleStep {
    /// A process reads a version from the store, which may be stale.
    Watch {
        process: usize,
        versions_behind: u64,
    },
    AcceptVersion,
    /// A process sends its document to a peer, where the document may arrive late or repeatedly.
    Send {
        from: usize,
        to: usize,
    },
    Deliver(usize),
    Restart(usize),
}

fn schedule_step() -> impl Strategy<Value = ScheduleStep> {
    let process = 0..PROCESS_COUNT;
    prop_oneof![
        3 => (process.clone(), 0_u64..4)
            .prop_map(|(process, versions_behind)| ScheduleStep::Watch { process, versions_behind }),
        2 => Just(ScheduleStep::AcceptVersion),
        5 => (process.clone(), process.clone())
            .prop_map(|(from, to)| ScheduleStep::Send { from, to }),
        5 => any::<usize>().prop_map(ScheduleStep::Deliver),
        1 => process.prop_map(ScheduleStep::Restart),
    ]
}

fn document(version: u64) -> Bytes {
    Bytes::from(format!("document {version}"))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: SCHEDULE_COUNT,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn update_random_schedules(steps in proptest::collection::vec(schedule_step(), 1..80)) {
        let mut configs: Vec<LatestConfig> = vec![LatestConfig::default(); PROCESS_COUNT];
        let mut latest_version = 1_u64;
        let mut in_flight: Vec<(usize, ConfigVersion, Bytes)> = Vec::new();
        for step in steps {
            let previous_versions: Vec<ConfigVersion> = configs.iter().map(|config| config.version()).collect();
            let mut restarted = None;
            match step {
                ScheduleStep::Watch { process, versions_behind } => {
                    let version = latest_version.saturating_sub(versions_behind).max(1);
                    configs[process].update(ConfigVersion(version), document(version));
                }
                ScheduleStep::AcceptVersion => latest_version += 1,
                ScheduleStep::Send { from, to } => {
                    let config = &configs[from];
                    in_flight.push((to, config.version(), config.document().clone()));
                }
                ScheduleStep::Deliver(index) if !in_flight.is_empty() => {
                    let (to, version, data) = in_flight[index % in_flight.len()].clone();
                    configs[to].update(version, data);
                }
                ScheduleStep::Deliver(_) => {}
                ScheduleStep::Restart(process) => {
                    configs[process] = LatestConfig::default();
                    restarted = Some(process);
                }
            }
            for (process, config) in configs.iter().enumerate() {
                prop_assert!(
                    restarted == Some(process) || config.version() >= previous_versions[process]
                );
                let version = config.version().0;
                let expected = if version == 0 { Bytes::new() } else { document(version) };
                prop_assert_eq!(config.document(), &expected);
            }
        }
        // Every process that has received the documents of all others has the highest version.
        let highest_version = configs.iter().map(|config| config.version()).max();
        for from in 0..PROCESS_COUNT {
            let (version, data) = (configs[from].version(), configs[from].document().clone());
            configs.iter_mut().for_each(|config| {
                config.update(version, data.clone());
            });
        }
        for config in &configs {
            prop_assert_eq!(Some(config.version()), highest_version);
        }
    }
}
