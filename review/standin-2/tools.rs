//! Gateway processes, servers and consumers of the cases.

use std::collections::HashMap;
use std::fs;
use std::io::{BufWriter, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Case;
use crate::http::{Head, Message, read_message};
use crate::platform::Store;

/// A small pseudo-random generator (xorshift), one for each thread.
pub struct Dice(u64);

impl Dice {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 to 1.
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Record of a case: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<fs::File>>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(BufWriter::new(fs::File::create(path)?))),
            begun: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {text}");
    }

    /// Writes out what is still buffered.
    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }

    pub fn at(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }
}

/// A loopback network with free ports: the same ports on all machines.
pub struct Network {
    second: u8,
    pub port: u16,
}

impl Network {
    /// Chooses a network whose ports are free.
    pub fn choose() -> Self {
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_nanos() as u64);
        let mut dice = Dice::new(nanos ^ u64::from(std::process::id()) << 32);
        loop {
            let network = Self {
                second: 210 + (dice.next() % 40) as u8,
                port: 20_000 + (dice.next() % 10_000) as u16,
            };
            let free = (1..=20).all(|machine| {
                (0..5).all(|offset| {
                    TcpListener::bind((network.ip(machine), network.port + offset)).is_ok()
                })
            });
            if free {
                return network;
            }
        }
    }

    pub fn ip(&self, machine: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, 0, machine))
    }

    pub fn at(&self, machine: u8, offset: u16) -> SocketAddr {
        SocketAddr::new(self.ip(machine), self.port + offset)
    }
}

/// Settings of a small deployment, as the template of the deploy file gives them.
#[derive(Clone)]
pub struct Bounds {
    pub zones: Vec<(&'static str, &'static str)>,
    pub extra: String,
    pub retry_slack: u32,
    pub drain_ms: u32,
}

/// A gateway process; it is killed when it is dropped.
pub struct Gateway {
    child: Child,
    pub ip: IpAddr,
    pub front: SocketAddr,
    ready: SocketAddr,
}

impl Gateway {
    pub fn start(
        case: &Case,
        network: &Network,
        machine: u8,
        zone: &str,
        store: &Store,
        bounds: &Bounds,
    ) -> std::io::Result<Self> {
        let (root, folder) = (&case.root, &case.scratch);
        let ip = network.ip(machine);
        let store_address = network.at(100 + machine, 0);
        store.listen(store_address, ip)?;
        let region = bounds
            .zones
            .iter()
            .find(|(name, _)| *name == zone)
            .map_or("", |(_, region)| region);
        let zones: String = bounds
            .zones
            .iter()
            .map(|(zone, region)| format!("{zone} = {region}\n"))
            .collect();
        let text = format!(
            "[node]\nname = front-{machine}\naddress = {ip}\nzone = {zone}\nregion = {region}\ncpu-share = 0.25\ncpu-cores = 1\n\n\
             [zones]\n{zones}\n[listen]\ncallers = {front}\nready = {ready}\ndirectory = {directory}\nmetrics = {metrics}\npeer-port = {peer}\n\n\
             [store]\naddress = {store_address}\n\n[bounds]\ngrace-s = 6\nconfig-in-force-ms = {drain}\nleaving-upstream-ms = {drain}\n\
             retry-ratio = 0.2\nretry-slack = {slack}\nretry-window-s = 10\n{extra}\n[log]\nlevel = info\ndecisions = on\n",
            front = network.at(machine, 0),
            ready = network.at(machine, 1),
            directory = network.at(machine, 2),
            metrics = network.at(machine, 3),
            peer = network.port + 4,
            drain = bounds.drain_ms,
            slack = bounds.retry_slack,
            extra = bounds.extra,
        );
        let settings = folder.join(format!("front-{machine}.ini"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("front-{machine}.log"));
        let program = root.join("target/release/ebonyfork-gateway");
        let child = spawn(&program, &settings, &log)?;
        Ok(Self {
            child,
            ip,
            front: network.at(machine, 0),
            ready: network.at(machine, 1),
        })
    }

    /// Waits until the readiness check is answered with 200.
    pub fn wait_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let mut caller = Caller::new(self.ready);
            let answer = caller.ask(
                "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n".as_bytes(),
                Duration::from_secs(1),
            );
            if matches!(answer, Reply::Answer(message) if message.head.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> std::io::Result<Child> {
    let file = fs::OpenOptions::new().create(true).append(true).open(log)?;
    let child = Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::from(file.try_clone()?))
        .stderr(Stdio::from(file))
        .spawn()?;
    // run.sh ends what is listed here if it is interrupted itself.
    if let Ok(pids) = std::env::var("PIDS") {
        let mut list = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(pids)?;
        writeln!(list, "{}", child.id())?;
    }
    Ok(child)
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a request of a consumer brought.
#[derive(Debug)]
pub enum Reply {
    Answer(Message),
    /// The connection could not be opened.
    Refused,
    /// The connection ended before a whole answer.
    Closed,
    /// Nothing whole came in time; the consumer has closed the connection.
    TimedOut,
}

/// A consumer's connection to one address, kept open for many requests.
pub struct Caller {
    address: SocketAddr,
    stream: Option<TcpStream>,
    buffer: Vec<u8>,
}

impl Caller {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
            buffer: Vec::new(),
        }
    }

    pub fn ask(&mut self, request: &[u8], wait: Duration) -> Reply {
        if self.stream.is_none() {
            self.buffer.clear();
            let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))
            else {
                return Reply::Refused;
            };
            let _ = stream.set_nodelay(true);
            self.stream = Some(stream);
        }
        let Some(mut stream) = self.stream.take() else {
            return Reply::Refused;
        };
        if stream.write_all(request).is_err() {
            return Reply::Closed;
        }
        let _ = stream.set_read_timeout(Some(wait));
        let begun = Instant::now();
        let Some(message) = read_message(&mut stream, &mut self.buffer) else {
            return if begun.elapsed() + Duration::from_millis(20) >= wait {
                Reply::TimedOut
            } else {
                Reply::Closed
            };
        };
        let closes = message
            .head
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !closes {
            self.stream = Some(stream);
        }
        Reply::Answer(message)
    }
}

