//! The data folder on real files: how it is made, and what is found damaged, foreign or out of reach.

use ledger::prelude::*;
use std::path::PathBuf;
use units::prelude::NodeId;

fn new_path() -> PathBuf {
    std::env::temp_dir().join(format!("ledger-{}", NodeId::random()))
}

#[test]
fn a_making_that_was_broken_off_leaves_nothing_behind() {
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
fn damage_and_folders_out_of_reach_do_not_pass() {
    let path = new_path();
    let mut folder = DataFolder::open(&path).unwrap();
    folder.write_value("format", &99u64).unwrap();
    drop(folder);
    let foreign = DataFolder::open(&path).err().unwrap();
    assert!(!foreign.is_transient && foreign.reason.contains("format 99"), "{foreign}");
    let ledger = path.join("ledger.redb");
    let bytes = std::fs::read(&ledger).unwrap();
    std::fs::write(&ledger, &bytes[..bytes.len() / 2]).unwrap();
    let cut = DataFolder::open(&path).err().unwrap();
    assert!(!cut.is_transient, "{cut}");
    std::fs::write(&ledger, "this is no ledger").unwrap();
    let no_ledger = DataFolder::open(&path).err().unwrap();
    assert!(!no_ledger.is_transient, "{no_ledger}");
    let in_a_file = DataFolder::open(&ledger.join("folder")).err().unwrap();
    assert!(!in_a_file.is_transient, "{in_a_file}");
    std::fs::remove_dir_all(&path).unwrap();
}
