//! A `snipepond-router` child process.

use std::{
    collections::VecDeque,
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    process::{Child, ChildStderr, ChildStdout, Command, ExitStatus, Stdio},
    sync::{Arc, Mutex, PoisonError, mpsc},
    thread::{self, JoinHandle},
    time::Duration,
};

use snipepond_standin::{CallerRequest, ProcessSignal};

use super::{WAIT_LIMIT_S, wait_for};

/// Refused grants and upstream calls are logged at debug level; they explain most failures.
const LOG_FILTER: &str = "snipepond=debug,info";

/// Lines of a router's log that are printed if a test fails.
const LOG_LINES: usize = 200;

/// Settings of one router process.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    pub host: String,
    pub data_centre: String,
    pub listen: SocketAddr,
    pub admin_listen: SocketAddr,
    pub platform: SocketAddr,
    pub validity_ms: u64,
    pub list_lag_ms: u64,
    pub margin_ms: u64,
    /// Further arguments.
    pub arguments: Vec<&'static str>,
}

/// A running router; it is killed by its id on drop.
pub struct RouterProcess {
    pub host: String,
    pub data_centre: String,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address of the peer and administration port.
    pub admin: SocketAddr,
    child: Child,
    log: Arc<Mutex<VecDeque<String>>>,
    readers: Vec<JoinHandle<()>>,
    has_exited: bool,
}

impl RouterProcess {
    /// Starts the process and waits until both ports are open.
    ///
    /// # Panics
    /// The process does not print its addresses.
    #[track_caller]
    pub fn start(settings: &RouterSettings) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_snipepond-router"));
        // Settings of the caller's environment must not leak into the test.
        for (name, _) in std::env::vars_os() {
            if name.to_string_lossy().starts_with("SNIPEPOND_") {
                command.env_remove(name);
            }
        }
        command
            .args(["--host", &settings.host])
            .args(["--data-centre", &settings.data_centre])
            .args(["--listen", &settings.listen.to_string()])
            .args(["--admin-listen", &settings.admin_listen.to_string()])
            .args(["--platform", &format!("http://{}", settings.platform)])
            .args(["--validity-ms", &settings.validity_ms.to_string()])
            .args(["--list-lag-ms", &settings.list_lag_ms.to_string()])
            .args(["--margin-ms", &settings.margin_ms.to_string()])
            .args(["--log", LOG_FILTER])
            .args(&settings.arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut child = command.spawn().expect("the router binary starts");
        let log = Arc::new(Mutex::new(VecDeque::new()));
        let (sender, receiver) = mpsc::channel();
        let mut readers = Vec::new();
        if let Some(stdout) = child.stdout.take() {
            readers.push(read_output(stdout, sender, log.clone()));
        }
        if let Some(stderr) = child.stderr.take() {
            readers.push(read_log(stderr, log.clone()));
        }
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        // Built before the wait, so that a failure still kills the child and prints its log.
        let mut router = Self {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            address: unset,
            admin: unset,
            child,
            log,
            readers,
            has_exited: false,
        };
        let Ok(line) = receiver.recv_timeout(Duration::from_secs(WAIT_LIMIT_S)) else {
            panic!("router {} did not print its addresses", router.host);
        };
        let (address, admin) = parse_addresses(&line)
            .unwrap_or_else(|| panic!("unexpected output of router {}: {line:?}", router.host));
        router.address = address;
        router.admin = admin;
        router
    }

    /// Waits until `/readyz` of the administration port answers 200.
    #[track_caller]
    pub fn wait_until_ready(&self) {
        let request = CallerRequest::new("GET", "/readyz");
        wait_for(&format!("router {} to be ready", self.host), || {
            request.send(self.admin).is_ok_and(|it| it.status == 200)
        });
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    /// The process has exited already.
    #[track_caller]
    pub fn signal(&mut self, signal: ProcessSignal) {
        assert!(
            !self.has_exited && self.child.try_wait().expect("process state").is_none(),
            "router {} has exited already",
            self.host
        );
        signal.send(&self.child).expect("the signal is sent");
    }

    /// Waits until the process has exited.
    #[track_caller]
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for(&format!("router {} to exit", self.host), || {
            status = self.child.try_wait().expect("process state");
            status.is_some()
        });
        self.has_exited = true;
        status.expect("exit status")
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        !self.has_exited && self.child.try_wait().is_ok_and(|it| it.is_none())
    }

    /// Returns the last lines of output and log.
    pub fn log_text(&self) -> String {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().map(|it| format!("{it}\n")).collect()
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        // Both fail only if the process has exited. SIGKILL also ends a paused process.
        let _ = self.child.kill();
        let _ = self.child.wait();
        for reader in self.readers.drain(..) {
            let _ = reader.join();
        }
        if thread::panicking() {
            eprintln!("--- log of router {} ---\n{}", self.host, self.log_text());
        }
    }
}

fn parse_addresses(line: &str) -> Option<(SocketAddr, SocketAddr)> {
    let field =
        |name: &str| line.split_whitespace().find_map(|it| it.strip_prefix(name)?.parse().ok());
    Some((field("listening=")?, field("admin=")?))
}

fn read_output(
    stdout: ChildStdout,
    sender: mpsc::Sender<String>,
    log: Arc<Mutex<VecDeque<String>>>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        for_each_line(stdout, |line| {
            keep(&log, &line);
            // The test reads the first line only.
            let _ = sender.send(line);
        });
    })
}

fn read_log(stderr: ChildStderr, log: Arc<Mutex<VecDeque<String>>>) -> JoinHandle<()> {
    thread::spawn(move || for_each_line(stderr, |line| keep(&log, &line)))
}

fn for_each_line(source: impl Read, mut take: impl FnMut(String)) {
    for line in BufReader::new(source).split(b'\n') {
        match line {
            Ok(line) => take(String::from_utf8_lossy(&line).into_owned()),
            Err(_) => return,
        }
    }
}

fn keep(log: &Mutex<VecDeque<String>>, line: &str) {
    let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
    log.push_back(line.to_owned());
    if log.len() > LOG_LINES {
        log.pop_front();
    }
}