/// One run of a request at a server.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub at: f64,
    pub stamp: String,
    pub body: Vec<u8>,
}

/// What all servers have done.
#[derive(Default)]
pub struct Runs {
    pub runs: Mutex<Vec<Run>>,
    pub declined: AtomicUsize,
    pub extras: AtomicUsize,
    next: AtomicU64,
}

/// Properties of a server.
#[derive(Clone)]
pub struct ServerPlan {
    pub service: String,
    pub zone: &'static str,
    pub capacity: usize,
    /// Requests that may wait for a slot beyond those that run.
    pub queue: usize,
    pub work: Duration,
    /// Number of records in an answer; none for a server of plain answers.
    pub records: usize,
    /// Greatest byte that a record begins with.
    pub seed: u64,
}

/// A server as the pages describe it. It keeps its entry in the store itself.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub plan: ServerPlan,
    /// Requests present and running.
    load: Arc<(Mutex<(usize, usize)>, Condvar)>,
    /// While set, a share of its answers is followed by an extra response that arrives late.
    pub garbles: Arc<AtomicBool>,
    pub garble_share: f64,
    /// Time until which it is cold, as its status check tells.
    cold_until: Arc<Mutex<Option<Instant>>>,
    runs: Arc<Runs>,
    record: Record,
}

