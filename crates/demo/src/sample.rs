//! Sample configuration with three classes and one plain service.

use conf::SystemConfig;

/// Returns the sample configuration as version 1.
pub fn sample_config() -> SystemConfig {
    let text = include_bytes!("sample.json");
    match SystemConfig::from_json(text) {
        Ok(mut config) => {
            config.record_change("sample".into(), "sample configuration".into());
            config
        }
        Err(error) => unreachable!("the sample configuration is valid: {error}"),
    }
}
