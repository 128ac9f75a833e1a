//! Crowds at the listeners of `ebonyforkd`.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::process::{MeasuredProcess, settle};
use super::*;

/// Longest selection, in bytes.
const MAX_SELECTION: usize = 64 << 10;

/// Starts a node beside a store and waits until it answers locate calls.
async fn start_node(name: &str, address: &str, vm: VmStatement) -> (StoreServer, MeasuredProcess) {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = StoreServer::start(free).await.expect("a store");
    let settings = format!(
        "[node]\nvm = {address}\nzone = zone-a\ncaller-port = 7100\npeer-port = 7101\noperator-port = 7102\n\
         [limits]\nmemory-mb = {}\nmax-descriptors = {}\n[platform]\naddress = {}\n",
        vm.memory_mb,
        vm.descriptors,
        store.address()
    );
    let program = env!("CARGO_BIN_EXE_ebonyforkd");
    let process = MeasuredProcess::start(program, name, address, &settings, vm);
    expect_locate_answer(address, "before the crowd").await;
    (store, process)
}

/// Expects an answer to a locate call and one of the operators' port.
async fn expect_locate_answer(address: &str, when: &str) {
    for (port, path) in [(7100, "/v1/locate"), (7102, "/healthz")] {
        let address = format!("{address}:{port}").parse().expect("an address");
        let asking = async {
            while !has_success(address, path).await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let asked = tokio::time::timeout(PATIENCE, asking).await;
        expect_that!(asked.is_ok(), eq(true), "no answer from {path} {when}");
    }
}

/// Opens connections, sends `bytes` on each and keeps them until the set is dropped.
async fn gather(address: SocketAddr, count: usize, bytes: Vec<u8>) -> JoinSet<()> {
    let bytes = Bytes::from(bytes);
    let (sender, mut sent) = tokio::sync::mpsc::channel(count);
    let mut callers = JoinSet::new();
    for _ in 0..count {
        let (sender, bytes) = (sender.clone(), bytes.clone());
        callers.spawn(async move {
            let Ok(mut stream) = TcpStream::connect(address).await else {
                return;
            };
            // Fails if the other side closes the connection.
            let _written = tokio::time::timeout(PATIENCE, stream.write_all(&bytes)).await;
            let _told = sender.send(()).await;
            let mut answer = [0; 4_096];
            while stream.read(&mut answer).await.is_ok_and(|read| read > 0) {}
        });
    }
    drop(sender);
    for _ in 0..count {
        sent.recv().await;
    }
    settle(address.ip()).await;
    callers
}

fn query(framing: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /v1/query/c HTTP/1.1\r\nhost: t.example\r\nx-organisation: o\r\nidempotency-key: 127.0.0.1-1700000000000.7\r\n{framing}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Guards against selections that together take more than the VM has.
#[gtest]
#[tokio::test]
async fn selections_one_byte_short() {
    let _running = RUNNING.lock().await;
    let address = "127.231.0.40";
    let (_store, mut process) = start_node("selections", address, SMALL_VM).await;
    let callers = format!("{address}:7100").parse().expect("an address");
    let whole = query(
        &format!("content-length: {MAX_SELECTION}"),
        &"a".repeat(MAX_SELECTION - 1),
    );
    let chunked = query(
        "transfer-encoding: chunked",
        &"1\r\na\r\n".repeat(MAX_SELECTION - 1),
    );
    let _whole = gather(callers, 700, whole).await;
    let _chunked = gather(callers, 100, chunked).await;
    expect_locate_answer(address, "beside the crowd").await;
    process.expect_within_vm("beside the crowd");
}

/// Guards against idle connections that take the descriptors of ordinary callers and operators.
#[gtest]
#[tokio::test]
async fn idle_connections_to_a_node() {
    let _running = RUNNING.lock().await;
    let address = "127.231.0.41";
    let (_store, mut process) = start_node("idle-node", address, NARROW_VM).await;
    let mut crowds = Vec::new();
    for port in [7100, 7101, 7102] {
        let listener = format!("{address}:{port}").parse().expect("an address");
        crowds.push(gather(listener, 300, Vec::new()).await);
    }
    expect_locate_answer(address, "beside the crowd").await;
    process.expect_within_vm("beside the crowd");
}
