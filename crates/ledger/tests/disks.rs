//! The ledger on a simulated disk that is slow, full or failing for a time, or that loses power.

use ledger::prelude::*;
use std::sync::atomic::Ordering;
use units::prelude::SeededRng;

fn store(folder: &mut DataFolder, number: u64) -> Result<(), DiskFault> {
    folder.store(&[Row::record(number, &format!("record {number}"))?, Row::key_value("last", &number)?])
}

/// Loses power, reopens the ledger and returns the number of records and the last stored number.
fn state_after_power_loss(disk: &SimulatedDisk) -> (usize, Option<u64>) {
    disk.lose_power();
    let mut folder = DataFolder::on_simulated_disk(disk);
    (folder.records_after::<String>(0).unwrap().len(), folder.read_value("last").unwrap())
}

#[test]
fn stored_batches_survive_power_loss_and_are_atomic() {
    let disk = SimulatedDisk::default();
    for number in 1..=20 {
        let mut folder = DataFolder::on_simulated_disk(&disk);
        store(&mut folder, number).unwrap();
        std::mem::forget(folder);
        assert_eq!(
            state_after_power_loss(&disk),
            (number as usize, Some(number)),
            "power lost right after store returned"
        );
    }
}

#[test]
fn a_failing_or_full_disk_returns_an_error_and_keeps_the_last_synced_state() {
    for full in [true, false] {
        let disk = SimulatedDisk::default();
        let mut folder = DataFolder::on_simulated_disk(&disk);
        store(&mut folder, 1).unwrap();
        let switch = if full { &disk.is_full } else { &disk.sync_faults };
        switch.store(true, Ordering::SeqCst);
        assert!(store(&mut folder, 2).is_err());
        std::mem::forget(folder);
        switch.store(false, Ordering::SeqCst);
        assert_eq!(state_after_power_loss(&disk), (1, Some(1)));
    }
}

#[test]
fn store_returns_only_after_a_slow_sync() {
    let disk = SimulatedDisk::default();
    let mut folder = DataFolder::on_simulated_disk(&disk);
    folder.ensure_open().unwrap();
    disk.sync_millis.store(60, Ordering::SeqCst);
    let began = std::time::Instant::now();
    store(&mut folder, 1).unwrap();
    assert!(began.elapsed().as_millis() >= 60, "store returned before the sync");
    std::mem::forget(folder);
    assert_eq!(state_after_power_loss(&disk), (1, Some(1)));
}

#[test]
fn a_failed_batch_can_be_stored_again_when_the_disk_recovers() {
    for full in [true, false] {
        let disk = SimulatedDisk::default();
        let mut folder = DataFolder::on_simulated_disk(&disk);
        store(&mut folder, 1).unwrap();
        let switch = if full { &disk.is_full } else { &disk.sync_faults };
        switch.store(true, Ordering::SeqCst);
        for _ in 0..5 {
            let fault = store(&mut folder, 2).unwrap_err();
            assert!(fault.is_transient, "{fault}");
        }
        switch.store(false, Ordering::SeqCst);
        store(&mut folder, 2).unwrap();
        store(&mut folder, 3).unwrap();
        std::mem::forget(folder);
        assert_eq!(state_after_power_loss(&disk), (3, Some(3)));
    }
}

/// After a failed sync the system takes the data for written although it is not. A reopened ledger then shows the
/// batch, storing it again changes nothing, and no later sync writes it to the disk.
#[test]
fn a_batch_visible_after_a_failed_sync_becomes_durable_when_stored_again() {
    for (first_deleted, restarts) in [(5, false), (17, false), (30, false), (5, true), (17, true), (30, true)] {
        let disk = SimulatedDisk::default();
        let mut folder = DataFolder::on_simulated_disk(&disk);
        let rows: Vec<Row> = (1..=40).map(|number| Row::record(number, &"x".repeat(900)).unwrap()).collect();
        folder.store(&rows).unwrap();
        let batch = [Row::DeleteThrough(first_deleted)];
        disk.sync_faults.store(true, Ordering::SeqCst);
        assert!(folder.store(&batch).unwrap_err().is_transient);
        if restarts {
            folder = DataFolder::on_simulated_disk(&disk);
            assert!(folder.ensure_open().unwrap_err().is_transient);
        }
        disk.sync_faults.store(false, Ordering::SeqCst);
        folder.store(&batch).unwrap();
        std::mem::forget(folder);
        disk.lose_power();
        let mut folder = DataFolder::on_simulated_disk(&disk);
        assert_eq!(folder.records_after::<String>(first_deleted).unwrap().len() as u64, 40 - first_deleted);
    }
}

fn large_batch(number: u64) -> Vec<Row> {
    let text = format!("{number:06}").repeat(2_000 * number as usize);
    let mut batch = vec![Row::record(number, &text).unwrap(), Row::key_value("last", &number).unwrap()];
    if number.is_multiple_of(4) {
        batch.push(Row::key_value("snapshot", &(number, text)).unwrap());
        batch.push(Row::DeleteThrough(number));
    }
    batch
}

