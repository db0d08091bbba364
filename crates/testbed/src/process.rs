//! One process: started, waited for until it says it is ready, and ended by its id.

use crate::prelude::*;

const READY_CAP: Duration = Duration::from_secs(30);

/// A process that said it is ready; it is killed when this is dropped.
pub struct Process {
    /// Its name in this fleet, by which its log goes.
    pub name: String,
    /// What its ready line told.
    pub ready: BTreeMap<String, String>,
    child: Child,
}

/// The keeper with pretended disks, built apart from the ordinary programs.
pub const FAULTY_DISK_KEEPER: &str = "frail keeper";

/// Where the built programs are: beside the running one, or one folder up from a test.
pub fn program_path(program: &str) -> Result<PathBuf, String> {
    let own_path = std::env::current_exe().map_err(|fault| fault.to_string())?;
    if program == FAULTY_DISK_KEEPER {
        let candidate = own_path.ancestors().skip(2).take(3).map(|folder| folder.join("frail/debug/keeper"));
        let found = candidate.into_iter().find(|path| path.is_file());
        return found.ok_or_else(|| {
            "build it first: cargo build -p keeper --features faults --target-dir target/frail".into()
        });
    }
    for folder in own_path.ancestors().skip(1).take(2) {
        let candidate = folder.join(program);
        if candidate.is_file() {
            return Ok(candidate);
        }
    }
    Err(format!("program {program} is not built; run cargo build --workspace first"))
}

impl Process {
    /// Starts a program and waits for its ready line; its log goes to `NAME.log` in the folder.
    pub fn start(program: &str, name: &str, arguments: &[String], folder: &Path) -> Result<Process, String> {
        Process::start_with_timeout(program, name, arguments, folder, READY_CAP)
    }

    /// The same, waiting no longer than the cap.
    pub fn start_with_timeout(
        program: &str,
        name: &str,
        arguments: &[String],
        folder: &Path,
        cap: Duration,
    ) -> Result<Process, String> {
        let (mut child, lines) = Process::launch(program, name, arguments, folder)?;
        let (told, ready_line) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                if line.starts_with("ready") {
                    let _ = told.send(line);
                }
            }
        });
        let Ok(line) = ready_line.recv_timeout(cap) else {
            let _ = child.kill();
            let _ = child.wait();
            let log = std::fs::read_to_string(folder.join(format!("{name}.log"))).unwrap_or_default();
            let last_lines: Vec<&str> = log.lines().rev().take(3).collect();
            return Err(format!("{name} did not become ready: {last_lines:?}"));
        };
        let ready = line
            .split(' ')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect();
        Ok(Process { name: name.to_owned(), ready, child })
    }

    /// Starts a program and waits for nothing; it has no addresses to tell.
    pub fn spawn(program: &str, name: &str, arguments: &[String], folder: &Path) -> Result<Process, String> {
        let (child, _) = Process::launch(program, name, arguments, folder)?;
        Ok(Process { name: name.to_owned(), ready: BTreeMap::new(), child })
    }

    fn launch(
        program: &str,
        name: &str,
        arguments: &[String],
        folder: &Path,
    ) -> Result<(Child, std::io::BufReader<std::process::ChildStdout>), String> {
        let log_path = folder.join(format!("{name}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&log_path);
        let log = log.map_err(|fault| format!("{}: {fault}", log_path.display()))?;
        let mut child = Command::new(program_path(program)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(|fault| format!("{program}: {fault}"))?;
        let stdout = child.stdout.take().ok_or("no output to read")?;
        Ok((child, std::io::BufReader::new(stdout)))
    }

    /// Its id in the system.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The address its ready line told.
    pub fn address(&self) -> String {
        self.ready.get("address").cloned().unwrap_or_default()
    }

    #[allow(unsafe_code)]
    fn signal(&self, signal: i32) {
        // SAFETY: a plain system call on the id of a child that has not been waited for.
        unsafe {
            libc::kill(self.child.id() as i32, signal);
        }
    }

    /// From now on no file of this process may grow or be written beyond so many bytes, as on a disk
    /// that is full; with nothing, they may again.
    #[allow(unsafe_code)]
    pub fn limit_file_size(&self, bytes: Option<u64>) {
        let mut limit = libc::rlimit { rlim_cur: 0, rlim_max: 0 };
        let process = self.child.id() as i32;
        // SAFETY: the limit in force is written to a live value, and the new one read from it.
        unsafe {
            if libc::prlimit(process, libc::RLIMIT_FSIZE, std::ptr::null(), &mut limit) == 0 {
                limit.rlim_cur = bytes.unwrap_or(limit.rlim_max);
                libc::prlimit(process, libc::RLIMIT_FSIZE, &limit, std::ptr::null_mut());
            }
        }
    }

    /// Stops it from running, without ending it.
    pub fn freeze(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets it run again.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Tells it to read its settings again.
    pub fn reload(&self) {
        self.signal(libc::SIGHUP);
    }

    /// Tells it to stop in good order.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Whether it has not ended yet.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends it at once, as a lost machine would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for its own end, at most so long; its exit code.
    pub fn wait_for_exit(&mut self, cap: Duration) -> Option<i32> {
        let mut ended = None;
        wait_until(cap, || {
            ended = self.child.try_wait().ok().flatten();
            ended.is_some()
        });
        ended.and_then(|status| status.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits for an event by asking for it, with a generous cap; false if it never came.
pub fn wait_until(cap: Duration, mut happened: impl FnMut() -> bool) -> bool {
    let began = boot_now();
    while !happened() {
        if boot_now().since(began).as_duration() >= cap {
            return false;
        }
        std::thread::park_timeout(Duration::from_millis(15));
    }
    true
}
