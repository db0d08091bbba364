//! The data folder on real files: its creation, and ledgers that are damaged, inaccessible or of another format.

use ledger::prelude::*;
use std::path::PathBuf;
use units::prelude::NodeId;

fn new_path() -> PathBuf {
    std::env::temp_dir().join(format!("ledger-{}", NodeId::random()))
}

#[test]
fn an_interrupted_creation_leaves_no_files_behind() {
    let path = new_path();
    std::fs::create_dir_all(&path).unwrap();
    std::fs::write(path.join("ledger.new"), "half a ledger").unwrap();
    std::fs::write(path.join("ledger.redb"), "").unwrap();
    let identity = DataFolder::open(&path).unwrap().identity().unwrap();
    std::fs::write(path.join("ledger.new"), "half a copy").unwrap();
    let mut folder = DataFolder::open(&path).unwrap();
    assert_eq!(folder.identity().unwrap(), identity);
    assert!(!path.join("ledger.new").exists());
    drop(folder);
    std::fs::remove_dir_all(&path).unwrap();
}

#[test]
fn damage_and_inaccessible_folders_are_permanent_faults() {
    let path = new_path();
    let mut folder = DataFolder::open(&path).unwrap();
    folder.write_value("format", &99u64).unwrap();
    drop(folder);
    let other_format = DataFolder::open(&path).err().unwrap();
    assert!(!other_format.is_transient && other_format.reason.contains("format 99"), "{other_format}");
    let ledger = path.join("ledger.redb");
    let bytes = std::fs::read(&ledger).unwrap();
    std::fs::write(&ledger, &bytes[..bytes.len() / 2]).unwrap();
    let truncated = DataFolder::open(&path).err().unwrap();
    assert!(!truncated.is_transient, "{truncated}");
    std::fs::write(&ledger, "this is no ledger").unwrap();
    let not_a_ledger = DataFolder::open(&path).err().unwrap();
    assert!(!not_a_ledger.is_transient, "{not_a_ledger}");
    let below_a_file = DataFolder::open(&ledger.join("folder")).err().unwrap();
    assert!(!below_a_file.is_transient, "{below_a_file}");
    std::fs::remove_dir_all(&path).unwrap();
}
