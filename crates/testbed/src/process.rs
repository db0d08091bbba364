//! A child process: started, awaited until its ready line, and ended by its process id.

use crate::prelude::*;

const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// A child process; it is killed when this is dropped.
pub struct Process {
    /// Name in the fleet; the log file is named after it.
    pub name: String,
    /// The fields of the ready line.
    pub ready: BTreeMap<String, String>,
    child: Child,
}

/// Selects the keeper with simulated disks, which is built in a target folder of its own.
pub const FAULTY_DISK_KEEPER: &str = "keeper with simulated disks";

/// Path of a built program: in the folder of the running program, or one folder above that of a test.
pub fn program_path(program: &str) -> Result<PathBuf, String> {
    let own_path = std::env::current_exe().map_err(|fault| fault.to_string())?;
    if program == FAULTY_DISK_KEEPER {
        let mut candidates = own_path.ancestors().skip(2).take(3).map(|folder| folder.join("frail/debug/keeper"));
        let found = candidates.find(|path| path.is_file());
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
    /// Starts a program and waits for its ready line; stderr goes to `NAME.log` in the folder.
    pub fn start(program: &str, name: &str, arguments: &[String], folder: &Path) -> Result<Process, String> {
        Process::start_with_timeout(program, name, arguments, folder, READY_TIMEOUT)
    }

    /// Like [`Process::start`], with a timeout for the ready line.
    pub fn start_with_timeout(
        program: &str,
        name: &str,
        arguments: &[String],
        folder: &Path,
        timeout: Duration,
    ) -> Result<Process, String> {
        let (mut child, lines) = Process::launch(program, name, arguments, folder)?;
        let (ready_sender, ready_line) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                if line.starts_with("ready") {
                    let _ = ready_sender.send(line);
                }
            }
        });
        let Ok(line) = ready_line.recv_timeout(timeout) else {
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

    /// Starts a program without waiting for its ready line; [`Process::ready`] stays empty.
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
        let stdout = child.stdout.take().ok_or("the child has no stdout")?;
        Ok((child, std::io::BufReader::new(stdout)))
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The address in the ready line.
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

    /// Limits the size up to which the process can write files, which acts like a full disk; `None` removes the
    /// limit.
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

    /// Suspends the process (SIGSTOP).
    pub fn freeze(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Makes the process reload its settings (SIGHUP).
    pub fn reload(&self) {
        self.signal(libc::SIGHUP);
    }

    /// Requests a graceful shutdown (SIGTERM).
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Whether the process has not exited yet.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process immediately, as the loss of its machine would (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits; returns its exit code, or `None` after the timeout.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> Option<i32> {
        let mut ended = None;
        wait_until(timeout, || {
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

/// Polls a condition until it holds; returns false if it does not hold within the timeout.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let began = boot_now();
    while !condition() {
        if boot_now().since(began).as_duration() >= timeout {
            return false;
        }
        std::thread::park_timeout(Duration::from_millis(15));
    }
    true
}
