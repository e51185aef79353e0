//! A child process that runs fulmarline.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use crate::harness::port_probe;

/// A child process that is killed on drop.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    log: PathBuf,
    exit_status: Option<ExitStatus>,
}

/// Interval at which `wait` checks whether the process has exited.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl ChildProcess {
    /// Runs `binary ROLE --settings FILE` and appends its output to `log`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the process cannot be started.
    pub fn start(binary: &Path, role: &str, settings: &Path, log: &Path) -> io::Result<Self> {
        let mut command = Command::new(binary);
        command.arg(role).arg("--settings").arg(settings);
        Self::spawn(command, log)
    }

    /// Runs `binary ROLE` with the path of the platform's settings file in the environment variable `FULMARLINE_BOOT`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the process cannot be started.
    pub fn start_with_boot_file(
        binary: &Path,
        role: &str,
        settings: &Path,
        log: &Path,
    ) -> io::Result<Self> {
        let mut command = Command::new(binary);
        command.arg(role).env("FULMARLINE_BOOT", settings);
        Self::spawn(command, log)
    }

    fn spawn(mut command: Command, log: &Path) -> io::Result<Self> {
        let output = File::options().create(true).append(true).open(log)?;
        let _guard = port_probe::lock();
        let child = command
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(Self {
            child,
            log: log.to_owned(),
            exit_status: None,
        })
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the content of the log file, including the output of earlier processes with the same file.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the largest resident memory that the process has had, in kilobytes.
    ///
    /// # Panics
    ///
    /// Panics if the operating system does not tell.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
        let value = line.and_then(|it| it.trim().strip_suffix(" kB"));
        value
            .and_then(|it| it.parse().ok())
            .expect("a running process has a peak of its memory")
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if self.exit_status.is_none() && self.child.kill().is_ok() {
            self.exit_status = self.child.wait().ok();
        }
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Requests with SIGHUP that the process reads its settings again.
    pub fn reload(&self) {
        self.signal("HUP");
    }

    /// Suspends the process with SIGSTOP, which simulates a paused host.
    pub fn suspend(&self) {
        self.signal("STOP");
        // The signal takes effect later on a busy machine, and the process would still serve requests until then.
        while self.is_scheduled() {
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
    }

    /// Returns whether the process exists and is not suspended.
    fn is_scheduled(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        // The state follows the name of the program, which is in parentheses.
        let state = stat
            .ok()
            .and_then(|it| it.rsplit_once(") ")?.1.chars().next());
        state.is_some_and(|it| !matches!(it, 'T' | 'Z' | 'X'))
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Waits for at most `timeout` until the process has exited.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        loop {
            if self.exit_status.is_none() {
                self.exit_status = self.child.try_wait().ok().flatten();
            }
            if self.exit_status.is_some() || start.elapsed() > timeout {
                return self.exit_status;
            }
            std::thread::sleep(WAIT_POLL_INTERVAL);
        }
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.wait(Duration::ZERO).is_none()
    }

    fn signal(&self, name: &str) {
        // The child has not been reaped, so its ID cannot belong to another process.
        if self.exit_status.is_none() {
            let _ = Command::new("/bin/kill")
                .arg(format!("-{name}"))
                .arg(self.child.id().to_string())
                .status();
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Interval at which the state of a process is read after it was suspended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(1);
