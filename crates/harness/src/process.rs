use miette::{IntoDiagnostic, Result, WrapErr};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// A child process that is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a binary of this workspace; its output is appended to `log`.
    pub fn start(binary: &str, args: &[String], log: &Path) -> Result<Self> {
        let open = File::options().create(true).append(true).open(log);
        let log_file = open.into_diagnostic()?;
        let stdout = log_file.try_clone().into_diagnostic()?;
        let child = Command::new(binary_path(binary)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(log_file)
            .spawn()
            .into_diagnostic()
            .wrap_err_with(|| format!("cannot start {binary}; is it built?"))?;
        Ok(Process {
            child,
            log: log.to_path_buf(),
        })
    }

    /// Process identifier.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        kill(Pid::from_raw(self.child.id() as i32), signal).into_diagnostic()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill().into_diagnostic()?;
        self.child.wait().into_diagnostic()?;
        Ok(())
    }

    /// The exit status, if the process has ended.
    pub fn try_wait(&mut self) -> Result<Option<ExitStatus>> {
        self.child.try_wait().into_diagnostic()
    }

    /// What the kernel says of the process and of each of its threads: whether it is stopped, runs
    /// or waits, and in which system call.
    pub fn state(&self) -> String {
        let process = PathBuf::from(format!("/proc/{}", self.child.id()));
        let status = std::fs::read_to_string(process.join("status")).unwrap_or_default();
        let wanted = ["State:", "VmRSS:", "SigPnd:", "ShdPnd:"];
        let lines = status
            .lines()
            .filter(|line| wanted.iter().any(|w| line.starts_with(w)));
        let mut state: Vec<String> = lines.map(String::from).collect();
        let threads = std::fs::read_dir(process.join("task"))
            .into_iter()
            .flatten();
        for thread in threads.flatten().map(|thread| thread.path()) {
            let read = |name| std::fs::read_to_string(thread.join(name)).unwrap_or_default();
            let parts = ["comm", "stat", "wchan", "syscall"].map(read);
            state.push(parts.map(|part| part.trim().to_string()).join(" | "));
        }
        state.join("\n")
    }

    /// Everything the process has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Path of a binary next to the running test or example.
fn binary_path(binary: &str) -> Result<PathBuf> {
    let exe = std::env::current_exe().into_diagnostic()?;
    let found = (exe.ancestors().skip(1).take(2))
        .map(|dir| dir.join(binary))
        .find(|path| path.is_file());
    found.ok_or_else(|| miette::miette!("the binary {binary} is not next to {}", exe.display()))
}