impl Server {
    pub fn start(
        id: &str,
        address: SocketAddr,
        plan: ServerPlan,
        runs: &Arc<Runs>,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let server = Self {
            id: id.to_owned(),
            address,
            plan,
            load: Arc::new((Mutex::new((0, 0)), Condvar::new())),
            garbles: Arc::new(AtomicBool::new(false)),
            garble_share: 0.03,
            cold_until: Arc::default(),
            runs: Arc::clone(runs),
            record: record.clone(),
        };
        let served = server.clone();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let server = served.clone();
                thread::spawn(move || server.serve(stream, number as u64));
            }
        });
        Ok(server)
    }

    /// The entry in the store.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","capacity":{},"state":"{state}","warmupLeftMs":{},"sequence":{sequence}}}"#,
            self.plan.service,
            self.address,
            self.plan.zone,
            self.plan.capacity,
            self.warmup_left().as_millis()
        )
    }

    /// Makes it cold for a time.
    pub fn set_cold(&self, time: Duration) {
        *self.cold_until.lock().unwrap() = Some(Instant::now() + time);
    }

    fn warmup_left(&self) -> Duration {
        let until = *self.cold_until.lock().unwrap();
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    fn serve(&self, mut stream: TcpStream, number: u64) {
        let _ = stream.set_nodelay(true);
        let mut dice =
            Dice::new(number + 1 + (u64::from(self.address.port()) << 20) + self.plan.seed);
        let mut buffer = Vec::new();
        let mut extra: Option<Vec<u8>> = None;
        while let Some(Message { head, .. }) = read_message(&mut stream, &mut buffer) {
            if let Some(extra) = extra.take() {
                // The extra response to the previous request arrives where the answer to this one is expected.
                self.runs.extras.fetch_add(1, Ordering::Relaxed);
                self.record.line(&format!(
                    "server {} extra-late before the answer to {}",
                    self.id,
                    head.header("request-id").unwrap_or("-")
                ));
                if stream.write_all(&extra).is_err() {
                    return;
                }
            }
            let answer = self.answer(&head);
            if stream.write_all(&answer).is_err() {
                return;
            }
            if self.garbles.load(Ordering::Relaxed) && dice.share() < self.garble_share {
                extra = Some(answer);
            }
        }
    }

    fn answer(&self, head: &Head) -> Vec<u8> {
        let id = head.header("request-id").unwrap_or("").to_owned();
        if head.target == "/health" {
            return format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nWarmup-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                self.id,
                self.warmup_left().as_millis()
            )
            .into_bytes();
        }
        if head
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return refusal(421, &id);
        }
        let arrived = Instant::now();
        let deadline_ms: u64 = head
            .header("deadline-ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(60_000);
        let until = arrived + Duration::from_millis(deadline_ms);
        let (lock, freed) = &*self.load;
        {
            let mut load = lock.lock().unwrap();
            if load.0 >= self.plan.capacity + self.plan.queue {
                drop(load);
                self.runs.declined.fetch_add(1, Ordering::Relaxed);
                self.record
                    .line(&format!("server {} declines {id} (full)", self.id));
                return refusal(503, &id);
            }
            load.0 += 1;
            while load.1 >= self.plan.capacity {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    load.0 -= 1;
                    drop(load);
                    self.runs.declined.fetch_add(1, Ordering::Relaxed);
                    self.record.line(&format!(
                        "server {} declines {id} (deadline in queue)",
                        self.id
                    ));
                    return refusal(503, &id);
                }
                load = freed.wait_timeout(load, left).unwrap().0;
            }
            load.1 += 1;
        }
        let number = self.runs.next.fetch_add(1, Ordering::Relaxed);
        let stamp = format!("{}.{number}", self.id);
        let body = self.body(number);
        self.record
            .line(&format!("server {} runs {id} stamp={stamp}", self.id));
        self.runs.runs.lock().unwrap().push(Run {
            id: id.clone(),
            server: self.id.clone(),
            at: self.record.at(),
            stamp: stamp.clone(),
            body: body.clone(),
        });
        thread::sleep(self.plan.work);
        {
            let mut load = lock.lock().unwrap();
            load.0 -= 1;
            load.1 -= 1;
        }
        freed.notify_all();
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {stamp}\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        answer.extend(body);
        answer
    }

    fn body(&self, number: u64) -> Vec<u8> {
        if self.plan.records == 0 {
            return format!("done by {} as number {number}", self.id).into_bytes();
        }
        let mut dice = Dice::new(number * 7_919 + self.plan.seed);
        let mut body = Vec::new();
        for _ in 0..self.plan.records {
            body.extend_from_slice(&dice.next().to_be_bytes());
            body.extend_from_slice(&dice.next().to_be_bytes());
        }
        body
    }
}

fn refusal(status: u16, id: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} Refused\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n").into_bytes()
}

/// Number of runs of each request.
pub fn runs_by_id(runs: &Runs) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for run in runs.runs.lock().unwrap().iter() {
        *counts.entry(run.id.clone()).or_insert(0) += 1;
    }
    counts
}
