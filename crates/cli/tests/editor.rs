//! Operators who race, and answers of the store that are lost.

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
const RACERS: usize = 8;

fn drain(editor: &ConfigEditor, name: String) -> Result<conf::SystemConfig, CliError> {
    let instance: InstanceId = name.parse().unwrap();
    editor.edit(&format!("drain {instance}"), None, |book| {
        book.drains.insert(instance.clone());
        Ok(())
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn edit_racing_operators() {
    let store = FakeStore::start(LOOPBACK).await.unwrap();
    let editor = ConfigEditor::new(BlockingClient::new(store.address()));
    let racers: Vec<_> = (0..RACERS)
        .map(|number| {
            let editor = editor.clone();
            tokio::task::spawn_blocking(move || drain(&editor, format!("engine-{number}")))
        })
        .collect();
    for racer in racers {
        racer.await.unwrap().unwrap();
    }
    let read = tokio::task::spawn_blocking(move || editor.read())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(read.drains.len(), RACERS);
    assert_eq!(read.version, ConfigVersion(RACERS as u64));
    assert_eq!(read.history.len(), RACERS);
}

#[tokio::test(flavor = "multi_thread")]
async fn edit_lost_answer() {
    let store = FakeStore::start(LOOPBACK).await.unwrap();
    store.set_faults(StoreFaults {
        lost_answers: 1,
        ..StoreFaults::default()
    });
    let editor = ConfigEditor::new(BlockingClient::new(store.address()));
    let edited = tokio::task::spawn_blocking(move || drain(&editor, "engine-1".into()));
    let book = edited.await.unwrap().unwrap();
    // Once, although its answer was lost and it was looked for again.
    assert_eq!(book.version, ConfigVersion(1));
    assert_eq!(book.history.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn edit_stale_expectation() {
    let store = FakeStore::start(LOOPBACK).await.unwrap();
    let editor = ConfigEditor::new(BlockingClient::new(store.address()));
    let edited = tokio::task::spawn_blocking(move || {
        drain(&editor, "engine-1".into()).unwrap();
        editor.edit("late", Some(ConfigVersion(0)), |_| Ok(()))
    });
    let error = edited.await.unwrap().unwrap_err();
    assert!(matches!(error, CliError::Conflict { .. }));
    insta::assert_snapshot!(format!("{error}\nhint: {}", error.hint()), @r"
    the configuration is at version 1, not 0
    hint: nothing was changed; look at 'galenarail config history'
    ");
}
