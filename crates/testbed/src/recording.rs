//! Collects the record of a run for the oracles.

use crate::prelude::*;

impl Fleet {
    /// The log lines of all engines.
    pub fn engine_lines(&self) -> Vec<EngineLogLine> {
        let mut lines = Vec::new();
        for engine in &self.engines {
            let path = self.folder.join(format!("{}.starts", engine.name));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            lines.extend(text.lines().filter_map(|line| serde_json::from_str(line).ok()));
        }
        lines
    }

    /// The record so far, including the callers' lines from these files.
    pub fn record(&self, caller_files: &[PathBuf]) -> Record {
        let mut record = Record {
            engines: self.engine_lines(),
            events: self.events.lock().map(|events| events.clone()).unwrap_or_default(),
            ..Record::default()
        };
        for path in caller_files {
            let text = std::fs::read_to_string(path).unwrap_or_default();
            record.callers.extend(text.lines().filter_map(|line| serde_json::from_str::<CallerLine>(line).ok()));
        }
        for node in self.nodes.iter().filter(|node| node.router.is_some()) {
            record.attempts += self.metric(&node.router_address, "haremount_router_shots_total").unwrap_or(0);
            record.retries += self.metric(&node.router_address, "haremount_router_retries_total").unwrap_or(0);
        }
        record
    }

    /// Starts the `caller` program on a thread; returns the thread and the path of the callers' lines.
    pub fn start_caller(
        &self,
        name: &str,
        seconds: u64,
        rate: u64,
        seed: u64,
    ) -> Result<(std::thread::JoinHandle<Result<Process, String>>, PathBuf), String> {
        let keys_path = self.folder.join("keys.json");
        std::fs::write(&keys_path, json!(self.tenants).to_string()).map_err(|fault| fault.to_string())?;
        let out_path = self.folder.join(format!("{name}.calls"));
        let routers: Vec<String> = self.nodes.iter().map(|node| node.router_address.clone()).collect();
        let arguments = vec![
            format!("--routers={}", routers.join(",")),
            format!("--office={}", self.plan.office),
            format!("--keys={}", keys_path.display()),
            format!("--out={}", out_path.display()),
            format!("--seconds={seconds}"),
            format!("--rate={rate}"),
            format!("--seed={seed}"),
        ];
        let (folder, name) = (self.folder.clone(), name.to_owned());
        let timeout = Duration::from_secs(seconds + 60);
        let calling =
            std::thread::spawn(move || Process::start_with_timeout("caller", &name, &arguments, &folder, timeout));
        Ok((calling, out_path))
    }
}
