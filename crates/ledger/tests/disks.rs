//! The ledger on a pretended disk: slow, full, failing for a while at any moment, and without power.

use ledger::prelude::*;
use std::sync::atomic::Ordering;
use units::prelude::Draw;

fn store(folder: &mut DataFolder, number: u64) -> Result<(), DiskFault> {
    folder.store(&[Row::record(number, &format!("record {number}"))?, Row::key_value("last", &number)?])
}

/// What a machine finds after it lost power.
fn found(disk: &SimulatedDisk) -> (usize, Option<u64>) {
    disk.lose_power();
    let mut folder = DataFolder::on_simulated_disk(disk);
    (folder.records_after::<String>(0).unwrap().len(), folder.read_value("last").unwrap())
}

#[test]
fn what_was_stored_outlives_the_loss_of_power_and_a_batch_is_whole_or_not_there() {
    let disk = SimulatedDisk::default();
    for number in 1..=20 {
        let mut folder = DataFolder::on_simulated_disk(&disk);
        store(&mut folder, number).unwrap();
        std::mem::forget(folder);
        assert_eq!(found(&disk), (number as usize, Some(number)), "power lost right after the store returned");
    }
}

#[test]
fn a_disk_that_fails_or_is_full_is_an_outcome_and_leaves_the_last_good_state() {
    for full in [true, false] {
        let disk = SimulatedDisk::default();
        let mut folder = DataFolder::on_simulated_disk(&disk);
        store(&mut folder, 1).unwrap();
        let switch = if full { &disk.is_full } else { &disk.sync_faults };
        switch.store(true, Ordering::SeqCst);
        assert!(store(&mut folder, 2).is_err());
        std::mem::forget(folder);
        switch.store(false, Ordering::SeqCst);
        assert_eq!(found(&disk), (1, Some(1)));
    }
}

#[test]
fn a_slow_disk_holds_the_store_until_it_has_synced() {
    let disk = SimulatedDisk::default();
    let mut folder = DataFolder::on_simulated_disk(&disk);
    folder.ensure_open().unwrap();
    disk.sync_millis.store(60, Ordering::SeqCst);
    let began = std::time::Instant::now();
    store(&mut folder, 1).unwrap();
    assert!(began.elapsed().as_millis() >= 60, "the store returned before the sync");
    std::mem::forget(folder);
    assert_eq!(found(&disk), (1, Some(1)));
}

#[test]
fn the_same_batch_is_stored_once_the_disk_takes_writes_again() {
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
        assert_eq!(found(&disk), (3, Some(3)));
    }
}

/// A failed sync leaves the system taking for written what is not: a ledger opened again shows the batch,
/// storing it again finds nothing to change, and no later sync brings it to the disk.
#[test]
fn a_batch_seen_after_a_failed_sync_is_brought_to_the_disk_nonetheless() {
    for (first_dropped, restarts) in [(5, false), (17, false), (30, false), (5, true), (17, true), (30, true)] {
        let disk = SimulatedDisk::default();
        let mut folder = DataFolder::on_simulated_disk(&disk);
        let rows: Vec<Row> = (1..=40).map(|number| Row::record(number, &"x".repeat(900)).unwrap()).collect();
        folder.store(&rows).unwrap();
        let batch = [Row::DeleteThrough(first_dropped)];
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
        assert_eq!(folder.records_after::<String>(first_dropped).unwrap().len() as u64, 40 - first_dropped);
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

fn check_after(disk: &SimulatedDisk, number: u64, told: &str) {
    let copied = SimulatedDisk::default();
    copied.fill(disk.durable());
    let mut folder = DataFolder::on_simulated_disk(&copied);
    assert_eq!(folder.read_value::<u64>("last").unwrap(), Some(number), "{told}");
    let dropped = number - number % 4;
    assert_eq!(folder.records_after::<String>(dropped).unwrap().len() as u64, number - dropped, "{told}");
    let snapshot = folder.read_value::<(u64, String)>("snapshot").unwrap();
    assert_eq!(snapshot.map_or(0, |(number, _)| number), dropped, "{told}");
}

/// At each write and sync of a ledger's life a spell of faults begins, short or long.
#[test]
fn a_spell_of_faults_at_any_moment_costs_no_batch() {
    let mut operations = 0;
    for faulty in [1, 2, 5, 40] {
        for well in 0.. {
            let disk = SimulatedDisk::default();
            *disk.fault_window.lock().unwrap() = Some(FaultWindow { successes: well, failures: faulty });
            let told = format!("{faulty} faults after {well}");
            let mut folder = DataFolder::on_simulated_disk(&disk);
            for number in 1..=9 {
                let batch = large_batch(number);
                let mut tries = 0;
                while let Err(fault) = folder.store(&batch) {
                    assert!(fault.is_transient, "{told}: {fault}");
                    tries += 1;
                    assert!(tries <= 60, "{told}: {fault}");
                }
                check_after(&disk, number, &told);
            }
            drop(folder);
            disk.lose_power();
            check_after(&disk, 9, &told);
            operations += 1;
            if disk.fault_window.lock().unwrap().is_some_and(|window| window.successes > 0) {
                break;
            }
        }
    }
    assert!(operations > 300, "{operations}");
}

#[test]
fn a_folder_that_cannot_be_made_yet_is_made_later_and_keeps_its_identity() {
    for well in 0..30 {
        let disk = SimulatedDisk::default();
        *disk.fault_window.lock().unwrap() = Some(FaultWindow { successes: well, failures: 7 });
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
fn a_ledger_that_lost_what_was_synced_is_damaged() {
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

/// Power is lost again and again, also in the midst of what follows a failed sync, and each name that was made,
/// renamed or removed without a sync of its folder is kept or lost by itself.
#[test]
fn names_lost_one_by_one_cost_no_batch() {
    let (mut losses, mut names) = (0, std::collections::BTreeMap::new());
    for seed in 1..=400 {
        let mut draw = Draw::new(seed);
        let disk = SimulatedDisk::default();
        let mut identity = None;
        let mut stored = 0;
        for life in 0..6 {
            let window = FaultWindow { successes: draw.below(40), failures: 1 + draw.below(12) };
            *disk.fault_window.lock().unwrap() = Some(window);
            let mut folder = DataFolder::on_simulated_disk(&disk);
            for _ in 0..1 + draw.below(6) {
                match store(&mut folder, stored + 1) {
                    Ok(()) => stored += 1,
                    Err(fault) => assert!(fault.is_transient, "seed {seed} life {life}: {fault}"),
                }
            }
            if stored > 0
                && let Ok(found) = folder.identity()
            {
                assert_eq!(*identity.get_or_insert(found), found, "seed {seed} life {life}");
            }
            std::mem::forget(folder);
            disk.lose_power_keeping(|name| {
                *names.entry(format!("{name:?}")).or_insert(0) += 1;
                draw.below(2) == 0
            });
            losses += 1;
            *disk.fault_window.lock().unwrap() = None;
            let mut folder = DataFolder::on_simulated_disk(&disk);
            let last = folder.read_value::<u64>("last").unwrap().unwrap_or(0);
            // A batch that failed may be there all the same.
            assert!(last == stored || last == stored + 1, "seed {seed} life {life}: {last}, {stored} stored");
            assert_eq!(folder.records_after::<String>(0).unwrap().len() as u64, last, "seed {seed} life {life}");
            stored = last;
            std::mem::forget(folder);
        }
    }
    assert!(losses > 2000 && names.len() == 3, "each name was once at stake: {names:?}");
}