fn assert_durable_through(disk: &SimulatedDisk, number: u64, context: &str) {
    let copy = SimulatedDisk::default();
    copy.fill(disk.durable());
    let mut folder = DataFolder::on_simulated_disk(&copy);
    assert_eq!(folder.read_value::<u64>("last").unwrap(), Some(number), "{context}");
    let deleted = number - number % 4;
    assert_eq!(folder.records_after::<String>(deleted).unwrap().len() as u64, number - deleted, "{context}");
    let snapshot = folder.read_value::<(u64, String)>("snapshot").unwrap();
    assert_eq!(snapshot.map_or(0, |(number, _)| number), deleted, "{context}");
}

/// Starts a short or long run of disk errors at every write and sync of a sequence of batches.
#[test]
fn a_run_of_disk_errors_at_any_operation_loses_no_batch() {
    let mut operations = 0;
    for failures in [1, 2, 5, 40] {
        for successes in 0.. {
            let disk = SimulatedDisk::default();
            *disk.fault_window.lock().unwrap() = Some(FaultWindow { successes, failures });
            let context = format!("{failures} failures after {successes} successes");
            let mut folder = DataFolder::on_simulated_disk(&disk);
            for number in 1..=9 {
                let batch = large_batch(number);
                let mut tries = 0;
                while let Err(fault) = folder.store(&batch) {
                    assert!(fault.is_transient, "{context}: {fault}");
                    tries += 1;
                    assert!(tries <= 60, "{context}: {fault}");
                }
                assert_durable_through(&disk, number, &context);
            }
            drop(folder);
            disk.lose_power();
            assert_durable_through(&disk, 9, &context);
            operations += 1;
            if disk.fault_window.lock().unwrap().is_some_and(|window| window.successes > 0) {
                break;
            }
        }
    }
    assert!(operations > 300, "{operations}");
}

#[test]
fn a_folder_whose_creation_failed_is_created_later_and_keeps_its_identity() {
    for successes in 0..30 {
        let disk = SimulatedDisk::default();
        *disk.fault_window.lock().unwrap() = Some(FaultWindow { successes, failures: 7 });
        let mut folder = DataFolder::on_simulated_disk(&disk);
        let mut tries = 0;
        while let Err(fault) = folder.ensure_open() {
            assert!(fault.is_transient, "{fault}");
            tries += 1;
            assert!(tries <= 20, "{fault}");
        }
        *disk.fault_window.lock().unwrap() = None;
        let identity = folder.identity().unwrap();
        std::mem::forget(folder);
        disk.lose_power();
        assert_eq!(DataFolder::on_simulated_disk(&disk).identity().unwrap(), identity);
    }
}

#[test]
fn a_ledger_that_lost_synced_batches_is_a_permanent_fault() {
    let disk = SimulatedDisk::default();
    let mut folder = DataFolder::on_simulated_disk(&disk);
    store(&mut folder, 1).unwrap();
    let earlier = disk.durable();
    store(&mut folder, 2).unwrap();
    for replaced_by in [earlier, Vec::new(), b"this is no ledger".to_vec()] {
        disk.is_full.store(true, Ordering::SeqCst);
        assert!(store(&mut folder, 3).unwrap_err().is_transient);
        disk.is_full.store(false, Ordering::SeqCst);
        let kept = disk.durable();
        disk.fill(replaced_by);
        let fault = store(&mut folder, 3).unwrap_err();
        assert!(!fault.is_transient, "{fault}");
        disk.fill(kept);
    }
    store(&mut folder, 3).unwrap();
}

/// Loses power repeatedly, also during the recovery from a failed sync. Each power loss keeps or discards every
/// unsynced creation, renaming or removal of a file independently.
#[test]
fn independently_lost_file_names_lose_no_batch() {
    let (mut losses, mut names) = (0, std::collections::BTreeMap::new());
    for seed in 1..=400 {
        let mut rng = SeededRng::new(seed);
        let disk = SimulatedDisk::default();
        let mut identity = None;
        let mut stored = 0;
        for restart in 0..6 {
            let window = FaultWindow { successes: rng.below(40), failures: 1 + rng.below(12) };
            *disk.fault_window.lock().unwrap() = Some(window);
            let mut folder = DataFolder::on_simulated_disk(&disk);
            for _ in 0..1 + rng.below(6) {
                match store(&mut folder, stored + 1) {
                    Ok(()) => stored += 1,
                    Err(fault) => assert!(fault.is_transient, "seed {seed} restart {restart}: {fault}"),
                }
            }
            if stored > 0
                && let Ok(found) = folder.identity()
            {
                assert_eq!(*identity.get_or_insert(found), found, "seed {seed} restart {restart}");
            }
            std::mem::forget(folder);
            disk.lose_power_keeping(|name| {
                *names.entry(format!("{name:?}")).or_insert(0) += 1;
                rng.below(2) == 0
            });
            losses += 1;
            *disk.fault_window.lock().unwrap() = None;
            let mut folder = DataFolder::on_simulated_disk(&disk);
            let last = folder.read_value::<u64>("last").unwrap().unwrap_or(0);
            // A batch whose store failed may still be present.
            assert!(last == stored || last == stored + 1, "seed {seed} restart {restart}: {last}, {stored} stored");
            assert_eq!(
                folder.records_after::<String>(0).unwrap().len() as u64,
                last,
                "seed {seed} restart {restart}"
            );
            stored = last;
            std::mem::forget(folder);
        }
    }
    assert!(losses > 2000 && names.len() == 3, "too few power losses, or a file name was never unsynced: {names:?}");
}
