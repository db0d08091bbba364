//! The state store returns what was stored, reports a gap in the records, and keeps the data folder small.

use coordinator::prelude::*;
use desired::prelude::{ConfigurationChange, Revision};
use keeper::prelude::*;
use ledger::prelude::{DataFolder, Row};
use std::path::{Path, PathBuf};
use units::prelude::*;

/// The ledger's size limit under large changes: a quarter of a core machine's disk.
const MAX_LEDGER_BYTES: u64 = 32 << 20;

fn new_path() -> PathBuf {
    std::env::temp_dir().join(format!("state-store-{}", NodeId::random()))
}

fn folder_bytes(path: &Path) -> u64 {
    std::fs::read_dir(path).unwrap().map(|file| file.unwrap().metadata().unwrap().len()).sum()
}

#[test]
fn a_reopened_store_returns_its_state_and_reports_a_gap() {
    let path = new_path();
    let identity = {
        let (mut state_store, identity) = StateStore::open(&path).unwrap();
        let mut log = Log::default();
        for number in 1..=700 {
            let command = Command::Merge { base: None, patch: "{}".into() };
            let record = log.append_submission(ViewNumber(1), Submission { request: RequestId(number), command });
            state_store.store(&[Stored::Record(record)], log.last(), log.state()).unwrap();
        }
        state_store.store(&[Stored::SyncedView(ViewNumber(4))], log.last(), log.state()).unwrap();
        identity
    };
    let (mut state_store, same_identity) = StateStore::open(&path).unwrap();
    assert_eq!(same_identity, identity);
    let persisted = state_store.load().unwrap();
    assert_eq!((persisted.position.edition, persisted.synced_view), (Edition(512), ViewNumber(4)));
    assert_eq!(persisted.records.last().map(|record| record.mark.edition), Some(Edition(700)));
    let restored_log = Log::restore(persisted.position, persisted.state, persisted.records);
    assert_eq!(restored_log.state().edition, Edition(700));
    drop(state_store);
    DataFolder::open(&path).unwrap().store(&[Row::record(702, &restored_log.last()).unwrap()]).unwrap();
    let (mut state_store, _) = StateStore::open(&path).unwrap();
    let fault = state_store.load().err().unwrap();
    assert!(fault.to_string().contains("record 702 stands where 701 should"), "{fault}");
    assert!(!fault.is_transient);
    drop(state_store);
    std::fs::remove_dir_all(&path).unwrap();
}

/// A change with a document of about 100 kB and a source of the same size.
fn large_change(number: u64) -> Command {
    let tenant = |place: u64| {
        format!(r#""tenant{place:05}":{{"share":4,"keys":{{"main":"{:064x}"}}}}"#, number * 1_000_000 + place)
    };
    let document = format!(r#"{{"tenants":{{{}}}}}"#, (0..950).map(tenant).collect::<Vec<_>>().join(","));
    assert!((100_000..110_000).contains(&document.len()));
    Command::Configure(Box::new(ConfigurationChange {
        base: Revision(number - 1),
        revision: Revision(number),
        fingerprint: BlockHash::of_parts(&[&number.to_le_bytes()]),
        source: document.replace("tenant", "source"),
        document,
    }))
}

/// The largest size of the folder over a number of large changes, all of which are applied.
fn max_folder_bytes(changes: u64, restart_every: u64) -> u64 {
    let path = new_path();
    let (mut state_store, _) = StateStore::open(&path).unwrap();
    let mut log = Log::default();
    let mut max_bytes = 0;
    for number in 1..=changes {
        let submission = Submission { request: RequestId(number), command: large_change(number) };
        let record = log.append_submission(ViewNumber(1), submission);
        state_store.store(&[Stored::Record(record)], log.last(), log.state()).unwrap();
        max_bytes = max_bytes.max(folder_bytes(&path));
        if number % restart_every == 0 {
            drop(state_store);
            state_store = StateStore::open(&path).unwrap().0;
            let persisted = state_store.load().unwrap();
            log = Log::restore(persisted.position, persisted.state, persisted.records);
        }
    }
    assert_eq!(log.state().configuration.revision, Revision(changes));
    drop(state_store);
    std::fs::remove_dir_all(&path).unwrap();
    max_bytes
}

#[test]
fn six_hundred_large_changes_leave_the_ledger_small() {
    let max_bytes = max_folder_bytes(600, u64::MAX);
    assert!(max_bytes < MAX_LEDGER_BYTES, "{max_bytes}");
}

#[test]
fn restarts_between_large_changes_leave_the_ledger_small() {
    let max_bytes = max_folder_bytes(600, 25);
    assert!(max_bytes < MAX_LEDGER_BYTES, "{max_bytes}");
}

#[test]
fn many_large_changes_at_once_leave_the_ledger_small() {
    let path = new_path();
    let (mut state_store, _) = StateStore::open(&path).unwrap();
    let mut log = Log::default();
    for round in 0..5u64 {
        let numbers = round * 75 + 1..=(round + 1) * 75;
        let records = numbers.map(|number| {
            let submission = Submission { request: RequestId(number), command: large_change(number) };
            Stored::Record(log.append_submission(ViewNumber(1), submission))
        });
        let batch: Vec<Stored> = records.collect();
        state_store.store(&batch, log.last(), log.state()).unwrap();
        assert!(folder_bytes(&path) < MAX_LEDGER_BYTES, "{}", folder_bytes(&path));
    }
    let persisted = state_store.load().unwrap();
    assert_eq!((persisted.position, persisted.records.len()), (log.last(), 0));
    assert_eq!(persisted.state, *log.state());
    drop(state_store);
    std::fs::remove_dir_all(&path).unwrap();
}
