//! Runs router processes and reads their resource usage from `/proc`, and their control traffic
//! from their metrics.

use std::{
    collections::BTreeMap,
    fs,
    io::{BufRead, BufReader, Error, Result},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::Duration,
};

use snipepond_standin::CallerRequest;

use crate::measure::{ValueSample, wait_for};

/// Unit of the processor times in `/proc/PID/stat`; Linux fixes it for user programs.
const TICKS_PER_SECOND: f64 = 100.0;

/// Settings whose sum is the time after which a started host can own buckets and operations.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipTiming {
    pub validity_ms: u64,
    pub list_lag_ms: u64,
    pub margin_ms: u64,
}

/// Defaults of the router, with which a bucket has an owner 17 s after the start.
pub const DEFAULT_TIMING: OwnershipTiming =
    OwnershipTiming { validity_ms: 6_000, list_lag_ms: 10_000, margin_ms: 1_000 };

/// Short times for measurements that do not depend on ownership; a bucket has an owner after 2 s.
pub const SHORT_TIMING: OwnershipTiming =
    OwnershipTiming { validity_ms: 1_500, list_lag_ms: 300, margin_ms: 200 };

/// A running router process; it is killed when dropped.
pub struct RouterProcess {
    pub host: String,
    pub data_centre: String,
    pub address: SocketAddr,
    pub admin_address: SocketAddr,
    child: Child,
}

impl RouterProcess {
    /// Starts a router and reads the addresses of its ports from its first line of output.
    pub fn start(
        host: &str,
        data_centre: &str,
        platform: SocketAddr,
        timing: OwnershipTiming,
    ) -> Result<Self> {
        let mut command = Command::new(env!("CARGO_BIN_EXE_snipepond-router"));
        for (name, _) in std::env::vars_os() {
            if name.to_string_lossy().starts_with("SNIPEPOND_") {
                command.env_remove(name);
            }
        }
        let mut child = command
            .args(["--host", host, "--data-centre", data_centre])
            .args(["--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0"])
            .args(["--platform", &format!("http://{platform}")])
            .args(["--validity-ms", &timing.validity_ms.to_string()])
            .args(["--list-lag-ms", &timing.list_lag_ms.to_string()])
            .args(["--margin-ms", &timing.margin_ms.to_string()])
            .args(["--log", "error"])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let mut line = String::new();
        if let Some(output) = child.stdout.take() {
            BufReader::new(output).read_line(&mut line)?;
        }
        let field =
            |name: &str| line.split_whitespace().find_map(|it| it.strip_prefix(name)?.parse().ok());
        let (Some(address), Some(admin_address)) = (field("listening="), field("admin=")) else {
            let _ = child.kill();
            let _ = child.wait();
            return Err(Error::other(format!("unexpected output {line:?}")));
        };
        Ok(Self {
            host: host.to_owned(),
            data_centre: data_centre.to_owned(),
            address,
            admin_address,
            child,
        })
    }

    /// Waits until the router is ready for requests.
    pub fn wait_until_ready(&self) -> Result<()> {
        wait_for("a router to be ready", Duration::from_secs(20), || {
            CallerRequest::new("GET", "/readyz")
                .send(self.admin_address)
                .is_ok_and(|it| it.status == 200)
        })
    }

