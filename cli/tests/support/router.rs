//! Runs `snipepond-router` as a child process.

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

/// Denied token leases and failed requests to upstreams are logged at debug level; they explain
/// most test failures.
const LOG_FILTER: &str = "snipepond=debug,info";

/// Last lines of a router's output and log that are kept, to be printed if a test fails.
const MAX_LOG_LINES: usize = 200;

/// Command-line settings of a router process.
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
    /// Additional command-line arguments.
    pub extra_arguments: Vec<&'static str>,
    /// Settings that are given as environment variables.
    pub variables: Vec<(&'static str, &'static str)>,
}

/// A running router process; it is killed when dropped.
pub struct RouterProcess {
    pub host: String,
    pub data_centre: String,
    /// Address of the port for callers.
    pub address: SocketAddr,
    /// Address of the peer and administration port.
    pub admin_address: SocketAddr,
    child: Child,
    log: Arc<Mutex<VecDeque<String>>>,
    log_readers: Vec<JoinHandle<()>>,
    has_exited: bool,
}

impl RouterProcess {
    /// Starts the process and waits until it prints the addresses of its ports.
    ///
    /// # Panics
    /// The process does not print its addresses.
    #[track_caller]
    pub fn start(settings: &RouterSettings) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_snipepond-router"));
        // Settings in the environment of the test run must not change the router's.
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
            .args(&settings.extra_arguments)
            .envs(settings.variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut child = command.spawn().expect("the router binary starts");
        let log = Arc::new(Mutex::new(VecDeque::new()));
        let (sender, receiver) = mpsc::channel();
        let mut log_readers = Vec::new();
        if let Some(stdout) = child.stdout.take() {
            log_readers.push(read_output(stdout, sender, log.clone()));
        }
        if let Some(stderr) = child.stderr.take() {
            log_readers.push(read_log(stderr, log.clone()));
        }
        let placeholder = SocketAddr::from(([0, 0, 0, 0], 0));
        // Constructed before the wait, so that its `drop` kills the child and prints the log if the
        // wait fails.
        let mut router = Self {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            address: placeholder,
            admin_address: placeholder,
            child,
            log,
            log_readers,
            has_exited: false,
        };
        let Ok(line) = receiver.recv_timeout(Duration::from_secs(WAIT_LIMIT_S)) else {
            panic!("router {} did not print its addresses", router.host);
        };
        let (address, admin_address) = parse_addresses(&line)
            .unwrap_or_else(|| panic!("unexpected output of router {}: {line:?}", router.host));
        router.address = address;
        router.admin_address = admin_address;
        router
    }

    /// Waits until `/readyz` on the administration port returns 200.
    #[track_caller]
    pub fn wait_until_ready(&self) {
        let request = CallerRequest::new("GET", "/readyz");
        wait_for(&format!("router {} to be ready", self.host), || {
            request.send(self.admin_address).is_ok_and(|it| it.status == 200)
        });
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    /// The process has already exited.
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

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        !self.has_exited && self.child.try_wait().is_ok_and(|it| it.is_none())
    }

    /// Returns the last lines of the router's output and log.
    pub fn log_text(&self) -> String {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().map(|it| format!("{it}\n")).collect()
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        // Both calls fail only if the process has exited. SIGKILL also ends a stopped process.
        let _ = self.child.kill();
        let _ = self.child.wait();
        for reader in self.log_readers.drain(..) {
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
            append_log_line(&log, &line);
            // The receiver is dropped after the first line; later lines only go to the log.
            let _ = sender.send(line);
        });
    })
}

fn read_log(stderr: ChildStderr, log: Arc<Mutex<VecDeque<String>>>) -> JoinHandle<()> {
    thread::spawn(move || for_each_line(stderr, |line| append_log_line(&log, &line)))
}

fn for_each_line(source: impl Read, mut on_line: impl FnMut(String)) {
    for line in BufReader::new(source).split(b'\n') {
        match line {
            Ok(line) => on_line(String::from_utf8_lossy(&line).into_owned()),
            Err(_) => return,
        }
    }
}

fn append_log_line(log: &Mutex<VecDeque<String>>, line: &str) {
    let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
    log.push_back(line.to_owned());
    if log.len() > MAX_LOG_LINES {
        log.pop_front();
    }
}
