//! The pages for operators name every field, with the defaults of the code.

#![allow(clippy::unwrap_used)]

use conf::{
    EntryLimits,
    EntrySettings,
    SideSettings, //
    SystemConfig,
};
use serde_json::{
    Value,
    json, //
};

const SETTINGS: &str = include_str!("../../../docs/settings.md");
const CONFIGURATION: &str = include_str!("../../../docs/configuration.md");
const SECRET: &str = "00112233445566778899aabbccddeeff";

fn field_names(value: &Value, prefix: &str) -> Vec<String> {
    let mut names = Vec::new();
    for (name, inner) in value.as_object().unwrap() {
        let path = format!("{prefix}{name}");
        match inner {
            Value::Object(_) if name == "limits" => names.extend(field_names(inner, "limits.")),
            _ => names.push(path),
        }
    }
    names
}

fn check_named(page: &str, names: &[String]) {
    for name in names {
        assert!(
            page.contains(&format!("| `{name}` |")),
            "the page lacks {name}"
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
fn settings_page_entry() {
    let settings: EntrySettings = serde_json::from_value(entry_settings()).unwrap();
    settings.check().unwrap();
    check_named(
        SETTINGS,
        &field_names(&serde_json::to_value(&settings).unwrap(), ""),
    );
    let limits = serde_json::to_value(EntryLimits::default()).unwrap();
    for (name, default) in limits.as_object().unwrap() {
        let row = SETTINGS
            .lines()
            .find(|line| line.contains(&format!("`limits.{name}` |")));
        assert!(
            row.unwrap().contains(&format!("| {default} |")),
            "default of {name}"
        );
    }
}

#[test]
fn settings_page_side() {
    let settings: SideSettings = serde_json::from_value(side_settings()).unwrap();
    settings.check().unwrap();
    check_named(
        SETTINGS,
        &field_names(&serde_json::to_value(&settings).unwrap(), ""),
    );
}

#[test]
fn configuration_page_fields() {
    let book = json!({
        "default_class": "c",
        "classes": {"c": {"rank": "urgent", "start_ms": 100, "gap_ms": 10, "worth": 1}},
        "services": {"s": {"calls": {"c": {"idempotent": true}}}},
        "accounts": {"a": {"key_sha256": "0".repeat(64), "requests_per_second": 1.0, "burst": 1}},
    });
    let book = SystemConfig::from_json(book.to_string().as_bytes()).unwrap();
    let value = serde_json::to_value(&book).unwrap();
    let groups = [
        ("classes.NAME.", &value["classes"]["c"]),
        (
            "services.NAME.calls.CALL.",
            &value["services"]["s"]["calls"]["c"],
        ),
        ("accounts.NAME.", &value["accounts"]["a"]),
    ];
    for (prefix, group) in groups {
        check_named(CONFIGURATION, &field_names(group, prefix));
    }
    for name in ["version", "history", "default_class", "models", "drains"] {
        assert!(value.get(name).is_some());
        check_named(CONFIGURATION, &[name.to_owned()]);
    }
}

fn refusal(change: impl FnOnce(&mut Value)) -> String {
    let mut settings = entry_settings();
    change(&mut settings);
    let file = std::env::temp_dir().join(format!("settings-{:016x}.json", fingerprint(&settings)));
    std::fs::write(&file, settings.to_string()).unwrap();
    let read: Result<EntrySettings, _> = conf::read_settings(&file);
    std::fs::remove_file(&file).unwrap();
    let checked = read.and_then(|settings| settings.check());
    checked.unwrap_err().to_string()
}

fn fingerprint(value: &Value) -> u64 {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    value.to_string().bytes().fold(0xcbf2_9ce4_8422_2325, fold)
}

#[test]
fn settings_refused_with_path() {
    let unknown = refusal(|s| s["colour"] = json!("red"));
    assert!(unknown.contains("colour"), "{unknown}");
    let address = refusal(|s| s["listen"] = json!("nowhere"));
    assert!(address.starts_with("field listen"), "{address}");
    let range = refusal(|s| s["limits"] = json!({"header_ms": 1}));
    assert!(range.starts_with("field limits.header_ms"), "{range}");
    let against = refusal(|s| s["limits"] = json!({"stall_ms": 500000, "answer_ms": 1000}));
    assert!(against.starts_with("field limits.stall_ms"), "{against}");
    let shared = refusal(|s| s["listen"] = json!("127.0.0.1:2"));
    assert!(shared.starts_with("field listen"), "{shared}");
    let secret = refusal(|s| s["secret"] = json!("00ff"));
    assert!(secret.starts_with("field secret"), "{secret}");
}
