//! Callers that stop just short of the end of a request, many at a time, and hold their connections for a while.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::soak::organisations::{MAIN, credential};
use crate::soak::world::HOST;

/// Callers of one crowd: with all others they have room among the connections of a VM, so that no other connection gives way.
const CROWD: std::ops::RangeInclusive<usize> = 5..=120;
/// Time for which a crowd stays, and that until the next one, in milliseconds.
const CROWD_MS: std::ops::RangeInclusive<u64> = 100..=2_500;
/// Longest body that the configuration allows, in bytes.
const BODY_BYTES: usize = 262_144;

/// What a caller sends before it stops.
#[derive(Debug, Clone, Copy)]
enum StallKind {
    /// Nothing.
    Connection,
    /// A head that lacks its end.
    Head,
    /// A body with a length, but for its last byte.
    Body,
    /// A body in chunks of some length, but for its last byte.
    Chunks(usize),
}

impl StallKind {
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        match rng.random_range(0..5) {
            0 => Self::Connection,
            1 => Self::Head,
            2 => Self::Body,
            3 => Self::Chunks(1),
            _ => Self::Chunks(rng.random_range(1_000..BODY_BYTES)),
        }
    }

    /// Returns what such a caller sends.
    fn bytes(self, number: usize) -> Vec<u8> {
        let credential = credential(MAIN);
        let start = format!(
            "POST /read/stall-{number} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: stall-{number}\r\n\
             deadline-ms: 30000\r\nauthorization: {credential}\r\n"
        );
        match self {
            Self::Connection => Vec::new(),
            Self::Head => format!("{start}x-fill: {}", "a".repeat(12_000)).into_bytes(),
            Self::Body => {
                let body = "a".repeat(BODY_BYTES - 1);
                format!("{start}content-length: {BODY_BYTES}\r\n\r\n{body}").into_bytes()
            }
            Self::Chunks(length) => {
                let mut bytes = format!("{start}transfer-encoding: chunked\r\n\r\n").into_bytes();
                let body = vec![b'a'; if length == 1 { 20_000 } else { BODY_BYTES - 1 }];
                for chunk in body.chunks(length) {
                    bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                    bytes.extend_from_slice(chunk);
                    bytes.extend_from_slice(b"\r\n");
                }
                bytes
            }
        }
    }
}

/// Sends crowds to VMs at random until the future is dropped.
pub(super) async fn stall(seed: u64, vms: Vec<SocketAddr>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let draw_time = |rng: &mut ChaCha8Rng| Duration::from_millis(rng.random_range(CROWD_MS));
    loop {
        tokio::time::sleep(draw_time(&mut rng)).await;
        let vm = vms[rng.random_range(0..vms.len())];
        let mut callers = JoinSet::new();
        // Half of the crowds are of one kind, which exhausts one budget sooner.
        let common_kind = rng.random_bool(0.5).then(|| StallKind::draw(&mut rng));
        for number in 0..rng.random_range(CROWD) {
            let kind = common_kind.unwrap_or_else(|| StallKind::draw(&mut rng));
            let bytes = kind.bytes(number);
            callers.spawn(hold(vm, bytes));
        }
        tokio::time::sleep(draw_time(&mut rng)).await;
    }
}

/// Sends bytes and keeps the connection until the other side closes it.
async fn hold(vm: SocketAddr, bytes: Vec<u8>) {
    let Ok(mut stream) = TcpStream::connect(vm).await else {
        return;
    };
    if stream.write_all(&bytes).await.is_err() {
        return;
    }
    let mut answer = [0; 1_024];
    while stream.read(&mut answer).await.is_ok_and(|read| read > 0) {}
}
