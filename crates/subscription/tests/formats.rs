//! Frames and ledger rows written by the build before the identifiers were renamed are read by this one and
//! written again byte for byte. A lost `serde(rename)` breaks a fleet whose machines run different builds.
//! `data/formats.txt` has one sample a line: what it is, its bytes in hex, and for `fingerprint` the expected hash.

use coordinator::prelude::*;
use desired::prelude::{Command, FleetState};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use subscription::prelude::{AgentToRouter, RouterToAgent};

const SAMPLES: &str = include_str!("data/formats.txt");
const MIN_SAMPLES: usize = 200;
const KIND_COUNT: usize = 12;

fn from_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).unwrap());
    digits.map(|pair| u8::from_str_radix(pair, 16).unwrap()).collect()
}

fn rewritten<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Vec<u8> {
    let value: T = rmp_serde::from_slice(bytes).unwrap();
    rmp_serde::to_vec_named(&value).unwrap()
}

#[test]
fn bytes_of_the_earlier_build_are_read_and_written_unchanged() {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for (number, line) in SAMPLES.lines().enumerate() {
        let mut words = line.split(' ');
        let kind = words.next().unwrap();
        let bytes = from_hex(words.next().unwrap());
        let written = match kind {
            "envelope" => rewritten::<Envelope>(&bytes),
            "from-agent" => rewritten::<AgentToKeeper>(&bytes),
            "to-agent" => rewritten::<KeeperToAgent>(&bytes),
            "from-router" => rewritten::<RouterToAgent>(&bytes),
            "to-router" => rewritten::<AgentToRouter>(&bytes),
            "outcome" => rewritten::<QueryOutcome>(&bytes),
            "record" => rewritten::<Record>(&bytes),
            "snapshot" => rewritten::<(LogPosition, FleetState)>(&bytes),
            "view" => rewritten::<View>(&bytes),
            "vote" => rewritten::<VoterState>(&bytes),
            "command" => rewritten::<Command>(&bytes),
            "fingerprint" => {
                let command: Command = rmp_serde::from_slice(&bytes).unwrap();
                let fingerprint = command.order_fingerprint().unwrap().to_string();
                assert_eq!(words.next(), Some(fingerprint.as_str()), "line {}: {command:?}", number + 1);
                bytes.clone()
            }
            other => panic!("line {}: unknown kind {other}", number + 1),
        };
        assert_eq!(written, bytes, "line {}: {kind}", number + 1);
        *counts.entry(kind).or_default() += 1;
    }
    assert_eq!(counts.len(), KIND_COUNT, "{counts:?}");
    assert!(counts.values().sum::<usize>() >= MIN_SAMPLES, "{counts:?}");
}
