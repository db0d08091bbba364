//! Command lines of all programs: help, version, invalid flags and files, exit codes; and the operators' console
//! against a running core.

use std::process::Command;
use testbed::prelude::*;

fn run(program: &str, arguments: &[&str], key: Option<&str>) -> (Option<i32>, String, String) {
    let mut command = Command::new(program_path(program).unwrap());
    command.args(arguments);
    if let Some(key) = key {
        command.env("HAREMOUNT_KEY", key);
    }
    let output = command.output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn every_program_has_help_and_version_and_refuses_unknown_flags() {
    for program in [
        "router",
        "agent",
        "keeper",
        "console",
        "engine",
        "platform",
        "store",
        "caller",
        "replay",
        "testbed",
        "simulator",
    ] {
        let (code, help, _) = run(program, &["--help"], None);
        assert_eq!(code, Some(0), "{program}");
        assert!(help.contains("Exit codes"), "{program}: {help}");
        let (code, version, _) = run(program, &["--version"], None);
        assert_eq!((code, version.trim()), (Some(0), format!("{program} {}", env!("CARGO_PKG_VERSION")).as_str()));
        let (code, _, fault) = run(program, &["--no-such-flag"], None);
        assert_eq!(code, Some(2), "{program}");
        assert!(fault.contains("no-such-flag"), "{program}: {fault}");
    }
    for (program, missing) in [("router", "agent"), ("agent", "seeds"), ("keeper", "data"), ("caller", "keys")] {
        let (code, _, fault) = run(program, &[], None);
        assert!(code != Some(0) && fault.contains(missing), "{program}: {code:?} {fault}");
    }
    let (code, _, fault) = run("agent", &["--seeds=127.0.0.1:1", "--listen=0.0.0.0:0"], None);
    assert!(code == Some(1) && fault.contains("loopback"), "{fault}");
}

#[test]
fn the_console_covers_the_operators_work() {
    let fleet = Fleet::start(FleetPlan { nodes: 1, engines: 1, ..FleetPlan::small() }).unwrap();
    let door = fleet.keepers.iter().map(|keeper| keeper.operator_address.clone()).collect::<Vec<_>>().join(",");
    let console = |words: &[&str]| {
        let mut arguments = vec!["--door", door.as_str()];
        arguments.extend(words);
        run("console", &arguments, Some(&fleet.operator_key))
    };
    let (code, text, fault) = console(&["fleet"]);
    assert!(
        code == Some(0) && text.contains("duty conductor") && text.contains("platform reachable"),
        "{text} {fault}"
    );
    let patch_path = fleet.folder.join("patch.json");
    let patch = patch_path.display().to_string();
    std::fs::write(&patch_path, r#"{"routing": {"limit_ms": 5000}}"#).unwrap();
    let (code, text, _) = console(&["desired-state", "patch", &patch]);
    assert!(code == Some(0) && text.contains("edition"), "{text}");
    let (code, text, _) = console(&["--base", "1", "desired-state", "patch", &patch]);
    assert!(code == Some(1) && text.contains("stale") && text.contains("the current edition is"), "{text}");
    std::fs::write(&patch_path, r#"{"routing": {"limit_ms": 5}}"#).unwrap();
    let (code, text, _) = console(&["desired-state", "patch", &patch]);
    assert!(code == Some(1) && text.contains("routing.limit_ms: out of range"), "{text}");
    let key_path = fleet.folder.join("new.key");
    std::fs::write(&key_path, "a-new-tenant-key").unwrap();
    let (code, text, fault) = console(&["key", "add", "tenant2", "second", &key_path.display().to_string()]);
    assert_eq!(code, Some(0), "{text} {fault}");
    let (code, _, _) = console(&["key", "withdraw", "tenant2", "second"]);
    assert_eq!(code, Some(0));
    let (code, text, _) = console(&["key", "withdraw", "tenant2", "second"]);
    assert!(code == Some(1) && text.contains("not_found"), "{text}");
    let (code, text, _) = run("console", &["--door", &door, "fleet"], Some("a wrong key"));
    assert!(code == Some(1) && text.contains("unknown_key"), "{text}");
    let (code, _, fault) = run("console", &["--door", "127.0.0.1:1", "fleet"], Some("any"));
    assert!(code == Some(1) && fault.contains("no door answered"), "{fault}");
}

#[test]
fn settings_are_reloaded_completely_or_not_at_all() {
    let folder = std::env::temp_dir().join(format!("reload-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("agent.json");
    let write = |text: &str| std::fs::write(&path, text).unwrap();
    write(r#"{"seeds": ["127.0.0.1:1"], "log_level": "info"}"#);
    let flags = vec![format!("--settings={}", path.display())];
    let mut agent = Process::start("agent", "agent", &flags, &folder).unwrap();
    let log = || std::fs::read_to_string(folder.join("agent.log")).unwrap();
    let count = |text: &str| log().matches(text).count();
    write(r#"{"seeds": ["127.0.0.1:1"], "sed": 1}"#);
    agent.reload();
    assert!(wait_until(Duration::from_secs(10), || count("event=settings_refused") == 1), "{}", log());
    assert!(log().contains("sed: unknown key"), "{}", log());
    write(r#"{"seeds": ["127.0.0.1:2"], "log_level": "debug"}"#);
    agent.reload();
    assert!(wait_until(Duration::from_secs(10), || count("event=settings_reloaded") == 1), "{}", log());
    assert!(
        wait_until(Duration::from_secs(10), || count("address=127.0.0.1:2") > 0),
        "the new seed is dialled: {}",
        log()
    );
    agent.terminate();
    assert_eq!(agent.wait_for_exit(Duration::from_secs(10)), Some(0));
    std::fs::remove_dir_all(&folder).unwrap();
}
