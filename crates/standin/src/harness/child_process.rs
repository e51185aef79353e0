//! One process of fulmarline.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// A process that is ended by its id when this is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    log: PathBuf,
    ended: Option<ExitStatus>,
}

/// How often a waiting call looks whether the process has ended.
const WAIT_POLL: Duration = Duration::from_millis(10);

impl ChildProcess {
    /// Starts `binary ROLE --settings FILE` with everything that it prints in `log`.
    ///
    /// # Errors
    ///
    /// Returns what the operating system said when the process cannot be started.
    pub fn start(binary: &Path, role: &str, settings: &Path, log: &Path) -> io::Result<Self> {
        let mut command = Command::new(binary);
        command.arg(role).arg("--settings").arg(settings);
        Self::spawn(command, log)
    }

    /// Starts `binary ROLE` with the platform's settings file, which a variable names.
    ///
    /// # Errors
    ///
    /// Returns what the operating system said when the process cannot be started.
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
        let child = command
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(Self {
            child,
            log: log.to_owned(),
            ended: None,
        })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns everything that the process has printed.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Ends the process without warning.
    pub fn kill(&mut self) {
        if self.ended.is_none() && self.child.kill().is_ok() {
            self.ended = self.child.wait().ok();
        }
    }

    /// Asks the process to stop, as a planned stop does.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Stops the process in mid-work, as a pause of its host does.
    pub fn suspend(&self) {
        self.signal("STOP");
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Waits until the process has ended, for at most `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        loop {
            if self.ended.is_none() {
                self.ended = self.child.try_wait().ok().flatten();
            }
            if self.ended.is_some() || start.elapsed() > timeout {
                return self.ended;
            }
            std::thread::sleep(WAIT_POLL);
        }
    }

    /// Tells whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.wait(Duration::ZERO).is_none()
    }

    fn signal(&self, name: &str) {
        // The id belongs to a child that was not waited for, so no other process can have it.
        if self.ended.is_none() {
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
