//! Guards against documentation that lacks a field or states an outdated default, and against errors
//! that do not name the invalid field.

#![allow(clippy::unwrap_used)]

use conf::{
    EntryLimits,
    EntrySettings,
    SideSettings,
    SystemConfig, //
};
use serde_json::{
    Value,
    json, //
};

const SETTINGS_PAGE: &str = include_str!("../../../docs/settings.md");
const CONFIGURATION_PAGE: &str = include_str!("../../../docs/configuration.md");
const SECRET: &str = "00112233445566778899aabbccddeeff";

fn field_names(value: &Value, prefix: &str) -> Vec<String> {
    let mut names = Vec::new();
    for (name, field) in value.as_object().unwrap() {
        let path = format!("{prefix}{name}");
        match field {
            Value::Object(_) if name == "limits" => names.extend(field_names(field, "limits.")),
            _ => names.push(path),
        }
    }
    names
}

fn assert_fields_listed(page: &str, names: &[String]) {
    for name in names {
        assert!(
            page.contains(&format!("| `{name}` |")),
            "the page has no row for {name}"
        );
    }
}

fn entry_settings() -> Value {
    json!({
        "instance": "entry-1", "data_centre": "dc-1", "listen": "127.0.0.1:1",
        "store": "127.0.0.1:2", "platform": "127.0.0.1:3", "secret": SECRET,
    })
}

fn side_settings() -> Value {
    json!({
        "instance": "engine-1", "data_centre": "dc-1", "listen": "127.0.0.1:1",
        "operations": "127.0.0.1:2", "backend": "127.0.0.1:3", "secret": SECRET,
        "kind": {"engine": {"checks_fencing": true}},
    })
}

#[test]
fn settings_page_lists_entry_fields() {
    let settings: EntrySettings = serde_json::from_value(entry_settings()).unwrap();
    settings.check().unwrap();
    assert_fields_listed(
        SETTINGS_PAGE,
        &field_names(&serde_json::to_value(&settings).unwrap(), ""),
    );
    let limits = serde_json::to_value(EntryLimits::default()).unwrap();
    for (name, default) in limits.as_object().unwrap() {
        let row = SETTINGS_PAGE
            .lines()
            .find(|line| line.contains(&format!("`limits.{name}` |")));
        assert!(
            row.unwrap().contains(&format!("| {default} |")),
            "default of {name}"
        );
    }
}

#[test]
fn settings_page_lists_side_fields() {
    let settings: SideSettings = serde_json::from_value(side_settings()).unwrap();
    settings.check().unwrap();
    assert_fields_listed(
        SETTINGS_PAGE,
        &field_names(&serde_json::to_value(&settings).unwrap(), ""),
    );
}

#[test]
fn configuration_page_lists_fields() {
    let document = json!({
        "default_class": "c",
        "classes": {"c": {"rank": "urgent", "start_ms": 100, "gap_ms": 10, "worth": 1}},
        "services": {"s": {"calls": {"c": {"idempotent": true}}}},
        "accounts": {"a": {"key_sha256": "0".repeat(64), "requests_per_second": 1.0, "burst": 1}},
    });
    let config = SystemConfig::from_json(document.to_string().as_bytes()).unwrap();
    let value = serde_json::to_value(&config).unwrap();
    let groups = [
        ("classes.NAME.", &value["classes"]["c"]),
        (
            "services.NAME.calls.CALL.",
            &value["services"]["s"]["calls"]["c"],
        ),
        ("accounts.NAME.", &value["accounts"]["a"]),
    ];
    for (prefix, group) in groups {
        assert_fields_listed(CONFIGURATION_PAGE, &field_names(group, prefix));
    }
    for name in ["version", "history", "default_class", "models", "drains"] {
        assert!(value.get(name).is_some());
        assert_fields_listed(CONFIGURATION_PAGE, &[name.to_owned()]);
    }
}

fn settings_error(change: impl FnOnce(&mut Value)) -> String {
    let mut settings = entry_settings();
    change(&mut settings);
    let path = std::env::temp_dir().join(format!("settings-{:016x}.json", fingerprint(&settings)));
    std::fs::write(&path, settings.to_string()).unwrap();
    let read_result: Result<EntrySettings, _> = conf::read_settings(&path);
    std::fs::remove_file(&path).unwrap();
    let check_result = read_result.and_then(|settings| settings.check());
    check_result.unwrap_err().to_string()
}

fn fingerprint(value: &Value) -> u64 {
    let fnv_step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    value
        .to_string()
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, fnv_step)
}

#[test]
fn settings_error_names_field() {
    let unknown = settings_error(|s| s["colour"] = json!("red"));
    assert!(unknown.contains("colour"), "{unknown}");
    let address = settings_error(|s| s["listen"] = json!("nowhere"));
    assert!(address.starts_with("field listen"), "{address}");
    let range = settings_error(|s| s["limits"] = json!({"header_ms": 1}));
    assert!(range.starts_with("field limits.header_ms"), "{range}");
    let contradiction =
        settings_error(|s| s["limits"] = json!({"stall_ms": 500000, "answer_ms": 1000}));
    assert!(
        contradiction.starts_with("field limits.stall_ms"),
        "{contradiction}"
    );
    let shared_address = settings_error(|s| s["listen"] = json!("127.0.0.1:2"));
    assert!(
        shared_address.starts_with("field listen"),
        "{shared_address}"
    );
    let secret = settings_error(|s| s["secret"] = json!("00ff"));
    assert!(secret.starts_with("field secret"), "{secret}");
}
