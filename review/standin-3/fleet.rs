//! Gateways as processes, started with the command of the deploy file.

use std::{
    collections::{HashMap, HashSet},
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::http::call;

/// Time within which all gateways have to be ready.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// Processes that this one started and has not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all gateways that run, and ends the case as one that could not run.
pub fn abort_case() -> ! {
    let started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
    for pid in started.iter() {
        let _ = Command::new("sh").args(["-c", &format!("kill -9 {pid}")]).status();
    }
    std::process::exit(2);
}

fn reap(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    STARTED.lock().unwrap_or_else(PoisonError::into_inner).retain(|it| *it != child.id());
}

/// Settings that all machines of a deployment share, as the pages name them.
#[derive(Clone, Debug)]
pub struct Limits {
    pub memory_mb: u64,
    pub descriptors: u64,
    pub link_mbps: u64,
}

/// One machine with its gateway.
#[derive(Debug)]
pub struct Gateway {
    pub node: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
}

/// The gateways; dropping it ends them.
#[derive(Debug)]
pub struct Fleet {
    pub gateways: Vec<Gateway>,
    pub folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            reap(&mut gateway.child);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the first half of the loopback addresses of this run, so that runs side by side do not
/// share one.
pub fn address_prefix() -> String {
    format!("127.{}", 64 + std::process::id() % 128)
}

fn free_port(ip: &str) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// Returns the command of the router in the deploy file.
fn deploy_command() -> io::Result<String> {
    let text = fs::read_to_string("deploy/system.toml")?;
    let line = text.lines().find_map(|it| it.strip_prefix("run = \""));
    let line = line.and_then(|it| it.strip_suffix('"'));
    line.map(str::to_owned)
        .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "no command in the deploy file"))
}

impl Fleet {
    /// Starts a gateway for each zone in `zones`, on addresses of its own below `prefix`.
    pub fn start(
        prefix: &str,
        zones: &[&str],
        store: SocketAddr,
        limits: &Limits,
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut fleet = Self { gateways: Vec::new(), folder };
        let mut addresses = Vec::new();
        for index in 0..zones.len() {
            let ip = format!("{prefix}.{}", index + 10);
            addresses.push((ip.clone(), free_port(&ip)?, free_port(&ip)?, free_port(&ip)?));
        }
        let seeds: Vec<String> = addresses.iter().take(3).map(|it| it.3.to_string()).collect();
        for (index, (ip, front, ready, control)) in addresses.into_iter().enumerate() {
            let zone = zones[index];
            let node = format!("front-{zone}-{}", index + 1);
            let fields: HashMap<&'static str, String> = [
                ("node", node.clone()),
                ("zone", zone.to_owned()),
                ("ip", ip),
                ("listen.front", front.to_string()),
                ("listen.ready", ready.to_string()),
                ("listen.control", control.to_string()),
                ("platform.address", store.to_string()),
                ("seeds", seeds.join(",")),
                ("limits.link_mbps", limits.link_mbps.to_string()),
                ("limits.memory_mb", limits.memory_mb.to_string()),
                ("limits.file_descriptors", limits.descriptors.to_string()),
                ("bounds.retry_budget_ratio", "0.2".to_owned()),
                ("bounds.budget_window_s", "10".to_owned()),
                ("bounds.budget_slack", "54".to_owned()),
                ("bounds.config_ms", "2000".to_owned()),
                ("bounds.grace_s", "8".to_owned()),
            ]
            .into();
            let log = fleet.folder.join(format!("{node}.log"));
            let child = spawn(&fields, &log)?;
            fleet.gateways.push(Gateway { node, front, ready, child });
        }
        Ok(fleet)
    }

    /// Waits until all gateways are ready.
    pub fn wait_ready(&self) -> bool {
        let started = Instant::now();
        while started.elapsed() < READY_LIMIT {
            if self.gateways.iter().all(Gateway::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Gateway {
    /// Returns whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        call(self.ready, request, Duration::from_secs(1)).is_ok_and(|it| it.status() == 200)
    }

    /// Returns whether the process has a connection from one of these local addresses.
    pub fn has_connection(&self, local: &HashSet<SocketAddr>) -> bool {
        let ports: HashSet<String> = local.iter().map(|it| format!("{:04X}", it.port())).collect();
        let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let inode = |line: &str| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let port = fields.get(1)?.split(':').nth(1)?;
            ports.contains(port).then(|| format!("socket:[{}]", fields.get(9).unwrap_or(&"")))
        };
        let sockets: HashSet<String> = table.lines().filter_map(inode).collect();
        let folder = format!("/proc/{}/fd", self.child.id());
        let links = fs::read_dir(folder).into_iter().flatten().flatten();
        let mut links = links.filter_map(|it| fs::read_link(it.path()).ok());
        links.any(|it| sockets.contains(&*it.to_string_lossy()))
    }
}

fn spawn(fields: &HashMap<&str, String>, log: &Path) -> io::Result<Child> {
    let mut command = deploy_command()?;
    for (name, value) in fields {
        command = command.replace(&format!("{{{{{name}}}}}"), value);
    }
    if command.contains("{{") {
        let text = format!("a field of the command is not known: {command}");
        return Err(io::Error::new(io::ErrorKind::InvalidData, text));
    }
    let mut words = command.split(' ');
    let program = words.next().unwrap_or_default();
    let child = Command::new(program)
        .args(words)
        .stdin(Stdio::null())
        .stdout(File::create(log)?)
        .stderr(Stdio::null())
        .spawn()?;
    STARTED.lock().unwrap_or_else(PoisonError::into_inner).push(child.id());
    Ok(child)
}
