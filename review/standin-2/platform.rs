//! Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"), with JSON and base64.
//!
//! It loses nothing, keeps its whole history and answers at once, except for the machines that a case cuts off.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, Message, read_message};

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        parse_value(&bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn skip_space(text: &[char], at: &mut usize) {
    while *at < text.len() && text[*at].is_whitespace() {
        *at += 1;
    }
}

fn parse_value(text: &[char], at: &mut usize) -> Option<Json> {
    skip_space(text, at);
    match text.get(*at)? {
        '{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip_space(text, at);
                match text.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    ',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_value(text, at)? else {
                            return None;
                        };
                        skip_space(text, at);
                        if text.get(*at)? != &':' {
                            return None;
                        }
                        *at += 1;
                        let value = parse_value(text, at)?;
                        table.insert(name, value);
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(text, at);
                match text.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    ',' => *at += 1,
                    _ => list.push(parse_value(text, at)?),
                }
            }
        }
        '"' => {
            *at += 1;
            let mut out = String::new();
            loop {
                let c = *text.get(*at)?;
                *at += 1;
                match c {
                    '"' => return Some(Json::Text(out)),
                    '\\' => {
                        let escaped = *text.get(*at)?;
                        *at += 1;
                        match escaped {
                            'n' => out.push('\n'),
                            't' => out.push('\t'),
                            'r' => out.push('\r'),
                            'u' => {
                                let code: String = text.get(*at..*at + 4)?.iter().collect();
                                *at += 4;
                                let code = u32::from_str_radix(&code, 16).ok()?;
                                out.push(char::from_u32(code).unwrap_or('?'));
                            }
                            other => out.push(other),
                        }
                    }
                    other => out.push(other),
                }
            }
        }
        _ => {
            let begin = *at;
            while *at < text.len() && !",]} \n\t\r".contains(text[*at]) {
                *at += 1;
            }
            let word: String = text[begin..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0u32;
        for index in 0..3 {
            word = word << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(BASE64[(word >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Change {
    revision: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// Machines that get no answer.
    cut: HashSet<IpAddr>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change {
            revision,
            key: key.to_owned(),
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history.push(Change {
                revision,
                key: key.to_owned(),
                item: None,
            });
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
        true
    }

    fn item_json(key: &str, item: &Item) -> String {
        format!(
            r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
            item.value, item.revision, item.created, item.lease
        )
    }
}

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store.
    pub fn start() -> Self {
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let lapsing = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                let mut state = lapsing.shared.0.lock().unwrap();
                let now = Instant::now();
                let ended: Vec<u64> = state
                    .leases
                    .iter()
                    .filter(|(_, (_, until))| *until <= now)
                    .map(|(id, _)| *id)
                    .collect();
                for id in &ended {
                    state.end_lease(*id);
                }
                if !ended.is_empty() {
                    lapsing.shared.1.notify_all();
                }
            }
        });
        store
    }

    /// Serves one machine on an address. Each machine has an address of its own, because on loopback the store can't tell them by
    /// the addresses that they call from.
    pub fn listen(&self, address: SocketAddr, machine: IpAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let served = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream, machine));
            }
        });
        Ok(())
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        self.shared
            .0
            .lock()
            .unwrap()
            .put(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Partitions a machine from the store, or heals the partition. What is cut gets no answer.
    pub fn cut(&self, machine: IpAddr, cut: bool) {
        let mut state = self.shared.0.lock().unwrap();
        if cut {
            state.cut.insert(machine);
        } else {
            state.cut.remove(&machine);
        }
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream, machine: IpAddr) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(Message { head, body }) = read_message(&mut stream, &mut buffer) {
            if !self.wait_for_path(machine) {
                return;
            }
            let (status, text) = self.answer(&head, &body, machine);
            if !self.wait_for_path(machine) {
                return;
            }
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Waits while a machine is cut off. What it has sent by then is lost, as its connection is.
    fn wait_for_path(&self, machine: IpAddr) -> bool {
        let mut state = self.shared.0.lock().unwrap();
        if !state.cut.contains(&machine) {
            return true;
        }
        while state.cut.contains(&machine) {
            state = self.shared.1.wait(state).unwrap();
        }
        false
    }

    fn answer(&self, head: &Head, body: &[u8], machine: IpAddr) -> (u16, String) {
        let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
        let parameters: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let parameter = |name: &str| parameters.get(name).cloned().unwrap_or_default();
        let body = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        let (lock, changed) = &*self.shared;
        match (head.method.as_str(), path) {
            ("GET", "/v1/kv-key") => {
                let state = lock.lock().unwrap();
                let key = parameter("key");
                match state.items.get(&key) {
                    Some(item) => (200, State::item_json(&key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/v1/kv-range") => {
                let state = lock.lock().unwrap();
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let matching: Vec<_> = state
                    .items
                    .iter()
                    .filter(|(key, _)| {
                        key.starts_with(&prefix) && (after.is_empty() || **key > after)
                    })
                    .collect();
                let items: Vec<String> = matching
                    .iter()
                    .take(500)
                    .map(|(key, item)| State::item_json(key, item))
                    .collect();
                let text = format!(
                    r#"{{"items":[{}],"hasMore":{},"storeRevision":{}}}"#,
                    items.join(","),
                    matching.len() > 500,
                    state.revision
                );
                (200, text)
            }
            ("GET", "/v1/kv-watch") => {
                let prefix = parameter("prefix");
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait: u64 = parameter("waitMs").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut state = lock.lock().unwrap();
                loop {
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                        .map(|change| match &change.item {
                            Some(item) => State::item_json(&change.key, item),
                            None => format!(
                                r#"{{"key":"{}","revision":{},"tombstone":true}}"#,
                                change.key, change.revision
                            ),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() || state.cut.contains(&machine) {
                        let text = format!(
                            r#"{{"events":[{}],"storeRevision":{}}}"#,
                            events.join(","),
                            state.revision
                        );
                        return (200, text);
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/v1/kv-txn") => {
                let mut state = lock.lock().unwrap();
                for row in body.get("expectedRev").list() {
                    let current = state
                        .items
                        .get(row.get("key").text())
                        .map_or(0, |item| item.revision);
                    if current != row.get("revision").number() as u64 {
                        let items: Vec<String> = body
                            .get("expectedRev")
                            .list()
                            .iter()
                            .filter_map(|row| {
                                state
                                    .items
                                    .get(row.get("key").text())
                                    .map(|item| State::item_json(row.get("key").text(), item))
                            })
                            .collect();
                        return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
                    }
                }
                for row in body.get("puts").list() {
                    let lease = row.get("lease").number() as u64;
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return (404, "{}".to_owned());
                    }
                }
                for row in body.get("puts").list() {
                    state.put(
                        row.get("key").text(),
                        row.get("value").text().to_owned(),
                        row.get("lease").number() as u64,
                    );
                }
                for key in body.get("remove").list() {
                    state.remove(key.text());
                }
                let revision = state.revision;
                changed.notify_all();
                (200, format!(r#"{{"revision":{revision}}}"#))
            }
            ("POST", "/v1/kv-lease") => {
                let ttl = (body.get("ttlMs").number() as u64).clamp(1_000, 600_000);
                let mut state = lock.lock().unwrap();
                state.next_lease += 1;
                let id = state.next_lease;
                state.leases.insert(
                    id,
                    (
                        Duration::from_millis(ttl),
                        Instant::now() + Duration::from_millis(ttl),
                    ),
                );
                (200, format!(r#"{{"lease":{id},"ttlMs":{ttl}}}"#))
            }
            (method, path) => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                let mut state = lock.lock().unwrap();
                let known = if method == "POST" && path.starts_with("/v1/kv-keep/") {
                    match state.leases.get_mut(&id) {
                        Some((ttl, until)) => {
                            *until = Instant::now() + *ttl;
                            true
                        }
                        None => false,
                    }
                } else if method == "DELETE" && path.starts_with("/v1/kv-lease-end/") {
                    let known = state.end_lease(id);
                    changed.notify_all();
                    known
                } else {
                    false
                };
                (if known { 200 } else { 404 }, "{}".to_owned())
            }
        }
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
