//! Gateways as processes, started with the command of the deploy file.

use std::{
    collections::HashMap,
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http::call;

/// Time within which all gateways have to be ready.
const READY_LIMIT: Duration = Duration::from_secs(15);

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
            let _ = gateway.child.kill();
            let _ = gateway.child.wait();
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
            let fields: HashMap<&str, String> = [
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
            let child = spawn(&fields, &fleet.folder.join(format!("{node}.log")))?;
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

    /// Returns the memory of the process that is resident now, and at most so far, in KiB.
    pub fn memory_kb(&self) -> Option<(u64, u64)> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let field = |name: &str| {
            let line = text.lines().find_map(|it| it.strip_prefix(name))?;
            line.trim().trim_end_matches("kB").trim().parse().ok()
        };
        Some((field("VmRSS:")?, field("VmHWM:")?))
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
    Command::new(program)
        .args(words)
        .stdin(Stdio::null())
        .stdout(File::create(log)?)
        .stderr(Stdio::null())
        .spawn()
}