    /// Returns the processor time that the process has used so far.
    pub fn cpu_seconds(&self) -> Result<f64> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // The process name, in parentheses, may contain spaces. User and system time are fields 14
        // and 15 of the line, with indices 11 and 12 after the name.
        let rest = text.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|it| it.parse::<f64>().ok());
        match (ticks(11), ticks(12)) {
            (Some(user), Some(system)) => Ok((user + system) / TICKS_PER_SECOND),
            _ => Err(Error::other("unexpected /proc/PID/stat")),
        }
    }

    /// Returns the processor time of the running threads, in seconds by thread name.
    pub fn thread_seconds(&self) -> Result<BTreeMap<String, f64>> {
        let mut seconds = BTreeMap::new();
        for task in fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let path = task?.path();
            // A thread may exit after it is listed.
            let (Ok(name), Ok(times)) =
                (fs::read_to_string(path.join("comm")), fs::read_to_string(path.join("schedstat")))
            else {
                continue;
            };
            let nanos: f64 =
                times.split_whitespace().next().and_then(|it| it.parse().ok()).unwrap_or(0.0);
            *seconds.entry(name.trim().to_owned()).or_default() += nanos / 1e9;
        }
        Ok(seconds)
    }

    /// Returns the resident memory, in units of 2^20 bytes.
    pub fn resident_mb(&self) -> Result<f64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        text.lines()
            .find_map(|it| it.strip_prefix("VmRSS:"))
            .and_then(|it| it.split_whitespace().next()?.parse::<f64>().ok())
            .map(|kilobytes| kilobytes / 1_024.0)
            .ok_or_else(|| Error::other("no VmRSS"))
    }

    /// Returns the bytes of control traffic, sent and received together, by purpose.
    pub fn control_bytes(&self) -> Result<BTreeMap<String, f64>> {
        let text = CallerRequest::new("GET", "/metrics").send(self.admin_address)?.text();
        let mut bytes = BTreeMap::new();
        for line in text.lines() {
            let Some(rest) = line
                .strip_prefix("snipepond_control_sent_bytes_total{purpose=\"")
                .or_else(|| line.strip_prefix("snipepond_control_received_bytes_total{purpose=\""))
            else {
                continue;
            };
            if let Some((purpose, value)) = rest.split_once("\"} ") {
                *bytes.entry(purpose.to_owned()).or_default() +=
                    value.parse::<f64>().unwrap_or(f64::NAN);
            }
        }
        Ok(bytes)
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        // Both calls fail only if the process has exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Counters of processor time and control traffic of all routers at one time.
pub struct UsageSnapshot {
    captured_at: std::time::Instant,
    cpu_seconds: Vec<f64>,
    thread_seconds: Vec<BTreeMap<String, f64>>,
    control_bytes: Vec<BTreeMap<String, f64>>,
}

impl UsageSnapshot {
    /// Reads the counters of all routers.
    pub fn capture(routers: &[RouterProcess]) -> Result<Self> {
        let collect = |read: &dyn Fn(&RouterProcess) -> Result<BTreeMap<String, f64>>| {
            routers.iter().map(read).collect::<Result<Vec<_>>>()
        };
        Ok(Self {
            captured_at: std::time::Instant::now(),
            cpu_seconds: routers.iter().map(RouterProcess::cpu_seconds).collect::<Result<_>>()?,
            thread_seconds: collect(&RouterProcess::thread_seconds)?,
            control_bytes: collect(&RouterProcess::control_bytes)?,
        })
    }

    /// Returns the time between two snapshots, in seconds.
    pub fn seconds_since(&self, earlier: &Self) -> f64 {
        self.captured_at.duration_since(earlier.captured_at).as_secs_f64()
    }

    /// Returns the processor time of the routers since an earlier snapshot, in percent of a core.
    pub fn cpu_percent(&self, earlier: &Self) -> ValueSample {
        let seconds = self.seconds_since(earlier);
        let shares = self.cpu_seconds.iter().zip(&earlier.cpu_seconds);
        ValueSample::new(shares.map(|(a, b)| (a - b) / seconds * 100.0).collect())
    }

    /// Returns the processor time by thread name since an earlier snapshot, in percent of a core.
    pub fn thread_percent(&self, earlier: &Self) -> BTreeMap<String, ValueSample> {
        rates(&self.thread_seconds, &earlier.thread_seconds, self.seconds_since(earlier) / 100.0)
    }

    /// Returns the control traffic by purpose since an earlier snapshot, in bytes per second of a
    /// router.
    pub fn byte_rates(&self, earlier: &Self) -> BTreeMap<String, ValueSample> {
        rates(&self.control_bytes, &earlier.control_bytes, self.seconds_since(earlier))
    }
}

/// Returns, for each name, the increase of each router's counter, divided by `divisor`.
fn rates(
    later: &[BTreeMap<String, f64>],
    earlier: &[BTreeMap<String, f64>],
    divisor: f64,
) -> BTreeMap<String, ValueSample> {
    let mut values: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for (a, b) in later.iter().zip(earlier) {
        for (name, value) in a {
            let rate = (value - b.get(name).copied().unwrap_or(0.0)) / divisor;
            values.entry(name.clone()).or_default().push(rate);
        }
    }
    values.into_iter().map(|(name, it)| (name, ValueSample::new(it))).collect()
}
