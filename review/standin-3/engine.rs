//! An engine: registers in the store, and runs requests that name it.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Message, read_request, write_response},
    store::Store,
};

/// Interval at which an engine writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time after which an engine that the store did not hear tries again.
const HEARTBEAT_RETRY: Duration = Duration::from_millis(100);

/// What an engine is.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    pub name: String,
    /// Version of the software, as the bytes that stand in the entry.
    pub version: Vec<u8>,
    pub service: String,
    pub zone: String,
    pub ip: String,
    pub slots: u32,
    /// Time that a run takes; for a stream the time to its first event.
    pub work: Duration,
    /// Events of a stream, and the time between two of them; none for plain answers.
    pub events: Option<(u32, Duration)>,
    /// Requests that wait for a slot at most; further ones are turned away.
    pub queue: u32,
    /// Whether answers tell the load.
    pub tells_load: bool,
}

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub engine: String,
    pub zone: String,
}

/// The runs of all engines.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// An engine that runs in threads of this process.
#[derive(Clone, Debug)]
pub struct Engine {
    settings: Arc<EngineSettings>,
    pub address: SocketAddr,
    runs: Runs,
    /// Requests that run and that wait.
    load: Arc<(Mutex<(u32, u32)>, Condvar)>,
    is_draining: Arc<AtomicBool>,
    is_ended: Arc<AtomicBool>,
    born: u64,
}

impl Engine {
    /// Starts an engine and its heartbeats.
    pub fn start(settings: EngineSettings, store: &Store, runs: &Runs) -> std::io::Result<Self> {
        let listener = TcpListener::bind((&*settings.ip, 0))?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let engine = Self {
            address: listener.local_addr()?,
            settings: Arc::new(settings),
            runs: runs.clone(),
            load: Arc::default(),
            is_draining: Arc::default(),
            is_ended: Arc::default(),
            born: since_epoch.as_millis() as u64,
        };
        let (served, beating, store) = (engine.clone(), engine.clone(), store.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = served.clone();
                let builder = thread::Builder::new().stack_size(256 << 10);
                let _ = builder.spawn(move || engine.serve(stream));
            }
        });
        thread::spawn(move || beating.beat(&store));
        Ok(engine)
    }

    fn beat(&self, store: &Store) {
        let key = format!("servers/{}", self.settings.name);
        let mut sequence = 0;
        while !self.is_ended.load(Ordering::Relaxed) {
            sequence += 1;
            let before = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"",
                self.settings.service, self.address, self.settings.zone,
            );
            let after = format!(
                "\",\"slots\":{},\"state\":\"{}\",\"cold_remaining_ms\":0,\"stage\":\"both\",\
                 \"models\":[],\"born\":{},\"sequence\":{sequence}}}",
                self.settings.slots,
                if self.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" },
                self.born,
            );
            let value = [before.as_bytes(), &self.settings.version, after.as_bytes()].concat();
            let written = store.put(&key, &value);
            thread::sleep(if written.is_some() { HEARTBEAT } else { HEARTBEAT_RETRY });
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::with_capacity(4 << 10, copy);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.answer(&mut stream, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request.header("expect-instance").is_some_and(|it| it != self.settings.name) {
            let headers = [("Instance-Id", &*self.settings.name), ("Request-Id", &*id)];
            return write_response(stream, "421 Misdirected Request", &headers, b"");
        }
        let Some(load) = self.take_slot() else {
            let headers = [("Request-Id", &*id), ("Not-Executed", "1")];
            return write_response(stream, "503 Service Unavailable", &headers, b"");
        };
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(Run {
            id: id.clone(),
            engine: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
        });
        let result = self.run(stream, &id, &load);
        self.load.0.lock().unwrap_or_else(PoisonError::into_inner).0 -= 1;
        self.load.1.notify_one();
        result
    }

    /// Waits for a slot and returns the load with the new run; none if the queue is full.
    fn take_slot(&self) -> Option<String> {
        let slots = self.settings.slots;
        let mut load = self.load.0.lock().unwrap_or_else(PoisonError::into_inner);
        if load.0 >= slots {
            if load.1 >= self.settings.queue {
                return None;
            }
            load.1 += 1;
            while load.0 >= slots {
                load = self.load.1.wait(load).unwrap_or_else(PoisonError::into_inner);
            }
            load.1 -= 1;
        }
        load.0 += 1;
        Some(format!("{},{},{slots}", load.0, load.1))
    }

    fn run(&self, stream: &mut TcpStream, id: &str, load: &str) -> std::io::Result<()> {
        thread::sleep(self.settings.work);
        let seal = format!("seal-{id}");
        let mut headers = vec![("Request-Id", id), ("Server-Seal", &*seal)];
        if self.settings.tells_load {
            headers.push(("Server-Load", load));
        }
        let Some((count, gap)) = self.settings.events else {
            return write_response(stream, "200 OK", &headers, b"done");
        };
        let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_owned();
        headers.iter().for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        for number in 1..=count {
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(gap);
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// Counts the runs of each request id.
pub fn runs_by_id(runs: &Runs) -> HashMap<String, Vec<Run>> {
    let mut by_id: HashMap<String, Vec<Run>> = HashMap::new();
    for run in runs.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        by_id.entry(run.id.clone()).or_default().push(run.clone());
    }
    by_id
}
