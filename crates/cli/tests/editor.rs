//! Guards against changes of the configuration that get lost or are applied twice when operators
//! change it concurrently or the store's reply to a write is lost.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use cli::{
    CliError,
    ConfigEditor, //
};
use fakes::{
    FakeStore,
    StoreFaults, //
};
use store::BlockingClient;
use units::{
    ConfigVersion,
    InstanceId, //
};

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const OPERATOR_COUNT: usize = 8;

fn add_drain(editor: &ConfigEditor, name: String) -> Result<conf::SystemConfig, CliError> {
    let instance: InstanceId = name.parse().unwrap();
    editor.edit(&format!("drain {instance}"), None, |config| {
        config.drains.insert(instance.clone());
        Ok(())
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn edit_concurrent_operators() {
    let store = FakeStore::start(LOOPBACK).await.unwrap();
    let editor = ConfigEditor::new(BlockingClient::new(store.address()));
    let edit_tasks: Vec<_> = (0..OPERATOR_COUNT)
        .map(|number| {
            let editor = editor.clone();
            tokio::task::spawn_blocking(move || add_drain(&editor, format!("engine-{number}")))
        })
        .collect();
    for edit_task in edit_tasks {
        edit_task.await.unwrap().unwrap();
    }
    let config = tokio::task::spawn_blocking(move || editor.read())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(config.drains.len(), OPERATOR_COUNT);
    assert_eq!(config.version, ConfigVersion(OPERATOR_COUNT as u64));
    assert_eq!(config.history.len(), OPERATOR_COUNT);
}

#[tokio::test(flavor = "multi_thread")]
async fn edit_lost_reply() {
    let store = FakeStore::start(LOOPBACK).await.unwrap();
    store.set_faults(StoreFaults {
        lost_responses: 1,
        ..StoreFaults::default()
    });
    let editor = ConfigEditor::new(BlockingClient::new(store.address()));
    let edit_task = tokio::task::spawn_blocking(move || add_drain(&editor, "engine-1".into()));
    let config = edit_task.await.unwrap().unwrap();
    // The change is applied once, although the reply to the first write was lost.
    assert_eq!(config.version, ConfigVersion(1));
    assert_eq!(config.history.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn edit_stale_expected_version() {
    let store = FakeStore::start(LOOPBACK).await.unwrap();
    let editor = ConfigEditor::new(BlockingClient::new(store.address()));
    let edit_task = tokio::task::spawn_blocking(move || {
        add_drain(&editor, "engine-1".into()).unwrap();
        editor.edit("late", Some(ConfigVersion(0)), |_| Ok(()))
    });
    let error = edit_task.await.unwrap().unwrap_err();
    assert!(matches!(error, CliError::Conflict { .. }));
    insta::assert_snapshot!(format!("{error}\nhint: {}", error.hint()), @r"
    the configuration is at version 1, not 0
    hint: nothing was changed; look at 'galenarail config history'
    ");
}
